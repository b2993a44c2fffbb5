"""Hosts of a routed region without running or waiting requests."""

from godwitladder.decisions.types import PoolName
from godwitladder.ids import HostId, Incarnation
from godwitladder.scheduler.exchange import Completion, GrantOffer, PoolReport
from godwitladder.scheduler.pools import make_pools
from godwitladder.scheduler.reports import HEARTBEAT_S, due_reports, take_offer
from godwitladder.scheduler.role import ANSWER_INTERVAL_S, PoolRole
from godwitladder.scheduler.views import ANSWER_MEMORY_S, target_views
from tests.scheduler.harness import (
    START,
    make_config,
    make_request,
    make_tables,
    submit,
)

HOSTS = ("h0", "h1", "h2", "h3")
POOL = PoolName("a", "letters")


def make_host():
    tables = make_tables("h1", HOSTS, make_config({"e0": 2}))
    tables.has_standing_grants = False
    return tables


def make_role():
    config = make_config({"e0": 2, "e1": 2})
    (pool,) = make_pools(config.targets).values()
    role = PoolRole(pool, HostId("h0"), 1, START, has_standing_grants=False)
    role.configure(pool, config, frozenset())
    return role


def offer_to(tables, number, now):
    access = next(iter(tables.pools.values()))
    offer = GrantOffer(
        HostId("h1"), Incarnation(1), access.allocator, POOL, 1, number, 1, now + 2
    )
    take_offer(tables, offer, now)


def report_of(host, number, now, **fields):
    return PoolReport(HostId(host), Incarnation(1), POOL, number, now, 1, 0, **fields)


def test_an_idle_host_that_was_answered_reports_only_when_a_call_arrives():
    """An idle host reports its spending until it is answered, then nothing.

    When a call arrives minutes later, the host reports immediately. It doesn't
    consider the allocator unreachable, since there was no report to answer.
    """
    tables = make_host()
    assert due_reports(tables, START)
    assert due_reports(tables, START + HEARTBEAT_S)
    offer_to(tables, 1, START + 1.1)
    assert not due_reports(tables, START + 60)
    submit(tables, make_request("r", START + 90))
    access = next(iter(tables.pools.values()))
    ((host, report),) = due_reports(tables, START + 90)
    assert host == access.allocator
    assert [line.request for line in report.demands] == ["r"]
    assert not access.is_cut_off(START + 90)


def test_an_allocator_answers_each_report_once_and_sends_nothing_else():
    role = make_role()
    role.take_report(report_of("h1", 1, START), START)
    first = role.run(HOSTS, START + 1)
    assert [offer.host for offer in first] == ["h1"]
    for step in range(10):
        assert not role.run(HOSTS, START + 1 + step * ANSWER_INTERVAL_S)
    role.take_report(report_of("h1", 2, START + 2.5), START + 2.5)
    assert role.run(HOSTS, START + 4)[0].acked_report == 2


def test_a_target_that_one_busy_host_cannot_reach_is_kept_for_idle_hosts():
    """One host can't reach a target while the other hosts are idle.

    Idle hosts send no reports. If only reporting hosts counted, all hosts would lose
    the target; it is excluded only when half of all hosts can't reach it.
    """
    role = make_role()
    role.take_report(report_of("h1", 1, START, avoided=("e0",)), START)
    role.run(HOSTS, START + 1)
    assert "e0" in target_views(role, START + 1)
    role.take_report(report_of("h2", 1, START, avoided=("e0",)), START + 1)
    role.run(HOSTS, START + 2)
    assert "e0" not in target_views(role, START + 2)


def test_a_target_that_answers_some_hosts_is_kept_while_half_cannot_reach_it():
    """Guards against losing a sound target for all where half have lost their paths."""
    role = make_role()
    for host in ("h1", "h2"):
        role.take_report(report_of(host, 1, START, avoided=("e0",)), START)
    done = Completion("e0", "w", "chat", 10, 10, 0.1, 0.2)
    role.take_report(report_of("h0", 1, START, completions=(done,)), START)
    assert "e0" in target_views(role, START)
    assert "e0" not in target_views(role, START + ANSWER_MEMORY_S)


def test_late_reports_of_targets_that_are_gone_leave_nothing_behind():
    """Guards against tables that grow with each target that ever was."""
    role = make_role()
    done = Completion("gone", "w", "chat", 10, 10, 0.1, 0.2)
    report = report_of("h0", 1, START, completions=(done,), brittle_refusals=("gone",))
    role.take_report(report, START)
    assert "gone" not in role.answered_at
    assert "gone" not in role.brittle.rows


def test_a_target_that_joins_a_brittle_pool_is_not_filled_at_once():
    """Guards against a fall of each process that is back under a new name."""
    role = make_role()
    role.brittle.record_refusal("e0", 2, START)
    config = make_config({"e1": 2, "e2": 2})
    (pool,) = make_pools(config.targets).values()
    role.configure(pool, config, frozenset())
    views = target_views(role, START + 0.1)
    assert (views["e1"].limit, views["e2"].limit) == (2, 1)
