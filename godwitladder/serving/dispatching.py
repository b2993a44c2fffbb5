"""Serving one request: wait for the decision, dispatch once, answer."""

import queue
from collections.abc import Iterable, Iterator, Mapping

import pykka

from godwitladder.clock import Clock
from godwitladder.configuration.model import ServiceKind
from godwitladder.engines.engine import EngineStream
from godwitladder.engines.service import call_service
from godwitladder.engines.wire import MayHaveRun, NotSent, TargetRefused
from godwitladder.logs import part_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.scheduler.messages import Finished, NothingSent, Submit, Withdrawn
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.answers import event_bytes, lost, start_events
from godwitladder.serving.calls import Call
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.relay import (
    StreamTally,
    follow_stream,
    join_chunks,
    open_for,
)
from godwitladder.serving.request_ids import RequestName, sign_request
from godwitladder.settings import Settings

log = part_logger("callers")

GONE_CHECK_S = 0.5


class Dispatcher:
    """Takes a call from its arrival at the scheduler to its answer.

    Parameters
    ----------
    settings : Settings
        Holds the secret that signs request ids.
    scheduler : pykka.ActorRef
        The actor that decides.
    clock : Clock
        The host's clock.
    metrics : Metrics
        Where to count.
    """

    def __init__(
        self,
        settings: Settings,
        scheduler: pykka.ActorRef,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.scheduler = scheduler
        self.clock = clock
        self.metrics = metrics

    def serve(self, call: Call, environ: Mapping, start_response) -> Iterable[bytes]:
        """Answer one call, once the scheduler has decided about it."""
        self.scheduler.tell(Submit(call.row))
        while True:
            decision = self._await_decision(call, environ)
            if isinstance(decision, Refusal):
                return self._refuse(call, decision, start_response)
            try:
                return self._dispatch(call, decision, start_response)
            except NotSent as error:
                log.info("Nothing was sent", extra={"error": str(error)})
                self.scheduler.tell(NothingSent(call.row.request))

    def _await_decision(self, call: Call, environ: Mapping) -> Dispatch | Refusal:
        gone = environ.get("waitress.client_disconnected", lambda: False)
        while True:
            try:
                return call.row.decisions.get(timeout=GONE_CHECK_S)
            except queue.Empty:
                if gone():
                    self.scheduler.tell(Withdrawn(call.row.request))

    def _refuse(self, call: Call, refusal: Refusal, start_response) -> list[bytes]:
        self._count(refusal.outcome)
        return answer_problem(start_response, refusal, call.row.request)

    def _dispatch(
        self, call: Call, dispatch: Dispatch, start_response
    ) -> Iterable[bytes]:
        """Write the request to its target and answer with what comes back.

        Raises
        ------
        NotSent
            No byte was written; the scheduler may choose another target.
        """
        name = RequestName(call.row.workspace, dispatch.target, dispatch.stream)
        identity = sign_request(self.settings.peers.secret, name)
        try:
            if call.service.kind is ServiceKind.PLAIN:
                return self._call_plain(call, dispatch, identity, start_response)
            opened = open_for(dispatch.address, dispatch.stream, call.body)
            return self._answer_stream(call, dispatch, identity, opened, start_response)
        except TargetRefused as error:
            self._finish(call, RequestState.NOT_RUN)
            text = f"The target turned the request away: {error}."
            refusal = refuse(Reason.TARGET_REFUSED, text, 1.0)
            return answer_problem(start_response, refusal, identity)
        except MayHaveRun as error:
            self._finish(call, RequestState.MAY_HAVE_RUN)
            return answer_problem(start_response, lost(error), identity)

    def _call_plain(
        self, call: Call, dispatch: Dispatch, identity: str, start_response
    ) -> list[bytes]:
        remaining = max(0.1, call.row.deadline - self.clock.monotonic())
        answer = call_service(
            dispatch.address,
            call.row.service,
            dispatch.stream,
            call.body,
            call.content_type,
            remaining,
        )
        self._finish(call, RequestState.COMPLETED)
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
            ("Request-Id", identity),
        ]
        start_response(f"{answer.status} Answered", headers)
        return [answer.body]

    def _answer_stream(
        self,
        call: Call,
        dispatch: Dispatch,
        identity: str,
        opened: EngineStream,
        start_response,
    ) -> Iterable[bytes]:
        tally = StreamTally()
        chunks = follow_stream(
            dispatch.address, dispatch.stream, tally, opened, self.clock.sleep
        )
        if call.streamed:
            start_events(start_response, identity)
            return self._stream(call, chunks, tally, identity)
        body = join_chunks(chunks, identity, call.row.service)
        self._finish(call, RequestState.COMPLETED, tally)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Request-Id", identity),
        ]
        start_response("200 OK", headers)
        return [body]

    def _stream(
        self, call: Call, chunks: Iterator, tally: StreamTally, identity: str
    ) -> Iterator[bytes]:
        state = RequestState.MAY_HAVE_RUN
        try:
            yield from event_bytes(chunks, identity)
            if tally.whole:
                state = RequestState.COMPLETED
        finally:
            self._finish(call, state, tally)

    def _finish(
        self, call: Call, state: RequestState, tally: StreamTally | None = None
    ) -> None:
        tokens = tally.tokens if tally else 0
        self._count(state)
        self.scheduler.tell(
            Finished(call.row.request, state, call.row.prompt_tokens, tokens)
        )

    def _count(self, state: RequestState) -> None:
        self.metrics.requests.inc({"outcome": state.value})
