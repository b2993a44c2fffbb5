"""Callers' requests while they are read, within the memory that a host has for calls.

A host may have room for a few long bodies only, while its limits allow each of hundreds
of callers to send one. What is beyond a short request is therefore taken from the
common account before it is read. A request that finds no room is left unread for a
moment. If there is still none then, the rest of it is dropped as it comes, and its
caller is told that it has not run.
"""

import io
import time
from collections.abc import Mapping

from waitress.adjustments import Adjustments
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.utilities import Error

from godwitladder.serving.call_memory import CallMemory

FREE_BYTES = 16_384
"""Bytes of a request that are not accounted for: two reads of a connection."""
STEP_BYTES = 65_536
"""Memory that a body without a stated length takes ahead of what has arrived."""
GROWTH = 1.125
"""Memory that a growing buffer takes for each byte in it, at most."""
MAX_STARVED_S = 0.3
"""Time for which a request may wait for memory. Another host probably has some."""


class NoMemory(Error):
    """Response to a request whose body this host had no room for."""

    code = 503
    reason = "Service Unavailable"


class NoThread(NoMemory):
    """Response to a request for which this host could start no thread."""


class BodyBuffer:
    """Bytes of one body, held once: they are handed out without a copy."""

    def __init__(self) -> None:
        self.file = io.BytesIO()
        self.size = 0
        self.drops = False

    def append(self, data: bytes) -> None:
        """Add ``data``, or drop it; without memory for it, all is dropped."""
        self.size += len(data)
        if self.drops:
            return
        try:
            self.file.write(data)
        except MemoryError:
            # The caller is refused when it has sent the rest.
            self.drop()

    def drop(self) -> None:
        """Forget all bytes, and those that are still to come."""
        self.drops = True
        self.file = io.BytesIO()

    def getfile(self) -> io.BytesIO:
        """Return the bytes as a file, at its start."""
        self.file.seek(0)
        return self.file

    def close(self) -> None:
        """Forget all bytes."""
        self.file = io.BytesIO()

    def __len__(self) -> int:
        return self.size


class BoundedRequest(HTTPRequestParser):
    """A request that is being read, whose bytes are accounted for.

    Parameters
    ----------
    adjustments : Adjustments
        Settings of waitress.
    memory : CallMemory
        The memory of the host for calls.

    Attributes
    ----------
    taken : int
        Bytes taken from the memory.
    starved_since : float or None
        Monotonic time in seconds since which it waits for memory.
    """

    def __init__(self, adjustments: Adjustments, memory: CallMemory) -> None:
        super().__init__(adjustments)
        self.memory = memory
        self.taken = 0
        self.starved_since: float | None = None

    @property
    def is_dropped(self) -> bool:
        """Whether the body is not kept."""
        return self.body_rcv is not None and self.body_rcv.buf.drops

    def received(self, data: bytes) -> int:
        """Parse ``data``, and return how many bytes of it belong to this request."""
        had_body = self.body_rcv is not None
        consumed = super().received(data)
        if self.body_rcv is not None and not had_body:
            # Nothing of the body is parsed together with the head.
            self.body_rcv.buf = BodyBuffer()
        if self.is_dropped:
            self.release()
        if not self.completed:
            self.reserve()
            return consumed
        # Its end may have come with bytes that had been decrypted before it waited.
        self.memory.release_body(self, 0)
        if self.is_dropped and self.error is None:
            self.error = NoMemory("This host has no room for the body now.")
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the head.

        Raises
        ------
        ParsingError
            The head is invalid; waitress lets errors of its path and length pass, and
            the caller would get no answer.
        """
        try:
            super().parse_header(header_plus)
        except ValueError as error:
            raise ParsingError("The path or the length is invalid") from error

    def reserve(self) -> bool:
        """Take what is needed to read on, and return whether that worked."""
        wanted = self.needed_bytes() - self.taken
        if wanted > 0 and not self.memory.take_body(self, wanted, self.taken > 0):
            self.starved_since = self.starved_since or time.monotonic()
            return False
        self.taken += max(0, wanted)
        self.starved_since = None
        return True

    def needed_bytes(self) -> int:
        """Return the memory for what has arrived and what may be read next."""
        if self.is_dropped:
            return 0
        if not self.headers_finished:
            size = len(self.header_plus)
        elif self.chunked:
            size = self.body_bytes_received
            if size > FREE_BYTES:
                size = (size // STEP_BYTES + 1) * STEP_BYTES
        else:
            size = self.content_length
        return int(size * GROWTH) if size > FREE_BYTES else 0

    def drop_rest(self) -> None:
        """Drop the body, and what of it is still to come."""
        self.body_rcv.buf.drop()
        self.release()

    def release(self) -> None:
        """Give the memory back."""
        taken, self.taken = self.taken, 0
        self.starved_since = None
        self.memory.release_body(self, taken)

    def close(self) -> None:
        """Forget the body; its call has ended, or its connection is closed."""
        super().close()
        self.release()


def read_whole_body(environ: Mapping) -> bytes:
    """Return the body of a WSGI request, without a copy where it is in memory."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if not length:
        return b""
    stream = environ["wsgi.input"]
    if isinstance(stream, io.BytesIO) and not stream.tell():
        return stream.getvalue()[:length]
    return stream.read(length)
