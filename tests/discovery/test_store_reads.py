"""Tests of reads of both topics at the same time."""

import threading

import pytest

from godwitladder.discovery import store_reads
from godwitladder.discovery.places import Place
from godwitladder.discovery.source import StoreUnavailable
from godwitladder.discovery.store_reads import ReadThread, read_both
from godwitladder.process.threads import ThreadDenied
from tests.discovery.test_discovery import MemorySource

WAIT_S = 10.0
START = Place(offset=0)


@pytest.fixture
def thread():
    started = ReadThread()
    started.start()
    return started


class MeetingSource(MemorySource):
    """Store that answers once both topics are being read."""

    def __init__(self):
        super().__init__()
        self.both = threading.Barrier(2)

    def read_documents(self, offset):
        self.both.wait(WAIT_S)
        return super().read_documents(offset)

    def read_entries(self, offset):
        self.both.wait(WAIT_S)
        return super().read_entries(offset)


def test_both_topics_are_read_at_the_same_time(thread):
    """Guards against a read that takes twice as long as an answer."""
    source = MeetingSource()
    source.put_document(1)
    source.put(b"one")
    documents, entries = read_both(source, START, START, thread.call)
    assert (documents.next, entries.next) == (1, 1)


@pytest.mark.parametrize("failing", ["read_documents", "read_entries"])
def test_a_failure_of_either_read_is_that_of_both(failing, thread):
    """Guards against a part of the store that is taken for all of it."""
    source = MemorySource()

    def fail(offset):
        raise StoreUnavailable("no answer")

    setattr(source, failing, fail)
    with pytest.raises(StoreUnavailable):
        read_both(source, START, START, thread.call)


def test_a_host_that_gets_no_thread_reads_in_turn(monkeypatch):
    """Guards against a host that stops reading when threads are denied."""

    def deny(*args):
        raise ThreadDenied("none")

    monkeypatch.setattr(store_reads, "start_thread", deny)
    thread = ReadThread()
    thread.start()
    source = MemorySource()
    source.put_document(1)
    documents, entries = read_both(source, START, START, thread.call)
    assert (documents.next, entries.next) == (1, 0)


def test_a_read_that_does_not_end_holds_up_no_later_one(thread, monkeypatch):
    """Guards against a host that waits for one read for ever."""
    monkeypatch.setattr(store_reads, "MAX_JOB_S", 0.05)
    release = threading.Event()
    with pytest.raises(StoreUnavailable):
        thread.call(lambda: release.wait(WAIT_S))()
    assert thread.call(threading.get_ident)() == threading.get_ident()
    release.set()


@pytest.mark.parametrize("error", [MemoryError, SystemExit, KeyboardInterrupt])
def test_any_error_of_a_read_reaches_the_thread_that_waits(thread, error):
    """Guards against a wait for a read whose thread has ended."""

    def fail():
        raise error

    with pytest.raises(error):
        thread.call(fail)()
    assert thread.call(lambda: 1)() == 1
