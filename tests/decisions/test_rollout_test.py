"""The test of a new version against the old one."""

import pytest

from godwitladder.decisions.rollouts.evidence import (
    AnswerCounts,
    Evidence,
    time_bucket,
)
from godwitladder.decisions.rollouts.ratio_test import RatioTest, Verdict
from godwitladder.ids import HostId, Incarnation, Release, RouteName

NEW, OLD = Release("2"), Release("1")
LETTER, LOOKUP = RouteName("letter"), RouteName("lookup")
SOURCE = HostId("h1"), Incarnation(1)
TICK_S = 0.2


class Trial:
    """A test, and answers that arrive evenly."""

    def __init__(self):
        self.test, self.evidence = RatioTest(NEW), Evidence()
        self.sums, self.now = {}, 0.0

    def answer(self, release, route, good, failed=0, seconds=0.1, unanswered=0):
        """Add answers to those counted so far."""
        sent, goods, fails, times = self.sums.get((release, route), (0, 0, 0, {}))
        bucket = time_bucket(seconds)
        times = times | {bucket: times.get(bucket, 0) + good}
        sent += good + failed + unanswered
        row = self.sums[release, route] = (sent, goods + good, fails + failed, times)
        counts = AnswerCounts(*row[:3], tuple(sorted(times.items())))
        self.evidence.record(SOURCE, release, route, counts)

    def tick(self):
        """Let the test take in what was counted."""
        self.now += TICK_S
        self.test.update(self.evidence, self.now)
        return self.test.verdict()

    def play(self, ticks, new, old=(), route=LETTER):
        """Let both versions answer for some ticks; return the verdict."""
        for _ in range(ticks):
            self.answer(OLD, route, **(dict(good=20) | dict(old)))
            self.answer(NEW, route, **new)
            verdict = self.tick()
        return verdict


def test_a_version_like_the_old_one_is_proved():
    assert Trial().play(50, dict(good=2)) is Verdict.PROVED


def test_a_few_answers_prove_nothing():
    """Guards against versions that are completed on next to no evidence."""
    assert Trial().play(5, dict(good=2)) is Verdict.UNDECIDED


@pytest.mark.parametrize("good", [2, 9])
def test_a_version_that_fails_is_condemned(good):
    """Guards against a version that fails in every third or tenth answer."""
    assert Trial().play(15, dict(good=good, failed=1)) is Verdict.CONDEMNED


def test_a_version_that_is_slow_is_condemned():
    """Guards against a version that answers rightly, but three times as slow."""
    verdict = Trial().play(40, dict(good=2, seconds=0.3), dict(seconds=0.1))
    assert verdict is Verdict.CONDEMNED


def test_single_failures_condemn_nothing():
    trial = Trial()
    for _ in range(4):
        trial.play(25, dict(good=2), dict(good=20))
        trial.play(1, dict(good=1, failed=1), dict(good=20))
    assert trial.play(25, dict(good=2)) is Verdict.PROVED


def test_a_version_is_not_proved_right_after_failures():
    """Guards against a version that fails under load, seen in a few answers only."""
    trial = Trial()
    assert trial.play(60, dict(good=2)) is Verdict.PROVED
    assert trial.play(1, dict(good=1, failed=2)) is not Verdict.PROVED


def test_many_good_answers_do_not_hide_later_failures():
    """Guards against a version that turns bad late."""
    trial = Trial()
    assert trial.play(200, dict(good=4)) is Verdict.PROVED
    assert trial.play(10, dict(good=3, failed=1)) is Verdict.CONDEMNED


def test_failures_of_both_versions_condemn_nothing():
    """Guards against blame for a workspace whose calls all fail."""
    trial = Trial()
    trial.play(30, dict(good=2))
    trial.play(10, dict(good=2, failed=1), dict(good=20, failed=10))
    assert trial.play(60, dict(good=2)) is Verdict.PROVED


def test_what_is_slow_for_both_versions_condemns_nothing():
    """Guards against blame for everything being slow for some seconds."""
    trial = Trial()
    trial.play(30, dict(good=2))
    trial.play(20, dict(good=2, seconds=0.4), dict(seconds=0.4))
    assert trial.play(30, dict(good=2)) is Verdict.PROVED


def test_targets_that_are_slow_for_a_moment_condemn_nothing():
    """Guards against many answers of one slow target that count as independent."""
    trial = Trial()
    trial.play(30, dict(good=40), dict(good=100))
    trial.play(3, dict(good=40, seconds=0.25), dict(good=100))
    verdict = trial.play(30, dict(good=40), dict(good=100))
    assert verdict is not Verdict.CONDEMNED


def test_a_version_that_fails_on_one_route_is_condemned():
    """Guards against a fault that the good answers of other routes hide."""
    trial = Trial()
    for _ in range(20):
        trial.play(1, dict(good=20), route=LETTER)
        verdict = trial.play(1, dict(good=1, failed=1), route=LOOKUP)
    assert verdict is Verdict.CONDEMNED


def test_a_route_without_evidence_keeps_a_version_unproved():
    """Guards against a version that was tried on one route only."""
    trial = Trial()
    for _ in range(60):
        trial.answer(OLD, LOOKUP, 20)
        verdict = trial.play(1, dict(good=2), route=LETTER)
    assert verdict is Verdict.UNDECIDED


def test_a_version_that_does_not_answer_is_not_proved():
    """Guards against requests without an answer that nothing counts."""
    trial = Trial()
    assert trial.play(60, dict(good=2, unanswered=1)) is Verdict.UNDECIDED


def test_a_version_is_condemned_before_its_fiftieth_bad_answer():
    """Guards against a version that fails a little more often, on many requests."""
    trial = Trial()
    verdict = trial.play(49, dict(good=99, failed=1), dict(good=900))
    assert verdict is Verdict.CONDEMNED
    assert trial.evidence.new_version(NEW, LETTER).failed <= 50


def test_a_condemned_version_stays_condemned():
    """Guards against a version that recovers by the good answers still on their way."""
    trial = Trial()
    trial.play(15, dict(good=2, failed=1))
    assert trial.play(500, dict(good=9)) is Verdict.CONDEMNED


def test_an_allocator_that_takes_over_judges_by_all_answers():
    """Guards against a new allocator that begins without evidence."""
    trial = Trial()
    trial.play(50, dict(good=2))
    trial.test = RatioTest(NEW)
    trial.test.update(trial.evidence, 0.0)
    assert trial.test.verdict() is Verdict.UNDECIDED
    assert trial.play(4, dict(good=2)) is Verdict.PROVED


def test_a_fault_of_the_machines_of_one_version_looks_like_the_version():
    """States what cannot be told apart: it condemns, which harms no caller."""
    trial = Trial()
    trial.play(30, dict(good=2))
    assert trial.play(5, dict(good=0, failed=2)) is Verdict.CONDEMNED


def test_slower_machines_of_one_version_look_like_the_version():
    """States what cannot be told apart: it condemns, which harms no caller."""
    trial = Trial()
    trial.play(30, dict(good=2))
    assert trial.play(30, dict(good=2, seconds=0.25)) is Verdict.CONDEMNED
