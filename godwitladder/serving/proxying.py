"""Proxies one routed call to a target and returns the target's answer unchanged.

On any failure the caller gets its own complete answer, an answer that is
visibly truncated, or a truthful refusal: "not run" is reported only if no byte
was written or the target itself stated that it did not run the call.
"""

import queue
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import pykka
import urllib3

from godwitladder.clock import Clock
from godwitladder.decisions.limits.retry_budget import RetryBudget
from godwitladder.decisions.placing.stream_origins import StreamName, StreamOrigin
from godwitladder.engines.wire import (
    HTTP_MISDIRECTED,
    MayHaveRun,
    NoConnection,
    NoDescriptor,
    NotSent,
    send,
)
from godwitladder.ids import AttemptId
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.paths.connector import Connector, TargetConnection, UntriedGateways
from godwitladder.quarantine.gate import HeldBack, QuarantineGate
from godwitladder.rollouts.counts import AnswerResult, HostRollouts
from godwitladder.routing.calls import DispatchMetadata, HeaderCodec, RoutedCall
from godwitladder.scheduler.messages import (
    Returned,
    ReturnProof,
    Submit,
    TargetLost,
    Withdrawn,
)
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.answers import internal_fault
from godwitladder.serving.call_log import CallLog
from godwitladder.serving.call_memory import AnswerShare, CallMemory
from godwitladder.serving.call_watcher import AbortCause, CallWatcher, OpenCall
from godwitladder.serving.counting import CountedAnswer
from godwitladder.serving.dispatch_reporter import DispatchReporter
from godwitladder.serving.pacing import Pace
from godwitladder.serving.plain_answers import PlainAnswer
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.statements import TargetStatements
from godwitladder.serving.stream_origins import StreamOriginRegistry
from godwitladder.serving.streaming import ProxiedStream
from godwitladder.serving.target_evidence import TargetEvidence
from godwitladder.serving.upstream import ForeignAnswer, NotRun, is_stream
from godwitladder.serving.version_recorder import VersionRecorder

log = component_logger("passing")

IDLE_TIMEOUT_S = 60.0
"""Maximum silence of a target on one connection, in seconds. `CallWatcher` ends calls
at their own deadline long before."""
MIN_SEND_TIME_S = 0.02
"""Minimum remaining time for a send, in seconds. With less, no target can answer
in time."""
MAX_UNTRIED_ROUNDS = 2
"""Rounds of gateways that fail before the target of a call is avoided all the same. A
round may take half a second, and other targets may be idle."""
REFUSED_RETRY_S = 0.5
DECISION_POLL_INTERVAL_S = 1.0
NO_DESCRIPTOR_DETAIL = "This host has no descriptor for a connection now."
NO_DESCRIPTOR_RETRY_S = 0.5
"""Retry-After, in seconds; another host probably has some at once."""
NO_MEMORY_RETRY_S = 0.5
"""Retry-After of a host without memory for an answer; another one may have some."""
NO_MEMORY_DETAIL = "This host has no memory left for an answer."
STOPPING_RETRY_S = 0.1
"""Retry-After of a host that is stopping; other hosts can take the call at once."""
STOPPING_REFUSAL = refuse(Reason.STOPPING, "This host is stopping.", STOPPING_RETRY_S)
STOPPED_DETAIL = "This host stops before the target has answered; it may have run."
DEADLINE_DETAIL = "The target gave no whole answer in time; it may have run."


