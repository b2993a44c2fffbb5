"""Enforces the token quota of each workspace over all hosts with token buckets.

Load pattern: one workspace sends several times its quota. Without a limit its
requests share the targets equally with those of other workspaces, and requests
within a quota wait behind requests beyond one. A limit at each host would have
to be a share of the whole, and callers are spread unevenly over hosts. The
allocator sees all requests, so it alone keeps the buckets.

Pure: times are passed in.

Thresholds
----------
RATE_FACTOR, SLACK_SHARE : operators are promised that in each window a workspace
    runs at most its quota, a tenth more, and a slack. Most of the tenth and of
    the slack is used here, since whatever is refused within them is lost to the
    caller. The rest covers an allocator that takes over with new buckets.
FRESH_SHARE : share of a full bucket that a new allocator gives out even if no
    live host knows what was spent before. The full bucket would grant the burst
    again with each change of the allocator; a quarter of burst and slack fits
    into what the two factors above leave unused.
SOONEST_S : shortest wait that is reported for a request beyond its quota.
HISTORY_S : seconds for which hosts remember what they spent, which is the window
    of the promise. New buckets are filled according to this history. Starting a
    quarter full in every case refused requests within their quotas after a
    network partition.
LOWERED_AFTER_S : delay before a lowered quota applies. The promise for a lower
    quota holds one window after all hosts know it. If it applied at once, a
    workspace that had used the higher quota would have its requests refused for
    seconds without need.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from operator import attrgetter

from godwitladder.ids import HostId, WorkspaceName

RATE_FACTOR = 1.08
SLACK_SHARE = 0.75
FRESH_SHARE = 0.25
SOONEST_S = 0.1
HISTORY_S = 8
LOWERED_AFTER_S = float(HISTORY_S)


@dataclass(frozen=True)
class TokenRate:
    """A token quota.

    Attributes
    ----------
    rate : float
        Tokens per second; 0 for no limit.
    burst : float
        Tokens that may be spent at once.
    """

    rate: float
    burst: float

    def is_below(self, other: "TokenRate") -> bool:
        """Return whether this quota allows less than ``other``."""
        return self.rate < other.rate or self.burst < other.burst


@dataclass(frozen=True)
class FormerRate:
    """A higher quota that was lowered, and still applies until ``until``."""

    rate: TokenRate
    until: float


@dataclass
class TokenBucket:
    """Token bucket of one workspace.

    Attributes
    ----------
    tokens : float
        Tokens left; negative after a request larger than the bucket.
    updated_at : float
        Time for which ``tokens`` holds, in seconds.
    """

    tokens: float
    updated_at: float


@dataclass(frozen=True)
class WorkspaceSpending:
    """Tokens of one workspace that one host spent.

    Attributes
    ----------
    workspace : WorkspaceName
        The workspace.
    tokens : tuple of int
        Tokens spent in each of the last seconds, newest first.
    """

    workspace: WorkspaceName
    tokens: tuple[int, ...]


@dataclass
class SpendingHistory:
    """Tokens of each workspace that one host spent in the last seconds.

    Attributes
    ----------
    started_at : float or None
        Time of the first call of `covered_s`, in seconds. Spending before that is
        taken as unknown.
    seconds : dict
        Tokens spent by workspace and by second.
    """

    started_at: float | None = None
    seconds: dict[WorkspaceName, dict[int, int]] = field(default_factory=dict)

    def record_spending(
        self, workspace: WorkspaceName, charge: int, now: float
    ) -> None:
        """Record the tokens of a request that was sent to a target."""
        spent = self.seconds.setdefault(workspace, {})
        second = int(now)
        spent[second] = spent.get(second, 0) + charge
        for old in [key for key in spent if key <= second - HISTORY_S]:
            del spent[old]

    def recent_spending(self, now: float) -> tuple[WorkspaceSpending, ...]:
        """Return the recent spending of each workspace that spent any tokens."""
        newest = int(now)
        seconds = range(newest, newest - HISTORY_S, -1)
        rows = []
        for name, spent in sorted(self.seconds.items()):
            tokens = tuple(spent.get(second, 0) for second in seconds)
            if any(tokens):
                rows.append(WorkspaceSpending(name, tokens))
        return tuple(rows)

    def covered_s(self, now: float) -> float:
        """Return for how many seconds back the history is complete."""
        if self.started_at is None:
            self.started_at = now
        return now - self.started_at


@dataclass(frozen=True)
class QuotaActivity:
    """What a workspace was granted in an interval, and how its bucket stands.

    Attributes
    ----------
    rate : TokenRate
        The quota that applies.
    granted : int
        Tokens granted in the interval.
    left : float
        Tokens left in the bucket.
    began : float or None
        Tokens with which the bucket began, if it was created in the interval.
    """

    workspace: WorkspaceName
    rate: TokenRate
    granted: int
    left: float
    began: float | None

    def fields(self) -> Mapping[str, float | None]:
        """Return the fields for the log line."""
        return {
            "rate": self.rate.rate,
            "burst": self.rate.burst,
            "granted": self.granted,
            "left": round(self.left),
            "began": None if self.began is None else round(self.began),
        }


@dataclass
class TokenQuotas:
    """Token buckets of all workspaces that have a quota.

    Attributes
    ----------
    slack : float
        Tokens that a workspace may run beyond its quota in a window.
    share : float
        Share of each quota that these buckets may give out; less than 1 while
        other hosts are unreachable and may keep buckets of their own.
    rates : mapping
        Quotas now in force, by workspace.
    buckets : dict
        Buckets that are in use, by workspace.
    expected_hosts : int
        Hosts that are expected to report their spending to a new allocator.
    first_report_at : float or None
        Time of the first such report, in seconds.
    coverage : dict
        For each host that has reported, the fraction of the last `HISTORY_S`
        seconds that its report covers.
    past_spending : dict
        Tokens of each workspace that these hosts spent in each of the last
        seconds, newest first.
    former : dict
        Higher quotas that still apply, by workspace.
    applied_rates : mapping
        The ``rates`` that the last call of `apply_rates` applied.
    granted : Counter
        Tokens granted since the last call of `take_activity`, by workspace.
    opened : dict
        Tokens with which buckets began since then, by workspace.
    """

    slack: float = 0.0
    share: float = 1.0
    rates: Mapping[WorkspaceName, TokenRate] = field(default_factory=dict)
    buckets: dict[WorkspaceName, TokenBucket] = field(default_factory=dict)
    expected_hosts: int = 1
    first_report_at: float | None = None
    coverage: dict[HostId, float] = field(default_factory=dict)
    past_spending: dict[WorkspaceName, list[int]] = field(default_factory=dict)
    former: dict[WorkspaceName, FormerRate] = field(default_factory=dict)
    applied_rates: Mapping[WorkspaceName, TokenRate] = field(default_factory=dict)
    granted: Counter[WorkspaceName] = field(default_factory=Counter)
    opened: dict[WorkspaceName, float] = field(default_factory=dict)

    def apply_rates(self, now: float) -> None:
        """Apply quotas that were set since the last call.

        A quota that was lowered applies after `LOWERED_AFTER_S`; any other
        change applies at once.
        """
        if self.applied_rates is self.rates:
            return
        for name, rate in self.rates.items():
            before = self.rate_of(name, now, self.applied_rates)
            if before is not None and rate.is_below(before):
                self.former.setdefault(name, FormerRate(before, now + LOWERED_AFTER_S))
            else:
                self.former.pop(name, None)
        self.applied_rates = self.rates

    def rate_of(
        self,
        workspace: WorkspaceName,
        now: float,
        rates: Mapping[WorkspaceName, TokenRate] | None = None,
    ) -> TokenRate | None:
        """Return the quota that applies to a workspace; None for no limit.

        Parameters
        ----------
        workspace : WorkspaceName
            The workspace.
        now : float
            Current time, in seconds.
        rates : mapping or None
            Quotas to use in place of ``self.rates``.
        """
        former = self.former.get(workspace)
        if former is not None and now < former.until:
            return former.rate
        return (self.rates if rates is None else rates).get(workspace)

    def add_history(
        self,
        host: HostId,
        spent: Iterable[WorkspaceSpending],
        covered_s: float,
        now: float,
    ) -> None:
        """Add the spending that a host reports from before these buckets existed.

        Only the first report of each host counts.

        Parameters
        ----------
        host : HostId
            The host that reports.
        spent : iterable of WorkspaceSpending
            What it spent in the last seconds.
        covered_s : float
            For how many seconds back ``spent`` is complete.
        now : float
            Current time, in seconds.
        """
        if host in self.coverage:
            return
        if not self.coverage:
            self.first_report_at = now
        self.coverage[host] = min(1.0, max(0.0, covered_s / HISTORY_S))
        for row in spent:
            totals = self.past_spending.setdefault(row.workspace, [0] * HISTORY_S)
            for age_index, tokens in enumerate(row.tokens[:HISTORY_S]):
                totals[age_index] += tokens

    def initial_tokens(self, workspace: WorkspaceName, rate: TokenRate) -> float:
        """Return the tokens that a new bucket starts with.

        A full bucket is reduced by the reported spending of the last seconds,
        less what the rate has refilled since. What hosts that have just started
        or are unreachable have spent is unknown. Hosts on the other side of a
        network partition may have spent most of a quota: their buckets give out
        the rest of it, and this one gives out its share in addition. So the
        unknown part of the history starts with only `FRESH_SHARE` of a bucket.
        """
        coverage = sum(self.coverage.values()) / max(
            1, self.expected_hosts, len(self.coverage)
        )
        coverage *= self.share
        full = self.capacity(rate) * (FRESH_SHARE + (1.0 - FRESH_SHARE) * coverage)
        gained = rate.rate * RATE_FACTOR * self.share
        sums = accumulate(self.past_spending.get(workspace, ()))
        missing = [spent - gained * (index + 1) for index, spent in enumerate(sums)]
        return full - max([0.0, *missing])

    def wait_s(
        self, workspace: WorkspaceName, charge: int, now: float, queued_tokens: int = 0
    ) -> float:
        """Return the seconds until ``charge`` is within the quota; 0 if it is now.

        Parameters
        ----------
        workspace : WorkspaceName
            The workspace.
        charge : int
            Tokens of the request.
        now : float
            Current time, in seconds.
        queued_tokens : int
            Tokens of requests that already wait for the quota and go first.
        """
        rate = self.rate_of(workspace, now)
        if rate is None or rate.rate <= 0:
            return 0.0
        bucket = self.refill(workspace, rate, now)
        # Without this limit, a request larger than the full bucket would never run.
        charge = min(charge, self.capacity(rate))
        return self.refill_s(rate, charge + queued_tokens - bucket.tokens)

    def refill_s(self, rate: TokenRate, missing: float) -> float:
        """Return the seconds in which a bucket gains ``missing`` tokens."""
        if missing <= 0:
            return 0.0
        return max(SOONEST_S, missing / (rate.rate * RATE_FACTOR * self.share))

    def spend_share(
        self, workspace: WorkspaceName, charge: int, now: float, phase: float
    ) -> float:
        """Take a request out of a share that may be smaller than any request.

        Where many hosts share a quota, a full bucket holds less than a request needs.
        If each host overdrew its bucket, all of them together would run many times
        the quota at the same moment. If none did, a workspace within its quota would
        get nothing. So a host may overdraw by its phase, a fixed fraction of the
        request. With phases spread evenly over the hosts, what all of them run is
        what their shares add up to, at each moment.

        Parameters
        ----------
        workspace : WorkspaceName
            The workspace.
        charge : int
            Tokens of the request.
        now : float
            Current time, in seconds.
        phase : float
            Number between 0 and 1 of this host for the workspace.

        Returns
        -------
        float
            Seconds until the request is worth another try; 0 if it was taken.
        """
        rate = self.rate_of(workspace, now)
        if rate is None or rate.rate <= 0:
            return 0.0
        if self.share < 1.0:
            tokens = self.refill(workspace, rate, now).tokens
            wait_s = self.refill_s(rate, charge * (1.0 - phase) - tokens)
        else:
            wait_s = self.wait_s(workspace, charge, now)
        if wait_s == 0:
            self.take(workspace, charge, now)
        return wait_s

    def take(self, workspace: WorkspaceName, charge: int, now: float) -> None:
        """Take the tokens of an admitted request from its workspace's bucket."""
        rate = self.rate_of(workspace, now)
        if rate is not None and rate.rate > 0:
            self.refill(workspace, rate, now).tokens -= charge
            self.granted[workspace] += charge

    def take_activity(self, now: float) -> list[QuotaActivity]:
        """Return what workspaces were granted since the last call, least left first."""
        rows = []
        for name, granted in self.granted.items():
            rate = self.rate_of(name, now)
            if rate is not None:
                left = self.refill(name, rate, now).tokens
                rows.append(
                    QuotaActivity(name, rate, granted, left, self.opened.get(name))
                )
        self.granted.clear()
        self.opened.clear()
        return sorted(rows, key=attrgetter("left"))

    def discard_stale_bucket(
        self, workspace: WorkspaceName, answered_at: float
    ) -> None:
        """Discard a bucket that missed what an allocator admitted in between.

        A host uses buckets of its own only while it has no allocator. They don't
        count what an allocator admitted in between, so a bucket that refilled
        meanwhile would grant the same tokens a second time.

        Parameters
        ----------
        workspace : WorkspaceName
            The workspace.
        answered_at : float
            When an allocator last answered this host, in seconds.
        """
        bucket = self.buckets.get(workspace)
        if bucket is not None and answered_at - bucket.updated_at > HISTORY_S:
            del self.buckets[workspace]

    def capacity(self, rate: TokenRate) -> float:
        """Return the capacity of a bucket, in tokens."""
        return (rate.burst + self.slack * SLACK_SHARE) * self.share

    def refill(
        self, workspace: WorkspaceName, rate: TokenRate, now: float
    ) -> TokenBucket:
        """Return the bucket of a workspace, refilled up to ``now``."""
        capacity = self.capacity(rate)
        bucket = self.buckets.get(workspace)
        if bucket is None:
            tokens = self.initial_tokens(workspace, rate)
            start = now if self.first_report_at is None else self.first_report_at
            bucket = self.buckets[workspace] = TokenBucket(tokens, start)
            self.opened[workspace] = tokens
        gained = (now - bucket.updated_at) * rate.rate * RATE_FACTOR * self.share
        bucket.tokens = min(capacity, bucket.tokens + max(0.0, gained))
        bucket.updated_at = now
        return bucket
