"""Lost targets, slow targets and prefix caches, on hosts and allocators."""

import logging

import pytest

from godwitladder.decisions.placing.speeds import MIN_OBSERVATIONS
from godwitladder.decisions.types import Shed, ShedReason
from godwitladder.ids import RequestId
from godwitladder.outcomes import Reason, RequestState
from godwitladder.scheduler import systems
from godwitladder.scheduler.exchange import Completion, ThroughputSample
from godwitladder.scheduler.learning import observe_completion, observe_throughput
from godwitladder.scheduler.reports import apply_shed
from godwitladder.scheduler.systems import (
    NO_PATH_RETRY_S,
    dispatch_request,
    finish_request,
    grow_request,
    no_path_refusal,
    record_first_output,
    return_request,
    run_systems,
)
from godwitladder.scheduler.throughput import record_progress
from godwitladder.scheduler.views import target_views
from tests.scheduler.harness import (
    make_config,
    make_request,
    make_settled_harness,
    make_tables,
    run_for,
    submit,
)


def dispatch(tables, name, now):
    """Dispatch a request to the only target."""
    row = submit(tables, make_request(name, now))
    dispatch_request(tables, row, tables.targets["e0"], now)
    return row


def test_a_lost_target_and_its_return_are_each_logged_once(caplog):
    """Several requests find a target gone; a later one completes on it.

    The log shows from when to when the host could not use the target, with one
    line at each end instead of a line for each request.
    """
    caplog.set_level(logging.INFO)
    tables = make_tables("h0", ("h0",), make_config({"e0": 4}))
    rows = [dispatch(tables, f"r{n}", 1.0) for n in range(3)]
    for row in rows:
        return_request(tables, row, 1.1)
    later = [dispatch(tables, f"s{n}", 3.0) for n in range(2)]
    for row in later:
        finish_request(tables, row, RequestState.COMPLETED, 3.1)
    logged = [(r.message.split(": ")[-1], r.target) for r in caplog.records]
    assert logged == [
        ("A target accepts no requests", "e0"),
        ("A target answers again", "e0"),
    ]


def progress(harness, row, tokens, now):
    record_progress(harness.hosts["h1"], row, tokens, now)
    grow_request(harness.hosts["h1"], row, tokens)


@pytest.mark.parametrize("speed", [0.0, 0.2])
def test_a_target_that_slows_down_gets_less_before_any_request_ends(speed):
    """The limit of a target falls while its requests still run.

    The target stalls, or produces a fifth of its former rate. The request takes
    minutes to end, and completions show nothing until then. When the rate recovers,
    the limit rises again.
    """
    harness, now = make_settled_harness({"e0": 8})
    role, tps = harness.roles["h0"], harness.config.targets["e0"].decode_tps
    row = submit(harness.hosts["h1"], make_request("r", now, declared_tokens=100_000))
    run_systems(harness.hosts["h1"], now)
    assert row.state is RequestState.DISPATCHED
    progress(harness, row, 1, now + 0.02)
    role.speeds.learned["e0"].count = MIN_OBSERVATIONS

    def work(now):
        if speed:
            progress(harness, row, row.produced_tokens + int(tps * speed / 2), now)

    now = run_for(harness, now, 8.0, work)
    assert role.throttles.limit("e0", 8, now) <= 4

    def work_well(now):
        progress(harness, row, row.produced_tokens + int(tps / 2), now)

    now = run_for(harness, now, 30.0, work_well)
    assert role.throttles.limit("e0", 8, now) == 8


@pytest.mark.parametrize("silence_s", [1.0, 1.5])
def test_a_target_that_is_silent_for_a_second_keeps_its_slots(silence_s):
    """Guards against leaving a sound target idle for seconds after a short silence."""
    harness, now = make_settled_harness({"e0": 8})
    role, tps = harness.roles["h0"], harness.config.targets["e0"].decode_tps
    row = submit(harness.hosts["h1"], make_request("r", now, declared_tokens=100_000))
    run_systems(harness.hosts["h1"], now)
    progress(harness, row, 1, now + 0.02)
    role.speeds.learned["e0"].count = MIN_OBSERVATIONS
    limits = set()

    def work(now):
        progress(harness, row, row.produced_tokens + int(tps / 2), now)
        limits.add(role.throttles.limit("e0", 8, now))

    now = run_for(harness, now, 6.0, work)
    now = run_for(harness, now, silence_s, lambda now: None)
    run_for(harness, now, 8.0, work)
    assert limits == {8}


