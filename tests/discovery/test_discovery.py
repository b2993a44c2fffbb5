"""Targets and documents as hosts read them from the store or from each other."""

from dataclasses import replace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.discovery.feed import (
    AWAY_S,
    PERIOD_S,
    SILENCE_S,
    TURN_S,
    UNLINKED_S,
    UNTOLD_S,
    Feed,
)
from godwitladder.discovery.messages import FeedWanted
from godwitladder.discovery.source import (
    Batch,
    Record,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.discovery.targets import RETURN_S, TargetEntry, TargetTable
from godwitladder.membership.codec import decode, encode
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.routing.model import RoutingDocument

ONE = TargetEntry("e1", "letters", "10.0.0.1:1", "a", 8)
TWO = TargetEntry("e2", "letters", "10.0.0.2:1", "a", 8)
KNOWN = {b"one": ONE, b"two": TWO, b"one leaves": replace(ONE, leaving=True)}


class MemorySource:
    """A store in memory whose records are documents and targets by name."""

    def __init__(self):
        self.documents, self.entries = [], []
        self.away = False
        self.first = 0
        self.reads = 0

    def read_documents(self, offset):
        return self.read(self.documents, offset)

    def read_entries(self, offset):
        return self.read(self.entries, offset)

    def read(self, records, offset):
        self.reads += 1
        if self.away:
            raise StoreUnavailable("away")
        if offset < 0:
            newest = {record.key: record for record in records}
            kept = tuple(record for record in newest.values() if record.value)
            return Batch(-1, len(records), kept)
        if offset < self.first:
            raise StoreTrimmed("gone")
        return Batch(offset, len(records), tuple(records[offset:]))

    def put(self, value, key="e1"):
        self.entries.append(Record(len(self.entries), key, value))

    def put_document(self, version):
        record = Record(len(self.documents), "config", b"%d" % version)
        self.documents.append(record)

    def decode_document(self, record):
        return RoutingDocument(version=int(record.value))

    def decode_entry(self, record):
        return KNOWN.get(record.value)

    def decode_rollout(self, record):
        return None


def make_feed(source, clock, host="h1", hosts=("h1", "h2")):
    views = []
    feed = Feed(host, source, clock, DocumentFreshness(5.0), views.append)
    feed.hosts = hosts
    # No host that started a while ago waits for a peer to tell it all.
    feed.started = clock.boottime() - UNTOLD_S
    return feed, views


def make_newcomer(source, clock, tellers, host="h2"):
    """Return a feed that has just started, and asks the feeds in ``tellers``."""
    feed, views = make_feed(source, clock, host)
    feed.started = clock.boottime()

    def ask(wanted):
        assert wanted == FeedWanted(host)
        for teller in tellers:
            news = teller.all_news()
            if news is not None:
                feed.apply_news(decode(encode(news)))
        return bool(tellers)

    feed.send_request = ask
    return feed, views


def names(feed):
    return sorted(feed.table.entries)


def test_a_target_that_leaves_the_list_is_gone_at_once():
    table = TargetTable()
    table.put(ONE)
    assert table.drop("e1", now=100.0)
    assert not table.entries


def test_targets_that_lapsed_with_the_store_are_kept_until_they_are_back():
    """The store was away, and all entries have lapsed in it meanwhile.

    Every target works and writes itself anew within two seconds. Dropped at
    once, each caller would be refused for that long with all targets idle.
    """
    table = TargetTable()
    table.put(ONE)
    table.put(TWO)
    table.store_returned(100.0)
    assert not table.keep_only(set(), now=100.1)
    assert set(table.entries) == {"e1", "e2"}
    table.put(ONE)
    assert table.expire(100.0 + RETURN_S)
    assert set(table.entries) == {"e1"}


def test_a_target_that_had_said_it_leaves_is_not_waited_for():
    table = TargetTable()
    table.put(replace(ONE, leaving=True))
    table.store_returned(100.0)
    assert table.drop("e1", now=100.1)


def test_an_older_document_never_comes_back():
    """A host reads version 5, then a peer that is behind passes on version 4."""
    source, clock = MemorySource(), ManualClock()
    source.put_document(5)
    feed, views = make_feed(source, clock)
    feed.step()
    source.put_document(4)
    clock.advance(PERIOD_S)
    feed.step()
    assert feed.document.version == 5
    assert views[-1].document.version == 5


def test_one_host_reads_and_the_other_hears_of_it():
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    source.put(b"one")
    reader, _ = make_feed(source, clock)
    other, views = make_feed(source, clock, host="h2")
    reader.step(), other.step()
    reader.broadcast = other.apply_news
    reads = source.reads
    for _ in range(10):
        source.put(b"one")
        clock.advance(PERIOD_S)
        reader.step(), other.step()
    assert source.reads == reads + 20
    assert other.freshness.age_s(clock.boottime()) == 0.0
    source.put(b"one leaves")
    clock.advance(PERIOD_S)
    reader.step()
    assert views[-1].targets == (replace(ONE, leaving=True),)


def test_beats_that_say_nothing_new_are_not_passed_on():
    source, clock = MemorySource(), ManualClock()
    source.put(b"one")
    feed, _ = make_feed(source, clock)
    feed.step()
    news = []
    feed.broadcast = news.append
    source.put(b"one")
    source.put(b"two", "e2")
    clock.advance(PERIOD_S)
    feed.step()
    assert [row.key for row in news[0].entries.records] == ["e2"]


def test_a_target_that_came_back_while_the_reader_stood_still_is_known_to_all():
    """The host that reads for all is paused; a target leaves and comes back.

    The second host reads by itself meanwhile, after the target has gone. The
    first one wakes, finds the target as it knew it, and tells of its read. Left
    out of that, the target was unknown to the second host for good, and callers
    waited there for the others.
    """
    source, clock = MemorySource(), ManualClock()
    source.put(b"one")
    one, _ = make_feed(source, clock, "h1")
    two, _ = make_feed(source, clock, "h2")
    one.broadcast = two.apply_news
    one.step()
    assert names(two) == ["e1"]
    source.put(b"one leaves")
    source.put(b"")
    clock.advance(SILENCE_S + TURN_S + 0.1)
    two.step()
    assert names(two) == []
    source.put(b"one")
    one.step()
    assert names(one) == ["e1"]
    assert names(two) == ["e1"]


def test_a_host_that_hears_nothing_reads_by_itself():
    """The host that read for all is gone; no news comes any more."""
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    feed, _ = make_feed(source, clock, host="h2")
    feed.step()
    reads = source.reads
    clock.advance(SILENCE_S)
    feed.step()
    assert source.reads == reads
    clock.advance(2 * TURN_S)
    feed.step()
    assert source.reads == reads + 2


def test_news_after_a_gap_says_nothing():
    """A host missed one message: a target's leaving was in it.

    The next message begins after it. Taken in, it would prove the host's
    knowledge to be fresh, and the target would be used until it is gone.
    """
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    reader, _ = make_feed(source, clock)
    other, _ = make_feed(source, clock, host="h2")
    source.put(b"one")
    reader.step(), other.step()
    source.put(b"one leaves")
    clock.advance(PERIOD_S)
    reader.step()
    reader.broadcast = other.apply_news
    clock.advance(PERIOD_S)
    reader.step()
    assert other.freshness.age_s(clock.boottime()) > 1.5 * PERIOD_S


def test_history_that_is_gone_is_read_as_a_snapshot():
    """A target left, and the records that told so were compacted away."""
    source, clock = MemorySource(), ManualClock()
    source.put(b"one")
    source.put(b"two", "e2")
    feed, _ = make_feed(source, clock)
    feed.step()
    source.put(b"")
    source.put(b"two", "e2")
    source.first = 4
    clock.advance(PERIOD_S)
    feed.step()
    assert names(feed) == ["e2"]


def test_lapsed_entries_after_an_outage_are_waited_for():
    source, clock = MemorySource(), ManualClock()
    source.put(b"one")
    feed, _ = make_feed(source, clock)
    feed.step()
    source.away = True
    for _ in range(4):
        clock.advance(PERIOD_S)
        feed.step()
    assert names(feed) == ["e1"] and not feed.reachable
    source.away = False
    source.put(b"")
    clock.advance(max(PERIOD_S, AWAY_S))
    feed.step()
    assert names(feed) == ["e1"]
    clock.advance(RETURN_S)
    feed.step()
    assert names(feed) == []


def test_an_entry_nobody_can_read_harms_no_other():
    source, clock = MemorySource(), ManualClock()
    source.put(b"one")
    source.put(b"\xff", "e2")
    feed, _ = make_feed(source, clock)
    feed.step()
    assert names(feed) == ["e1"]


def test_a_host_that_starts_while_the_store_is_away_learns_all_from_a_peer():
    """The store is down, and a host starts; its peers serve on.

    Without what they know it would refuse every caller for as long as the
    store is away. It takes over the age of their proof too, so that it believes
    in keys no longer than they do.
    """
    source, clock = MemorySource(), ManualClock()
    source.put_document(3)
    source.put(b"one")
    source.put(b"two", key="e2")
    peer, _ = make_feed(source, clock)
    peer.step()
    source.away = True
    clock.advance(2.0)
    feed, views = make_newcomer(source, clock, [peer])
    feed.step()
    assert views[-1].document.version == 3
    assert views[-1].targets == (ONE, TWO)
    assert feed.freshness.age_s(clock.boottime()) == 2.0
    source.away = False
    source.put(b"one leaves")
    clock.advance(PERIOD_S)
    peer.broadcast = feed.apply_news
    peer.step()
    assert views[-1].targets == (replace(ONE, leaving=True), TWO)


def test_a_target_that_was_dropped_is_not_told_to_a_newcomer():
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    source.put(b"one")
    source.put(b"two", key="e2")
    peer, _ = make_feed(source, clock)
    peer.step()
    source.put(b"", key="e1")
    clock.advance(PERIOD_S)
    peer.step()
    feed, _ = make_newcomer(source, clock, [peer])
    feed.step()
    assert names(feed) == ["e2"]


def test_hosts_that_start_together_read_once_for_all():
    """All hosts start at once, and nobody can tell anybody anything yet.

    The one that reads for all reads; the others ask until it can tell them,
    and make no calls of their own.
    """
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    reader, _ = make_feed(source, clock)
    feed, _ = make_newcomer(source, clock, [reader])
    feed.step()
    assert feed.next_document < 0
    reader.step()
    clock.advance(0.3)
    feed.step()
    assert feed.document.version == 1
    assert source.reads == 2


@pytest.mark.parametrize(("tellers", "patience_s"), [(0, UNLINKED_S), (1, UNTOLD_S)])
def test_a_newcomer_that_nobody_tells_reads_by_itself(tellers, patience_s):
    """It has no peer, or one that knows as little as it does itself."""
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    mute = [make_feed(source, clock)[0] for _ in range(tellers)]
    feed, _ = make_newcomer(source, clock, mute)
    feed.step()
    clock.advance(patience_s - 0.1)
    feed.step()
    assert source.reads == 0
    clock.advance(0.2)
    feed.step()
    assert feed.document.version == 1


def test_a_host_that_knows_nothing_yet_answers_once_it_does():
    """All hosts were killed; one asks another that has just started as well.

    It is told as soon as the other one has read, without asking again.
    """
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    reader, _ = make_feed(source, clock)
    told = []
    reader.answer_request(told.append)
    assert not told
    reader.step()
    assert [news.documents.next for news in told] == [1]
    reader.answer_request(told.append)
    assert len(told) == 2


def test_a_host_that_others_dial_reads_at_once():
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    feed, _ = make_newcomer(source, clock, [])
    feed.reads_at_start = True
    feed.step()
    assert feed.document.version == 1
