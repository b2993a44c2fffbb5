"""The end of a dispatch is reported to the scheduler exactly once."""

from types import SimpleNamespace

from godwitladder.clock import ManualClock
from godwitladder.metrics import Metrics
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.messages import Finished, Progress
from godwitladder.serving.dispatch_reporter import (
    PROGRESS_INTERVAL_TOKENS,
    DispatchReporter,
)


def make_reporter():
    sent = []
    row = SimpleNamespace(request="r", tier_rank=0, prompt_tokens=9, arrived=0.0)
    call = SimpleNamespace(row=row, on_end=lambda state: None)
    scheduler = SimpleNamespace(tell=sent.append)
    return DispatchReporter(call, scheduler, ManualClock(), Metrics()), sent


def test_two_exit_paths_report_the_end_of_a_dispatch_once():
    """A stream ends just as its caller disconnects: both exit paths report the end.

    A second report would break the request's state machine, and with it the
    scheduler's actor, which serves all other callers.
    """
    reporter, sent = make_reporter()
    reporter.report_end(RequestState.COMPLETED, 10)
    reporter.report_end(RequestState.MAY_HAVE_RUN, 10)
    assert sent == [Finished("r", RequestState.COMPLETED, 9, 10)]
    assert reporter.metrics.requests.get({"rank": "0", "outcome": "completed"}) == 1


def test_progress_is_reported_at_the_first_token_and_then_in_steps():
    reporter, sent = make_reporter()
    for tokens in range(2 * PROGRESS_INTERVAL_TOKENS + 2):
        reporter.report_progress(tokens)
    steps = [1, 1 + PROGRESS_INTERVAL_TOKENS, 1 + 2 * PROGRESS_INTERVAL_TOKENS]
    assert sent == [Progress("r", tokens) for tokens in steps]
