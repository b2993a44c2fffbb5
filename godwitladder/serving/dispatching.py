"""Serving one request: wait for the decision, dispatch once, answer."""

import queue
from collections.abc import Callable, Iterable, Mapping

import pykka

from godwitladder.clock import Clock
from godwitladder.configuration.model import ServiceKind
from godwitladder.decisions.cancel import DisconnectAction, disconnect_action
from godwitladder.engines.engine import cancel_stream
from godwitladder.engines.service import call_service
from godwitladder.engines.wire import MayHaveRun, NotSent, TargetRefused
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.scheduler.messages import (
    NoFreeThread,
    NothingSent,
    Submit,
    Withdrawn,
)
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.answers import (
    StreamedAnswer,
    answer_whole,
    internal_fault,
    start_events,
)
from godwitladder.serving.calls import Call
from godwitladder.serving.dispatch_reporter import DispatchReporter
from godwitladder.serving.joining import join_chunks
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.relay import AnswerTruncated, StreamFollower, lost, open_for
from godwitladder.serving.request_ids import RequestLocator, sign_request_id
from godwitladder.settings import Settings

log = component_logger("callers")

GONE_CHECK_S = 0.5
REFUSED_RETRY_S = 1.0
GONE = "The caller is gone."
LATE = "The target gave no whole answer before the deadline; it may have run."


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
    is_crowded : callable
        Returns whether more calls are open than the host has threads for.
    """

    def __init__(
        self,
        settings: Settings,
        scheduler: pykka.ActorRef,
        clock: Clock,
        metrics: Metrics,
        is_crowded: Callable[[], bool],
    ) -> None:
        self.is_crowded = is_crowded
        self.settings = settings
        self.scheduler = scheduler
        self.clock = clock
        self.metrics = metrics

    def serve(self, call: Call, environ: Mapping, start_response) -> Iterable[bytes]:
        """Answer one call, once the scheduler has decided about it."""
        gone = environ.get("waitress.client_disconnected", lambda: False)
        self.scheduler.tell(Submit(call.row))
        if self.is_crowded():
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
                return call.row.decisions.get(timeout=GONE_CHECK_S)
            except queue.Empty:
                if gone():
                    self.scheduler.tell(Withdrawn(call.row.request))


class Attempt:
    """One dispatch and what comes of it; the scheduler hears of its end once.

    Parameters
    ----------
    dispatcher : Dispatcher
        Whose parts to use.
    call : Call
        What to send.
    dispatch : Dispatch
        Where to.
    """

    def __init__(self, dispatcher: Dispatcher, call: Call, dispatch: Dispatch) -> None:
        self.call = call
        self.dispatch = dispatch
        self.clock = dispatcher.clock
        self.ending = DispatchReporter(
            call, dispatcher.scheduler, dispatcher.clock, dispatcher.metrics
        )
        name = RequestLocator(call.row.workspace, dispatch.target, dispatch.stream)
        self.identity = sign_request_id(dispatcher.settings.peers.secret, name)
        waited = self.clock.monotonic() - call.row.arrived
        dispatcher.metrics.queue_wait.observe({}, waited)

    def run(self, gone: Callable[[], bool], start_response) -> Iterable[bytes]:
        """Write the request to its target and answer with what comes back.

        Raises
        ------
        NotSent
            No byte was written; the scheduler may choose another target.
        """
        if gone():
            # The caller left between the decision and now. Nothing was
            # written, so its prefill can still be saved.
            return self._refuse(start_response, refuse(Reason.CALLER_GONE, GONE))
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
            text = f"The target turned the request away: {error}."
            refusal = refuse(Reason.TARGET_REFUSED, text, REFUSED_RETRY_S)
            return self._refuse(start_response, refusal)
        except AnswerTruncated as error:
            self._note_cut(error)
            return self._refuse(start_response, error.refusal)
        except MayHaveRun as error:
            return self._refuse(start_response, self._lost_refusal(error))
        except Exception:
            log.exception("A dispatch failed", extra={"request": self.identity})
            return self._refuse(start_response, internal_fault())

    def _refuse(self, start_response, refusal: Refusal) -> list[bytes]:
        self.ending.tell(refusal.outcome)
        return answer_problem(start_response, refusal, self.identity)

    def _lost_refusal(self, error: MayHaveRun) -> Refusal:
        """Return what to tell of a plain call that has no whole answer."""
        if self.clock.monotonic() < self.call.row.deadline:
            return lost(str(error))
        return Refusal(RequestState.MAY_HAVE_RUN, Reason.DEADLINE, LATE)

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
        )
        self.ending.tell(RequestState.COMPLETED)
        return answer_whole(
            start_response,
            answer.status,
            answer.content_type,
            answer.body,
            self.identity,
        )

    def _answer_stream(
        self, gone: Callable[[], bool], start_response
    ) -> Iterable[bytes]:
        address, stream = self.dispatch.address, self.dispatch.stream
        opened = open_for(address, stream, self.call.body)
        row = self.call.row
        follower = StreamFollower(address, stream, self.clock, row.deadline, opened)
        if self.call.streamed:
            start_events(start_response, self.identity)
            return StreamedAnswer(follower, self.ending, self.identity, self._note_cut)

        def report(tokens: int) -> None:
            self.ending.report(tokens)
            if gone() and self._is_for_nobody(tokens):
                cut = Refusal(RequestState.MAY_HAVE_RUN, Reason.CALLER_GONE, GONE)
                raise AnswerTruncated(cut)

        body = join_chunks(follower, self.identity, row.service, report)
        self.ending.tell(RequestState.COMPLETED, follower.tally.tokens)
        return answer_whole(
            start_response, 200, "application/json", body, self.identity
        )

    def _is_for_nobody(self, tokens: int) -> bool:
        """Return whether to cancel work whose caller is gone.

        Only where nobody can come back for the answer: the caller of a joined
        answer was not told its id yet, and without a key no repeat finds it.
        """
        row = self.call.row
        if row.key is not None:
            return False
        fate = disconnect_action(
            True, row.idempotent, False, tokens, row.predicted_tokens
        )
        return fate is DisconnectAction.CANCEL

    def _note_cut(self, error: AnswerTruncated) -> None:
        """Log a cut answer, and spare the engine the rest of a useless one."""
        log.warning(
            "An answer was cut",
            extra={"request": self.identity, "error": str(error)},
        )
        if error.refusal.reason not in (Reason.DEADLINE, Reason.CALLER_GONE):
            return
        try:
            cancel_stream(self.dispatch.address, self.dispatch.stream)
        except (NotSent, MayHaveRun) as fault:
            log.info("No cancel", extra={"request": self.identity, "error": str(fault)})
