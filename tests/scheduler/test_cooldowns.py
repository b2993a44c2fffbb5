"""Targets that want no requests from a host for a while, on hosts and allocators."""

import pytest

from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.health.target_processes import KEEP_ABSENT_S
from godwitladder.decisions.limits.cooldowns import (
    MAX_COOLDOWN_S,
    Cooldowns,
    RemainingCooldown,
)
from godwitladder.decisions.policy import ROUTED
from godwitladder.scheduler.messages import CooldownStated
from godwitladder.scheduler.reports import TARGETS_REFUSE_TEXT, make_report
from godwitladder.scheduler.statements import take_cooldown
from tests.decisions.pools import add, make_pool, make_target
from tests.scheduler.limited import STEP_S, TTFT_BUDGET_S, LimitedPool

COOLDOWN_S = 3.0


def sent_after(pool, at, host, target="e0"):
    """Return the calls that ``host`` sent to ``target`` after ``at``."""
    return [
        call
        for call in pool.sent
        if call.at > at and call.host == host and call.target == target
    ]


@pytest.mark.parametrize("standing", [False, True])
def test_a_host_sends_nothing_for_as_long_as_it_was_asked(standing):
    """Guards against a fixed second in place of the time that a target asks for."""
    pool = LimitedPool({"e0": 8, "e1": 8}, standing=standing)
    pool.run(2.0)
    pool.ask_for_cooldown("h1", COOLDOWN_S)
    asked_at = pool.now
    pool.run(COOLDOWN_S - STEP_S)
    assert not sent_after(pool, asked_at, "h1")
    assert sent_after(pool, asked_at, "h1", "e1")


def test_other_hosts_send_there_all_the_same():
    """Guards against a target that idles since one host was asked for cooldown."""
    pool = LimitedPool({"e0": 8})
    pool.run(2.0)
    pool.ask_for_cooldown("h1", COOLDOWN_S)
    pool.ask_for_cooldown("h2", COOLDOWN_S)
    asked_at = pool.now
    pool.run(2.0)
    assert len(sent_after(pool, asked_at, "h0")) > 30


def test_a_host_uses_the_target_as_soon_as_its_cooldown_ends():
    """Guards against a target that idles until the next report of its host."""
    pool = LimitedPool({"e0": 8})
    pool.run(2.0)
    pool.ask_for_cooldown("h1", COOLDOWN_S)
    asked_at = pool.now
    pool.run(COOLDOWN_S + 0.3)
    late = sent_after(pool, asked_at, "h1")
    assert late
    assert COOLDOWN_S <= late[0].at - asked_at <= COOLDOWN_S + 2 * STEP_S


def test_a_host_without_an_allocator_keeps_to_the_cooldown():
    pool = LimitedPool({"e0": 8, "e1": 8})
    pool.run(1.0)
    for tables in pool.harness.hosts.values():
        (access,) = tables.pools.values()
        access.set_allocator(None, pool.now)
    pool.ask_for_cooldown("h1", COOLDOWN_S)
    asked_at = pool.now
    pool.run(COOLDOWN_S - STEP_S)
    assert not sent_after(pool, asked_at, "h1")
    assert sent_after(pool, asked_at, "h1", "e1")


def test_calls_that_no_target_wants_in_time_are_refused_at_once():
    """Guards against calls that wait in vain for the end of a cooldown."""
    pool = LimitedPool({"e0": 8})
    pool.run(2.0)
    pool.ask_for_cooldown("h1", COOLDOWN_S)
    pool.refused.clear()
    pool.run(1.0)
    assert len(pool.refused) > 10
    assert {row.refusal.detail for row in pool.refused} == {TARGETS_REFUSE_TEXT}
    assert all(row.waited_s <= TTFT_BUDGET_S for row in pool.refused)
    assert all(0 < row.refusal.retry_after_s <= COOLDOWN_S for row in pool.refused)