@dataclass(frozen=True)
class RoutedProxy:
    """Dependencies that all proxied calls share.

    Attributes
    ----------
    header_codec : HeaderCodec
        Reads and writes the headers of this platform.
    scheduler : pykka.ActorRef
        The scheduler's actor.
    clock : Clock
        The host's clock.
    metrics : Metrics
        The metrics to update.
    watcher : CallWatcher
        Aborts calls whose caller has disconnected or whose deadline has passed.
    retry_budget : RetryBudget
        Limits the retries of each service.
    quarantine : QuarantineGate
        Holds back calls that crash targets.
    statements : TargetStatements
        Receives what targets state about themselves in their answers.
    count_hosts : callable
        Returns the number of hosts that share the retry budget.
    connector : Connector
        Connects calls to their targets.
    origins : StreamOriginRegistry
        At which version streams began.
    memory : CallMemory
        Memory for the answers under way.
    pace : Pace
        Paces the answers that are passed on.
    rollouts : HostRollouts
        Counts the answers of versions during rollouts.
    """

    header_codec: HeaderCodec
    scheduler: pykka.ActorRef
    clock: Clock
    metrics: Metrics
    watcher: CallWatcher
    retry_budget: RetryBudget
    quarantine: QuarantineGate
    statements: TargetStatements
    count_hosts: Callable[[], int]
    connector: Connector
    origins: StreamOriginRegistry
    memory: CallMemory
    pace: Pace
    rollouts: HostRollouts = field(default_factory=HostRollouts)

    def serve(self, call: RoutedCall, gone, start_response) -> Iterable[bytes]:
        """Proxy one call and return the body of its answer.

        Parameters
        ----------
        call : RoutedCall
            The call to proxy.
        gone : callable
            Returns whether the caller has disconnected.
        start_response : callable
            The WSGI callable that takes the status and headers.
        """
        now = self.clock.monotonic()
        self.retry_budget.record_request(call.row.service, now)
        proxied_call = ProxiedCall(self, call, gone)
        self.scheduler.tell(Submit(call.row))
        return proxied_call.run(start_response)


