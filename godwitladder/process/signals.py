"""Signals that a host receives while it runs.

A handler runs between any two steps of the main thread, which may hold a lock then.
If it took the same lock, as to set an event does, the process would react to nothing
any more. So handlers only record signals, and the main thread takes them up in turn.
"""

import queue
import signal
from collections.abc import Iterable


class SignalQueue:
    """Signals that were received and not taken up yet, each once.

    Attributes
    ----------
    pending : set of int
        Numbers of these signals.
    """

    def __init__(self) -> None:
        # Its `put` is reentrant, as a handler may interrupt another one.
        self.numbers: queue.SimpleQueue[int | None] = queue.SimpleQueue()
        self.pending: set[int] = set()

    def record_all(self, numbers: Iterable[int]) -> None:
        """Record the signals with these numbers from now on."""
        for number in numbers:
            signal.signal(number, self.record)

    def record(self, number: int, frame: object) -> None:
        """Record a signal; the handler."""
        if number not in self.pending:
            self.pending.add(number)
            self.numbers.put(number)

    def wake(self) -> None:
        """End the wait in `take`, from any thread."""
        self.numbers.put(None)

    def take(self, timeout_s: float) -> signal.Signals | None:
        """Return the next signal.

        Parameters
        ----------
        timeout_s : float
            Longest wait in seconds.

        Returns
        -------
        signal.Signals or None
            None if there was none in time, or the wait was ended.
        """
        try:
            number = self.numbers.get(timeout=timeout_s)
        except queue.Empty:
            return None
        if number is None:
            return None
        self.pending.discard(number)
        return signal.Signals(number)
