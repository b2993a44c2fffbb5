"""What targets state about themselves binds all hosts, as real processes."""

import contextlib
import threading

import pytest

from tests.fleet import wait_until
from tests.platform.test_hosts import Fleet

LIMIT = 2.0
CONTACT_S = 3.0
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5
CALLERS = 6


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Fleet(stack, tmp_path)


def call_until(fleet, stopping, number):
    """Send calls to both hosts in turn until told to stop; return nothing."""
    count = 0
    while not stopping.wait(0.01):
        count += 1
        host = fleet.hosts[count % len(fleet.hosts)]
        host.call("/charge/x", attempt=f"c{number}-{count}")


@contextlib.contextmanager
def busy_callers(fleet):
    """Keep callers busy at all hosts."""
    stopping = threading.Event()
    threads = [
        threading.Thread(target=call_until, args=(fleet, stopping, number))
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
