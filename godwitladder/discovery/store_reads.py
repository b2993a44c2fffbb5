"""Reads the topics of documents and targets, both at the same time.

The duration of a read is a part of the time until a change is in force. With one read
after the other, it would be twice the time that the store takes to answer.
"""

import queue
import threading
from collections.abc import Callable
from typing import Generic, TypeVar

from godwitladder.discovery.batches import join
from godwitladder.discovery.places import Place
from godwitladder.discovery.source import (
    Batch,
    Source,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.logs import component_logger
from godwitladder.process.threads import ThreadDenied, start_thread

log = component_logger("feed")

MAX_FURTHER_READS = 4
"""Reads of one topic in a row, after the first; a snapshot is shorter than so many
changes."""
MAX_READS_FOR_ERA = 3
"""Reads of both topics until both are of one era."""
MAX_JOB_S = 30.0
"""Longest wait for the read of one topic, which may have many pages."""

T = TypeVar("T")
Beside = Callable[[Callable[[], T]], Callable[[], T]]
"""Starts a function, and returns one that waits for its result."""


def call_in_turn(function: Callable[[], T]) -> Callable[[], T]:
    """Return ``function``, which is called once its result is asked for."""
    return function


class Job(Generic[T]):
    """A call in another thread.

    It needs no memory to end: the thread that waits for it would wait in vain if that
    were denied.

    Attributes
    ----------
    done : threading.Lock
        Held until the call has ended.
    """

    def __init__(self, function: Callable[[], T]) -> None:
        self.function = function
        self.value: T | None = None
        self.error: BaseException | None = None
        self.done = threading.Lock()
        self.done.acquire()

    def run(self) -> None:
        """Call the function."""
        try:
            self.value = self.function()
        except BaseException as error:
            self.error = error
        finally:
            self.done.release()

    def result(self) -> T:
        """Wait for the result.

        Raises
        ------
        StoreUnavailable
            The call takes too long.
        """
        if not self.done.acquire(timeout=MAX_JOB_S):
            raise StoreUnavailable(f"a read took more than {MAX_JOB_S} s")
        self.done.release()
        if self.error is not None:
            raise self.error
        return self.value


class ReadThread:
    """Calls functions in a thread of its own, one at a time.

    Attributes
    ----------
    thread : threading.Thread or None
        The thread; None if it has not started.
    last : Job or None
        The last call.
    """

    def __init__(self) -> None:
        self.jobs: queue.SimpleQueue[Job] = queue.SimpleQueue()
        self.thread: threading.Thread | None = None
        self.last: Job | None = None

    def start(self) -> None:
        """Start the thread; without it, functions are called in turn."""
        try:
            self.thread = start_thread(self.run, "read")
        except ThreadDenied as error:
            log.warning("The topics are read in turn", extra={"error": str(error)})

    def run(self) -> None:
        """Run the calls as they come."""
        while True:
            self.jobs.get().run()

    def call(self, function: Callable[[], T]) -> Callable[[], T]:
        """Start ``function``, and return a function that waits for its result.

        It is called in turn if the thread has ended, or is still busy.
        """
        is_busy = self.last is not None and self.last.done.locked()
        if self.thread is None or not self.thread.is_alive() or is_busy:
            return function
        self.last = Job(function)
        self.jobs.put(self.last)
        return self.last.result


def read_both(
    source: Source, documents: Place, entries: Place, beside: Beside = call_in_turn
) -> tuple[Batch, Batch]:
    """Read the records of both topics from a place on, in one era.

    Parameters
    ----------
    source : Source
        The store.
    documents, entries : Place
        Place in each topic.
    beside : callable
        Starts the read of one topic, while the other one is read.

    Raises
    ------
    StoreUnavailable
        The store failed, or came back from a copy again and again meanwhile.
    """
    for _ in range(MAX_READS_FOR_ERA):
        other = beside(lambda: read_topic(source.read_entries, entries))
        first = read_topic(source.read_documents, documents)
        second = other()
        if first.era == second.era:
            return first, second
    raise StoreUnavailable("the era of the store changed during the read")


def read_topic(read: Callable[[int], Batch], place: Place) -> Batch:
    """Read all records from ``place`` on; a snapshot if it is of another era.

    In another era, records before the place may have changed too. A snapshot is also
    read if the place is gone, or too many records follow it. What is returned is never
    a part of the records: it would confirm a document that a later record replaces.
    """
    try:
        batch = read(place.offset)
        for _ in range(MAX_FURTHER_READS):
            if batch.is_whole or batch.era != place.era:
                break
            batch = join(batch, read(batch.next))
    except StoreTrimmed:
        return read(-1)
    if batch.is_snapshot or (batch.is_whole and batch.era == place.era):
        return batch
    return read(-1)
