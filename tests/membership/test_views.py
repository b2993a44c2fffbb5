"""Tests of the comparison of two hosts' views."""

from godwitladder.membership.members import Member
from godwitladder.membership.views import (
    MAX_REQUEST_INTERVAL_S,
    SETTLED_S,
    ViewComparison,
)


def make_comparison(*hosts):
    views = ViewComparison()
    views.update([Member(host, "r", f"{host}:1", 1, 0.0) for host in hosts])
    return views


def test_order_of_hosts_makes_no_difference():
    assert make_comparison("a", "b").digest == make_comparison("b", "a").digest


def test_views_that_still_change_are_not_requested():
    """Guards against requests of all hosts at once while hosts come and go."""
    views = make_comparison("a")
    theirs = [make_comparison("a", f"b{n}").digest for n in range(9)]
    now = 0.0
    for digest in theirs:
        assert not views.is_request_due("p", digest, now)
        now += 0.9 * SETTLED_S
    assert views.is_request_due("p", theirs[-1], now + SETTLED_S)


def test_requests_for_a_view_that_stays_different_become_rare():
    """Guards against constant requests where two hosts can't agree."""
    views, theirs = make_comparison("a"), make_comparison("b").digest
    times = [now for now in range(1000) if views.is_request_due("p", theirs, now)]
    gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
    assert times[0] <= SETTLED_S
    assert gaps == sorted(gaps)
    assert max(gaps) == MAX_REQUEST_INTERVAL_S
