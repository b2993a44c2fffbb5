"""What a host asks of its peers if its links come after it has read the store."""

import pytest

from godwitladder.discovery.peer_requests import (
    LATE_INTERVAL_S,
    MAX_LATE_INTERVAL_S,
    PeerRequests,
)
from godwitladder.discovery.read_timing import ASK_INTERVAL_S
from godwitladder.discovery.state_exchange import PEER_ANSWER_TIMEOUT_S
from tests.discovery.copied_store import Region, make_region

FLEET = 213
NEWS_S = 1.0
"""Time within which each linked host receives news."""


class LateRegion:
    """A region, and new hosts in it that nobody reaches before they are linked.

    Attributes
    ----------
    requests : list of HostId
        The host that sent each request.
    answers : bool
        Whether peers answer.
    questions : int
        Requests for just what a host lacks.
    whole_answers : int
        Full states that were sent, whatever was asked.
    """

    def __init__(self, region, count=1):
        self.region, self.requests, self.answers = region, [], True
        self.questions = self.whole_answers = 0
        self.olds = list(region.feeds)
        self.news = [region.add_new(f"new{number}") for number in range(count)]
        self.receive = {feed.host: feed.apply_news for feed in self.news}
        for feed in self.news:
            feed.send_request = lambda wanted: False
            feed.apply_news = lambda news: None

    def link(self, links=1):
        """Link each new host to the others, ``links`` times."""
        for feed in self.news:
            feed.apply_news = self.receive[feed.host]
            feed.send_request = self.answer(feed, self.olds[0])
            for number in range(links):
                peer = self.olds[number % len(self.olds)]
                feed.request_state(self.answer(feed, peer))

    def answer(self, feed, peer):
        def send(wanted):
            assert wanted.host == feed.host
            if wanted.known is None:
                self.requests.append(feed.host)
            else:
                self.questions += 1
            if self.answers:
                peer.answer_request(lambda news: self.deliver(feed, news), wanted.known)
            return True

        return send

    def deliver(self, feed, news):
        self.whole_answers += news.documents.start < 0
        feed.apply_news(news)

    def versions(self):
        return {feed.document.version for feed in self.news}


def copied(count=1):
    """Return new hosts that have read an older copy before their first link."""
    region = make_region(1, 2, 3)
    region.source.come_back(documents=2)
    region.run(1)
    late = LateRegion(region, count)
    region.run(PEER_ANSWER_TIMEOUT_S + 1)
    assert late.versions() == {1}
    return late


@pytest.mark.parametrize("links", [1, 2, FLEET])
def test_one_peer_is_asked_however_many_links_come(links):
    """Guards against whole documents over each link of a host that links late."""
    late = copied()
    late.link(links)
    late.region.run(NEWS_S)
    assert late.versions() == {3}
    assert late.requests == ["new0"]
    late.link(links)
    late.region.run(2 * MAX_LATE_INTERVAL_S)
    assert late.requests == ["new0"]
    assert (late.questions, late.whole_answers) == (0, 1)


def test_a_fleet_that_starts_together_and_links_late_asks_for_nothing():
    """Guards against the traffic of a request by each host that starts."""
    region = Region(3)
    region.source.put_document(1)
    region.run(2)
    late = LateRegion(region, FLEET - 3)
    region.run(PEER_ANSWER_TIMEOUT_S + 1)
    late.link(links=FLEET)
    region.run(2 * LATE_INTERVAL_S)
    assert late.versions() == {1}
    assert late.requests == []
    assert (late.questions, late.whole_answers) == (0, 0)


def test_a_first_link_after_minutes_tells_of_a_document_that_the_store_lost():
    """Guards against an older copy that is kept because the host asked too early."""
    late = copied()
    late.region.run(180)
    assert late.versions() == {1}
    late.link()
    late.region.run(NEWS_S)
    assert late.versions() == {3}
    assert len(late.requests) == 1


def test_an_answer_that_never_comes_is_asked_for_again_ever_more_rarely():
    """Guards against an old copy for good, and against requests without end."""
    late = copied()
    late.answers = False
    late.link(links=FLEET)
    late.region.run(NEWS_S)
    assert len(late.requests) == 1
    late.region.run(600)
    assert 2 < len(late.requests) <= 3 + 600 / MAX_LATE_INTERVAL_S + 4
    late.answers = True
    late.region.run(MAX_LATE_INTERVAL_S + NEWS_S)
    assert late.versions() == {3}


def test_a_host_that_reads_for_others_and_links_late_asks_one_of_them():
    """Guards against a reader that keeps its older copy, as no news come to it."""
    late = copied()
    (reader,) = late.news
    for feed in late.region.feeds:
        feed.hosts = (reader.host, *feed.hosts)
    late.link(links=FLEET)
    late.region.run(LATE_INTERVAL_S + NEWS_S)
    assert late.versions() == {3}
    assert late.requests == ["new0"]


def test_a_host_alone_in_its_zone_asks_nobody_and_is_served():
    """Guards against a wait for links that never come."""
    region = make_region(1)
    late = LateRegion(region)
    region.run(60)
    assert late.versions() == {1}
    assert late.requests == []


def test_peers_in_another_history_of_the_store_lead_to_one_request():
    """Guards against requests again and again between two histories.

    The peers read a store that has lost this host's place and counts no new era.
    """
    late = copied()
    for feed in late.olds:
        feed.document_place = feed.entry_place = type(feed.entry_place)(1, 0)
        feed.source = type(feed.source)(era=1)
        feed.source.put_document(3)
    late.link(links=FLEET)
    late.region.run(2 * LATE_INTERVAL_S)
    assert late.versions() == {3}
    assert len(late.requests) <= 2
    assert late.whole_answers <= 2
    assert late.questions <= 2 * LATE_INTERVAL_S / ASK_INTERVAL_S


def test_peers_that_name_no_version_are_asked_once():
    """Guards against a host that links late beside hosts of an earlier version."""
    requests = PeerRequests()
    requests.record_link(100.0)
    requests.record_news(-1)
    assert not requests.is_due(100.0, False, 1)
    assert requests.is_due(100.0 + LATE_INTERVAL_S, False, 1)
    requests.is_heard = True
    assert not requests.is_due(100.0 + LATE_INTERVAL_S, False, 1)
