"""Targets that state in their answers that they leave, on hosts and allocators."""

import pytest

from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.health.departures import Departure, Departures
from godwitladder.decisions.health.target_processes import KEEP_ABSENT_S
from godwitladder.scheduler.messages import LeavingStated
from godwitladder.scheduler.reports import make_report, update_targets
from godwitladder.scheduler.statements import forget_ended_processes, take_leaving
from tests.scheduler.limited import HOSTS, STEP_S, LimitedPool, with_generation


def state_leaving(pool, host, target="e0", generation="1"):
    """Let an answer to ``host`` state that a target leaves."""
    message = LeavingStated(target, generation)
    take_leaving(pool.harness.hosts[host], message, pool.now)


def sent_after(pool, at, target="e0"):
    return [call for call in pool.sent if call.at > at and call.target == target]


@pytest.mark.parametrize("standing", [False, True])
def test_no_host_sends_to_a_target_that_one_was_told_leaves(standing):
    """Guards against calls that break when a target ends that said so before."""
    pool = LimitedPool({"e0": 8, "e1": 8}, standing=standing)
    pool.run(2.0)
    state_leaving(pool, "h1")
    told_at = pool.now
    pool.run(5.0)
    assert not [call for call in sent_after(pool, told_at) if call.host == "h1"]
    # The others have allowances until their next offer.
    assert not sent_after(pool, told_at + (1.5 if standing else 2 * STEP_S))
    assert len(sent_after(pool, told_at, "e1")) > 200


def test_a_host_without_an_allocator_sends_nothing_there():
    """Guards against the fixed share of a target that has said that it leaves."""
    pool = LimitedPool({"e0": 8, "e1": 8})
    pool.run(1.0)
    state_leaving(pool, "h1")
    told_at = pool.now
    pool.cut_off = set(HOSTS)
    for tables in pool.harness.hosts.values():
        (access,) = tables.pools.values()
        access.set_allocator(None, pool.now)
    pool.run(5.0)
    late = sent_after(pool, told_at)
    assert not [call for call in late if call.host == "h1"]
    assert [call for call in sent_after(pool, told_at, "e1") if call.host == "h1"]


def test_a_new_allocator_learns_what_hosts_were_told():
    """Guards against grants by a successor that never heard of the departure."""
    pool = LimitedPool({"e0": 8, "e1": 8}, holders=("h0", "h1"))
    pool.run(1.0)
    state_leaving(pool, "h2")
    pool.run(1.0)
    for host in HOSTS:
        pool.harness.set_allocator(host, "h1", pool.now)
    pool.run(2.0)
    assert pool.harness.roles["h1"].departures.includes("e0", "1")


def test_a_restarted_target_gets_requests_at_once():
    """Guards against a target that idles since its earlier process has left."""
    pool = LimitedPool({"e0": 8})
    pool.run(1.0)
    state_leaving(pool, "h1")
    pool.run(1.0)
    config = with_generation(pool.harness.config, "2")
    for tables in pool.harness.hosts.values():
        tables.config = config
        update_targets(tables)
        forget_ended_processes(tables, pool.now)
    role = pool.harness.roles["h0"]
    role.configure(role.pool, config, frozenset())
    restarted_at = pool.now
    pool.run(1.0)
    assert len(sent_after(pool, restarted_at)) > 50
    state_leaving(pool, "h1", generation="1")
    assert not pool.harness.hosts["h1"].departures.includes("e0", "2")


def test_an_entry_that_lapses_for_a_while_keeps_the_departure():
    """Guards against a leaving target whose entry expires and is written again."""
    pool = LimitedPool({"e0": 8})
    state_leaving(pool, "h1")
    tables = pool.harness.hosts["h1"]
    for config in (ConfigState(), pool.harness.config):
        tables.config = config
        update_targets(tables)
        forget_ended_processes(tables, pool.now)
    assert tables.departures.includes("e0", "1")


def test_a_departure_is_in_the_next_report_and_in_each_full_one():
    pool = LimitedPool({"e0": 8})
    tables = pool.harness.hosts["h1"]
    (access,) = tables.pools.values()
    make_report(tables, access, pool.now)
    access.dirty = False
    state_leaving(pool, "h1")
    assert access.dirty
    departure = Departure("e0", "1")
    assert make_report(tables, access, pool.now + 0.1).departures == (departure,)
    assert make_report(tables, access, pool.now + 0.2).departures == ()
    assert make_report(tables, access, pool.now + 1.2).departures == (departure,)


def test_what_a_host_tells_of_an_earlier_process_changes_nothing():
    departures = Departures()
    departures.observe_all([Departure("e0", "1")], {"e0": "2"}, 1.0)
    assert not departures.rows


def test_the_departures_of_targets_that_are_gone_are_forgotten():
    """Guards against a table that grows with each target that ever left."""
    departures = Departures()
    departures.observe("e0", "1", 1.0)
    departures.keep_generations({}, 1.1 + KEEP_ABSENT_S)
    assert not departures.rows


def test_a_departure_that_is_stated_while_the_entry_is_missing_holds():
    """Guards against calls to a leaving target whose entry lapses and returns."""
    pool = LimitedPool({"e0": 8})
    tables = pool.harness.hosts["h1"]
    tables.config = ConfigState()
    update_targets(tables)
    state_leaving(pool, "h1")
    tables.config = pool.harness.config
    update_targets(tables)
    forget_ended_processes(tables, pool.now)
    assert tables.departures.includes("e0", "1")
