"""Signals that a host gets from its start to its end."""

import contextlib
import random
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from godwitladder.process.signals import SignalQueue
from tests.process.deployment import Deployment, limit, wait_until

READY_S = 30.0
EXIT_S = 20.0
"""Longest time from a stop to the end: the grace period, and the stop of threads."""
HARMLESS = (
    signal.SIGHUP,
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGPIPE,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
    signal.SIGSTKFLT,
    signal.SIGXCPU,
    signal.SIGPWR,
    signal.SIGWINCH,
    signal.SIGCONT,
    signal.SIGCHLD,
    signal.SIGURG,
)
"""Signals after which a host goes on."""
NO_CORE_FILE = limit(resource.RLIMIT_CORE, 0)

HOST = """
import os, signal, threading, time
from godwitladder.clock import Clock
from godwitladder.process.base_host import BaseHost
from godwitladder.settings import LimitSettings

class Host(BaseHost):
    def start(self):
        pass

    def drain(self):
        {drain}
        print("drained", flush=True)

    def reload(self):
        raise ValueError("no settings")

def send(*numbers):
    for number in numbers:
        os.kill(os.getpid(), number)

host = Host("h", Clock(), LimitSettings())
host.handle_signals()
{code}
host.run()
host.exit()
"""


@pytest.fixture
def host(tmp_path):
    """One host of a deployment, started."""
    with contextlib.closing(Deployment(tmp_path, 1)) as fleet:
        fleet.start_processes(NO_CORE_FILE)
        yield fleet.hosts[0]


def has_handlers(process):
    """Return whether a process has installed its first handlers."""
    rows = Path(f"/proc/{process.pid}/status").read_text().splitlines()
    (caught,) = (row.split()[1] for row in rows if row.startswith("SigCgt:"))
    return bool(int(caught, 16) >> (signal.SIGTERM - 1) & 1)


def run_host(code, drain="pass"):
    """Return the status and the output of a host that has no components."""
    done = subprocess.run(
        [sys.executable, "-c", HOST.format(code=code, drain=drain)],
        capture_output=True,
        timeout=EXIT_S,
    )
    return done.returncode, done.stdout


def test_signals_without_a_meaning_end_no_host(host):
    """Guards against a stray signal whose default action ends the process."""
    assert wait_until(host.is_ready, READY_S)
    for number in HARMLESS:
        host.signal(number)
        time.sleep(0.05)
        assert host.process.poll() is None, number.name
    assert host.is_ready()
    host.signal(signal.SIGTERM)
    assert host.process.wait(EXIT_S) == 0


@pytest.mark.parametrize("seed", range(4))
def test_signals_at_any_moment_end_a_host_only_if_they_are_to(host, seed):
    """Guards against signals that meet a host in a step that can't take them."""
    rng = random.Random(seed)
    assert wait_until(lambda: has_handlers(host.process), READY_S)
    until = time.monotonic() + 3.0
    while time.monotonic() < until:
        number = rng.choice((*HARMLESS, signal.SIGSTOP))
        host.signal(number)
        time.sleep(rng.random() * 0.01)
        host.signal(signal.SIGCONT)
    assert host.process.poll() is None
    assert wait_until(host.is_ready, READY_S)
    for number in rng.choices((signal.SIGTERM, signal.SIGINT, *HARMLESS), k=20):
        host.signal(number)
    host.signal(signal.SIGTERM)
    while host.process.poll() is None and time.monotonic() < until + READY_S + EXIT_S:
        time.sleep(rng.random() * 0.5)
        host.signal(rng.choice((signal.SIGTERM, *HARMLESS)))
    assert host.process.wait(1) == 0


@pytest.mark.parametrize("moment_s", [0.0, 0.2, 0.4, 0.6, 0.9, 1.3])
def test_a_stop_while_a_host_starts_ends_it_with_success(host, moment_s):
    """Guards against a stop that is lost between two handlers."""
    assert wait_until(lambda: has_handlers(host.process), READY_S)
    time.sleep(moment_s)
    host.signal(signal.SIGHUP)
    host.signal(signal.SIGTERM)
    assert host.process.wait(EXIT_S) == 0


