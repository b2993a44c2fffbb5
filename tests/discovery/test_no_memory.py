"""Reads of the store by a host that has too little memory for them for a while."""

import resource

import pytest

from godwitladder.clock import ManualClock
from godwitladder.membership.codec import decode
from godwitladder.process import threads
from godwitladder.process.memory import MIN_CHECKED_BYTES, require_room
from tests.discovery.test_discovery import MemorySource, make_feed
from tests.discovery.test_failed_turns import turn

PUBLISH = "publish"
MAX_STEPS = 8


class StarvedSource(MemorySource):
    """Store of whose records one can't be decoded once."""

    def __init__(self):
        super().__init__()
        self.fails_in = None

    def count_down(self):
        """Raise a `MemoryError` at the step that a test has chosen."""
        if self.fails_in is not None:
            self.fails_in -= 1
        if self.fails_in == 0:
            raise MemoryError

    def decode_document(self, record):
        self.count_down()
        return super().decode_document(record)

    def decode_entry(self, record):
        self.count_down()
        return super().decode_entry(record)


@pytest.mark.parametrize("fails_at", [*range(1, MAX_STEPS), PUBLISH])
def test_a_read_without_memory_is_made_up_for(fails_at):
    """Guards against records that are lost, and confirmed, by a read that failed."""
    source, clock = StarvedSource(), ManualClock()
    feed, views = make_feed(source, clock)
    source.put_document(1)
    feed.step()
    confirmed_at = feed.freshness.confirmed_at
    source.put_document(2)
    source.put(b"one", "e1")
    source.put(b"two", "e2")
    publish = feed.publish

    def fail(view):
        raise MemoryError

    if fails_at == PUBLISH:
        feed.publish = fail
    else:
        source.fails_in = fails_at
    turn(feed)
    if fails_at == PUBLISH or source.fails_in <= 0:
        assert feed.freshness.confirmed_at == confirmed_at
        assert feed.is_doubtful
    feed.publish = publish
    source.fails_in = None
    turn(feed)
    assert views[-1].document.version == 2
    assert {row.name for row in views[-1].targets} == {"e1", "e2"}
    assert feed.freshness.confirmed_at > confirmed_at


def test_long_values_are_not_coded_without_room(monkeypatch):
    """Guards against a library that ends the process where it gets no memory."""
    pages = int(threads.SIZES_PATH.read_text().split()[0])
    limit = (pages * resource.getpagesize() + MIN_CHECKED_BYTES,) * 2
    none = (resource.RLIM_INFINITY,) * 2
    monkeypatch.setattr(
        threads.resource,
        "getrlimit",
        lambda kind: limit if kind == resource.RLIMIT_AS else none,
    )
    require_room(MIN_CHECKED_BYTES - 1)
    with pytest.raises(MemoryError):
        require_room(MIN_CHECKED_BYTES)
    with pytest.raises(MemoryError):
        decode(bytes(MIN_CHECKED_BYTES))
