"""Tests of the lines that tell from where a host knows its document."""

import logging

from godwitladder.clock import ManualClock
from godwitladder.discovery.read_timing import READ_INTERVAL_S
from godwitladder.discovery.store_copy import OUTAGE_THRESHOLD_S
from tests.discovery.test_discovery import MemorySource, make_feed

NO_NEWS_S = OUTAGE_S = 3.0


def find(caplog, text):
    return [row for row in caplog.records if row.getMessage().endswith(text)]


def test_a_change_names_the_host_that_told_it_and_the_age_of_its_read(caplog):
    """Guards against a late change that no line explains."""
    caplog.set_level(logging.INFO)
    source, clock = MemorySource(), ManualClock()
    reader, _ = make_feed(source, clock)
    other, _ = make_feed(source, clock, host="h2")
    reader.step(), other.step()
    reader.broadcast = lambda news: other.apply_news(news, late_s=0.25)
    source.put_document(7)
    clock.advance(READ_INTERVAL_S)
    caplog.clear()
    reader.step()
    own, told = sorted(find(caplog, "Routing document changed"), key=lambda r: r.age_s)
    assert (own.read_by, own.age_s, own.version) == ("h1", 0.0, 7)
    assert (told.read_by, told.age_s, told.version) == ("h1", 0.25, 7)
    assert other.freshness.confirmed_by == "h1"
    assert reader.freshness.confirmed_by is None


def test_a_host_without_news_tells_why_it_reads(caplog):
    """Guards against a host whose wait for news no line shows."""
    caplog.set_level(logging.INFO)
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    reader, _ = make_feed(source, clock)
    other, _ = make_feed(source, clock, host="h2")
    reader.step(), other.step()
    clock.advance(NO_NEWS_S)
    reader.step(), other.step()
    (line,) = find(caplog, "The store is read for lack of news")
    assert (line.age_s, line.last_news_s, line.rank) == (NO_NEWS_S, NO_NEWS_S, 1)


def test_a_host_tells_that_it_keeps_targets_after_an_outage(caplog):
    """Guards against a target that one host goes on to use, which no line explains."""
    caplog.set_level(logging.INFO)
    source, clock = MemorySource(), ManualClock()
    source.put_document(1)
    feed, _ = make_feed(source, clock, hosts=("h1",))
    for wait_s in (0.0, OUTAGE_THRESHOLD_S - 0.2, OUTAGE_S):
        clock.advance(wait_s)
        feed.step()
    (line,) = find(caplog, "Removals of targets wait after an outage of the store")
    assert (line.away_s, line.outage_s) == (OUTAGE_S, OUTAGE_THRESHOLD_S)
