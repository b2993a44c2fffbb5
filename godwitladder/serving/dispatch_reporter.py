"""Tells the scheduler how a dispatched request has ended, exactly once."""

import threading

import pykka

from godwitladder.clock import Clock
from godwitladder.metrics import Metrics
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.messages import Finished, Progress
from godwitladder.serving.calls import Call

# Between two reports of the output seen so far. Reservations grow by whole
# predictions, so that finer steps would change nothing; each report costs a
# run of the scheduler's systems.
PROGRESS_TOKENS = 64


class DispatchReporter:
    """The end of one dispatch, told once on whatever way out comes first.

    A dispatch whose end is never told holds its target's slot for good: the
    target looks full and its service stops. One that is told twice breaks the
    state machine of the request.

    Parameters
    ----------
    call : Call
        What was dispatched.
    scheduler : pykka.ActorRef
        Whom to tell.
    clock : Clock
        The host's clock.
    metrics : Metrics
        Where to count.

    Attributes
    ----------
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
        self.told = False
        self.reported = 0
        self.first_s = 0.0
        self.lock = threading.Lock()

    def report(self, tokens: int) -> None:
        """Tell of output seen so far: the first, and then from time to time."""
        if tokens == 0 or (self.reported and tokens < self.reported + PROGRESS_TOKENS):
            return
        if not self.reported:
            waited = self.clock.monotonic() - self.call.row.arrived
            self.first_s = waited
            self.metrics.first_token.observe({}, waited)
        self.reported = tokens
        self.scheduler.tell(Progress(self.call.row.request, tokens))

    def tell(self, state: RequestState, tokens: int = 0) -> None:
        """Tell that the dispatch has ended in ``state``; later calls do nothing."""
        with self.lock:
            if self.told:
                return
            self.told = True
        row = self.call.row
        self.metrics.count_request(row.tier_rank, state)
        if state in (RequestState.FAILED, RequestState.MAY_HAVE_RUN):
            self.metrics.wasted_prefill.add({}, row.prompt_tokens)
        self.scheduler.tell(Finished(row.request, state, row.prompt_tokens, tokens))
        self.call.on_end(state)
