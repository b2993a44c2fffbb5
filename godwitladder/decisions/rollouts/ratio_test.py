"""Tests whether a new version answers worse than the old one.

Load pattern: a new version fails in some answers, or is several times slower: at once,
later, under load, or on one route. The old one may fail too, and everything may be slow
for some seconds, so that only the difference between both over the same seconds counts.

Sequential probability ratio tests compare, on each route and over all routes:

- Failures: each answer of the new version, against the failure rate of the old one.
- Speed: the rank of each first output among those of the old one. A rank is uniform
  whatever the distribution of the times is, as long as both versions are alike.

*Condemned*: the statistic is cut off at 0 (a cumulative sum test), so that good answers
from the time before a version turned bad do not hide the bad ones after it. Several
alternatives are tested at once, as a test for frequent failures is slow to see rare
ones. The bound grows with the logarithm of the number of answers and of tests, which
keeps the probability that a good version is ever condemned below `FALSE_ALARM`.

*Proved*: the ratio over all answers since the order, without the cut, is below the
bound for `FALSE_PROOF`; nothing raises a fresh suspicion; each route with traffic has
its part of the evidence; and the new version does not hold back many more requests
without an answer than the old one. A version that never answers would otherwise be
judged by its good answers alone.

What it cannot distinguish: faults that hit only targets of the new version at the time
of its trial, such as the failure of their machines, or slower machines than those of
the old version. These condemn it, which costs a rollout but harms no caller.

Pure: times are passed in, in seconds.

Thresholds
----------
FALSE_ALARM : probability of condemning a good version, of 2% that may miss completion.
FALSE_PROOF : likelihood of the answers from a version that fails in `PROOF_EXCESS` of
    them, against a good one, at which the version is proved. All answers until the end
    decide, so that fewer than 1% of such versions are proved.
LEAST_ANSWERS : number of answers that the bound assumes at least.
ALARM_FACTOR : the false alarms of a cumulative sum test are fewer than one for each
    exp(bound) answers, as most answers find the statistic at 0.
FAILURE_EXCESSES : failure rates beyond that of the old version that are tested.
PROOF_EXCESS : a version that fails in this share more of its answers is bad.
RATE_FLOOR : failure rate of the old version that is assumed if it shows fewer. Single
    failures condemn nothing.
RATE_PRIOR : weight of the overall failure rate of the old version on each route, in
    answers. Routes with little traffic say little of their own.
TILTS : steepness of the distributions of ranks that are tested; 0.9 for all answers
    several times slower, 0.4 for some of them.
WINDOW_S : period over which the answers of both versions are compared.
WINDOW_WEIGHT : number of first outputs in a period that count as independent. Those of
    a target that is slow for a moment are slow together.
REFERENCE_KEPT : fraction of the old version's times that the next period keeps, for
    periods with few of them and for a cutover without any.
RATE_KEPT : the same for its failures, which are fewer.
REFERENCE_SIZE : number of the old version's first outputs that are needed.
LEAST_TRIED : answers without which a version gets no cutover.
LEAST_COMPARED : first outputs that must have been compared for a proof.
SLOW_PROOF, SLOW_CUTOVER : sum of the ratios of the ranks up to which a version counts
    as proved, and may get its cutover. One three times as slow is condemned long
    before; that of a good one varies by some units where targets are slow at times.
FAILURE_SUSPICION, RANK_SUSPICION : fractions of the bound at which a version is no
    longer proved. Failures are rare, so that a few in a short time are suspect.
ROUTE_FRACTION : fraction of its proportional part of the evidence that a route needs,
    and `ROUTE_SIZE` the number of answers in that part from which it counts.
MOST_FAILURES : failures beyond those expected that condemn a version, below the 50
    after which nothing may be sent to it; `EXCESS_DEVIATIONS` standard deviations are
    allowed where the old version fails often.
PENDING_FACTOR : how many times as many requests as those of the old version may wait
    for an answer; `PENDING_SLACK` beyond that are within chance.
"""

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass, field

from godwitladder.decisions.rollouts.evidence import (
    LAST_BUCKET,
    AnswerTotals,
    Evidence,
)
from godwitladder.ids import Release, RouteName

