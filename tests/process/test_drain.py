"""A graceful stop truncates no request or response that is in flight."""

import contextlib
import signal
import socket
import threading
import time

import pytest

from godwitladder.process.drain import (
    accept_all_and_close,
    close_idle_channels,
    count_unfinished,
    is_readable,
    run_in_loop,
    stop_accepting,
)
from godwitladder.serving.listener import make_listener
from godwitladder.settings import LimitSettings
from tests.fleet import CALLER_KEY, wait_until

ANSWER = b"x" * 30_000_000
LONG = {"simulate_output": 120, "max_tokens": 200}


def in_thread(call, *args, **kwargs):
    """Run ``call`` in a thread; return the thread and the list for its result."""
    answers = []
    thread = threading.Thread(target=lambda: answers.append(call(*args, **kwargs)))
    thread.start()
    return thread, answers


def test_a_planned_stop_finishes_what_runs_waits_and_is_being_called(fleet):
    """Callers in flight get complete responses, and a late caller a refusal.

    SIGTERM arrives while one stream runs, a second request waits for the only
    slot, and a plain call runs. A request that arrives during the stop is refused
    with the outcome "not run" and a delay after which to retry.
    """
    engine = fleet.add_engine("engine-a1", decode_tps=40, slots=1)
    service = fleet.add_service("app-a1", delay_s=2.0)
    host = fleet.add_host("host-a1", "a")
    fleet.add_host("host-a2", "a")
    fleet.wait_ready()
    fleet.configure(fleet.ticket().replace("slots = 8", "slots = 1"))
    calls = [in_thread(fleet.chat, host, "one", stream=True, **LONG)]
    wait_until(lambda: len(fleet.run_records(engine)) == 1, "the first stream")
    calls.append(in_thread(fleet.chat, host, "two", stream=True, **LONG))
    key = {"Idempotency-Key": "order-1"}
    calls.append(in_thread(fleet.call, host, "charge", b"order 1", key))
    wait_until(lambda: len(fleet.run_records(service)) == 1, "the charge")

    host.send(signal.SIGTERM)
    wait_until(lambda: not fleet.ready(host), "the host to be not ready")
    late = fleet.call(host, "lookup", b"late")
    assert late.status == 503
    assert b'"outcome": "not_run"' in late.data
    assert int(late.headers["Retry-After"]) >= 1

    for thread, _ in calls:
        thread.join()
    (first,), (second,), (charge,) = [answers for _, answers in calls]
    for answer in (first, second):
        assert answer.data.rstrip().endswith(b"data: [DONE]"), answer.data[-300:]
    assert charge.status == 200, charge.data
    assert host.process.wait(timeout=20) == 0
    assert [row["runs"] for row in fleet.run_records(engine)] == [1, 1]


def test_a_slow_reader_gets_its_whole_answer():
    """Guards against a truncated response if the process ends too early.

    The application has returned the whole response, but most of it is still in
    the server's buffer because the caller has not read it yet. The response is in
    progress until its last byte has left the process.
    """

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", str(len(ANSWER)))])
        return [ANSWER]

    server = make_listener(app, "127.0.0.1:0", LimitSettings(), 4)
    threading.Thread(target=server.run, daemon=True).start()
    address = server.socket.getsockname()
    with socket.create_connection(address) as caller:
        caller.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        head = caller.recv(10)
        channel = next(iter(server.active_channels.values()))
        wait_until(lambda: not channel.requests, "the application to be done")
        assert count_unfinished(server) == 1
        received = len(head)
        while data := caller.recv(1 << 20):
            received += len(data)
    assert received > len(ANSWER)
    wait_until(lambda: count_unfinished(server) == 0, "the connection to be done")
    server.close()


def test_a_request_that_is_still_arriving_is_waited_for():
    """Guards against dropping a request that is half received at the stop."""
    server = make_listener(lambda *_: [], "127.0.0.1:0", LimitSettings(), 4)
    threading.Thread(target=server.run, daemon=True).start()
    with socket.create_connection(server.socket.getsockname()) as caller:
        assert count_unfinished(server) == 0
        caller.sendall(f"GET / HTTP/1.1\r\nAuthorization: {CALLER_KEY}\r\n".encode())
        wait_until(lambda: count_unfinished(server) == 1, "the half request")
    server.close()


REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def make_server():
    """Return a server that answers every request with an empty body."""

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", "0")])
        return []

    return make_listener(app, "127.0.0.1:0", LimitSettings(), 4)


def has_input(server):
    return any(is_readable(channel) for channel in server.active_channels.values())


def test_no_connection_is_accepted_and_reset_as_the_listener_closes():
    """Guards against a listener that lives on while its loop waits in poll."""
    servers = [make_server() for _ in range(5)]
    for server in servers:
        threading.Thread(target=server.run, daemon=True).start()
    time.sleep(0.1)  # The loops are in poll by now, or else the test shows nothing.
    for server in servers:
        address = server.socket.getsockname()
        stop_accepting(server)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)


def test_connections_in_the_backlog_are_served_as_the_listener_closes():
    """Guards against resets of connections that the loop has not accepted yet."""
    server = make_server()
    address = server.socket.getsockname()
    callers = [socket.create_connection(address) for _ in range(3)]
    for caller in callers:
        caller.sendall(REQUEST)
    stop, _ = in_thread(stop_accepting, server)
    wait_until(lambda: server.trigger.thunks, "the stop to wait for the loop")
    threading.Thread(target=server.run, daemon=True).start()
    stop.join()
    for caller in callers:
        with caller:
            assert caller.recv(12) == b"HTTP/1.1 200"


def test_only_connections_without_a_request_are_closed():
    """Guards against resets of requests that come just before the process ends."""
    server = make_server()
    address = server.socket.getsockname()
    with contextlib.ExitStack() as stack:
        callers = [
            stack.enter_context(socket.create_connection(address)) for _ in range(2)
        ]
        idle, late = callers
        thread = threading.Thread(target=server.run, daemon=True)
        thread.start()
        wait_until(lambda: len(server.active_channels) == 2, "both connections")
        server.closing = True

        def close_as_a_request_arrives(server):
            late.sendall(REQUEST)
            wait_until(lambda: has_input(server), "the request to arrive")
            return close_idle_channels(server)

        assert run_in_loop(server, close_as_a_request_arrives) == 1
        assert b"Connection: close" in late.recv(1000)
        assert idle.recv(1) == b""


def test_listener_closes_though_a_connection_can_not_be_accepted(monkeypatch):
    """Guards against a loop that tries to accept for ever without descriptors."""
    server = make_server()
    monkeypatch.setattr(server, "handle_accept", lambda: None)
    with socket.create_connection(server.socket.getsockname()):
        assert accept_all_and_close(server) == server.adj.backlog


def test_a_request_for_a_service_without_a_target_is_answered_at_a_stop(fleet):
    """Guards against a stop that ends without a word to a request that waits."""
    fleet.add_engine("engine-a1")
    host = fleet.add_host("host-a1", "a")
    fleet.wait_ready()
    fleet.configure(fleet.ticket())
    headers = {"Request-Timeout": "4"}
    thread, answers = in_thread(fleet.call, host, "lookup", b"waits", headers)
    status = "/v1/status"
    wait_until(
        lambda: fleet.operator_get(host, status)["waiting"] == 1, "a request that waits"
    )
    host.send(signal.SIGTERM)
    assert host.process.wait(timeout=20) == 0
    thread.join()
    assert answers[0].status == 503
