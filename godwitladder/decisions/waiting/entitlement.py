"""Tells requests within their workspace's quota from those beyond it.

Load pattern: one workspace sends several times its quota, while others send
their usual load. `quotas` limits what runs, with the slack that is promised to
operators, but doesn't order what waits. Without this distinction, requests
beyond a quota wait ahead of requests within one. And where a quota is spent on
whichever requests come first in the queue, requests within the quota are
refused in favour of requests beyond it.

A request is entitled, that is within its quota, if the quota without any slack
has enough tokens left when the request arrives, whatever becomes of the request.
A request beyond the quota still runs where there is capacity, after all requests
within their quotas.
"""

from dataclasses import dataclass, field

from godwitladder.decisions.limits.quotas import TokenBucket, TokenRate
from godwitladder.ids import WorkspaceName


@dataclass
class Entitlements:
    """Token buckets that count requests of each workspace as they arrive."""

    buckets: dict[WorkspaceName, TokenBucket] = field(default_factory=dict)

    def take(
        self,
        workspace: WorkspaceName,
        charge: int,
        rate: TokenRate | None,
        now: float,
    ) -> bool:
        """Return whether a request that has just arrived is within its quota.

        If so, its tokens are taken from the workspace's bucket.

        Parameters
        ----------
        workspace : WorkspaceName
            The workspace.
        charge : int
            Tokens of the request.
        rate : TokenRate or None
            Quota of the workspace; None for no limit.
        now : float
            Current time, in seconds.
        """
        if rate is None or rate.rate <= 0:
            return True
        bucket = self.buckets.setdefault(workspace, TokenBucket(rate.burst, now))
        gained = max(0.0, now - bucket.updated_at) * rate.rate
        bucket.tokens = min(rate.burst, bucket.tokens + gained)
        bucket.updated_at = now
        # A request larger than the full bucket is within the quota when it is full.
        if min(charge, rate.burst) > bucket.tokens:
            return False
        bucket.tokens -= charge
        return True
