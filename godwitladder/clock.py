"""The one source of time, which tests pause and advance.

Nothing else in the package reads the time of the runtime. Durations are in
seconds throughout.
"""

import asyncio
import threading
import time

POLL_S = 0.01
"""Between two looks of a paused clock, in seconds of the runtime."""


class Clock:
    """Time of the runtime.

    ``monotonic`` orders events within one process; ``wall`` is seconds since
    the epoch, and only for what leaves the process (logs, audit, expiry of
    records that several hosts judge).
    """

    def monotonic(self) -> float:
        """Return seconds from an arbitrary start, never going back."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    def boottime(self) -> float:
        """Return seconds from an arbitrary start, suspension counted.

        ``monotonic`` stands still while a machine is suspended; what must not
        be believed for longer than a bound goes by this one.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def sleep(self, seconds: float) -> None:
        """Block the calling thread for ``seconds``."""
        time.sleep(seconds)

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for ``event`` at most ``seconds``; return whether it is set."""
        return event.wait(seconds)

    async def async_sleep(self, seconds: float) -> None:
        """Hold up the calling coroutine for ``seconds``."""
        await asyncio.sleep(seconds)


class ManualClock(Clock):
    """A clock that stands still until a test advances it.

    Parameters
    ----------
    start : float
        First reading of both ``monotonic`` and ``wall``, in seconds.
    """

    def __init__(self, start: float = 1_000.0) -> None:
        self.now = start
        self.changed = threading.Condition()

    def monotonic(self) -> float:
        """Return the reading that the test has set."""
        return self.now

    def wall(self) -> float:
        """Return the reading that the test has set."""
        return self.now

    def boottime(self) -> float:
        """Return the reading that the test has set."""
        return self.now

    def advance(self, seconds: float) -> None:
        """Move the reading on by ``seconds`` and wake all sleepers."""
        with self.changed:
            self.now += seconds
            self.changed.notify_all()

    def sleep(self, seconds: float) -> None:
        """Block until the test has advanced the clock by ``seconds``."""
        due = self.now + seconds
        with self.changed:
            self.changed.wait_for(lambda: self.now >= due)

    def wait(self, event: threading.Event, seconds: float) -> bool:
        """Wait for ``event`` until the clock was advanced by ``seconds``."""
        due = self.now + seconds
        with self.changed:
            while self.now < due and not event.is_set():
                self.changed.wait(POLL_S)
        return event.is_set()

    async def async_sleep(self, seconds: float) -> None:
        """Hold up the coroutine until the clock was advanced by ``seconds``."""
        due = self.now + seconds
        while self.now < due:
            await asyncio.sleep(POLL_S)
