"""What targets state about themselves binds all hosts, as real processes."""

import contextlib
import threading
import time

import pytest

from tests.fleet import wait_until
from tests.platform.test_hosts import Fleet

LIMIT = 2.0
CONTACT_S = 3.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5
DRAIN_S = 2.0
NOTICE_S = 1.0
COOLDOWN_S = 3.0
GRACE_S = 0.5
ALLOWED_IN_REST = 2
CALLERS = 6


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Fleet(stack, tmp_path)


def call_until(fleet, stopping, number, path):
    """Send calls to both hosts in turn until told to stop.

    The attempt id of a call begins with its host.
    """
    count = 0
    while not stopping.wait(0.01):
        count += 1
        index = count % len(fleet.hosts)
        fleet.hosts[index].call(path, attempt=f"h{index}-{number}-{count}")


@contextlib.contextmanager
def busy_callers(fleet, path="/charge/x"):
    """Keep callers busy at all hosts."""
    stopping = threading.Event()
    threads = [
        threading.Thread(target=call_until, args=(fleet, stopping, number, path))
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stopping.set()
        for thread in threads:
            thread.join()


def most_in_a_window(times, window_s):
    """Return the largest number of ``times`` within any span of ``window_s``."""
    times = sorted(times)
    return max(
        (sum(at <= later < at + window_s for later in times) for at in times),
        default=0,
    )


def test_a_target_gets_no_more_than_the_rate_that_it_states(fleet):
    """Guards against hosts that send by free slots what a target can't take."""
    engine = fleet.engines["e0"].standin
    with busy_callers(fleet):
        wait_until(lambda: len(engine.runs) > 20, "calls")
        engine.knobs.rate_limit = LIMIT
        stated_at = engine.runs[-1].at
        last = stated_at + CONTACT_S + WINDOW_S
        other = fleet.engines["e1"].standin
        wait_until(lambda: other.runs[-1].at > last, "the window to end")
    late = [run.at for run in engine.runs if run.at > stated_at + CONTACT_S]
    assert most_in_a_window(late, WINDOW_S) <= ALLOWED


def test_a_target_that_says_that_it_leaves_gets_no_more_calls(fleet):
    """Guards against calls to a target that leaves while the store is away."""
    engine, other = (fleet.engines[name].standin for name in ("e0", "e1"))
    with busy_callers(fleet, "/open/x"):
        wait_until(lambda: len(engine.runs) > 20, "calls")
        fleet.store.standin.knobs.status = 503
        stated_at = time.monotonic()
        engine.knobs.leaving = True
        last = stated_at + 2 * DRAIN_S
        wait_until(lambda: other.runs[-1].at > last, "the time to end")
    # Both hosts are called all the time, so both were told at once.
    late = [row for row in engine.arrivals if row.at > stated_at + DRAIN_S + NOTICE_S]
    assert late == []


def test_a_target_that_asks_a_host_for_rest_gets_none_from_it(fleet):
    """Guards against calls to a target that has just asked their host for rest.

    The calls may be sent to one target only, so that nothing is learned by trying
    another one.
    """
    engine, other = (fleet.engines[name].standin for name in ("e0", "e1"))
    with busy_callers(fleet):
        wait_until(lambda: len(engine.runs) > 20, "calls")
        engine.knobs.cooldown_s = COOLDOWN_S
        engine.knobs.refuse = True
        wait_until(lambda: any(row.cooldown_s for row in engine.arrivals), "a refusal")
        first = next(row.at for row in engine.arrivals if row.cooldown_s)
        wait_until(lambda: other.runs[-1].at > first + COOLDOWN_S, "the rest to end")
        engine.knobs.refuse = False
        before = len(engine.runs)
        wait_until(lambda: len(engine.runs) > before, "calls after the rest")
    for host in ("h0", "h1"):
        rows = [row for row in engine.arrivals if row.attempt.startswith(host)]
        told = next(row.at for row in rows if row.cooldown_s)
        late = [row for row in rows if told + GRACE_S < row.at < told + COOLDOWN_S]
        assert len(late) <= ALLOWED_IN_REST
