"""Which targets this host reaches directly, according to its own connections.

A host may lose its paths to targets while callers and other hosts still reach it.
Without a memory of that, each call would wait for connections that fail, target by
target.

Pure: times are passed as arguments, in seconds.
"""

from dataclasses import dataclass, field

PROBE_INTERVAL_S = 1.0
"""Interval between attempts to connect directly while the path is lost. It bounds the
time for which a restored path stays unused."""


@dataclass
class LostPath:
    """A target to which the last direct connection failed.

    Attributes
    ----------
    since : float
        Time of the first failure.
    tried_at : float
        Time of the last attempt to connect directly.
    """

    since: float
    tried_at: float


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

    def record_failed(self, address: str, now: float) -> bool:
        """Record a failed direct connection; return whether the path was sound."""
        path = self.lost.get(address)
        if path is None:
            self.lost[address] = LostPath(now, now)
            return True
        path.tried_at = now
        return False

    def take_probe(self, address: str, now: float) -> bool:
        """Return whether to try the direct path now, and record the attempt if so."""
        path = self.lost.get(address)
        if path is None:
            return True
        if now - path.tried_at < PROBE_INTERVAL_S:
            return False
        path.tried_at = now
        return True

    def retain(self, addresses: frozenset[str]) -> None:
        """Forget all paths but those to ``addresses``."""
        self.lost = {row: self.lost[row] for row in self.lost if row in addresses}
