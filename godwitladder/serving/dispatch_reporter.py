"""Reports the progress and the end of a dispatched request to the scheduler."""

import threading

import pykka

from godwitladder.clock import Clock
from godwitladder.metrics import Metrics
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.messages import Finished, Progress
from godwitladder.serving.calls import Call

# Reservations grow by whole predictions, so a smaller interval would change
# nothing, and each report costs a run of the scheduler's systems.
PROGRESS_INTERVAL_TOKENS = 64


class DispatchReporter:
    """Reports one dispatch; only the first report of its end counts.

    A dispatch whose end is never reported holds its target's slot forever: the
    target looks full and its service stops. An end that is reported twice breaks
    the state machine of the request.

    Parameters
    ----------
    call : Call
        The call that was dispatched.
    scheduler : pykka.ActorRef
        The scheduler's actor.
    clock : Clock
        The host's clock.
    metrics : Metrics
        The metrics to update.

    Attributes
    ----------
    ended : bool
        Whether the end has been reported.
    reported_tokens : int
        Number of tokens in the last progress report.
    first_s : float
        Seconds from the call's arrival to its first output; 0 for none.
    """

    def __init__(
        self, call: Call, scheduler: pykka.ActorRef, clock: Clock, metrics: Metrics
    ) -> None:
        self.call = call
        self.scheduler = scheduler
        self.clock = clock
        self.metrics = metrics
        self.ended = False
        self.reported_tokens = 0
        self.first_s = 0.0
        self.lock = threading.Lock()

    def report_progress(self, tokens: int) -> None:
        """Report the first output, then each further ``PROGRESS_INTERVAL_TOKENS``."""
        if tokens == 0 or (
            self.reported_tokens
            and tokens < self.reported_tokens + PROGRESS_INTERVAL_TOKENS
        ):
            return
        if not self.reported_tokens:
            waited_s = self.clock.monotonic() - self.call.row.arrived
            self.first_s = waited_s
            self.metrics.first_token.observe({}, waited_s)
        self.reported_tokens = tokens
        self.scheduler.tell(Progress(self.call.row.request, tokens))

    def report_end(self, state: RequestState, tokens: int = 0) -> None:
        """Report that the dispatch has ended in ``state``; later calls do nothing."""
        with self.lock:
            if self.ended:
                return
            self.ended = True
        row = self.call.row
        self.metrics.count_request(row.tier_rank, state)
        if state in (RequestState.FAILED, RequestState.MAY_HAVE_RUN):
            self.metrics.wasted_prefill.add({}, row.prompt_tokens)
        self.scheduler.tell(Finished(row.request, state, row.prompt_tokens, tokens))
        self.call.on_end(state)