@pytest.mark.parametrize("factor", [0.0, 0.1], ids=["silent", "slow"])
def test_a_caller_that_reads_slowly_takes_no_slots_from_others(factor):
    """Guards against a lower limit of an engine because one caller reads slowly.

    Two callers read at the rate of the engine, the third one far slower. Its stream
    looks like one on a slow engine, but the other streams show that the engine is
    not slow.
    """
    harness, now = make_settled_harness({"e0": 8})
    role, tps = harness.roles["h0"], harness.config.targets["e0"].decode_tps
    role.speeds.learned["e0"].count = MIN_OBSERVATIONS
    lengths = {"declared_tokens": 9000, "predicted_tokens": 900, "likely_tokens": 90}
    rows = [make_request(f"r{n}", now, **lengths) for n in range(3)]
    for row in rows:
        submit(harness.hosts["h1"], row)
    harness.settle(now)
    for row in rows:
        assert row.state is RequestState.DISPATCHED
        progress(harness, row, 1, now + 0.02)

    def work(now):
        for row, part in zip(rows, (1.0, 1.0, factor), strict=True):
            made = int(tps * part / 2)
            if made:
                progress(harness, row, row.produced_tokens + made, now)

    now = run_for(harness, now, 12.0, work)
    assert role.throttles.limit("e0", 8, now) == 8


def test_a_target_of_unknown_speed_is_not_called_slow():
    """Guards against throttling a new engine whose configured speed is too high.

    Configured speeds are guesses. The engine would be throttled from its first
    request on, although it works at its full speed.
    """
    harness, now = make_settled_harness({"e0": 8})
    role = harness.roles["h0"]
    for _ in range(MIN_OBSERVATIONS - 1):
        observe_completion(role, Completion("e0", "w", "chat", 10, 10, 5.0, 50.0))
        observe_throughput(role, ThroughputSample("e0", 0, 64, 60.0), now)
    assert role.throttles.limit("e0", 8, now) == 8


def test_grants_follow_the_prefix_that_a_target_was_sent():
    """A dispatched prefix is recorded for its target only, not for an equal one."""
    harness, now = make_settled_harness({"e0": 1, "e1": 1})
    role = harness.roles["h0"]
    role.hints.record_dispatch("e1", "start", now)
    assert target_views(role, now)["e1"].prefixes == {"start"}
    assert target_views(role, now)["e0"].prefixes == set()


def test_a_granted_request_marks_its_prefix_at_the_target():
    """Lets the next request with the same prefix use the cache of the first one."""
    harness, now = make_settled_harness({"e0": 1})
    submit(harness.hosts["h1"], make_request("first", now))
    harness.settle(now)
    submit(harness.hosts["h1"], make_request("second", now, prefix="start"))
    harness.settle(now)
    finish = harness.hosts["h1"].running[RequestId("first")]
    finish_request(harness.hosts["h1"], finish, RequestState.COMPLETED, now + 1)
    harness.settle(now + 1)
    views = target_views(harness.roles["h0"], now + 1)
    assert views["e0"].prefixes == {"start"}


def test_a_target_that_refuses_connections_delays_no_request():
    """Guards against a request that waits until its deadline beside idle engines.

    The engine that has cached the prefix of the prompt is gone, and the host reports
    that it can't connect to it. The allocator chose that engine again in each run
    because of the prefix, and then granted nothing.
    """
    harness, now = make_settled_harness({"e0": 1, "e1": 1}, hosts=("h0", "h1", "h2"))
    harness.roles["h0"].hints.record_dispatch("e0", "start", now)
    host = harness.hosts["h1"]
    for name in ("e0", "e1"):
        host.targets[name].avoided_until = now + 1.0 if name == "e0" else 0.0
    for access in host.pools.values():
        access.allowances = {}
    row = submit(host, make_request("r", now, prefix="start"))
    harness.settle(now)
    assert (row.state, row.target) == (RequestState.DISPATCHED, "e1")


