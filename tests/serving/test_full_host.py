"""What a full host does with new connections."""

import contextlib
import socket
import threading

import pytest

from godwitladder.process.drain import is_readable, run_in_loop
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
        # Nothing but the listener itself wakes its loop.
        self.server.adj.asyncore_loop_timeout = LONG_S
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
    host.wait_for(ConnectionEvent.HELD)
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
    host.server.unread.last_request_at = float("-inf")
    with host.connect() as client:
        client.sendall(sent)
    host.wait_for(ConnectionEvent.LEFT)
    caller = stack.enter_context(host.connect())
    caller.sendall(REQUEST)
    assert caller.recv(100).startswith(b"HTTP/1.1 200")


def test_a_connection_left_unread_is_closed_though_nothing_else_happens(host, stack):
    """Guards against callers that wait until something else wakes the loop."""
    host.fill(stack)
    caller = stack.enter_context(host.connect())
    caller.sendall(REQUEST)
    with pytest.raises(ConnectionResetError):
        caller.recv(100)


def test_connections_left_unread_do_not_keep_the_loop_busy(host, stack, monkeypatch):
    """Guards against a loop that looks at all connections all the time."""
    host.fill(stack)
    turns = []
    monkeypatch.setattr(
        host.server.connections, "end_turn", lambda now, describe: turns.append(now)
    )
    callers = [stack.enter_context(host.connect()) for _ in range(10)]
    for caller in callers:
        caller.sendall(REQUEST)
    for caller in callers:
        with pytest.raises(ConnectionResetError):
            caller.recv(100)
    # One turn to accept, one to close; some wake-ups for all of them.
    assert len(turns) <= 2 * len(callers) + 10


@pytest.fixture
def small_host(stack):
    """A host that keeps three connections."""
    host = Host(LimitSettings(connections=3))
    stack.callback(host.server.close)
    stack.callback(host.done.set)
    return host


def test_connections_kept_idle_do_not_shut_new_ones_out(small_host, stack):
    """Guards against a ready host that takes nobody until idle connections end."""
    for _ in range(6):
        caller = stack.enter_context(small_host.connect())
        caller.sendall(REQUEST)
        assert caller.recv(1000).startswith(b"HTTP/1.1 200")


def test_no_connection_with_a_request_is_closed_to_make_room(small_host, stack):
    """Guards against a call that runs and whose caller gets no answer."""
    small_host.server.max_busy = 100
    callers = [stack.enter_context(small_host.connect()) for _ in range(3)]
    for caller in callers:
        caller.sendall(SLOW_REQUEST)
    wait_until(lambda: small_host.requests == 3, "the requests to run")
    late = stack.enter_context(small_host.connect())
    assert late.recv(100).startswith(b"HTTP/1.1 429")
    small_host.done.set()
    assert all(row.recv(100).startswith(b"HTTP/1.1 200") for row in callers)


def test_no_connection_with_unread_bytes_is_closed_to_make_room(small_host, stack):
    """Guards against a request that is reset as it arrives."""
    callers = [stack.enter_context(small_host.connect()) for _ in range(3)]
    for caller in callers:
        caller.sendall(REQUEST)
        assert caller.recv(1000).startswith(b"HTTP/1.1 200")

    def send_and_close(server):
        for caller in callers:
            caller.sendall(REQUEST)
        channels = list(server.active_channels.values())
        wait_until(lambda: all(map(is_readable, channels)), "the bytes to arrive")
        return listener.close_longest_idle(server)

    assert run_in_loop(small_host.server, send_and_close) is False
    assert all(row.recv(1000).startswith(b"HTTP/1.1 200") for row in callers)
