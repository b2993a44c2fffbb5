"""The common pace of answers that are passed on."""

import pytest

from godwitladder.clock import ManualClock
from godwitladder.serving import pacing
from godwitladder.serving.pacing import Pace


class SleepingClock(ManualClock):
    """A clock on which a sleep takes no real time."""

    def __init__(self):
        super().__init__()
        self.slept_s = 0.0

    def sleep(self, seconds):
        self.slept_s += seconds
        self.advance(seconds)


def test_answers_within_the_pace_are_not_delayed():
    """Guards against ordinary answers that wait for nothing."""
    clock = SleepingClock()
    pace = Pace(clock)
    for _ in range(100):
        pace.keep(int(pacing.BYTES_PER_S * 0.009))
        clock.advance(0.01)
    assert clock.slept_s == 0


def test_endless_answers_keep_the_pace():
    """Guards against answers without end that take a whole core."""
    clock = SleepingClock()
    pace = Pace(clock)
    for _ in range(100):
        pace.keep(pacing.BYTES_PER_S // 10)
    assert clock.slept_s == pytest.approx(10, abs=2 * pacing.BURST_S)
