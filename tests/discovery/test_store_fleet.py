"""Tests of how a host learns its fleet, and whose news it applies."""

from dataclasses import replace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.discovery.source import FleetRecord, StoreMoved, StoreUnavailable
from godwitladder.discovery.store_fleet import (
    CHECK_INTERVAL_S,
    FIRST_CHECK_S,
    MAX_DOUBT_INTERVAL_S,
    RETRY_S,
    StoreFleet,
)
from godwitladder.fleets import make_fleet_id
from tests.discovery.test_discovery import MemorySource, make_feed

ERA = 1


class FleetSource:
    """An in-memory store of the identity.

    Attributes
    ----------
    losing : bool
        Whether an append is carried out, but its answer lost.
    before_write : callable
        Called before each append.
    """

    def __init__(self):
        self.values = []
        self.era = ERA
        self.connections = 1
        self.unavailable = self.losing = False
        self.reads = 0
        self.before_write = lambda: None

    def read_fleet(self):
        self.reads += 1
        if self.unavailable:
            raise StoreUnavailable("unavailable")
        value = self.values[-1] if self.values else b""
        return FleetRecord(value, len(self.values), self.era)

    def write_fleet(self, value, at):
        self.before_write()
        if at != len(self.values):
            raise StoreMoved("moved")
        self.values.append(value)
        if self.losing:
            raise StoreUnavailable("lost")

    def replace(self, value=None, era=ERA):
        """Become a new store, which may have an identity."""
        self.values = [value] if value else []
        self.era = era
        self.connections += 1


@pytest.fixture
def source():
    return FleetSource()


@pytest.fixture
def clock():
    return ManualClock()


def test_hosts_that_start_together_agree(source, clock):
    """Guards against two identities of one store."""
    one, other = StoreFleet(source, clock), StoreFleet(source, clock)
    source.before_write = lambda: (
        setattr(source, "before_write", lambda: None),
        other.check(ERA),
    )
    one.check(ERA)
    assert one.fleet == other.fleet != ""
    assert len(source.values) == 1


def test_an_identity_whose_answer_was_lost_is_read_again(source, clock):
    """Guards against a host that founds a second fleet as it heard nothing."""
    fleet = StoreFleet(source, clock)
    source.losing = True
    with pytest.raises(StoreUnavailable):
        fleet.check(ERA)
    assert not fleet.is_due(clock.boottime(), True)
    clock.advance(RETRY_S)
    assert fleet.is_due(clock.boottime(), False)
    fleet.check(ERA)
    assert [make_fleet_id(value) for value in source.values] == [fleet.fleet]


@pytest.mark.parametrize("value", [None, b"another", b"\xff\x00" * 10_000])
def test_a_store_with_another_identity_is_another_store(source, clock, value):
    """Guards against the state of a former store beside a new one."""
    fleet = StoreFleet(source, clock)
    assert not fleet.check(ERA)
    before = fleet.fleet
    source.replace(value)
    assert fleet.is_other_connection()
    assert fleet.check(ERA)
    assert fleet.fleet != before
    assert not fleet.check(ERA)


def test_a_store_that_comes_back_from_a_copy_is_the_same(source, clock):
    """Guards against the loss of what the hosts know better than the copy."""
    fleet = StoreFleet(source, clock)
    fleet.check(ERA)
    before = fleet.fleet
    source.replace(source.values[0], ERA + 1)
    assert not fleet.check(ERA)
    source.replace(None, ERA + 2)
    assert not fleet.check(ERA + 1)
    assert fleet.fleet == before
    assert make_fleet_id(source.values[0]) == before


def test_news_wait_for_the_first_check_and_no_longer(source, clock):
    """Guards against the state of another fleet that comes before the store's answer.

    A store that is silent must not hold up a start for longer than that.
    """
    fleet = StoreFleet(source, clock)
    assert not fleet.accepts("y", store_answers=False)
    clock.advance(FIRST_CHECK_S)
    assert fleet.accepts("y", store_answers=False)


def test_a_host_without_the_store_belongs_to_the_fleet_that_told_it(source, clock):
    """Guards against a host that takes the state of two fleets."""
    fleet = StoreFleet(source, clock)
    source.unavailable = True
    with pytest.raises(StoreUnavailable):
        fleet.check(ERA)
    assert fleet.accepts("y", store_answers=False)
    fleet.record_news("y")
    assert fleet.accepts("y", store_answers=False)
    assert not fleet.accepts("z", store_answers=False)
    source.unavailable = False
    clock.advance(RETRY_S)
    assert fleet.is_due(clock.boottime(), False)
    assert fleet.check(ERA)
    assert not fleet.accepts("y", store_answers=True)


def test_peers_that_name_no_fleet_are_heard_only_without_the_store(source, clock):
    """Guards against news of a former host, and against none while it is needed."""
    fleet = StoreFleet(source, clock)
    fleet.check(ERA)
    assert not fleet.accepts(None, store_answers=True)
    assert not fleet.accepts("", store_answers=True)
    assert fleet.accepts(None, store_answers=False)
    fleet.record_news(None)
    assert fleet.is_due(clock.boottime(), False)
    assert fleet.check(ERA)
    assert not fleet.check(ERA)


def test_a_host_that_reads_the_store_checks_now_and_then(source, clock):
    """Guards against a balancer that leads kept connections to another store."""
    fleet = StoreFleet(source, clock)
    fleet.check(ERA)
    clock.advance(CHECK_INTERVAL_S)
    assert fleet.is_due(clock.boottime(), True)
    assert not fleet.is_due(clock.boottime(), False)


