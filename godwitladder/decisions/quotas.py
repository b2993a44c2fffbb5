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
FRESH_SHARE : of what nobody can tell a new book, since the hosts that knew it
    are gone, a quarter is given out: all of it would be the burst anew with each
    change of the allocator. A quarter of burst and slack fits into what is
    left above.
HISTORY_S : hosts remember what they spent for so long, which is the window of
    the promise. A new book is filled from that: a quarter full in any case, it
    refused calls within their quotas after a cut.
LOWERED_AFTER_S : what is promised of a lower quota holds one window after all hosts
    know it. Taken for binding at once, a workspace that had used the higher one has its
    calls refused for seconds though nobody owes that to anyone.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate

from godwitladder.ids import HostId, WorkspaceName

RATE_FACTOR = 1.08
SLACK_SHARE = 0.75
FRESH_SHARE = 0.25
SOONEST_S = 0.1
HISTORY_S = 8
LOWERED_AFTER_S = float(HISTORY_S)


@dataclass(frozen=True)
class TokenRate:
    """Tokens a second and at once; a rate of 0 is no bound."""

    rate: float
    burst: float

    def is_below(self, other: "TokenRate") -> bool:
        """Return whether this quota allows less than ``other``."""
        return self.rate < other.rate or self.burst < other.burst


@dataclass(frozen=True)
class FormerRate:
    """A higher quota, and until when it is still gone by."""

    rate: TokenRate
    until: float


@dataclass
class TokenBucket:
    """What is left of one workspace's tokens, and when that was worked out."""

    left: float
    at: float


@dataclass(frozen=True)
class WorkspaceSpending:
    """Tokens of one workspace that a host spent.

    Attributes
    ----------
    tokens : tuple of int
        In each of the last seconds, the newest first.
    """

    workspace: WorkspaceName
    tokens: tuple[int, ...]


@dataclass
class SpendingHistory:
    """What a host spent of each workspace's tokens in the last seconds.

    Attributes
    ----------
    began : float or None
        When it was first asked: what was spent before that is not known.
    """

    began: float | None = None
    seconds: dict[WorkspaceName, dict[int, int]] = field(default_factory=dict)

    def note(self, workspace: WorkspaceName, charge: int, now: float) -> None:
        """Count a request that was sent to a target."""
        rows = self.seconds.setdefault(workspace, {})
        second = int(now)
        rows[second] = rows.get(second, 0) + charge
        for old in [at for at in rows if at <= second - HISTORY_S]:
            del rows[old]

    def recent_spending(self, now: float) -> tuple[WorkspaceSpending, ...]:
        """Return what was spent, of the workspaces that spent anything."""
        newest = int(now)
        seconds = range(newest, newest - HISTORY_S, -1)
        rows = []
        for name, spent in sorted(self.seconds.items()):
            tokens = tuple(spent.get(second, 0) for second in seconds)
            if any(tokens):
                rows.append(WorkspaceSpending(name, tokens))
        return tuple(rows)

    def known_s(self, now: float) -> float:
        """Return for how many of the last seconds nothing is missing."""
        if self.began is None:
            self.began = now
        return now - self.began


