"""Carries one dispatched request to its target and its answer back.

What a caller gets is its own answer, whole, or an explicit error: a chunk
that is not the next one of its own stream is never passed on, and a
connection that breaks or goes silent is replaced by resuming the stream.
"""

import json
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from godwitladder.engines.engine import (
    DONE,
    Chunk,
    EngineStream,
    open_stream,
    resume_stream,
)
from godwitladder.engines.wire import MayHaveRun, NotSent, TargetRefused
from godwitladder.ids import StreamId

IDLE_S = 5.0
RESUME_TRIES = 5


@dataclass
class StreamTally:
    """What a stream has yielded so far."""

    next: int = 0
    tokens: int = 0
    whole: bool = False


def follow_stream(
    address: str,
    stream: StreamId,
    tally: StreamTally,
    opened: EngineStream | None,
    pause: Callable[[float], None],
) -> Iterator[Chunk]:
    """Yield the chunks of ``stream`` in sequence, each exactly once.

    Parameters
    ----------
    tally : StreamTally
        Says where to go on; updated with each chunk.
    opened : EngineStream or None
        The connection that dispatched the request, if this host did.
    pause : callable
        Waits some seconds between tries to resume.

    Raises
    ------
    MayHaveRun
        The stream can't be had to its end.
    """
    connection = opened
    for attempt in range(RESUME_TRIES):
        try:
            if connection is None:
                connection = resume_stream(address, stream, tally.next, IDLE_S)
            yield from _next_chunks(connection, stream, tally)
            if tally.whole:
                return
        except (MayHaveRun, NotSent):
            pause(0.1 * 2**attempt)
        except TargetRefused as error:
            raise MayHaveRun(f"the target no longer has the stream: {error}") from error
        finally:
            if connection is not None:
                connection.close()
        connection = None
    raise MayHaveRun(f"the stream could not be resumed in {RESUME_TRIES} tries")


def _next_chunks(
    connection: EngineStream, stream: StreamId, tally: StreamTally
) -> Iterator[Chunk]:
    for chunk in connection:
        if chunk.stream != stream or chunk.sequence < tally.next:
            continue
        if chunk.sequence > tally.next:
            # A gap: what is missing is asked for again from the engine.
            return
        tally.next += 1
        if chunk.data == DONE:
            tally.whole = True
            yield chunk
            return
        tally.tokens += 1
        yield chunk


def open_for(address: str, stream: StreamId, body: bytes) -> EngineStream:
    """Dispatch ``body``; see `godwitladder.engines.engine.open_stream`."""
    return open_stream(address, stream, body, IDLE_S)


def join_chunks(chunks: Iterator[Chunk], identity: str, model: str) -> bytes:
    """Return one whole chat completion from the chunks of a stream."""
    text = []
    finish = None
    usage = {}
    for chunk in chunks:
        if chunk.data == DONE:
            break
        event = json.loads(chunk.data)
        choice = event["choices"][0]
        text.append(choice["delta"].get("content") or "")
        finish = choice.get("finish_reason") or finish
        usage = event.get("usage") or usage
    message = {"role": "assistant", "content": "".join(text)}
    answer = {
        "id": identity,
        "object": "chat.completion",
        "model": model,
        "choices": [{"index": 0, "message": message, "finish_reason": finish}],
        "usage": usage,
    }
    return json.dumps(answer).encode()
