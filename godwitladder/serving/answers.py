"""Answers to callers, as the server reads them from the application."""

import json
from collections.abc import Callable, Iterable, Iterator

from godwitladder.engines.wire import MayHaveRun
from godwitladder.findings import GodwitladderError
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.serving.problems import problem_body


class CountedAnswer:
    """An answer that says when the server is done with it.

    The count of open calls is what a planned stop waits for: it must fall
    only after the last byte was handed to the server, not when the answer
    starts.
    """

    def __init__(self, body: Iterable[bytes], done: Callable[[], None]) -> None:
        self.body = body
        self.done = done

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.body)

    def close(self) -> None:
        """Called by the server at the end, also after a broken connection."""
        try:
            close = getattr(self.body, "close", None)
            if close:
                close()
        finally:
            self.done()


def lost(error: GodwitladderError) -> Refusal:
    """Return the refusal for a target that was lost after the first byte."""
    text = f"The target was lost with the request: {error}."
    return Refusal(RequestState.MAY_HAVE_RUN, Reason.TARGET_LOST, text)


def start_events(start_response, identity: str) -> None:
    """Start an answer of server-sent events."""
    headers = [
        ("Content-Type", "text/event-stream"),
        ("Cache-Control", "no-store"),
        ("Request-Id", identity),
    ]
    start_response("200 OK", headers)


def event_bytes(chunks: Iterator, identity: str) -> Iterator[bytes]:
    """Yield the chunks as server-sent events; an early end is an error event."""
    yield f": request {identity}\n\n".encode()
    try:
        for chunk in chunks:
            yield b"id: %d\ndata: %b\n\n" % (chunk.sequence, chunk.data)
    except MayHaveRun as error:
        problem = json.dumps({"error": problem_body(lost(error), identity)})
        yield f"event: error\ndata: {problem}\n\n".encode()