FALSE_ALARM = 0.005
FALSE_PROOF = 0.12
ALARM_FACTOR = 0.05
FAILURE_EXCESSES = (0.02, 0.08, 0.25)
PROOF_EXCESS = 0.1
RATE_FLOOR = 0.003
RATE_PRIOR = 30.0
TILTS = (0.4, 0.9)
WINDOW_S = 0.6
WINDOW_WEIGHT = 6.0
REFERENCE_KEPT = 0.5
RATE_KEPT = 0.8
REFERENCE_SIZE = 10.0
LEAST_TRIED = 20
LEAST_COMPARED = 20
SLOW_PROOF = 1.0
SLOW_CUTOVER = 5.0
FAILURE_SUSPICION = 0.6
RANK_SUSPICION = 0.8
ROUTE_FRACTION = 0.3
ROUTE_SIZE = 10.0
MOST_FAILURES = 40.0
EXCESS_DEVIATIONS = 4.5
PENDING_FACTOR = 2.5
PENDING_SLACK = 6.0
LEAST_ANSWERS = 50


class Verdict(enum.Enum):
    """What the answers so far tell of a version.

    Attributes
    ----------
    UNDECIDED
        Too few answers for a decision.
    PROVED
        It answers like the old version.
    CONDEMNED
        It answers worse; final.
    """

    UNDECIDED = "undecided"
    PROVED = "proved"
    CONDEMNED = "condemned"


def failure_ratio(good: int, failed: int, rate: float, excess: float) -> float:
    """Return the logarithm of the likelihood ratio of some answers.

    Parameters
    ----------
    rate : float
        Failure rate of the old version.
    excess : float
        By how much the failure rate of a bad version is higher.
    """
    bad_rate = min(0.99, rate + excess)
    return failed * math.log(bad_rate / rate) + good * math.log(
        (1.0 - bad_rate) / (1.0 - rate)
    )


def rank_ratios(times: Sequence[int], reference: Sequence[float]) -> tuple[float, ...]:
    """Return the logarithms of the likelihood ratios of some times, for each tilt.

    Parameters
    ----------
    times : sequence of int
        First outputs of the new version, by bucket.
    reference : sequence of float
        Those of the old version.
    """
    size = sum(reference)
    sums = [0.0] * len(TILTS)
    below = 0.0
    for count, other in zip(times, reference, strict=True):
        if count:
            rank = 2.0 * (below + other / 2.0) / size - 1.0
            for index, tilt in enumerate(TILTS):
                sums[index] += count * math.log(1.0 + tilt * rank)
        below += other
    return tuple(sums)


@dataclass
class RouteComparison:
    """Both versions on one route.

    Attributes
    ----------
    new, old : AnswerTotals
        What has been taken in.
    window_new, window_old : AnswerTotals
        Totals of which the times have been compared.
    reference : list of float
        Times of the old version in recent periods, by bucket.
    recent_good, recent_failed : float
        Answers of the old version in recent periods.
    last_good, last_failed : float
        Those in the last period.
    """

    new: AnswerTotals = field(default_factory=AnswerTotals)
    old: AnswerTotals = field(default_factory=AnswerTotals)
    window_new: AnswerTotals = field(default_factory=AnswerTotals)
    window_old: AnswerTotals = field(default_factory=AnswerTotals)
    reference: list[float] = field(default_factory=lambda: [0.0] * (LAST_BUCKET + 1))
    recent_good: float = 0.0
    recent_failed: float = 0.0
    last_good: float = 0.0
    last_failed: float = 0.0

    def usual_rate(self, overall: float) -> float:
        """Return the failure rate of the old version since the order."""
        failed = self.old.failed + RATE_PRIOR * overall
        return min(0.9, max(RATE_FLOOR, failed / (self.old.answered + RATE_PRIOR)))

    def recent_rate(self, overall: float) -> float:
        """Return the highest of its rates since the order, lately, and right now."""
        since = self.old.since(self.window_old)
        rates = [self.usual_rate(overall)]
        for good, failed in (
            (self.recent_good, self.recent_failed),
            (self.last_good, self.last_failed),
        ):
            failed += since.failed
            answered = failed + good + since.good
            rates.append((failed + RATE_PRIOR * overall) / (answered + RATE_PRIOR))
        return min(0.9, max(rates))

    def close_window(self) -> tuple[float, ...]:
        """Compare the times of a period; return the ratio for each tilt."""
        old = self.old.since(self.window_old)
        self.window_old = self.old.copy()
        self.last_good, self.last_failed = old.good, old.failed
        self.recent_good = RATE_KEPT * self.recent_good + old.good
        self.recent_failed = RATE_KEPT * self.recent_failed + old.failed
        if sum(old.times):
            self.reference = [
                REFERENCE_KEPT * known + count
                for known, count in zip(self.reference, old.times, strict=True)
            ]
        times = self.new.since(self.window_new).times
        if not any(times) or sum(self.reference) < REFERENCE_SIZE:
            return tuple(0.0 for _ in TILTS)
        self.window_new = self.new.copy()
        return rank_ratios(times, self.reference)


