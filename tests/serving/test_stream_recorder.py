"""Streams that are recorded in the store, and found there after all hosts are lost."""

import tracemalloc
import zlib

import cbor2
import pytest

from godwitladder.clock import ManualClock
from godwitladder.decisions.placing.stream_origins import StreamName, StreamOrigin
from godwitladder.decisions.placing.stream_records import StreamRecord
from godwitladder.discovery.messages import StreamBatch
from godwitladder.discovery.source import (
    Batch,
    Record,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.discovery.write_timing import MAX_WRITES_PER_S, MIN_INTERVAL_S
from godwitladder.membership.codec import COMPRESSED, decode, encode
from godwitladder.serving.stream_origins import StreamOriginRegistry
from godwitladder.serving.stream_recorder import (
    KEPT_S,
    MAX_BATCH,
    READ_INTERVAL_S,
    RETRY_S,
    StreamRecorder,
)
from tests.serving.test_stream_origins import HOSTS, Net

MAX_DECODED_BYTES = 32 * 1_048_576
"""A fifth of the memory that the smallest hosts have."""
V1, V2 = StreamOrigin("core", "v1"), StreamOrigin("core", "v2")


def name(number, body=None):
    return StreamName(f"a{number}", body or f"b{number}")


def unnamed(number):
    return StreamName("", f"b{number}")


class StreamStore:
    """The store's topic of streams, whose reads return two records at most."""

    def __init__(self):
        self.values = []
        self.first = 0
        self.reads = 0
        self.unavailable = False

    def append_streams(self, value):
        self.check()
        self.values.append(value)

    def read_streams(self, offset):
        self.check()
        self.reads += 1
        if not self.first <= offset <= len(self.values):
            raise StoreTrimmed("gone", self.first)
        kept = self.values[offset : offset + 2]
        rows = tuple(Record(offset + n, "", value) for n, value in enumerate(kept))
        return Batch(offset, offset + len(rows), rows, end=len(self.values))

    def check(self):
        if self.unavailable:
            raise StoreUnavailable("unavailable")

    def records(self):
        return [row for value in self.values for row in decode(value).records]


class Recorded:
    """A store, and recorders of hosts that come and go."""

    def __init__(self):
        self.store, self.clock = StreamStore(), ManualClock()
        self.mixed = True

    def start(self):
        return StreamRecorder(self.store, self.clock, lambda service: self.mixed)


@pytest.fixture
def setup():
    return Recorded()


def test_a_stream_is_known_after_all_hosts_are_lost(setup):
    """Guards against streams that can't go on once all that knew them are gone."""
    before = setup.start()
    for number, origin in enumerate((V1, V2, V1)):
        before.record(StreamRecord(name(number), origin))
        before.write()
    after = setup.start()
    assert [after.find(name(number)) for number in range(4)] == [V1, V2, V1, None]
    assert [after.find(unnamed(number)) for number in range(2)] == [V1, V2]


def test_nothing_is_written_while_a_service_has_one_version(setup):
    """Guards against a store that each stream costs a write."""
    recorder = setup.start()
    setup.mixed = False
    recorder.record(StreamRecord(name(1), V1))
    recorder.write()
    assert setup.store.values == []


def test_streams_from_before_another_version_came_are_written_then(setup):
    """Guards against streams that are lost as they began just before a rollout."""
    recorder = setup.start()
    setup.mixed = False
    recorder.record(StreamRecord(name(1), V1))
    recorder.write()
    setup.clock.advance(KEPT_S - 1)
    recorder.record(StreamRecord(name(2), V1))
    setup.clock.advance(2.0)
    setup.mixed = True
    recorder.write()
    assert [row.stream for row in setup.store.records()] == [name(2)]


def test_one_of_several_equal_requests_is_not_taken_for_another(setup):
    """Guards against text of two versions in one stream."""
    recorder = setup.start()
    recorder.record(StreamRecord(name(1, "same"), V1))
    recorder.record(StreamRecord(name(2, "same"), V1))
    recorder.write()
    assert setup.start().find(StreamName("", "same")) is None
    assert setup.start().find(name(1, "same")) == V1


def test_a_stream_that_went_on_is_still_the_only_one_of_its_request(setup):
    recorder = setup.start()
    recorder.record(StreamRecord(name(1, "same"), V1))
    recorder.record(StreamRecord(name(2, "same"), V1, goes_on=True))
    recorder.write()
    after = setup.start()
    assert after.find(StreamName("", "same")) == V1
    assert after.find(name(2, "same")) == V1


def test_what_a_store_that_was_away_did_not_take_is_written_later(setup):
    """Guards against records that are lost with one failed write."""
    recorder = setup.start()
    setup.store.unavailable = True
    recorder.record(StreamRecord(name(1), V1))
    recorder.write()
    recorder.record(StreamRecord(name(2), V1))
    setup.store.unavailable = False
    recorder.write()
    assert [row.stream for row in setup.store.records()] == [name(1), name(2)]


def test_one_write_is_limited(setup):
    recorder = setup.start()
    for number in range(MAX_BATCH + 1):
        recorder.record(StreamRecord(name(number), V1))
    recorder.write()
    assert len(setup.store.records()) == MAX_BATCH
    recorder.write()
    assert len(setup.store.records()) == MAX_BATCH + 1


def test_the_store_is_read_once_a_second_and_less_often_while_it_is_away(setup):
    """Guards against a read for each of many streams that are taken up at once."""
    recorder = setup.start()
    for _ in range(9):
        recorder.find(name(1))
    assert setup.store.reads == 1
    setup.store.unavailable = True
    setup.clock.advance(READ_INTERVAL_S)
    recorder.find(name(1))
    setup.store.unavailable = False
    setup.clock.advance(READ_INTERVAL_S)
    recorder.find(name(1))
    assert setup.store.reads == 1
    setup.clock.advance(RETRY_S)
    recorder.find(name(1))
    assert setup.store.reads == 2


@pytest.mark.parametrize("first", [0, 3])
def test_records_are_read_from_the_first_that_is_left(setup, first):
    """Guards against a history that has expired in part, or is that of a copy."""
    recorder = setup.start()
    for number in range(6):
        recorder.record(StreamRecord(name(number), V1))
        recorder.write()
    setup.store.first = first
    after = setup.start()
    after.next_offset = 9 if first == 0 else 0
    assert after.find(name(5)) == V1
    assert (after.find(name(0)) is None) == (first > 0)


def test_records_of_other_writers_are_passed_over(setup):
    """Guards against one record that ends a call, or hides all after it."""
    setup.store.values = [b"", b"\xff", encode(StreamBatch())]
    recorder = setup.start()
    recorder.record(StreamRecord(name(1), V1))
    recorder.write()
    assert setup.start().find(name(1)) == V1


@pytest.mark.parametrize("hosts", [1, 15, 213, 380])
def test_all_hosts_together_write_within_a_limit(setup, hosts):
    """Guards against a fleet that uses up what the store takes."""
    recorder = StreamRecorder(
        setup.store, setup.clock, lambda service: True, lambda: hosts
    )
    assert recorder.interval_s() >= MIN_INTERVAL_S
    assert hosts / recorder.interval_s() <= MAX_WRITES_PER_S + 1e-9


class LostFleet:
    """Registries of a fleet that has just started, beside what the store holds."""

    def __init__(self, setup, *records):
        writer = setup.start()
        for record in records:
            writer.record(record)
        writer.write()
        self.net = Net(*HOSTS)
        for registry in self.net.registries.values():
            registry.started = registry.clock.monotonic()
            registry.recorder = setup.start()

    def find(self, stream):
        return {row.find("core", stream) for row in self.net.registries.values()}


def test_hosts_that_start_after_a_loss_find_streams_in_the_store(setup):
    fleet = LostFleet(setup, StreamRecord(name(1), V1), StreamRecord(name(2), V2))
    assert fleet.find(name(1)) == {V1}
    assert fleet.find(unnamed(2)) == {V2}
    assert fleet.find(name(3)) == {None}


def test_a_newer_equal_request_and_a_recorded_one_tell_nothing(setup):
    """Guards against a recorded stream that is taken for one that is not."""
    fleet = LostFleet(setup, StreamRecord(name(1), V1))
    fleet.net.registries["h0"].record(name(9, "b1"), V1)
    assert fleet.find(unnamed(1)) == {None}
    assert fleet.find(name(1)) == {V1}


def test_a_long_name_of_an_attempt_is_not_passed_on(setup):
    """Guards against one caller whose name of an attempt fills links and records."""
    fleet = LostFleet(setup)
    long = StreamName("a" * 60_000, "b1")
    registry = fleet.net.registries["h0"]
    registry.record(long, V1)
    assert registry.find("core", long) is None
    assert fleet.net.messages == []
    assert not registry.recorder.kept


def test_a_registry_knows_which_services_have_several_versions():
    registry = StreamOriginRegistry("h0", None, ManualClock())
    registry.update_targets(frozenset({V1, StreamOrigin("other", "v1")}))
    assert not registry.has_versions("core")
    registry.update_targets(frozenset({V1, V2, StreamOrigin("other", "v1")}))
    assert registry.has_versions("core")
    assert not registry.has_versions("other")


def test_a_record_that_grows_when_it_is_decoded_is_left_out():
    """Guards against a short record of the store that takes all memory of each host."""
    store = StreamStore()
    grown = cbor2.dumps(["StreamBatch", [[]] * 2_000_000])
    store.values.append(cbor2.dumps([COMPRESSED, zlib.compress(grown)]))
    store.values.append(cbor2.dumps(["StreamBatch", [[]] * 2_000_000]))
    store.values.append(encode(StreamBatch((StreamRecord(name(1), V1),))))
    recorder = StreamRecorder(store, ManualClock(), lambda service: True)
    tracemalloc.start()
    try:
        assert recorder.find(name(1)) == V1
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_DECODED_BYTES


def test_an_unexpected_error_in_one_record_leaves_the_others():
    """Guards against calls that fail for ever by one record in the store."""
    store = StreamStore()
    recorder = StreamRecorder(store, ManualClock(), lambda service: True)
    for number in range(3):
        record = StreamRecord(name(number), V1)
        store.values.append(encode(StreamBatch((record,))))
    add = recorder.recorded.add

    def fail_once(record):
        if record.stream == name(0):
            raise ZeroDivisionError("unexpected")
        add(record)

    recorder.recorded.add = fail_once
    assert recorder.find(name(2)) == V1
    assert recorder.find(name(0)) is None
    assert recorder.turns.failed == 1


def test_an_unexpected_error_in_a_read_fails_no_call():
    """Guards against a call that fails as its host can't read recorded streams."""
    store, clock = StreamStore(), ManualClock()
    recorder = StreamRecorder(store, clock, lambda service: True)
    store.values.append(encode(StreamBatch((StreamRecord(name(1), V1),))))
    read, store.read_streams = store.read_streams, None
    assert recorder.find(name(1)) is None
    store.read_streams = read
    clock.advance(RETRY_S)
    assert recorder.find(name(1)) == V1
