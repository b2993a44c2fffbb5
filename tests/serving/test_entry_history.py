"""A host that has just started reads which versions targets had before."""

import json
import math

import pytest

from godwitladder.clock import ManualClock
from godwitladder.decisions.placing.stream_origins import StreamOrigin
from godwitladder.discovery.source import (
    Batch,
    Record,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.platform.entries import decode_entry
from godwitladder.serving.entry_history import MAX_READS, RETRY_S, EntryHistory

V1, V2 = StreamOrigin("core", "v1"), StreamOrigin("core", "v2")
PAGE = 50


def make_record(offset, name="t1", version="v1"):
    row = {
        "service": "core",
        "address": "127.0.0.1:9",
        "zone": "z",
        "slots": 2,
        "state": "ready",
        "version": version,
    }
    return Record(offset, name, json.dumps(row).encode())


class FakeSource:
    """Entries of a store from ``first`` on, in pages."""

    def __init__(self, records, first=0):
        self.records = records
        self.first = first
        self.reads = []
        self.is_down = False

    def read_entries(self, offset):
        self.reads.append(offset)
        if self.is_down:
            raise StoreUnavailable("down")
        if offset < self.first:
            raise StoreTrimmed("gone", self.first)
        rows = tuple(self.records[offset : offset + PAGE])
        return Batch(offset, offset + len(rows), rows, end=len(self.records))

    def decode_entry(self, record):
        return decode_entry(record.key, record.value).value_or(None)


def make_history(source, interval_s=1.0):
    end = len(source.records)
    return EntryHistory(source, ManualClock(), interval_s, lambda: end)


def test_all_records_of_a_new_store_cover_all_time():
    """Guards against streams that are refused after the loss of all hosts."""
    source = FakeSource([make_record(number) for number in range(3)])
    past = make_history(source).read_once(1, 15.0)
    assert past.origins == {V1}
    assert past.covered_s == math.inf


def test_records_that_have_expired_are_not_taken_for_none():
    """Guards against a version that served before the oldest record that is left."""
    records = [make_record(number) for number in range(30)]
    past = make_history(FakeSource(records, first=20)).read_once(4, 15.0)
    assert past.covered_s == 6.0


def test_only_the_records_that_are_needed_are_read():
    """Guards against hosts that all read the whole history as they start together."""
    source = FakeSource([make_record(number) for number in range(400)])
    past = make_history(source).read_once(1, 15.0)
    assert source.reads == [375]
    assert past.covered_s >= 15.0


def test_a_version_that_has_left_is_told():
    """Guards against a stream that goes on at a version that came later."""
    records = [make_record(0), Record(1, "t1", b""), make_record(2, "t2", "v2")]
    past = make_history(FakeSource(records)).read_once(1, 15.0)
    assert past.origins == {V1, V2}


def test_entries_of_other_writers_are_passed_over():
    """Guards against an unreadable entry that ends the read."""
    records = [make_record(0), Record(1, "odd", b"[" * 100_000), make_record(2)]
    past = make_history(FakeSource(records)).read_once(1, 15.0)
    assert past.origins == {V1}


def test_the_history_is_read_once():
    """Guards against a read of the store for each stream that is taken up."""
    source = FakeSource([make_record(0)])
    history = make_history(source)
    assert history.read_once(1, 15.0) is not None
    assert history.read_once(1, 15.0) is None
    assert len(source.reads) == 1


def test_a_read_that_failed_is_tried_again_later():
    """Guards against calls that all wait for a store that is away."""
    source = FakeSource([make_record(0)])
    history = make_history(source)
    source.is_down = True
    assert history.read_once(1, 15.0) is None
    source.is_down = False
    assert history.read_once(1, 15.0) is None
    history.clock.advance(RETRY_S)
    assert history.read_once(1, 15.0) is not None


@pytest.mark.parametrize("size", [PAGE * MAX_READS + 1])
def test_a_history_that_is_too_long_tells_nothing(size):
    """Guards against a version among records that were not read."""
    source = FakeSource([make_record(number) for number in range(size)])
    assert make_history(source, math.inf).read_once(1, 15.0) is None
