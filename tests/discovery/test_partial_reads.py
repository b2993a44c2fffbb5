"""Reads of the store that return a part of the changes, and what they confirm."""

from dataclasses import replace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.discovery.read_timing import READ_INTERVAL_S
from godwitladder.discovery.source import Batch, StoreUnavailable
from godwitladder.discovery.store_reads import MAX_FURTHER_READS
from godwitladder.platform.store import StoreClient
from godwitladder.standins.routed import MAX_READ_BYTES, start_store
from tests.discovery.test_discovery import MemorySource, make_feed

PART = 3


class PartedSource(MemorySource):
    """A store whose reads return a few records; it can fail within a row of them."""

    def __init__(self):
        super().__init__()
        self.reads_left = float("inf")

    def read(self, records, offset):
        if self.reads_left <= 0:
            raise StoreUnavailable("unavailable")
        self.reads_left -= 1
        batch = super().read(records, offset)
        if batch.is_snapshot:
            return batch
        kept = batch.records[:PART]
        return replace(batch, next=offset + len(kept), records=kept, end=len(records))


class OneHost:
    """A feed that has read a first document, and now is behind by some."""

    def __init__(self, documents):
        self.clock = ManualClock()
        self.source = PartedSource()
        self.source.put_document(1)
        self.feed, self.views = make_feed(self.source, self.clock, hosts=("h1",))
        self.feed.step()
        for version in range(2, documents + 2):
            self.source.put_document(version)
        self.newest = documents + 1
        self.clock.advance(READ_INTERVAL_S)

    def age_s(self):
        return self.feed.freshness.age_s(self.clock.boottime())


@pytest.mark.parametrize("documents", [1, PART, PART + 1, 4 * PART, 40 * PART])
def test_a_read_leads_to_the_newest_document(documents):
    """Guards against a revoked key that is accepted until the next read."""
    host = OneHost(documents)
    before = host.source.reads
    host.feed.step()
    assert host.feed.document.version == host.newest
    assert host.age_s() == 0.0
    assert host.source.reads - before <= MAX_FURTHER_READS + 3


@pytest.mark.parametrize("reads", [1, 2])
def test_a_row_of_reads_that_breaks_off_confirms_nothing(reads):
    """Guards against a document that a part of the later changes confirms."""
    host = OneHost(4 * PART)
    host.source.reads_left = reads
    host.feed.step()
    assert host.age_s() == pytest.approx(READ_INTERVAL_S)


def test_a_part_that_is_lost_meanwhile_leads_to_a_snapshot():
    host = OneHost(4 * PART)
    read = host.source.read

    def read_and_trim(records, offset):
        batch = read(records, offset)
        host.source.first = len(host.source.documents)
        return batch

    host.source.read = read_and_trim
    host.feed.step()
    assert host.feed.document.version == host.newest
    assert host.age_s() == 0.0


def test_peers_are_told_of_the_newest_document():
    """Guards against peers that take a part of the changes for all of them."""
    host = OneHost(4 * PART)
    host.feed.hosts = ("h1", "h2")
    sent = []
    host.feed.broadcast = sent.append
    other, _ = make_feed(host.source, host.clock, "h2")
    host.source.first = 0
    host.feed.step()
    other.apply_news(host.feed.make_full_news())
    assert other.document.version == host.newest
    assert [news.version for news in sent] == [host.newest]


def test_a_document_is_confirmed_after_its_view_is_in_force():
    """Guards against a key that is looked up in a document that is no longer newest."""
    host = OneHost(1)
    ages = []
    host.feed.publish = lambda view: ages.append(host.age_s())
    host.feed.step()
    assert ages == [pytest.approx(READ_INTERVAL_S)]
    assert host.age_s() == 0.0


def test_the_end_of_the_topic_is_read():
    """Guards against a client of the store that can't tell a part from the whole."""
    server = start_store()
    try:
        client = StoreClient(server.address)
        value = bytes(MAX_READ_BYTES // 2)
        for _ in range(3):
            server.standin.put("keyed.op", "config", value)
        first = client.read("keyed.op", 0)
        last = client.read("keyed.op", first.next)
        assert (len(first.records), first.next, first.end) == (1, 1, 3)
        assert not Batch(0, first.next, first.records, end=first.end).is_whole
        assert last.end == 3
    finally:
        server.shutdown()
        server.server_close()
