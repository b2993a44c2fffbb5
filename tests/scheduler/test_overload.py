"""Tests of a region with more waiting calls than fit through the allocator's link."""

import hashlib

from tests.scheduler import overload
from tests.scheduler.harness import make_request
from tests.scheduler.overload import Region

USUAL_PER_S, BURST_PER_S = 60, 460
MAX_DELAY_S = 0.4
"""Time without an answer after which a host takes its allocator for unreachable."""
MIN_SERVED_SHARE = 0.9


def make_region(link_bytes_s: float) -> Region:
    return Region(
        hosts=17, slots=64, hold_s=0.8, patience_s=3.0, link_bytes_s=link_bytes_s
    )


def test_reports_of_a_burst_do_not_queue_up_at_the_allocator():
    """Guards against an overload that outlasts its cause.

    Reports queue up because the allocator's link can't carry them. The allocator
    then grants to calls whose callers have left, so more calls wait, which need
    more reports.
    """
    region = make_region(link_bytes_s=600_000)
    region.run(3, USUAL_PER_S)
    region.run(6, BURST_PER_S)
    region.run(4, USUAL_PER_S)
    max_delay_s = max(delay for _, delay in region.delays)
    assert max_delay_s <= MAX_DELAY_S


def test_service_recovers_after_a_burst():
    """Guards against a pool that stays overloaded at its usual load after a burst."""
    region = make_region(link_bytes_s=300_000)
    region.run(3, USUAL_PER_S)
    region.run(6, BURST_PER_S)
    region.run(2, USUAL_PER_S)
    region.answered.clear()
    region.run(3, USUAL_PER_S)
    assert region.answered.total() >= 3 * USUAL_PER_S * MIN_SERVED_SHARE


def test_a_slow_link_is_given_time_to_tell_of_what_waits():
    """Guards against queued reports where no report is small enough for the link."""
    region = make_region(link_bytes_s=60_000)
    region.run(3, USUAL_PER_S)
    region.run(6, BURST_PER_S)
    region.run(4, USUAL_PER_S)
    late = [delay for at, delay in region.delays if delay > 2 * MAX_DELAY_S]
    assert not late


def test_reports_of_requests_with_random_ids_fit_through_a_slow_link(monkeypatch):
    """Guards against reports that are short only because ids in tests are alike."""
    monkeypatch.setattr(overload, "make_request", make_request_with_random_id)
    test_a_slow_link_is_given_time_to_tell_of_what_waits()


def make_request_with_random_id(name, *args):
    return make_request(hashlib.sha256(name.encode()).hexdigest()[:16], *args)
