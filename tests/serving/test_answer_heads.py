"""Heads of answers as the listener of all interfaces writes them to callers."""

import json
import socket
import threading

import pytest

from godwitladder.outcomes import RequestState
from godwitladder.serving.listener import make_listener
from godwitladder.settings import LimitSettings

TIMEOUT_S = 10.0
REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
BODY = b"body"


class App:
    """An application whose answers the test sets."""

    def __init__(self):
        self.status = "200 OK"
        self.headers = []
        self.fails = False

    def __call__(self, environ, start_response):
        start_response(self.status, self.headers)
        if self.fails:
            return iter(map(int, ["no number"]))
        return [BODY]


@pytest.fixture
def app():
    return App()


@pytest.fixture
def address(app):
    server = make_listener(app, "127.0.0.1:0", LimitSettings(), 2)
    threading.Thread(target=server.run, daemon=True).start()
    yield server.socket.getsockname()
    server.close()


def ask(address):
    """Return the head and the body of an answer."""
    with socket.create_connection(address, TIMEOUT_S) as connection:
        connection.sendall(REQUEST)
        answer = b"".join(iter(lambda: connection.recv(65_536), b""))
    head, _, body = answer.partition(b"\r\n\r\n")
    return head, body


def test_an_answer_that_fails_before_its_head_may_have_run(app, address):
    """Guards against a call that was sent to a target and is told as not run."""
    app.fails = True
    head, body = ask(address)
    assert head.startswith(b"HTTP/1.1 500 ")
    assert json.loads(body)["outcome"] == RequestState.MAY_HAVE_RUN.value


ODD_HEADERS = [
    ("X-Name", "a\x00b"),
    ("X-Name", "a\x0bb"),
    ("X-Name", "a\x7f"),
    ("X Name", "a"),
    ("{X}", "a"),
    ("", "a"),
    ("X\x01Name", "a"),
    ("X-Name", "\u20ac"),
]


@pytest.mark.parametrize("header", ODD_HEADERS, ids=repr)
def test_a_header_that_is_none_is_not_written(app, address, header):
    """Guards against bytes of other systems that a caller reads as its answer."""
    app.headers = [header]
    head, body = ask(address)
    assert head.startswith(b"HTTP/1.1 500 ")
    assert json.loads(body)["outcome"] == RequestState.MAY_HAVE_RUN.value


@pytest.mark.parametrize("reason", ["O\x00K", "O\x0bK", "\x7f"], ids=repr)
def test_a_reason_that_is_none_is_not_written(app, address, reason):
    app.status = f"200 {reason}"
    assert ask(address)[0].startswith(b"HTTP/1.1 500 ")


@pytest.mark.parametrize(
    "header",
    [("X", ""), ("X", "a\tb c"), ("X", "\xe9\x80"), ("!#$%&'*+.^_`|~9", "1")],
    ids=repr,
)
@pytest.mark.parametrize("status", ["200 OK", "200 ", "404 Not \xe9"])
def test_a_rare_head_is_written(app, address, status, header):
    app.status, app.headers = status, [header, ("Content-Length", str(len(BODY)))]
    head, body = ask(address)
    assert head.split(b"\r\n")[0] == f"HTTP/1.1 {status}".encode("latin-1")
    value = header[1].encode("latin-1")
    assert any(line.endswith(b": " + value) for line in head.split(b"\r\n")[1:])
    assert body == BODY
