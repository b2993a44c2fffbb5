"""Targets that are lost, slow or hold a prefix, as hosts and allocators see them."""

import logging

import pytest

from godwitladder.decisions.speeds import MIN_OBSERVATIONS
from godwitladder.ids import RequestId
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.exchange import Completion, ThroughputSample
from godwitladder.scheduler.systems import (
    dispatch_request,
    finish_request,
    grow_request,
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
    """Let a request run on the only target."""
    row = submit(tables, make_request(name, now))
    dispatch_request(tables, row, tables.targets["e0"], now)
    return row


def test_a_lost_target_is_told_once_and_so_is_its_return(caplog):
    """Several requests find a target gone; a later one is answered there.

    Whoever looks for the cause of a late answer finds from when to when the
    host could not use the target, without a line for each request.
    """
    caplog.set_level(logging.INFO)
    tables = make_tables("h0", ("h0",), make_config({"e0": 4}))
    rows = [dispatch(tables, f"r{n}", 1.0) for n in range(3)]
    for row in rows:
        return_request(tables, row, 1.1)
    later = [dispatch(tables, f"s{n}", 3.0) for n in range(2)]
    for row in later:
        finish_request(tables, row, RequestState.COMPLETED, 3.1)
    told = [(r.message.split(": ")[-1], r.target) for r in caplog.records]
    assert told == [
        ("A target takes no requests", "e0"),
        ("A target answers again", "e0"),
    ]


def progress(harness, row, tokens, now):
    record_progress(harness.hosts["h1"], row, tokens, now)
    grow_request(harness.hosts["h1"], row, tokens)


@pytest.mark.parametrize("speed", [0.0, 0.2])
def test_a_target_that_slows_down_gets_less_before_any_request_ends(speed):
    """A target's limit falls while its requests still run.

    It stands still, or produces a fifth of what it did; the request would
    take minutes to end, and until then completions show nothing. Once its
    tokens come as before, the limit rises again.
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


@pytest.mark.parametrize("factor", [0.0, 0.1], ids=["silent", "slow"])
def test_a_caller_that_reads_slowly_takes_no_slots_from_others(factor):
    """Two callers read as the engine writes, a third hardly reads.

    The third one's stream is as slow as on a slow engine. The engine's limit
    stays whole, since the other streams show that it is well.
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
    """The configured speeds are guesses, and too high for a new engine.

    It would be eased off from its first request on, though it does its best.
    """
    harness, now = make_settled_harness({"e0": 8})
    role = harness.roles["h0"]
    for _ in range(MIN_OBSERVATIONS - 1):
        role.observe_completion(Completion("e0", "w", "chat", 10, 10, 5.0, 50.0))
        role.observe_throughput(ThroughputSample("e0", 0, 64, 60.0), now)
    assert role.throttles.limit("e0", 8, now) == 8


def test_grants_follow_the_prefix_that_a_target_was_sent():
    """Two engines are alike; the second letter shares the start of the first."""
    harness, now = make_settled_harness({"e0": 1, "e1": 1})
    role = harness.roles["h0"]
    role.hints.record_dispatch("e1", "start", now)
    assert target_views(role, now)["e1"].prefixes == {"start"}
    assert target_views(role, now)["e0"].prefixes == set()


def test_a_granted_request_marks_its_prefix_at_the_target():
    """The next request with the same start is to find the first one's cache."""
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


def test_a_target_that_refuses_connections_holds_up_no_request():
    """A caller's letter waited for its whole deadline beside idle engines.

    The engine that has the start of its prompt is gone. The host says that it
    can't connect to it; the allocator chose it again in each run, for its
    prefix, and then granted nothing.
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
