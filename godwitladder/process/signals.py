"""Signals that a host receives while it runs.

A handler runs between any two steps of the main thread, which may hold a lock then.
If it took the same lock, as to set an event does, the process would react to nothing
any more. So handlers only record signals, and the main thread takes them up in turn.
"""

import contextlib
import os
import select
import signal
from collections.abc import Iterable

MAX_WAKES = 4_096
"""Bytes read from the pipe at once."""


class SignalQueue:
    """Signals that were received and not taken up yet, each once.

    Handlers wake the main thread through a pipe, which needs no lock.

    Attributes
    ----------
    pending : set of int
        Numbers of these signals.
    """

    def __init__(self) -> None:
        self.pending: set[int] = set()
        # Open until the process ends: threads may wake it at any time.
        self.reading, self.writing = os.pipe()
        os.set_blocking(self.reading, False)
        os.set_blocking(self.writing, False)
        self.poll = select.poll()
        self.poll.register(self.reading, select.POLLIN)

    def record_all(self, numbers: Iterable[int]) -> None:
        """Record the signals with these numbers from now on."""
        for number in numbers:
            signal.signal(number, self.record)

    def record(self, number: int, frame: object) -> None:
        """Record a signal; the handler."""
        self.pending.add(number)
        self.wake()

    def wake(self) -> None:
        """End the wait in `take`, from any thread."""
        # A full pipe wakes as well.
        with contextlib.suppress(BlockingIOError):
            os.write(self.writing, b"\0")

    def take(self, timeout_s: float) -> signal.Signals | None:
        """Return one of the signals that were received.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        signal.Signals or None
            None if there was none in time, or the wait was ended.
        """
        if not self.pending and self.poll.poll(timeout_s * 1_000):
            with contextlib.suppress(BlockingIOError):
                os.read(self.reading, MAX_WAKES)
        return signal.Signals(self.pending.pop()) if self.pending else None
