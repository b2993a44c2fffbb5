"""One HTTP listener by waitress, with bounds, problem documents and TLS.

Waitress has no TLS of its own and keeps large bodies in temporary files.
Here the listening socket is wrapped where TLS is set, and buffers are bounded
so that nothing goes to a disk, which hosts do not have.
"""

import errno
import json
import socket
import ssl
import threading
import time
from collections.abc import Callable

import waitress
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask, WSGITask

from godwitladder.outcomes import RequestState
from godwitladder.serving.problems import PROBLEM_TYPE
from godwitladder.serving.threads import ElasticDispatcher
from godwitladder.settings import LimitSettings, TlsSettings
from godwitladder.tls import server_context

# Bytes of an answer that wait for a caller who reads slowly; beyond them the
# thread that writes the answer waits, and its engine's stream with it.
WATERMARK_BYTES = 65_536
# A caller that has acknowledged nothing for so long is gone or will never
# read. Without this bound a caller that stops reading would hold a thread and,
# through it, a slot of a target for as long as its connection stays open.
STALL_S = 30
# Threads that stay free for refusals while every other one serves a request.
SPARE_THREADS = 16
SPARE_CONNECTIONS = 64
NEVER = 1 << 40


class ProblemTask(ErrorTask):
    """Answers what waitress itself refuses as a problem document.

    Such a request was never read to its end, so that nothing of it has run.
    """

    def execute(self) -> None:
        """Write the answer and close the connection."""
        error = self.request.error
        self.status = f"{error.code} {error.reason}"
        body = problem(error.code, error.reason, str(error.body))
        self.response_headers.append(("Content-Type", PROBLEM_TYPE))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class ClosingTask(WSGITask):
    """Answers a request, and the connection's last one on a host that stops."""

    def build_response_header(self) -> bytes:
        """Say that the connection closes, if the server is closing.

        A caller that kept its connection would send into a process that is
        about to end, and its request would be lost.
        """
        if self.channel.server.closing:
            self.set_close_on_finish()
        return super().build_response_header()


class BoundedChannel(HTTPChannel):
    """One caller's connection."""

    error_task_class = ProblemTask
    task_class = ClosingTask

    def __init__(self, server, sock, addr, adj, map=None) -> None:
        super().__init__(server, sock, addr, adj, map=map)
        if len(server.active_channels) > server.connection_bound:
            self.turn_away()

    def turn_away(self) -> None:
        """Answer that there are too many connections, and close."""
        body = problem(429, "Too Many Requests", "Too many connections are open.")
        head = (
            "HTTP/1.1 429 Too Many Requests\r\nConnection: close\r\n"
            f"Retry-After: 1\r\nContent-Type: {PROBLEM_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with self.outbuf_lock:
            self.outbufs[-1].append(head.encode() + body)
            self.total_outbufs_len += len(head) + len(body)
        self.close_when_flushed = True

    def handle_read(self) -> None:
        """Read all that has arrived; TLS may hold some that a poll can't see."""
        while True:
            try:
                data = self.recv(self.adj.recv_bytes)
            except BlockingIOError:
                return
            except OSError:
                self.handle_close()
                return
            if not data:
                self.connected = False
                return
            self.last_activity = time.time()
            self.received(data)
            if not has_pending(self.socket):
                return


class TlsSocket(ssl.SSLSocket):
    """A TLS socket that a server loop and worker threads may share.

    The loop reads while a worker writes, and OpenSSL's connection must not
    be used by two threads at once: the lock keeps them apart. Both sides never
    block, so that it is held for a moment only.
    """

    def __new__(cls, *args, **kwargs) -> "TlsSocket":
        """Make the socket together with its lock."""
        made = super().__new__(cls, *args, **kwargs)
        made.lock = threading.Lock()
        return made

    def recv(self, buflen: int = 1024, flags: int = 0) -> bytes:
        """Read, or raise `BlockingIOError` while nothing can be read."""
        with self.lock:
            try:
                return super().recv(buflen, flags)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError) as error:
                raise BlockingIOError(errno.EWOULDBLOCK, "TLS waits") from error

    def send(self, data: bytes, flags: int = 0) -> int:
        """Write, or raise `BlockingIOError` while nothing can be written."""
        with self.lock:
            try:
                return super().send(data, flags)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError) as error:
                raise BlockingIOError(errno.EWOULDBLOCK, "TLS waits") from error


def has_pending(sock: socket.socket) -> bool:
    """Return whether bytes wait above the operating system's buffer."""
    if not isinstance(sock, TlsSocket):
        return False
    with sock.lock:
        return sock.fileno() >= 0 and sock.pending() > 0


def problem(status: int, title: str, detail: str) -> bytes:
    """Return a problem document about a request that was not read whole."""
    members = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        "outcome": RequestState.NOT_RUN.value,
    }
    return json.dumps(members).encode()


def listen(address: str, tls: TlsSettings | None) -> socket.socket:
    """Return a bound socket, whose accepted ones speak TLS if ``tls`` is given."""
    host, _, port = address.rpartition(":")
    sock = socket.create_server((host, int(port)), reuse_port=False)
    if tls is None:
        return sock
    context = server_context(tls)
    context.sslsocket_class = TlsSocket
    return context.wrap_socket(sock, server_side=True, do_handshake_on_connect=False)


def make_listener(
    app: Callable,
    address: str,
    limits: LimitSettings,
    threads: int,
    tls: TlsSettings | None = None,
) -> TcpWSGIServer:
    """Return a server of ``app``; its ``run`` serves until it is closed.

    Parameters
    ----------
    app : callable
        WSGI application.
    address : str
        Where to listen, ``address:port``.
    limits : LimitSettings
        Bounds on what callers may send.
    threads : int
        Requests that are served at once; a thread is started when one needs it.
    tls : TlsSettings or None
        Certificate and key, if the listener speaks TLS.
    """
    server = waitress.create_server(
        app,
        _dispatcher=ElasticDispatcher(threads + SPARE_THREADS),
        sockets=[listen(address, tls)],
        threads=threads + SPARE_THREADS,
        connection_limit=limits.connections + SPARE_CONNECTIONS,
        # Waitress refuses a body of exactly its bound.
        max_request_body_size=limits.body_bytes + 1,
        max_request_header_size=limits.header_bytes,
        inbuf_overflow=NEVER,
        outbuf_overflow=NEVER,
        outbuf_high_watermark=WATERMARK_BYTES,
        channel_timeout=int(limits.idle_s),
        channel_request_lookahead=1,
        # select() fails above 1,024 open files; a host with a few hundred
        # streams has that many.
        asyncore_use_poll=True,
        ident="godwitladder",
    )
    server.adj.socket_options = [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, STALL_S * 1000),
    ]
    server.channel_class = BoundedChannel
    server.connection_bound = limits.connections
    server.closing = False
    return server
