"""Heads of requests with odd values, at the listener of all interfaces."""

import contextlib
import socket
import threading

import pytest

from godwitladder.serving.listener import make_listener
from godwitladder.settings import LimitSettings
from tests.odd_values import NUMBERS, TEXTS

PATHS = [
    b"http://[::1",
    b"http://[bad]:1/",
    b"//[x",
    b"http://[::1]:abc/x",
    b"http://h:\xd9\xa1/x",
    b"/%ff%00",
    b"/\xff\xfe",
    b"x",
    b"/" + b"a" * 8_000,
]
LENGTHS = [text.encode() for text in (*NUMBERS, "\u0661\u0662", "\u00b2", "+1", "1_0")]
VALUES = [text.encode("utf-8", "surrogatepass") for text in TEXTS if "\n" not in text]


@pytest.fixture(scope="module")
def address():
    server = make_listener(answer_empty, "127.0.0.1:0", LimitSettings(), 2)
    threading.Thread(target=server.run, daemon=True).start()
    yield server.socket.getsockname()
    server.close()


def answer_empty(environ, start_response):
    start_response("200 OK", [("Content-Length", "0")])
    return []


def first_line(address, path=b"/x", field=b"X: 1"):
    """Return the first line of the answer to a request; empty if there is none."""
    head = b"GET %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n" % (path, field)
    with socket.create_connection(address, 10) as connection:
        connection.sendall(head)
        with contextlib.suppress(ConnectionResetError):
            return connection.recv(65_536).partition(b"\r\n")[0]
    return b""


@pytest.mark.parametrize("path", PATHS, ids=lambda path: repr(path[:20]))
def test_a_call_with_an_odd_path_is_answered(address, path):
    """Guards against a caller whose connection closes without a word."""
    assert first_line(address, path).split(b" ")[1] in (b"200", b"400")


@pytest.mark.parametrize("length", LENGTHS, ids=lambda length: repr(length[:20]))
def test_a_call_with_an_odd_length_is_answered(address, length):
    """Guards against a caller whose connection closes without a word."""
    line = first_line(address, field=b"Content-Length: " + length)
    if length in (b"0", str(2**63).encode(), str(2**64).encode()) or len(length) == 400:
        assert line.split(b" ")[1] in (b"200", b"413")
    else:
        assert line.split(b" ")[1] == b"400"


@pytest.mark.parametrize("field", [b"Host", b"Connection", b"Expect", b"Content-Type"])
def test_a_call_with_odd_fields_is_answered(address, field):
    """Guards against a caller whose connection closes without a word."""
    for value in VALUES:
        line = first_line(address, field=field + b": " + value)
        assert line.split(b" ")[1] in (b"100", b"200", b"400")
