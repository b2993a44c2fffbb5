"""Metrics are shared by all threads of a host."""

import sys
import threading

from godwitladder.metrics import Metrics
from godwitladder.outcomes import RequestState

THREADS = 4
COUNTS = 100


def test_counts_of_many_threads_add_up_while_they_are_scraped():
    """An operator's rates must not depend on how busy the host was.

    The library reads a value, adds to it and writes it back; threads that
    take turns in between would lose counts, and a scrape that meets a new
    label would fail. Turns are made as short as they can be.
    """
    metrics = Metrics()
    start = threading.Barrier(THREADS + 1)

    def count(rank: int) -> None:
        start.wait()
        for number in range(COUNTS):
            metrics.count_request(0, RequestState.COMPLETED)
            metrics.count_request(rank * 10 + number % 10 + 1, RequestState.FAILED)

    threads = [threading.Thread(target=count, args=(rank,)) for rank in range(THREADS)]
    interval = sys.getswitchinterval()
    sys.setswitchinterval(1e-6)
    try:
        for thread in threads:
            thread.start()
        start.wait()
        while any(thread.is_alive() for thread in threads):
            metrics.render()
        for thread in threads:
            thread.join()
    finally:
        sys.setswitchinterval(interval)
    counted = metrics.requests.get({"rank": "0", "outcome": "completed"})
    assert counted == THREADS * COUNTS
