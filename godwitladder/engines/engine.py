"""Client of a language engine: open, resume and cancel streams; load reports.

The only module to change when an engine's own form differs: the chat
completion form with server-sent events, whose ``id`` lines carry
``stream:sequence``.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass

import urllib3
from urllib3.connection import HTTPConnection

from godwitladder.engines.wire import MayHaveRun, TargetRefused, connect, send
from godwitladder.ids import StreamId

# Statuses with which an engine says that it did not take a request. Any other
# error (500, 502, 504) may come after the work has begun.
NOT_STARTED_STATUSES = frozenset(
    {400, 401, 403, 404, 405, 409, 410, 411, 413, 415, 422, 429, 503}
)
DONE = b"[DONE]"
READ_BYTES = 65_536
MAX_EVENT_BYTES = 1_048_576
STREAM_HEADER = "X-Stream-Id"


@dataclass(frozen=True)
class Chunk:
    """One event of a stream; ``sequence`` counts from 0."""

    stream: StreamId
    sequence: int
    data: bytes


@dataclass(frozen=True)
class LoadReport:
    """What an engine last said of its load; tokens and requests."""

    running: int
    queued: int
    memory_tokens: int


class EngineStream:
    """The events of one stream as they arrive on one connection."""

    def __init__(
        self, connection: HTTPConnection, response: urllib3.BaseHTTPResponse
    ) -> None:
        self.connection = connection
        self.response = response

    def close(self) -> None:
        """Close the connection; the stream itself goes on at the engine."""
        self.response.close()
        self.connection.close()

    def __iter__(self) -> Iterator[list[Chunk]]:
        """Yield the chunks of each read, in the order of arrival.

        A heartbeat is an empty list, so that whoever iterates can look at the
        time while nothing is produced.

        Raises
        ------
        MayHaveRun
            The connection broke or went silent, or sent what is no event.
        """
        rest = b""
        try:
            while block := self._read():
                *events, rest = (rest + block).split(b"\n\n")
                if len(rest) > MAX_EVENT_BYTES:
                    raise MayHaveRun(f"an event of more than {MAX_EVENT_BYTES} bytes")
                parsed = map(parse_event, events)
                yield [chunk for chunk in parsed if chunk]
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise MayHaveRun(f"stream broke: {error}") from error

    def _read(self) -> bytes:
        """Return what has arrived; wait for it only if nothing has."""
        return self.response.read1(READ_BYTES)


def parse_event(event: bytes) -> Chunk | None:
    """Return the chunk in one server-sent event; None for a comment."""
    identity = data = None
    for line in event.split(b"\n"):
        if line.startswith(b"id: "):
            identity = line[4:]
        elif line.startswith(b"data: "):
            data = line[6:]
    if identity is None or data is None:
        return None
    stream, _, sequence = identity.rpartition(b":")
    if not sequence.isdigit():
        return None
    return Chunk(StreamId(stream.decode(errors="replace")), int(sequence), data)


def open_stream(
    address: str, stream: StreamId, body: bytes, idle_s: float
) -> EngineStream:
    """Dispatch ``body`` as ``stream``; this is the one write to the engine.

    Raises
    ------
    NotSent, MayHaveRun, TargetRefused
        See `godwitladder.engines.wire`.
    """
    connection = connect(address, idle_s)
    headers = {"Content-Type": "application/json", STREAM_HEADER: stream}
    response = send(connection, "POST", "/v1/chat/completions", body, headers)
    return _accepted(connection, response)


def resume_stream(
    address: str, stream: StreamId, sequence: int, idle_s: float
) -> EngineStream:
    """Read ``stream`` from ``sequence`` on; resuming dispatches nothing."""
    connection = connect(address, idle_s)
    path = f"/v1/streams/{stream}?from={sequence}"
    return _accepted(connection, send(connection, "GET", path, None, {}))


def cancel_stream(address: str, stream: StreamId) -> None:
    """Tell the engine to drop ``stream``."""
    connection = connect(address, 2.0)
    try:
        send(connection, "DELETE", f"/v1/streams/{stream}", None, {})
    finally:
        connection.close()


def read_load(address: str) -> LoadReport:
    """Return the engine's own, lagging report of its load."""
    connection = connect(address, 2.0)
    try:
        answer = json.loads(send(connection, "GET", "/load", None, {}).data)
    finally:
        connection.close()
    return LoadReport(answer["running"], answer["queued"], answer["memory_tokens"])


def _accepted(
    connection: HTTPConnection, response: urllib3.BaseHTTPResponse
) -> EngineStream:
    if response.status == 200:
        return EngineStream(connection, response)
    if response.status not in NOT_STARTED_STATUSES:
        connection.close()
        raise MayHaveRun(f"target answered {response.status}")
    try:
        text = response.data[:200].decode(errors="replace")
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise MayHaveRun(f"answer broke: {error}") from error
    finally:
        connection.close()
    raise TargetRefused(response.status, text)
