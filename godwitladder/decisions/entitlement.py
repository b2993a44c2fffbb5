"""Tells calls that their workspace is entitled to from those beyond its quota.

Load pattern: one workspace sends several times what it pays for, while others
send their usual. `quotas` bounds what runs, with the slack that is promised to
operators; of what waits it says nothing. So calls that nobody is owed stood in
line before those that somebody is, and where a quota was spent on whatever came
to its turn first, calls within the quota were refused for calls beyond it.

A call is entitled if the quota, without any slack, has its tokens left when it
comes, whatever becomes of it. One beyond the quota still runs where there is
room, after all that are in time.
"""

from dataclasses import dataclass, field

from godwitladder.decisions.quotas import TokenBucket, TokenRate
from godwitladder.ids import WorkspaceName


@dataclass
class Entitlements:
    """The tokens that each workspace with a quota has left as calls come."""

    buckets: dict[WorkspaceName, TokenBucket] = field(default_factory=dict)

    def take(
        self,
        workspace: WorkspaceName,
        charge: int,
        rate: TokenRate | None,
        now: float,
    ) -> bool:
        """Return whether a call that has just come is within its quota."""
        if rate is None or rate.rate <= 0:
            return True
        bucket = self.buckets.setdefault(workspace, TokenBucket(rate.burst, now))
        gained = max(0.0, now - bucket.at) * rate.rate
        bucket.left = min(rate.burst, bucket.left + gained)
        bucket.at = now
        # One call larger than the whole bucket is within it when it is full.
        if min(charge, rate.burst) > bucket.left:
            return False
        bucket.left -= charge
        return True
