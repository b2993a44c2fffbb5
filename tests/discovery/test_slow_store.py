"""Tests of how often hosts read and broadcast while the store is slow."""

from dataclasses import dataclass, field

from godwitladder.clock import ManualClock
from godwitladder.discovery.feed import Feed
from godwitladder.discovery.peer_requests import REQUEST_INTERVAL_S
from godwitladder.discovery.read_timing import READ_INTERVAL_S
from godwitladder.routing.freshness import DocumentFreshness
from tests.discovery.test_discovery import MemorySource, make_feed, make_new_feed

STEP_S = 0.05
MAX_AGE_S = 5.0
DOCUMENTS = 8


@dataclass
class SlowRegion:
    """Fully linked hosts with a slow store.

    Attributes
    ----------
    reads_in_progress : dict
        Start, end and results of the read in progress, by host.
    sent_documents : int
        Number of document copies that hosts have sent to others.
    """

    count: int
    read_s: float
    reads_in_progress: dict = field(default_factory=dict)
    sent_documents: int = 0

    def __post_init__(self) -> None:
        self.source, self.clock = MemorySource(), ManualClock()
        self.source.put_document(1)
        self.names = tuple(f"h{number:02}" for number in range(self.count))
        self.feeds = []
        for name in self.names:
            feed = Feed(
                name,
                self.source,
                self.clock,
                DocumentFreshness(MAX_AGE_S),
                lambda view: None,
            )
            feed.hosts = self.names
            feed.step()
            feed.broadcast = lambda news, sender=feed: self.broadcast(sender, news)
            self.feeds.append(feed)
        for feed in self.feeds:
            feed.read()
        self.sent_documents = 0

    def broadcast(self, sender: Feed, news) -> None:
        for feed in self.feeds:
            if feed is not sender:
                self.sent_documents += len(news.documents.records)
                feed.apply_news(news)

    def run(self, seconds: float) -> None:
        """Advance the clock; a read ends ``read_s`` seconds after its start."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.boottime()
            for feed in self.feeds:
                self.step_feed(feed, now)

    def step_feed(self, feed: Feed, now: float) -> None:
        if feed.host in self.reads_in_progress:
            began, ends, documents, entries = self.reads_in_progress[feed.host]
            if now >= ends:
                del self.reads_in_progress[feed.host]
                feed.finish_read(documents, entries, began)
        elif now - feed.read_at >= READ_INTERVAL_S and feed.should_read(now):
            feed.read_at = now
            documents, entries = feed.fetch_both()
            self.reads_in_progress[feed.host] = (
                now,
                now + self.read_s,
                documents,
                entries,
            )


def test_a_document_is_sent_to_each_host_once_while_the_store_is_slow():
    """Guards against hosts that fill all links with the same document.

    Reads take 0.8 s, so that news arrives later than hosts wait for them without
    regard to the duration of a read. All hosts then read the store themselves, and
    each sends the whole new document to all others.
    """
    region = SlowRegion(count=24, read_s=0.8)
    region.run(5)
    for version in range(2, 2 + DOCUMENTS):
        region.source.put_document(version)
        region.run(0.7)
    region.run(5)
    assert {feed.document.version for feed in region.feeds} == {1 + DOCUMENTS}
    assert region.sent_documents <= 2 * region.count * DOCUMENTS


def test_a_store_that_becomes_slow_is_read_by_a_few_hosts():
    region = SlowRegion(count=24, read_s=0.8)
    region.run(5)
    reads = region.source.reads
    region.run(10)
    assert region.source.reads - reads <= 2 * 2 * 10 / READ_INTERVAL_S


def test_a_restarted_host_broadcasts_no_documents_that_others_have():
    """Guards against a whole document sent over each link at every restart."""
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    restarted, _ = make_new_feed(source, clock, [], host="h2")
    restarted.reads_at_start = True
    broadcasts = []
    restarted.broadcast = broadcasts.append
    restarted.step()
    assert restarted.document.version == 1
    assert not broadcasts


def test_a_change_that_came_while_the_reader_restarted_is_known_to_all_at_once():
    """Guards against hosts that use an old document until each reads the store."""
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    other, _ = make_feed(source, clock, host="h2")
    other.step()
    source.put_document(2)
    reader, _ = make_new_feed(source, clock, [], host="h1")
    reader.reads_at_start = True
    reader.broadcast = other.apply_news
    reader.step()
    assert other.document.version == 2


def test_records_received_during_a_read_are_not_broadcast_again():
    source, clock = MemorySource(), ManualClock()
    one, _ = make_feed(source, clock)
    two, _ = make_feed(source, clock, host="h2")
    one.step(), two.step(), two.read()
    source.put_document(1)
    began = clock.boottime()
    documents, entries = source.read_documents(0), source.read_entries(0)
    one.broadcast = two.apply_news
    clock.advance(READ_INTERVAL_S)
    one.step()
    broadcasts = []
    two.broadcast = broadcasts.append
    two.finish_read(documents, entries, began)
    (news,) = broadcasts
    assert (news.documents.start, news.documents.records) == (1, ())


def test_a_new_host_sends_its_request_to_one_peer_at_a_time():
    """Guards against answers with the whole document from every peer at once."""
    source, clock = MemorySource(), ManualClock()
    feed, _ = make_new_feed(source, clock, [])
    asked = []
    for peer in range(8):
        feed.request_state(lambda wanted, peer=peer: asked.append(peer) is None)
    assert asked == [0]
    clock.advance(REQUEST_INTERVAL_S)
    feed.request_state(lambda wanted: asked.append(8) is None)
    assert asked == [0, 8]


def test_hosts_that_the_store_turns_away_receive_news_from_any_other():
    """Guards against strong hosts that serve nobody while weak ones read the store.

    The store turns away all hosts in the reading order.
    """
    source, down, clock = MemorySource(), MemorySource(), ManualClock()
    source.put_document(1)
    strong, _ = make_feed(source, clock, hosts=("h1",))
    weak, _ = make_feed(source, clock, host="h9", hosts=("h1",))
    strong.step(), weak.step()
    weak.broadcast = strong.apply_news
    strong.source, down.unavailable = down, True
    for _ in range(60):
        clock.advance(0.1)
        strong.step(), weak.step()
        assert strong.freshness.is_fresh(clock.boottime())
