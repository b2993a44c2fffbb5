"""Serves one request: waits for the decision, dispatches the request, answers."""

import queue
from collections.abc import Callable, Iterable, Mapping

import pykka

from godwitladder.clock import Clock
from godwitladder.configuration.model import ServiceKind
from godwitladder.decisions.waiting.cancel import DisconnectAction, disconnect_action
from godwitladder.engines.engine import EngineStream, cancel_stream, open_stream
from godwitladder.engines.service import call_service
from godwitladder.engines.wire import Dial, MayHaveRun, NotSent, TargetRefused, connect
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.scheduler.messages import (
    CooldownStated,
    NoFreeThread,
    NothingSent,
    Submit,
    Withdrawn,
)
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.answers import (
    StreamedAnswer,
    answer_buffered,
    internal_fault,
    start_events,
)
from godwitladder.serving.calls import Call
from godwitladder.serving.dispatch_reporter import DispatchReporter
from godwitladder.serving.joining import join_chunks
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.relay import (
    IDLE_TIMEOUT_S,
    AnswerTruncated,
    StreamFollower,
    lost_refusal,
)
from godwitladder.serving.request_ids import RequestLocator, sign_request_id
from godwitladder.settings import Settings

log = component_logger("callers")

CALLER_CHECK_INTERVAL_S = 0.5
REFUSED_RETRY_S = 1.0
CALLER_GONE_DETAIL = "The caller is gone."
DEADLINE_DETAIL = (
    "The target gave no whole answer before the deadline; it may have run."
)


class Dispatcher:
    """Serves calls from their submission to the scheduler to their answers.

    Parameters
    ----------
    settings : Settings
        Holds the secret that signs request ids.
    scheduler : pykka.ActorRef
        The scheduler's actor.
    clock : Clock
        The host's clock.
    metrics : Metrics
        The metrics to update.
    exceeds_thread_limit : callable
        Returns whether more calls are open than the host has threads for.
    dial : callable
        Connects to targets.
    """

    def __init__(
        self,
        settings: Settings,
        scheduler: pykka.ActorRef,
        clock: Clock,
        metrics: Metrics,
        exceeds_thread_limit: Callable[[], bool],
        dial: Dial = connect,
    ) -> None:
        self.dial = dial
        self.exceeds_thread_limit = exceeds_thread_limit
        self.settings = settings
        self.scheduler = scheduler
        self.clock = clock
        self.metrics = metrics

    def serve(self, call: Call, environ: Mapping, start_response) -> Iterable[bytes]:
        """Answer one call, once the scheduler has decided on it."""
        gone = environ.get("waitress.client_disconnected", lambda: False)
        self.scheduler.tell(Submit(call.row))
        if self.exceeds_thread_limit():
            self.scheduler.tell(NoFreeThread())
        while True:
            decision = self._await_decision(call, gone)
            if isinstance(decision, Refusal):
                self.metrics.count_refused_request(call.row.tier_rank, decision.reason)
                call.on_end(decision.outcome)
                return answer_problem(start_response, decision, call.row.request)
            attempt = Attempt(self, call, decision)
            try:
                return attempt.run(gone, start_response)
            except NotSent as error:
                log.info(
                    "Nothing was sent",
                    extra={"request": call.row.request, "error": str(error)},
                )
                self.scheduler.tell(NothingSent(call.row.request))

    def _await_decision(
        self, call: Call, gone: Callable[[], bool]
    ) -> Dispatch | Refusal:
        while True:
            try:
                return call.row.decisions.get(timeout=CALLER_CHECK_INTERVAL_S)
            except queue.Empty:
                if gone():
                    self.scheduler.tell(Withdrawn(call.row.request))


