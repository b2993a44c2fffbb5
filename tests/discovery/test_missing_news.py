"""Tests of what a host is sent that lacks news of others."""

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitladder.clock import ManualClock
from godwitladder.discovery import recent_records
from godwitladder.discovery.feed import COMPARED_READS
from godwitladder.discovery.messages import FeedWanted
from godwitladder.discovery.read_timing import ASK_INTERVAL_S, READ_INTERVAL_S
from godwitladder.discovery.telling import describe_state
from godwitladder.membership.codec import decode, encode
from tests.discovery.test_discovery import MemorySource, make_feed

LATE_S = 1.5
WRITES = (
    ("e1", b"one"),
    ("e1", b"one leaves"),
    ("e1", b""),
    ("e2", b"two"),
    ("e2", b""),
)


class Pair:
    """A host that reads, and one that hears of it now and then."""

    def __init__(self):
        self.source, self.clock = MemorySource(), ManualClock()
        self.source.put_document(1)
        self.reader, _ = make_feed(self.source, self.clock)
        self.other, _ = make_feed(self.source, self.clock, host="h2")
        self.reader.step(), self.other.step()
        self.answers = []

    def read(self, is_heard):
        self.reader.broadcast = self.other.apply_news if is_heard else len_of
        self.clock.advance(READ_INTERVAL_S)
        self.reader.read()

    def ask(self):
        """Have the other host ask the reader, and apply its answer."""
        wanted = decode(encode(FeedWanted("h2", describe_state(self.other))))
        self.reader.answer_request(self.receive, wanted.known)

    def receive(self, news):
        news = decode(encode(news))
        self.answers.append(news)
        self.other.apply_news(news)


def len_of(news):
    """Drop ``news``."""


@given(
    st.lists(
        st.tuples(
            st.lists(st.sampled_from(WRITES)),
            st.booleans(),
            st.booleans(),
        ),
        max_size=12,
    )
)
def test_a_host_that_missed_news_has_the_same_targets_after_an_answer(rounds):
    """Guards against a target that one host keeps, or lacks, after an answer."""
    pair = Pair()
    for number, (writes, is_heard, asks) in enumerate(rounds):
        for key, value in writes:
            pair.source.put(value, key)
        pair.source.put_document(2 + number)
        pair.read(is_heard)
        if asks:
            pair.ask()
    pair.clock.advance(READ_INTERVAL_S)
    pair.ask()
    assert pair.other.document.version == pair.reader.document.version
    assert pair.other.table.entries == pair.reader.table.entries
    assert pair.other.entry_place == pair.reader.entry_place


def test_an_answer_has_no_more_than_what_is_missing():
    """Guards against whole documents for each host whose link hangs."""
    pair = Pair()
    pair.source.put(b"one", "e1")
    pair.read(is_heard=True)
    pair.source.put(b"two", "e2")
    pair.read(is_heard=False)
    pair.ask()
    (news,) = pair.answers
    assert news.documents.records == ()
    assert [row.key for row in news.entries.records] == ["e2"]
    assert pair.other.freshness.age_s(pair.clock.boottime()) == 0.0


def test_a_host_too_far_back_is_sent_the_full_state(monkeypatch):
    """Guards against changes that are skipped because they are no longer kept."""
    monkeypatch.setattr(recent_records, "MAX_RECENT_RECORDS", 2)
    pair = Pair()
    for key in ("e1", "e2", "e3"):
        pair.source.put(b"one", key)
    pair.read(is_heard=False)
    pair.ask()
    assert pair.answers[0].entries.start == -1
    assert sorted(pair.other.newest_entries) == ["e1", "e2", "e3"]


def test_a_peer_that_knows_nothing_newer_sends_nothing():
    """Guards against answers to each host while nobody reads the store."""
    pair = Pair()
    pair.read(is_heard=True)
    pair.clock.advance(LATE_S)
    pair.ask()
    assert pair.answers == []


def test_news_after_a_gap_lead_to_a_question_at_once():
    """Guards against a host that waits until its state is old to ask for records."""
    pair = Pair()
    pair.source.put(b"one")
    pair.read(is_heard=False)
    pair.source.put(b"one leaves")
    asked = []
    pair.other.send_request = lambda wanted: asked.append(wanted) is None
    pair.read(is_heard=True)
    assert [wanted.known.entries for wanted in asked] == [0]
    pair.reader.answer_request(pair.receive, asked[0].known)
    assert pair.other.table.entries["e1"].leaving


def test_a_peer_is_asked_again_and_again_but_not_at_each_step():
    """Guards against a host that asks once a peer which lacks the news too."""
    pair = Pair()
    asked = []
    pair.other.send_request = lambda wanted: asked.append(wanted) is None
    pair.other.hosts = ("h1", *(f"h{n}" for n in range(3, 9)), "h2")
    pair.read(is_heard=True)
    pair.clock.advance(1.05 - READ_INTERVAL_S)
    for _ in range(int(4 * ASK_INTERVAL_S / 0.05)):
        pair.clock.advance(0.05)
        pair.other.step()
    assert 2 <= len(asked) <= 4


def test_a_reader_that_the_store_turns_away_asks_for_news():
    """Guards against a reader that lacks a change which all others have."""
    pair = Pair()
    pair.read(is_heard=True)
    pair.reader.hosts = pair.other.hosts = ("h1", "h2")
    pair.reader.source = MemorySource()
    pair.reader.source.unavailable = True
    pair.reader.send_request = lambda wanted: (
        pair.other.answer_request(pair.reader.apply_news, wanted.known) is None
    )
    pair.source.put_document(2)
    pair.clock.advance(LATE_S)
    pair.other.read()
    pair.reader.step()
    assert pair.reader.document.version == 2


def test_an_answer_of_a_peer_keeps_no_host_from_telling_what_it_read():
    """Guards against a change that is read and told to nobody.

    The first hosts of the reading order lack news too; one of them answers a question
    with a state that is hardly newer.
    """
    pair = Pair()
    pair.read(is_heard=True)
    far = pair.other
    far.hosts = ("h1", "h3", "h4", "h5", "h2")
    told = []
    far.broadcast = told.append
    pair.clock.advance(LATE_S)
    answer = pair.reader.make_full_news()
    far.apply_news(replace(answer, age_s=answer.age_s - 0.06))
    pair.source.put_document(2)
    far.step()
    assert [news.version for news in told] == [2]


@pytest.mark.parametrize("way_s", [0.0, 0.9])
def test_a_long_way_of_news_makes_no_host_wait_longer(way_s):
    """Guards against bad links that make every host more patient."""
    pair = Pair()
    pair.reader.broadcast = lambda news: pair.other.apply_news(news, late_s=way_s)
    for _ in range(2 * COMPARED_READS):
        pair.clock.advance(READ_INTERVAL_S)
        pair.reader.read()
    assert pair.other.read_s == 0.0


def test_a_state_that_was_asked_for_tells_nothing_of_a_read():
    """Guards against the age of a state that is taken for the time of a read."""
    pair = Pair()
    pair.clock.advance(LATE_S)
    for _ in range(2 * COMPARED_READS):
        pair.other.apply_news(pair.reader.make_full_news())
    assert pair.other.read_s == 0.0


def test_recent_records_are_bounded():
    """Guards against a fleet whose many keys fill the memory of each host."""
    pair = Pair()
    rng = random.Random(1)
    for _ in range(4):
        for number in range(400):
            pair.source.put(b"one", f"k{rng.randrange(2_000)}-{number}")
        pair.read(is_heard=True)
    kept = pair.other.recent_entries.records
    assert len(kept) <= recent_records.MAX_RECENT_RECORDS
