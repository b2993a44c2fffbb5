"""Polling of the targets' load reports, for the allocators on this host."""

import functools
import threading
from concurrent.futures import ThreadPoolExecutor

import pykka

from godwitladder.clock import Clock
from godwitladder.engines.engine import read_load
from godwitladder.engines.wire import MayHaveRun, NotSent
from godwitladder.ids import TargetName
from godwitladder.logs import component_logger
from godwitladder.process.loops import Turns
from godwitladder.scheduler.allocator import Allocator
from godwitladder.scheduler.messages import TargetLoad

log = component_logger("load")

READ_INTERVAL_S = 1.0
READER_THREADS = 4
"""Number of threads that read concurrently, so that an unresponsive target does
not delay the others."""


class LoadReader:
    """Reads the load report of each watched target once a second.

    Parameters
    ----------
    allocator : pykka.ActorRef
        Provides the targets to read, and receives their load.
    clock : Clock
        The host's clock.
    """

    def __init__(self, allocator: pykka.ActorRef[Allocator], clock: Clock) -> None:
        self.allocator = allocator
        self.clock = clock
        self.stopping = threading.Event()
        self.turns = Turns("load", clock)

    def start(self) -> None:
        """Start reading in a background thread."""
        threading.Thread(target=self.run, name="load", daemon=True).start()

    def stop(self) -> None:
        """Stop once the reads in progress have finished."""
        self.stopping.set()

    def run(self) -> None:
        """Read until stopped."""
        with ThreadPoolExecutor(READER_THREADS, "load") as pool:
            self.turns.loop(self.stopping, lambda: self.read_all(pool))

    def read_all(self, pool: ThreadPoolExecutor) -> float:
        """Read all targets, and return the seconds until the next read."""
        watched = self.allocator.proxy().targets_to_watch().get()
        read = functools.partial(self.turns.run, self.read)
        try:
            list(pool.map(read, watched, watched.values()))
        except RuntimeError as error:
            # The pool has kept the reads, and starts a thread with the next ones.
            log.warning("Load reports wait for a thread", extra={"error": str(error)})
        return READ_INTERVAL_S

    def read(self, target: TargetName, address: str) -> None:
        """Read the load report of one target and send it to the allocator."""
        try:
            load = read_load(address)
        except (NotSent, MayHaveRun, ValueError, KeyError, TypeError) as error:
            log.info(
                "Load report could not be read",
                extra={"target": target, "error": str(error)},
            )
            return
        self.allocator.tell(TargetLoad(target, load.running + load.queued))
