"""A region in which far more waits than its allocator can be told of."""

from tests.scheduler.overload import Region

USUAL_PER_S, BURST_PER_S = 60, 460
OLDEST_S = 0.4
"""A host takes an allocator for silent that has not answered for so long."""
SERVED_SHARE = 0.9


def make_region(link_bytes_s: float) -> Region:
    return Region(
        hosts=17, slots=64, hold_s=0.8, patience_s=3.0, link_bytes_s=link_bytes_s
    )


def test_reports_of_a_burst_do_not_pile_up_before_their_allocator():
    """Guards against an overload that outlasts its cause.

    More reports than the allocator's link takes in wait before it. It grants to
    calls that have left, so more waits, of which there are more reports.
    """
    region = make_region(link_bytes_s=600_000)
    region.play(3, USUAL_PER_S)
    region.play(6, BURST_PER_S)
    region.play(4, USUAL_PER_S)
    oldest_s = max(delay for _, delay in region.delays)
    assert oldest_s <= OLDEST_S


def test_service_is_back_when_a_burst_has_gone():
    """Guards against a pool that serves nobody at its usual load, burst or not."""
    region = make_region(link_bytes_s=300_000)
    region.play(3, USUAL_PER_S)
    region.play(6, BURST_PER_S)
    region.play(2, USUAL_PER_S)
    region.ended.clear()
    region.play(3, USUAL_PER_S)
    assert region.ended.total() >= 3 * USUAL_PER_S * SERVED_SHARE


def test_a_slow_link_is_given_time_to_tell_of_what_waits():
    """Guards against the same where no form of report could be small enough."""
    region = make_region(link_bytes_s=60_000)
    region.play(3, USUAL_PER_S)
    region.play(6, BURST_PER_S)
    region.play(4, USUAL_PER_S)
    late = [delay for at, delay in region.delays if delay > 2 * OLDEST_S]
    assert not late