@pytest.mark.parametrize("avoid", [True, False])
def test_requests_wait_while_their_host_avoids_all_targets(avoid):
    """Guards against avoidance without a sign of the target: it costs later calls."""
    harness, now = make_settled_harness({"e0": 4, "e1": 4}, hosts=("h0", "h1"))
    host = harness.hosts["h1"]
    for number, name in enumerate(("e0", "e1")):
        row = submit(host, make_request(f"lost{number}", now))
        row.idempotent = True
        dispatch_request(host, row, host.targets[name], now)
        return_request(host, row, now, may_have_run=True, avoid=avoid)
    row = submit(host, make_request("next", now, timeout_s=0.9))
    run_for(harness, now, 0.5, lambda now: None)
    state = RequestState.WAITING if avoid else RequestState.DISPATCHED
    assert row.state is state


@pytest.mark.parametrize("reason", [ShedReason.OVERLOAD, ShedReason.DEADLINE])
def test_a_host_that_reaches_no_target_says_so_in_its_refusals(reason):
    """Guards against naming a lack of capacity where only the path is missing."""
    tables = make_tables("h0", ("h0",), make_config({"e0": 4, "e1": 4}))
    rows = []
    for name in ("e0", "e1"):
        rows.append(submit(tables, make_request(name, 1.0, timeout_s=2.0)))
        dispatch_request(tables, rows[-1], tables.targets[name], 1.0)
        return_request(tables, rows[-1], 1.1, unreached=True)
    shed_row, late_row = rows
    (access,) = tables.pools.values()
    shed = Shed("h0", shed_row.request, reason, 7.0)
    apply_shed(tables, access, shed_row, shed, 1.2)
    run_systems(tables, 9.0)
    for row in (shed_row, late_row):
        refusals = [row.decisions.get_nowait() for _ in range(row.decisions.qsize())]
        assert refusals[-1].reason is Reason.NO_TARGET
        assert refusals[-1].outcome is RequestState.NOT_RUN
        assert refusals[-1].retry_after_s == NO_PATH_RETRY_S


def test_a_host_that_reaches_one_target_names_the_allocator_s_reason():
    """Guards against a missing path as the reason while a target is reached."""
    tables = make_tables("h0", ("h0",), make_config({"e0": 4, "e1": 4}))
    row = dispatch(tables, "r", 1.0)
    return_request(tables, row, 1.1, unreached=True)
    assert no_path_refusal(tables, row) is None
    dispatch_request(tables, row, tables.targets["e1"], 3.0)
    return_request(tables, row, 3.1, unreached=True)
    assert no_path_refusal(tables, row) is not None
    row = dispatch(tables, "s", 4.0)
    finish_request(tables, row, RequestState.COMPLETED, 4.1)
    assert no_path_refusal(tables, row) is None


def test_a_brittle_target_is_not_used_beside_a_silent_allocator(monkeypatch):
    """Guards against filling a brittle target twice, by grants and by fixed shares."""
    monkeypatch.setattr(systems, "uses_fallback", lambda *args: True)
    tables = make_tables("h0", ("h0",), make_config({"e0": 4}))
    (access,) = tables.pools.values()
    target = tables.targets["e0"]
    assert systems.may_fall_back(tables, access, target, 1.0)
    tables.brittle.observe("e0", 1.0)
    assert not systems.may_fall_back(tables, access, target, 1.1)


def test_a_target_that_is_reached_again_is_no_missing_path_before_a_request_completes():
    """Guards against naming a missing path while requests run or fail at the target."""
    tables = make_tables("h0", ("h0",), make_config({"e0": 4}))
    row = dispatch(tables, "r", 1.0)
    return_request(tables, row, 1.1, unreached=True)
    running, waiting = dispatch(tables, "s", 3.0), make_request("w", 3.0)
    record_first_output(tables, running)
    assert no_path_refusal(tables, waiting) is None
    return_request(tables, running, 3.2, unreached=True)
    lost = dispatch(tables, "t", 5.0)
    finish_request(tables, lost, RequestState.MAY_HAVE_RUN, 5.1)
    assert no_path_refusal(tables, waiting) is None
