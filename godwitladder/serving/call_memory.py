"""Accounts for the bytes that a host holds of the answers under way.

Answers are held until they are complete, parts of events until the rest has come, and
what callers read slowly until they have read it. A host has little memory, and hundreds
of answers at once; without a common bound, targets that send without end or callers
that read slowly end the host and all its calls.

A call reserves what it needs to pass an answer on block by block before it is sent. All
else is taken from a part of the memory that never reaches into these reservations, so
that calls still make progress when it is used up.
"""

import threading

from godwitladder.engines.answer_limits import AnswerLimits

DEFAULT_LIMITS = AnswerLimits()
BLOCK_BYTES = 16_384
"""Most bytes of a body that are read at once."""
RESERVED_BYTES = 2 * BLOCK_BYTES
"""Reserved for each call: one block that is held, and one being read."""
GROWTH_SHARE = 0.5
"""Part of the memory up to which answers may be held. The rest is for reservations and
for the block that each call may still write."""


class CallMemory:
    """Memory for all answers under way in this host.

    Parameters
    ----------
    limits : AnswerLimits
        States the memory.

    Attributes
    ----------
    max_bytes : int
        Bytes that all answers may hold.
    max_growth_bytes : int
        Bytes in use up to which a call may hold more than it has reserved.
    used, peak : int
        Bytes in use now, and the most since the start.
    """

    def __init__(self, limits: AnswerLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self.max_bytes = limits.memory_bytes
        self.max_growth_bytes = int(self.max_bytes * GROWTH_SHARE)
        self.used = 0
        self.peak = 0
        self.lock = threading.Lock()

    def take(self, count: int) -> bool:
        """Take ``count`` bytes, and return whether that many were left."""
        return self._take(count, self.max_bytes)

    def grow(self, count: int) -> bool:
        """Take ``count`` bytes beyond a reservation, and return whether that worked."""
        return self._take(count, self.max_growth_bytes)

    def add(self, change: int) -> None:
        """Add to the bytes in use, without a check; ``change`` may be negative."""
        with self.lock:
            self._add(change)

    def is_short(self) -> bool:
        """Return whether nothing more should be held than what is reserved."""
        return self.used > self.max_growth_bytes

    def _take(self, count: int, limit: int) -> bool:
        with self.lock:
            if self.used + count > limit:
                return False
            self._add(count)
            return True

    def _add(self, change: int) -> None:
        self.used += change
        self.peak = max(self.peak, self.used)


class AnswerShare:
    """The part of the memory that one call uses; used by one thread.

    Parameters
    ----------
    memory : CallMemory
        The memory of the host.

    Attributes
    ----------
    extra : int
        Bytes taken beyond the reservation.
    """

    def __init__(self, memory: CallMemory) -> None:
        self.memory = memory
        self.is_open = False
        self.extra = 0

    def open(self) -> bool:
        """Reserve what a call needs, and return whether it has it now."""
        self.is_open = self.is_open or self.memory.take(RESERVED_BYTES)
        return self.is_open

    def hold(self, count: int) -> bool:
        """Set the number of bytes held; return False, and change nothing, if too many.

        One block is reserved anyway.
        """
        extra = max(0, count - BLOCK_BYTES)
        if extra > self.extra and not self.memory.grow(extra - self.extra):
            return False
        if extra < self.extra:
            self.memory.add(extra - self.extra)
        self.extra = extra
        return True

    def close(self) -> None:
        """Give everything back."""
        self.memory.add(-self.extra - RESERVED_BYTES * self.is_open)
        self.is_open, self.extra = False, 0
