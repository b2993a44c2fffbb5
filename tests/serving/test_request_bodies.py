"""Long bodies of requests before a host with little memory."""

import contextlib
import http.client
import json
import threading

import pytest
from hypothesis import given
from hypothesis import strategies as st
from waitress.adjustments import Adjustments

from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.serving.call_memory import (
    BODY_SHARE,
    SHORT_BODY_BYTES,
    CallMemory,
)
from godwitladder.serving.listener import make_listener
from godwitladder.serving.request_bodies import (
    FREE_BYTES,
    STEP_BYTES,
    BoundedRequest,
    read_whole_body,
)
from godwitladder.settings import LimitSettings
from tests.fleet import wait_until

LONG = 600_000
ROOM = 3
"""Long bodies for which there is memory."""
LIMITS = AnswerLimits(memory_mb=2.6, memory_share=1.0)
CHUNKED = "Transfer-Encoding: chunked"


def head(framing):
    return f"POST /x HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n".encode()


def frame(body, size):
    """Return the request with ``body`` in chunks of ``size``; by its length if 0."""
    if not size:
        return head(f"Content-Length: {len(body)}") + body
    chunks = [body[start : start + size] for start in range(0, len(body), size)]
    rows = [b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in [*chunks, b""]]
    return head(CHUNKED) + b"".join(rows)


def feed(request, data, step):
    """Let ``request`` read ``data`` as it arrives in parts; return what it left."""
    while data and not request.completed:
        part = data[:step]
        consumed = request.received(part)
        assert consumed
        data = data[consumed:]
    return data


def make_request(memory):
    return BoundedRequest(Adjustments(max_request_body_size=1 << 30), memory)


@given(
    st.binary(max_size=40),
    st.integers(1, 9_000),
    st.integers(0, 5_000),
    st.integers(1, 9_000),
)
def test_a_body_is_read_whole_however_it_arrives(part, count, chunk, step):
    """Guards against bodies that are cut or changed by their accounting."""
    body, memory = part * count, CallMemory()
    request = make_request(memory)
    assert feed(request, frame(body, chunk) + b"next", step) == b"next"
    assert request.error is None
    environ = {"CONTENT_LENGTH": len(body), "wsgi.input": request.get_body_stream()}
    assert read_whole_body(environ) == body
    request.close()
    assert memory.used == 0


def test_the_memory_of_a_body_is_taken_before_it_arrives():
    """Guards against bodies that fill the memory while they are still read."""
    memory = CallMemory(LIMITS)
    request = make_request(memory)
    request.received(head(f"Content-Length: {LONG}"))
    assert memory.used >= LONG
    request.close()
    assert memory.used == 0


def test_a_body_in_chunks_takes_memory_ahead_of_what_arrives():
    memory = CallMemory(LIMITS)
    request = make_request(memory)
    feed(request, frame(bytes(LONG), 8_000)[:-9], 8_192)
    assert LONG <= memory.used <= 1.2 * LONG + STEP_BYTES
    request.close()
    assert memory.used == 0


def test_short_requests_take_nothing():
    memory = CallMemory(LIMITS)
    request = make_request(memory)
    feed(request, frame(bytes(FREE_BYTES), 0), 8_192)
    assert (memory.used, memory.peak) == (0, 0)


def test_a_body_without_memory_is_read_to_its_end_and_not_kept():
    """Guards against a request whose rest is taken for the next one."""
    memory = CallMemory(LIMITS)
    memory.add(memory.max_bytes)
    request = make_request(memory)
    data = frame(bytes(LONG), 7_000)
    rest = data[20_000:]
    feed(request, data[:20_000], 8_192)
    assert request.starved_since is not None
    request.drop_rest()
    assert feed(request, rest + b"next", 8_192) == b"next"
    assert request.error.code == 503
    assert request.get_body_stream().read() == b""
    assert memory.used == memory.max_bytes


def test_a_request_that_ends_while_it_waits_holds_no_place_before_others():
    """Guards against a whole request that keeps all long bodies waiting."""
    memory = CallMemory(LIMITS)
    memory.add(memory.max_bytes)
    request = make_request(memory)
    data = frame(bytes(4 * FREE_BYTES), 9_000)
    # A connection with TLS is read on while it has decrypted bytes.
    assert feed(request, data, 8_192) == b""
    assert request.completed
    assert not memory.waiting