def test_a_stranger_that_dials_on_costs_few_calls(source, clock):
    """Guards against a call of the store for each refused peer."""
    fleet = StoreFleet(source, clock)
    fleet.check(ERA)
    before = source.reads
    for _ in range(1_000):
        clock.advance(0.1)
        fleet.doubt()
        if fleet.is_due(clock.boottime(), False):
            fleet.check(ERA)
    assert 2 <= source.reads - before <= 8 + 100 / MAX_DOUBT_INTERVAL_S


def make_fleet_feed(clock, source):
    feed, views = make_feed(MemorySource(), clock, hosts=("h2", "h1"))
    feed.fleet = StoreFleet(source, clock)
    return feed, views


def make_news(clock, version):
    source = MemorySource()
    source.put_document(version)
    sender, _ = make_feed(source, clock, "h2")
    sender.read()
    return sender.make_full_news()


def test_news_that_come_before_the_first_check_are_applied_after_it(source, clock):
    """Guards against a start that is longer than before, as peers answer at once."""
    other = StoreFleet(source, clock)
    other.check(ERA)
    feed, _ = make_fleet_feed(clock, source)
    feed.receive_news(make_news(clock, 7), 0.0, other.fleet)
    assert feed.document.version == -1
    clock.advance(0.1)
    assert not feed.check_fleet()
    assert feed.document.version == 7
    assert feed.freshness.confirmed_at <= clock.boottime() - 0.1


def test_news_of_another_fleet_that_come_before_the_check_are_not_applied(
    source, clock
):
    feed, _ = make_fleet_feed(clock, source)
    feed.receive_news(make_news(clock, 7), 0.0, "y")
    feed.check_fleet()
    assert feed.document.version == -1


def test_early_news_are_applied_where_the_store_fails(source, clock):
    """Guards against a host that starts without the store and forgets its peers."""
    feed, _ = make_fleet_feed(clock, source)
    source.unavailable = True
    feed.receive_news(make_news(clock, 7), 0.0, "y")
    feed.check_fleet()
    assert feed.document.version == 7
    source.unavailable = False
    clock.advance(RETRY_S)
    feed.check_fleet()
    assert feed.document.version == -1
    assert not feed.freshness.is_fresh(clock.boottime())


def test_a_silent_store_holds_news_up_for_no_longer_than_the_first_check(source, clock):
    feed, _ = make_fleet_feed(clock, source)
    clock.advance(FIRST_CHECK_S)
    feed.receive_news(make_news(clock, 7), 0.0, "y")
    assert feed.document.version == 7


@pytest.mark.parametrize("fault", ["unavailable", "losing", "full"])
def test_a_store_that_keeps_no_identity_is_read_all_the_same(source, clock, fault):
    """Guards against a full store, or one of many topics, that stops all reads."""
    feed, _ = make_fleet_feed(clock, source)
    feed.hosts = ("h1", "h2")
    if fault == "full":
        source.write_fleet = lambda value, at: source.read_fleet() and fail()
    else:
        setattr(source, fault, True)
    feed.source.put_document(7)
    feed.step()
    assert feed.document.version == 7
    assert feed.freshness.is_fresh(clock.boottime())
    feed.source.put_document(8)
    clock.advance(RETRY_S)
    feed.step()
    assert feed.document.version == 8


def fail():
    raise StoreUnavailable("no room")


def test_a_read_of_another_store_is_not_applied(source, clock):
    """Guards against a later record of a new store that is read as if it followed."""
    feed, _ = make_fleet_feed(clock, source)
    feed.hosts = ("h1", "h2")
    feed.source.put_document(500)
    feed.step()
    assert feed.document.version == 500
    source.replace(b"another")
    feed.source.documents.clear()
    for version in (6, 7):
        feed.source.put_document(version)
    clock.advance(RETRY_S)
    feed.step()
    assert feed.document.version == -1
    feed.step()
    assert feed.document.version == 7


def test_a_silent_store_does_not_hold_up_the_state_of_peers(source, clock):
    """Guards against a start that waits for a store which gives no answer.

    The peer has answered before; the thread that asks the store waits for a second.
    """
    feed, _ = make_fleet_feed(clock, source)
    delayed = []
    feed.call_later = lambda delay_s, function: delayed.append((delay_s, function))
    news = make_news(clock, 7)
    feed.receive_news(news, 0.0, "y")
    feed.receive_news(replace(news, documents=replace(news.documents, start=1)), 0, "y")
    (delay_s, function) = delayed[0]
    assert (len(delayed), delay_s) == (1, FIRST_CHECK_S)
    clock.advance(delay_s)
    function()
    assert feed.document.version == 7
    function()


def test_a_store_that_fails_is_asked_for_the_identity_now_and_then(source, clock):
    """Guards against a host that spends its time on checks in an outage."""
    fleet = StoreFleet(source, clock)
    calls = []

    def fail_after_a_second():
        calls.append(clock.boottime())
        clock.advance(1.0)
        raise StoreUnavailable("silent")

    source.read_fleet = fail_after_a_second
    for _ in range(100):
        clock.advance(0.1)
        if fleet.is_due(clock.boottime(), True):
            with pytest.raises(StoreUnavailable):
                fleet.check(ERA)
    assert len(calls) <= 4
