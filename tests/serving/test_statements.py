"""What targets state in their answers is passed on to the scheduler."""

from dataclasses import replace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.decisions.health.departures import Departures
from godwitladder.decisions.limits.cooldowns import Cooldowns
from godwitladder.decisions.limits.rate_limits import NO_LIMIT, RateLimits
from godwitladder.decisions.placing.stated_load import StatedLoad
from godwitladder.routing.calls import AnswerMetadata
from godwitladder.scheduler.messages import (
    CooldownStated,
    LeavingStated,
    RateLimitStated,
    SlowdownStated,
)
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.statements import TargetStatements
from tests.serving.test_passing import Bench, stack

__all__ = ["stack"]

DISPATCH = Dispatch("r", "r", "e0", "10.0.0.1:1", "7")


def answer(**fields):
    return AnswerMetadata("a1", "signed", False, **fields)


def make_statements(inbox, limits=None):
    return TargetStatements(
        inbox, ManualClock(), limits or RateLimits(), Departures(), Cooldowns()
    )


class Inbox:
    """Collects the messages to the scheduler."""

    def __init__(self):
        self.messages = []

    def tell(self, message):
        self.messages.append(message)


@pytest.fixture
def inbox():
    return Inbox()


def test_a_rate_limit_is_passed_on_with_the_generation(inbox):
    make_statements(inbox).record(DISPATCH, 200, answer(rate_limit=3.0))
    assert inbox.messages == [RateLimitStated("e0", "7", 3.0)]


def test_the_end_of_a_known_limit_is_passed_on(inbox):
    """Guards against a limit that stays after answers have stopped to state it."""
    limits = RateLimits()
    limits.observe("e0", "7", 3.0, 1.0, 1.0)
    make_statements(inbox, limits).record(DISPATCH, 200, answer())
    assert inbox.messages == [RateLimitStated("e0", "7", NO_LIMIT)]


def test_an_answer_that_states_nothing_costs_nothing(inbox):
    make_statements(inbox).record(DISPATCH, 200, answer())
    assert inbox.messages == []


def test_a_leaving_target_is_passed_on(inbox):
    make_statements(inbox).record(DISPATCH, 200, answer(leaving=True))
    assert inbox.messages == [LeavingStated("e0", "7")]


@pytest.mark.parametrize("status", [429, 503])
def test_a_cooldown_is_passed_on_from_a_refusal(inbox, status):
    metadata = answer(retry_after_s=3.0)
    make_statements(inbox).record(DISPATCH, status, metadata)
    assert inbox.messages == [CooldownStated("e0", "7", 3.0)]


def test_another_answer_asks_for_no_cooldown(inbox):
    metadata = answer(retry_after_s=3.0)
    make_statements(inbox).record(DISPATCH, 200, metadata)
    assert inbox.messages == []


def rate_limits(bench):
    """Return the statements of rate limits that have reached the scheduler."""
    return [row for row in bench.scheduler.others if isinstance(row, RateLimitStated)]


def statements_of(stack, path, **knobs):
    """Return the rate limits that a call to an engine with ``knobs`` passes on."""
    bench = Bench(stack)
    for name, value in knobs.items():
        setattr(bench.engines[0].standin.knobs, name, value)
    bench.call(path)
    return [message.requests_per_s for message in rate_limits(bench)]


@pytest.mark.parametrize(
    ("path", "knobs"),
    [
        ("/charge/x", {}),
        ("/charge/x", {"status": 500}),
        ("/charge/x", {"status": 429}),
        ("/charge/x", {"refuse": True}),
        ("/lookup/x", {}),
        ("/stream/stream/x", {}),
        ("/resume/stream/x", {}),
    ],
)
def test_answers_of_every_kind_are_looked_at(stack, path, knobs):
    """Guards against a way to a dispatch whose answers are not looked at."""
    assert statements_of(stack, path, rate_limit=3.0, **knobs) == [3.0]


@pytest.mark.parametrize("knobs", [{"name": "another"}, {"foreign": True}])
def test_answers_of_others_state_nothing(stack, knobs):
    """Guards against what another target, or an answer to another request, states."""
    assert statements_of(stack, "/charge/x", rate_limit=3.0, **knobs) == []


