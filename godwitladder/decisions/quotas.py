"""Bounds what each workspace may have run, in tokens, over all hosts.

Load pattern: one workspace sends several times what it pays for. Without a
bound its requests take the targets in fair turns with the others', and what
the others are entitled to waits behind what nobody is owed. A bound at each
host would have to be a share of the whole, and callers are spread unevenly:
the allocator sees all requests, so it keeps the only book.

Pure: times are handed in.

Thresholds
----------
RATE_FACTOR, SLACK_SHARE : what is promised to operators is the quota, a tenth
    more and a slack in each window. Most of both is used here, since what is
    refused within them is lost to its caller; the rest covers an allocator that
    takes over with a fresh book.
FRESH_SHARE : a new book starts a quarter full, since nobody knows what was
    granted a moment ago: full, each change of the allocator would give the
    burst anew. A quarter of burst and slack fits into what is left above.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.ids import WorkspaceName

RATE_FACTOR = 1.08
SLACK_SHARE = 0.75
FRESH_SHARE = 0.25
SOONEST_S = 0.1


@dataclass(frozen=True)
class TokenRate:
    """Tokens a second and at once; a rate of 0 is no bound."""

    rate: float
    burst: float


@dataclass
class Bucket:
    """What is left of one workspace's tokens, and when that was worked out."""

    left: float
    at: float


@dataclass
class QuotaBook:
    """The buckets of all workspaces with a bound.

    Attributes
    ----------
    slack : float
        Tokens that a workspace may have beyond its quota in a window.
    share : float
        Part of each quota that this book may give out; less than 1 where
        other hosts can't be seen and may have a book of their own.
    """

    slack: float = 0.0
    share: float = 1.0
    rates: Mapping[WorkspaceName, TokenRate] = field(default_factory=dict)
    buckets: dict[WorkspaceName, Bucket] = field(default_factory=dict)

    def wait_s(self, workspace: WorkspaceName, charge: int, now: float) -> float:
        """Return the seconds until ``charge`` is within the quota; 0 for now."""
        rate = self.rates.get(workspace)
        if rate is None or rate.rate <= 0:
            return 0.0
        bucket = self.fill(workspace, rate, now)
        # One request larger than the whole bucket would otherwise never run.
        missing = min(charge, self.size(rate)) - bucket.left
        if missing <= 0:
            return 0.0
        return max(SOONEST_S, missing / (rate.rate * RATE_FACTOR * self.share))

    def take(self, workspace: WorkspaceName, charge: int, now: float) -> None:
        """Count a request that is let in."""
        rate = self.rates.get(workspace)
        if rate is not None and rate.rate > 0:
            self.fill(workspace, rate, now).left -= charge

    def size(self, rate: TokenRate) -> float:
        """Return the tokens that a full bucket holds."""
        return (rate.burst + self.slack * SLACK_SHARE) * self.share

    def fill(self, workspace: WorkspaceName, rate: TokenRate, now: float) -> Bucket:
        """Return the bucket as it stands now."""
        size = self.size(rate)
        bucket = self.buckets.get(workspace)
        if bucket is None:
            bucket = self.buckets[workspace] = Bucket(size * FRESH_SHARE, now)
        gained = (now - bucket.at) * rate.rate * RATE_FACTOR * self.share
        bucket.left = min(size, bucket.left + max(0.0, gained))
        bucket.at = now
        return bucket
