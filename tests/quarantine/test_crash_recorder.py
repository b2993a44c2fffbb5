"""What the store keeps of requests that crash targets."""

import dataclasses
import itertools
import math
import random

import pytest

from godwitladder.clock import ManualClock
from godwitladder.discovery.source import Record, StoreUnavailable
from godwitladder.discovery.write_timing import MAX_WRITES_PER_S, MIN_INTERVAL_S
from godwitladder.membership.codec import encode
from godwitladder.quarantine.crash_recorder import (
    CHECK_INTERVAL_S,
    MAX_BATCH,
    CrashRecorder,
)
from godwitladder.quarantine.evidence import LostCall
from godwitladder.quarantine.gate import QuarantineGate
from godwitladder.quarantine.records import KnownHistory
from godwitladder.quarantine.stored_crashes import (
    RENEWAL_S,
    StoredHistory,
    encode_history,
)
from godwitladder.quarantine.traits import RequestTraits

REQUEST = RequestTraits("bad")
HOUR_S = 3_600.0


class MemoryCrashes:
    """A store that keeps the newest record of each key."""

    def __init__(self):
        self.rows, self.writes, self.unavailable = {}, 0, False

    def write_crashes(self, records):
        self.fail_if_unavailable()
        self.writes += 1
        for key, value in records.items():
            self.rows.pop(key, None)
            if value:
                self.rows[key] = value

    def read_crashes(self):
        self.fail_if_unavailable()
        return tuple(Record(n, *row) for n, row in enumerate(self.rows.items()))

    def fail_if_unavailable(self):
        if self.unavailable:
            raise StoreUnavailable("unavailable")


class FakeEvidence:
    """Knows nothing of targets."""


class Host:
    """A host's gate and recorder; its links lead to ``peers``."""

    def __init__(self, store, name="h1", clock=None, hosts=("h1",)):
        self.clock = clock or ManualClock()
        self.peers = []
        self.gate = QuarantineGate(self.clock, self.broadcast, FakeEvidence())
        self.registry = self.gate.registry
        self.recorder = CrashRecorder(
            name, store, self.clock, self.registry, lambda: hosts
        )
        self.gate.on_change = self.recorder.mark
        self.count = itertools.count()
        self.recorder.run_turn()

    def broadcast(self, event):
        for peer in self.peers:
            peer.gate.receive(event, "peer")

    def crash(self, traits=REQUEST, trial=False):
        """Report that one more target crashed."""
        call = lost_call(traits, f"e{next(self.count)}", trial)
        self.gate.publish_crash(self.gate.with_blame(call))

    def quarantine(self, traits=REQUEST):
        """Let three targets crash, the last one on trial."""
        self.crash(traits)
        self.crash(traits)
        self.crash(traits, trial=True)
        self.recorder.run_turn()

    def status(self, traits=REQUEST):
        return self.registry.status(traits.ids).value


def lost_call(traits, target, trial):
    return LostCall(traits, target, "address", "1", trial)


@pytest.fixture
def store():
    return MemoryCrashes()


def test_a_new_host_knows_what_is_quarantined_and_its_trials(store):
    """Guards against a quarantine that begins anew once all hosts are lost."""
    host = Host(store)
    host.quarantine()
    host.clock.advance(6.0)
    assert not host.registry.refuses(REQUEST.ids)
    assert host.gate.begin(REQUEST, "e9")
    host.recorder.run_turn()
    newcomer = Host(store)
    (history,) = newcomer.registry.held_histories().values()
    assert (newcomer.status(), history.retrials) == ("quarantined", 1)
    assert newcomer.registry.refuses(REQUEST.ids)


def test_a_new_host_tries_a_suspect(store):
    """Guards against free crashes that are free again once all hosts are lost."""
    host = Host(store)
    host.crash()
    host.recorder.run_turn()
    assert store.writes == 0
    host.crash()
    host.recorder.run_turn()
    assert Host(store).status() == "suspect"


