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

DONE = b"[DONE]"
READ_BYTES = 65_536
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
        self.connection.close()

    def __iter__(self) -> Iterator[Chunk]:
        """Yield chunks in the order of arrival, whatever their sequence.

        Raises
        ------
        MayHaveRun
            The connection broke or went silent.
        """
        rest = b""
        try:
            for block in self.response.stream(READ_BYTES):
                *events, rest = (rest + block).split(b"\n\n")
                for event in events:
                    chunk = parse_event(event)
                    if chunk:
                        yield chunk
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise MayHaveRun(f"stream broke: {error}") from error


def parse_event(event: bytes) -> Chunk | None:
    """Return the chunk in one server-sent event; None for a comment."""
    identity = data = None
    for line in event.split(b"\n"):
        if line.startswith(b"id: "):
            identity = line[4:].decode()
        elif line.startswith(b"data: "):
            data = line[6:]
    if identity is None or data is None:
        return None
    stream, _, sequence = identity.rpartition(":")
    if not sequence.isdigit():
        return None
    return Chunk(StreamId(stream), int(sequence), data)


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
    try:
        text = response.data[:200].decode(errors="replace")
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise MayHaveRun(f"answer broke: {error}") from error
    finally:
        connection.close()
    raise TargetRefused(response.status, text)
