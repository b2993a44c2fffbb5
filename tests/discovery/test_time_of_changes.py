"""Tests of the time until any host has a change, with hosts that lack news."""

import contextlib
import random

import pytest

from godwitladder.discovery.feed import Feed
from godwitladder.discovery.read_timing import READ_INTERVAL_S
from godwitladder.discovery.source import StoreUnavailable
from tests.discovery.test_discovery import MemorySource
from tests.discovery.test_slow_store import SlowRegion

IN_FORCE_S = 2.0
"""Time within which a change must be in force."""
SHORTEST_CHANGE_S, LONGEST_CHANGE_S = 0.1, 0.9
FAULT_S, CALM_S = 3.0, 2.0
READS_PER_S = 2_000
"""Reads that the store allows all hosts of the smallest deployments together."""


class LossyRegion(SlowRegion):
    """Hosts, some of which don't reach each other for some time.

    Attributes
    ----------
    cut : set of (str, str)
        Pairs of hosts between which nothing gets through.
    stopped : set of str
        Hosts that stand still.
    written : list of (float, int)
        Time of each new document, and its version.
    late : set of str
        Hosts that had a document too late.
    way_s : float
        Longest time that news may have been on the way, by the clocks of their hosts.
    questions : int
        Requests for news.
    busiest : int
        Most reads in one second.
    """

    def __post_init__(self) -> None:
        self.cut, self.stopped, self.late = set(), set(), set()
        self.way_s = 0.0
        self.random = random.Random(self.count)
        super().__post_init__()
        self.written = [(self.clock.boottime(), 1)]
        self.change_at = self.second_ends = 0.0
        self.questions = self.busiest = self.reads_before = 0
        for feed in self.feeds:
            feed.send_request = lambda wanted, feed=feed: self.ask(feed, wanted)

    def reaches(self, one: Feed, two: Feed) -> bool:
        is_cut = {(one.host, two.host), (two.host, one.host)} & self.cut
        return not is_cut and not {one.host, two.host} & self.stopped

    def broadcast(self, sender, news):
        for feed in self.feeds:
            if feed is not sender and self.reaches(sender, feed):
                self.deliver(feed, news)

    def deliver(self, feed, news):
        late_s = self.random.uniform(0, self.way_s) if self.way_s else 0.0
        feed.apply_news(news, late_s)

    def ask(self, feed, wanted):
        others = [row for row in self.feeds[1:] if row is not feed]
        peer = self.random.choice(others)
        self.questions += 1
        if self.reaches(feed, peer):
            peer.answer_request(lambda news: self.deliver(feed, news), wanted.known)
        return True

    def step_feed(self, feed, now):
        if feed.host in self.stopped:
            return
        feed.request_late_news(now)
        # Its next read is due after an interval.
        with contextlib.suppress(StoreUnavailable):
            super().step_feed(feed, now)

    def run(self, seconds):
        until = self.clock.boottime() + seconds
        while self.clock.boottime() < until:
            super().run(0.05)
            self.write(self.clock.boottime())
            self.check(self.clock.boottime())

    def write(self, now):
        if now < self.change_at:
            return
        self.change_at = now + self.random.uniform(SHORTEST_CHANGE_S, LONGEST_CHANGE_S)
        self.written.append((now, self.written[-1][1] + 1))
        self.source.put_document(self.written[-1][1])

    def check(self, now):
        due = max(version for at, version in self.written if at <= now - IN_FORCE_S)
        self.late |= {
            feed.host
            for feed in self.feeds
            if feed.document.version < due and feed.host not in self.stopped
        }
        if now >= self.second_ends:
            self.second_ends = now + 1.0
            reads, self.reads_before = self.reads_before, self.source.reads
            self.busiest = max(self.busiest, self.source.reads - reads)


def make_region(count, read_s):
    region = LossyRegion(count, read_s)
    region.clock.advance(IN_FORCE_S)
    region.run(CALM_S)
    region.late.clear()
    region.busiest = region.questions = 0
    return region


