"""What a full host does with new connections."""

import contextlib
import socket
import threading

import pytest

from godwitladder.serving import connections, listener
from godwitladder.serving.connections import ConnectionEvent
from godwitladder.serving.listener import make_listener
from godwitladder.settings import LimitSettings
from tests.fleet import wait_until

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
SLOW_REQUEST = b"GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
TIMEOUT_S = 10.0
LONG_S = 1_000.0


class Host:
    """A listener that takes two requests at once from new connections."""

    def __init__(self, limits=None):
        self.done = threading.Event()
        self.requests = 0
        self.server = make_listener(
            self.answer, "127.0.0.1:0", limits or LimitSettings(), 4
        )
        self.server.max_busy = 2
        threading.Thread(target=self.server.run, daemon=True).start()

    def answer(self, environ, start_response):
        self.requests += 1
        if environ["PATH_INFO"] == "/slow":
            self.done.wait(TIMEOUT_S)
        start_response("200 OK", [("Content-Length", "0")])
        return []

    def connect(self):
        address = self.server.socket.getsockname()
        return contextlib.closing(socket.create_connection(address, TIMEOUT_S))

    def wait_for(self, event):
        """Wait until the listener has counted an event."""
        events = self.server.connections.events
        wait_until(lambda: events[event] > 0, f"{event.value} to be counted")

    def fill(self, stack):
        """Send two requests that last until the event is set."""
        for _ in range(2):
            caller = stack.enter_context(self.connect())
            caller.sendall(SLOW_REQUEST)
        wait_until(lambda: self.requests == 2, "the host to be full")


@pytest.fixture
def stack():
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.fixture
def host(monkeypatch):
    monkeypatch.setattr(listener, "MAX_READ_INTERVAL_S", LONG_S)
    monkeypatch.setattr(connections, "PERIOD_S", LONG_S)
    host = Host()
    yield host
    host.done.set()
    host.server.close()


def test_a_full_host_closes_a_new_connection_unread(host, stack):
    """Guards against most callers being refused while the other hosts are idle."""
    host.fill(stack)
    caller = stack.enter_context(host.connect())
    caller.sendall(REQUEST)
    with pytest.raises(ConnectionResetError):
        caller.recv(100)
    assert host.requests == 2


def test_a_connection_is_read_as_soon_as_there_is_room(host, stack):
    """Guards against callers sent away by a host that is full for a moment."""
    host.fill(stack)
    caller = stack.enter_context(host.connect())
    caller.sendall(REQUEST)
    wait_until(lambda: host.server.unread.timer is not None, "the connection to wait")
    host.done.set()
    assert caller.recv(100).startswith(b"HTTP/1.1 200")


def test_a_full_host_reads_requests_on_kept_connections(host, stack):
    """Guards against a kept connection that ends under a request without an answer."""
    caller = stack.enter_context(host.connect())
    caller.sendall(REQUEST)
    assert caller.recv(1000).startswith(b"HTTP/1.1 200")
    host.requests = 0
    host.fill(stack)
    caller.sendall(REQUEST)
    assert caller.recv(1000).startswith(b"HTTP/1.1 200")


def test_a_full_host_reads_a_new_connection_now_and_then(host, stack, monkeypatch):
    """Guards against a host that seems to have stopped, as all its calls hang."""
    host.fill(stack)
    monkeypatch.setattr(listener, "MAX_READ_INTERVAL_S", 0.0)
    caller = stack.enter_context(host.connect())
    caller.sendall(REQUEST)
    assert caller.recv(1000).startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("sent", [b"", REQUEST[:-2]], ids=["nothing", "half-a-head"])
def test_a_client_that_sends_no_request_takes_no_callers_place(host, stack, sent):
    """Guards against a full host that seems to have stopped beside such clients."""
    host.fill(stack)
    host.server.unread.last_read_at = float("-inf")
    with host.connect() as client:
        client.sendall(sent)
    host.wait_for(ConnectionEvent.LEFT)
    caller = stack.enter_context(host.connect())
    caller.sendall(REQUEST)
    assert caller.recv(100).startswith(b"HTTP/1.1 200")


def test_connections_kept_idle_do_not_shut_new_ones_out(stack):
    """Guards against a ready host that takes nobody until idle connections end."""
    host = Host(LimitSettings(connections=3))
    stack.callback(host.server.close)
    for _ in range(3):
        kept = stack.enter_context(host.connect())
        kept.sendall(REQUEST)
        assert kept.recv(1000).startswith(b"HTTP/1.1 200")
    for _ in range(3):
        caller = stack.enter_context(host.connect())
        caller.sendall(REQUEST)
        assert caller.recv(1000).startswith(b"HTTP/1.1 200")
