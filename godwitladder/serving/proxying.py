"""Passes one routed call to a target and its answer back, unchanged.

Whatever goes wrong, the caller gets its own whole answer, an answer that is
visibly broken, or a refusal that is true: "not run" is said only where no byte
was written or the target itself said that it ran nothing.
"""

import queue
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import pykka
import urllib3

from godwitladder.clock import Clock
from godwitladder.decisions.retry_budget import RetryBudget
from godwitladder.engines.wire import MayHaveRun, NotSent, connect, send
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.routing.calls import DispatchMetadata, HeaderCodec, RoutedCall
from godwitladder.scheduler.messages import Returned, ReturnProof, Submit, Withdrawn
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.answers import internal_fault
from godwitladder.serving.call_watcher import CallWatcher, Cause, OpenCall
from godwitladder.serving.dispatch_reporter import DispatchReporter
from godwitladder.serving.lateness import classify_lateness
from godwitladder.serving.losses import LossRegistry
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.streaming import StreamPassing
from godwitladder.serving.upstream import BufferedAnswer, NotRun, is_stream, read_whole

log = component_logger("passing")

CONNECT_S = 0.3
"""A connection within a region takes 1 to 5 ms. A target that drops it is full
or gone, and the call may still go to another one in time."""
IDLE_S = 60.0
"""Longest silence of a target on one connection; the watcher ends calls by
their own time long before."""
LEAST_S = 0.02
"""With less time left, a target could do nothing for the call."""
REFUSED_RETRY_S = 0.5
DECISION_S = 1.0
MISDIRECTED = 421
LATE = "The target gave no whole answer in time; it may have run."


@dataclass(frozen=True)
class RoutedProxy:
    """What every call needs.

    Attributes
    ----------
    form : HeaderCodec
        Names of headers on this platform.
    hosts : callable
        Returns how many hosts share the budget of repeats.
    """

    form: HeaderCodec
    scheduler: pykka.ActorRef
    clock: Clock
    metrics: Metrics
    watch: CallWatcher
    budget: RetryBudget
    losses: LossRegistry
    hosts: Callable[[], int]

    def serve(self, call: RoutedCall, gone, start_response) -> Iterable[bytes]:
        """Answer one call."""
        now = self.clock.monotonic()
        self.budget.note_request(call.row.service, now)
        passing = Passing(self, call, gone)
        self.scheduler.tell(Submit(call.row))
        return passing.run(start_response)