def test_a_restarted_target_is_sent_requests_at_once():
    cooldowns = Cooldowns()
    cooldowns.observe("e0", "1", COOLDOWN_S, 10.0)
    assert cooldowns.remaining_s("e0", "1", 11.0) == COOLDOWN_S - 1.0
    assert cooldowns.remaining_s("e0", "2", 11.0) == 0.0
    cooldowns.keep_generations({"e0": "2"}, 11.0)
    assert not cooldowns.rows


def test_a_shorter_cooldown_does_not_end_a_longer_one():
    cooldowns = Cooldowns()
    cooldowns.observe("e0", "1", COOLDOWN_S, 10.0)
    cooldowns.observe("e0", "1", 0.5, 10.5)
    assert cooldowns.remaining_s("e0", "1", 11.0) == COOLDOWN_S - 1.0


def test_a_huge_cooldown_is_bounded_and_none_is_no_cooldown():
    """Guards against a target that one wrong answer takes out of use for good."""
    cooldowns = Cooldowns()
    cooldowns.observe("e0", "1", 1e8, 0.0)
    assert cooldowns.remaining_s("e0", "1", 0.0) == MAX_COOLDOWN_S
    assert not cooldowns.observe("e1", "1", 0.0, 0.0)
    assert "e1" not in cooldowns.rows


def test_the_rests_of_targets_that_are_gone_are_forgotten():
    """Guards against a table that grows with each target that ever rested."""
    cooldowns = Cooldowns()
    cooldowns.observe("e0", "1", COOLDOWN_S, 1.0)
    cooldowns.keep_generations({}, 1.1 + KEEP_ABSENT_S)
    assert not cooldowns.rows


def test_an_answer_of_an_earlier_process_asks_for_no_cooldown():
    pool = LimitedPool({"e0": 8})
    tables = pool.harness.hosts["h1"]
    take_cooldown(tables, CooldownStated("e0", "0", COOLDOWN_S), pool.now)
    assert not tables.cooldowns.rows


def test_a_call_goes_to_a_slow_target_while_the_fast_one_cooldowns():
    """Guards against calls that wait for a target that their host must not use."""
    pool = make_pool(make_target("fast", first_s=0.1), make_target("slow", first_s=2.0))
    pool.policy = ROUTED
    add(pool, "r1")
    waiting = pool.waiting["r1"]
    waiting.ttft_deadline, waiting.cooldowns = 1.0, {"fast": 10.0}
    (placement,) = allocate(pool, 0.0).placements
    assert placement.target == "slow"


def test_a_call_goes_to_a_target_that_refuses_no_other_host():
    """Guards against calls that may be sent once and are lost to a full target."""
    pool = LimitedPool({"e0": 8, "e1": 8})
    pool.run(2.0)
    pool.ask_for_cooldown("h1", COOLDOWN_S)
    pool.run(2 * STEP_S)
    asked_at = pool.now
    pool.run(2.0)
    assert not sent_after(pool, asked_at, "h0")
    assert sent_after(pool, asked_at, "h0", "e1")


def test_a_cooldown_is_reported_when_it_begins_and_once_a_second():
    """Guards against reports that grow with the number of targets that refuse."""
    pool = LimitedPool({"e0": 8})
    tables = pool.harness.hosts["h1"]
    (access,) = tables.pools.values()
    make_report(tables, access, pool.now)
    pool.ask_for_cooldown("h1", COOLDOWN_S)
    (cooldown,) = make_report(tables, access, pool.now + 0.1).cooldowns
    assert cooldown == RemainingCooldown("e0", pytest.approx(COOLDOWN_S - 0.1))
    assert make_report(tables, access, pool.now + 0.2).cooldowns == ()
    assert len(make_report(tables, access, pool.now + 1.2).cooldowns) == 1
    assert make_report(tables, access, pool.now + COOLDOWN_S).cooldowns == ()
