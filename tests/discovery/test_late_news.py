"""News of peers that were long on the way: what they confirm."""

import pytest

from godwitladder.clock import ManualClock
from tests.discovery.test_discovery import MemorySource, make_feed
from tests.membership.test_peer_clocks import Pair

FROZEN_S = 3.9
MAX_AGE_S = 5.0


class ReaderAndOther:
    """A reader, another host with a clock of its own, and the news between them."""

    def __init__(self):
        self.pair = Pair()
        self.source = MemorySource()
        self.source.put_document(1)
        self.source.put(b"one")
        self.reader, _ = make_feed(self.source, self.pair.far_clock, "h1")
        self.other, _ = make_feed(self.source, self.pair.near_clock, "h2")
        self.pair.near.clocks.ask(self.pair.near)
        self.pair.carry()
        self.news = []
        self.reader.broadcast = self.news.append

    def deliver(self):
        news = self.news.pop(0)
        self.other.apply_news(news, self.pair.age_s(news.sent_s))

    def age_s(self):
        """Return how long ago the other host's document was confirmed."""
        return self.other.freshness.age_s(self.pair.near_clock.boottime())

    def accepts_keys(self):
        return self.other.freshness.is_fresh(self.pair.near_clock.boottime())


@pytest.fixture
def hosts():
    return ReaderAndOther()


def test_news_from_before_a_pause_confirm_what_was_so_before(hosts):
    """Guards against a revoked key that a host accepts after it stood still."""
    hosts.reader.step()
    hosts.deliver()
    hosts.pair.advance(0.6)
    hosts.reader.step()
    # The receiver is frozen; this news waits in its socket, and a key is revoked.
    hosts.pair.advance(FROZEN_S)
    hosts.deliver()
    assert hosts.age_s() == pytest.approx(FROZEN_S)
    hosts.pair.advance(MAX_AGE_S - FROZEN_S)
    assert not hosts.accepts_keys()


def test_news_that_arrive_at_once_confirm(hosts):
    hosts.reader.step()
    hosts.deliver()
    assert hosts.accepts_keys()
    assert hosts.other.document.version == 1


def test_news_of_unknown_age_are_used_and_confirm_nothing(hosts):
    """Guards against hosts of an earlier version whose news seem new for ever."""
    hosts.reader.step()
    news = hosts.news.pop()
    hosts.other.apply_news(news, hosts.pair.age_s(None))
    assert hosts.other.document.version == 1
    assert not hosts.accepts_keys()
    assert hosts.other.read_s == 0.0


def test_the_state_that_a_host_was_asked_for_is_dated_too(hosts):
    """Guards against old state that waited in the queue of a host that stood still."""
    hosts.reader.step()
    news = hosts.reader.make_full_news()
    hosts.pair.advance(FROZEN_S)
    hosts.other.apply_news(news, hosts.pair.age_s(news.sent_s))
    assert hosts.age_s() == pytest.approx(FROZEN_S)


def test_a_lost_document_that_a_host_tells_is_dated_too():
    """Guards against a document that the store lost and that seems new for ever."""
    clock = ManualClock()
    source = MemorySource()
    source.put_document(1)
    feed, _ = make_feed(source, clock)
    feed.step()
    sent = []
    feed.broadcast = sent.append
    feed.tell_document()
    assert sent[0].sent_s == clock.boottime()
