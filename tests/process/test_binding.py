"""Listeners that can't be bound at once."""

import contextlib
import errno
import logging
import math
import socket
import threading

import pytest

from godwitladder.clock import Clock
from godwitladder.process import binding
from godwitladder.process.binding import (
    Binder,
    Listener,
    PortUnavailable,
    open_listener,
)
from godwitladder.standins.ports import free_ports
from tests.fleet import wait_until


class FastClock(Clock):
    """A clock on which each wait passes at once."""

    def __init__(self):
        super().__init__()
        self.passed_s = 0.0

    def monotonic(self):
        return self.passed_s

    def wait(self, event, timeout_s):
        self.passed_s += timeout_s
        return event.is_set()


@pytest.fixture
def address():
    return f"127.0.0.1:{free_ports(1)[0]}"


@pytest.fixture
def failures():
    return []


@pytest.fixture
def sockets():
    """Yield a list whose sockets are closed in the end."""
    owned = []
    yield owned
    for sock in owned:
        sock.close()


def fail_with(number, monkeypatch):
    """Let each attempt to bind fail with an error of the system."""

    def raise_error(address):
        raise OSError(number, "no")

    monkeypatch.setattr(binding, "open_listener", raise_error)


def test_a_free_port_is_bound_at_once(address, failures, sockets):
    Binder(Clock(), failures.append).bind(Listener("a", address, 1), sockets.append)
    assert len(sockets) == 1


def test_a_port_is_bound_once_it_is_free(address, failures, sockets):
    """Guards against a wait that misses the end of a former process."""
    binder = Binder(Clock(), failures.append)
    with contextlib.closing(open_listener(address)):
        binder.bind(Listener("a", address, 60), sockets.append)
        assert sockets == []
    wait_until(lambda: sockets, "the port to be bound")
    assert failures == []


def test_no_port_is_bound_after_the_end(address, failures, sockets):
    """Guards against callers that are accepted as their host stops."""
    binder = Binder(Clock(), failures.append)
    with contextlib.closing(open_listener(address)):
        binder.bind(Listener("a", address, 60), sockets.append)
        binder.end()
    assert not any(thread.is_alive() for thread in binder.threads)
    assert (sockets, failures) == ([], [])


@pytest.mark.parametrize("number", [errno.EACCES, errno.EINVAL])
def test_an_error_that_does_not_pass_is_raised_at_once(number, failures, monkeypatch):
    """Guards against a long wait for a port that can never be bound."""
    fail_with(number, monkeypatch)
    with pytest.raises(PortUnavailable, match="callers: 10.0.0.1:80: "):
        Binder(Clock(), failures.append).bind(
            Listener("callers", "10.0.0.1:80", 60), lambda sock: None
        )


def test_a_port_out_of_range_is_named():
    """Guards against an error that does not say which port is meant."""
    with pytest.raises(PortUnavailable, match="callers: 127.0.0.1:70000: "):
        Binder(Clock(), print).bind(
            Listener("callers", "127.0.0.1:70000", 60), lambda sock: None
        )


def test_a_listener_that_can_not_be_served_fails(address, failures):
    """Guards against a wait whose thread ends without a word."""

    def raise_error(sock):
        sock.close()
        raise RuntimeError("can't start new thread")

    with contextlib.closing(open_listener(address)):
        binder = Binder(Clock(), failures.append)
        binder.bind(Listener("a", address, 60), raise_error)
    wait_until(lambda: failures, "the failure")
    assert failures[0].part == "listener a"


def test_a_long_wait_is_reported_by_few_lines(failures, monkeypatch, caplog):
    """Guards against a log that is full of one port, or silent about it."""
    fail_with(errno.EADDRINUSE, monkeypatch)
    binder = Binder(FastClock(), failures.append)
    caplog.set_level(logging.INFO, logger="godwitladder")
    with pytest.raises(PortUnavailable):
        binder.wait(Listener("callers", "10.0.0.1:80", 3_600))
    lines = [row for row in caplog.records if row.listener == "callers"]
    assert 3 <= len(lines) <= 12
    assert {row.address for row in lines} == {"10.0.0.1:80"}
    assert max(row.waited_s for row in lines) > 1_000


def test_a_listener_that_can_be_missed_is_awaited_for_ever(failures, monkeypatch):
    """Guards against a host that ends without a port that it can miss."""
    fail_with(errno.EADDRINUSE, monkeypatch)
    binder = Binder(FastClock(), failures.append)
    threading.Timer(0.3, binder.ending.set).start()
    assert binder.wait(Listener("operators", "10.0.0.1:80", math.inf)) is None
    assert binder.clock.passed_s > 100


def test_connections_of_a_former_process_do_not_hold_a_port(address):
    """Guards against a port that can't be bound for a minute after a stop."""
    with open_listener(address) as former:
        host, _, port = address.rpartition(":")
        caller = socket.create_connection((host, int(port)))
        accepted, _ = former.accept()
    # The side that closes first waits for late segments.
    accepted.close()
    caller.close()
    open_listener(address).close()


@pytest.mark.skipif(not socket.has_ipv6, reason="the machine has no IPv6")
def test_an_ipv6_address_is_bound():
    """Guards against brackets that are taken for a part of the address."""
    try:
        sock = open_listener("[::1]:0")
    except OSError as error:
        assert error.errno == errno.EADDRNOTAVAIL
        return
    with sock:
        assert sock.getsockname()[0] == "::1"


def test_a_port_that_can_never_be_bound_is_tried_again_where_it_is_not_vital(
    address, failures, sockets, monkeypatch
):
    """Guards against calls that are lost for the sake of metrics."""
    tries = []

    def refuse(address):
        tries.append(address)
        raise OSError(errno.EACCES, "no")

    monkeypatch.setattr(binding, "open_listener", refuse)
    monkeypatch.setattr(binding, "SPARE_RETRY_INTERVAL_S", 0.01)
    binder = Binder(Clock(), failures.append)
    binder.bind(Listener("a", address, math.inf), sockets.append)
    wait_until(lambda: len(tries) > 2, "further tries")
    binder.end()
    assert (failures, sockets) == ([], [])


@pytest.mark.parametrize("is_held", [False, True], ids=["now", "later"])
def test_a_port_that_can_t_be_served_stops_no_host_that_can_work_without(
    address, failures, is_held, monkeypatch
):
    """Guards against a host that ends because its metrics need one more thread."""
    tried = threading.Event()

    def use(sock):
        sock.close()
        tried.set()
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(binding, "SPARE_RETRY_INTERVAL_S", 0.05)
    binder = Binder(Clock(), failures.append)
    with contextlib.ExitStack() as stack:
        if is_held:
            stack.enter_context(contextlib.closing(open_listener(address)))
        binder.bind(Listener("a", address, math.inf), use)
    assert tried.wait(10)
    binder.end()
    assert failures == []


def test_metrics_that_find_no_thread_to_wait_stop_no_host(
    address, failures, sockets, monkeypatch
):
    """Guards against a start that fails over a port of no use to calls."""

    def refuse(thread):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", refuse)
    with contextlib.closing(open_listener(address)):
        binder = Binder(Clock(), failures.append)
        binder.bind(Listener("a", address, math.inf), sockets.append)
    assert (failures, sockets) == ([], [])
