"""HTTP listener on top of waitress, with limits, problem documents and TLS.

Waitress does not support TLS and spools large bodies to temporary files. This
module wraps the listening socket if TLS is configured, and limits buffers so
that none is spooled, because hosts have no disk.
"""

import errno
import json
import math
import socket
import ssl
import struct
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer
from waitress.task import ErrorTask, WSGITask
from waitress.utilities import InternalServerError

from godwitladder.engines.head_grammar import HEAD
from godwitladder.findings import GodwitladderError
from godwitladder.logs import component_logger
from godwitladder.outcomes import RequestState
from godwitladder.process.binding import open_listener
from godwitladder.process.descriptors import is_shortage
from godwitladder.process.drain import is_busy, is_readable
from godwitladder.serving.call_memory import CallMemory
from godwitladder.serving.connections import ConnectionEvent, ConnectionLog
from godwitladder.serving.problems import PROBLEM_TYPE
from godwitladder.serving.request_bodies import (
    MAX_STARVED_S,
    BoundedRequest,
    NoMemory,
    NoThread,
)
from godwitladder.serving.threads import ElasticDispatcher
from godwitladder.settings import LimitSettings, TlsSettings
from godwitladder.tls import server_context

log = component_logger("listener")

# Response bytes that may be buffered for a caller that reads slowly. Above this
# limit the thread that writes the response blocks, and stops reading from the
# engine's stream.
OUTPUT_WATERMARK_BYTES = 65_536
MAX_UNSENT_BYTES = 65_536
"""Bytes that the kernel takes for a caller and has not sent. By itself it takes some
megabytes for each that doesn't read, which no accounting of the host sees."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHANNEL_KEY = "godwitladder.channel"
"""Key of the caller's connection in the WSGI environment."""
WRITE_GRACE_S = 0.3
"""Time after the deadline of a call in which its caller may still read its answer."""
WRITE_POLL_S = 0.5
"""Longest time between two looks at whether a caller has taken its output; the loop
wakes a waiting thread when it has."""
ABORTING_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which a socket is reset as it closes."""
# Seconds that sent data may stay unacknowledged before the connection is closed:
# the caller is then gone or will never read. Without this timeout, a caller that
# stops reading would occupy a thread, and through it a slot of a target, for as
# long as its connection stays open.
TCP_USER_TIMEOUT_S = 30
# Threads kept free to send refusals while all others serve requests.
RESERVED_THREADS = 16
RESERVED_CONNECTIONS = 64
NO_MEMORY_RETRY_S = "0.5"
"""Retry-After, in seconds, where a host has no memory for a body, or no thread. Another
host probably has some at once; this one has when a call ends."""
NO_THREAD_TEXT = "This host can start no thread for the request now."
KEPT_THREADS = 1
"""Threads that a listener keeps when idle, so that it can answer where the system
starts no further one."""
NO_OVERFLOW_BYTES = 1 << 40
NO_LIMIT = 1 << 30
MAX_UNREAD_S = 0.3
"""Time for which a full host leaves a new connection unread before it closes it."""
WAKE_INTERVAL_S = 0.05
"""Interval at which the loop is woken for connections left unread; each turn of the
loop looks at all open connections."""
ACCEPT_PAUSE_S = 0.1
"""Time for which a listener accepts nothing after a lack of descriptors or memory. The
loop would else turn without a pause, as connections wait."""
MAX_LOGGED_BYTES = 200
POLL_RESOLUTION_S = 0.001
"""Resolution of the loop's timeout, by which it could end too early."""
MIN_SILENCE_S = 1.0
"""Time after which a new connection that has sent nothing may be closed for another."""
MAX_READ_INTERVAL_S = 1.0
"""Time after which a full host reads a new connection all the same, and refuses its
request if need be: to callers it would seem to have stopped."""


class InvalidHead(GodwitladderError):
    """The head of an answer is not HTTP, and is not written."""


