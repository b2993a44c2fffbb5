"""Answers of targets that reset the connection while a request is being sent."""

import contextlib
import socket
import struct
import threading
import time

import pytest
import urllib3

from godwitladder.engines.errors import MayHaveRun
from godwitladder.engines.wire import connect, send

ABORTING_LINGER = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
PART = b"a part of the answer"
ANSWERS = {
    "no_length": HEAD + b"Connection: close\r\n\r\n" + PART,
    "length": HEAD + b"Content-Length: 1000\r\n\r\n" + PART,
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n14\r\n" + PART + b"\r\n",
}
SIZES = (1_000, 300_000, 16_000_000)
FAILURES = (MayHaveRun, urllib3.exceptions.HTTPError, OSError)


class EarlyTarget:
    """Answers as soon as a request begins to arrive, and ends the connection.

    Parameters
    ----------
    answer : bytes
        What it sends.
    is_reset : bool
        Whether it resets the connection without closing its own direction before.
    pause_s : float
        Time between the answer and the end of the connection, in seconds.
    """

    def __init__(self, answer, is_reset, pause_s):
        self.answer, self.is_reset, self.pause_s = answer, is_reset, pause_s
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.server.close()

    def run(self):
        with contextlib.suppress(OSError):
            sock, _ = self.server.accept()
            with sock:
                sock.recv(1_000)
                sock.sendall(self.answer)
                time.sleep(self.pause_s)
                if self.is_reset:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, ABORTING_LINGER
                    )
                else:
                    # What is left unread resets the connection after its end.
                    sock.shutdown(socket.SHUT_WR)


def call(target, size):
    """Return status and body of the answer to an upload."""
    connection = connect(target.address, 5.0)
    with contextlib.closing(connection):
        body = b"u" * size
        response = send(connection, "POST", "/x", body, {"Content-Length": str(size)})
        return response.status, response.read()


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("pause_s", [0.0, 0.01, 0.05])
@pytest.mark.parametrize("framing", ANSWERS)
def test_a_part_of_an_answer_to_an_upload_is_not_complete(framing, pause_s, size):
    """Guards against an answer that was reset and looks complete."""
    with (
        EarlyTarget(ANSWERS[framing], is_reset=True, pause_s=pause_s) as target,
        pytest.raises(FAILURES),
    ):
        call(target, size)


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_an_answer_without_length_to_an_upload_that_was_cut_is_not_complete(pause_s):
    """Guards against the end of a connection that hides its reset.

    The request could not be sent whole, since the target closed the connection with
    most of it unread.
    """
    with (
        EarlyTarget(ANSWERS["no_length"], is_reset=False, pause_s=pause_s) as target,
        pytest.raises(FAILURES),
    ):
        call(target, SIZES[-1])