def test_a_run_to_the_end_removes_the_record(store):
    """Guards against a record that refuses a request which is sound again."""
    host = Host(store)
    host.quarantine()
    host.gate.record_completion(REQUEST)
    host.recorder.run_turn()
    assert store.rows == {}
    assert Host(store).status() == "clear"


def test_a_peer_that_clears_a_request_removes_the_record(store):
    first, second = Host(store, "h1"), Host(store, "h2")
    first.peers, second.peers = [second], [first]
    first.quarantine()
    second.gate.record_completion(REQUEST)
    second.recorder.run_turn()
    assert store.rows == {}


def test_a_peer_writes_nothing_again(store):
    """Guards against as many writes for a crash as there are hosts."""
    first, second = Host(store, "h1"), Host(store, "h2")
    first.peers = [second]
    first.quarantine()
    second.recorder.run_turn()
    assert store.writes == 1


def test_a_crash_is_recorded_once_the_store_is_back(store):
    """Guards against a crash that is never recorded as the store was away."""
    host = Host(store)
    store.unavailable = True
    host.quarantine()
    assert host.recorder.pending
    store.unavailable = False
    host.recorder.run_turn()
    assert Host(store).status() == "quarantined"


def test_a_host_reads_once_the_store_is_back(store):
    Host(store).quarantine()
    store.unavailable = True
    newcomer = Host(store)
    assert not newcomer.recorder.is_read
    store.unavailable = False
    newcomer.recorder.run_turn()
    assert newcomer.recorder.is_read and newcomer.status() == "quarantined"


def test_a_flood_of_crashes_costs_few_writes(store):
    """Guards against a write for each of the many suspects of a lost rack."""
    host = Host(store)
    requests = [RequestTraits(f"r{number}") for number in range(3 * MAX_BATCH)]
    for request in requests * 2:
        host.crash(request)
    while host.recorder.pending:
        host.recorder.run_turn()
    assert (store.writes, len(store.rows)) == (3, len(requests))


@pytest.mark.parametrize("count", [1, 14, 213, 1000])
def test_all_hosts_together_stay_within_their_writes(store, count):
    """Guards against a store that turns writes away as all hosts write."""
    host = Host(store, hosts=tuple(f"h{number}" for number in range(count)))
    interval_s = host.recorder.interval_s()
    assert interval_s >= MIN_INTERVAL_S
    assert count / interval_s <= max(MAX_WRITES_PER_S, 4 * count) + 1e-6
    assert count < 100 or count / interval_s <= MAX_WRITES_PER_S + 1e-6


def test_what_a_copy_of_the_store_lacks_is_written_again(store):
    """Guards against records that are lost as the store comes back from a copy."""
    host = Host(store)
    host.quarantine()
    store.rows.clear()
    host.clock.advance(CHECK_INTERVAL_S)
    host.recorder.run_turn()
    host.recorder.run_turn()
    assert Host(store).status() == "quarantined"


def test_a_record_that_comes_back_after_the_clearing_is_removed(store):
    """Guards against an outdated record, of a copy or of an append carried out late."""
    host = Host(store)
    host.quarantine()
    late = dict(store.rows)
    host.clock.advance(1.0)
    host.gate.record_completion(REQUEST)
    host.recorder.run_turn()
    store.rows.update(late)
    host.recorder.mark(REQUEST.ids, is_own=True)
    host.crash(RequestTraits("other"))
    host.quarantine(RequestTraits("other"))
    host.clock.advance(CHECK_INTERVAL_S)
    host.recorder.run_turn()
    host.recorder.run_turn()
    assert set(store.rows) == {"other"}


def test_one_host_compares_the_records(store):
    """Guards against reads of the store by all hosts."""
    hosts = [Host(store, f"h{number}", hosts=("h0", "h1", "h2")) for number in range(3)]
    for host in hosts:
        host.peers = [row for row in hosts if row is not host]
    hosts[0].quarantine()
    for host in hosts:
        host.clock.advance(CHECK_INTERVAL_S)
    assert sum(host.recorder.is_check_due() for host in hosts) == 1


