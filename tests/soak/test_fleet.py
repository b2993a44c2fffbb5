"""Processes of the soak, and the signals that they get."""

import signal

import pytest

from godwitladder.standins.routed import start_store
from soak.fleet import Host


@pytest.fixture
def host(tmp_path):
    store = start_store()
    host = Host(tmp_path, "h0", "a", store.address)
    host.write([])
    yield host
    host.close()
    store.shutdown()
    store.server_close()


@pytest.fixture
def hangups_ignored():
    before = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    yield
    signal.signal(signal.SIGHUP, before)


def test_a_host_that_is_stopped_at_once_ends_as_planned(host, hangups_ignored):
    """The soak runs under nohup, and stops a host that it has just started.

    Its processes pass SIGHUP over from their first moment, which says nothing
    of whether they are ready to be stopped. Taken for a sign, it let SIGTERM
    come while the interpreter was starting, and looked like a host's fault.
    """
    for _ in range(3):
        host.start()
        assert host.terminate() == 0
