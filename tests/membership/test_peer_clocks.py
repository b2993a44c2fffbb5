"""Tests of how old the messages of peers are, whose clocks show other times."""

import math

import pytest

from godwitladder.clock import ManualClock
from godwitladder.membership.codec import decode
from godwitladder.membership.peer_clocks import (
    MAX_MEASUREMENT_AGE_S,
    MIN_INTERVAL_S,
    REFRESH_INTERVAL_S,
    ClockTold,
    ClockWanted,
    PeerClock,
    PeerClocks,
)

OTHER_START = 77_000.0


class OneEnd:
    """One end of a link, whose messages the test carries to the other one."""

    def __init__(self, clock):
        self.peer_clock = PeerClock()
        self.clocks = PeerClocks(clock)
        self.sent = []

    def send(self, data):
        self.sent.append(decode(data))


class Pair:
    """Two ends with clocks of their own, which run at the same speed."""

    def __init__(self):
        self.near_clock, self.far_clock = ManualClock(), ManualClock(OTHER_START)
        self.near, self.far = OneEnd(self.near_clock), OneEnd(self.far_clock)

    def advance(self, seconds):
        self.near_clock.advance(seconds)
        self.far_clock.advance(seconds)

    def carry(self):
        """Carry a question and its answer."""
        (wanted,) = self.near.sent
        assert isinstance(wanted, ClockWanted)
        self.near.sent.clear()
        self.far.clocks.receive_wanted(self.far, wanted)
        self.carry_answer()

    def carry_answer(self):
        self.near.clocks.receive_told(self.near, self.far.sent.pop())

    def age_s(self, sent_s):
        return self.near.clocks.age_s(self.near, sent_s)


@pytest.fixture
def pair():
    return Pair()


def test_a_message_that_waited_is_as_old_as_it_is(pair):
    """Guards against old news that a host takes for new after it stood still."""
    pair.near.clocks.ask(pair.near)
    pair.carry()
    sent_s = pair.far_clock.boottime()
    pair.advance(4.0)
    assert pair.age_s(sent_s) == 4.0


def test_an_answer_that_waited_makes_nothing_look_newer(pair):
    """Guards against a clock that is measured over a link that stood still."""
    pair.near.clocks.ask(pair.near)
    pair.far.clocks.receive_wanted(pair.far, pair.near.sent.pop())
    sent_s = pair.far_clock.boottime()
    pair.advance(4.0)
    pair.carry_answer()
    assert pair.age_s(sent_s) == 4.0


def test_a_question_that_waited_makes_messages_look_older(pair):
    pair.near.clocks.ask(pair.near)
    pair.advance(3.0)
    pair.carry()
    assert pair.age_s(pair.far_clock.boottime()) == 3.0
    pair.advance(MIN_INTERVAL_S)
    pair.near.sent.clear()
    # What looks late makes the host ask again.
    pair.age_s(pair.far_clock.boottime())
    pair.carry()
    assert pair.age_s(pair.far_clock.boottime()) == 0.0


def test_the_age_of_a_message_is_unknown_before_an_answer(pair):
    """Guards against news that confirm a document before the peer's clock is known."""
    assert pair.age_s(pair.far_clock.boottime()) == math.inf
    assert pair.age_s(None) == math.inf
    assert [type(row) for row in pair.near.sent] == [ClockWanted]


def test_an_answer_is_used_for_a_while_only(pair):
    """Guards against clocks of different speed that drift apart unnoticed."""
    pair.near.clocks.ask(pair.near)
    pair.carry()
    pair.advance(MAX_MEASUREMENT_AGE_S)
    assert pair.age_s(pair.far_clock.boottime()) == 0.0
    pair.advance(0.1)
    assert pair.age_s(pair.far_clock.boottime()) == math.inf


def test_a_clock_is_asked_for_again_before_the_answer_is_too_old(pair):
    pair.near.clocks.ask(pair.near)
    pair.carry()
    for _ in range(100):
        pair.advance(REFRESH_INTERVAL_S / 2)
        assert pair.age_s(pair.far_clock.boottime()) == 0.0
        if pair.near.sent:
            pair.carry()


def test_slower_answers_bridge_the_end_of_the_best_one(pair):
    """Guards against news that confirm nothing each time that an answer expires."""
    pair.near.clocks.ask(pair.near)
    pair.carry()
    for count in range(1, 100):
        pair.advance(REFRESH_INTERVAL_S / 2)
        assert pair.age_s(pair.far_clock.boottime()) <= 0.05
        if pair.near.sent:
            # Each answer is slower than the one before for a while.
            pair.advance(0.01 * (count % 4))
            pair.carry()
    assert len(pair.near.peer_clock.answers) <= 5


def test_an_answer_to_a_question_of_the_future_is_dropped(pair):
    """Guards against a faulty peer that makes its messages look new for ever."""
    now = pair.near_clock.boottime()
    pair.near.clocks.receive_told(pair.near, ClockTold(now + 1e9, 0.0))
    assert pair.age_s(pair.far_clock.boottime()) == math.inf
