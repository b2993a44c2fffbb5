"""Proxies the event stream of a routed call and resumes it at another target."""

import itertools
from collections.abc import Iterator
from typing import TYPE_CHECKING

import urllib3

from godwitladder.engines.wire import MayHaveRun, NotSent
from godwitladder.logs import component_logger
from godwitladder.outcomes import Refusal, RequestState
from godwitladder.quarantine.gate import HeldBack
from godwitladder.rollouts.counts import AnswerResult
from godwitladder.serving.events import EventReader
from godwitladder.serving.upstream import (
    NotRun,
    StreamTruncated,
    caller_headers,
    is_stream,
)

if TYPE_CHECKING:
    from godwitladder.serving.proxying import ProxiedCall

log = component_logger("passing")


class ProxiedStream:
    """Proxies the events of a stream and resumes it where the route allows that.

    Attributes
    ----------
    blocks : iterator of bytes
        Blocks of events of the current target.
    events : int
        Number of events passed on.
    complete : bool
        Whether the stream was passed on to its end.
    last_id : str
        Id of the last event passed on.
    last_received_at : float
        Monotonic time at which the last events arrived; 0 before the first.
    """

    def __init__(
        self, proxied_call: "ProxiedCall", response: urllib3.BaseHTTPResponse
    ) -> None:
        self.proxied_call = proxied_call
        self.read_from(response)
        self.events = 0
        self.complete = False
        self.last_id = ""
        self.last_received_at = 0.0

    def read_from(self, response: urllib3.BaseHTTPResponse) -> None:
        """Read the events of ``response`` from now on."""
        call = self.proxied_call
        self.reader = EventReader(
            response, call.open_call, call.proxy.memory.limits, call.share.hold
        )
        self.blocks = iter(self.reader)

    def start(self, start_response) -> "ProxiedStream":
        """Send the status and headers to the caller, once something has arrived.

        The server writes them with the first bytes. If the target fails before those,
        the caller gets a status that tells it.

        Raises
        ------
        MayHaveRun
            The stream broke before its first event.
        """
        response = self.reader.response
        headers = caller_headers(self.proxied_call.proxy.header_codec, response)
        first = list(itertools.islice(self.blocks, 1))
        self.blocks = itertools.chain(first, self.blocks)
        start_response(f"{response.status} {response.reason or ''}", headers)
        return self

    def __iter__(self) -> Iterator[bytes]:
        """Yield events as they arrive.

        Raises
        ------
        StreamTruncated
            The stream broke and could not be resumed.
        """
        while not self.complete:
            try:
                for block in self.blocks:
                    self.record_events()
                    yield block
                    self.proxied_call.proxy.pace.keep(len(block))
                self.complete = True
            except MayHaveRun as error:
                self.resume(error)
        self.proxied_call.counts.record_end(AnswerResult.GOOD)
        self.proxied_call.evidence.record_completion()
        self.proxied_call.finish(RequestState.COMPLETED, self.count_tokens())

    def record_events(self) -> None:
        """Record the events just read and report the progress."""
        if not self.events:
            self.proxied_call.record_origin()
        self.events += self.reader.take_count()
        self.last_id = self.reader.last_id or self.last_id
        now = self.proxied_call.clock.monotonic()
        if self.last_received_at:
            self.proxied_call.pause_s = max(
                self.proxied_call.pause_s, now - self.last_received_at
            )
        self.last_received_at = now
        self.proxied_call.evidence.record_sign()
        self.proxied_call.counts.record_output()
        self.proxied_call.reporter.report_progress(self.count_tokens())

    def count_tokens(self) -> int:
        """Return the number of output tokens so far."""
        return self.events * self.proxied_call.call.event_tokens

    def resume(self, error: MayHaveRun) -> None:
        """Resume the stream at another target.

        Raises
        ------
        StreamTruncated
            The route does not allow it, or no target continues the stream.
        """
        proxied_call = self.proxied_call
        extra = proxied_call.log.fields() | {
            "error": str(error),
            "events": self.events,
            "body": proxied_call.call.row.body[:8],
            "resumable": proxied_call.call.route.resumable,
        }
        log.info("A stream broke", extra=extra)
        proxied_call.record_loss(error)
        if not proxied_call.call.route.resumable:
            raise StreamTruncated(str(error))
        proxied_call.resume_from = self.last_id
        response = self.reopen()
        if response is None:
            raise StreamTruncated(str(error))
        self.read_from(response)

    def reopen(self) -> urllib3.BaseHTTPResponse | None:
        """Return a response that continues the stream; None if no target gives one."""
        proxied_call = self.proxied_call
        while proxied_call.retry():
            decision = proxied_call.await_decision()
            if isinstance(decision, Refusal):
                return None
            try:
                response = proxied_call.send(decision)
            except HeldBack as error:
                proxied_call.log_failed_send(
                    "Could not resume a stream", decision, error
                )
                return None
            except (NotSent, NotRun, MayHaveRun) as error:
                proxied_call.log_failed_send(
                    "Could not resume a stream", decision, error
                )
                if isinstance(error, MayHaveRun):
                    proxied_call.record_loss(error)
                continue
            if is_stream(response):
                return response
        return None

    def close(self) -> None:
        """End the call; the server calls this on every exit path."""
        if not self.complete:
            self.proxied_call.finish(RequestState.FAILED, self.count_tokens())
