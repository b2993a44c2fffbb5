"""How a host shares the descriptors that its process may open.

Each call has a connection of its caller and one to its target. A host that let
callers take all descriptors could neither reach targets, the store and peers, nor
answer probes.
"""

import errno
import resource

from godwitladder.process.resources import soft_limit

RESERVED_DESCRIPTORS = 96
"""Descriptors for all but calls: listeners, peers, the store, probes, files."""
CALL_FRACTION = 0.25
"""Part of the descriptors for calls where the limit is near what is reserved."""
SHORTAGE_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
"""Errors of a system that has no descriptor left, or no memory for what it names."""


def is_shortage(error: BaseException | None) -> bool:
    """Return whether ``error`` was caused by a lack of descriptors on this host."""
    while error is not None:
        if isinstance(error, OSError) and error.errno in SHORTAGE_ERRORS:
            return True
        error = error.__cause__ or error.__context__
    return False


def share_descriptors(connections: int, calls: int) -> tuple[int, int]:
    """Return how many connections of callers, and how many calls, there may be.

    Parameters
    ----------
    connections, calls : int
        The limits of the settings, which are not exceeded.
    """
    limit = soft_limit(resource.RLIMIT_NOFILE)
    if limit is None:
        return connections, calls
    room = max(limit - RESERVED_DESCRIPTORS, int(limit * CALL_FRACTION), 2)
    calls = min(calls, room // 2)
    return min(connections, room - calls), calls
