"""Routed calls of a host that stops: what is sent, and what waiting callers get."""

import contextlib
import json

import pytest

from godwitladder.serving.call_watcher import StopTimes
from tests.serving.test_passing import Bench

SOON_S = 0.2


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def stop(bench, sends_end_s, calls_end_s=60.0):
    """Let the host stop; the times are seconds from now."""
    now = bench.clock.monotonic()
    bench.watcher.stop_times = StopTimes(now + sends_end_s, now + calls_end_s)


def check_not_run(answer):
    """Check that a caller was told that its call has not run, and may come back."""
    body = json.loads(answer.body)
    assert (answer.status, body["reason"]) == (503, "stopping")
    assert body["outcome"] == "not_run"
    assert float(answer.headers["Retry-After"]) < 1.0


@pytest.mark.parametrize("path", ["/lookup/x", "/charge/x", "/stream/x"])
def test_a_call_of_which_the_scheduler_says_nothing_is_refused(stack, path):
    """Guards against a connection that ends without a word with the process."""
    bench = Bench(stack)
    bench.scheduler.decide = lambda row: None
    stop(bench, SOON_S)
    check_not_run(bench.call(path))


def test_a_call_that_is_dispatched_too_late_is_not_sent(stack):
    """Guards against a run that begins when the process is about to end."""
    bench = Bench(stack)
    bench.scheduler.addresses = bench.addresses * 1_000
    stop(bench, 0.0)
    check_not_run(bench.call("/charge/x"))
    assert bench.runs() == []


@pytest.mark.parametrize("path", ["/lookup/x", "/charge/x"])
def test_a_call_whose_target_is_still_at_work_may_have_run(stack, path):
    """Guards against a refusal that says that nothing ran, or no answer at all."""
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.pause_s = 3.0
    stop(bench, SOON_S, SOON_S)
    answer = bench.call(path)
    assert (answer.status, len(bench.runs())) == (502, 1)
    assert json.loads(answer.body)["outcome"] == "may_have_run"


@pytest.mark.parametrize("path", ["/stream/x", "/resume/stream/x"])
def test_a_stream_that_outlasts_the_stop_looks_cut(stack, path):
    """Guards against a cut stream that looks whole, or goes on at another target."""
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.pause_s = 0.1
    bench.engines[0].standin.knobs.events = 30
    stop(bench, SOON_S, 0.5)
    answer = bench.call(path)
    assert answer.truncated and len(bench.runs()) == 1


def test_a_lost_call_that_may_run_twice_is_not_sent_again_too_late(stack):
    """Guards against a second run near the end, and against a wrong "not run"."""
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.foreign = True
    bench.engines[0].standin.knobs.pause_s = 0.5
    stop(bench, SOON_S)
    answer = bench.call("/lookup/x")
    assert (answer.status, len(bench.runs())) == (502, 1)
