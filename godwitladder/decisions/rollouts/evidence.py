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

import math
from collections.abc import Iterable
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
    good, failed : int
        Answers that were complete, and those that failed in a way for which the target
        may be to blame. Requests that ended for another reason, such as the caller's
        disconnect or a link between hosts, are not counted.
    times : tuple of (int, int)
        Number of good answers in each bucket of `time_bucket`, by bucket; buckets
        without any are left out.
    """

    good: int = 0
    failed: int = 0
    times: tuple[tuple[int, int], ...] = ()


@dataclass
class Evidence:
    """Counts of the answers since an order, by version, route and source.

    Attributes
    ----------
    rows : dict
        Last counts of each source.
    """

    rows: dict[tuple[Release, RouteName], dict[Source, AnswerCounts]] = field(
        default_factory=dict
    )

    def record(
        self, source: Source, release: Release, route: RouteName, counts: AnswerCounts
    ) -> None:
        """Record a source's counts in place of its earlier ones.

        Reports may arrive late and out of order: one with fewer answers than are known
        of the source is older, and changes nothing.
        """
        by_source = self.rows.setdefault((release, route), {})
        known = by_source.get(source, AnswerCounts())
        if counts.good + counts.failed >= known.good + known.failed:
            by_source[source] = counts

    def total(self, releases: Iterable[Release], route: RouteName) -> AnswerCounts:
        """Return the sum over all sources of the counts of some versions."""
        good = failed = 0
        times: dict[int, int] = {}
        for release in releases:
            for counts in self.rows.get((release, route), {}).values():
                good += counts.good
                failed += counts.failed
                for bucket, count in counts.times:
                    times[bucket] = times.get(bucket, 0) + count
        return AnswerCounts(good, failed, tuple(sorted(times.items())))

    def releases(self) -> set[Release]:
        """Return the versions of which there are answers."""
        return {release for release, _ in self.rows}

    def routes(self) -> set[RouteName]:
        """Return the routes on which there are answers."""
        return {route for _, route in self.rows}