def test_long_bodies_leave_room_for_short_ones():
    """Guards against a few long bodies that keep all other callers out."""
    memory = CallMemory(LIMITS)
    assert memory.take_body("long", int(memory.max_bytes * BODY_SHARE), False)
    assert not memory.take_body("long too", SHORT_BODY_BYTES + 1, False)
    assert memory.take_body("short", SHORT_BODY_BYTES, False)


def test_the_first_that_waits_comes_first():
    """Guards against a long body that waits while later ones pass it."""
    memory = CallMemory(LIMITS)
    memory.add(memory.max_bytes)
    assert not memory.take_body("first", 2 * LONG, False)
    assert not memory.take_body("second", LONG, False)
    memory.add(-memory.max_bytes)
    assert not memory.take_body("second", LONG, False)
    assert memory.take_body("begun", LONG, True)
    assert memory.take_body("first", LONG, False)
    memory.release_body("first", LONG)
    assert memory.take_body("second", LONG, False)


class Server:
    """A listener whose application holds each long body until it is told to go on."""

    def __init__(self, stack):
        self.held, self.sizes = [], []
        self.going = threading.Event()
        limits = LimitSettings(threads=16, body_bytes=4_000_000)
        self.server = make_listener(self.answer, "127.0.0.1:0", limits, 16)
        self.server.memory = CallMemory(LIMITS)
        threading.Thread(target=self.server.run, daemon=True).start()
        stack.callback(self.server.close)
        stack.callback(self.going.set)

    def answer(self, environ, start_response):
        body = read_whole_body(environ)
        self.sizes.append(len(body))
        if len(body) == LONG:
            self.held.append(body)
            self.going.wait(10)
            self.held.remove(body)
        start_response("200 OK", [("Content-Length", "0")])
        return []

    def connect(self):
        host, port = self.server.socket.getsockname()
        return http.client.HTTPConnection(host, port, timeout=10)

    def send(self, body, **options):
        connection = self.connect()
        with contextlib.closing(connection):
            connection.request("POST", "/x", body, **options)
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()

    def start_senders(self, count):
        """Send a long body each in threads; return the list of their answers."""
        answers = []
        for number in range(count):
            body = bytes([number]) * LONG
            thread = threading.Thread(
                target=lambda body=body: answers.append(self.send(body)), daemon=True
            )
            thread.start()
        return answers


@pytest.fixture
def server():
    with contextlib.ExitStack() as stack:
        yield Server(stack)


def test_long_bodies_beyond_the_memory_are_refused_as_not_run(server):
    """Guards against callers whose long bodies end the host and all its calls."""
    answers = server.start_senders(ROOM + 4)
    wait_until(lambda: len(answers) == 4, "refusals")
    assert {status for status, _, _ in answers} == {503}
    for _, headers, body in answers:
        assert headers["Retry-After"]
        assert json.loads(body)["outcome"] == "not_run"
    assert server.send(b"short")[0] == 200
    assert len(server.held) == ROOM
    assert server.server.memory.peak <= LIMITS.memory_bytes
    server.going.set()
    wait_until(lambda: len(answers) == ROOM + 4, "answers")
    assert sorted(row[0] for row in answers) == [200] * ROOM + [503] * 4
    wait_until(lambda: server.server.memory.used == 0, "memory given back")


def test_a_long_body_waits_for_memory_that_is_given_back_soon(server):
    """Guards against a refusal though another call is about to end."""
    first = server.start_senders(ROOM)
    wait_until(lambda: len(server.held) == ROOM, "bodies held")
    second = server.start_senders(1)
    wait_until(lambda: server.server.memory.waiting, "one that waits")
    server.going.set()
    wait_until(lambda: len(first + second) == ROOM + 1, "answers")
    assert {row[0] for row in first + second} == {200}


def test_a_kept_connection_serves_on_after_a_long_body(server):
    server.going.set()
    connection = server.connect()
    with contextlib.closing(connection):
        for size in (LONG, 3, LONG, 0):
            connection.request("POST", "/x", bytes(size))
            answer = connection.getresponse()
            assert (answer.status, answer.read()) == (200, b"")
    assert server.sizes == [LONG, 3, LONG, 0]


def test_a_caller_that_leaves_within_its_body_gives_its_memory_back(server):
    """Guards against memory that is lost with each caller that leaves."""
    connection = server.connect()
    connection.connect()
    connection.sock.sendall(head(f"Content-Length: {LONG}") + bytes(1_000))
    wait_until(lambda: server.server.memory.used, "memory taken")
    connection.close()
    wait_until(lambda: server.server.memory.used == 0, "memory given back")
