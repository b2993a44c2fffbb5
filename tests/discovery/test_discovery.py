"""Tests of how hosts get targets and documents from the store and from peers."""

from dataclasses import replace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.discovery.feed import UNLINKED_START_TIMEOUT_S, Feed
from godwitladder.discovery.read_timing import (
    NEWS_TIMEOUT_S,
    READ_INTERVAL_S,
    TAKEOVER_DELAY_S,
    read_age_s,
)
from godwitladder.discovery.source import (
    Batch,
    Record,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.discovery.state_exchange import PEER_ANSWER_TIMEOUT_S
from godwitladder.discovery.store_copy import OUTAGE_THRESHOLD_S, outage_threshold_s
from godwitladder.discovery.targets import REMOVAL_DELAY_S, TargetEntry, TargetTable
from godwitladder.membership.codec import decode, encode
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.routing.model import RoutingDocument

ONE = TargetEntry("e1", "letters", "10.0.0.1:1", "a", 8)
TWO = TargetEntry("e2", "letters", "10.0.0.2:1", "a", 8)
KNOWN = {b"one": ONE, b"two": TWO, b"one leaves": replace(ONE, leaving=True)}


class MemorySource:
    """In-memory store; a record's value names one of `KNOWN`, or is a version."""

    def __init__(self):
        self.documents, self.entries = [], []
        self.unavailable = False
        self.first = 0
        self.reads = 0

    def read_documents(self, offset):
        return self.read(self.documents, offset)

    def read_entries(self, offset):
        return self.read(self.entries, offset)

    def read(self, records, offset):
        self.reads += 1
        if self.unavailable:
            raise StoreUnavailable("unavailable")
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
    # As if started long ago: the feed does not wait for a peer's state.
    feed.started = clock.boottime() - PEER_ANSWER_TIMEOUT_S
    return feed, views


def make_new_feed(source, clock, peers, host="h2"):
    """Return a newly started feed that requests state from the feeds in ``peers``."""
    feed, views = make_feed(source, clock, host)
    feed.started = clock.boottime()

    def ask(wanted):
        assert wanted.host == host
        for sender in peers:
            if wanted.known is not None:
                sender.answer_request(feed.apply_news, wanted.known)
                continue
            news = sender.make_full_news()
            if news is not None:
                feed.apply_news(decode(encode(news)))
        return bool(peers)

    feed.send_request = ask
    return feed, views


def names(feed):
    return sorted(feed.table.entries)


def test_a_target_removed_from_the_store_is_gone_at_once():
    table = TargetTable()
    table.put(ONE)
    assert table.remove("e1", now=100.0)
    assert not table.entries


def test_targets_that_expired_in_an_outage_are_kept_until_rewritten():
    """Guards against refusing all callers after a store outage.

    All entries expired in the store during the outage. Every target works and rewrites
    its entry within 2 s; if entries were removed at once, all callers would be refused
    for that time while every target is idle.
    """
    table = TargetTable()
    table.put(ONE)
    table.put(TWO)
    table.record_store_return(100.0)
    assert not table.keep_only(set(), now=100.1)
    assert set(table.entries) == {"e1", "e2"}
    table.put(ONE)
    assert table.expire(100.0 + REMOVAL_DELAY_S)
    assert set(table.entries) == {"e1"}


@pytest.mark.parametrize("heartbeat_s", [0.4, 0.6, 1.2, 3.0])
def test_no_entry_can_expire_in_what_counts_as_no_outage(heartbeat_s):
    """Guards against live targets that all go as a short outage of the store ends.

    The last heartbeat may have been due as the outage began, and an entry goes after
    three without one.
    """
    assert outage_threshold_s(heartbeat_s) + heartbeat_s < 3 * heartbeat_s


@pytest.mark.parametrize("heartbeat_s", [1.2, 2.0])
def test_a_wait_for_news_is_no_outage(heartbeat_s):
    """Guards against targets that stay after they left, as a host read on its own."""
    assert read_age_s(0.0, 10, bound_s=2.0) < outage_threshold_s(heartbeat_s) - 0.2


def test_a_leaving_target_is_removed_without_delay():
    table = TargetTable()
    table.put(replace(ONE, leaving=True))
    table.record_store_return(100.0)
    assert table.remove("e1", now=100.1)


def test_a_document_is_never_replaced_by_an_older_one():
    """Guards against a return to version 4, read after version 5 is in use."""
    source, clock = MemorySource(), ManualClock()
    source.put_document(5)
    feed, views = make_feed(source, clock)
    feed.step()
    source.put_document(4)
    clock.advance(READ_INTERVAL_S)
    feed.step()
    assert feed.document.version == 5
    assert views[-1].document.version == 5


def test_one_host_reads_and_broadcasts_to_the_other():
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
        clock.advance(READ_INTERVAL_S)
        reader.step(), other.step()
    assert source.reads == reads + 20
    assert other.freshness.age_s(clock.boottime()) == 0.0
    source.put(b"one leaves")
    clock.advance(READ_INTERVAL_S)
    reader.step()
    assert views[-1].targets == (replace(ONE, leaving=True),)


def test_unchanged_heartbeats_are_not_broadcast():
    source, clock = MemorySource(), ManualClock()
    source.put(b"one")
    feed, _ = make_feed(source, clock)
    feed.step()
    news = []
    feed.broadcast = news.append
    source.put(b"one")
    source.put(b"two", "e2")
    clock.advance(READ_INTERVAL_S)
    feed.step()
    assert [row.key for row in news[0].entries.records] == ["e2"]


def test_a_target_that_came_back_while_the_reader_was_paused_is_known_to_all():
    """Guards against a target that one host never learns of again.

    The reader is paused while a target leaves and comes back. The second host reads
    the store after the target has left. The reader resumes, finds the target as it
    knew it, and broadcasts its read. If that omitted the target, the second host would
    never learn of it again, and callers there would wait for the other targets.
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
    clock.advance(NEWS_TIMEOUT_S + TAKEOVER_DELAY_S + 0.1)
    two.step()
    assert names(two) == []
    source.put(b"one")
    one.step()
    assert names(one) == ["e1"]
    assert names(two) == ["e1"]


def test_a_host_without_news_reads_the_store():
    """Guards against stale state when the reader has failed and no news arrives."""
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    feed, _ = make_feed(source, clock, host="h2")
    feed.step()
    reads = source.reads
    clock.advance(NEWS_TIMEOUT_S)
    feed.step()
    assert source.reads == reads
    clock.advance(2 * TAKEOVER_DELAY_S)
    feed.step()
    assert source.reads == reads + 2


def test_news_after_a_gap_is_ignored():
    """Guards against state that counts as fresh although a message was lost.

    The lost message says that a target leaves. The next one starts after it; if it
    were applied, the host's state would count as fresh, and the host would use the
    target until it is gone.
    """
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    reader, _ = make_feed(source, clock)
    other, _ = make_feed(source, clock, host="h2")
    source.put(b"one")
    reader.step(), other.step()
    source.put(b"one leaves")
    clock.advance(READ_INTERVAL_S)
    reader.step()
    reader.broadcast = other.apply_news
    clock.advance(READ_INTERVAL_S)
    reader.step()
    assert other.freshness.age_s(clock.boottime()) > 1.5 * READ_INTERVAL_S


def test_trimmed_history_is_read_as_a_snapshot():
    """Guards against a target that stays after its removal record was compacted."""
    source, clock = MemorySource(), ManualClock()
    source.put(b"one")
    source.put(b"two", "e2")
    feed, _ = make_feed(source, clock)
    feed.step()
    source.put(b"")
    source.put(b"two", "e2")
    source.first = 4
    clock.advance(READ_INTERVAL_S)
    feed.step()
    assert names(feed) == ["e2"]


def test_expired_entries_are_removed_with_delay_after_an_outage():
    source, clock = MemorySource(), ManualClock()
    source.put(b"one")
    feed, _ = make_feed(source, clock)
    feed.step()
    source.unavailable = True
    for _ in range(4):
        clock.advance(READ_INTERVAL_S)
        feed.step()
    assert names(feed) == ["e1"] and not feed.reachable
    source.unavailable = False
    source.put(b"")
    clock.advance(max(READ_INTERVAL_S, OUTAGE_THRESHOLD_S))
    feed.step()
    assert names(feed) == ["e1"]
    clock.advance(REMOVAL_DELAY_S)
    feed.step()
    assert names(feed) == []


def test_an_unreadable_entry_does_not_affect_others():
    source, clock = MemorySource(), ManualClock()
    source.put(b"one")
    source.put(b"\xff", "e2")
    feed, _ = make_feed(source, clock)
    feed.step()
    assert names(feed) == ["e1"]


def test_a_host_that_starts_during_an_outage_gets_its_state_from_a_peer():
    """Guards against a host that refuses all callers until the store is back.

    The host starts during a store outage while its peers keep serving, and gets its
    state from a peer. It takes over the age of that state too, so that it accepts keys
    no longer than the peer does.
    """
    source, clock = MemorySource(), ManualClock()
    source.put_document(3)
    source.put(b"one")
    source.put(b"two", key="e2")
    peer, _ = make_feed(source, clock)
    peer.step()
    source.unavailable = True
    clock.advance(2.0)
    feed, views = make_new_feed(source, clock, [peer])
    feed.step()
    assert views[-1].document.version == 3
    assert views[-1].targets == (ONE, TWO)
    assert feed.freshness.age_s(clock.boottime()) == 2.0
    source.unavailable = False
    source.put(b"one leaves")
    clock.advance(READ_INTERVAL_S)
    peer.broadcast = feed.apply_news
    peer.step()
    assert views[-1].targets == (replace(ONE, leaving=True), TWO)


def test_a_removed_target_is_not_sent_to_a_new_host():
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    source.put(b"one")
    source.put(b"two", key="e2")
    peer, _ = make_feed(source, clock)
    peer.step()
    source.put(b"", key="e1")
    clock.advance(READ_INTERVAL_S)
    peer.step()
    feed, _ = make_new_feed(source, clock, [peer])
    feed.step()
    assert names(feed) == ["e2"]


def test_hosts_that_start_together_read_once_for_all():
    """Guards against a store read by every host when all start at once.

    No host has any state yet. The reader reads the store; the others repeat their
    requests until it can answer, and do not read the store themselves.
    """
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    reader, _ = make_feed(source, clock)
    feed, _ = make_new_feed(source, clock, [reader])
    feed.step()
    assert not feed.has_state()
    reader.step()
    clock.advance(0.3)
    feed.step()
    assert feed.document.version == 1
    assert source.reads == 2


@pytest.mark.parametrize(
    ("peers", "patience_s"),
    [(0, UNLINKED_START_TIMEOUT_S), (1, PEER_ANSWER_TIMEOUT_S)],
)
def test_a_new_host_without_an_answer_reads_the_store(peers, patience_s):
    """Guards against endless waiting without a peer, or for one without state."""
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    peers_without_state = [make_feed(source, clock)[0] for _ in range(peers)]
    feed, _ = make_new_feed(source, clock, peers_without_state)
    feed.step()
    clock.advance(patience_s - 0.1)
    feed.step()
    assert source.reads == 0
    clock.advance(0.2)
    feed.step()
    assert feed.document.version == 1


def test_a_host_without_state_answers_once_it_has_some():
    """Guards against a second request after a failure of all hosts.

    The peer that gets the request has just started too. It answers as soon as it has
    read the store.
    """
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    reader, _ = make_feed(source, clock)
    received = []
    reader.answer_request(received.append)
    assert not received
    reader.step()
    assert [news.documents.next for news in received] == [1]
    reader.answer_request(received.append)
    assert len(received) == 2


def test_a_host_that_others_dial_reads_at_once():
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    feed, _ = make_new_feed(source, clock, [])
    feed.reads_at_start = True
    feed.step()
    assert feed.document.version == 1
