"""How long work takes on targets, from their answers to the allocator's decisions."""

import logging

import pytest

from godwitladder.decisions.placing.stated_load import TRUST_S, TargetSlowdown
from godwitladder.membership.codec import decode, encode
from godwitladder.scheduler.messages import SlowdownStated
from godwitladder.scheduler.reports import make_report
from godwitladder.scheduler.statements import take_slowdown
from godwitladder.scheduler.views import target_views
from tests.scheduler.limited import STEP_S, LimitedPool, with_generation

SLOW = 2.5


def state_slowdown(pool, slowdown, host="h1", target="e0", generation="1"):
    """Let an answer to ``host`` state how long work takes on a target."""
    message = SlowdownStated(target, generation, slowdown, pool.now)
    take_slowdown(pool.harness.hosts[host], message)


def settled_pool():
    """Return a pool whose targets have stated that work takes as long as usual."""
    pool = LimitedPool({"e0": 8, "e1": 8})
    pool.run(1.0)
    for target in ("e0", "e1"):
        state_slowdown(pool, 1.0, target=target)
    pool.run(2 * STEP_S)
    return pool


def prefill_s(pool, target):
    """Return the seconds that the allocator expects for a prompt of 1,000 tokens."""
    view = target_views(pool.harness.roles["h0"], pool.now)[target]
    return view.first_s + 1000 * view.read_s, 1000 / view.prefill_tps


def test_the_allocator_expects_a_slow_target_to_take_longer():
    pool = settled_pool()
    usual = prefill_s(pool, "e1")
    state_slowdown(pool, SLOW)
    pool.run(2 * STEP_S)
    assert prefill_s(pool, "e0")[0] > 1.5 * usual[0]
    assert prefill_s(pool, "e0")[1] > 1.5 * usual[1]
    assert prefill_s(pool, "e1") == pytest.approx(usual, rel=0.01)


def test_an_old_statement_has_no_effect():
    """Guards against a target that is avoided long after it was slow."""
    pool = settled_pool()
    state_slowdown(pool, SLOW)
    pool.run(TRUST_S + 2 * STEP_S)
    assert prefill_s(pool, "e0") == pytest.approx(prefill_s(pool, "e1"), rel=0.01)


def test_a_statement_of_an_ended_process_has_no_effect():
    """Guards against the load of a process that a new one has replaced."""
    pool = settled_pool()
    state_slowdown(pool, SLOW)
    pool.run(2 * STEP_S)
    role = pool.harness.roles["h0"]
    role.configure(role.pool, with_generation(role.config, "2"), role.leaving)
    assert prefill_s(pool, "e0") == pytest.approx(prefill_s(pool, "e1"), rel=0.01)
    tables = pool.harness.hosts["h1"]
    tables.targets["e0"].target = role.config.targets["e0"]
    state_slowdown(pool, SLOW)
    (access,) = tables.pools.values()
    assert not access.slowdowns


def test_a_report_lists_a_statement_once_with_its_age():
    pool = settled_pool()
    tables = pool.harness.hosts["h1"]
    (access,) = tables.pools.values()
    state_slowdown(pool, SLOW)
    report = decode(encode(make_report(tables, access, pool.now + 0.25)))
    assert report.slowdowns == (TargetSlowdown("e0", "1", SLOW, pytest.approx(0.25)),)
    assert make_report(tables, access, pool.now + 0.3).slowdowns == ()


def test_a_statement_causes_no_report():
    """Guards against reports ten times a second for each target of an idle host."""
    pool = settled_pool()
    (access,) = pool.harness.hosts["h1"].pools.values()
    access.dirty = False
    state_slowdown(pool, SLOW)
    assert not access.dirty


def test_without_statements_nothing_changes():
    """Guards against other messages or decisions where no target states a slowdown.

    The allocator's state is one that can't be used.
    """
    pools = [LimitedPool({"e0": 8, "e1": 8}) for _ in range(2)]
    pools[1].harness.roles["h0"].slowdowns.observe_all = None
    for pool in pools:
        pool.run(3.0)
    assert pools[0].sent == pools[1].sent
    assert pools[0].refused == pools[1].refused
    for tables in pools[0].harness.hosts.values():
        (access,) = tables.pools.values()
        assert make_report(tables, access, pools[0].now).slowdowns == ()
    role = pools[0].harness.roles["h0"]
    for name, view in target_views(role, pools[0].now).items():
        assert (view.first_s, view.read_s) == role.speeds.prefill_cost(name)
        assert view.prefill_tps == role.speeds.learned[name].prefill_tps


def test_an_operator_sees_the_effect_in_few_lines(caplog):
    """Guards against a log line for each report of a host."""
    caplog.set_level(logging.INFO, "godwitladder")
    pool = settled_pool()
    for _ in range(150):
        state_slowdown(pool, SLOW)
        pool.run(2 * STEP_S)
    lines = [row for row in caplog.records if "how long work" in row.getMessage()]
    assert 1 <= len(lines) <= 2
    assert lines[-1].targets == 2
    assert lines[-1].factors["e0"] > 1.0
