"""Ticks for an actor: at a slow period, and sooner when it asks for one."""

import threading

import pykka

from godwitladder.clock import Clock
from godwitladder.scheduler.messages import Tick


class Ticker:
    """Sends a tick to an actor every ``period_s`` seconds, in a thread.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    period_s : float
        Longest time between two ticks, in seconds.
    """

    def __init__(self, clock: Clock, period_s: float) -> None:
        self.clock = clock
        self.period_s = period_s
        self.sooner_s = period_s
        self.woken = threading.Event()
        self.stopping = threading.Event()

    def start(self, actor: pykka.ActorRef) -> None:
        """Start to tick."""
        threading.Thread(
            target=self.run, args=(actor,), name="ticker", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop ticking."""
        self.stopping.set()
        self.woken.set()

    def tick_in(self, seconds: float) -> None:
        """Ask for a tick in ``seconds``, if that is before the next."""
        self.sooner_s = seconds
        self.woken.set()

    def run(self, actor: pykka.ActorRef) -> None:
        """Tick until stopped."""
        while not self.stopping.is_set():
            if self.clock.wait(self.woken, self.period_s):
                self.woken.clear()
                self.clock.wait(self.stopping, min(self.sooner_s, self.period_s))
            if not self.stopping.is_set():
                actor.tell(Tick())
