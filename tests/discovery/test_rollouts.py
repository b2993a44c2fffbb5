"""Tests of rollouts of a new version of a service's targets."""

import json
from dataclasses import replace

import pytest
from returns.result import Failure

from godwitladder.configuration.model import TargetState
from godwitladder.discovery.rollout_tracker import EXTRA_HOLD_S, RolloutTracker
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState, held_back
from godwitladder.discovery.source import Batch, Record, StoreUnavailable
from godwitladder.discovery.store_view import StoreView
from godwitladder.discovery.targets import TargetEntry
from godwitladder.platform.entries import decode_entry
from godwitladder.platform.rollouts import decode_rollout, encode_status
from godwitladder.platform.source import PlatformSource
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.routing.model import RoutedService, RoutingDocument
from godwitladder.routing.state import make_config_state

ORDER = {"service": "letters", "target": 3, "durationS": 12.0}
OLD = TargetEntry("e1", "letters", "10.0.0.1:1", "a", 8, release="2")
NEW = TargetEntry("e2", "letters", "10.0.0.2:1", "a", 8, release="3")
OTHER = TargetEntry("e3", "orders", "10.0.0.3:1", "a", 8, release="3")


def make_record(offset=7, **changes):
    return Record(offset, "rollout/letters", json.dumps(ORDER | changes).encode())


def make_orders():
    return {"letters": RolloutOrder("letters", "3", 12.0, 7)}


class FakeStore:
    """Stores what is appended; can be made unavailable."""

    def __init__(self):
        self.appended = []
        self.unavailable = False

    def append(self, topic, key, value):
        if self.unavailable:
            raise StoreUnavailable("unavailable")
        self.appended.append((topic, key, json.loads(value)))


def test_an_unproved_version_receives_no_calls_beside_another():
    """Guards against a bad version that gets a full share of calls at once."""
    assert held_back(make_orders(), [OLD, NEW, OTHER]) == {"e2"}
    document = RoutingDocument(services={OLD.service: RoutedService(OLD.service)})
    view = StoreView(1, document, (OLD, NEW), frozenset({"e2"}))
    targets = make_config_state(view, "region").targets
    assert targets["e1"].state is TargetState.ACTIVE
    assert targets["e2"].state is TargetState.UNPROVED


def test_a_service_that_has_only_the_new_version_is_served_by_it():
    """Guards against a service left without targets when the old ones are gone."""
    assert held_back(make_orders(), [NEW]) == frozenset()
    assert held_back(make_orders(), [replace(OLD, leaving=True), NEW]) == frozenset()


def test_an_order_for_the_old_version_does_not_release_the_one_on_trial():
    """Guards against a bad version without a bound once its rollout is called off."""
    orders = {"letters": RolloutOrder("letters", "2", 12.0, 9)}
    superseded = {"letters": {"3": 120.0}}
    assert held_back(orders, [OLD, NEW], superseded) == {"e2"}
    assert held_back(orders, [NEW], superseded) == frozenset()


def test_targets_without_a_version_or_an_order_receive_calls():
    assert held_back({}, [OLD, NEW]) == frozenset()
    assert held_back(make_orders(), [replace(OLD, release="")]) == frozenset()


def test_an_order_is_answered_once_and_retried_after_an_outage():
    """Guards against an order that is never answered after a failed write."""
    store = FakeStore()
    tracker = RolloutTracker(PlatformSource(store))
    tracker.apply(Batch(0, 8, (make_record(),)), now=100.0)
    store.unavailable = True
    tracker.answer_orders()
    store.unavailable = False
    tracker.answer_orders()
    tracker.answer_orders()
    status = {"service": "letters", "target": 3, "state": "rolled_back"}
    assert store.appended == [("keyed.status", "rollout/letters", status)]
    tracker.apply(Batch(8, 10, (make_record(offset=9),)), now=101.0)
    tracker.answer_orders()
    assert len(store.appended) == 2


