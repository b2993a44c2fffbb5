"""Signals to the host processes of the soak test."""

import contextlib
import signal

import pytest

from godwitladder.standins.routed import Ending, start_store
from soak.fleet import Host, Target
from tests.fleet import wait_until


@pytest.fixture
def host(tmp_path):
    store = start_store()
    host = Host(tmp_path, "h0", "a", store.address)
    host.write_settings([])
    yield host
    host.close()
    store.shutdown()
    store.server_close()


@pytest.fixture
def sighup_ignored():
    before = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    yield
    signal.signal(signal.SIGHUP, before)


def test_a_host_that_is_stopped_at_once_ends_as_planned(host, sighup_ignored):
    """SIGTERM must not be sent before the interpreter of a host has started.

    If the soak test runs under nohup, its processes ignore SIGHUP from the start.
    Taking this for readiness sent SIGTERM while the interpreter was starting, and
    the exit status looked like a fault of the host.
    """
    for _ in range(3):
        host.start()
        assert host.terminate() == 0


def test_a_target_that_two_requests_end_at_once_starts_once():
    """Guards against the entry of a process that another one has replaced."""
    with contextlib.closing(Target("e0")) as target:
        entries = []
        for _ in range(2):
            target.end(
                Ending.AFTER_HEAD, lambda row, state: entries.append((row.name, state))
            )
        wait_until(lambda: ("e0-1", "ready") in entries, "the target to be back")
        assert entries == [("e0", ""), ("e0-1", "ready")]
