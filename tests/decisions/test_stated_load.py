"""How far an allocator believes what targets report of their load."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitladder.decisions.placing.stated_load import (
    MAX_FACTOR,
    MIN_FACTOR,
    TRUST_S,
    StatedSlowdowns,
    TargetSlowdown,
    trust,
)

SLOW = 2.5


def make_slowdowns(*figures, interval_s=0.1):
    """Return the state after a target has stated figures, the first one at 0 s."""
    slowdowns = StatedSlowdowns()
    for number, figure in enumerate(figures):
        slowdowns.observe("t0", "1", figure, number * interval_s)
    return slowdowns


def test_a_target_that_states_nothing_has_its_learned_time():
    assert StatedSlowdowns().factor("t0", "1", 5.0) == 1.0


def test_a_slow_target_is_expected_to_take_longer():
    slowdowns = make_slowdowns(1.0, SLOW)
    assert slowdowns.factor("t0", "1", 0.1) > 2.0


def test_a_report_counts_less_with_its_age_and_ends():
    """Guards against targets that stay unused after they have recovered."""
    slowdowns = make_slowdowns(1.0, SLOW)
    ages = [0.0, 0.2, 0.4, TRUST_S, 60.0]
    factors = [slowdowns.factor("t0", "1", 0.1 + age) for age in ages]
    assert factors == sorted(factors, reverse=True)
    assert factors[-2:] == pytest.approx([1.0, 1.0])


def test_an_older_report_that_arrives_later_is_not_used():
    """Guards against the report of one host that undoes the newer one of another."""
    slowdowns = make_slowdowns(1.0, SLOW)
    slowdowns.observe("t0", "1", 1.0, 0.05)
    assert slowdowns.factor("t0", "1", 0.1) > 2.0


def test_a_figure_that_never_changes_changes_nothing():
    """Guards against counting a lasting slowdown twice.

    The learned times contain it, and a target that always states the same figure
    would otherwise be taken for several times slower than it is.
    """
    slowdowns = make_slowdowns(*[SLOW] * 50)
    assert slowdowns.factor("t0", "1", 4.9) == pytest.approx(1.0)


def test_a_process_that_ended_has_stated_nothing():
    """Guards against the load of a process that a new one replaces."""
    slowdowns = make_slowdowns(1.0, SLOW)
    assert slowdowns.factor("t0", "2", 0.1) == 1.0
    late = [TargetSlowdown("t0", "1", SLOW, 0.0), TargetSlowdown("t1", "1", SLOW, 0.0)]
    slowdowns.observe("t0", "2", 1.0, 0.2)
    slowdowns.observe_all(late, {"t0": "2"}, 0.3)
    assert list(slowdowns.rows) == ["t0"]
    assert slowdowns.factor("t0", "2", 0.3) == 1.0


def test_the_age_of_a_report_counts_from_its_receipt_at_the_host():
    """Guards against a report that an allocator takes for newer than it is."""
    slowdowns = make_slowdowns(1.0)
    late = [TargetSlowdown("t0", "1", SLOW, 0.3)]
    slowdowns.observe_all(late, {"t0": "1"}, 1.0)
    assert slowdowns.rows["t0"].stated_at == pytest.approx(0.7)


def test_a_target_that_is_gone_is_forgotten():
    slowdowns = make_slowdowns(1.0, SLOW)
    slowdowns.forget("t0")
    assert slowdowns.factor("t0", "1", 0.1) == 1.0


@given(
    st.lists(st.floats(0.001, 100.0), min_size=1, max_size=20),
    st.floats(-10.0, 10.0),
)
def test_no_report_makes_a_target_look_idle_or_closed(figures, now):
    factor = make_slowdowns(*figures).factor("t0", "1", now)
    assert MIN_FACTOR <= factor <= MAX_FACTOR
    assert 0.0 <= trust(now) <= 1.0
