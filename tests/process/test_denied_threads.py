"""Hosts to which the system denies threads while they serve."""

import contextlib
import json
import resource
import threading
import urllib.request

import pytest

from godwitladder.process import threads
from godwitladder.process.threads import ThreadDenied, start_call_thread, start_thread
from tests.process.burst import Burst
from tests.process.deployment import MB, Deployment, limit, wait_until

SERVICE_S = 1.0
BURST = 200
READY_TIMEOUT_S = 20
DENYING_HOST = """
import os, threading

start = threading.Thread.start

def start_unless_denied(thread):
    if os.path.exists({path!r}):
        raise RuntimeError("can't start new thread")
    start(thread)

threading.Thread.start = start_unless_denied
import runpy
runpy.run_module("godwitladder.platform", run_name="__main__")
"""


@pytest.fixture
def make_deployment(tmp_path):
    with contextlib.ExitStack() as stack:

        def make(memory_mb=222):
            deployment = Deployment(tmp_path, 1, memory_mb)
            stack.callback(deployment.close)
            for engine in deployment.engines:
                engine.slots = BURST
                engine.engine.knobs.pause_s = SERVICE_S
            return deployment

        yield make


def wait_ready(deployment):
    ready = wait_until(
        lambda: bool(deployment.ended()) or deployment.hosts[0].is_ready(),
        READY_TIMEOUT_S,
    )
    assert deployment.ended() == [], deployment.exit_lines()
    assert ready


def call_many(deployment, count, name):
    """Send calls at once, and return the numbers of each status."""
    burst = Burst(("127.0.0.1", deployment.hosts[0].ports[0]), count, name=name)
    counts = burst.wait(15)
    assert deployment.ended() == [], deployment.exit_lines()
    refusals = [answer for answer in burst.answers if b" 503 " in answer[:16]]
    for answer in refusals:
        assert b"retry-after:" in answer.lower(), answer
    return counts, refusals


def read_metrics(deployment):
    port = deployment.hosts[0].ports[2]
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=5) as page:
        return page.read().decode()


def check_refusals(counts, refusals):
    """Check that all calls were served or refused as not run."""
    assert counts[200] + counts[503] + counts["closed"] == BURST, counts
    assert refusals
    for answer in refusals:
        assert json.loads(answer.partition(b"\r\n\r\n")[2])["outcome"] == "not_run"


@pytest.mark.parametrize("address_mb", [80, 110])
def test_a_burst_beyond_the_addresses_is_refused_in_part(make_deployment, address_mb):
    """Guards against a burst that ends a host with all calls that it serves."""
    deployment = make_deployment()
    deployment.start_processes(limit(resource.RLIMIT_AS, address_mb * MB))
    wait_ready(deployment)
    counts, refusals = call_many(deployment, BURST, "burst")
    check_refusals(counts, refusals)
    assert counts[200] >= 10, counts
    assert deployment.hosts[0].is_ready()


def test_a_host_that_is_denied_all_threads_refuses_and_recovers(
    make_deployment, tmp_path
):
    """Guards against a limit on tasks that ends a host, or leaves its calls waiting."""
    denied = tmp_path / "denied"
    deployment = make_deployment()
    code = DENYING_HOST.format(path=str(denied))
    deployment.start_processes(arguments=["-c", code])
    wait_ready(deployment)
    denied.touch()
    counts, refusals = call_many(deployment, BURST, "denied")
    check_refusals(counts, refusals)
    assert deployment.hosts[0].is_ready()
    assert 'connections_total{event="no_thread"}' in read_metrics(deployment)
    denied.unlink()
    counts, refusals = call_many(deployment, 20, "after")
    assert counts[200] == 20, (counts, refusals)


def test_a_thread_that_is_denied_raises_a_typed_error(monkeypatch):
    """Guards against callers that tell a denied thread from no other error."""

    def deny(thread):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", deny)
    with pytest.raises(ThreadDenied, match="probe"):
        start_thread(print, "probe")


@pytest.mark.parametrize("kind", [resource.RLIMIT_AS, resource.RLIMIT_DATA])
def test_calls_leave_addresses_for_all_else(monkeypatch, kind):
    """Guards against threads of calls that leave no memory to the vital threads."""
    column = dict(threads.LIMITED_SIZES)[kind]
    pages = threads.SIZES_PATH.read_text().split()
    used = int(pages[column]) * resource.getpagesize()
    maximum = used + threads.STACK_BYTES + threads.RESERVED_BYTES // 2
    limits = {kind: (maximum, maximum)}
    none = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
    monkeypatch.setattr(
        threads.resource, "getrlimit", lambda number: limits.get(number, none)
    )
    with pytest.raises(ThreadDenied):
        start_call_thread(print, "call")
    start_thread(threading.Event, "vital").join()