def test_a_stop_is_taken_while_the_main_thread_holds_a_lock():
    """Guards against a handler that waits for a lock of the thread it interrupts."""
    code = "with host.stopping._cond: send(signal.SIGTERM, signal.SIGTERM)"
    assert run_host(code) == (0, b"drained\n")


def test_many_stops_in_a_row_are_one():
    """Guards against handlers that interrupt each other until the stack is full."""
    code = "send(*[signal.SIGTERM, signal.SIGINT] * 5_000)"
    assert run_host(code) == (0, b"drained\n")


def test_a_second_stop_does_not_cut_the_drain():
    """Guards against calls that are cut as somebody asks for the stop once more."""
    drain = "send(signal.SIGTERM, signal.SIGINT, signal.SIGHUP); time.sleep(0.5)"
    assert run_host("host.stop()", drain) == (0, b"drained\n")


def test_a_reload_that_fails_ends_no_host():
    """Guards against an unforeseen error in new settings that ends a host."""
    code = "send(signal.SIGHUP); threading.Timer(1.5, host.stop).start()"
    assert run_host(code) == (0, b"drained\n")


@pytest.mark.parametrize("number", [signal.SIGSEGV, signal.SIGABRT, signal.SIGQUIT])
def test_a_crash_leaves_the_stack_of_its_thread(host, number):
    """Guards against a process that ends by a crash without a trace of where."""
    assert wait_until(host.is_ready, READY_S)
    host.signal(number)
    assert host.process.wait(EXIT_S) == -number
    assert 'File "' in host.log_path.read_text()


@pytest.mark.parametrize("seed", range(3))
def test_all_signals_at_once_end_no_host(host, seed):
    """Guards against handlers that interrupt each other and overwrite memory."""
    assert wait_until(lambda: has_handlers(host.process), READY_S)
    rng = random.Random(seed)
    for _ in range(200):
        # Those that are sent meanwhile are delivered together.
        host.signal(signal.SIGSTOP)
        for number in rng.sample(HARMLESS, len(HARMLESS)):
            host.signal(number)
        host.signal(signal.SIGCONT)
        time.sleep(0.005)
    assert host.process.poll() is None
    assert wait_until(host.is_ready, READY_S)
    host.signal(signal.SIGTERM)
    assert host.process.wait(EXIT_S) == 0


def test_a_signal_is_recorded_once_until_it_is_taken():
    """Guards against a queue that grows with signals nobody takes up."""
    signals = SignalQueue()
    for _ in range(100):
        signals.record(signal.SIGHUP, None)
        signals.record(signal.SIGTERM, None)
    assert {signals.take(0.01) for _ in range(2)} == {signal.SIGHUP, signal.SIGTERM}
    assert signals.take(0.01) is None
    signals.record(signal.SIGHUP, None)
    assert signals.take(0.01) is signal.SIGHUP


def test_signals_that_the_parent_had_blocked_reach_a_host(tmp_path):
    """Guards against a host that reacts to no stop, as its parent blocks signals."""
    blocked = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
    with contextlib.closing(Deployment(tmp_path, 1)) as fleet:
        fleet.start_processes(lambda: signal.pthread_sigmask(signal.SIG_BLOCK, blocked))
        (host,) = fleet.hosts
        assert wait_until(host.is_ready, READY_S)
        host.signal(signal.SIGTERM)
        assert host.process.wait(EXIT_S) == 0


def ignore_quit():
    signal.signal(signal.SIGQUIT, signal.SIG_IGN)


def test_a_host_ends_by_sigquit_though_its_parent_ignores_it(tmp_path):
    """Guards against a host that is asked for its stacks and does not end, as a child.

    A shell without job control lets its background jobs ignore this signal.
    """
    with contextlib.closing(Deployment(tmp_path, 1)) as fleet:
        fleet.start_processes(ignore_quit)
        (host,) = fleet.hosts
        assert wait_until(host.is_ready, READY_S)
        host.signal(signal.SIGQUIT)
        assert host.process.wait(EXIT_S) == -signal.SIGQUIT
        assert 'File "' in host.log_path.read_text()