class UnreadConnections:
    """New connections that a full host leaves unread for now.

    Times are in seconds of the monotonic clock.

    Parameters
    ----------
    wake : callable
        Ends the wait of the server's loop, which then asks for its next timeout.

    Attributes
    ----------
    last_request_at : float
        Time at which a new connection last brought a request. Those that bring none
        don't count, as they would keep callers out.
    wakes_at : float
        Time of the next wake-up; in the past if there is none.
    """

    def __init__(self, wake: Callable[[], None]) -> None:
        self.wake = wake
        self.last_request_at = time.monotonic()
        self.wakes_at = float("-inf")

    def wake_by(self, deadline: float, now: float) -> None:
        """Wake the loop shortly after ``deadline``; it may wait for longer by itself.

        One wake-up serves all connections whose deadlines are close together.
        """
        wakes_at = (deadline // WAKE_INTERVAL_S + 1) * WAKE_INTERVAL_S
        if now < self.wakes_at <= wakes_at:
            return
        self.wakes_at = wakes_at
        self.wake()

    def timeout_s(self, now: float, longest_s: float) -> float:
        """Return how long the loop may wait in its next turn, at most ``longest_s``."""
        left_s = self.wakes_at - now
        return min(left_s + POLL_RESOLUTION_S, longest_s) if left_s > 0 else longest_s


class ProblemTask(ErrorTask):
    """Sends a problem document where waitress itself ends a request.

    One that it rejects was never read completely, so no part of it has run. One whose
    application failed before the head of its answer may have been sent to a target.
    """

    def execute(self) -> None:
        """Write the response and close the connection."""
        error = self.request.error
        if isinstance(error, NoMemory):
            self.response_headers.append(("Retry-After", NO_MEMORY_RETRY_S))
        self.status = f"{error.code} {error.reason}"
        has_failed = isinstance(error, InternalServerError)
        outcome = RequestState.MAY_HAVE_RUN if has_failed else RequestState.NOT_RUN
        body = encode_problem(error.code, error.reason, str(error.body), outcome)
        self.response_headers.append(("Content-Type", PROBLEM_TYPE))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class ClosingTask(WSGITask):
    """Serves a request, and closes the connection after it on a stopping host."""

    def get_environment(self) -> dict:
        """Return the WSGI environment, with the caller's connection in it."""
        environ = super().get_environment()
        environ[CHANNEL_KEY] = self.channel
        return environ

    def execute(self) -> None:
        """Serve the request; reset the connection if that alone shows a broken answer.

        An answer with neither a length nor chunks, which callers of HTTP/1.0 get, ends
        with its connection. If it broke, an orderly end would make it look complete.
        """
        self.channel.write_deadline = math.inf
        try:
            super().execute()
        except Exception:
            has_end = self.chunked_response or self.content_length is not None
            self.channel.resets = self.wrote_header and not has_end
            raise

    def build_response_header(self) -> bytes:
        """Return the head, which says that the connection closes on a closing server.

        A caller that kept its connection open would send its next request to a
        process that is about to exit, and the request would be lost.

        Raises
        ------
        InvalidHead
            A name or value has bytes that a head may not have. A caller could read
            them as another answer.
        """
        if self.channel.server.closing:
            self.set_close_on_finish()
        head = super().build_response_header()
        if not HEAD.fullmatch(head):
            raise InvalidHead(f"{head[:MAX_LOGGED_BYTES]!r} is no head")
        return head


class BoundedChannel(HTTPChannel):
    """A caller's connection, counted against the connection limit.

    A full host does not read new connections, and closes them if it stays full. Their
    callers try another host at once. If it read their requests it could only refuse
    them, and while the load balancer sends most connections to this host, most callers
    would be refused though other hosts are idle.

    Attributes
    ----------
    is_new : bool
        Whether nothing has been read from it.
    brought_request : bool
        Whether a whole request has been read from it.
    held_since : float or None
        Monotonic time at which it was first left unread.
    write_deadline : float
        Monotonic time until which a thread waits for the caller to read.
    resets : bool
        Whether the connection is reset as it closes.
    pending_bytes : int
        Bytes that wait for the caller to read, accounted for in the server's memory.
    """

    error_task_class = ProblemTask
    task_class = ClosingTask

    def __init__(self, server, sock, addr, adj, map=None) -> None:
        self.is_new = True
        self.brought_request = False
        self.held_since: float | None = None
        self.write_deadline = math.inf
        self.resets = False
        self.pending_bytes = 0
        super().__init__(server, sock, addr, adj, map=map)
        server.connections.record(ConnectionEvent.ACCEPTED)
        if len(server.active_channels) > server.max_connections:
            if not close_longest_idle(server):
                self.refuse_connection()

    def refuse_connection(self) -> None:
        """Respond with status 429 (too many connections) and close."""
        body = encode_problem(
            429, "Too Many Requests", "Too many connections are open."
        )
        head = (
            "HTTP/1.1 429 Too Many Requests\r\nConnection: close\r\n"
            f"Retry-After: 1\r\nContent-Type: {PROBLEM_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with self.outbuf_lock:
            self.outbufs[-1].append(head.encode() + body)
            self.total_outbufs_len += len(head) + len(body)
        self.close_when_flushed = True
        self.server.connections.record(ConnectionEvent.REFUSED)

    def readable(self) -> bool:
        """Return whether to read, and give up a connection that was held too long."""
        now = time.monotonic()
        if self.is_new and not self.may_be_read(now):
            self.hold(now)
            return False
        return self.has_memory(now) and super().readable()

    def parser_class(self, adjustments: Adjustments) -> BoundedRequest:
        """Return a new request, which waitress fills with what it reads."""
        return BoundedRequest(adjustments, self.server.memory)

    def has_memory(self, now: float) -> bool:
        """Return whether the request may be read on.

        One that has waited too long is refused: its body is dropped as it comes, since
        a caller that still sends would not see an answer before the connection closes.
        """
        request = self.request
        if request is None or request.starved_since is None or request.reserve():
            return True
        drops_at = request.starved_since + MAX_STARVED_S
        if now < drops_at:
            self.server.unread.wake_by(drops_at, now)
            return False
        self.server.connections.record(ConnectionEvent.BODY_DROPPED)
        memory = self.server.memory
        extra = {
            "caller": self.addr[0],
            "needed_bytes": request.needed_bytes(),
            "used_bytes": memory.used,
            "max_bytes": memory.max_bytes,
            "waiting": len(memory.waiting),
        }
        log.info("A body is dropped for lack of memory", extra=extra)
        if not request.headers_finished:
            self.will_close = True
            return False
        request.drop_rest()
        return True

    def may_be_read(self, now: float) -> bool:
        """Return whether to read a new connection now."""
        since_request_s = now - self.server.unread.last_request_at
        return since_request_s >= MAX_READ_INTERVAL_S or not self.server.is_full()

    def hold(self, now: float) -> None:
        """Leave the connection unread, and give it up after a while.

        The loop turns as a request ends, and looks then whether there is room.
        """
        if self.held_since is None:
            self.held_since = now
            self.server.connections.record(ConnectionEvent.HELD)
        unread = self.server.unread
        closes_at = self.held_since + MAX_UNREAD_S
        if now < closes_at:
            unread.wake_by(
                min(closes_at, unread.last_request_at + MAX_READ_INTERVAL_S), now
            )
        elif not self.will_close:
            self.server.connections.record(ConnectionEvent.CLOSED_UNREAD)
            self.will_close = True

    def received(self, data: bytes) -> bool:
        """Pass ``data`` to the parser, and count the connection's first request."""
        was_busy = bool(self.requests)
        result = super().received(data)
        if self.requests and not was_busy:
            self.server.add_busy()
        if not self.brought_request and (self.requests or self.request is None):
            self.brought_request = True
            self.server.unread.last_request_at = time.monotonic()
            self.server.connections.record(ConnectionEvent.READ)
        return result

    def send_continue(self) -> None:
        """Tell the caller to send the body, if there is one and it is not refused.

        Waitress reads on after it in any case: a request without a body would get no
        answer, and the next one would become a part of it. The loop sends it, since it
        may close the connection while another thread is here.
        """
        self.request.expect_continue = False
        with self.outbuf_lock:
            if self.request.completed or not self.connected:
                return
            self.outbufs[-1].append(CONTINUE)
            self.current_outbuf_count += len(CONTINUE)
            self.total_outbufs_len += len(CONTINUE)
            self.sent_continue = True

    @property
    def total_outbufs_len(self) -> int:
        """Number of bytes that wait for the caller; waitress changes it."""
        return self.pending_bytes

    @total_outbufs_len.setter
    def total_outbufs_len(self, value: int) -> None:
        self.server.memory.add(value - self.pending_bytes)
        self.pending_bytes = value

    def max_pending_bytes(self) -> int:
        """Return how much may wait for the caller before more is written."""
        return 0 if self.server.memory.is_short() else OUTPUT_WATERMARK_BYTES

    def _flush_outbufs_below_high_watermark(self) -> None:
        """Wait until the caller has read most of its output, or give it up.

        Waitress waits for as long as the caller likes. Meanwhile the thread can't serve
        others, and the call holds a slot of its target.
        """
        with self.outbuf_lock:
            while self.connected and self.pending_bytes > self.max_pending_bytes():
                left_s = self.write_deadline - time.monotonic()
                if left_s <= 0:
                    self.give_up()
                    return
                # The loop sends what waits, and notifies.
                self.server.pull_trigger()
                self.outbuf_lock.wait(min(left_s, WRITE_POLL_S))

    def give_up(self) -> None:
        """Close the connection of a caller that doesn't read; waiting output is lost.

        The answer is not complete, so the thread finds the caller disconnected.
        """
        extra = {"caller": self.addr[0], "pending_bytes": self.pending_bytes}
        log.info("A caller did not read its answer in time", extra=extra)
        self.connected = False
        self.resets = True
        # The loop would wait until the socket takes data, which it may never do.
        self.server.trigger.pull_trigger(self.close_unread)

    def refuse_unstarted(self) -> None:
        """Refuse the request, which no thread serves; runs in the server's loop.

        The loop can write the refusal: no output waits on a connection whose request
        has just been read.
        """
        if not self.requests:
            return
        self.server.connections.record(ConnectionEvent.NO_THREAD)
        request = self.requests[0]
        request.error = request.error or NoThread(NO_THREAD_TEXT)
        self.service()

    def close_unread(self) -> None:
        """Close the connection if it is still open; runs in the server's loop."""
        if self.server.active_channels.get(self._fileno) is self:
            self.handle_close()

    def handle_close(self) -> None:
        """Close the connection, and count it if its client had sent no request."""
        if self.resets:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTING_LINGER)
        if not (self.brought_request or self.will_close or self.close_when_flushed):
            self.server.connections.record(ConnectionEvent.LEFT)
        if self.request is not None:
            self.request.close()
        super().handle_close()

    def handle_read(self) -> None:
        """Read all available data, including what TLS has already decrypted.

        Polling the socket does not report data in OpenSSL's buffer.
        """
        # Others may have been read since this turn of the loop began.
        if self.is_new and not self.may_be_read(time.monotonic()):
            return
        self.is_new = False
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


class BoundedServer(TcpWSGIServer):
    """A server with a limit on its connections, whose loop counts them.

    Parameters
    ----------
    app : callable
        WSGI application.
    sock : socket.socket
        Listening socket.
    adjustments : Adjustments
        Settings of waitress.
    dispatcher : ElasticDispatcher
        Runs the application.
    max_connections : int
        Number of open connections beyond which new ones are refused.

    Attributes
    ----------
    closing : bool
        Whether responses announce that their connection closes.
    memory : CallMemory
        Accounts for the output that waits for callers.
    max_busy : int
        Number of requests in progress from which new connections are left unread.
    busy : int or None
        Connections with a request in progress as this turn of the loop began, and
        those that brought one since; None if not counted yet.
    accepts_at : float
        Monotonic time until which no connection is accepted.
    """

    channel_class = BoundedChannel

    def __init__(
        self,
        app: Callable,
        sock: socket.socket,
        adjustments: Adjustments,
        dispatcher: ElasticDispatcher,
        max_connections: int,
    ) -> None:
        self.closing = False
        self.memory = CallMemory()
        self.max_busy = NO_LIMIT
        self.busy: int | None = None
        self.accepts_at = float("-inf")
        self.max_connections = max_connections
        self.connections = ConnectionLog(time.monotonic())
        self.unread = UnreadConnections(self.wake)
        super().__init__(
            app,
            {},
            _sock=sock,
            dispatcher=dispatcher,
            adj=adjustments,
            sockinfo=(sock.family, sock.type, sock.proto, sock.getsockname()),
            bind_socket=False,
        )

    def run(self) -> None:
        """Serve until the server is closed."""
        longest_s = self.adj.asyncore_loop_timeout
        while self._map:
            timeout_s = self.unread.timeout_s(time.monotonic(), longest_s)
            self.asyncore.loop(timeout_s, use_poll=True, map=self._map, count=1)

    def close(self) -> None:
        """Close the listener, and let its threads end."""
        self.task_dispatcher.release_kept()
        super().close()

    def refuse_unstarted(self, channel: BoundedChannel) -> None:
        """Let the loop refuse a request for which no thread can be started."""
        self.trigger.pull_trigger(channel.refuse_unstarted)

    def readable(self) -> bool:
        """Return whether to accept; the loop calls this once a turn."""
        now = time.monotonic()
        self.connections.end_turn(now, self.describe)
        self.busy = None
        if now < self.accepts_at:
            self.unread.wake_by(self.accepts_at, now)
            return False
        return super().readable()

    def accept(self) -> tuple[socket.socket, Any] | None:
        """Return a new connection and its address; None if there is none for now."""
        try:
            return super().accept()
        except OSError as error:
            if not is_shortage(error):
                raise
            self.pause_accepting()
            return None

    def pause_accepting(self) -> None:
        """Accept nothing for a while, and close a connection that is not used."""
        self.connections.record(ConnectionEvent.NO_DESCRIPTOR)
        self.accepts_at = time.monotonic() + ACCEPT_PAUSE_S
        close_longest_idle(self)

    def handle_error(self) -> None:
        """Log an error of a new connection, and keep the listener open.

        Waitress would close it: the host would stay ready and accept no caller again.
        """
        log.exception("A connection could not be accepted")
        self.accepts_at = time.monotonic() + ACCEPT_PAUSE_S

    def wake(self) -> None:
        """Wake the loop."""
        try:
            self.pull_trigger()
        except OSError as error:
            # The server has closed since the wake-up was planned.
            log.info("The loop has ended", extra={"error": str(error)})

    def is_full(self) -> bool:
        """Return whether new connections may bring no more requests for now."""
        if self.busy is None:
            self.busy = count_busy(self)
        return self.busy >= self.max_busy

    def add_busy(self) -> None:
        """Record that one more connection has a request in progress.

        Many are read in one turn before any of them runs.
        """
        if self.busy is not None:
            self.busy += 1

    def describe(self) -> dict[str, int]:
        """Return the numbers of open connections and of requests in progress."""
        return {"open": len(self.active_channels), "busy": count_busy(self)}


def close_longest_idle(server: BoundedServer) -> bool:
    """Close the connection that has been idle for longest; return whether there is one.

    Callers may keep connections open that they don't use. These would shut all new
    ones out until they time out, while the host says that it is ready. Only the loop
    reads requests, so that a connection found idle here has none.
    """
    cutoff = time.time() - MIN_SILENCE_S
    idle = [
        row
        for row in server.active_channels.values()
        if not is_busy(row) and (row.brought_request or row.last_activity < cutoff)
    ]
    for row in sorted(idle, key=lambda row: row.last_activity):
        if not is_readable(row):
            server.connections.record(ConnectionEvent.IDLE_CLOSED)
            row.handle_close()
            return True
    return False


def count_busy(server: BoundedServer) -> int:
    """Return the number of connections with a request in progress."""
    return sum(bool(row.requests) for row in list(server.active_channels.values()))


def limit_writes(environ: Mapping, deadline: float) -> None:
    """Set the time until which the answer to a request may wait for its caller.

    Parameters
    ----------
    environ : mapping
        The WSGI environment of the request.
    deadline : float
        Deadline in seconds of the monotonic clock.
    """
    channel = environ.get(CHANNEL_KEY)
    if channel is not None:
        channel.write_deadline = deadline + WRITE_GRACE_S


class TlsSocket(ssl.SSLSocket):
    """A TLS socket that the server loop and worker threads can share.

    The loop reads while a worker writes, but an OpenSSL connection must not be
    used by two threads at once, so a lock serializes access. Reads and writes
    are non-blocking, so the lock is only held briefly.
    """

    def __new__(cls, *args, **kwargs) -> "TlsSocket":
        """Create the socket together with its lock."""
        sock = super().__new__(cls, *args, **kwargs)
        sock.lock = threading.Lock()
        return sock

    def recv(self, buflen: int = 1024, flags: int = 0) -> bytes:
        """Read, or raise `BlockingIOError` if no data is available."""
        with self.lock:
            try:
                return super().recv(buflen, flags)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError) as error:
                raise BlockingIOError(
                    errno.EWOULDBLOCK, "The TLS operation would block"
                ) from error

    def send(self, data: bytes, flags: int = 0) -> int:
        """Write, or raise `BlockingIOError` if no data can be written."""
        with self.lock:
            try:
                return super().send(data, flags)
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError) as error:
                raise BlockingIOError(
                    errno.EWOULDBLOCK, "The TLS operation would block"
                ) from error