def test_the_answer_that_resumes_a_stream_is_looked_at(stack):
    bench = Bench(stack, engines=2)
    bench.engines[0].standin.knobs.cut_after = 2
    bench.engines[1].standin.knobs.rate_limit = 3.0
    bench.call("/resume/stream/x")
    (message,) = rate_limits(bench)
    assert message.requests_per_s == 3.0
    assert message.target == f"t-{bench.engines[1].address}"


def test_a_call_dispatched_before_its_target_left_is_not_written(stack):
    """Guards against a thread that is late to write what was dispatched in time."""
    bench = Bench(stack, engines=2)
    first, second = bench.engines
    bench.statements.departures.observe(f"t-{first.address}", "", 1.0)
    assert bench.call("/charge/x").status == 200
    assert not first.standin.arrivals
    assert len(second.standin.runs) == 1


def test_a_call_dispatched_before_its_target_asked_for_cooldown_is_not_written(stack):
    """Guards against a thread that is late to write what was dispatched in time."""
    bench = Bench(stack, engines=2)
    first, second = bench.engines
    now = bench.clock.monotonic()
    bench.statements.cooldowns.observe(f"t-{first.address}", "", 60.0, now)
    assert bench.call("/charge/x").status == 200
    assert not first.standin.arrivals
    assert len(second.standin.runs) == 1


def test_a_refused_call_that_may_not_be_sent_again_tells_of_the_cooldown(stack):
    """Guards against a cooldown that is learned only where another target is tried."""
    bench = Bench(stack)
    knobs = bench.engines[0].standin.knobs
    knobs.refuse, knobs.cooldown_s = True, 3.0
    answer = bench.call("/charge/x")
    assert answer.status == 503
    assert (
        CooldownStated(f"t-{bench.engines[0].address}", "", 3.0)
        in bench.scheduler.others
    )


def loaded(slowdown):
    """Return an answer that states a load."""
    return answer(load=StatedLoad(3, 0, 8, slowdown))


def test_a_slowdown_is_passed_on_at_most_once_in_the_interval(inbox):
    """Guards against a message to the scheduler for each answer of a busy target."""
    statements = make_statements(inbox)
    stated_at = statements.clock.monotonic()
    for _ in range(100):
        statements.record(DISPATCH, 200, loaded(2.5))
        statements.clock.advance(0.01)
    assert 9 <= len(inbox.messages) <= 10
    assert inbox.messages[0] == SlowdownStated("e0", "7", 2.5, stated_at)


def test_the_slowdown_of_another_process_is_passed_on_at_once(inbox):
    statements = make_statements(inbox)
    statements.record(DISPATCH, 200, loaded(2.5))
    statements.record(replace(DISPATCH, generation="8"), 200, loaded(1.0))
    assert [row.generation for row in inbox.messages] == ["7", "8"]


def test_a_load_without_a_slowdown_costs_nothing(inbox):
    """Guards against new messages where no target states the fourth figure."""
    statements = make_statements(inbox)
    statements.record(DISPATCH, 200, loaded(None))
    assert inbox.messages == []
    assert not statements.slowdowns_at


@pytest.mark.parametrize("path", ["/charge/x", "/stream/stream/x"])
def test_a_slowdown_in_an_answer_reaches_the_scheduler(stack, path):
    """Guards against a way to a dispatch whose answers are not looked at."""
    bench = Bench(stack)
    bench.engines[0].standin.knobs.load = "3,0,8,250"
    bench.call(path)
    stated = [r for r in bench.scheduler.others if isinstance(r, SlowdownStated)]
    assert [row.slowdown for row in stated] == [2.5]


@pytest.mark.parametrize("load", ["3,0,8", "3,0,8,much", ""])
def test_an_answer_without_a_valid_slowdown_sends_no_message(stack, load):
    """Guards against new messages where no target states the fourth figure."""
    bench = Bench(stack)
    bench.engines[0].standin.knobs.load = load
    assert bench.call("/charge/x").status == 200
    assert bench.scheduler.others == []
