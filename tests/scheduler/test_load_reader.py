"""Reads of the targets' load while the system starts no thread."""

from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

from godwitladder.clock import Clock
from godwitladder.scheduler.load import LoadReader


class Allocator:
    """Has two targets to watch, and keeps nothing."""

    def proxy(self):
        return self

    def targets_to_watch(self):
        return SimpleNamespace(get=lambda: {"t0": "127.0.0.1:1", "t1": "127.0.0.1:1"})


def test_reads_go_on_after_a_denied_thread(monkeypatch):
    """Guards against a denied thread that ends the reading of all targets' load."""
    reads = []
    reader = LoadReader(Allocator(), Clock())
    reader.read = lambda target, address: reads.append(target)

    def deny(self):
        raise RuntimeError("can't start new thread")

    with ThreadPoolExecutor(2) as pool:
        with monkeypatch.context() as denied:
            denied.setattr("threading.Thread.start", deny)
            reader.read_all(pool)
        reader.read_all(pool)
    assert {"t0", "t1"} <= set(reads)
