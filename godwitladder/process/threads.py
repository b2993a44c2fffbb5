"""Starts the threads of a host, within the memory that its process may use."""

import resource
import threading
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

from godwitladder.findings import GodwitladderError

KIB = 1_024
STACK_BYTES = 384 * KIB
"""Size of a thread's stack. Of what is decoded from outside, nested values need most:
up to 224 KiB at the interpreter's limit on recursion. The system's default of 8 MiB for
each thread would be more than the memory of a host."""
RESERVED_BYTES = 12 * KIB * KIB
"""Addresses that no thread of a call may take: without them the next allocation of any
thread could fail, also in those that all calls need."""
SIZES_PATH = Path("/proc/self/statm")
DATA_COLUMN = 5
LIMITED_SIZES = ((resource.RLIMIT_AS, 0), (resource.RLIMIT_DATA, DATA_COLUMN))
"""Limits on the memory of a process, and the columns that tell the sizes they bound."""


class ThreadDenied(GodwitladderError):
    """The system can't start another thread now."""


def limit_stacks() -> None:
    """Limit the stacks of all threads that are started from now on."""
    threading.stack_size(STACK_BYTES)


def start_thread(
    target: Callable[..., None], name: str, args: Iterable[Any] = ()
) -> threading.Thread:
    """Start a thread that does not hold up the end of the process.

    Raises
    ------
    ThreadDenied
        The system can't start one now.
    """
    thread = threading.Thread(target=target, name=name, args=args, daemon=True)
    try:
        thread.start()
    except (RuntimeError, MemoryError) as error:
        raise ThreadDenied(f"no thread {name}: {error}") from error
    return thread


def start_call_thread(
    target: Callable[..., None], name: str, args: Iterable[Any] = ()
) -> threading.Thread:
    """Start a thread that serves calls, and leave `RESERVED_BYTES` for all else.

    Raises
    ------
    ThreadDenied
        The system can't start one now, or too few addresses would be left.
    """
    if not has_room(STACK_BYTES + RESERVED_BYTES):
        raise ThreadDenied(f"no thread {name}: too few addresses are left")
    return start_thread(target, name, args)


def has_room(size: int) -> bool:
    """Return whether ``size`` more bytes stay within the limits of this process."""
    limits = [
        (limit, column)
        for kind, column in LIMITED_SIZES
        if (limit := resource.getrlimit(kind)[0]) != resource.RLIM_INFINITY
    ]
    if not limits:
        return True
    try:
        pages = SIZES_PATH.read_text(encoding="ascii").split()
    except OSError:
        # Without descriptors left the sizes can't be read.
        return True
    page = resource.getpagesize()
    return all(int(pages[column]) * page + size <= limit for limit, column in limits)
