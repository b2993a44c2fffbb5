"""HTTP connections that read answers within limits, whatever the other end sends.

The standard library parses heads and chunks, but its limits don't suffice: it skips
any number of interim answers, reads trailers and chunks without an end, and takes the
end of a connection for the end of a head. It also takes almost any bytes for fields,
lengths and chunk sizes, so `head_grammar` checks them first.
"""

import http.client
import io
import socket

from urllib3.connection import HTTPConnection, HTTPSConnection

from godwitladder.clock import Clock
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.engines.errors import AnswerShape, MalformedAnswer
from godwitladder.engines.head_grammar import (
    FIELD_LINE,
    FINAL_HEAD,
    STATUS_LINE,
    Framing,
    InvalidFraming,
    read_chunk_size,
    read_framing,
)

CLOCK = Clock()
DEFAULT_LIMITS = AnswerLimits()
CRLF = b"\r\n"
BLANK_LINES = (CRLF, b"\n")
LINE_ENDS = b" \t\r\n"
SWITCHING_PROTOCOLS = 101
BODILESS_STATUSES = (http.client.NO_CONTENT, http.client.NOT_MODIFIED)
MAX_STATUS = b"599"
"""Greatest status that HTTP has."""
READ_BYTES = 65_536
SMALL_CHUNK_BYTES = 512
"""Chunks below this size cost more processor time than the bytes in them."""
FREE_SMALL_CHUNKS = 4_096
"""Small chunks of an answer that are read without a rest."""
MAX_SMALL_CHUNKS_PER_S = 1_000
"""Pace of further ones. No engine generates as many tokens per second for one
request, and reading them takes a few hundredths of a core."""
PACED_CHUNKS = 64
"""Small chunks between two rests."""


class HeadLines:
    """The lines of a head that was read, as a file to parse it from.

    The header lines are returned at once, as the parser takes no more than 100.
    """

    def __init__(self, head: bytes) -> None:
        status_line, line_end, header_lines = head.partition(b"\n")
        self.parts = iter((status_line + line_end, header_lines))

    def readline(self, limit: int) -> bytes:
        """Return the next line or lines; nothing at the end."""
        return next(self.parts, b"")

    def close(self) -> None:
        """Close the file."""


class UnframedBody:
    """The body of an answer without length or chunks, as a file to read it from.

    Parameters
    ----------
    stream : BufferedReader
        Reads from the connection.
    limit : int
        Largest size in bytes.

    Attributes
    ----------
    size : int
        Number of bytes that were read.
    """

    def __init__(self, stream: io.BufferedReader, limit: int) -> None:
        self.stream = stream
        self.limit = limit
        self.size = 0

    def read(self, size: int = -1) -> bytes:
        """Return ``size`` bytes, or all there are."""
        if size < 0:
            return b"".join(iter(lambda: self.read1(READ_BYTES), b""))
        return self.count(self.stream.read(size))

    def read1(self, size: int = -1) -> bytes:
        """Return what has arrived, or wait for it if there is none."""
        return self.count(self.stream.read1(size))

    def count(self, block: bytes) -> bytes:
        """Count the bytes of ``block`` and return it.

        Raises
        ------
        MalformedAnswer
            The body exceeds its limit.
        """
        self.size += len(block)
        if self.size > self.limit:
            raise too_large(self.size, self.limit)
        return block

    def flush(self) -> None:
        """Flush the stream, which does nothing."""
        self.stream.flush()

    def fileno(self) -> int:
        """Return the descriptor of the connection."""
        return self.stream.fileno()

    def close(self) -> None:
        """Close the stream."""
        self.stream.close()


