"""Token quotas of workspaces, and the share of them that a host may grant.

Pure: times are passed in as arguments.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.quotas import TokenRate
from godwitladder.ids import HostId, WorkspaceName

HOST_EXPIRY_S = 30.0
"""Network partitions last for seconds. A host that was not seen for longer has
ended, and its share of the quotas returns to the others."""


def token_rates(config: ConfigState) -> dict[WorkspaceName, TokenRate]:
    """Return the token quotas of ``config``, by workspace."""
    return {
        name: TokenRate(workspace.token_rate, workspace.token_burst)
        for name, workspace in config.workspaces.items()
        if workspace.token_rate
    }


@dataclass
class SeenHosts:
    """Times at which each host was last seen alive."""

    last_seen: dict[HostId, float] = field(default_factory=dict)

    def record_alive(self, hosts: Collection[HostId], now: float) -> None:
        """Record that ``hosts`` are alive."""
        self.last_seen.update(dict.fromkeys(hosts, now))

    def recent(self, now: float) -> set[HostId]:
        """Return the hosts that were seen recently."""
        return {
            host
            for host, seen_at in self.last_seen.items()
            if now - seen_at <= HOST_EXPIRY_S
        }

    def count_recent(self, now: float) -> int:
        """Return the number of hosts that were seen recently, at least 1."""
        return max(1, len(self.recent(now)))
