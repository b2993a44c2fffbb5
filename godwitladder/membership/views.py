"""Detects that a peer knows other live hosts and that no message will tell why.

Messages between hosts tell of changes. A host that missed one, or has dropped a
peer on evidence of its own, hears nothing of that peer again: as seen by everyone
else, nothing has changed. Each heartbeat therefore carries a digest of the live
hosts that its sender knows. Two digests that stay different are compared in full.
"""

import zlib
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from godwitladder.ids import HostId
from godwitladder.membership.members import Member

SETTLED_S = 2.0
"""Time for which both digests must stay the same before the peer's view is
requested. While hosts come and go, views differ because messages are under way, and
requests of all hosts at once would delay those messages."""
MAX_REQUEST_INTERVAL_S = 30.0
"""The interval doubles up to this while the same difference remains, as it does if a
network fault lets one of the two hosts reach a third one and not the other."""


@dataclass
class Difference:
    """Two digests that differ.

    Attributes
    ----------
    mine, theirs : int
        Digests of this host's and of the peer's view.
    since : float
        Monotonic time of the last request, or at which these digests were first
        seen together.
    interval_s : float
        Seconds from then until a request is due.
    """

    mine: int
    theirs: int
    since: float
    interval_s: float = SETTLED_S


class ViewComparison:
    """Compares the digest of this host's view with those of its peers.

    Attributes
    ----------
    digest : int
        Digest of the live hosts that this host knows.
    differences : dict
        The peers whose digests differ.
    """

    def __init__(self) -> None:
        self.digest = 0
        self.differences: dict[HostId, Difference] = {}

    def update(self, rows: Iterable[Member]) -> None:
        """Set the live hosts that this host knows, itself included."""
        self.digest = view_digest(rows)

    def is_request_due(self, peer: HostId, digest: int, now: float) -> bool:
        """Record the digest of a peer; return whether to request its view."""
        if digest in (0, self.digest):
            self.differences.pop(peer, None)
            return False
        row = self.differences.get(peer)
        if row is None or (row.mine, row.theirs) != (self.digest, digest):
            self.differences[peer] = Difference(self.digest, digest, now)
            return False
        if now - row.since < row.interval_s:
            return False
        row.since = now
        row.interval_s = min(2 * row.interval_s, MAX_REQUEST_INTERVAL_S)
        return True

    def retain(self, peers: Collection[HostId]) -> None:
        """Forget all peers but ``peers``."""
        self.differences = {
            peer: row for peer, row in self.differences.items() if peer in peers
        }


def view_digest(rows: Iterable[Member]) -> int:
    """Return a digest of the hosts in ``rows`` and their incarnations; never 0."""
    processes = sorted((row.host, row.incarnation) for row in rows)
    return zlib.crc32(repr(processes).encode()) or 1
