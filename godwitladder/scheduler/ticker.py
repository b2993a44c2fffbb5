"""Sends ticks to an actor periodically, and earlier on request."""

import threading

import pykka

from godwitladder.clock import Clock
from godwitladder.process.loops import Turns
from godwitladder.scheduler.messages import Tick


class Ticker:
    """Thread that sends a tick to an actor every ``period_s`` seconds.

    Parameters
    ----------
    clock : Clock
        Clock of the host.
    period_s : float
        Maximum time between two ticks, in seconds.
    """

    def __init__(self, clock: Clock, period_s: float) -> None:
        self.clock = clock
        self.period_s = period_s
        self.requested_s = period_s
        self.woken = threading.Event()
        self.stopping = threading.Event()
        self.turns = Turns("ticker", clock)

    def start(self, actor: pykka.ActorRef) -> None:
        """Start sending ticks to ``actor``."""
        threading.Thread(
            target=self.run, args=(actor,), name="ticker", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop sending ticks."""
        self.stopping.set()
        self.woken.set()

    def tick_in(self, seconds: float) -> None:
        """Request a tick in ``seconds`` if the next periodic one is later."""
        self.requested_s = seconds
        self.woken.set()

    def run(self, actor: pykka.ActorRef) -> None:
        """Send ticks until stopped."""
        while not self.stopping.is_set():
            if self.clock.wait(self.woken, self.period_s):
                self.woken.clear()
                self.clock.wait(self.stopping, min(self.requested_s, self.period_s))
            if not self.stopping.is_set():
                self.turns.run(actor.tell, Tick())
