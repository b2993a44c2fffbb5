"""Requests that are cut anywhere: nothing of them runs, and nothing is held on to."""

import contextlib
import itertools
import random
import socket
import threading
import time

import pytest

from godwitladder.serving.listener import make_listener
from godwitladder.serving.request_bodies import read_whole_body
from godwitladder.settings import LimitSettings
from tests.engines.cut_target import ABORTING_LINGER, PAUSE_S
from tests.fleet import wait_until

THREADS = 4
LIMITS = LimitSettings(threads=THREADS, connections=64)
ENDS = ("close", "reset", "half_close")


def make_request(method, name, *fields, body=b"", version="1.1"):
    head = [f"{method} /{name} HTTP/{version}", "Host: h.example", *fields, "", ""]
    return "\r\n".join(head).encode() + body


EXPECTS = "Expect: 100-continue"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HEAD = b"\r\n\r\n"
CHUNKS = "Transfer-Encoding: chunked"
BODY = b"some body"
LENGTH = f"Content-Length: {len(BODY)}"
BODY_IN_CHUNKS = b"4;x=y\r\nsome\r\n5\r\n body\r\n0\r\nX-Trailer: 1\r\n\r\n"
REQUESTS = {
    "length": ("POST", [LENGTH], BODY, "1.1"),
    "chunks": ("POST", [CHUNKS], BODY_IN_CHUNKS, "1.1"),
    "no-body": ("GET", ["X-Long: some value"], b"", "1.1"),
    "old": ("POST", [LENGTH], BODY, "1.0"),
    "expected-length": ("POST", [EXPECTS, LENGTH], BODY, "1.1"),
    "expected-chunks": ("POST", [EXPECTS, CHUNKS], BODY_IN_CHUNKS, "1.1"),
}
SEQUENCES = [
    *([name] for name in REQUESTS),
    ["no-body", "length"],
    ["length", "chunks"],
    ["chunks", "no-body"],
    ["length", "expected-length"],
]


def make_sequence(names, tag):
    """Return the requests ``names`` one after the other, and where each ends."""
    requests = [
        make_request(method, f"{name}/{tag:04}", *fields, body=body, version=version)
        for name in names
        for method, fields, body, version in [REQUESTS[name]]
    ]
    return b"".join(requests), list(itertools.accumulate(map(len, requests)))


class Recorder:
    """A listener that records each request that runs."""

    def __init__(self, stack):
        self.runs = []
        self.names = []
        self.server = make_listener(self.answer, "127.0.0.1:0", LIMITS, THREADS)
        self.address = self.server.socket.getsockname()
        threading.Thread(target=self.server.run, daemon=True).start()
        stack.callback(self.server.close)
        stack.callback(self.server.task_dispatcher.shutdown)

    def answer(self, environ, start_response):
        self.runs.append((environ["PATH_INFO"], read_whole_body(environ)))
        self.names.append(environ.get("HTTP_X_NAME", ""))
        start_response("200 OK", [("Content-Length", "0")])
        return []

    def runs_of(self, tag):
        """Return the requests with a tag that have run."""
        return [row for row in self.runs if row[0].endswith(f"{tag:04}")]

    def is_idle(self):
        return not self.server.active_channels and not self.server.memory.used


@pytest.fixture(scope="module")
def recorder():
    with contextlib.ExitStack() as stack:
        yield Recorder(stack)


