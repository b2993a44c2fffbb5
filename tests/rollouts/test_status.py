"""Tests of the status of rollouts in the store."""

import json
from dataclasses import replace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.source import StoreMoved, StoreUnavailable
from godwitladder.platform import names
from godwitladder.platform.source import PlatformSource
from godwitladder.platform.store import StoreClient
from godwitladder.rollouts.status import StatusWriter, WantedStatus
from godwitladder.standins.routed import start_store
from tests.fleet import wait_until

RAW = json.dumps({"service": "core", "target": 3, "durationS": 12}).encode()
ORDER = RolloutOrder("core", "3", 12.0, 7, RAW)
RUNNING, COMPLETED, ROLLED_BACK = RolloutState


@pytest.fixture
def store():
    server = start_store()
    yield server
    server.shutdown()
    server.server_close()


class Host:
    """A status writer and what it reports."""

    def __init__(self, store, term=1):
        self.client = StoreClient(store.address)
        self.source = PlatformSource(self.client)
        self.clock = ManualClock()
        self.known = []
        self.term = term
        self.writer = StatusWriter(self.source, self.clock, self.known.append)

    def want(self, state, order=ORDER, deadline_in_s=5.0):
        deadline = self.clock.monotonic() + deadline_in_s
        self.writer.request(WantedStatus(order, state, self.term, deadline))
        return self.writer.write_all()

    def results(self):
        return [(row.state, row.is_first) for row in self.known]


def statuses(store):
    records = store.standin.topics[names.STATUS_TOPIC].records
    return [json.loads(value) for _, value in records]


def states(store):
    return [row["state"] for row in statuses(store)]


def test_a_status_names_service_version_and_state(store):
    host = Host(store)
    assert host.want(RUNNING) and host.want(COMPLETED)
    expected = {"service": "core", "target": 3, "state": "running", "order": 7}
    assert statuses(store) == [expected, expected | {"state": "completed"}]
    assert host.results() == [(RUNNING, True), (COMPLETED, False)]


def test_two_deciders_write_one_outcome(store):
    """Guards against two allocators that write different outcomes of one order."""
    one, two = Host(store), Host(store, term=2)
    read = two.source.read_rollout_statuses
    two.source.read_rollout_statuses = lambda: interleave(read, one)

    def interleave(read, other):
        result = read()
        two.source.read_rollout_statuses = read
        other.want(COMPLETED)
        return result

    assert two.want(ROLLED_BACK)
    assert states(store) == ["completed"]
    assert two.results() == [(COMPLETED, False)]


def test_an_append_that_is_carried_out_late_fails(store):
    """Guards against an outcome that the store appends after another one."""
    one, two = Host(store), Host(store, term=2)
    store.standin.knobs.late_s = 0.3
    assert not one.want(COMPLETED)
    store.standin.knobs.late_s = 0.0
    assert two.want(ROLLED_BACK)
    late = store.standin.late_results
    wait_until(lambda: late, "the late append")
    assert [status for status, _ in late] == [412]
    assert one.writer.write_all()
    assert one.results() == [(ROLLED_BACK, False)]
    assert states(store) == ["rolled_back"]


def test_an_own_append_without_an_answer_is_found(store):
    """Guards against a slack that two terms spend: one without an answer has none."""
    host = Host(store)
    read = host.source.read_rollout_statuses

    def read_and_lose_the_next_answer():
        statuses = read()
        store.standin.knobs.lose = True
        return statuses

    host.source.read_rollout_statuses = read_and_lose_the_next_answer
    assert not host.want(RUNNING)
    host.source.read_rollout_statuses = read
    store.standin.knobs.lose = False
    assert host.writer.write_all()
    assert states(store) == ["running"]
    assert host.results() == [(RUNNING, False)]


def test_only_the_first_running_is_the_first_status(store):
    """Guards against a slack that an allocator that takes over spends again."""
    one, two = Host(store), Host(store, term=2)
    one.want(RUNNING)
    two.want(RUNNING)
    assert (one.results(), two.results()) == ([(RUNNING, True)], [(RUNNING, False)])
    assert states(store) == ["running"]


def test_an_outcome_is_written_once_the_store_is_back(store):
    """Guards against an outcome that is lost because the store was away."""
    host = Host(store)
    store.standin.knobs.status = 503
    assert not host.want(ROLLED_BACK)
    store.standin.knobs.status = 0
    assert host.writer.write_all()
    assert states(store) == ["rolled_back"]


def test_a_completed_that_is_too_late_is_rolled_back(store):
    """Guards against old targets that stop after the operator gave the order up."""
    host = Host(store)
    store.standin.knobs.status = 503
    assert not host.want(COMPLETED, deadline_in_s=1.0)
    store.standin.knobs.status = 0
    host.clock.advance(1.0)
    assert host.writer.write_all()
    assert states(store) == ["rolled_back"]
    assert [row.state for row in host.known] == [ROLLED_BACK]


def test_an_outcome_of_an_earlier_order_of_the_version_does_not_count(store):
    """Guards against a version that is ordered again and never tried."""
    host = Host(store)
    host.want(ROLLED_BACK)
    assert host.want(RUNNING, replace(ORDER, offset=9))
    assert states(store) == ["rolled_back", "running"]
    assert host.results()[1] == (RUNNING, True)


def test_a_status_of_an_earlier_version_of_the_system_is_read(store):
    """Guards against a status without the order, which stops all later writes."""
    row = {"service": "core", "target": 3, "state": "rolled_back"}
    store.standin.put(names.STATUS_TOPIC, "rollout/core", json.dumps(row).encode())
    host = Host(store)
    assert host.want(RUNNING)
    assert states(store) == ["rolled_back", "running"]


def test_an_invalid_status_is_ignored(store):
    """Guards against a record of others that ends the thread of the writer."""
    values = [
        b"{",
        b"[]",
        b'{"service": "core", "target": 3, "state": "odd"}',
        b'{"service": ["core"], "target": 3, "state": "running"}',
    ]
    for number, value in enumerate(values):
        store.standin.put(names.STATUS_TOPIC, f"rollout/{number}", value)
    host = Host(store)
    assert host.want(RUNNING)
    store.standin.knobs.status = 410
    host.writer.known = None
    assert not host.want(COMPLETED)


def test_a_conditional_append_fails_where_the_topic_has_moved(store):
    client = StoreClient(store.address)
    client.append("t", "k", b"1", at=0)
    with pytest.raises(StoreMoved):
        client.append("t", "k", b"2", at=0)
    store.standin.knobs.status = 500
    with pytest.raises(StoreUnavailable):
        client.append("t", "k", b"2", at=1)
    assert len(store.standin.topics["t"].records) == 1


def test_the_writer_runs_in_a_thread_of_its_own(store):
    """Guards against an allocator that waits for the store."""
    host = Host(store)
    store.standin.knobs.mute_s = 0.2
    host.writer.start()
    host.writer.request(WantedStatus(ORDER, RUNNING, 1, float("inf")))
    assert not host.known
    wait_until(lambda: host.known, "the status")
    host.writer.stop()
