"""Tests of slot usage while far more calls arrive than there are slots."""

import pytest

from godwitladder.decisions.waiting.admission import MIN_SHARE
from godwitladder.outcomes import Reason, RequestState
from godwitladder.scheduler.reports import due_reports
from godwitladder.scheduler.systems import run_systems
from tests.scheduler.flood import DECODE_TPS, PREFILL_TPS, Flood
from tests.scheduler.harness import (
    LETTERS,
    START,
    make_config,
    make_request,
    make_role,
    make_tables,
    submit,
)

MIN_USED_SHARE = 0.9
"""Minimum share of the attainable slot usage. A slot stays empty while the report of
its completion and the next grant are in transit."""


def test_slots_stay_in_use_while_reports_are_delayed():
    """Guards against slots that stay empty until the end of a prefill is reported."""
    flood = Flood(delay_s=0.2)
    flood.run(3, calls_per_s=40)
    flood.used_slots.clear()
    flood.run(4, calls_per_s=40)
    hold_s = flood.prompt_tokens / PREFILL_TPS + flood.output_tokens / DECODE_TPS
    attainable = flood.targets * flood.slots * hold_s / (hold_s + 2 * flood.delay_s)
    assert sum(flood.used_slots) / len(flood.used_slots) >= MIN_USED_SHARE * attainable


def test_a_stalled_target_gets_few_calls():
    """Guards against filling one slot after another on a target without progress."""
    flood = Flood(stalled={"e0"})
    flood.run(7, calls_per_s=40)
    assert flood.dispatched.count("e0") <= 3


def test_the_remaining_time_of_a_caller_does_not_grow_in_transit():
    """Guards against granting slots to calls whose callers have left."""
    config = make_config({"e0": 1})
    tables, role = make_tables("h0", ("h0",), config), make_role("h0", config, START)
    for name, at, delay_s in (("prompt", START, 0.0), ("delayed", START + 1.0, 0.4)):
        row = submit(tables, make_request(name, at, timeout_s=1.0))
        ((_, report),) = due_reports(tables, at)
        role.take_report(report, at + delay_s)
        assert role.waiting[name].deadline == pytest.approx(row.deadline)


def test_a_call_that_can_not_start_in_time_is_refused_without_an_allocator():
    """Guards against an overloaded allocator that holds callers to their deadline."""
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


def test_admission_shares_end_with_the_overload():
    """Guards against admission shares that stay in effect after an overload."""
    flood = Flood()
    flood.role.state.admission.shares[LETTERS, "advisers"] = MIN_SHARE
    flood.run(2, calls_per_s=0)
    assert not flood.role.state.admission.shares