def test_nothing_is_read_while_nothing_is_held(store):
    host = Host(store)
    host.clock.advance(CHECK_INTERVAL_S)
    assert not host.recorder.is_check_due()


def test_the_record_of_a_quarantine_that_is_renewed_is_written_again(store):
    """Guards against a record that expires while the request is still sent."""
    host = Host(store)
    host.quarantine()
    for target in ("e8", "e9"):
        host.clock.advance(40.0)
        host.gate.begin(REQUEST, target)
        host.crash(trial=True)
    host.clock.advance(HOUR_S - 10.0)
    assert host.registry.refuses(REQUEST.ids)
    host.recorder.run_turn()
    host.recorder.run_turn()
    host.clock.advance(RENEWAL_S)
    assert Host(store, clock=host.clock).status() == "quarantined"


HISTORY = KnownHistory("bad", (), 1.0, HOUR_S, 2)


@pytest.mark.parametrize(
    ("written_s", "status"),
    [
        (0.0, "quarantined"),
        (-HOUR_S + 5.0, "quarantined"),
        (-HOUR_S - 5.0, "clear"),
        (+5.0, "quarantined"),
        (+24 * HOUR_S, "quarantined"),
    ],
)
def test_a_quarantine_ends_an_hour_after_its_record_at_the_latest(
    store, written_s, status
):
    """Guards against a hold without end, by a clock that differs or a long loss."""
    clock = ManualClock(100 * HOUR_S)
    store.rows["bad"] = encode_history(HISTORY, clock.wall() + written_s)
    newcomer = Host(store, clock=clock)
    assert newcomer.status() == status
    clock.advance(HOUR_S + 1.0)
    assert newcomer.status() == "clear"


def test_a_record_tells_of_no_longer_a_quarantine_than_there_is(store):
    """Guards against a hold for days that another program has written."""
    clock = ManualClock()
    long = dataclasses.replace(HISTORY, quarantined_s=1e9)
    store.rows["bad"] = encode_history(long, clock.wall())
    newcomer = Host(store, clock=clock)
    clock.advance(HOUR_S + 1.0)
    assert newcomer.status() == "clear"


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff",
        encode(HISTORY),
        encode(StoredHistory(HISTORY, math.nan)),
        encode(StoredHistory(dataclasses.replace(HISTORY, age_s=-1.0), 0.0)),
        encode(StoredHistory(dataclasses.replace(HISTORY, age_s=math.inf), 0.0)),
        encode(StoredHistory(dataclasses.replace(HISTORY, trait="other"), 0.0)),
    ],
)
def test_an_odd_record_holds_nothing_and_hides_no_other(store, value):
    """Guards against a start that fails by one record of another program."""
    clock = ManualClock()
    store.rows["bad"] = value
    store.rows["good"] = encode_history(
        dataclasses.replace(HISTORY, trait="good"), clock.wall()
    )
    newcomer = Host(store, clock=clock)
    assert newcomer.recorder.is_read
    assert set(newcomer.registry.held_histories()) == {"good"}


def test_the_traits_of_a_prompt_are_recorded_too(store):
    """Guards against a part of prompts that ends targets anew after such a loss."""
    host = Host(store)
    host.quarantine(RequestTraits("one", ("part", "own part")))
    newcomer = Host(store)
    other = RequestTraits("another", ("part", "own part"))
    assert newcomer.status(other) == "quarantined"


def test_no_bytes_in_a_record_keep_a_host_from_reading_the_others(store):
    """Guards against hosts that never get ready by a record of another program."""
    rng = random.Random(5)
    clock = ManualClock()
    good = encode_history(HISTORY, clock.wall())
    for number in range(2_000):
        value = bytearray(good)
        for _ in range(rng.randint(1, 4)):
            value[rng.randrange(len(value))] = rng.randrange(256)
        store.rows[f"odd-{number}"] = bytes(value)
    store.rows["bad"] = good
    newcomer = Host(store, clock=clock)
    assert newcomer.recorder.is_read and newcomer.status() == "quarantined"
