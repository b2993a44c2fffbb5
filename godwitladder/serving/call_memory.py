"""Accounts for the bytes that a host holds of the calls under way.

Bodies of requests are held until their calls end, answers until they are complete,
parts of events until the rest has come, and what callers read slowly until they have
read it. A host has little memory, and hundreds of calls at once; without a common
bound, callers that send long bodies or read slowly, and targets that send without end,
end the host and all its calls.

A call reserves what it needs to pass an answer on block by block before it is sent. All
else is taken from a part of the memory that never reaches into these reservations, so
that calls still make progress when it is used up.
"""

import threading
from collections.abc import Hashable

from godwitladder.engines.answer_limits import AnswerLimits

DEFAULT_LIMITS = AnswerLimits()
BLOCK_BYTES = 16_384
"""Most bytes of a body that are read at once."""
RESERVED_BYTES = 2 * BLOCK_BYTES
"""Reserved for each call: one block that is held, and one being read."""
GROWTH_SHARE = 0.5
"""Part of the memory up to which answers may be held. The rest is for reservations and
for the block that each call may still write."""
BODY_SHARE = 0.8
"""Part of the memory up to which long bodies are taken in."""
SHORT_BODY_SHARE = 0.9
"""The same for short ones, so that a few long ones don't keep all others out."""
SHORT_BODY_BYTES = 131_072


class CallMemory:
    """Memory for all calls under way in this host.

    Parameters
    ----------
    limits : AnswerLimits
        States the memory.

    Attributes
    ----------
    max_bytes : int
        Bytes that all calls may hold.
    max_growth_bytes : int
        Bytes in use up to which a call may hold more than it has reserved.
    used, peak : int
        Bytes in use now, and the most since the start.
    waiting : dict
        Requests that wait for memory for their bodies, the first one first.
    """

    def __init__(self, limits: AnswerLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self.max_bytes = limits.memory_bytes
        self.max_growth_bytes = int(self.max_bytes * GROWTH_SHARE)
        self.used = 0
        self.peak = 0
        self.waiting: dict[Hashable, None] = {}
        self.lock = threading.Lock()

    def take(self, count: int) -> bool:
        """Take ``count`` bytes, and return whether that many were left."""
        return self._take(count, self.max_bytes)

    def grow(self, count: int) -> bool:
        """Take ``count`` bytes beyond a reservation, and return whether that worked."""
        return self._take(count, self.max_growth_bytes)

    def take_body(self, request: Hashable, count: int, is_begun: bool) -> bool:
        """Take ``count`` bytes for the body of a request; return whether that worked.

        If not, the request waits, and none with a long body that comes later goes
        before it.

        Parameters
        ----------
        is_begun : bool
            Whether the request has some memory. It must go on, as others wait for that.
        """
        is_short = count <= SHORT_BODY_BYTES
        share = SHORT_BODY_SHARE if is_short else BODY_SHARE
        with self.lock:
            first = next(iter(self.waiting), request)
            is_next = is_short or is_begun or first is request
            if not is_next or self.used + count > int(self.max_bytes * share):
                self.waiting[request] = None
                return False
            self.waiting.pop(request, None)
            self._add(count)
            return True

    def release_body(self, request: Hashable, count: int) -> None:
        """Give back what a request has taken; it waits no longer."""
        with self.lock:
            self.waiting.pop(request, None)
            self._add(-count)

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