@dataclass
class TokenQuotas:
    """The buckets of all workspaces with a bound.

    Attributes
    ----------
    slack : float
        Tokens that a workspace may have beyond its quota in a window.
    share : float
        Part of each quota that this book may give out; less than 1 where
        other hosts can't be seen and may have a book of their own.
    hosts : int
        Hosts that a new book expects to be told by.
    began : float or None
        When the first of them told.
    told : dict
        Of each host that has told its past, the part of it that it knows.
    past : dict
        Tokens of each workspace that they spent, by second, the newest first.
    former : dict
        Quotas that were lowered a moment ago.
    settled : mapping
        The quotas that `settle` has taken in.
    """

    slack: float = 0.0
    share: float = 1.0
    rates: Mapping[WorkspaceName, TokenRate] = field(default_factory=dict)
    buckets: dict[WorkspaceName, TokenBucket] = field(default_factory=dict)
    expected_hosts: int = 1
    began: float | None = None
    told: dict[HostId, float] = field(default_factory=dict)
    past: dict[WorkspaceName, list[int]] = field(default_factory=dict)
    former: dict[WorkspaceName, FormerRate] = field(default_factory=dict)
    settled: Mapping[WorkspaceName, TokenRate] = field(default_factory=dict)

    def apply_rates(self, now: float) -> None:
        """Take in quotas that were set since the last call."""
        if self.settled is self.rates:
            return
        for name, rate in self.rates.items():
            before = self.rate_of(name, now, self.settled)
            if before is not None and rate.is_below(before):
                self.former.setdefault(name, FormerRate(before, now + LOWERED_AFTER_S))
            else:
                self.former.pop(name, None)
        self.settled = self.rates

    def rate_of(
        self,
        workspace: WorkspaceName,
        now: float,
        rates: Mapping[WorkspaceName, TokenRate] | None = None,
    ) -> TokenRate | None:
        """Return the quota that a workspace has now; None for no bound.

        Parameters
        ----------
        rates : mapping or None
            In place of those in force.
        """
        former = self.former.get(workspace)
        if former is not None and now < former.until:
            return former.rate
        return (self.rates if rates is None else rates).get(workspace)

    def add_history(
        self,
        host: HostId,
        spent: Iterable[WorkspaceSpending],
        known_s: float,
        now: float,
    ) -> None:
        """Take in what a host spent before this book was begun."""
        if host in self.told:
            return
        if not self.told:
            self.began = now
        self.told[host] = min(1.0, max(0.0, known_s / HISTORY_S))
        for row in spent:
            past = self.past.setdefault(row.workspace, [0] * HISTORY_S)
            for place, tokens in enumerate(row.tokens[:HISTORY_S]):
                past[place] += tokens

    def opening(self, workspace: WorkspaceName, rate: TokenRate) -> float:
        """Return what a new book has left of a workspace's tokens.

        What was spent in the last seconds is missing, less what has come in
        since. What hosts that just started or can't be seen have spent nobody
        here knows: if those on the other side of a cut spent most of a quota,
        their book gives out the rest of it, and this one its part on top.
        """
        known = sum(self.told.values()) / max(1, self.expected_hosts, len(self.told))
        known *= self.share
        full = self.size(rate) * (FRESH_SHARE + (1.0 - FRESH_SHARE) * known)
        gained = rate.rate * RATE_FACTOR * self.share
        sums = accumulate(self.past.get(workspace, ()))
        missing = [spent - gained * (place + 1) for place, spent in enumerate(sums)]
        return full - max([0.0, *missing])

    def wait_s(
        self, workspace: WorkspaceName, charge: int, now: float, promised: int = 0
    ) -> float:
        """Return the seconds until ``charge`` is within the quota; 0 for now.

        Parameters
        ----------
        promised : int
            Tokens of requests that wait for the quota before this one.
        """
        rate = self.rate_of(workspace, now)
        if rate is None or rate.rate <= 0:
            return 0.0
        bucket = self.fill(workspace, rate, now)
        # One request larger than the whole bucket would otherwise never run.
        missing = min(charge, self.size(rate)) + promised - bucket.left
        if missing <= 0:
            return 0.0
        return max(SOONEST_S, missing / (rate.rate * RATE_FACTOR * self.share))

    def take(self, workspace: WorkspaceName, charge: int, now: float) -> None:
        """Count a request that is let in."""
        rate = self.rate_of(workspace, now)
        if rate is not None and rate.rate > 0:
            self.fill(workspace, rate, now).left -= charge

    def discard_stale_bucket(
        self, workspace: WorkspaceName, answered_at: float
    ) -> None:
        """Forget a bucket that was not in use when another book was.

        A host without an allocator keeps a book only while it has none. What the
        allocator let run in between is not in it, and a bucket that had filled
        up meanwhile would be spent a second time.

        Parameters
        ----------
        answered_at : float
            When an allocator was last heard of.
        """
        bucket = self.buckets.get(workspace)
        if bucket is not None and answered_at - bucket.at > HISTORY_S:
            del self.buckets[workspace]

    def size(self, rate: TokenRate) -> float:
        """Return the tokens that a full bucket holds."""
        return (rate.burst + self.slack * SLACK_SHARE) * self.share

    def fill(
        self, workspace: WorkspaceName, rate: TokenRate, now: float
    ) -> TokenBucket:
        """Return the bucket as it stands now."""
        size = self.size(rate)
        bucket = self.buckets.get(workspace)
        if bucket is None:
            left = self.opening(workspace, rate)
            at = now if self.began is None else self.began
            bucket = self.buckets[workspace] = TokenBucket(left, at)
        gained = (now - bucket.at) * rate.rate * RATE_FACTOR * self.share
        bucket.left = min(size, bucket.left + max(0.0, gained))
        bucket.at = now
        return bucket
