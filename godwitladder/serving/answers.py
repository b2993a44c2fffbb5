"""Answers to callers, as WSGI iterables."""

import http
import json
import re
from collections.abc import Callable, Iterable, Iterator

from godwitladder.logs import component_logger
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.process.threads import ThreadDenied, start_call_thread
from godwitladder.serving.dispatch_reporter import DispatchReporter
from godwitladder.serving.problems import problem_body
from godwitladder.serving.relay import AnswerTruncated, StreamFollower

log = component_logger("callers")

HEARTBEAT = b": waiting\n\n"
DEFAULT_CONTENT_TYPE = "application/octet-stream"
VALID_CONTENT_TYPE = re.compile(r"[\x20-\x7e]+")


class StreamedAnswer:
    """A dispatched request's answer as server-sent events.

    The server closes an answer whose caller has disconnected, even one whose first
    byte it never read; a generator's own clean-up would not run in that case. The
    engine continues the stream, since the caller may resume it at any host, and
    until it ends its slot is taken. It is therefore followed to its end in the
    background.
    """

    def __init__(
        self,
        follower: StreamFollower,
        reporter: DispatchReporter,
        identity: str,
        on_truncated: Callable[[AnswerTruncated], None],
    ) -> None:
        self.follower = follower
        self.reporter = reporter
        self.identity = identity
        self.on_truncated = on_truncated
        self.events: Iterator[bytes] | None = None

    def __iter__(self) -> Iterator[bytes]:
        self.events = event_bytes(self._chunks(), self.identity)
        return self.events

    def close(self) -> None:
        """Close the answer; follow a stream that still runs in the background."""
        if self.events is not None:
            self.events.close()
        self.follower.close()
        if not self.reporter.ended:
            log.info(
                "A caller disconnected from its stream",
                extra={"request": self.identity},
            )
            self.follow_to_end()

    def follow_to_end(self) -> None:
        """Read the stream to its end in a thread, or in this one if none is left."""
        try:
            start_call_thread(self.read_to_end, "left")
        except ThreadDenied as error:
            extra = {"request": self.identity, "error": str(error)}
            log.info("A stream that was left has no thread of its own", extra=extra)
            self.read_to_end()

    def read_to_end(self) -> None:
        """Read the stream to its end to report its progress, and discard the chunks."""
        try:
            for _ in self._chunks():
                pass
        except AnswerTruncated:
            pass

    def _chunks(self) -> Iterator[list]:
        progress = self.follower.progress
        try:
            for chunks in self.follower:
                self.reporter.report_progress(progress.tokens)
                if progress.complete:
                    self.reporter.report_end(RequestState.COMPLETED, progress.tokens)
                yield chunks
        except AnswerTruncated as error:
            self.reporter.report_end(error.refusal.outcome, progress.tokens)
            self.on_truncated(error)
            raise
        except Exception as error:
            self.reporter.report_end(RequestState.MAY_HAVE_RUN, progress.tokens)
            log.exception("A stream failed", extra={"request": self.identity})
            raise AnswerTruncated(internal_fault()) from error


def internal_fault() -> Refusal:
    """Return the refusal for an internal error of the host after a dispatch."""
    text = "The host failed while it served the request."
    return Refusal(RequestState.MAY_HAVE_RUN, Reason.INTERNAL, text)


def start_events(start_response, identity: str) -> None:
    """Start an answer of server-sent events."""
    headers = [
        ("Content-Type", "text/event-stream"),
        ("Cache-Control", "no-store"),
        ("Request-Id", identity),
    ]
    start_response("200 OK", headers)


def answer_buffered(
    start_response, status: int, content_type: str, body: bytes, identity: str
) -> list[bytes]:
    """Start an answer whose body is complete, and return the body."""
    headers = [
        (
            "Content-Type",
            content_type
            if VALID_CONTENT_TYPE.fullmatch(content_type)
            else DEFAULT_CONTENT_TYPE,
        ),
        ("Content-Length", str(len(body))),
        ("Request-Id", identity),
    ]
    known = status in http.HTTPStatus._value2member_map_
    phrase = http.HTTPStatus(status).phrase if known else "Answered"
    start_response(f"{status} {phrase}", headers)
    return [body]


def event_bytes(
    batches: Iterable[list], identity: str, start: int = 0
) -> Iterator[bytes]:
    """Yield the chunks with sequence number ``start`` or above as server-sent events.

    A stream that can't be read to its end finishes with an error event. Chunks that
    arrived together are written together.
    """
    yield f": request {identity}\n\n".encode()
    try:
        for chunks in batches:
            events = [
                b"id: %d\ndata: %b\n\n" % (chunk.sequence, chunk.data)
                for chunk in chunks
                if chunk.sequence >= start
            ]
            if events:
                yield b"".join(events)
            elif not chunks:
                yield HEARTBEAT
    except AnswerTruncated as error:
        yield error_event(error.refusal, identity)


def error_event(refusal: Refusal, identity: str) -> bytes:
    """Return the error event that ends a truncated answer."""
    problem = json.dumps({"error": problem_body(refusal, identity)})
    return f"event: error\ndata: {problem}\n\n".encode()
