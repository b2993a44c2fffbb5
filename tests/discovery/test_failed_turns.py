"""An unexpected error while the store is read or news is applied."""

import pytest

from godwitladder.clock import ManualClock
from godwitladder.discovery.read_timing import READ_INTERVAL_S
from godwitladder.membership.codec import decode, encode
from tests.discovery.test_discovery import MemorySource, make_feed

TURNS = 12
LEAVING = {"e1": True, "e2": False}


class Faulty:
    """A function that fails at some calls, with an error that nobody expects."""

    def __init__(self, function, *failing):
        self.function, self.failing = function, failing
        self.calls = 0

    def __call__(self, *args):
        self.calls += 1
        if self.calls in self.failing:
            raise ZeroDivisionError("unexpected")
        return self.function(*args)


@pytest.fixture
def source():
    store = MemorySource()
    store.put_document(1)
    store.put(b"one")
    store.put(b"two", "e2")
    return store


def turn(feed):
    feed.clock.advance(READ_INTERVAL_S)
    feed.turns.run(feed.step)


def age_s(feed):
    return feed.freshness.age_s(feed.clock.boottime())


def test_a_view_that_could_not_be_published_confirms_nothing(source):
    """Guards against a configuration that counts as confirmed and is not in force.

    The next read finds nothing new, and would confirm what no part of the host uses.
    """
    feed, views = make_feed(source, ManualClock(), hosts=("h1",))
    feed.publish = Faulty(views.append, 1, 2)
    for _ in range(2):
        turn(feed)
        assert not views and age_s(feed) > 0
    turn(feed)
    assert age_s(feed) == 0
    assert views[-1].document.version == 1 and len(views[-1].targets) == 2


def test_a_read_that_was_applied_in_part_is_applied_anew(source):
    """Guards against a host that never learns that a target leaves."""
    feed, views = make_feed(source, ManualClock(), hosts=("h1",))
    turn(feed)
    source.put(b"one leaves")
    feed.table.put = Faulty(feed.table.put, 1)
    turn(feed)
    assert age_s(feed) > 0
    turn(feed)
    assert age_s(feed) == 0
    assert {row.name: row.leaving for row in views[-1].targets} == LEAVING


def test_news_that_was_applied_in_part_is_read_from_the_store(source):
    """Guards against a host that skips what a peer has read after one error."""
    clock = ManualClock()
    sender, _ = make_feed(source, clock, hosts=("h1",))
    feed, views = make_feed(source, clock, host="h2", hosts=("h2",))
    turn(sender)
    feed.publish = Faulty(views.append, 1)
    feed.receive_news(decode(encode(sender.make_full_news())))
    assert feed.make_full_news() is None
    turn(feed)
    assert views[-1].document.version == 1 and len(views[-1].targets) == 2


def test_a_host_that_can_never_apply_a_read_is_not_confirmed(source):
    """Guards against a host that serves by an old configuration as if it were new."""
    feed, views = make_feed(source, ManualClock(), hosts=("h1",))
    turn(feed)
    source.put(b"one leaves")
    feed.source.decode_entry = Faulty(None, *range(TURNS * 3))
    answers, counted = [], []
    feed.turns.count = counted.append
    for _ in range(TURNS):
        turn(feed)
        feed.answer_request(answers.append)
    assert not feed.freshness.is_fresh(feed.clock.boottime())
    assert feed.document.version == 1 and not answers
    assert counted == ["feed"] * TURNS
