"""The configuration in force, as what the rest of a host reads."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.configuration.model import (
    Service,
    Target,
    Tier,
    Workspace,
)
from godwitladder.ids import Offset


@dataclass(frozen=True)
class ConfigState:
    """An immutable view of the objects in force at one offset.

    Attributes
    ----------
    offset : int
        Offset of the next record to replay; never goes back.
    keys : dict
        Workspace name for each digest of a bearer key.
    numbers : dict
        Number of the ticket that wrote each target last.
    """

    offset: Offset = Offset(0)
    tiers: Mapping[str, Tier] = field(default_factory=dict)
    workspaces: Mapping[str, Workspace] = field(default_factory=dict)
    services: Mapping[str, Service] = field(default_factory=dict)
    targets: Mapping[str, Target] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    target_ticket_numbers: Mapping[str, int] = field(default_factory=dict)

    def rank(self, workspace: Workspace) -> int:
        """Return the rank of the workspace's tier."""
        return self.tiers[workspace.tier].rank
