"""Paces the answers that are passed on, so that they leave the processor to others.

A target that sends without end, to a caller that reads as fast, takes a whole core
until its limit is reached. With hundreds of them, no other call and no deadline is
attended to for seconds. What comes within the pace is never delayed.
"""

import threading

from godwitladder.clock import Clock

BYTES_PER_S = 16_000_000
"""Bytes per second of all answers together. Passing on a megabyte takes some
milliseconds of a core."""
BURST_S = 0.05
"""Time that answers may be ahead of the pace, in seconds."""


class Pace:
    """The common pace of all answers that are passed on.

    Parameters
    ----------
    clock : Clock
        The host's clock.

    Attributes
    ----------
    paid_until : float
        Monotonic time up to which the bytes so far take at the pace.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.paid_until = 0.0
        self.lock = threading.Lock()

    def keep(self, count: int) -> None:
        """Wait as long as the pace asks after ``count`` bytes."""
        now = self.clock.monotonic()
        with self.lock:
            self.paid_until = max(self.paid_until, now) + count / BYTES_PER_S
            ahead_s = self.paid_until - now
        if ahead_s > BURST_S:
            self.clock.sleep(ahead_s - BURST_S)
