"""Answers to callers, as the server reads them from the application."""

import http
import json
import re
import threading
from collections.abc import Callable, Iterable, Iterator

from godwitladder.logs import component_logger
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.serving.dispatch_reporter import DispatchReporter
from godwitladder.serving.problems import problem_body
from godwitladder.serving.relay import AnswerTruncated, StreamFollower

log = component_logger("callers")

HEARTBEAT = b": waiting\n\n"
PLAIN_KIND = "application/octet-stream"
SOUND_KIND = re.compile(r"[\x20-\x7e]+")


class StreamedAnswer:
    """A dispatched request's answer as server-sent events.

    The server closes an answer whose caller is gone, also one of which it
    never asked for a first byte: a generator's own clean-up would not run
    then. The engine goes on with a stream whose caller is gone, since the
    caller may resume it at any host; until it ends, its slot is taken, so it
    is followed to its end in the background.
    """

    def __init__(
        self,
        follower: StreamFollower,
        ending: DispatchReporter,
        identity: str,
        cut: Callable[[AnswerTruncated], None],
    ) -> None:
        self.follower = follower
        self.ending = ending
        self.identity = identity
        self.cut = cut
        self.events: Iterator[bytes] | None = None

    def __iter__(self) -> Iterator[bytes]:
        self.events = event_bytes(self._chunks(), self.identity)
        return self.events

    def close(self) -> None:
        """End the dispatch, or follow it in the background if it runs on."""
        if self.events is not None:
            self.events.close()
        self.follower.close()
        if not self.ending.told:
            log.info("A caller left its stream", extra={"request": self.identity})
            threading.Thread(target=self.follow_on, name="left", daemon=True).start()

    def follow_on(self) -> None:
        """Follow the stream to its end, for nobody but the scheduler."""
        try:
            for _ in self._chunks():
                pass
        except AnswerTruncated:
            pass

    def _chunks(self) -> Iterator[list]:
        tally = self.follower.tally
        try:
            for chunks in self.follower:
                self.ending.report(tally.tokens)
                if tally.whole:
                    self.ending.tell(RequestState.COMPLETED, tally.tokens)
                yield chunks
        except AnswerTruncated as error:
            self.ending.tell(error.refusal.outcome, tally.tokens)
            self.cut(error)
            raise
        except Exception as error:
            self.ending.tell(RequestState.MAY_HAVE_RUN, tally.tokens)
            log.exception("A stream failed", extra={"request": self.identity})
            raise AnswerTruncated(internal_fault()) from error


def internal_fault() -> Refusal:
    """Return the refusal for a fault of this system after a dispatch."""
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


def answer_whole(
    start_response, status: int, kind: str, body: bytes, identity: str
) -> list[bytes]:
    """Start an answer that is had whole; return its body."""
    headers = [
        ("Content-Type", kind if SOUND_KIND.fullmatch(kind) else PLAIN_KIND),
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
    """Yield chunks from ``start`` on as server-sent events.

    An early end is an error event, never just the end. Chunks that arrived
    together go out in one write.
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
    """Return the last event of an answer that is not whole."""
    problem = json.dumps({"error": problem_body(refusal, identity)})
    return f"event: error\ndata: {problem}\n\n".encode()
