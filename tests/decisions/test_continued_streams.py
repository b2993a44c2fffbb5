"""Streams that are taken up, beside requests of their own and other ranks."""

import pytest

from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.policy import ROUTED
from tests.decisions.pools import add, make_pool, make_target, shed_reasons, take

TTFT_S = 0.4
STEP_S = 0.1
SERVICE_S = 2.0


def make_overloaded_pool():
    pool = make_pool(
        make_target("t0", release="v1"),
        make_target("t1", release="v1"),
    )
    pool.policy = ROUTED
    return pool


def add_call(pool, name, now, release="", rank=1):
    add(
        pool,
        name,
        rank,
        deadline=now + 12.0,
        arrived=now,
        ttft_budget_s=TTFT_S,
        release=release,
    )
    pool.waiting[name].ttft_deadline = now + TTFT_S


def play(broken, seconds=6.0):
    """Play five times the capacity on busy targets; return what became of each."""
    pool = make_overloaded_pool()
    ends, fates = [], {}
    for name, view in pool.targets.items():
        view.used = view.limit
        ends += [(SERVICE_S / 2, name)] * view.limit
    for name in broken:
        add_call(pool, name, 0.0, release="v1")
    for step in range(int(seconds / STEP_S)):
        now = step * STEP_S
        for number in range(2):
            add_call(pool, f"new-{step}-{number}", now)
        for end, target in [row for row in ends if row[0] <= now]:
            ends.remove((end, target))
            pool.targets[target].used -= 1
        allocation = allocate(pool, now)
        for row in allocation.placements:
            ends.append((now + SERVICE_S, row.target))
            fates[row.request] = "placed"
        fates |= shed_reasons(allocation)
        take(pool, allocation)
    return fates


def test_streams_that_are_taken_up_outlast_a_burst():
    """Guards against streams that are shed for new ones after all hosts were lost."""
    broken = [f"broken-{number}" for number in range(12)]
    fates = play(broken)
    went_on = sum(fates.get(name) == "placed" for name in broken)
    new = [fate for name, fate in fates.items() if name.startswith("new")]
    assert went_on / len(broken) >= 0.5
    assert new.count("placed") / len(new) < went_on / len(broken)


def test_a_stream_that_is_taken_up_precedes_no_higher_rank():
    """Guards against a lower tier that is kept while a higher one is shed."""
    pool = make_overloaded_pool()
    for name in range(8):
        add_call(pool, f"high-{name}", 0.0, rank=0)
        add_call(pool, f"broken-{name}", 0.0, release="v1", rank=1)
    placed = {row.request for row in allocate(pool, 0.0).placements}
    assert placed == {f"high-{number}" for number in range(8)}


@pytest.mark.parametrize("release", ["", "v1"])
def test_only_a_stream_that_is_taken_up_is_kept_beyond_its_first_output(release):
    """Guards against new calls that wait for an answer that is late in any case."""
    pool = make_overloaded_pool()
    for view in pool.targets.values():
        view.used = view.limit
    add_call(pool, "r", 0.0, release=release)
    shed = {}
    for step in range(20):
        shed |= shed_reasons(allocate(pool, step * STEP_S))
    assert (shed == {}) == bool(release)