class Attempt:
    """One dispatch of a call; its end is reported to the scheduler exactly once.

    Parameters
    ----------
    dispatcher : Dispatcher
        Provides the settings, scheduler, clock, metrics and connections.
    call : Call
        The call to send.
    dispatch : Dispatch
        The target and the stream id to use.
    """

    def __init__(self, dispatcher: Dispatcher, call: Call, dispatch: Dispatch) -> None:
        self.call = call
        self.dispatch = dispatch
        self.clock = dispatcher.clock
        self.dial = dispatcher.dial
        self.scheduler = dispatcher.scheduler
        self.reporter = DispatchReporter(
            call, dispatcher.scheduler, dispatcher.clock, dispatcher.metrics
        )
        name = RequestLocator(call.row.workspace, dispatch.target, dispatch.stream)
        self.identity = sign_request_id(dispatcher.settings.peers.secret, name)
        waited_s = self.clock.monotonic() - call.row.arrived
        dispatcher.metrics.queue_wait.observe({}, waited_s)

    def run(self, gone: Callable[[], bool], start_response) -> Iterable[bytes]:
        """Write the request to its target and answer with the result.

        Raises
        ------
        NotSent
            No byte was written; the scheduler may choose another target.
        """
        if gone():
            # The caller disconnected after the decision. Nothing was written yet, so
            # the target is spared the prefill.
            return self._refuse(
                start_response, refuse(Reason.CALLER_GONE, CALLER_GONE_DETAIL)
            )
        try:
            refusal = self.call.before_dispatch()
            if refusal:
                return self._refuse(start_response, refusal)
            if self.call.service.kind is ServiceKind.PLAIN:
                return self._call_plain(start_response)
            return self._answer_stream(gone, start_response)
        except NotSent:
            raise
        except TargetRefused as error:
            self._record_cooldown(error.cooldown_s)
            text = f"The target turned the request away: {error}."
            refusal = refuse(Reason.TARGET_REFUSED, text, REFUSED_RETRY_S)
            return self._refuse(start_response, refusal)
        except AnswerTruncated as error:
            self._handle_truncation(error)
            return self._refuse(start_response, error.refusal)
        except MayHaveRun as error:
            self._log_loss(error)
            return self._refuse(start_response, self._lost_refusal(error))
        except Exception:
            log.exception("A dispatch failed", extra={"request": self.identity})
            return self._refuse(start_response, internal_fault())

    def _refuse(self, start_response, refusal: Refusal) -> list[bytes]:
        self.reporter.report_end(refusal.outcome)
        return answer_problem(start_response, refusal, self.identity)

    def _lost_refusal(self, error: MayHaveRun) -> Refusal:
        """Return the refusal for a plain call without a complete answer."""
        if self.clock.monotonic() < self.call.row.deadline:
            return lost_refusal(str(error))
        return Refusal(RequestState.MAY_HAVE_RUN, Reason.DEADLINE, DEADLINE_DETAIL)

    def _call_plain(self, start_response) -> list[bytes]:
        row = self.call.row
        answer = call_service(
            self.dispatch.address,
            row.service,
            self.dispatch.stream,
            self.call.body,
            self.call.content_type,
            self.clock,
            row.deadline,
            self.dial,
        )
        self._record_cooldown(answer.cooldown_s)
        self.reporter.report_end(RequestState.COMPLETED)
        return answer_buffered(
            start_response,
            answer.status,
            answer.content_type,
            answer.body,
            self.identity,
        )

    def _record_cooldown(self, cooldown_s: float) -> None:
        """Tell the scheduler if the target has requested a cooldown."""
        if cooldown_s > 0:
            cooldown = CooldownStated(
                self.dispatch.target, self.dispatch.generation, cooldown_s
            )
            self.scheduler.tell(cooldown)

    def _answer_stream(
        self, gone: Callable[[], bool], start_response
    ) -> Iterable[bytes]:
        address, stream = self.dispatch.address, self.dispatch.stream
        opened = self._open_stream()
        row = self.call.row
        follower = StreamFollower(
            address, stream, self.clock, row.deadline, opened, self.dial
        )
        if self.call.streamed:
            start_events(start_response, self.identity)
            return StreamedAnswer(
                follower, self.reporter, self.identity, self._handle_truncation
            )

        def report_progress(tokens: int) -> None:
            self.reporter.report_progress(tokens)
            if gone() and self._should_cancel(tokens):
                refusal = Refusal(
                    RequestState.MAY_HAVE_RUN, Reason.CALLER_GONE, CALLER_GONE_DETAIL
                )
                raise AnswerTruncated(refusal)

        body = join_chunks(follower, self.identity, row.service, report_progress)
        self.reporter.report_end(RequestState.COMPLETED, follower.progress.tokens)
        return answer_buffered(
            start_response, 200, "application/json", body, self.identity
        )

    def _open_stream(self) -> EngineStream | None:
        """Dispatch the request; return None if the answer was lost.

        A request that was written is never written a second time. Its stream is
        resumed instead; resuming a stream id that the engine does not know starts
        nothing.

        Raises
        ------
        NotSent, TargetRefused
            See `godwitladder.engines.wire`.
        """
        address, stream = self.dispatch.address, self.dispatch.stream
        try:
            return open_stream(
                address, stream, self.call.body, IDLE_TIMEOUT_S, self.dial
            )
        except MayHaveRun as error:
            self._log_loss(error)
            return None

    def _log_loss(self, error: MayHaveRun) -> None:
        """Log that the target gave no answer, or a broken one."""
        extra = {
            "request": self.identity,
            "target": self.dispatch.target,
            "address": self.dispatch.address,
            "error": str(error),
        }
        log.info("The answer was lost", extra=extra)

    def _should_cancel(self, tokens: int) -> bool:
        """Return whether to cancel the work of a caller that has disconnected.

        That holds only if nobody can fetch the answer later: the caller of a joined
        answer does not know its request id yet, and without an idempotency key no
        retry finds the answer.
        """
        row = self.call.row
        if row.key is not None:
            return False
        action = disconnect_action(
            True, row.idempotent, False, tokens, row.predicted_tokens
        )
        return action is DisconnectAction.CANCEL

    def _handle_truncation(self, error: AnswerTruncated) -> None:
        """Log a truncated answer, and cancel the stream if its rest is of no use."""
        log.warning(
            "An answer was truncated",
            extra={"request": self.identity, "error": str(error)},
        )
        if error.refusal.reason not in (Reason.DEADLINE, Reason.CALLER_GONE):
            return
        try:
            cancel_stream(self.dispatch.address, self.dispatch.stream, self.dial)
        except (NotSent, MayHaveRun) as cancel_error:
            log.info(
                "Could not cancel a stream",
                extra={"request": self.identity, "error": str(cancel_error)},
            )
