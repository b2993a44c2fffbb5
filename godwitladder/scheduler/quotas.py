"""Which part of the workspaces' tokens a host may give out.

Pure: times are handed in.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.quotas import TokenRate
from godwitladder.ids import HostId, WorkspaceName

UNSEEN_S = 30.0
"""Cuts last for seconds; a host gone for longer has ended, and its part of the
quotas goes back to the others."""


def token_rates(config: ConfigState) -> dict[WorkspaceName, TokenRate]:
    """Return the token quotas of a configuration."""
    return {
        name: TokenRate(workspace.token_rate, workspace.token_burst)
        for name, workspace in config.workspaces.items()
        if workspace.token_rate
    }


@dataclass
class SeenHosts:
    """When each host was last among the live ones."""

    at: dict[HostId, float] = field(default_factory=dict)

    def note(self, hosts: Collection[HostId], now: float) -> None:
        """Take in the live hosts."""
        self.at.update(dict.fromkeys(hosts, now))

    def count_recent(self, now: float) -> int:
        """Return how many hosts were live lately."""
        return max(1, sum(now - at <= UNSEEN_S for at in self.at.values()))
