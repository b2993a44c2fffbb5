"""Targets whose answers are no whole HTTP answers, or never end."""

import contextlib
import itertools
import json
import selectors
import socket
import sys
import threading
import time
from collections.abc import Callable, Iterable, Iterator

from godwitladder.platform import names

LENGTH = b"content-length:"
ATTEMPT = names.ATTEMPT.lower().encode() + b":"
CONNECTION_S = 30.0
"""Longest life of a connection, in seconds, whatever the host does."""
Script = Callable[[], Iterable[bytes]]


class OddTarget:
    """A listener that answers each request with the pieces of a script.

    Parameters
    ----------
    script : callable
        Returns the pieces of an answer. The first has the status line and headers,
        without those that name the request.
    pause_s : float
        Pause before each piece but the first, in seconds.

    Attributes
    ----------
    requests : int
        Number of requests that were read.
    open_connections : int
        Number of connections on which an answer is being sent.
    """

    def __init__(self, script: Script, pause_s: float = 0.0) -> None:
        self.script = script
        self.pause_s = pause_s
        self.requests = 0
        self.open_connections = 0
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = "127.0.0.1:" + str(self.listener.getsockname()[1])
        threading.Thread(target=self.run, daemon=True).start()

    def close(self) -> None:
        """Stop accepting connections."""
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()

    def run(self) -> None:
        """Serve each connection in a thread of its own."""
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        """Answer one request."""
        self.count(1)
        with sock, contextlib.suppress(OSError):
            sock.settimeout(CONNECTION_S)
            attempt = read_request(sock)
            self.requests += 1
            self.send(sock, attempt)
        self.count(-1)

    def count(self, change: int) -> None:
        """Change the number of open connections."""
        with self.lock:
            self.open_connections += change

    def send(self, sock: socket.socket, attempt: str) -> None:
        """Send the pieces until they end or the host has closed the connection."""
        pieces = iter(self.script())
        sock.sendall(name_request(next(pieces), attempt))
        ends_at = time.monotonic() + CONNECTION_S
        for piece in pieces:
            if time.monotonic() > ends_at:
                return
            time.sleep(self.pause_s)
            sock.sendall(piece)


def read_request(sock: socket.socket) -> str:
    """Read one request and return its attempt id."""
    data = b""
    while b"\r\n\r\n" not in data:
        block = sock.recv(65_536)
        if not block:
            raise ConnectionError("no request came")
        data += block
    head, _, body = data.partition(b"\r\n\r\n")
    fields = head.lower().split(b"\r\n")
    left = int(next((row for row in fields if row.startswith(LENGTH)), b":0")[15:] or 0)
    left -= len(body)
    while left > 0:
        left -= len(sock.recv(65_536))
    return next(
        (row[len(ATTEMPT) :].strip().decode() for row in fields if ATTEMPT in row), ""
    )


def name_request(head: bytes, attempt: str) -> bytes:
    """Return ``head`` with the headers that an answer to ``attempt`` must have."""
    line, _, rest = head.partition(b"\r\n")
    own = f"{names.ATTEMPT}: {attempt}\r\n{names.SIGNATURE}: s\r\n".encode()
    return line + b"\r\n" + own + rest


def head(*fields: str, status: int = 200) -> bytes:
    """Return a status line and headers."""
    return "\r\n".join([f"HTTP/1.1 {status} OK", *fields, "", ""]).encode()


def repeat(first: bytes, piece: bytes) -> Iterator[bytes]:
    """Yield ``first``, then ``piece`` for ever."""
    return itertools.chain([first], itertools.repeat(piece))


def chunk(data: bytes) -> bytes:
    """Return ``data`` as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = "Transfer-Encoding: chunked"
STREAM = "Content-Type: text/event-stream"
UNFRAMED = head("Content-Type: text/plain")
BLOCK = b"x" * 16_384
EVENT = b"id: 1\ndata: one\n\n"
BIG_EVENT = b"id: 1\ndata: " + b"x" * 50_000 + b"\n\n"
COMMENT = b": still here\n\n"
ENDLESS: dict[str, Script] = {
    "no_length": lambda: repeat(UNFRAMED, BLOCK),
    "length": lambda: repeat(head(f"Content-Length: {1 << 25}"), BLOCK),
    "chunks": lambda: repeat(head(CHUNKED), chunk(BLOCK)),
    "stream": lambda: repeat(head(STREAM), BIG_EVENT),
    "comments": lambda: repeat(head(STREAM) + EVENT, 50 * COMMENT),
    "long_event": lambda: repeat(head(STREAM) + EVENT, BLOCK),
}
"""Answers that never end, by their shape."""
STREAMS = frozenset({"stream", "comments", "long_event"})


def read_and_discard(address: str, request: bytes, count: int, reads: bool) -> None:
    """Send a request on many connections, and discard the answers until they end."""
    host, _, port = address.rpartition(":")
    selector = selectors.DefaultSelector()
    callers = []
    for _ in range(count):
        caller = socket.create_connection((host, int(port)))
        caller.sendall(request)
        callers.append(caller)
        if reads:
            selector.register(caller, selectors.EVENT_READ)
    while not reads or selector.get_map():
        for key, _ in selector.select(1.0):
            if not discard_some(key.fileobj):
                selector.unregister(key.fileobj)


def discard_some(caller: socket.socket) -> bool:
    """Read from ``caller``, and return whether it is still open."""
    try:
        return bool(caller.recv(1 << 18))
    except OSError:
        return False


def main() -> None:
    """Run a target or many callers, as told on standard input, for a test.

    They have processes of their own, so that the test's process is a host only.
    """
    order = json.loads(sys.stdin.readline())
    if "shape" in order:
        target = OddTarget(ENDLESS[order["shape"]], order["pause_s"])
        print(target.address, flush=True)
        sys.stdin.readline()
    else:
        request = order["request"].encode()
        read_and_discard(order["host"], request, order["count"], order["reads"])


if __name__ == "__main__":
    main()
