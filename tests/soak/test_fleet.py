"""Signals to the host processes of the soak test."""

import signal

import pytest

from godwitladder.standins.routed import start_store
from soak.fleet import Host


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