def test_an_order_is_answered_again_after_a_copy_of_the_store():
    """Guards against an operator who waits for an answer that the store has lost."""
    store = FakeStore()
    tracker = RolloutTracker(PlatformSource(store))
    tracker.apply(Batch(0, 8, (make_record(),)), now=100.0)
    tracker.answer_orders()
    tracker.begin_era()
    tracker.answer_orders()
    assert len(store.appended) == 1
    assert not tracker.apply(Batch(-1, 8, (make_record(),)), now=101.0)
    tracker.answer_orders()
    tracker.answer_orders()
    assert len(store.appended) == 2


def test_an_order_at_the_offset_of_a_lost_one_is_answered():
    """Guards against an order that is taken for one that was answered before."""
    store = FakeStore()
    tracker = RolloutTracker(PlatformSource(store))
    tracker.apply(Batch(0, 8, (make_record(),)), now=100.0)
    tracker.answer_orders()
    tracker.begin_era()
    assert tracker.apply(Batch(-1, 8, (make_record(target=4),)), now=101.0)
    tracker.answer_orders()
    assert [row["target"] for _, _, row in store.appended] == [3, 4]


def test_a_version_is_held_back_until_its_rollout_is_over():
    """Guards against targets that stay idle because of an expired order."""
    tracker = RolloutTracker(PlatformSource(FakeStore()))
    assert tracker.apply(Batch(0, 8, (make_record(),)), now=100.0)
    assert tracker.orders == make_orders()
    assert not tracker.apply(Batch(-1, 8, (make_record(),)), now=105.0)
    assert not tracker.expire(100.0 + 12.0 + EXTRA_HOLD_S - 0.1)
    assert tracker.expire(100.0 + 12.0 + EXTRA_HOLD_S)
    assert not tracker.apply(Batch(-1, 8, (make_record(),)), now=200.0)
    assert not tracker.orders
    assert tracker.apply(Batch(8, 10, (make_record(offset=9),)), now=300.0)


@pytest.mark.parametrize(
    "changes",
    [
        {"service": ""},
        {"service": 4},
        {"target": None},
        {"target": True},
        {"durationS": 0},
        {"durationS": "soon"},
    ],
)
def test_an_incomplete_order_is_rejected(changes):
    assert isinstance(decode_rollout(make_record(**changes)), Failure)


@pytest.mark.parametrize(
    ("value", "error"),
    [
        (b'{"target": 3, "durationS": 5}', "names no service"),
        (b'{"service": "letters", "durationS": 5}', "names no version"),
        (b'{"service": "letters", "target": 3}', "has no duration"),
        (b"[]", "is no JSON object"),
        (b"{", "is no JSON: "),
    ],
)
def test_an_invalid_order_is_logged_once_with_its_fault(value, error, caplog):
    """Guards against a line for each read of an order that no one understands."""
    caplog.set_level("INFO", "godwitladder.platform")
    source = PlatformSource(FakeStore())
    for _ in range(3):
        assert source.decode_rollout(Record(4, "rollout/letters", value)) is None
    (line,) = caplog.records
    assert line.error.startswith(error)


def make_tracker(max_age_s=5.0):
    """Return a tracker of a system that tries versions."""
    tracker = RolloutTracker(PlatformSource(FakeStore()))
    tracker.freshness = DocumentFreshness(max_age_s)
    tracker.freshness.confirm(99.5)
    return tracker


def test_an_order_to_try_is_not_answered_and_tells_when_it_was_given():
    """Guards against a deadline that begins again with each host that reads it."""
    tracker = make_tracker()
    assert tracker.apply(Batch(0, 8, (make_record(),)), 100.0, 99.5)
    tracker.answer_orders()
    assert not tracker.source.store.appended
    (row,) = tracker.orders_to_try()
    assert (row.order.release, row.ordered_at) == ("3", 99.5)
    assert not tracker.apply(Batch(-1, 8, (make_record(),)), 105.0, 104.0)
    assert tracker.orders_to_try() == (row,)


