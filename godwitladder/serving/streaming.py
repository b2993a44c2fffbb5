"""Proxies the event stream of a routed call and resumes it at another target."""

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
    """Proxies the events of a stream and resumes it where the route allows that.

    Attributes
    ----------
    events : int
        Number of events passed on.
    whole : bool
        Whether the stream was passed on to its end.
    last_id : str
        Id of the last event passed on.
    heard : float
        Monotonic time at which the last events arrived; 0 before the first.
    """

    def __init__(self, passing: "Passing", response: urllib3.BaseHTTPResponse) -> None:
        self.passing = passing
        self.reader = EventReader(response)
        self.events = 0
        self.whole = False
        self.last_id = ""
        self.heard = 0.0

    def begin(self, start_response) -> "StreamPassing":
        """Send the status and headers to the caller."""
        response = self.reader.response
        headers = self.passing.passer.form.for_caller(response.headers.items())
        start_response(f"{response.status} {response.reason or ''}", headers)
        return self

    def __iter__(self) -> Iterator[bytes]:
        """Yield events as they arrive.

        Raises
        ------
        StreamTruncated
            The stream broke and could not be resumed.
        """
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
        """Record the events just read and report the progress."""
        self.events += self.reader.take_count()
        self.last_id = self.reader.last_id or self.last_id
        now = self.passing.clock.monotonic()
        if self.heard:
            self.passing.pause_s = max(self.passing.pause_s, now - self.heard)
        self.heard = now
        self.passing.ending.report(self.tokens())

    def tokens(self) -> int:
        """Return the number of output tokens so far."""
        return self.events * self.passing.call.event_tokens

    def resume(self, error: MayHaveRun) -> None:
        """Resume the stream at another target.

        Raises
        ------
        StreamTruncated
            The route does not allow it, or no target continues the stream.
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
        """Return a response that continues the stream; None if no target gives one."""
        passing = self.passing
        while passing.repeat():
            decision = passing.await_decision()
            if isinstance(decision, Refusal):
                return None
            try:
                response = passing.send(decision)
            except (NotSent, NotRun, MayHaveRun) as error:
                passing.note("Could not resume a stream", decision, error)
                continue
            if is_stream(response):
                return response
        return None

    def close(self) -> None:
        """End the call; the server calls this on every exit path."""
        if not self.whole:
            self.passing.finish(RequestState.FAILED, self.tokens())
