"""An unexpected error in a turn, just before the store comes back from a copy."""

import pytest

from godwitladder.clock import ManualClock
from tests.discovery.copied_store import CopiedSource
from tests.discovery.test_discovery import make_feed
from tests.discovery.test_failed_turns import Faulty, turn

BOTH = {"e1", "e2"}


@pytest.fixture
def feed():
    source = CopiedSource()
    source.put_document(1)
    source.put(b"one")
    source.put(b"two", "e2")
    feed, views = make_feed(source, ManualClock(), hosts=("h1",))
    feed.views = views
    turn(feed)
    return feed


def names_in(view):
    return {row.name for row in view.targets}


@pytest.mark.parametrize("failing", [(), (1,)], ids=["no error", "an error"])
def test_live_targets_that_the_copy_lacks_are_kept_after_an_error(feed, failing):
    """Guards against live targets that are dropped at once, as if never known."""
    feed.source.put(b"one leaves")
    feed.table.put = Faulty(feed.table.put, *failing)
    turn(feed)
    feed.source.entries.pop()
    feed.source.come_back(entries=1)
    turn(feed)
    assert names_in(feed.views[-1]) == BOTH


@pytest.mark.parametrize("failing", [(), (1,)], ids=["no error", "an error"])
def test_live_targets_are_kept_where_the_read_of_the_copy_fails(feed, failing):
    """Guards against the same where the copy itself causes the error."""
    feed.source.come_back(entries=1)
    feed.make_news = Faulty(feed.make_news, *failing)
    turn(feed)
    turn(feed)
    assert names_in(feed.views[-1]) == BOTH
