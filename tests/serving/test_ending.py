"""The end of a dispatch is told to the scheduler once."""

from types import SimpleNamespace

from godwitladder.clock import ManualClock
from godwitladder.metrics import Metrics
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.messages import Finished, Progress
from godwitladder.serving.dispatch_reporter import PROGRESS_TOKENS, DispatchReporter


def make_ending():
    sent = []
    row = SimpleNamespace(request="r", tier_rank=0, prompt_tokens=9, arrived=0.0)
    call = SimpleNamespace(row=row, on_end=lambda state: None)
    scheduler = SimpleNamespace(tell=sent.append)
    return DispatchReporter(call, scheduler, ManualClock(), Metrics()), sent


def test_two_ways_out_of_a_dispatch_tell_its_end_once():
    """A stream ends just as its caller leaves: both ways out tell of it.

    The second one would break the request's state machine, and with it the
    scheduler's actor, which serves every other caller.
    """
    ending, sent = make_ending()
    ending.tell(RequestState.COMPLETED, 10)
    ending.tell(RequestState.MAY_HAVE_RUN, 10)
    assert sent == [Finished("r", RequestState.COMPLETED, 9, 10)]
    assert ending.metrics.requests.get({"rank": "0", "outcome": "completed"}) == 1


def test_progress_is_told_at_the_first_token_and_then_in_steps():
    ending, sent = make_ending()
    for tokens in range(2 * PROGRESS_TOKENS + 2):
        ending.report(tokens)
    steps = [1, 1 + PROGRESS_TOKENS, 1 + 2 * PROGRESS_TOKENS]
    assert sent == [Progress("r", tokens) for tokens in steps]
