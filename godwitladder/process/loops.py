"""Loops of a host that go on after an unexpected error.

Such an error costs the turn in which it occurs. If the thread ended instead, its host
would go on without what the thread does. If the process ended, a value that causes the
error would end all hosts of a fleet, and again after each restart.
"""

import threading
import traceback
from collections.abc import Awaitable, Callable
from typing import TypeVar

from godwitladder.clock import Clock
from godwitladder.logs import component_logger

log = component_logger("loops")

RETRY_S = 0.5
"""Pause after a turn that failed, in seconds."""
MAX_PAUSE_S = 60.0
"""Longest pause between two turns; no clock can wait for ever."""
LOG_INTERVAL_S = 5.0
"""Shortest interval between two lines about failed turns of one part."""
MAX_ERROR_CHARS = 300
MAX_TRACE_FRAMES = 12
"""Innermost frames that a line has: an error of a deep recursion has a thousand."""
MAX_TRACE_CHARS = 4_000

T = TypeVar("T")
D = TypeVar("D")


class Turns:
    """Runs the turns of one part of a host.

    Parameters
    ----------
    part : str
        Name of the part, for log lines and metrics.
    clock : Clock
        The host's clock.
    recover : callable
        Called after a failed turn, in its thread; discards what the turn may have
        applied in part.

    Attributes
    ----------
    failed : int
        Number of turns that failed.
    count : callable
        Called with the name of the part for each failed turn.
    logged_at : float
        Monotonic time of the last line about a failed turn, in seconds.
    """

    def __init__(
        self, part: str, clock: Clock, recover: Callable[[], None] = lambda: None
    ) -> None:
        self.part = part
        self.clock = clock
        self.recover = recover
        self.failed = 0
        self.count: Callable[[str], None] = lambda part: None
        self.logged_at = float("-inf")

    def loop(self, stopping: threading.Event, turn: Callable[[], float]) -> None:
        """Run turns until ``stopping`` is set.

        Parameters
        ----------
        stopping : threading.Event
            Ends the loop and its pauses.
        turn : callable
            Returns the seconds until the next turn.
        """
        while not stopping.is_set():
            pause_s = self.run(turn, otherwise=RETRY_S)
            self.clock.wait(stopping, min(pause_s, MAX_PAUSE_S))

    def run(self, turn: Callable[..., T], *args: object, otherwise: D = None) -> T | D:
        """Run one turn; return its result, or ``otherwise`` if it failed."""
        try:
            return turn(*args)
        except Exception as error:
            self.record(error)
            self.recover()
            return otherwise

    async def run_async(
        self, turn: Callable[..., Awaitable[T]], *args: object
    ) -> T | None:
        """Await one turn; return its result, or None if it failed."""
        try:
            return await turn(*args)
        except Exception as error:
            self.record(error)
            self.recover()
            return None

    def record(self, error: Exception) -> None:
        """Count a failed turn, and log it unless another one was logged just before."""
        self.failed += 1
        self.count(self.part)
        now = self.clock.monotonic()
        if now - self.logged_at < LOG_INTERVAL_S:
            return
        self.logged_at = now
        extra = {
            "failed_part": self.part,
            "error": repr(error)[:MAX_ERROR_CHARS],
            "trace": format_trace(error),
            "failed_turns": self.failed,
        }
        log.error("A turn failed unexpectedly; its loop goes on", extra=extra)


def format_trace(error: Exception) -> str:
    """Return the innermost frames of the traceback of ``error``."""
    frames = traceback.format_tb(error.__traceback__, limit=-MAX_TRACE_FRAMES)
    return "".join(frames)[-MAX_TRACE_CHARS:]
