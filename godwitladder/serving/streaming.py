"""Passes the events of a routed call on, and goes on at another target."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

import urllib3

from godwitladder.engines.wire import MayHaveRun, NotSent
from godwitladder.logs import component_logger
from godwitladder.outcomes import Refusal, RequestState
from godwitladder.serving.events import EventReader
from godwitladder.serving.upstream import NotRun, StreamTruncated, is_stream

if TYPE_CHECKING:
    from godwitladder.serving.proxying import Passing

log = component_logger("passing")


class StreamPassing:
    """Passes the events of a stream on, and resumes it where that is allowed.

    Attributes
    ----------
    heard : float
        When the last events came; 0 before the first.
    """

    def __init__(self, passing: "Passing", response: urllib3.BaseHTTPResponse) -> None:
        self.passing = passing
        self.reader = EventReader(response)
        self.events = 0
        self.whole = False
        self.last_id = ""
        self.heard = 0.0

    def begin(self, start_response) -> "StreamPassing":
        """Send the head of the answer."""
        response = self.reader.response
        headers = self.passing.passer.form.for_caller(response.headers.items())
        start_response(f"{response.status} {response.reason or ''}", headers)
        return self

    def __iter__(self) -> Iterator[bytes]:
        """Yield events as they come; a stream that breaks raises."""
        while not self.whole:
            try:
                for block in self.reader:
                    self.note_events()
                    yield block
                self.whole = True
            except MayHaveRun as error:
                self.resume(error)
        self.passing.finish(RequestState.COMPLETED, self.tokens())

    def note_events(self) -> None:
        """Take in the events that were read."""
        self.events += self.reader.take_count()
        self.last_id = self.reader.last_id or self.last_id
        now = self.passing.clock.monotonic()
        if self.heard:
            self.passing.pause_s = max(self.passing.pause_s, now - self.heard)
        self.heard = now
        self.passing.ending.report(self.tokens())

    def tokens(self) -> int:
        """Return the output tokens so far."""
        return self.events * self.passing.call.event_tokens

    def resume(self, error: MayHaveRun) -> None:
        """Go on at another target, or break the answer.

        Raises
        ------
        StreamTruncated
            The stream may not go on, or no target takes it.
        """
        passing = self.passing
        extra = passing.names() | {"error": str(error), "events": self.events}
        log.info("A stream broke", extra=extra)
        if not passing.call.route.resumable:
            raise StreamTruncated(str(error))
        passing.note_loss()
        passing.resume_from = self.last_id
        response = self.reopen()
        if response is None:
            raise StreamTruncated(str(error))
        self.reader = EventReader(response)

    def reopen(self) -> urllib3.BaseHTTPResponse | None:
        """Return the rest of the stream from another target, if one gives it."""
        passing = self.passing
        while passing.repeat():
            decision = passing.await_decision()
            if isinstance(decision, Refusal):
                return None
            try:
                response = passing.send(decision)
            except (NotSent, NotRun, MayHaveRun) as error:
                passing.note("A stream did not go on", decision, error)
                continue
            if is_stream(response):
                return response
        return None

    def close(self) -> None:
        """End the call on whatever way out; called by the server."""
        if not self.whole:
            self.passing.finish(RequestState.FAILED, self.tokens())