@dataclass
class Statistics:
    """Cumulative sums of one route, or of all.

    Attributes
    ----------
    failures : list of float
        By alternative in `FAILURE_EXCESSES`.
    ranks : list of float
        By alternative in `TILTS`.
    """

    failures: list[float] = field(default_factory=lambda: [0.0] * len(FAILURE_EXCESSES))
    ranks: list[float] = field(default_factory=lambda: [0.0] * len(TILTS))

    def add_failures(self, ratios: Sequence[float]) -> None:
        """Add the ratios of some answers."""
        self.failures = [
            max(0.0, known + ratio)
            for known, ratio in zip(self.failures, ratios, strict=True)
        ]

    def add_ranks(self, ratios: Sequence[float]) -> None:
        """Add the ratios of some first outputs."""
        self.ranks = [
            max(0.0, known + ratio)
            for known, ratio in zip(self.ranks, ratios, strict=True)
        ]

    def highest(self) -> float:
        """Return the highest statistic."""
        return max(*self.failures, *self.ranks)


@dataclass
class RatioTest:
    """Test of one version.

    Attributes
    ----------
    release : Release
        The new version.
    routes : dict
        Both versions by route.
    by_route : dict
        Statistics by route.
    overall : Statistics
        Those of all routes together.
    rank_sum : float
        Ratio of all first outputs for the steepest tilt, without a cut.
    compared : int
        Number of first outputs in that sum.
    usual_pending : int
        Most requests that waited for an answer of the old version.
    is_at_full_load : bool
        Whether new calls go to the new version alone.
    changes : int
        `Evidence.changes` when it was last taken in.
    window_ends_at : float or None
        End of the current period.
    is_condemned : bool
        Whether the version was condemned, here or by another allocator.
    """

    release: Release
    routes: dict[RouteName, RouteComparison] = field(default_factory=dict)
    by_route: dict[RouteName, Statistics] = field(default_factory=dict)
    overall: Statistics = field(default_factory=Statistics)
    rank_sum: float = 0.0
    compared: int = 0
    usual_pending: int = 0
    is_at_full_load: bool = False
    changes: int = 0
    window_ends_at: float | None = None
    is_condemned: bool = False

    def update(self, evidence: Evidence, now: float) -> None:
        """Take in what has been counted since the last update."""
        has_news = evidence.changes != self.changes
        if has_news:
            self.changes = evidence.changes
            self.add_failures(self.take_in(evidence))
        if self.window_ends_at is None:
            self.window_ends_at = now + WINDOW_S
        elif now >= self.window_ends_at:
            self.window_ends_at = now + WINDOW_S
            self.close_windows()
            has_news = True
        if has_news and (self.highest() >= self.bound() or self.has_excess()):
            self.is_condemned = True

    def take_in(self, evidence: Evidence) -> dict[RouteName, AnswerTotals]:
        """Copy the totals; return the new version's new answers by route."""
        added = {}
        for route in sorted(evidence.routes()):
            row = self.routes.setdefault(route, RouteComparison())
            self.by_route.setdefault(route, Statistics())
            new = evidence.new_version(self.release, route).copy()
            if new.answered != row.new.answered:
                added[route] = new.since(row.new)
            row.new = new
            row.old = evidence.old_versions(self.release, route)
        old_pending = sum(row.old.pending for row in self.routes.values())
        self.usual_pending = max(self.usual_pending, old_pending)
        return added

    def old_rate(self) -> float:
        """Return the failure rate of the old version over all routes."""
        failed = sum(row.old.failed for row in self.routes.values())
        answered = sum(row.old.answered for row in self.routes.values())
        return (failed + RATE_FLOOR * RATE_PRIOR) / (answered + RATE_PRIOR)

    def add_failures(self, added: dict[RouteName, AnswerTotals]) -> None:
        """Add new answers to the statistics."""
        rate = self.old_rate()
        sums = [0.0] * len(FAILURE_EXCESSES)
        for route, answers in added.items():
            route_rate = self.routes[route].recent_rate(rate)
            ratios = [
                failure_ratio(answers.good, answers.failed, route_rate, excess)
                for excess in FAILURE_EXCESSES
            ]
            self.by_route[route].add_failures(ratios)
            sums = [known + ratio for known, ratio in zip(sums, ratios, strict=True)]
        if added:
            self.overall.add_failures(sums)

    def close_windows(self) -> None:
        """Compare the times of the period that ends."""
        sums = [0.0] * len(TILTS)
        compared = 0
        for route, row in self.routes.items():
            before = sum(row.window_new.times)
            ratios = row.close_window()
            size = sum(row.window_new.times) - before
            compared += size
            weight = min(1.0, WINDOW_WEIGHT / size) if size else 0.0
            self.by_route[route].add_ranks([weight * ratio for ratio in ratios])
            sums = [known + ratio for known, ratio in zip(sums, ratios, strict=True)]
        weight = min(1.0, WINDOW_WEIGHT / compared) if compared else 0.0
        self.overall.add_ranks([weight * ratio for ratio in sums])
        self.rank_sum += weight * sums[-1]
        self.compared += compared

    def highest(self) -> float:
        """Return the highest statistic of all tests."""
        rows = (self.overall, *self.by_route.values())
        return max(row.highest() for row in rows)

    def has_excess(self) -> bool:
        """Return whether too many more answers failed than with the old version.

        A version that fails a little more often than the old one is seen late by the
        tests, and has had many bad answers by then where there are many requests.
        """
        rows = self.routes.values()
        failed = sum(row.new.failed for row in rows)
        expected = sum(
            row.new.answered * row.old.failed / max(1, row.old.answered) for row in rows
        )
        most = max(MOST_FAILURES, EXCESS_DEVIATIONS * math.sqrt(expected))
        return failed - expected >= most

    def bound(self) -> float:
        """Return the statistic from which the version is condemned."""
        tests = (1 + len(self.by_route)) * (len(FAILURE_EXCESSES) + len(TILTS))
        size = max(LEAST_ANSWERS, self.answered()) * tests
        return math.log(size * ALARM_FACTOR / FALSE_ALARM)

    def proof_ratio(self) -> float:
        """Return the ratio of all answers since the order, for `PROOF_EXCESS`."""
        rate = self.old_rate()
        return sum(
            failure_ratio(
                row.new.good, row.new.failed, row.usual_rate(rate), PROOF_EXCESS
            )
            for row in self.routes.values()
        )

    def verdict(self) -> Verdict:
        """Return what all answers so far tell."""
        if self.is_condemned:
            return Verdict.CONDEMNED
        if self.favours(is_proof=True):
            return Verdict.PROVED
        return Verdict.UNDECIDED

    def may_be_good(self) -> bool:
        """Return whether the answers do not speak against the version.

        More answers may still prove it: two failures among sixty answers of a version
        that fails as rarely as the old one are no rare chance.
        """
        return (
            not self.is_condemned
            and self.answered() >= LEAST_TRIED
            and self.favours(is_proof=False)
        )

    def answered(self) -> int:
        """Return the number of answers of the new version."""
        return sum(row.new.answered for row in self.routes.values())

    def favours(self, is_proof: bool) -> bool:
        """Return whether all evidence proves the version, or leaves it possible."""
        bound = math.log(FALSE_PROOF) if is_proof else -math.log(FALSE_PROOF)
        return (
            self.proof_ratio() <= bound
            and self.is_fast(is_proof)
            and not self.is_suspect()
            and self.covers_routes()
            and not self.holds_back()
        )

    def is_fast(self, is_proof: bool) -> bool:
        """Return whether the first outputs are as early as those of the old version.

        Without any times of the old version there is nothing to compare with. Ranks
        are all alike where both versions always take the same time, so that their sum
        of 0 is a proof only if there were any.
        """
        if not any(any(row.old.times) for row in self.routes.values()):
            return True
        if is_proof and self.compared < LEAST_COMPARED:
            return False
        return self.rank_sum <= (SLOW_PROOF if is_proof else SLOW_CUTOVER)

    def is_suspect(self) -> bool:
        """Return whether a statistic is near the bound."""
        bound = self.bound()
        return any(
            max(row.failures) >= FAILURE_SUSPICION * bound
            or max(row.ranks) >= RANK_SUSPICION * bound
            for row in (self.overall, *self.by_route.values())
        )

    def covers_routes(self) -> bool:
        """Return whether each route with traffic has its part of the evidence."""
        rows = self.routes.values()
        new = sum(row.new.answered for row in rows)
        everything = sum(row.new.answered + row.old.answered for row in rows)
        for row in rows:
            traffic = row.new.answered + row.old.answered
            due = new * traffic / max(1, everything)
            if due >= ROUTE_SIZE and row.new.answered < ROUTE_FRACTION * due:
                return False
        return True

    def holds_back(self) -> bool:
        """Return whether far more requests wait for an answer than with the old one."""
        rows = self.routes.values()
        pending = sum(row.new.pending for row in rows)
        old_pending = sum(row.old.pending for row in rows)
        answered = sum(row.new.answered for row in rows)
        old_answered = sum(row.old.answered for row in rows)
        usual = old_pending * answered / max(1, old_answered)
        if self.is_at_full_load:
            usual = self.usual_pending
        return pending > PENDING_FACTOR * usual + PENDING_SLACK
