"""Places in use while far more calls come than there are places for."""

import pytest

from godwitladder.decisions.admission import MIN_SHARE
from godwitladder.outcomes import Reason, RequestState
from godwitladder.scheduler.reports import due_reports
from godwitladder.scheduler.systems import run_systems
from tests.scheduler.desk import (
    LETTERS,
    START,
    make_config,
    make_request,
    make_role,
    make_tables,
    submit,
)
from tests.scheduler.flood import DECODE_TPS, PREFILL_TPS, Flood

USED_SHARE = 0.9
"""Of the time that a place can be in use: news of its end and the next grant are on
their way for the rest."""


def test_places_stay_in_use_while_news_of_them_are_old():
    """Guards against places that stand empty until it is heard what was read."""
    flood = Flood(news_s=0.2)
    flood.play(3, calls_per_s=40)
    flood.used.clear()
    flood.play(4, calls_per_s=40)
    hold_s = flood.prompt / PREFILL_TPS + flood.output / DECODE_TPS
    attainable = flood.targets * flood.slots * hold_s / (hold_s + 2 * flood.news_s)
    assert sum(flood.used) / len(flood.used) >= USED_SHARE * attainable


def test_a_target_that_stands_still_takes_few_calls():
    """Guards against a place after the other filled at a target that reads nothing."""
    flood = Flood(stuck={"e0"})
    flood.play(7, calls_per_s=40)
    assert flood.sent.count("e0") <= 3


def test_what_a_caller_has_left_does_not_grow_on_the_way():
    """Guards against places for calls whose callers have left meanwhile."""
    config = make_config({"e0": 1})
    tables, role = make_tables("h0", ("h0",), config), make_role("h0", config, START)
    for name, at, delay_s in (("prompt", START, 0.0), ("delayed", START + 1.0, 0.4)):
        row = submit(tables, make_request(name, at, timeout_s=1.0))
        ((_, report),) = due_reports(tables, at)
        role.take_report(report, at + delay_s)
        assert role.rows[name].deadline == pytest.approx(row.deadline)


def test_a_call_of_no_use_any_more_is_told_so_without_an_allocator():
    """Guards against callers held to their end by an allocator that is far behind."""
    config = make_config({"e0": 1})
    tables = make_tables("h0", ("h0", "h1"), config)
    row = make_request("r", START, timeout_s=2.0)
    row.start_by = START + 1.4
    submit(tables, row)
    run_systems(tables, START + 1.3)
    assert row.decisions.empty()
    run_systems(tables, START + 1.5)
    refusal = row.decisions.get_nowait()
    assert (refusal.reason, refusal.outcome) == (Reason.DEADLINE, RequestState.NOT_RUN)
    assert refusal.retry_after_s


def test_a_flood_that_is_over_leaves_no_calls_refused_unseen():
    """Guards against refusals by the shares of a flood after a quiet moment."""
    flood = Flood()
    flood.role.state.admission.shares[LETTERS, "advisers"] = MIN_SHARE
    flood.play(2, calls_per_s=0)
    assert not flood.role.state.admission.shares
