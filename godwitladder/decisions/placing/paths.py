"""Which targets this host reaches directly, and which hosts may lead it to others.

A host may lose its paths to targets while callers and other hosts still reach it.
Without a memory of that, each call would wait for connections that fail, target by
target.

Pure: times are passed as arguments, in seconds.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from godwitladder.ids import HostId, Zone
from godwitladder.membership.messages import Peer
from godwitladder.paths.messages import TunnelAnswer, TunnelOutcome

PROBE_INTERVAL_S = 1.0
"""Interval between attempts to connect directly while the path is lost. It bounds the
time for which a restored path stays unused."""
MIN_ROUND_INTERVAL_S, MAX_ROUND_INTERVAL_S = 1.0, 4.0
"""Pause after a round of gateways none of which reaches a target. It doubles with
each round: the target is probably down, and all hosts ask each other for it."""
REFUSAL_MEMORY_S = 3.0
"""Time for which a gateway is not asked again for a target that it didn't reach."""
FAILURE_MEMORY_S = 1.0
"""Time for which a gateway that failed, is full or stops is not asked at all."""


@dataclass
class LostPath:
    """A target to which the last direct connection failed.

    Attributes
    ----------
    since : float
        Time of the first failure.
    tried_at : float
        Time of the last attempt to connect directly.
    error : Exception or None
        Why that attempt failed.
    next_round_at : float
        Time from which gateways may be asked.
    round_interval_s : float
        Pause after the next round without a gateway that reaches the target.
    """

    since: float
    tried_at: float
    error: Exception | None = None
    next_round_at: float = 0.0
    round_interval_s: float = MIN_ROUND_INTERVAL_S


@dataclass
class PathTable:
    """The direct paths of this host, by the targets' addresses.

    Attributes
    ----------
    lost : dict
        The lost paths. All others are taken to be sound.
    """

    lost: dict[str, LostPath] = field(default_factory=dict)

    def is_lost(self, address: str) -> bool:
        """Return whether the last direct connection to ``address`` failed."""
        return address in self.lost

    def record_connected(self, address: str) -> LostPath | None:
        """Record a direct connection; return the path if it was lost until now."""
        return self.lost.pop(address, None)

    def record_failed(
        self, address: str, now: float, error: Exception | None = None
    ) -> bool:
        """Record a failed direct connection; return whether the path was sound."""
        path = self.lost.get(address)
        if path is None:
            self.lost[address] = LostPath(now, now, error)
            return True
        path.tried_at, path.error = now, error
        return False

    def last_error(self, address: str) -> Exception | None:
        """Return why the last direct connection to ``address`` failed, if it did."""
        path = self.lost.get(address)
        return path.error if path else None

    def take_probe(self, address: str, now: float) -> bool:
        """Return whether to try the direct path now, and record the attempt if so."""
        path = self.lost.get(address)
        if path is None:
            return True
        if now - path.tried_at < PROBE_INTERVAL_S:
            return False
        path.tried_at = now
        return True

    def is_round_due(self, address: str, now: float) -> bool:
        """Return whether gateways may be asked for a target."""
        path = self.lost.get(address)
        return path is not None and now >= path.next_round_at

    def record_round(self, address: str, is_reached: bool, now: float) -> None:
        """Record whether any of the gateways that were asked reaches a target."""
        path = self.lost.get(address)
        if path is None:
            return
        if is_reached:
            path.next_round_at, path.round_interval_s = now, MIN_ROUND_INTERVAL_S
            return
        path.next_round_at = now + path.round_interval_s
        path.round_interval_s = min(2 * path.round_interval_s, MAX_ROUND_INTERVAL_S)

    def retain(self, addresses: Collection[str]) -> None:
        """Forget all paths but those to ``addresses``."""
        self.lost = {row: self.lost[row] for row in self.lost if row in addresses}


@dataclass
class Gateways:
    """What this host knows of others as gateways.

    Attributes
    ----------
    failed_until : dict
        Time until which a gateway is not asked at all.
    lost_until : dict
        Time until which a gateway is not asked for a target, by both.
    """

    failed_until: dict[HostId, float] = field(default_factory=dict)
    lost_until: dict[HostId, dict[str, float]] = field(default_factory=dict)

    def may_help(self, host: HostId, address: str, now: float) -> bool:
        """Return whether to ask ``host`` for a tunnel to ``address``."""
        if self.failed_until.get(host, now) > now:
            return False
        return self.lost_until.get(host, {}).get(address, now) <= now

    def record_failed(self, host: HostId, now: float) -> None:
        """Record that a gateway did not answer."""
        self.failed_until[host] = now + FAILURE_MEMORY_S

    def record_refused(
        self, host: HostId, address: str, answer: TunnelAnswer, now: float
    ) -> None:
        """Record a gateway's refusal of a tunnel to ``address``."""
        if answer.outcome in (TunnelOutcome.FULL, TunnelOutcome.STOPPING):
            self.record_failed(host, now)
            return
        until = now + REFUSAL_MEMORY_S
        self.lost_until[host] = dict.fromkeys((address, *answer.lost), until)

    def retain(self, hosts: Collection[HostId]) -> None:
        """Forget all gateways but ``hosts``."""
        for table in (self.failed_until, self.lost_until):
            for host in set(table) - set(hosts):
                del table[host]


def order_gateways(peers: Iterable[Peer], own: Zone, target: Zone) -> Sequence[Peer]:
    """Return possible gateways, those with the fewest crossings of zones first.

    Gateways with equally many stay in order; the caller shuffles them to spread the
    load over all that have a path.

    Parameters
    ----------
    own, target : Zone
        Availability zones of this host and of the target.
    """

    def crossings(peer: Peer) -> int:
        return (peer.availability_zone != own) + (peer.availability_zone != target)

    return sorted(peers, key=crossings)