def send_part(recorder, part, end, in_parts):
    """Send a part of the requests, and end the connection."""
    with socket.create_connection(recorder.address, timeout=5) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if in_parts:
            sock.sendall(part[: len(part) // 2])
            time.sleep(PAUSE_S)
            part = part[len(part) // 2 :]
        sock.sendall(part)
        if end == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTING_LINGER)
        elif end == "half_close":
            sock.shutdown(socket.SHUT_WR)
            while sock.recv(65_536):
                pass


def count_answers(recorder, whole, count):
    """Send whole requests, and return how many of them have run and are answered."""
    data = b""
    with socket.create_connection(recorder.address, timeout=5) as sock:
        sock.sendall(whole)
        while data.count(b" 200 OK") < count:
            block = sock.recv(65_536)
            if not block:
                break
            data += block
    return data.count(b" 200 OK")


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("names", SEQUENCES, ids=" then ".join)
def test_a_request_that_is_cut_does_not_run(recorder, names, end):
    """Guards against a part of a request that runs as if it were all of it."""
    rng = random.Random(f"{names}{end}")
    recorder.runs.clear()
    whole, ends = make_sequence(names, 0)
    for size in range(1, len(whole)):
        part = make_sequence(names, size)[0][:size]
        with contextlib.suppress(ConnectionError):
            send_part(recorder, part, end, rng.random() < 0.5)
    assert count_answers(recorder, whole, len(names)) == len(names)
    wait_until(recorder.is_idle, "no connection or memory left")
    for size in range(1, len(whole)):
        expected = [
            (f"/{name}/{size:04}", BODY if REQUESTS[name][2] else b"")
            for name, end_at in zip(names, ends, strict=True)
            if end_at <= size
        ]
        runs = recorder.runs_of(size)
        assert runs == expected[: len(runs)], (size, whole[:size])
    assert len(recorder.runs_of(0)) == len(names)


def exchange(sock, request):
    """Send a request and return the head of its answer, and whether it continued."""
    sock.sendall(request)
    data = b""
    while HEAD not in data.removeprefix(CONTINUE):
        block = sock.recv(65_536)
        assert block, "closed without an answer"
        data += block
    return data.removeprefix(CONTINUE), data.startswith(CONTINUE)


NOTHING_TO_COME = {
    "no body": ("GET", []),
    "empty body": ("POST", ["Content-Length: 0"]),
}
REFUSED = {
    "long body": (413, f"Content-Length: {1 << 40}"),
    "no length": (400, "Content-Length: x"),
    "unknown encoding": (501, "Transfer-Encoding: gzip"),
}


@pytest.mark.parametrize("name", NOTHING_TO_COME)
def test_a_request_that_expects_to_send_nothing_is_answered(recorder, name):
    """Guards against a caller without an answer, and a next request mixed with it."""
    method, fields = NOTHING_TO_COME[name]
    recorder.names.clear()
    with socket.create_connection(recorder.address, timeout=2) as sock:
        for tag in ("first", "second"):
            request = make_request(method, tag, EXPECTS, f"X-Name: {tag}", *fields)
            head, continued = exchange(sock, request)
            assert head.startswith(b"HTTP/1.1 200")
            assert not continued
    assert recorder.names == ["first", "second"]


@pytest.mark.parametrize("name", REFUSED)
def test_a_request_that_is_refused_is_not_told_to_continue(recorder, name):
    """Guards against a caller that sends a body which is refused, or waits for ever."""
    status, field = REFUSED[name]
    recorder.runs.clear()
    with socket.create_connection(recorder.address, timeout=2) as sock:
        head, continued = exchange(sock, make_request("POST", "x", EXPECTS, field))
    assert head.startswith(b"HTTP/1.1 %d" % status)
    assert not continued
    assert recorder.runs == []


def test_a_caller_that_leaves_as_it_is_told_to_continue_is_forgotten(recorder):
    """Guards against a thread that fails, and memory that is never given back."""
    wait_until(recorder.is_idle, "no connection left")
    with socket.create_connection(recorder.address, timeout=2) as sock:
        sock.sendall(make_request("POST", "x", "Content-Length: 9"))
        wait_until(lambda: recorder.server.active_channels, "the connection")
        (channel,) = recorder.server.active_channels.values()
        wait_until(lambda: channel.request is not None, "the head")
    wait_until(recorder.is_idle, "the closed connection")
    channel.request.expect_continue = True
    channel.send_continue()
    assert recorder.is_idle()
