"""Counts of answers, as they arrive from the hosts."""

from godwitladder.decisions.rollouts.evidence import (
    LAST_BUCKET,
    AnswerCounts,
    Evidence,
    time_bucket,
)
from godwitladder.ids import HostId, Incarnation, Release, RouteName

NEW, OLD = Release("2"), Release("1")
ROUTE = RouteName("letter")
FIRST, AGAIN = (HostId("h1"), Incarnation(1)), (HostId("h1"), Incarnation(2))


def test_a_later_count_replaces_the_earlier_one():
    """Guards against answers that count again with each report."""
    evidence = Evidence()
    evidence.record(FIRST, NEW, ROUTE, AnswerCounts(4, 3, 1, ((5, 3),)))
    evidence.record(FIRST, NEW, ROUTE, AnswerCounts(9, 6, 2, ((5, 4), (7, 2))))
    totals = evidence.new_version(NEW, ROUTE)
    assert (totals.sent, totals.good, totals.failed) == (9, 6, 2)
    assert (totals.times[5], totals.times[7], sum(totals.times)) == (4, 2, 6)


def test_a_report_that_arrives_late_changes_nothing():
    """Guards against failures that an older report takes back."""
    evidence = Evidence()
    evidence.record(FIRST, NEW, ROUTE, AnswerCounts(9, 6, 2))
    evidence.record(FIRST, NEW, ROUTE, AnswerCounts(4, 3, 0))
    assert evidence.new_version(NEW, ROUTE).failed == 2


def test_what_a_host_counted_before_its_restart_is_kept():
    """Guards against evidence that ends with the host that saw it."""
    evidence = Evidence()
    evidence.record(FIRST, NEW, ROUTE, AnswerCounts(9, 6, 2))
    evidence.record(AGAIN, NEW, ROUTE, AnswerCounts(1, 0, 1))
    assert evidence.new_version(NEW, ROUTE).failed == 3


def test_all_other_versions_count_as_the_old_one():
    evidence = Evidence()
    for release in (NEW, OLD, Release("0")):
        evidence.record(FIRST, release, ROUTE, AnswerCounts(5, 5, 0))
    assert evidence.new_version(NEW, ROUTE).good == 5
    assert evidence.old_versions(NEW, ROUTE).good == 10


def test_an_invalid_bucket_counts_at_the_end():
    """Guards against a report of another version that stops the allocator."""
    evidence = Evidence()
    evidence.record(FIRST, NEW, ROUTE, AnswerCounts(2, 2, 0, ((-4, 1), (900, 1))))
    times = evidence.new_version(NEW, ROUTE).times
    assert times[0] == times[LAST_BUCKET] == 1


def test_three_times_as_long_is_three_buckets_away():
    """Guards against a version three times as slow that looks like the old one."""
    assert time_bucket(0.3) - time_bucket(0.1) >= 3
    assert time_bucket(0.0) == 0
    assert time_bucket(1e9) == LAST_BUCKET


def test_a_long_prompt_is_not_slow():
    """Guards against versions that are compared by what they were asked."""
    assert time_bucket(0.5, 1000) == time_bucket(0.1)
