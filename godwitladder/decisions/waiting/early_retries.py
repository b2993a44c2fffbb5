"""Remembers refused requests to recognize retries that come too early.

Load pattern: a retry storm. Refused callers that ignore Retry-After fill the
queue with second and third attempts, and first attempts, which have waited
least, are shed with them. So a retry that comes too early is refused again
before it is queued, at the cost of one table look-up. A retry that comes in
time is ordered after the first attempts of its workspace.

The table holds digests of requests and recognizes a retry only on the host that
refused it. With a balancer over many hosts that is the minority of retries; the
rest is limited by the fair share of the caller's workspace.

Thresholds
----------
MAX_ROWS : largest number of rows. Each is a 16-byte key and its record, under 2 MB
    in all; the oldest rows are dropped first.
RETENTION_S : a retry that comes this long after its earliest allowed time counts
    as a first attempt.
"""

from collections import OrderedDict
from dataclasses import dataclass

from godwitladder.ids import BodyDigest, WorkspaceName

MAX_ROWS = 8192
RETENTION_S = 120.0


@dataclass
class RefusalRecord:
    """Refusals of one request.

    Attributes
    ----------
    count : int
        How often it was refused.
    not_before : float
        Earliest time at which it may be retried, in seconds.
    """

    count: int
    not_before: float


class RefusedRequests:
    """Recently refused requests, by workspace and digest of the body."""

    def __init__(self) -> None:
        self.rows: OrderedDict[tuple[WorkspaceName, BodyDigest], RefusalRecord]
        self.rows = OrderedDict()

    def record_refusal(
        self,
        workspace: WorkspaceName,
        body: BodyDigest,
        retry_after_s: float,
        now: float,
    ) -> None:
        """Record a refusal.

        Parameters
        ----------
        workspace : WorkspaceName
            Workspace of the request.
        body : BodyDigest
            Digest of its body.
        retry_after_s : float
            Seconds after which the caller may retry.
        now : float
            Current time, in seconds.
        """
        previous = self.rows.pop((workspace, body), None)
        count = previous.count + 1 if previous else 1
        self.rows[workspace, body] = RefusalRecord(count, now + retry_after_s)
        if len(self.rows) > MAX_ROWS:
            self.rows.popitem(last=False)

    def count(self, workspace: WorkspaceName, body: BodyDigest, now: float) -> int:
        """Return how often a request was refused recently."""
        row = self.rows.get((workspace, body))
        if row is None or now - row.not_before > RETENTION_S:
            return 0
        return row.count

    def retry_wait_s(
        self, workspace: WorkspaceName, body: BodyDigest, now: float
    ) -> float:
        """Return the seconds until a request may be retried; 0 if it may be now."""
        row = self.rows.get((workspace, body))
        return max(0.0, row.not_before - now) if row else 0.0

    def forget(self, workspace: WorkspaceName, body: BodyDigest) -> None:
        """Remove a request that was admitted."""
        self.rows.pop((workspace, body), None)
