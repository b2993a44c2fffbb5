"""Enforces the token quota of each workspace over all hosts with token buckets.

Load pattern: one workspace sends several times its quota. Without a limit its
requests share the targets equally with those of other workspaces, and requests
within a quota wait behind requests beyond one. A limit at each host would have
to be a share of the whole, and callers are spread unevenly over hosts. The
allocator of a pool sees all requests of the pool, so it keeps the buckets, and a
ledger of what others have granted; see `spending`.

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
UNNOTICED_S : about the time for which hosts are unreachable before it is noticed, and
    spend by themselves.
LOWERED_AFTER_S : delay before a lowered quota applies. The promise for a lower
    quota holds one window after all hosts know it. If it applied at once, a
    workspace that had used the higher quota would have its requests refused for
    seconds without need.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from operator import attrgetter

from godwitladder.decisions.limits.spending import (
    HISTORY_S,
    Issuer,
    Process,
    SpendingLedger,
    WorkspaceSpending,
)
from godwitladder.ids import HostId, WorkspaceName

RATE_FACTOR = 1.08
SLACK_SHARE = 0.75
FRESH_SHARE = 0.25
SOONEST_S = 0.1
UNNOTICED_S = 1.5
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
    issuers : frozenset of Issuer
        The allocator that owns these quotas, in its terms; empty for a host that
        spends its own share.
    ledger : SpendingLedger
        What workspaces have spent, by the grants of all issuers.
    expected_hosts : int
        Hosts that are expected to report their spending to a new allocator.
    coverage : dict
        For each host that has reported, the fraction of the last `HISTORY_S`
        seconds that its report covers.
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
    issuers: frozenset[Issuer] = frozenset()
    ledger: SpendingLedger = field(default_factory=SpendingLedger)
    expected_hosts: int = 1
    coverage: dict[HostId, float] = field(default_factory=dict)
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
                former = self.former.get(name)
                if former is None or now >= former.until:
                    self.former[name] = FormerRate(before, now + LOWERED_AFTER_S)
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

    def record_coverage(self, host: HostId, covered_s: float) -> None:
        """Record for how many seconds back the first report of a host is complete."""
        covered = min(1.0, max(0.0, covered_s / HISTORY_S))
        self.coverage.setdefault(host, covered)

    def take_spending(
        self,
        process: Process,
        spent: Iterable[WorkspaceSpending],
        sent_at: float,
        sent_s: float,
        term: int,
    ) -> None:
        """Count what a host tells it has spent.

        The parameters are those of `SpendingLedger.replace_told` and
        `SpendingLedger.replace_totals`.

        Hosts in touch are on this side of a partition, so that what other pools grant
        them is taken from the buckets too: the ledger, which counts against a whole
        quota, would leave each pool this side's share.
        """
        self.ledger.replace_told(process, spent, sent_at, sent_s, self.issuers)
        grown = self.ledger.replace_totals(process, spent, sent_at, term)
        for workspace, tokens in grown.items():
            if workspace in self.buckets:
                self.buckets[workspace].tokens -= tokens

    def set_share(self, share: float, now: float) -> None:
        """Set the share of each quota that these buckets may give out.

        A share falls as hosts turn out to be unreachable. They have spent their own
        shares since they were cut off, while these buckets still gave out all.
        """
        lost = self.share - share
        self.share = share
        if lost <= 0:
            return
        for workspace, bucket in self.buckets.items():
            rate = self.rate_of(workspace, now)
            if rate is not None:
                bucket.tokens -= lost * rate.rate * RATE_FACTOR * UNNOTICED_S

    def begin_again(self) -> None:
        """Start as a new allocator does, with what hosts are yet to report.

        An allocator that was away keeps its ledger. But others have granted what it
        hasn't heard of, and its buckets have refilled meanwhile.
        """
        self.buckets.clear()
        self.coverage.clear()

    def initial_tokens(
        self, workspace: WorkspaceName, rate: TokenRate, now: float
    ) -> float:
        """Return the tokens that a new bucket starts with.

        What hosts that have just started or are unreachable have spent is unknown.
        Hosts on the other side of a network partition may have spent most of a
        quota: their buckets give out the rest of it, and this one gives out its
        share in addition. So the unknown part of the history starts with only
        `FRESH_SHARE` of a bucket. The known part is in the ledger.

        A quota that was just used up has nothing left, whoever knows of it. If each
        new bucket began with something, each side of a partition would grant that.
        """
        if self.ledger.is_used_up(workspace, now):
            return 0.0
        coverage = sum(self.coverage.values()) / max(
            1, self.expected_hosts, len(self.coverage)
        )
        coverage *= self.share
        return self.capacity(rate) * (FRESH_SHARE + (1.0 - FRESH_SHARE) * coverage)

    def available(self, workspace: WorkspaceName, rate: TokenRate, now: float) -> float:
        """Return the tokens that may be granted, or the debt if negative.

        The bucket tells what may be granted without knowing of others, the ledger
        what everyone has spent of the whole quota, as far as that is known.
        """
        left = self.ledger.account(workspace).available(
            now,
            rate.burst + self.slack * SLACK_SHARE,
            rate.rate * RATE_FACTOR,
        )
        return min(left, self.refill(workspace, rate, now).tokens)

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
        available = self.available(workspace, rate, now)
        # Without this limit, a request larger than the full bucket would never run.
        charge = min(charge, self.capacity(rate))
        return self.refill_s(rate, charge + queued_tokens - available)

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
            available = self.available(workspace, rate, now)
            wait_s = self.refill_s(rate, charge * (1.0 - phase) - available)
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
            self.ledger.record_grant(workspace, charge, now)
            self.granted[workspace] += charge

    def take_activity(self, now: float) -> list[QuotaActivity]:
        """Return what workspaces were granted since the last call, least left first."""
        rows = []
        for name, granted in self.granted.items():
            rate = self.rate_of(name, now)
            if rate is not None:
                left = self.available(name, rate, now)
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

    def resume_share(
        self, workspace: WorkspaceName, answered_at: float, now: float
    ) -> None:
        """Take back what a bucket gained while an allocator answered.

        The share was the allocator's in that time. If the allocator has used the
        quota up, hosts that hear nothing of it again would otherwise all begin with
        full buckets. If it has not, the share is still there.

        Parameters
        ----------
        workspace : WorkspaceName
            The workspace.
        answered_at : float
            When an allocator last answered this host, in seconds.
        now : float
            Current time, in seconds.
        """
        bucket, rate = self.buckets.get(workspace), self.rate_of(workspace, now)
        if bucket is None or rate is None or answered_at <= bucket.updated_at:
            return
        if self.ledger.is_used_up(workspace, now):
            refilled = self.refill(workspace, rate, now)
            refilled.tokens = min(0.0, refilled.tokens)

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
            tokens = self.initial_tokens(workspace, rate, now)
            bucket = self.buckets[workspace] = TokenBucket(tokens, now)
            self.opened[workspace] = tokens
        gained = (now - bucket.updated_at) * rate.rate * RATE_FACTOR * self.share
        bucket.tokens = min(capacity, bucket.tokens + max(0.0, gained))
        bucket.updated_at = now
        return bucket
