"""News of a peer whose age is no time that can have passed."""

import threading

import cbor2
import pytest

from godwitladder.clock import Clock, ManualClock
from godwitladder.membership.codec import InvalidMessage, decode, encode
from godwitladder.process.loops import Turns
from tests.discovery.test_discovery import MemorySource, make_feed

AGES = [-1e9, float("-inf")]
AGE_FIELD = 1


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
