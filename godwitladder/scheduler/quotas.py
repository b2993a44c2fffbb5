"""Token quotas of workspaces, and the hosts that share what all may use together."""

import threading
from collections.abc import Collection
from dataclasses import dataclass, field

from godwitladder.clock import Clock
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.limits.quotas import TokenRate
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
        """Record that ``hosts`` are alive, and drop those that have ended."""
        self.last_seen.update(dict.fromkeys(hosts, now))
        for host in set(self.last_seen) - self.recent(now):
            del self.last_seen[host]

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


class SharingHosts:
    """Number of hosts that share a limit; may be used by any thread.

    Hosts on the other side of a network partition use their part of a limit too. If
    each side counted only the hosts that it sees, all sides together would use the
    limit several times.

    Parameters
    ----------
    clock : Clock
        Clock of the host.
    hosts : collection of HostId
        Live hosts, this one included.
    """

    def __init__(self, clock: Clock, hosts: Collection[HostId]) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.seen = SeenHosts()
        self.hosts = hosts

    def update(self, hosts: Collection[HostId]) -> None:
        """Set the hosts that are alive from now on."""
        with self.lock:
            self.seen.record_alive(self.hosts, self.clock.monotonic())
            self.hosts = hosts

    def count(self) -> int:
        """Return the number of hosts that are alive or were seen recently."""
        with self.lock:
            now = self.clock.monotonic()
            self.seen.record_alive(self.hosts, now)
            return self.seen.count_recent(now)
