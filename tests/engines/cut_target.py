"""A listener whose answers are cut: closed or reset before their end."""

import contextlib
import enum
import itertools
import random
import socket
import struct
import threading
import time
from dataclasses import dataclass

REQUEST_BYTES = 65_536
CONNECTION_S = 10.0
PAUSE_S = 0.002
ABORTING_LINGER = struct.pack("ii", 1, 0)
LAST_CHUNK = b"0\r\n\r\n"


class Framing(enum.Enum):
    """How an answer states its end."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


@dataclass(frozen=True)
class Cut:
    """Where and how an answer is cut.

    Attributes
    ----------
    size : int
        Bytes that are sent.
    resets : bool
        Whether the connection is reset, not closed.
    in_parts : bool
        Whether the bytes are sent in two parts.
    """

    size: int
    resets: bool
    in_parts: bool


def make_answer(framing, body, headers=b"Content-Type: a/b\r\n"):
    """Return a whole answer; a body in chunks has three of them."""
    head = b"HTTP/1.1 200 OK\r\n" + headers
    if framing is Framing.LENGTH:
        return head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    if framing is Framing.CLOSE:
        return head + b"Connection: close\r\n\r\n" + body
    third = len(body) // 3
    parts = body[:third], body[third : 2 * third], body[2 * third :]
    chunks = (b"%x\r\n%b\r\n" % (len(part), part) for part in parts if part)
    head += b"Transfer-Encoding: chunked\r\n\r\n"
    return head + b"".join(chunks) + LAST_CHUNK


def first_whole_size(framing, answer):
    """Return the bytes of ``answer`` from which on its body is complete."""
    trailing = b"\r\n" if framing is Framing.CHUNKS else b""
    return len(answer) - len(trailing)


def draw_cuts(answer, seed):
    """Return a cut after each byte but the last, closed or reset, in one part or two.

    The middle of a long body is left out.
    """
    rng = random.Random(seed)
    head = answer.index(b"\r\n\r\n") + 4
    sizes = [*range(head + 60), *range(max(head + 60, len(answer) - 40), len(answer))]
    return [
        Cut(size, rng.random() < 0.5, rng.random() < 0.5)
        for size in sizes
        if size < len(answer)
    ]


class CutTarget:
    """Answers some requests whole, and each later one with a part of the answer.

    Parameters
    ----------
    answer : bytes
        The whole answer.
    cut : Cut
        Where later answers are cut.
    sound : int, default=0
        Number of requests that are answered whole, on connections that stay open.

    Attributes
    ----------
    requests : int
        Number of requests that were read.
    """

    def __init__(self, answer, cut, sound=0):
        self.answer = answer
        self.cut = cut
        self.requests = 0
        self.left = itertools.chain([True] * sound, itertools.repeat(False))
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        with contextlib.suppress(OSError):
            self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()

    def run(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.server.accept()
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock):
        with sock, contextlib.suppress(OSError):
            sock.settimeout(CONNECTION_S)
            while read_request(sock):
                self.requests += 1
                if next(self.left):
                    sock.sendall(self.answer)
                    continue
                self.send_part(sock)
                return

    def send_part(self, sock):
        """Send what comes before the cut; the connection ends with it."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        part = self.answer[: self.cut.size]
        if self.cut.in_parts:
            sock.sendall(part[: len(part) // 2])
            time.sleep(PAUSE_S)
            part = part[len(part) // 2 :]
        sock.sendall(part)
        if self.cut.resets:
            time.sleep(PAUSE_S)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTING_LINGER)


def read_request(sock):
    """Read a whole request; return whether there was one."""
    data = b""
    while b"\r\n\r\n" not in data:
        block = sock.recv(REQUEST_BYTES)
        if not block:
            return False
        data += block
    head, _, body = data.partition(b"\r\n\r\n")
    stated = [row for row in head.lower().split(b"\r\n") if b"content-length:" in row]
    left = int(stated[0].partition(b":")[2]) - len(body) if stated else 0
    while left > 0:
        left -= len(sock.recv(left))
    return True
