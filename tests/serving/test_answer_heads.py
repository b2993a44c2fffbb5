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
