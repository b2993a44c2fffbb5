"""Immutable view of the current configuration for the rest of a host."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.configuration.model import (
    Service,
    Target,
    Tier,
    Workspace,
)
from godwitladder.discovery.rollouts import OrderInForce
from godwitladder.fleets import UNKNOWN_FLEET
from godwitladder.ids import FleetId, Offset, ServiceName


@dataclass(frozen=True)
class ConfigState:
    """The current objects at one offset of the log.

    Attributes
    ----------
    offset : int
        Offset of the next record to replay; never decreases within one log.
    origin : FleetId
        Identity of the log; empty if it is not known.
    tiers, workspaces, services, targets : mapping
        The current objects by name.
    keys : mapping
        Workspace name by digest of a bearer key.
    target_ticket_numbers : mapping
        Number of the ticket that last wrote each target, by the target's name;
        removed targets are included.
    rollouts : mapping
        Orders whose versions are to be tried, by service, with times of
        `Clock.monotonic`.
    """

    offset: Offset = Offset(0)
    origin: FleetId = UNKNOWN_FLEET
    tiers: Mapping[str, Tier] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    targets: Mapping[str, Target] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    target_ticket_numbers: Mapping[str, int] = field(default_factory=dict)
    rollouts: Mapping[ServiceName, OrderInForce] = field(default_factory=dict)

    def is_older_than(self, other: "ConfigState") -> bool:
        """Return whether ``other`` is a later state of the same log."""
        return self.origin == other.origin and self.offset < other.offset

    def rank(self, workspace: Workspace) -> int:
        """Return the rank of the workspace's tier."""
        return self.tiers[workspace.tier].rank
