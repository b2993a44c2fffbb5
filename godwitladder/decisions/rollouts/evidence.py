"""Answers of the versions of a service, as counted by the hosts.

Each source, a process of a host, counts cumulatively since the order. A later count
replaces the earlier one, so that a lost report or a new allocator loses nothing that a
live host knows. The counts of sources that have ended are kept.

Speed is compared by a histogram of the times to the first output, with logarithmic
buckets, normalised by the number of tokens that the target has to read. Histograms of
all hosts add up, so that the new version is compared with the old one over the same
seconds, also where each host sees a few answers only. Sums or medians of single hosts
could not be compared in this way.

Pure: no clock.

Thresholds
----------
BUCKETS_PER_DOUBLING : buckets for each factor of two. A version three times as slow is
    then more than three buckets away.
SHORTEST_S : upper bound of the first bucket, in seconds; faster answers are not told
    apart.
LAST_BUCKET : last bucket, above 100 s.
TOKENS_PER_UNIT : tokens that a target reads in about the time that an answer takes
    without any.
"""

import functools
import math
from dataclasses import dataclass, field

from godwitladder.ids import HostId, Incarnation, Release, RouteName

BUCKETS_PER_DOUBLING = 2
SHORTEST_S = 0.001
LAST_BUCKET = 36
TOKENS_PER_UNIT = 250.0

Source = tuple[HostId, Incarnation]


def time_bucket(seconds: float, tokens: int = 0) -> int:
    """Return the bucket of an answer's time to the first output.

    Parameters
    ----------
    seconds : float
        Time from sending the request to the first output, or to the whole answer of a
        plain service.
    tokens : int
        Tokens of the prompt that the target had to read: without the part that it was
        expected to hold from earlier prompts, as a new version begins without any.
    """
    normalised = seconds / (1.0 + tokens / TOKENS_PER_UNIT)
    if normalised <= SHORTEST_S:
        return 0
    bucket = math.ceil(BUCKETS_PER_DOUBLING * math.log2(normalised / SHORTEST_S))
    return min(bucket, LAST_BUCKET)


@dataclass(frozen=True)
class AnswerCounts:
    """Answers of one version on one route, cumulatively since the order.

    Attributes
    ----------
    sent : int
        Requests sent to targets of the version, also those still without an answer.
    good, failed : int
        Answers that were complete, and those that failed in a way for which the target
        may be to blame. Requests that ended for another reason, such as the caller's
        disconnect or a link between hosts, are not counted, also not as sent.
    times : tuple of (int, int)
        Number of first outputs in each bucket of `time_bucket`, by bucket; buckets
        without any are left out. They are counted as they arrive, before it is known
        how the answer ends.
    """

    sent: int = 0
    good: int = 0
    failed: int = 0
    times: tuple[tuple[int, int], ...] = ()

    @functools.cached_property
    def events(self) -> int:
        """Number of events counted; of two reports of a source the later has more."""
        return self.good + self.failed + sum(count for _, count in self.times)


@dataclass
class AnswerTotals:
    """Sum of the counts of all sources.

    Attributes
    ----------
    sent, good, failed : int
        As in `AnswerCounts`.
    times : list of int
        Number of first outputs in each bucket.
    """

    sent: int = 0
    good: int = 0
    failed: int = 0
    times: list[int] = field(default_factory=lambda: [0] * (LAST_BUCKET + 1))

    @property
    def answered(self) -> int:
        """Number of answers."""
        return self.good + self.failed

    @property
    def pending(self) -> int:
        """Number of requests without an answer; 0 if sent requests are not counted."""
        return max(0, self.sent - self.answered)

    def replace(self, before: AnswerCounts, after: AnswerCounts) -> None:
        """Replace the counts of a source by later ones."""
        self.sent += after.sent - before.sent
        self.good += after.good - before.good
        self.failed += after.failed - before.failed
        for rows, sign in ((before.times, -1), (after.times, 1)):
            for bucket, count in rows:
                if not 0 <= bucket <= LAST_BUCKET:
                    bucket = 0 if bucket < 0 else LAST_BUCKET
                self.times[bucket] += sign * count

    def add_totals(self, other: "AnswerTotals") -> None:
        """Add other totals."""
        self.sent += other.sent
        self.good += other.good
        self.failed += other.failed
        self.times = [a + b for a, b in zip(self.times, other.times, strict=True)]

    def since(self, earlier: "AnswerTotals") -> "AnswerTotals":
        """Return what has been added since ``earlier``."""
        return AnswerTotals(
            self.sent - earlier.sent,
            self.good - earlier.good,
            self.failed - earlier.failed,
            [a - b for a, b in zip(self.times, earlier.times, strict=True)],
        )

    def copy(self) -> "AnswerTotals":
        """Return a copy."""
        return AnswerTotals(self.sent, self.good, self.failed, self.times[:])


@dataclass
class Evidence:
    """Counts of the answers since an order, by version, route and source.

    Attributes
    ----------
    rows : dict
        Last counts of each source.
    totals : dict
        Their sums, kept up to date as reports arrive: a service may have some hundred
        sources, of which few report between two steps.
    changes : int
        Number of reports that changed something.
    """

    rows: dict[tuple[Release, RouteName], dict[Source, AnswerCounts]] = field(
        default_factory=dict
    )
    totals: dict[tuple[Release, RouteName], AnswerTotals] = field(default_factory=dict)
    changes: int = 0

    def record(
        self, source: Source, release: Release, route: RouteName, counts: AnswerCounts
    ) -> None:
        """Record a source's counts in place of its earlier ones.

        Reports may arrive late and out of order: one with fewer events than are known
        of the source is older, and changes nothing.
        """
        by_source = self.rows.setdefault((release, route), {})
        totals = self.totals.setdefault((release, route), AnswerTotals())
        known = by_source.get(source, AnswerCounts())
        if counts == known:
            return
        if (counts.events, counts.sent) < (known.events, known.sent):
            return
        by_source[source] = counts
        self.changes += 1
        totals.replace(known, counts)

    def new_version(self, release: Release, route: RouteName) -> AnswerTotals:
        """Return the totals of the new version on a route."""
        return self.totals.get((release, route), AnswerTotals())

    def old_versions(self, release: Release, route: RouteName) -> AnswerTotals:
        """Return the totals of all versions but ``release`` on a route."""
        found = AnswerTotals()
        for (other, its_route), totals in self.totals.items():
            if other != release and its_route == route:
                found.add_totals(totals)
        return found

    def routes(self) -> set[RouteName]:
        """Return the routes on which there are answers."""
        return {route for _, route in self.totals}