def has_pending(sock: socket.socket) -> bool:
    """Return whether OpenSSL holds decrypted bytes that were not read yet."""
    if not isinstance(sock, TlsSocket):
        return False
    with sock.lock:
        return sock.fileno() >= 0 and sock.pending() > 0


def encode_problem(
    status: int,
    title: str,
    detail: str,
    outcome: RequestState = RequestState.NOT_RUN,
) -> bytes:
    """Return the problem document for a request that no application answered."""
    members = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        "outcome": outcome.value,
    }
    return json.dumps(members).encode()


def secure(sock: socket.socket, tls: TlsSettings | None) -> socket.socket:
    """Return a listening socket that accepts TLS connections if ``tls`` is given."""
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
) -> BoundedServer:
    """Return a server for ``app`` at ``address``, as `make_server` does.

    Parameters
    ----------
    address : str
        Address to listen on, as ``address:port``.
    """
    return make_server(app, open_listener(address), limits, threads, tls)


def make_server(
    app: Callable,
    sock: socket.socket,
    limits: LimitSettings,
    threads: int,
    tls: TlsSettings | None = None,
    is_brief: bool = False,
) -> BoundedServer:
    """Return a server for ``app``, whose ``run`` serves until it is closed.

    Parameters
    ----------
    app : callable
        WSGI application.
    sock : socket.socket
        Listening socket.
    limits : LimitSettings
        Limits on connections, body and header sizes, and idle time.
    threads : int
        Maximum number of requests served at once. Threads are started on demand.
    tls : TlsSettings or None
        Certificate and key; None for plain HTTP.
    is_brief : bool
        Whether requests end soon, so that they may wait for a running thread where no
        further one can be started. Other requests are then refused.
    """
    adjustments = Adjustments(
        threads=threads + RESERVED_THREADS,
        connection_limit=limits.connections + RESERVED_CONNECTIONS,
        # Waitress rejects a body whose size equals the limit.
        max_request_body_size=limits.body_bytes + 1,
        max_request_header_size=limits.header_bytes,
        inbuf_overflow=NO_OVERFLOW_BYTES,
        outbuf_overflow=NO_OVERFLOW_BYTES,
        outbuf_high_watermark=OUTPUT_WATERMARK_BYTES,
        channel_timeout=int(limits.idle_s),
        channel_request_lookahead=1,
        # select() fails with more than 1,024 open files, which a host with a few
        # hundred streams exceeds.
        asyncore_use_poll=True,
        ident="godwitladder",
    )
    adjustments.socket_options = [
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_S * 1000),
        (socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES),
    ]
    dispatcher = ElasticDispatcher(threads + RESERVED_THREADS, kept=KEPT_THREADS)
    server = BoundedServer(
        app, secure(sock, tls), adjustments, dispatcher, limits.connections
    )
    if not is_brief:
        dispatcher.refuse = server.refuse_unstarted
    dispatcher.start_kept()
    return server
