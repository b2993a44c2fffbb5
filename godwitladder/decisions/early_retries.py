"""Knows requests that were refused lately and come back before their time.

Load pattern: a retry storm. Refused callers that don't heed Retry-After fill
the queue with second and third tries, and first tries, which have waited
least, are shed with them. So a request that comes back early is refused again
before it is queued, for the cost of one table look-up, and one that comes
back in time is ordered after the first tries of its workspace.

The table holds digests, so it knows a repeat only on the host that refused
it. Behind a balancer over many hosts that is the smaller part; the rest is
bounded by the fair share of the caller's workspace.

Thresholds
----------
KEPT : 16 bytes of key and a row each, under 2 MB; the oldest go first.
FORGET_S : a repeat later than this is a first try.
"""

from collections import OrderedDict
from dataclasses import dataclass

from godwitladder.ids import BodyDigest, WorkspaceName

KEPT = 8192
FORGET_S = 120.0


@dataclass
class Refused:
    """A request that was refused ``count`` times, and when it may come back."""

    count: int
    not_before: float


class RefusedRequests:
    """Requests that were refused lately, by workspace and digest of the body."""

    def __init__(self) -> None:
        self.rows: OrderedDict[tuple[WorkspaceName, BodyDigest], Refused]
        self.rows = OrderedDict()

    def note(
        self,
        workspace: WorkspaceName,
        body: BodyDigest,
        retry_after_s: float,
        now: float,
    ) -> None:
        """Remember a refusal."""
        held = self.rows.pop((workspace, body), None)
        count = held.count + 1 if held else 1
        self.rows[workspace, body] = Refused(count, now + retry_after_s)
        if len(self.rows) > KEPT:
            self.rows.popitem(last=False)

    def count(self, workspace: WorkspaceName, body: BodyDigest, now: float) -> int:
        """Return how often this request was refused lately."""
        row = self.rows.get((workspace, body))
        if row is None or now - row.not_before > FORGET_S:
            return 0
        return row.count

    def retry_wait_s(
        self, workspace: WorkspaceName, body: BodyDigest, now: float
    ) -> float:
        """Return how many seconds too early this request comes, else 0."""
        row = self.rows.get((workspace, body))
        return max(0.0, row.not_before - now) if row else 0.0

    def forget(self, workspace: WorkspaceName, body: BodyDigest) -> None:
        """Drop a request that was let in."""
        self.rows.pop((workspace, body), None)
