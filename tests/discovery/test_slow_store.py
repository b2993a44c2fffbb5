"""How often hosts tell each other of what they read, while the store is slow."""

from dataclasses import dataclass, field

from godwitladder.clock import ManualClock
from godwitladder.discovery.feed import ASK_S, PERIOD_S, Feed
from godwitladder.routing.freshness import DocumentFreshness
from tests.discovery.test_discovery import MemorySource, make_feed, make_newcomer

STEP_S = 0.05
BOUND_S = 5.0
DOCUMENTS = 8


@dataclass
class SlowRegion:
    """Hosts that are all linked, and a store that takes its time.

    Attributes
    ----------
    reading : dict
        Of each host that reads: when the read began, when it ends, what it finds.
    told : int
        Copies of documents that hosts have sent to others.
    """

    count: int
    read_s: float
    reading: dict = field(default_factory=dict)
    told: int = 0

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
                DocumentFreshness(BOUND_S),
                lambda view: None,
            )
            feed.hosts = self.names
            feed.step()
            feed.broadcast = lambda news, teller=feed: self.tell(teller, news)
            self.feeds.append(feed)
        for feed in self.feeds:
            feed.read()
        self.told = 0

    def tell(self, teller: Feed, news) -> None:
        for feed in self.feeds:
            if feed is not teller:
                self.told += len(news.documents.records)
                feed.apply_news(news)

    def play(self, seconds: float) -> None:
        """Let time pass; a read ends a while after it began."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            now = self.clock.boottime()
            for feed in self.feeds:
                self.move(feed, now)

    def move(self, feed: Feed, now: float) -> None:
        if feed.host in self.reading:
            began, ends, documents, entries = self.reading[feed.host]
            if now >= ends:
                del self.reading[feed.host]
                feed.finish_read(documents, entries, began)
        elif now - feed.read_at >= PERIOD_S and feed.is_turn(now):
            feed.read_at = now
            documents = feed.fetch(self.source.read_documents, feed.next_document)
            entries = feed.fetch(self.source.read_entries, feed.next_entry)
            self.reading[feed.host] = now, now + self.read_s, documents, entries


def test_a_document_is_told_to_each_host_once_while_the_store_is_slow():
    """Guards against hosts that fill all links with what each of them has read.

    Reads take 0.8 s, so that news are older than hosts wait for them. All read
    by themselves, and each told all others of the whole new document.
    """
    region = SlowRegion(count=24, read_s=0.8)
    region.play(5)
    for version in range(2, 2 + DOCUMENTS):
        region.source.put_document(version)
        region.play(0.7)
    region.play(5)
    assert {feed.document.version for feed in region.feeds} == {1 + DOCUMENTS}
    assert region.told <= 2 * region.count * DOCUMENTS


def test_a_store_that_becomes_slow_is_read_by_a_few_hosts():
    region = SlowRegion(count=24, read_s=0.8)
    region.play(5)
    reads = region.source.reads
    region.play(10)
    assert region.source.reads - reads <= 2 * 2 * 10 / PERIOD_S


def test_a_host_that_restarts_among_others_does_not_tell_them_what_they_know():
    """Guards against a whole document over each link with each restart."""
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    restarted, _ = make_newcomer(source, clock, [], host="h2")
    restarted.reads_at_start = True
    told = []
    restarted.broadcast = told.append
    restarted.step()
    assert restarted.document.version == 1
    assert not told


def test_a_change_that_came_while_the_reader_restarted_is_known_to_all_at_once():
    """Guards against hosts that go by an old document until each reads by itself."""
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    other, _ = make_feed(source, clock, host="h2")
    other.step()
    source.put_document(2)
    reader, _ = make_newcomer(source, clock, [], host="h1")
    reader.reads_at_start = True
    reader.broadcast = other.apply_news
    reader.step()
    assert other.document.version == 2


def test_what_another_host_told_during_a_read_is_not_told_again():
    source, clock = MemorySource(), ManualClock()
    one, _ = make_feed(source, clock)
    two, _ = make_feed(source, clock, host="h2")
    one.step(), two.step(), two.read()
    source.put_document(1)
    began = clock.boottime()
    documents, entries = source.read_documents(0), source.read_entries(0)
    one.broadcast = two.apply_news
    clock.advance(PERIOD_S)
    one.step()
    told = []
    two.broadcast = told.append
    two.finish_read(documents, entries, began)
    (news,) = told
    assert (news.documents.start, news.documents.records) == (1, ())


def test_a_newcomer_asks_one_peer_at_a_time():
    """Guards against the whole document from every peer at once."""
    source, clock = MemorySource(), ManualClock()
    feed, _ = make_newcomer(source, clock, [])
    asked = []
    for peer in range(8):
        feed.request_state(lambda wanted, peer=peer: asked.append(peer) is None)
    assert asked == [0]
    clock.advance(ASK_S)
    feed.request_state(lambda wanted: asked.append(8) is None)
    assert asked == [0, 8]


def test_hosts_that_the_store_turns_away_hear_from_any_other():
    """Guards against strong hosts that serve nobody while weak ones read the store.

    The store turns away all that may read for others.
    """
    source, away, clock = MemorySource(), MemorySource(), ManualClock()
    source.put_document(1)
    strong, _ = make_feed(source, clock, hosts=("h1",))
    weak, _ = make_feed(source, clock, host="h9", hosts=("h1",))
    strong.step(), weak.step()
    weak.broadcast = strong.apply_news
    strong.source, away.away = away, True
    for _ in range(60):
        clock.advance(0.1)
        strong.step(), weak.step()
        assert strong.freshness.is_fresh(clock.boottime())
