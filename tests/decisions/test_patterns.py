"""What callers get under each load pattern, compared with naive dispatch.

The traces are those of the bench, shortened, with a paused clock and no network.
"""

import dataclasses
import statistics

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.patterns import USERS, Pattern, compare, make_patterns, slow_scenario
from bench.policies import Naive, Scheduled
from bench.queues import Player, Scenario
from bench.report import flood_and_other_shares, load_variation
from bench.traces import make_trace

SHORT_S = 45.0
NAMES = [pattern.name for pattern in make_patterns(USERS[0])]
CASES = [(user, name) for user in USERS for name in NAMES]
_results = {}


def run_pattern(user, name):
    """Return the runs of a shortened pattern under both policies, cached."""
    if (user.name, name) not in _results:
        pattern = next(p for p in make_patterns(user) if p.name == name)
        trace = [row for row in pattern.scenario.trace if row.time < SHORT_S]
        scenario = dataclasses.replace(pattern.scenario, trace=trace)
        shortened = dataclasses.replace(pattern, scenario=scenario)
        _results[user.name, name] = compare(shortened)
    return _results[user.name, name]


def in_time(run, rank=None):
    """Return the fraction of requests in time, of one rank or of all."""
    rows = [row for key, row in run.outcomes.items() if rank in (None, key)]
    return sum(row.in_time for row in rows) / sum(row.offered for row in rows)


@pytest.mark.parametrize(("user", "name"), CASES, ids=lambda value: str(value)[:20])
def test_callers_get_more_than_from_naive_dispatch(user, name):
    """Guards against results worse than naive dispatch under any pattern.

    No tier is shed before a lower one, at least as many answers are in time, and
    little prefill is wasted. The top tier loses requests only where its own
    burst, or its own long requests, exceed the capacity of the targets.
    """
    compared = run_pattern(user, name)
    naive, ours = compared.naive, compared.ours
    assert all(row.inversions == 0 for row in ours.outcomes.values())
    assert in_time(ours) >= in_time(naive)
    assert in_time(ours, 0) >= (0.85 if "long" in name or name == "burst" else 0.95)
    assert ours.wasted <= max(naive.wasted / 2, 0.05 * ours.prefilled)


@pytest.mark.parametrize("user", USERS, ids=lambda user: user.name)
def test_saturation_keeps_the_tiers_in_order(user):
    for name in ("saturation 2x", "saturation 4x"):
        ours = run_pattern(user, name).ours
        shares = [in_time(ours, rank) for rank in sorted(ours.outcomes)]
        assert shares[0] >= 0.95
        for higher, lower in zip(shares, shares[1:], strict=False):
            assert higher >= lower - 0.03


@pytest.mark.parametrize("user", USERS, ids=lambda user: user.name)
def test_a_flood_of_one_workspace_does_not_reach_the_others(user):
    ours = run_pattern(user, "few callers").ours
    flood, rest = flood_and_other_shares(ours)
    assert rest >= flood


@pytest.mark.parametrize("user", USERS, ids=lambda user: user.name)
def test_a_retry_storm_does_not_starve_first_tries(user):
    compared = run_pattern(user, "retry storm")
    assert compared.ours.first_tries > 2 * compared.naive.first_tries
    answered_in_time = sum(row.in_time for row in compared.ours.outcomes.values())
    assert compared.ours.first_tries > 0.8 * answered_in_time


@pytest.mark.parametrize("user", USERS, ids=lambda user: user.name)
def test_load_does_not_oscillate_on_stale_reports(user):
    """Guards against load oscillating between targets on reports 5 s old."""
    compared = run_pattern(user, "reports 5 s old")
    assert load_variation(compared.ours) < load_variation(compared.naive) / 4
    fresh = run_pattern(user, "reports 0 s old").ours
    assert load_variation(compared.ours) < 2 * load_variation(fresh)


@pytest.mark.parametrize("user", USERS, ids=lambda user: user.name)
def test_a_slow_target_gets_little_within_seconds(user):
    """Guards against load on a target that is six times slower from second 30.

    The slowdown shows in the target's streams.
    """
    scenario = slow_scenario(user)
    policy = Scheduled(user.engines)
    player = Player(scenario, policy)
    dispatches = dict.fromkeys(range(400), 0)
    dispatch = player.dispatch

    def count_dispatch(request, target, now):
        dispatches[int(now)] += target == scenario.slow.target
        dispatch(request, target, now)

    player.dispatch = count_dispatch
    player.play()
    before = statistics.mean(dispatches[second] for second in range(15, 30))
    during = statistics.mean(dispatches[second] for second in range(33, 70))
    after = statistics.mean(dispatches[second] for second in range(85, 100))
    assert during < before / 4
    assert after > before / 2


@settings(max_examples=12)
@given(
    st.sampled_from(USERS),
    st.sampled_from([0.5, 1.0, 1.5, 2.0, 3.0]),
    st.integers(0, 10_000),
)
def test_any_trace_keeps_the_invariants_against_naive(user, load, seed):
    """Guards, for any trace, against lost requests and inversions of tiers.

    The top tier gets about as many answers in time as with naive dispatch.
    """
    trace = make_trace(user.mix, user.engines, load, 15.0, seed)
    scenario = Scenario(trace, user.engines)
    ours = Player(scenario, Scheduled(user.engines)).play()
    naive = Player(scenario, Naive(user.engines)).play()
    for row in ours.outcomes.values():
        assert row.inversions == 0
        assert row.in_time + row.shed + row.timed_out + row.hung_up == row.offered
    assert in_time(ours, 0) >= in_time(naive, 0) - 0.02


def test_patterns_cover_both_users():
    assert all(isinstance(p, Pattern) for user in USERS for p in make_patterns(user))