class ProxiedCall:
    """One call, from its submission to the scheduler to the end of its answer.

    Attributes
    ----------
    log : CallLog
        Writes the log lines of the call.
    sends : int
        Number of times the call was written to a target.
    untried_rounds : int
        Rounds of gateways that opened no tunnel while others were left to ask.
    running : bool
        Whether the scheduler counts the call as running at a target.
    resume_from : str
        Id of the last event sent to the caller, from which another target
        resumes the stream.
    error_answer : PlainAnswer or None
        A target's error answer (status 500 or above), returned if no retry succeeds.
    pause_s : float
        Longest time between two events of the stream, in seconds.
    loss_error : MayHaveRun or None
        The error of the last send whose answer was lost.
    evidence : TargetEvidence
        What the call has shown of its targets.
    share : AnswerShare
        Memory for its answer.
    response : BaseHTTPResponse or None
        The response of the last send.
    counts : VersionRecorder
        What the call has shown of the versions that it was sent to.
    """

    def __init__(self, proxy: RoutedProxy, call: RoutedCall, gone) -> None:
        self.proxy = proxy
        self.call = call
        self.clock = proxy.clock
        self.sends = 0
        self.untried_rounds = 0
        self.log = CallLog(call, proxy.clock)
        self.open_call = OpenCall(gone, call.deadline, self.withdraw)
        self.reporter = DispatchReporter(
            call, proxy.scheduler, proxy.clock, proxy.metrics
        )
        self.connection: TargetConnection | None = None
        self.running = False
        self.resume_from = ""
        self.error_answer: PlainAnswer | None = None
        self.pause_s = 0.0
        self.loss_error: MayHaveRun | None = None
        self.evidence = TargetEvidence(
            call.traits, proxy.quarantine, proxy.clock, proxy.metrics
        )
        self.share = AnswerShare(proxy.memory)
        self.response: urllib3.BaseHTTPResponse | None = None
        self.counts = VersionRecorder(call, proxy.rollouts, proxy.clock, self.log)
        proxy.watcher.add(self.open_call)

    def withdraw(self) -> None:
        """Withdraw the call from the scheduler's queue.

        A call that waits as the host stops is refused here: the scheduler may have
        nothing to say of it, such as for a service without a target. It is not sent
        any more, whatever the scheduler decides.
        """
        decisions = self.call.row.decisions
        if self.open_call.cause is AbortCause.STOPPING and decisions.empty():
            decisions.put(STOPPING_REFUSAL)
        self.proxy.scheduler.tell(Withdrawn(self.call.row.request))

    def run(self, start_response) -> Iterable[bytes]:
        """Return the body of the answer; release all resources if that fails."""
        try:
            body = self.answer(start_response)
        except BaseException:
            self.close()
            self.share.close()
            raise
        return CountedAnswer(body, self.share.close)

    def answer(self, start_response) -> Iterable[bytes]:
        """Send the call until a target answers or no further send is allowed."""
        while True:
            decision = self.await_decision()
            if isinstance(decision, Refusal):
                return self.refuse(start_response, decision)
            if not self.share.open():
                return self.refuse_sent(start_response, self.memory_refusal())
            try:
                response = self.send(decision)
                answer = self.handle_answer(response, start_response)
                if answer is not None:
                    return answer
            except HeldBack as error:
                self.log_failed_send("A call was held back", decision, error)
                return self.refuse_sent(start_response, error.refusal)
            except NoDescriptor as error:
                self.log_failed_send("No descriptor is left", decision, error)
                refusal = refuse(
                    Reason.SHED, NO_DESCRIPTOR_DETAIL, NO_DESCRIPTOR_RETRY_S
                )
                return self.refuse_sent(start_response, refusal)
            except NotSent as error:
                self.log_failed_send("Nothing was sent", decision, error)
                aborted = self.open_call.cause is not None
                unreached = isinstance(error, NoConnection) and not aborted
                # The next send asks other gateways than those that failed.
                is_untried = isinstance(error, UntriedGateways)
                self.untried_rounds += is_untried
                says_nothing = aborted or (
                    is_untried and self.untried_rounds <= MAX_UNTRIED_ROUNDS
                )
                self.requeue(
                    ReturnProof.NOTHING_SENT,
                    not says_nothing,
                    unreached and not says_nothing,
                )
            except NotRun as error:
                self.log_failed_send("The target did not run the call", decision, error)
                refusal = self.requeue_or_refuse(error)
                if refusal:
                    return self.refuse_sent(start_response, refusal)
            except MayHaveRun as error:
                self.log_failed_send("The answer was lost", decision, error)
                self.loss_error = error
                self.record_loss(error)
                if not self.retry():
                    return self.refuse_sent(start_response, self.lost_refusal(error))
            except Exception:
                log.exception("A call failed", extra=self.log.fields())
                return self.refuse_sent(start_response, internal_fault())

    def await_decision(self) -> Dispatch | Refusal:
        """Wait until the scheduler dispatches or refuses the call."""
        while True:
            try:
                decision = self.call.row.decisions.get(timeout=DECISION_POLL_INTERVAL_S)
            except queue.Empty:
                continue
            self.running = isinstance(decision, Dispatch)
            return decision

    def send(self, dispatch: Dispatch) -> urllib3.BaseHTTPResponse:
        """Write the call to its target and return the response with its headers read.

        Raises
        ------
        NotSent
            No byte was written.
        NotRun
            The target stated that it did not run the call.
        MayHaveRun
            The answer was lost or belongs to another call.
        HeldBack
            Targets crashed under the request.
        """
        self.log.target = dispatch.target
        self.connection = self.proxy.connector.connect(
            dispatch.address, IDLE_TIMEOUT_S, self.left_s()
        )
        connection = self.connection.http
        left_s = self.left_s()
        if self.open_call.cause is not None or left_s < MIN_SEND_TIME_S:
            raise NotSent("the call was aborted or its deadline is too close")
        if not self.proxy.watcher.may_send():
            raise NotSent("the host is about to stop")
        self.proxy.statements.check(dispatch)
        self.evidence.begin(dispatch)
        self.counts.begin(dispatch)
        self.open_call.attach(connection.sock)
        self.sends += 1
        metadata = DispatchMetadata(
            left_s, dispatch.target, self.call.workspace, self.resume_from
        )
        headers = self.proxy.header_codec.for_target(self.call.headers, metadata)
        self.proxy.metrics.queue_wait.observe({}, self.log.age_s())
        gateway = self.connection.gateway
        self.log.record_send(dispatch, left_s, self.sends, gateway, self.resume_from)
        self.response = send(
            connection, self.call.method, self.call.path, self.call.body, headers
        )
        self.evidence.record_sign()
        # A head that ends with the connection looks complete.
        self.open_call.raise_if_aborted()
        return self.check_headers(dispatch, self.response)

    def check_headers(
        self, dispatch: Dispatch, response: urllib3.BaseHTTPResponse
    ) -> urllib3.BaseHTTPResponse:
        """Return ``response`` if its headers show that it answers this call.

        What they state about the target itself is recorded, whatever the status.

        Raises
        ------
        NotRun
            The target did not run the call.
        ForeignAnswer
            The response belongs to another call, or a success is unsigned.
        """
        metadata = self.proxy.header_codec.read_answer(response.headers)
        # An answer of another target, or to another request, states nothing about
        # this target now. A refusal may come without an attempt id.
        if response.status != HTTP_MISDIRECTED and metadata.attempt in (
            "",
            self.call.metadata.attempt,
        ):
            self.proxy.statements.record(dispatch, response.status, metadata)
        if metadata.not_run or response.status == HTTP_MISDIRECTED:
            raise NotRun(f"answered {response.status}")
        # A target may return the answer to another request, which has another attempt
        # id.
        if metadata.attempt != self.call.metadata.attempt:
            raise ForeignAnswer("the answer belongs to another request")
        if 200 <= response.status < 300 and not metadata.signature:
            raise ForeignAnswer("the answer bears no signature")
        return response

    def handle_answer(
        self, response: urllib3.BaseHTTPResponse, start_response
    ) -> Iterable[bytes] | None:
        """Return the body for the caller, or None if the call is retried instead."""
        if is_stream(response):
            return ProxiedStream(self, response).start(start_response)
        answer = PlainAnswer(self, response)
        answer.read()
        self.counts.record_output()
        if answer.complete or response.status >= 500:
            self.counts.record_status(response.status)
        if response.status >= 500 and self.retry():
            self.keep_error(answer)
            return None
        if answer.complete:
            answer.finish()
        return answer.start(start_response)

    def keep_error(self, answer: PlainAnswer) -> None:
        """Keep an error answer, for a caller whose call no other target answers."""
        answer.is_closed = True
        if answer.complete:
            self.error_answer = answer
        else:
            text = f"a long answer with status {answer.response.status}"
            self.loss_error = MayHaveRun(text)

    def finish(self, state: RequestState, tokens: int = 0) -> None:
        """Report the end of the call to the scheduler and release the target."""
        self.close()
        if self.running:
            # A call that was queued, or refused while queued, holds no target.
            self.reporter.report_end(state, tokens)
        first_s = self.reporter.first_s
        self.log.record_end(state, tokens, first_s, self.pause_s)

    def refuse(self, start_response, refusal: Refusal) -> Iterable[bytes]:
        """Answer a call that the scheduler refused.

        If it was sent before, it may have run: the caller then gets the error of that
        send instead of a refusal that says that nothing ran.
        """
        self.close()
        if self.error_answer is not None:
            return self.error_answer.start(start_response)
        refusal = self.true_refusal(refusal)
        self.proxy.metrics.count_refused_request(
            self.call.row.tier_rank, refusal.reason
        )
        self.log.record_refusal(refusal)
        return answer_problem(start_response, refusal, exact=True)

    def true_refusal(self, refusal: Refusal) -> Refusal:
        """Return ``refusal``, unless the call was sent before and may have run."""
        return self.lost_refusal(self.loss_error) if self.loss_error else refusal

    def refuse_sent(self, start_response, refusal: Refusal) -> Iterable[bytes]:
        """Answer a call that was sent and got no answer from its target.

        The last target may state that it ran nothing, after another one ran the call.
        """
        if refusal.outcome is RequestState.NOT_RUN:
            if self.error_answer is not None:
                self.finish(RequestState.FAILED)
                return self.error_answer.start(start_response)
            refusal = self.true_refusal(refusal)
        self.finish(refusal.outcome)
        return answer_problem(start_response, refusal, exact=True)

    def requeue_or_refuse(self, error: NotRun) -> Refusal | None:
        """Put the call back into the queue; if that isn't allowed, return a refusal."""
        if self.can_retry():
            self.requeue(ReturnProof.TARGET_SAID)
            return None
        text = f"The target turned the request away: {error}."
        return refuse(Reason.TARGET_REFUSED, text, REFUSED_RETRY_S)

    def retry(self) -> bool:
        """Put an idempotent call back into the queue; return whether that was done."""
        if not self.call.row.idempotent or not self.can_retry():
            return False
        # A tunnel that breaks is no sign that its target refuses requests.
        way_broke = self.connection is not None and self.connection.is_broken
        self.requeue(ReturnProof.IDEMPOTENT, avoid=not way_broke)
        return True

    def can_retry(self) -> bool:
        """Return whether the call may be sent once more, and if so count the retry.

        The remaining time, the number of sends and the retry budget have to allow it.
        """
        if self.open_call.cause is not None or self.left_s() < MIN_SEND_TIME_S:
            return False
        if self.sends >= self.call.route.max_attempts:
            return False
        now = self.clock.monotonic()
        return self.proxy.retry_budget.take(
            self.call.row.service, self.proxy.count_hosts(), now
        )

    def requeue(
        self, proof: ReturnProof, avoid: bool = True, unreached: bool = False
    ) -> None:
        """Put the call back into the scheduler's queue.

        Parameters
        ----------
        proof : ReturnProof
            Why sending the call again is safe.
        avoid : bool, default=True
            Whether to avoid the last target.
        unreached : bool, default=False
            Whether there was no connection to it.
        """
        self.disconnect()
        self.running = False
        self.proxy.scheduler.tell(
            Returned(self.call.row.request, proof, avoid, unreached)
        )

    def lost_refusal(self, error: MayHaveRun) -> Refusal:
        """Return the refusal for a call that may have run."""
        state = RequestState.MAY_HAVE_RUN
        if self.open_call.cause is AbortCause.STOPPING:
            return Refusal(state, Reason.TARGET_LOST, STOPPED_DETAIL)
        if self.open_call.cause is AbortCause.TIMEOUT or self.left_s() <= 0:
            return Refusal(state, Reason.DEADLINE, DEADLINE_DETAIL)
        text = f"The target was lost with the request: {error}."
        return Refusal(state, Reason.TARGET_LOST, text)

    def memory_refusal(self) -> Refusal:
        """Return the refusal for a call whose answer no memory is left for."""
        memory = self.proxy.memory
        extra = {"used": memory.used, "max": memory.max_bytes, "peak": memory.peak}
        log.warning("No memory is left for an answer", extra=extra)
        return refuse(Reason.SHED, NO_MEMORY_DETAIL, NO_MEMORY_RETRY_S)

    def left_s(self) -> float:
        """Return the time until the call's deadline in seconds."""
        return self.call.deadline - self.clock.monotonic()

    def disconnect(self) -> None:
        """Close the connection to the target, if there is one."""
        self.evidence.end()
        self.counts.record_end(AnswerResult.VOID)
        self.open_call.detach()
        if self.response is not None:
            # The response keeps the socket open, and a target may send without end.
            self.response.close()
            self.response = None
        if self.connection is not None:
            self.connection.http.close()
            self.connection = None

    def close(self) -> None:
        """Disconnect from the target and stop watching the call."""
        self.disconnect()
        self.proxy.watcher.remove(self.open_call)

    def log_failed_send(self, text: str, dispatch: Dispatch, error: Exception) -> None:
        """Log why a send failed."""
        self.log.record_failed_send(text, dispatch, error, self.open_call.cause)

    def record_loss(self, error: MayHaveRun) -> None:
        """Record that the answer of the last send was lost.

        A tunnel that breaks says nothing of the target, nor does the end of this host.
        """
        cause, is_broken = self.open_call.cause, self.connection.is_broken
        if cause is AbortCause.STOPPING:
            return
        if is_broken:
            self.proxy.connector.record_broken(self.connection.gateway)
        else:
            self.counts.record_loss(error, cause, self.evidence.silence_s())
        is_direct = not self.connection.gateway
        if self.evidence.record_loss(error, cause is not None, is_broken, is_direct):
            self.proxy.scheduler.tell(TargetLost(self.evidence.dispatch.target))

    def record_origin(self) -> None:
        """Record that the stream has begun; it goes on at this version only.

        A stream that was taken up keeps the version of its first event.
        """
        row = self.call.row
        if not self.call.route.resumable:
            return
        goes_on = bool(row.release)
        row.release = row.release or self.evidence.dispatch.release
        origin = StreamOrigin(row.service, row.release)
        stream = StreamName(AttemptId(self.call.metadata.attempt), row.body)
        self.proxy.origins.record(stream, origin, goes_on)