class TimedReader(io.RawIOBase):
    """Reads from a socket until a time has passed.

    The timeout of a socket limits its silence only: an answer that trickles in could
    take for ever.

    Parameters
    ----------
    sock : socket
        The socket, with its timeout set.
    clock : Clock
        Tells the time.
    max_timeouts : float
        Time from now until reading ends, in timeouts of the socket.
    """

    def __init__(self, sock: socket.socket, clock: Clock, max_timeouts: float) -> None:
        super().__init__()
        self.sock = sock
        self.silence_s = sock.gettimeout()
        self.clock = clock
        self.ends_at = clock.monotonic() + max_timeouts * self.silence_s
        self.stream = sock.makefile("rb", buffering=0)

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer) -> int:
        """Read into ``buffer`` and return the number of bytes.

        Raises
        ------
        TimeoutError
            The time has passed, or the socket's timeout.
        """
        left_s = self.ends_at - self.clock.monotonic()
        if left_s <= 0:
            raise TimeoutError("the answer did not end in time")
        self.sock.settimeout(min(left_s, self.silence_s))
        return self.stream.readinto(buffer)

    def close(self) -> None:
        """Close the socket's file."""
        self.stream.close()
        super().close()


class BoundedResponse(http.client.HTTPResponse):
    """An answer whose head, framing and body are read within limits.

    Parameters
    ----------
    sock : socket
        The connection.
    limits : AnswerLimits
        The limits.
    needs_framing : bool, default=False
        As in `BoundedAnswers`.

    Attributes
    ----------
    head_bytes : int
        Bytes of the head that were read, without interim answers.
    body_bytes : int
        Bytes of all chunks that have begun.
    framing_bytes : int
        Bytes of chunk-size lines and of the line ends after chunks.
    small_chunks : int
        Number of chunks of less than `SMALL_CHUNK_BYTES`.
    paced_until : float
        Monotonic time in seconds before which no further `PACED_CHUNKS` are read.
    """

    head_bytes = 0
    body_bytes = 0
    framing_bytes = 0
    small_chunks = 0
    paced_until = 0.0

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
        limits: AnswerLimits = DEFAULT_LIMITS,
        needs_framing: bool = False,
    ) -> None:
        super().__init__(sock, debuglevel, method, url)
        self.limits = limits
        self.needs_framing = needs_framing

    def limit_time(self, sock: socket.socket, max_timeouts: float) -> None:
        """Limit the time of the whole answer, in timeouts of the socket."""
        self.fp.close()
        self.fp = io.BufferedReader(TimedReader(sock, CLOCK, max_timeouts))

    def begin(self) -> None:
        """Read and parse the head.

        Raises
        ------
        MalformedAnswer
            The head exceeds the limits, is not HTTP, or states no valid length, or none
            where one is needed.
        RemoteDisconnected
            The connection ended within the head.
        """
        if self.headers is not None:
            return
        stream = self.fp
        head = self._take_whole_head() or self._read_final_head()
        framing = self._read_framing(head)
        self.fp = HeadLines(head)
        try:
            super().begin()
        except http.client.HTTPException as error:
            raise self._malformed_head(repr(error)) from error
        finally:
            self.fp = stream
        self._set_framing(framing)

    def _take_whole_head(self) -> bytes | None:
        """Return a final head that has arrived as a whole; None if it has not.

        Nearly all heads are such, and reading each line would take most of the time.
        """
        limits, buffered = self.limits, self.fp.peek()
        match = FINAL_HEAD.match(buffered)
        if match is None:
            return None
        end = match.end()
        if (
            end > min(limits.line_bytes, limits.header_bytes)
            or buffered.count(b"\n", 0, end) > limits.header_count
        ):
            return None
        self.head_bytes = end
        return self.fp.read(end)

    def _read_final_head(self) -> bytes:
        """Return the head of the final answer, with lines that end with CRLF."""
        for _ in range(self.limits.interim_answers + 1):
            lines = self._read_head_lines()
            code = STATUS_LINE.fullmatch(lines[0])[1]
            if code > MAX_STATUS:
                raise self._malformed_head(f"{lines[0][:80]!r}")
            status = int(code)
            if status >= http.client.OK:
                return b"".join(line.rstrip(LINE_ENDS) + CRLF for line in (*lines, b""))
            if status == SWITCHING_PROTOCOLS or status < http.client.CONTINUE:
                break
        raise MalformedAnswer(
            AnswerShape.INTERIM, self.head_bytes, f"too many, or {lines[0][:80]!r}"
        )

    def _read_head_lines(self) -> list[bytes]:
        """Return the lines of a head up to the blank line, which is left out."""
        readline, line_bytes = self.fp.readline, self.limits.line_bytes
        lines: list[bytes] = []
        self.head_bytes = 0
        while (line := readline(line_bytes + 1)) not in BLANK_LINES or not lines:
            self.head_bytes += len(line)
            if len(line) > line_bytes:
                raise self._malformed_head(f"a line of over {line_bytes} bytes")
            if not line.endswith(b"\n"):
                raise http.client.RemoteDisconnected("the connection ended in a head")
            if not (FIELD_LINE if lines else STATUS_LINE).fullmatch(line):
                kind = "field" if lines else "status"
                raise self._malformed_head(f"no {kind} line: {line[:80]!r}")
            if self.head_bytes > self.limits.header_bytes:
                raise self._malformed_head(f"over {self.limits.header_bytes} bytes")
            if len(lines) > self.limits.header_count:
                raise self._malformed_head(f"over {len(lines) - 1} header lines")
            lines.append(line)
        return lines

    def _malformed_head(self, detail: str) -> MalformedAnswer:
        return MalformedAnswer(AnswerShape.HEAD, self.head_bytes, detail)

    def _read_framing(self, head: bytes) -> Framing:
        """Return how the body after ``head`` ends.

        An answer whose length can't be read would end with its connection, and a
        part of it would look complete.
        """
        try:
            return read_framing(head)
        except InvalidFraming as error:
            raise self._malformed_framing(str(error)) from error

    def _set_framing(self, framing: Framing) -> None:
        """Set how the body ends, as the head states it, not as the parser read it."""
        if self._method == "HEAD" or self.status in BODILESS_STATUSES:
            # The head tells of a body that another request would get.
            self.chunked, self.length = False, 0
            return
        self.chunked, self.length = framing.is_chunked, framing.length
        if self.chunked:
            # Its trailers are left unread.
            self.chunk_left, self.will_close = None, True
        elif self.length is None and self.needs_framing:
            raise self._malformed_framing("neither a length nor chunks")
        elif self.length is None:
            self.fp = UnframedBody(self.fp, self.limits.body_bytes)
        elif self.length > self.limits.body_bytes:
            raise too_large(self.length, self.limits.body_bytes)

    def _malformed_framing(self, detail: str, size: int = 0) -> MalformedAnswer:
        return MalformedAnswer(AnswerShape.FRAMING, size or self.head_bytes, detail)

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of the current chunk; None after the last one.

        Raises
        ------
        MalformedAnswer
            As `_read_next_chunk_size`, or no line end follows a chunk.
        IncompleteRead
            The connection has ended.
        """
        left = self.chunk_left
        if left:
            return left
        if left == 0:
            self._read_chunk_end()
        left = self._read_next_chunk_size()
        if left == 0:
            # Its trailers are left unread, as they may never end.
            self._close_conn()
            left = None
        self.chunk_left = left
        return left

    def _read_chunk_end(self) -> None:
        """Read the line end after a chunk; the standard library takes any bytes."""
        end = self._safe_read(len(CRLF))
        if end != CRLF:
            detail = f"{end!r} after a chunk"
            raise self._malformed_framing(detail, self.framing_bytes)

    def _read_next_chunk_size(self) -> int:
        """Return the size of the next chunk.

        Raises
        ------
        MalformedAnswer
            The line is no chunk size, the lines exceed their limits, or the body does.
        IncompleteRead
            The connection has ended.
        """
        limits = self.limits
        line = self.fp.readline(limits.line_bytes + 1)
        size = read_chunk_size(line)
        if size is None or len(line) > limits.line_bytes:
            raise self._chunk_size_error(line)
        self.body_bytes += size
        self.framing_bytes += len(line) + len(CRLF)
        if self.body_bytes > limits.body_bytes:
            raise too_large(self.body_bytes, limits.body_bytes)
        # The limit on the size of headers holds for the framing too, so far as it
        # exceeds the body.
        if self.framing_bytes > limits.header_bytes + self.body_bytes:
            detail = f"for {self.body_bytes} bytes of body"
            raise self._malformed_framing(detail, self.framing_bytes)
        if size < SMALL_CHUNK_BYTES:
            self.small_chunks += 1
            if self.small_chunks > FREE_SMALL_CHUNKS:
                self._pace()
        return size

    def _chunk_size_error(self, line: bytes) -> Exception:
        """Return the error of a line that states no chunk size."""
        if len(line) <= self.limits.line_bytes and not line.endswith(b"\n"):
            return http.client.IncompleteRead(b"")
        detail = f"chunk size {line[:80]!r}"
        return self._malformed_framing(detail, self.framing_bytes + len(line))

    def _pace(self) -> None:
        """Rest if small chunks arrive too fast.

        A target that sends them without end would use a core until the deadline. The
        rest is short, so that the call notices soon that it was aborted.
        """
        if self.small_chunks % PACED_CHUNKS:
            return
        now = CLOCK.monotonic()
        if self.paced_until > now:
            CLOCK.sleep(self.paced_until - now)
        step_s = PACED_CHUNKS / MAX_SMALL_CHUNKS_PER_S
        self.paced_until = max(self.paced_until, now) + step_s


def too_large(size: int, limit: int) -> MalformedAnswer:
    """Return the error of a body of ``size`` bytes, of which ``limit`` are allowed."""
    return MalformedAnswer(AnswerShape.BODY, size, f"more than {limit} bytes")


class BoundedAnswers:
    """Mixin of connections whose answers are read within limits.

    Attributes
    ----------
    limits : AnswerLimits
        Limits on an answer.
    max_timeouts : float or None
        Time of a whole answer from the end of the request, in timeouts of the
        connection, each of which limits a silence only; None for no limit.
    needs_framing : bool
        Whether an answer whose end only its connection tells is malformed. Where that
        may be, an answer that was cut short looks complete.
    """

    limits = DEFAULT_LIMITS
    max_timeouts: float | None = None
    needs_framing = False

    def response_class(self, sock, *args, **kwargs) -> BoundedResponse:
        """Return the answer that is about to arrive, with its head unread."""
        response = BoundedResponse(
            sock,
            *args,
            limits=self.limits,
            needs_framing=self.needs_framing,
            **kwargs,
        )
        if self.max_timeouts is not None:
            response.limit_time(sock, self.max_timeouts)
        return response


class BoundedConnection(BoundedAnswers, HTTPConnection):
    """HTTP connection whose answers are read within limits."""


class BoundedTlsConnection(BoundedAnswers, HTTPSConnection):
    """HTTPS connection whose answers are read within limits."""


def bounded_connection(
    address: str, timeout_s: float, limits: AnswerLimits
) -> BoundedConnection:
    """Return a connection to ``address``, ``address:port``, that is not open yet."""
    host, _, port = address.rpartition(":")
    connection = BoundedConnection(host, int(port), timeout=timeout_s)
    connection.limits = limits
    return connection


def with_limits(
    kind: type[BoundedAnswers], limits: AnswerLimits, max_timeouts: float
) -> type[BoundedAnswers]:
    """Return a class of connections like ``kind`` with these limits.

    Their answers need a length or chunks.
    """
    attributes = {
        "limits": limits,
        "max_timeouts": max_timeouts,
        "needs_framing": True,
    }
    return type(kind.__name__, (kind,), attributes)
