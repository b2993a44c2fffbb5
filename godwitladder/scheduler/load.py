"""Reads the load reports of targets, for the allocators on this host."""

import threading
from concurrent.futures import ThreadPoolExecutor

import pykka

from godwitladder.clock import Clock
from godwitladder.engines.engine import read_load
from godwitladder.engines.wire import MayHaveRun, NotSent
from godwitladder.ids import TargetName
from godwitladder.logs import component_logger
from godwitladder.scheduler.allocator import Allocator
from godwitladder.scheduler.messages import TargetLoad

log = component_logger("load")

PERIOD_S = 1.0
READERS = 4
"""Threads that read at once, so that a silent target holds up no other."""


class LoadReader:
    """Reads each watched target's report once a second, in threads.

    Parameters
    ----------
    allocator : pykka.ActorRef
        Asked what to read, and told what was read.
    clock : Clock
        The host's clock.
    """

    def __init__(self, allocator: pykka.ActorRef[Allocator], clock: Clock) -> None:
        self.allocator = allocator
        self.clock = clock
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start to read."""
        threading.Thread(target=self.run, name="load", daemon=True).start()

    def stop(self) -> None:
        """Stop after the reads in progress."""
        self.stopping.set()

    def run(self) -> None:
        """Read until stopped."""
        with ThreadPoolExecutor(READERS, "load") as pool:
            while not self.clock.wait(self.stopping, PERIOD_S):
                watched = self.allocator.proxy().targets_to_watch().get()
                list(pool.map(self.read, watched, watched.values()))

    def read(self, target: TargetName, address: str) -> None:
        """Read one report and hand it on."""
        try:
            load = read_load(address)
        except (NotSent, MayHaveRun, ValueError, KeyError) as error:
            log.info("No load report", extra={"target": target, "error": str(error)})
            return
        self.allocator.tell(TargetLoad(target, load.running + load.queued))
