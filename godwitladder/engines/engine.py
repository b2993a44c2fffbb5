"""Client of a model engine: opens, resumes and cancels streams, and reads load.

Engines serve the chat completions API with server-sent events, whose ``id`` lines
hold ``stream:sequence``. For an engine with another API, only this module has to
change.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass

import urllib3
from urllib3.connection import HTTPConnection

from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.engines.wire import (
    MAX_ANSWER_TIMEOUTS,
    Dial,
    MayHaveRun,
    TargetRefused,
    connect,
    connect_for_answer,
    read_cooldown,
    send,
)
from godwitladder.ids import StreamId
from godwitladder.untrusted import MAX_COUNT, is_integer

# Statuses that mean that an engine has not started the request. Any other error
# (500, 502, 504) may occur after the work has begun.
NOT_STARTED_STATUSES = frozenset(
    {400, 401, 403, 404, 405, 409, 410, 411, 413, 415, 422, 429, 503}
)
DONE = b"[DONE]"
MAX_READ_BYTES = 65_536
MAX_EVENT_BYTES = 1_048_576
MAX_SEQUENCE_DIGITS = 18
MAX_REFUSAL_BYTES = 200
MAX_LOGGED_CHARS = 200
STREAM_HEADER = "X-Stream-Id"
CANCEL_TIMEOUT_S = 2.0
LOAD_TIMEOUT_S = 2.0
LOAD_LIMITS = AnswerLimits(body_bytes=65_536)
"""A load report has three numbers."""


@dataclass(frozen=True)
class Chunk:
    """One event of a stream; ``sequence`` counts from 0."""

    stream: StreamId
    sequence: int
    data: bytes


@dataclass(frozen=True)
class LoadReport:
    """Load that an engine last reported.

    Attributes
    ----------
    running, queued : int
        Number of requests.
    memory_tokens : int
        Tokens in the engine's memory.
    """

    running: int
    queued: int
    memory_tokens: int


class EngineStream:
    """Iterator over the events of one stream on one connection."""

    def __init__(
        self, connection: HTTPConnection, response: urllib3.BaseHTTPResponse
    ) -> None:
        self.connection = connection
        self.response = response

    def close(self) -> None:
        """Close the connection; the engine continues the stream itself."""
        self.response.close()
        self.connection.close()

    def __iter__(self) -> Iterator[list[Chunk]]:
        """Yield the chunks of each read, in the order of arrival.

        A heartbeat yields an empty list, so that the caller can check deadlines
        while the engine produces nothing.

        Raises
        ------
        MayHaveRun
            The connection broke or timed out, or sent an event that is too long.
        """
        remainder = b""
        try:
            while block := self._read():
                *events, remainder = (remainder + block).split(b"\n\n")
                if len(remainder) > MAX_EVENT_BYTES:
                    raise MayHaveRun(f"an event of more than {MAX_EVENT_BYTES} bytes")
                parsed = map(parse_event, events)
                yield [chunk for chunk in parsed if chunk]
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise MayHaveRun(f"stream broke: {error}") from error

    def _read(self) -> bytes:
        """Return the bytes that have arrived; block only if there are none."""
        return self.response.read1(MAX_READ_BYTES)


def parse_event(event: bytes) -> Chunk | None:
    """Return the chunk in one server-sent event; None if it holds none."""
    event_id = data = None
    for line in event.split(b"\n"):
        if line.startswith(b"id: "):
            event_id = line[4:]
        elif line.startswith(b"data: "):
            data = line[6:]
    if event_id is None or data is None:
        return None
    stream, _, sequence = event_id.rpartition(b":")
    if not sequence.isdigit() or len(sequence) > MAX_SEQUENCE_DIGITS:
        return None
    return Chunk(StreamId(stream.decode(errors="replace")), int(sequence), data)


def open_stream(
    address: str, stream: StreamId, body: bytes, idle_s: float, dial: Dial = connect
) -> EngineStream:
    """Dispatch ``body`` as ``stream``; only this call starts work at the engine.

    Raises
    ------
    NotSent, MayHaveRun, TargetRefused
        See `godwitladder.engines.wire`.
    """
    connection = dial(address, idle_s)
    headers = {"Content-Type": "application/json", STREAM_HEADER: stream}
    response = send(connection, "POST", "/v1/chat/completions", body, headers)
    return _open_or_raise(connection, response)


def resume_stream(
    address: str,
    stream: StreamId,
    sequence: int,
    idle_s: float,
    dial: Dial = connect,
) -> EngineStream:
    """Read ``stream`` from event ``sequence`` on, without a new dispatch.

    Raises
    ------
    NotSent, MayHaveRun, TargetRefused
        See `godwitladder.engines.wire`.
    """
    connection = dial(address, idle_s)
    path = f"/v1/streams/{stream}?from={sequence}"
    return _open_or_raise(connection, send(connection, "GET", path, None, {}))


def cancel_stream(address: str, stream: StreamId, dial: Dial = connect) -> None:
    """Cancel ``stream`` at the engine."""
    connection = dial(address, CANCEL_TIMEOUT_S)
    connection.max_timeouts = MAX_ANSWER_TIMEOUTS
    try:
        send(connection, "DELETE", f"/v1/streams/{stream}", None, {})
    finally:
        connection.close()


def read_load(address: str) -> LoadReport:
    """Return the load that the engine reports, which lags behind its real load.

    Raises
    ------
    NotSent, MayHaveRun
        The engine was not reached, or its answer broke or is malformed.
    ValueError, KeyError
        The answer is no load report.
    """
    connection = connect_for_answer(address, LOAD_TIMEOUT_S, limits=LOAD_LIMITS)
    try:
        response = send(connection, "GET", "/load", None, {})
        answer = json.loads(response.read(decode_content=False))
    except (urllib3.exceptions.HTTPError, OSError, RecursionError) as error:
        raise MayHaveRun(f"the load report broke: {error}") from error
    finally:
        connection.close()
    counts = [answer[name] for name in ("running", "queued", "memory_tokens")]
    if not all(is_integer(count, 0, MAX_COUNT) for count in counts):
        raise ValueError(
            f"a load report has the counts {str(counts)[:MAX_LOGGED_CHARS]}"
        )
    return LoadReport(*counts)


def _open_or_raise(
    connection: HTTPConnection, response: urllib3.BaseHTTPResponse
) -> EngineStream:
    if response.status == 200:
        return EngineStream(connection, response)
    if response.status not in NOT_STARTED_STATUSES:
        connection.close()
        raise MayHaveRun(f"target answered {response.status}")
    try:
        text = response.read1(MAX_REFUSAL_BYTES).decode(errors="replace")
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise MayHaveRun(f"answer broke: {error}") from error
    finally:
        connection.close()
    raise TargetRefused(response.status, text, read_cooldown(response))
