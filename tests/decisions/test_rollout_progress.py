"""A rollout from its order to its outcome."""

import pytest

from godwitladder.decisions.rollouts.evidence import (
    AnswerCounts,
    Evidence,
    time_bucket,
)
from godwitladder.decisions.rollouts.exposure import ExposureBudget
from godwitladder.decisions.rollouts.progress import (
    CutoverMode,
    Phase,
    RolloutLimits,
    RolloutProgress,
)
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.ids import HostId, Incarnation, Release, RouteName, ServiceName

NEW, OLD = Release("2"), Release("1")
ROUTE = RouteName("letter")
SOURCE = HostId("h1"), Incarnation(1)
DURATION_S = 12.0
ORDERED_AT = 100.0
DEADLINE = ORDERED_AT + DURATION_S
STEP_S = 0.1
REQUESTS = 20
SHARE, SLACK = 0.1, 50


class Rollout:
    """A rollout of which each request is answered at the next step."""

    def __init__(self, slack=SLACK, mode=CutoverMode.RESERVED):
        order = RolloutOrder(ServiceName("letters"), NEW, DURATION_S, 7)
        limits = RolloutLimits(SHARE, SLACK, mode=mode)
        self.progress = RolloutProgress(order, limits, ORDERED_AT)
        self.evidence, self.exposure = Evidence(), ExposureBudget(SHARE, slack)
        self.sums = {NEW: [0, 0], OLD: [0, 0]}
        self.now, self.requests, self.exposed, self.failing = ORDERED_AT, 0, 0, 0
        self.seen, self.cutover_at = [], None

    def play(self, until):
        """Send requests until a time; return the last step."""
        while self.now < until - 1e-6:
            step = self.play_step()
        return step

    def play_step(self):
        step = self.progress.step(self.evidence, self.exposure, self.now)
        self.seen.append(step)
        if step.phase is Phase.CUTOVER and self.cutover_at is None:
            self.cutover_at = self.now
        for index in range(REQUESTS):
            self.send(step, index)
        self.report()
        self.requests += REQUESTS
        self.now += STEP_S
        return step

    def send(self, step, index):
        allowed = self.exposure.may_expose(self.now, step.share, ROUTE)
        exposed = step.share > 0 and allowed
        if step.phase is not Phase.COMPLETED:
            self.exposure.record_granted(exposed, self.now, ROUTE)
        exposed = exposed or step.phase is Phase.COMPLETED
        self.exposed += exposed
        failed = exposed and self.exposed % 10 < self.failing
        self.sums[NEW if exposed else OLD][failed] += 1

    def report(self):
        for release, (good, failed) in self.sums.items():
            times = ((time_bucket(0.1), good),) if good else ()
            counts = AnswerCounts(good + failed, good, failed, times)
            self.evidence.record(SOURCE, release, ROUTE, counts)


@pytest.fixture(params=CutoverMode)
def rollout(request):
    return Rollout(mode=request.param)


def test_a_good_version_is_to_be_completed_before_the_deadline(rollout):
    step = rollout.play(DEADLINE - 0.1)
    assert step.phase is Phase.CUTOVER
    assert step.outcome is RolloutState.COMPLETED


def test_a_version_is_not_completed_early(rollout):
    """Guards against a bad version that gets everything for the rest of its time."""
    rollout.play(DEADLINE - 0.5)
    assert all(step.outcome is None for step in rollout.seen)


def test_the_exposure_stays_within_its_bound_until_the_deadline(rollout):
    """Guards against requests that arrive after the outcome and are not counted."""
    while rollout.now < DEADLINE - 1e-6:
        step = rollout.play_step()
        if step.outcome is not None:
            rollout.progress.record_outcome(step.outcome)
    assert rollout.progress.phase is Phase.COMPLETED
    assert rollout.exposed <= SHARE * rollout.requests + SLACK


