"""Which part of the calls of a flood hosts ask for."""

import random

from godwitladder.decisions.admission import (
    BEHIND_S,
    LOOK_S,
    MIN_SHARE,
    AdmissionController,
)
from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.policy import ROUTED
from tests.decisions.pools import add, make_pool, make_target

BEHIND = 2 * BEHIND_S
FLOOD, QUIET = ("models", "floods"), ("models", "quiet")


def play(
    admission: AdmissionController,
    seconds: float,
    came: dict,
    places: int,
    behind_s: float = BEHIND,
) -> list[int]:
    """Let calls come in each look; return how many were asked for in each."""
    dice = random.Random(1)
    asked = []
    now = max(admission.looked, 0.0)
    for _ in range(round(seconds / LOOK_S)):
        now += LOOK_S
        calls = [
            flow
            for flow, number in came.items()
            for _ in range(number)
            if dice.random() < admission.shares.get(flow, 1.0)
        ]
        dice.shuffle(calls)
        admission.requested.update(calls)
        admission.served.update(calls[:places])
        admission.shed.update(calls[places:])
        asked.append(len(calls))
        admission.update(now, behind_s)
    return asked


def test_an_allocator_is_asked_for_some_more_than_it_can_serve():
    """Guards against an allocator that is buried in calls that it will refuse."""
    asked = play(AdmissionController(), 5.0, {FLOOD: 100}, places=10)
    assert asked[0] == 100
    assert max(asked[8:]) <= 40
    assert min(asked[8:]) >= 10


def test_a_workspace_that_floods_closes_nothing_for_others():
    """Guards against others refused unseen for what one workspace asks."""
    admission = AdmissionController()
    for step in range(20):
        admission.requested.update({FLOOD: 80, QUIET: 5})
        admission.served.update({FLOOD: 10, QUIET: 5})
        admission.shed.update({FLOOD: 70})
        admission.update(step * LOOK_S, BEHIND)
    assert admission.shares[FLOOD] < 1.0
    assert QUIET not in admission.shares


def test_all_is_asked_for_again_as_soon_as_nothing_is_shed():
    """Guards against callers refused beside free places when a flood has gone."""
    admission = AdmissionController()
    play(admission, 5.0, {FLOOD: 100}, places=10)
    assert admission.shares[FLOOD] <= 0.5
    play(admission, 1.0, {FLOOD: 10}, places=100)
    assert not admission.shares


def test_an_allocator_that_keeps_up_is_asked_for_all():
    """Guards against callers refused unseen who would have been served first."""
    asked = play(AdmissionController(), 3.0, {FLOOD: 100}, places=10, behind_s=0.02)
    assert min(asked) == 100


def test_some_calls_are_seen_also_while_none_can_be_served():
    """Guards against a service that nobody asks for when its targets are back."""
    admission = AdmissionController()
    play(admission, 5.0, {FLOOD: 100}, places=0)
    assert admission.shares[FLOOD] == MIN_SHARE


def test_a_pool_closes_for_the_workspace_whose_calls_it_sheds():
    """Guards against a flood that is taken for one of all workspaces."""
    pool = make_pool(make_target(limit=4))
    pool.policy = ROUTED
    add(pool, "other", workspace="w1")
    for number in range(40):
        add(pool, f"flood{number}")
    for row in pool.waiting.values():
        row.ttft_deadline = 0.3
    pool.staleness_s = BEHIND
    allocate(pool, 0.0)
    assert {workspace for _, workspace in pool.state.admission.shares} == {"w0"}