class Passing:
    """One call, from its arrival at the scheduler to the end of its answer.

    Attributes
    ----------
    sends : int
        How often it was written to a target.
    running : bool
        Whether the scheduler counts it as running at a target.
    resume_from : str
        Last event that the caller has of a stream which goes on elsewhere.
    kept : BufferedAnswer or None
        A failure that a target made, for want of a better answer.
    pause_s : float
        Longest time between two events of a stream.
    """

    def __init__(self, passer: RoutedProxy, call: RoutedCall, gone) -> None:
        self.passer = passer
        self.call = call
        self.clock = passer.clock
        self.sends = 0
        self.target = ""
        self.open = OpenCall(gone, call.deadline, self.withdraw)
        self.ending = DispatchReporter(
            call, passer.scheduler, passer.clock, passer.metrics
        )
        self.connection = None
        self.running = False
        self.resume_from = ""
        self.kept: BufferedAnswer | None = None
        self.pause_s = 0.0
        self.lost: MayHaveRun | None = None
        passer.watch.add(self.open)

    def withdraw(self) -> None:
        """Take the call back while it waits for a target."""
        self.passer.scheduler.tell(Withdrawn(self.call.row.request))

    def run(self, start_response) -> Iterable[bytes]:
        """Return the answer."""
        try:
            return self.answer(start_response)
        except BaseException:
            self.close()
            raise

    def answer(self, start_response) -> Iterable[bytes]:
        """Send the call until there is an answer or none can be had."""
        while True:
            decision = self.await_decision()
            if isinstance(decision, Refusal):
                return self.refuse(start_response, decision)
            try:
                response = self.send(decision)
                answer = self.take_answer(response, start_response)
                if answer is not None:
                    return answer
            except NotSent as error:
                self.note("Nothing was sent", decision, error)
                over = self.open.cause is not None
                self.hand_back(ReturnProof.NOTHING_SENT, avoid=not over)
            except NotRun as error:
                self.note("The target ran nothing", decision, error)
                refusal = self.after_not_run(error)
                if refusal:
                    return self.refuse_sent(start_response, refusal)
            except MayHaveRun as error:
                self.note("The answer was lost", decision, error)
                self.lost = error
                self.note_loss()
                if not self.repeat():
                    return self.refuse_sent(start_response, self.lost_refusal(error))
            except Exception:
                log.exception("A call failed", extra=self.names())
                return self.refuse_sent(start_response, internal_fault())

    def await_decision(self) -> Dispatch | Refusal:
        """Wait for the scheduler."""
        while True:
            try:
                decision = self.call.row.decisions.get(timeout=DECISION_S)
            except queue.Empty:
                continue
            self.running = isinstance(decision, Dispatch)
            return decision

    def send(self, dispatch: Dispatch) -> urllib3.BaseHTTPResponse:
        """Write the call to its target and return the head of the answer.

        Raises
        ------
        NotSent, NotRun, MayHaveRun
            As their names say.
        """
        self.target = dispatch.target
        connection = connect(dispatch.address, IDLE_S, CONNECT_S)
        self.connection = connection
        left_s = self.left_s()
        if self.open.cause is not None or left_s < LEAST_S:
            raise NotSent("the call is over")
        self.open.attach(connection.sock)
        self.sends += 1
        facts = DispatchMetadata(
            left_s, dispatch.target, self.call.workspace, self.resume_from
        )
        headers = self.passer.form.for_target(self.call.headers, facts)
        self.note_send(dispatch, left_s)
        response = send(
            connection, self.call.method, self.call.path, self.call.body, headers
        )
        return self.check_head(response)

    def check_head(
        self, response: urllib3.BaseHTTPResponse
    ) -> urllib3.BaseHTTPResponse:
        """Return ``response`` if it answers this call."""
        facts = self.passer.form.read_answer(response.headers)
        if facts.not_run or response.status == MISDIRECTED:
            raise NotRun(f"answered {response.status}")
        # A target may hand out another request's answer; its id tells.
        if facts.attempt != self.call.metadata.attempt:
            raise MayHaveRun("the answer belongs to another request")
        if 200 <= response.status < 300 and not facts.signature:
            raise MayHaveRun("the answer bears no signature")
        return response

    def take_answer(
        self, response: urllib3.BaseHTTPResponse, start_response
    ) -> Iterable[bytes] | None:
        """Return the target's answer as the caller's; None if it is tried again."""
        if is_stream(response):
            return StreamPassing(self, response).begin(start_response)
        body = read_whole(response)
        headers = self.passer.form.for_caller(response.headers.items())
        headers.append(("Content-Length", str(len(body))))
        whole = BufferedAnswer(
            f"{response.status} {response.reason or ''}", headers, body
        )
        if response.status >= 500 and self.repeat():
            self.kept = whole
            return None
        self.finish(RequestState.COMPLETED)
        return whole.start(start_response)

    def finish(self, state: RequestState, tokens: int = 0) -> None:
        """Tell the end of the call, and let go of its target."""
        self.close()
        if self.running:
            # A call that waits, or was refused while it did, holds no target.
            self.ending.tell(state, tokens)
        row = self.call.row
        took_s = self.clock.monotonic() - row.arrived
        first_s = self.ending.first_s or took_s
        lateness = classify_lateness(
            row, row.arrived + first_s, self.pause_s, self.call.route.gap_s
        )
        extra = self.names() | {
            "outcome": state.value,
            "lateness": lateness.value,
            "tokens": tokens,
            "prompt": row.prompt_tokens,
            "first_s": round(self.ending.first_s, 3),
            "pause_s": round(self.pause_s, 3),
            "took_s": round(took_s, 3),
        }
        log.info("A call has ended", extra=extra)

    def refuse(self, start_response, refusal: Refusal) -> Iterable[bytes]:
        """Answer a call that waits no longer.

        One that was sent before may have run there: the caller gets the
        failure that came of that, and no promise that nothing ran.
        """
        self.close()
        if self.kept:
            return self.kept.start(start_response)
        if self.lost:
            refusal = self.lost_refusal(self.lost)
        self.passer.metrics.count_refused_request(
            self.call.row.tier_rank, refusal.reason
        )
        extra = self.names() | {
            "reason": refusal.reason.value,
            "workspace": self.call.workspace,
            "rank": self.call.row.tier_rank,
            "charge": self.call.row.charge,
            "retry_after_s": refusal.retry_after_s,
            "body": self.call.row.body[:8],
            "wait_s": round(self.call.row.deadline - self.call.row.arrived, 3),
            "waited_s": round(self.clock.monotonic() - self.call.row.arrived, 3),
        }
        log.info("A call was refused", extra=extra)
        return answer_problem(start_response, refusal, exact=True)

    def refuse_sent(self, start_response, refusal: Refusal) -> Iterable[bytes]:
        """Answer a call that was sent and has no answer of its target."""
        self.finish(refusal.outcome)
        return answer_problem(start_response, refusal, exact=True)

    def after_not_run(self, error: NotRun) -> Refusal | None:
        """Hand the call back to wait, or return why it may not go on."""
        if self.may_send_again():
            self.hand_back(ReturnProof.TARGET_SAID)
            return None
        text = f"The target turned the request away: {error}."
        return refuse(Reason.TARGET_REFUSED, text, REFUSED_RETRY_S)

    def repeat(self) -> bool:
        """Hand an idempotent call back to wait; return whether that was done."""
        if not self.call.row.idempotent or not self.may_send_again():
            return False
        self.hand_back(ReturnProof.IDEMPOTENT)
        return True

    def may_send_again(self) -> bool:
        """Return whether one more send is within all bounds."""
        if self.open.cause is not None or self.left_s() < LEAST_S:
            return False
        if self.sends >= self.call.route.max_attempts:
            return False
        now = self.clock.monotonic()
        return self.passer.budget.take(self.call.row.service, self.passer.hosts(), now)

    def hand_back(self, proof: ReturnProof, avoid: bool = True) -> None:
        """Let the call wait for another target."""
        self.disconnect()
        self.running = False
        self.passer.scheduler.tell(Returned(self.call.row.request, proof, avoid))

    def lost_refusal(self, error: MayHaveRun) -> Refusal:
        """Return what to tell of a call that may have run."""
        if self.open.cause is Cause.TIMEOUT or self.left_s() <= 0:
            return Refusal(RequestState.MAY_HAVE_RUN, Reason.DEADLINE, LATE)
        text = f"The target was lost with the request: {error}."
        return Refusal(RequestState.MAY_HAVE_RUN, Reason.TARGET_LOST, text)

    def left_s(self) -> float:
        """Return the seconds left of the call's time."""
        return self.call.deadline - self.clock.monotonic()

    def disconnect(self) -> None:
        """Close the connection to the target."""
        self.open.detach()
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def close(self) -> None:
        """Let go of everything the call holds."""
        self.disconnect()
        self.passer.watch.remove(self.open)

    def names(self) -> dict[str, str]:
        """Return what a log line says of which call it is about."""
        return {
            "request": self.call.metadata.attempt,
            "route": self.call.route.name,
            "target": self.target,
        }

    def note(self, text: str, dispatch: Dispatch, error: Exception) -> None:
        """Log what became of a send."""
        cause = self.open.cause
        extra = self.names() | {
            "address": dispatch.address,
            "error": str(error),
            "cause": cause.value if cause else "",
        }
        log.info(text, extra=extra)

    def note_loss(self) -> None:
        """Remember that the target lost the answer, unless it was cut here."""
        if self.open.cause is None:
            self.passer.losses.report_loss(self.call.row.body, self.target)

    def note_send(self, dispatch: Dispatch, left_s: float) -> None:
        """Log a send."""
        waited_s = self.clock.monotonic() - self.call.row.arrived
        self.passer.metrics.queue_wait.observe({}, waited_s)
        extra = self.names() | {
            "waited_s": round(waited_s, 3),
            "left_s": round(left_s, 3),
            "body": self.call.row.body[:8],
            "workspace": self.call.workspace,
            "rank": self.call.row.tier_rank,
            "charge": self.call.row.charge,
            "send": self.sends,
        }
        log.info("A call is sent", extra=extra)
