"""Tests that the metrics can be used by several threads at once."""

import sys
import threading

from godwitladder.metrics import Metrics
from godwitladder.outcomes import RequestState

THREADS = 4
COUNTS = 100


def test_counts_of_many_threads_add_up_while_they_are_scraped():
    """No count is lost when threads count while the metrics are scraped.

    The library reads a value, adds to it and writes it back. Without a lock, a
    thread switch in between would lose counts, and a scrape would fail if a label
    is added during it, and rates would be wrong on a busy host. The test uses a
    very short switch interval.
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
