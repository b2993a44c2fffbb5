"""The package's only source of time, which tests replace by a manual clock.

No other module reads the time from the runtime. All durations are in seconds.
"""

import asyncio
import threading
import time

POLL_S = 0.01
"""Real time between two checks of a `ManualClock` that is waited on, in seconds."""


class Clock:
    """Clock that reads the time from the runtime.

    Use ``monotonic`` to order events within one process. Use ``wall`` only for
    times that leave the process, such as those of log lines and audit entries,
    and the expiry of records that several hosts evaluate.
    """

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start; the value never decreases."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def boottime(self) -> float:
        """Return seconds since an arbitrary start, including time suspended.

        ``monotonic`` stops while a machine is suspended. Use this method for
        data that must not be trusted for longer than a given time.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for ``seconds``."""
        time.sleep(seconds)

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait up to ``seconds`` for ``event``; return whether it is set."""
        return event.wait(seconds)

    async def async_sleep(self, seconds: float) -> None:
        """Suspend the calling coroutine for ``seconds``."""
        await asyncio.sleep(seconds)


class ManualClock(Clock):
    """Clock for tests that only changes when it is advanced.

    Parameters
    ----------
    start : float, default=1000.0
        Initial value of ``monotonic``, ``wall`` and ``boottime``, in seconds.
    """

    def __init__(self, start: float = 1_000.0) -> None:
        self.now = start
        self.changed = threading.Condition()

    def monotonic(self) -> float:
        """Return the time that the test has set, in seconds."""
        return self.now

    def wall(self) -> float:
        """Return the time that the test has set, in seconds."""
        return self.now

    def boottime(self) -> float:
        """Return the time that the test has set, in seconds."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds`` and wake all waiting threads."""
        with self.changed:
            self.now += seconds
            self.changed.notify_all()

    def sleep(self, seconds: float) -> None:
        """Block until the clock has been advanced by ``seconds``."""
        due = self.now + seconds
        with self.changed:
            self.changed.wait_for(lambda: self.now >= due)

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for ``event`` until the clock has been advanced by ``seconds``.

        Return whether the event is set.
        """
        due = self.now + seconds
        with self.changed:
            while self.now < due and not event.is_set():
                self.changed.wait(POLL_S)
        return event.is_set()

    async def async_sleep(self, seconds: float) -> None:
        """Suspend the coroutine until the clock has been advanced by ``seconds``."""
        due = self.now + seconds
        while self.now < due:
            await asyncio.sleep(POLL_S)
