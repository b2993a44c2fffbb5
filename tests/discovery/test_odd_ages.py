"""News of a peer whose age is no time that can have passed."""

import threading

import cbor2
import pytest

from godwitladder.clock import Clock, ManualClock
from godwitladder.discovery.messages import FeedWanted, KnownState
from godwitladder.membership.codec import InvalidMessage, decode, encode
from godwitladder.process.loops import Turns
from tests.discovery.test_discovery import MemorySource, make_feed

AGES = [-1e9, float("-inf")]
AGE_FIELD, READ_FIELD = 1, 6
KNOWN_FIELD, KNOWN_AGE_FIELD = 1, 3
MAX_WAIT_S = 2.6


@pytest.mark.parametrize("age_s", AGES)
def test_news_from_the_future_is_refused(age_s):
    """Guards against revoked keys that are let in for ever after one odd message."""
    source = MemorySource()
    source.put_document(1)
    sender, _ = make_feed(source, ManualClock(), hosts=("h1",))
    sender.step()
    name, fields = cbor2.loads(encode(sender.make_full_news()))
    fields[AGE_FIELD] = age_s
    with pytest.raises(InvalidMessage):
        decode(cbor2.dumps([name, fields]))


@pytest.mark.parametrize("read_s", [-1e9, float("-inf"), -0.001])
def test_news_of_a_read_that_took_less_than_no_time_are_refused(read_s):
    """Guards against hosts that all read the store at each step after one message."""
    news = make_news(read_s)
    with pytest.raises(InvalidMessage):
        decode(cbor2.dumps(news))


@pytest.mark.parametrize("read_s", [1e9, float("inf")])
def test_news_of_a_read_without_end_let_no_host_wait_for_ever(read_s):
    """Guards against hosts that never ask nor read again after one message."""
    clock, source = ManualClock(), MemorySource()
    source.put_document(1)
    other, _ = make_feed(source, clock, host="h2")
    other.step()
    other.apply_news(decode(cbor2.dumps(make_news(read_s))))
    clock.advance(MAX_WAIT_S)
    assert other.should_read(clock.boottime())


@pytest.mark.parametrize("age_s", AGES)
def test_a_state_from_the_future_is_refused(age_s):
    """Guards against an odd request that leads to an odd answer."""
    wanted = cbor2.loads(encode(FeedWanted("h2", KnownState(-1, 0, 0, 0.0))))
    wanted[1][KNOWN_FIELD][KNOWN_AGE_FIELD] = age_s
    with pytest.raises(InvalidMessage):
        decode(cbor2.dumps(wanted))


def make_news(read_s):
    """Return the decoded fields of news with an odd duration of their read."""
    clock, source = ManualClock(), MemorySource()
    source.put_document(1)
    sender, _ = make_feed(source, clock, hosts=("h1",))
    sender.step()
    name, fields = cbor2.loads(encode(sender.make_full_news()))
    fields[READ_FIELD] = read_s
    return [name, fields]


def test_a_pause_that_no_clock_can_wait_ends_no_loop():
    """Guards against a thread that ends, and its host with it, outside of a turn."""
    turns, stopping, again = Turns("part", Clock()), threading.Event(), []

    def turn():
        again.append(None)
        if len(again) > 1:
            stopping.set()
        return float("inf")

    turns.loop(stopping, turn)
    assert len(again) > 1
