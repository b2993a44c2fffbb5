"""The share of a flood's requests that hosts ask the allocator for."""

import random

from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.policy import ROUTED
from godwitladder.decisions.waiting.admission import (
    MAX_STALENESS_S,
    MIN_SHARE,
    UPDATE_INTERVAL_S,
    AdmissionController,
)
from tests.decisions.pools import add, make_pool, make_target

STALENESS_S = 2 * MAX_STALENESS_S
FLOOD, QUIET = ("models", "floods"), ("models", "quiet")


def simulate(
    admission: AdmissionController,
    seconds: float,
    arrivals: dict,
    slots: int,
    staleness_s: float = STALENESS_S,
) -> list[int]:
    """Send ``arrivals`` in each update interval; return how many are asked for.

    Each entry of the result is the number of one interval. ``arrivals`` maps a
    service and workspace to its number of requests in an interval, of which
    the first ``slots`` asked for are served and the rest shed.
    """
    rng = random.Random(1)
    totals = []
    now = max(admission.updated_at, 0.0)
    for _ in range(round(seconds / UPDATE_INTERVAL_S)):
        now += UPDATE_INTERVAL_S
        requests = [
            flow
            for flow, number in arrivals.items()
            for _ in range(number)
            if rng.random() < admission.shares.get(flow, 1.0)
        ]
        rng.shuffle(requests)
        admission.requested.update(requests)
        admission.served.update(requests[:slots])
        admission.shed.update(requests[slots:])
        totals.append(len(requests))
        admission.update(now, staleness_s)
    return totals


def test_an_overloaded_allocator_sees_somewhat_more_than_it_can_serve():
    """Guards against an allocator overloaded by requests that it will refuse."""
    asked = simulate(AdmissionController(), 5.0, {FLOOD: 100}, slots=10)
    assert asked[0] == 100
    assert max(asked[8:]) <= 40
    assert min(asked[8:]) >= 10


def test_a_flood_of_one_workspace_leaves_the_share_of_others_at_one():
    """Guards against refusing other workspaces because of one that floods."""
    admission = AdmissionController()
    for step in range(20):
        admission.requested.update({FLOOD: 80, QUIET: 5})
        admission.served.update({FLOOD: 10, QUIET: 5})
        admission.shed.update({FLOOD: 70})
        admission.update(step * UPDATE_INTERVAL_S, STALENESS_S)
    assert admission.shares[FLOOD] < 1.0
    assert QUIET not in admission.shares


def test_shares_return_to_one_once_nothing_is_shed():
    """Guards against refusals while slots are free, after a flood has ended."""
    admission = AdmissionController()
    simulate(admission, 5.0, {FLOOD: 100}, slots=10)
    assert admission.shares[FLOOD] <= 0.5
    simulate(admission, 1.0, {FLOOD: 10}, slots=100)
    assert not admission.shares


def test_an_allocator_that_keeps_up_sees_all_requests():
    """Guards against refusing unseen what the allocator would have served first."""
    asked = simulate(
        AdmissionController(), 3.0, {FLOOD: 100}, slots=10, staleness_s=0.02
    )
    assert min(asked) == 100


def test_a_least_share_is_asked_for_while_nothing_can_be_served():
    """Guards against a service that gets no requests when its targets recover."""
    admission = AdmissionController()
    simulate(admission, 5.0, {FLOOD: 100}, slots=0)
    assert admission.shares[FLOOD] == MIN_SHARE


def test_a_pool_reduces_the_share_of_the_workspace_that_it_sheds():
    """Guards against attributing the flood of one workspace to all."""
    pool = make_pool(make_target(limit=4))
    pool.policy = ROUTED
    add(pool, "other", workspace="w1")
    for number in range(40):
        add(pool, f"flood{number}")
    for row in pool.waiting.values():
        row.ttft_deadline = 0.3
    pool.staleness_s = STALENESS_S
    allocate(pool, 0.0)
    assert {workspace for _, workspace in pool.state.admission.shares} == {"w0"}
