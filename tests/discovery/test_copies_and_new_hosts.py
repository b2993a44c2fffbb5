"""What a host believes of an older copy while others know better."""

import functools

import pytest

from godwitladder.discovery.peer_requests import REQUEST_INTERVAL_S
from godwitladder.discovery.state_exchange import PEER_ANSWER_TIMEOUT_S
from tests.discovery.copied_store import CopiedSource, make_region


@pytest.mark.parametrize("noticed_s", [0, 1])
def test_a_host_that_starts_asks_its_peers_before_it_believes_a_copy(noticed_s):
    """Guards against a key that was taken away and is let in by a new host."""
    region = make_region(1, 2, 3)
    region.source.come_back(documents=2)
    region.run(noticed_s)
    new = region.add_new()
    answer, new.send_request = new.send_request, lambda wanted: True
    new.step()
    assert new.has_state()
    assert region.views["new"] == []
    new.send_request = answer
    region.clock.advance(REQUEST_INTERVAL_S)
    new.step()
    assert [view.document.version for view in region.views["new"]] == [3]


def test_a_host_that_no_peer_answers_believes_the_store():
    """Guards against a fleet that waits for itself after all hosts were killed."""
    region = make_region(1)
    new = region.add_new()
    new.send_request = lambda wanted: True
    new.step()
    assert region.views["new"] == []
    region.clock.advance(PEER_ANSWER_TIMEOUT_S)
    new.step()
    assert region.views["new"][-1].document.version == 1


def test_a_host_that_links_late_still_asks_a_peer():
    """Guards against the same, where links take longer than the host waits."""
    region = make_region(1, 2, 3)
    region.source.come_back(documents=2)
    region.run(1)
    new = region.add_new()
    answer, new.send_request = new.send_request, lambda wanted: False
    region.run(PEER_ANSWER_TIMEOUT_S + 1)
    assert region.views["new"][-1].document.version == 1
    new.request_state(answer)
    assert region.views["new"][-1].document.version == 3


def test_hosts_that_start_together_believe_the_store_at_once():
    """Guards against a second without service after all hosts were killed."""
    region = make_region(1)
    region.feeds.clear()
    one, two = region.add_new("one"), region.add_new("two")
    one.step()
    assert region.views["one"] == []
    two.step()
    assert region.views["two"][-1].document.version == 1


@pytest.mark.parametrize("knower", [0, 2], ids=["the reader", "another"])
def test_a_document_that_one_host_alone_has_read_reaches_all(knower):
    """Guards against a key that one host refuses and the others let in for good."""
    region = make_region(1, 2)
    region.source.put_document(3)
    feed = region.feeds[knower]
    tell, feed.broadcast = feed.broadcast, lambda news: None
    feed.read()
    feed.broadcast = tell
    region.source.come_back(documents=1)
    region.run(2)
    assert region.versions() == [3] * 3


def count_documents(region):
    """Return a list to which each document is added that a host tells the others."""
    told = []

    def tell(news, send):
        told.extend(news.documents.records)
        send(news)

    for feed in region.feeds:
        feed.broadcast = functools.partial(tell, send=feed.broadcast)
    return told


@pytest.mark.parametrize("away_s", [0, 4])
def test_the_reader_alone_tells_what_a_copy_lacks(away_s):
    """Guards against whole documents over all links, from all hosts at once."""
    region = make_region(1, 2, 3, count=12)
    told = count_documents(region)
    region.source.unavailable = True
    region.run(away_s)
    region.source.unavailable = False
    region.source.come_back(documents=2)
    region.run(3)
    assert [record.value for record in told] == [b"3"]


def test_hosts_that_read_a_copy_at_once_do_not_all_send_it():
    """Guards against the same, where all had lost the store and read by themselves."""
    region = make_region(1, 2, 3, count=12)
    told = count_documents(region)
    region.source.come_back(documents=2)
    began = region.clock.boottime()
    reads = [(feed, feed.fetch_both()) for feed in reversed(region.feeds)]
    for feed, batches in reads:
        feed.finish_read(*batches, began)
    region.run(3)
    assert [record.value for record in told] == [b"3"]


def test_one_host_tells_what_the_reader_does_not_know():
    """Guards against the same, where all but the reader know a lost document."""
    region = make_region(1, 2, 3, count=12)
    reader, second, *others = region.feeds
    region.source.put_document(4)
    tell = second.broadcast
    second.broadcast = lambda news: [row.apply_news(news) for row in others]
    second.read()
    second.broadcast = tell
    told = count_documents(region)
    region.source.come_back(documents=2)
    region.run(4)
    assert region.versions() == [4] * 12
    assert [record.value for record in told] == [b"3", b"4"]


def test_a_host_that_the_store_turns_away_follows_into_the_new_era():
    """Guards against a host that goes unready though its peers read the store."""
    region = make_region(1, 2, 3)
    reader, away, _ = region.feeds
    down = CopiedSource()
    down.unavailable = True
    region.feeds[0].source = away.source = down
    for feed in (reader, away):
        feed.send_request = lambda wanted, feed=feed: (
            feed.apply_news(region.feeds[2].make_full_news()) is None
        )
    region.source.come_back(documents=1)
    region.source.put_document(4)
    region.run(6)
    assert region.versions() == [4] * 3
    assert region.unready == 0
