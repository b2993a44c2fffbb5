"""Documents and targets after the store has come back from a copy."""

from dataclasses import replace

import pytest

from godwitladder.discovery.source import NO_ERA
from tests.discovery.copied_store import make_region


@pytest.mark.parametrize("lost", [1, 2, 3])
def test_what_is_written_again_up_to_where_hosts_read_on_is_known(lost):
    """Guards against documents that no host ever reads, as their offsets are old."""
    region = make_region(1, 2, 3, 4)
    region.source.come_back(documents=lost)
    for version in range(5, 5 + lost):
        region.source.put_document(version)
    region.run(2)
    assert region.versions() == [4 + lost] * 3


def test_a_store_that_comes_back_twice_is_read_each_time():
    """Guards against the same, where the second copy is as long as the first."""
    region = make_region(1, 2, 3)
    for version in (4, 5):
        region.source.come_back(documents=1)
        region.source.put_document(version)
        region.run(1)
        assert region.versions() == [version] * 3


@pytest.mark.parametrize("written", [0, 1])
def test_hosts_stay_ready_while_the_copy_is_older(written):
    """Guards against hosts that refuse all callers until enough is written again."""
    region = make_region(1, 2, 3)
    region.source.come_back(documents=2)
    for _ in range(written):
        region.source.put_document(3)
    region.run(10)
    assert region.unready == 0
    assert region.versions() == [3] * 3


def test_an_answer_of_an_era_that_is_over_moves_no_host():
    """Guards against a late answer that brings the old offsets back."""
    region = make_region(1, 2, 3)
    one, two, _ = region.feeds
    began = region.clock.boottime()
    late = two.fetch_both()
    region.source.come_back(documents=2)
    region.run(1)
    place = two.document_place
    two.finish_read(*late, began)
    one.broadcast(two.make_full_news())
    assert two.document_place == place
    region.source.put_document(4)
    region.run(2)
    assert region.versions() == [4] * 3


def test_a_later_document_of_an_era_that_is_over_is_taken():
    """Guards against a key that was taken away and is let in, as its change is lost."""
    region = make_region(1, 2)
    region.source.put_document(3)
    began = region.clock.boottime()
    late = region.feeds[1].fetch_both()
    region.source.come_back(documents=1)
    region.feeds[1].read()
    region.feeds[1].finish_read(*late, began)
    assert region.versions()[1] == 3


def test_an_era_that_begins_between_the_reads_of_two_topics_is_read_whole():
    """Guards against one topic that is read on where the other era stood."""
    region = make_region(1, 2, 3)
    (feed, *_), source = region.feeds, region.source
    read_entries = source.read_entries

    def come_back_and_read(offset):
        source.read_entries = read_entries
        source.come_back(documents=1)
        source.put_document(4)
        return read_entries(offset)

    source.read_entries = come_back_and_read
    feed.read()
    assert feed.document.version == 4
    assert feed.document_place.era == feed.entry_place.era == source.era


def test_a_host_that_missed_the_news_of_a_copy_reads_by_itself():
    """Guards against news of a new era that is taken to follow the old one."""
    region = make_region(1, 2, 3)
    region.source.come_back(documents=1)
    region.feeds[0].broadcast = lambda news: None
    region.feeds[0].read()
    region.feeds[0].broadcast = lambda news: [
        row.apply_news(news) for row in region.feeds[1:]
    ]
    region.source.put_document(4)
    region.run(3)
    assert region.versions() == [4] * 3
    assert region.unready == 0


@pytest.mark.parametrize("era", [NO_ERA, 7], ids=["no era", "the same era"])
def test_a_store_that_goes_back_without_a_new_era_is_read_anew(era):
    """Guards against hosts that wait until the store has grown to where it was."""
    region = make_region(1, 2, 3)
    region.source.era = era
    region.run(3)
    region.source.come_back(documents=2)
    region.source.era = era
    region.source.put_document(4)
    region.run(4)
    assert region.versions() == [4] * 3
    assert region.unready == 0


def test_a_store_that_counts_its_eras_anew_is_read():
    """Guards against hosts that take all answers for late ones for ever."""
    region = make_region(1, 2)
    region.source.era = 0
    region.source.put_document(3)
    region.run(3)
    assert region.versions() == [3] * 3
    assert region.unready == 0


def test_a_host_of_the_former_version_that_reads_for_all_stops_nobody():
    """Guards against hosts that go unready beside one that tells no era."""
    region = make_region(1, 2, 3)
    former = region.feeds[0]
    send = former.broadcast
    former.broadcast = lambda news: send(without_era(news))
    region.source.come_back(documents=1)
    region.run(5)
    region.source.put_document(4)
    region.run(3)
    assert region.versions() == [4] * 3
    assert region.unready == 0


def without_era(news):
    """Return news as a host of the former version sends it."""
    documents, entries = (
        replace(row, era=NO_ERA) for row in (news.documents, news.entries)
    )
    return replace(news, documents=documents, entries=entries)


def test_news_of_an_era_that_is_over_brings_a_later_document():
    """Guards against the same, where another host has read the change."""
    region = make_region(1, 2)
    one, two, _ = region.feeds
    one.broadcast = lambda news: None
    region.source.put_document(3)
    one.read()
    news = one.make_full_news()
    region.source.come_back(documents=1)
    two.read()
    two.apply_news(news)
    assert two.document.version == 3
    assert two.document_place.era == region.source.era