def test_new_calls_go_to_the_new_version_alone_in_the_end():
    rollout = Rollout()
    rollout.play(DEADLINE - 0.1)
    assert rollout.seen[-1].new_only and rollout.seen[-1].share == 1.0
    assert DEADLINE - 3.0 < rollout.cutover_at < DEADLINE - 0.6


def test_a_condemned_version_gets_nothing():
    """Guards against requests that are sent to a version known to be bad."""
    rollout = Rollout()
    rollout.failing = 4
    step = rollout.play(ORDERED_AT + 6.0)
    assert step.phase is Phase.ROLLED_BACK and step.share == 0.0
    assert step.outcome is RolloutState.ROLLED_BACK
    before = rollout.exposed
    rollout.play(DEADLINE)
    assert rollout.exposed == before


def test_a_version_that_turns_bad_in_the_cutover_is_rolled_back():
    """Guards against a version that fails under full load only."""
    rollout = Rollout()
    while rollout.play_step().phase is not Phase.CUTOVER:
        rollout.failing = 0
    rollout.failing = 3
    rollout.play(DEADLINE)
    assert rollout.progress.phase is Phase.ROLLED_BACK
    assert rollout.exposed <= SHARE * rollout.requests + SLACK


def test_a_version_without_evidence_is_rolled_back_before_the_deadline():
    """Guards against an outcome that is written too late."""
    rollout = Rollout()
    rollout.report = lambda: None
    step = rollout.play(DEADLINE)
    assert step.outcome is RolloutState.ROLLED_BACK
    assert rollout.cutover_at is None


def test_a_completion_of_unknown_result_is_repeated_until_the_deadline():
    rollout = Rollout()
    assert rollout.play(DEADLINE).outcome is RolloutState.COMPLETED
    rollout.now = DEADLINE
    step = rollout.play_step()
    assert step.outcome is RolloutState.ROLLED_BACK and step.share == 0.0


@pytest.mark.parametrize("state", [RolloutState.COMPLETED, RolloutState.ROLLED_BACK])
def test_the_outcome_in_the_store_is_final(state):
    """Guards against a host that keeps its own outcome against the first one."""
    rollout = Rollout()
    rollout.play(ORDERED_AT + 3.0)
    rollout.progress.condemn()
    rollout.progress.record_outcome(state)
    step = rollout.play(DEADLINE + 1.0)
    assert step.phase.value == state.value


def test_the_status_of_a_running_rollout_changes_nothing():
    rollout = Rollout()
    rollout.progress.record_outcome(RolloutState.RUNNING)
    assert rollout.play_step().phase is Phase.TRIAL


def test_a_version_that_another_allocator_condemned_gets_nothing():
    """Guards against a new allocator that tries a condemned version again."""
    rollout = Rollout()
    rollout.progress.condemn()
    step = rollout.play(ORDERED_AT + 2.0)
    assert step.outcome is RolloutState.ROLLED_BACK and rollout.exposed == 0


def test_a_term_that_begins_in_the_last_second_does_not_cut_over():
    """Guards against a budget that is computed from a rate not yet known."""
    rollout = Rollout()
    rollout.play(DEADLINE - 1.2)
    rollout.exposure, rollout.cutover_at = ExposureBudget(SHARE, SLACK), None
    rollout.progress = RolloutProgress(
        rollout.progress.order, rollout.progress.limits, ORDERED_AT
    )
    rollout.play(DEADLINE)
    assert rollout.cutover_at is None


def test_terms_that_follow_each_other_stay_within_the_bound_together():
    """Guards against a budget that a new allocator begins anew."""
    rollout = Rollout()
    rollout.play(ORDERED_AT + 8.0)
    rollout.exposure = ExposureBudget(SHARE)
    rollout.progress = RolloutProgress(
        rollout.progress.order, rollout.progress.limits, ORDERED_AT
    )
    rollout.play(DEADLINE)
    assert rollout.exposed <= SHARE * rollout.requests + SLACK