@pytest.mark.parametrize("read_s", [0.0, 0.1, 0.25, 0.4])
@pytest.mark.parametrize("fraction", [0.5, 1.0])
@pytest.mark.parametrize("count", [15, 24])
def test_hosts_that_the_reader_does_not_reach_have_changes_in_time(
    count, fraction, read_s
):
    """Guards against waits for news that add up to more than a change may take."""
    region = make_region(count, read_s)
    for _ in range(4):
        others = region.names[1:]
        lost = region.random.sample(others, round(fraction * len(others)))
        region.cut = {(region.names[0], name) for name in lost}
        region.run(FAULT_S)
        region.cut = set()
        region.run(CALM_S)
    assert not region.late


@pytest.mark.parametrize("read_s", [0.0, 0.1, 0.25])
@pytest.mark.parametrize("count", [15, 213])
def test_a_change_is_known_in_time_when_the_first_readers_stand_still(count, read_s):
    """Guards against delays of a reading order that add up, and a store in a crowd."""
    region = make_region(count, read_s)
    for stopped in (1, 2, 5):
        region.stopped = set(region.names[:stopped])
        region.run(FAULT_S)
        region.stopped = set()
        region.run(CALM_S)
        # Those that stood still have read again by now.
        region.late -= set(region.names[:stopped])
    assert not region.late
    assert region.busiest <= READS_PER_S


@pytest.mark.parametrize("read_s", [0.0, 0.25])
def test_a_host_that_nobody_reaches_reads_in_time(read_s):
    """Guards against a host at the end of the reading order that waits its turn."""
    region = make_region(15, read_s)
    last = region.names[-1]
    region.cut = {(name, last) for name in region.names[:-1]}
    region.run(2 * FAULT_S)
    assert not region.late


@pytest.mark.parametrize("read_s", [0.0, 0.25, 0.8])
@pytest.mark.parametrize("count", [15, 213])
def test_nobody_asks_and_only_the_reader_reads_in_calm(count, read_s):
    """Guards against questions and reads that calm hosts need not pay for."""
    region = make_region(count, read_s)
    reads = region.source.reads
    region.run(10.0)
    assert region.questions == 0
    assert region.source.reads - reads <= 2 * 10.0 / max(READ_INTERVAL_S, read_s) + 2


@pytest.mark.parametrize("count", [15, 213])
def test_hosts_whose_store_turns_the_first_readers_away_know_who_leaves(count):
    """Guards against a target that all hosts but one go on to use after it has left.

    The store turns away the reader and the three next in order.
    """
    region = make_region(count, 0.0)
    region.source.put(b"one")
    region.run(CALM_S)
    down = MemorySource()
    down.unavailable = True
    turned_away = region.feeds[:4]
    for feed in turned_away:
        feed.source = down
    region.source.put(b"")
    region.run(IN_FORCE_S)
    assert not any(feed.table.entries for feed in region.feeds)


def test_a_host_that_reads_for_lack_of_news_takes_its_wait_for_no_outage():
    """Guards against a target that stays for seconds after it has left."""
    region = make_region(15, 0.0)
    region.source.put(b"one")
    region.run(CALM_S)
    last = region.names[-1]
    region.cut = {(name, last) for name in region.names[:-1]}
    region.source.put(b"")
    region.run(IN_FORCE_S)
    assert not region.feeds[-1].table.entries


@pytest.mark.parametrize("read_s", [0.1, 0.25, 0.35])
@pytest.mark.parametrize("count", [5, 15])
def test_a_reader_that_stood_still_in_a_read_makes_no_host_wait_longer(count, read_s):
    """Guards against one long read that is taken for a slow store by all hosts.

    The reader stops again before its next read.
    """
    region = make_region(count, read_s)
    reader = region.names[0]
    while reader not in region.reads_in_progress:
        region.run(0.05)
    region.stopped = {reader}
    region.run(FAULT_S)
    region.stopped = set()
    region.run(0.05)
    region.stopped = {reader}
    region.run(FAULT_S)
    assert not region.late - {reader}