def test_an_order_stays_in_force_while_the_store_is_away():
    """Guards against a condemned version that gets calls before its outcome is read."""
    tracker = make_tracker()
    tracker.apply(Batch(0, 8, (make_record(),)), 100.0, 99.5)
    for second in range(100, 200):
        tracker.expire(float(second))
    assert tracker.orders
    back_at = 199.0 + EXTRA_HOLD_S
    tracker.freshness.confirm(back_at)
    assert tracker.expire(back_at)
    assert not tracker.orders_to_try()


def test_a_version_whose_order_is_replaced_is_held_back():
    """Guards against a bad version that gets calls once another one is ordered."""
    tracker = make_tracker()
    tracker.apply(Batch(0, 8, (make_record(),)), 100.0, 99.5)
    tracker.apply(Batch(8, 10, (make_record(offset=9, target=4),)), 101.0, 100.5)
    newer = replace(NEW, name="e4", release="4")
    held = held_back(tracker.orders, [OLD, NEW, newer], tracker.superseded)
    assert held == {"e2", "e4"}
    tracker.freshness.confirm(100.0 + 12.0 + EXTRA_HOLD_S)
    tracker.expire(100.0 + 12.0 + EXTRA_HOLD_S)
    assert held_back(tracker.orders, [OLD, NEW, newer], tracker.superseded) == {"e4"}


def test_a_completed_version_serves_while_the_next_one_is_ordered():
    """Guards against a service whose only version in force is held back."""
    tracker = make_tracker()
    tracker.is_completed = lambda order: order.release == "3"
    tracker.apply(Batch(0, 8, (make_record(),)), 100.0, 99.5)
    tracker.apply(Batch(8, 10, (make_record(offset=9, target=4),)), 101.0, 100.5)
    newer = replace(NEW, name="e4", release="4")
    assert held_back(tracker.orders, [NEW, newer], tracker.superseded) == {"e4"}


def test_without_bounds_no_order_is_to_be_tried():
    tracker = RolloutTracker(PlatformSource(FakeStore()))
    tracker.apply(Batch(0, 8, (make_record(),)), 100.0, 99.5)
    assert tracker.orders and not tracker.orders_to_try()


def test_a_status_contains_the_version_as_it_was_written():
    record = make_record(target="v3")
    order = decode_rollout(record).unwrap()
    row = json.loads(encode_status(order, RolloutState.ROLLED_BACK, record.value))
    assert row == {"service": "letters", "target": "v3", "state": "rolled_back"}


@pytest.mark.parametrize(("version", "release"), [(3, "3"), ("v3", "v3"), (None, "")])
def test_an_entry_contains_the_version_of_its_software(version, release):
    raw = {
        "service": "letters",
        "address": "10.0.0.1:1",
        "zone": "a",
        "state": "ready",
        "slots": 8,
        "version": version,
    }
    entry = decode_entry("e1", json.dumps(raw).encode()).unwrap()
    assert entry.release == release


def test_the_end_of_a_superseded_hold_is_a_change():
    """Guards against targets that stay held back until something else changes."""
    tracker = RolloutTracker(PlatformSource(FakeStore()))
    tracker.freshness = DocumentFreshness(5.0)
    now = 100.0
    tracker.freshness.confirm(now)
    long = make_record(target=4, durationS=300.0)
    tracker.apply(Batch(0, 8, (long,)), now)
    tracker.apply(Batch(8, 10, (make_record(offset=9, durationS=10.0),)), now + 1.0)
    ends_at = now + 300.0 + EXTRA_HOLD_S
    tracker.freshness.confirm(ends_at)
    tracker.expire(ends_at - 1.0)
    assert tracker.expire(ends_at)
    assert not tracker.expire(ends_at + 1.0)
