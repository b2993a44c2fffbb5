"""The last line of a process that ends by itself.

The line is written at once, past the queue of the log: that queue's thread may not
run any more, or may never have been started. What can't be written without waiting is
dropped, so that a reader that has stopped reading does not hold up the exit.
"""

import datetime
import json
import os
import select
import time
import traceback
from dataclasses import asdict, dataclass
from typing import NoReturn

from godwitladder.process.resources import read_resource_use

STANDARD_ERROR = 2
MAX_LINE_BYTES = 4_096
"""Bytes that a pipe takes at once or not at all."""
MAX_ERROR_CHARS = 1_000
STARTED = time.monotonic()
"""Time at which this module was imported, which the entry point does first."""
FAILED_START = 1
"""Exit status where the host has not been started."""


@dataclass(frozen=True)
class Failure:
    """Why a process ends by itself.

    Attributes
    ----------
    part : str
        The part of the process that failed: a step of its start, an actor or a thread.
    error : BaseException or None
        What it raised.
    """

    part: str
    error: BaseException | None = None


def end_failed_start(error: Exception) -> NoReturn:
    """Print the traceback of a start that has failed, its last line, and exit.

    The interpreter's own exit would wait for threads that were started already.
    """
    traceback.print_exception(error)
    report_exit(FAILED_START, Failure("start", error))
    os._exit(FAILED_START)


def report_exit(status: int, failure: Failure) -> None:
    """Write the last line of a process that ends by itself; never raises."""
    try:
        write_at_once(exit_line(status, failure))
    except (OSError, ValueError, MemoryError):
        # There is nobody left to report this to.
        return


def exit_line(status: int, failure: Failure) -> bytes:
    """Return the line as one JSON object.

    Parameters
    ----------
    status : int
        Exit status of the process.
    failure : Failure
        Why it ends.
    """
    error = "" if failure.error is None else repr(failure.error)
    row = {
        "asctime": datetime.datetime.now().strftime("%Y-%m-%d %H:%M:%S,%f")[:-3],
        "levelname": "CRITICAL",
        "message": "process: The process ends by itself",
        "status": status,
        "failed_part": failure.part,
        "error": error[:MAX_ERROR_CHARS],
        "ran_s": round(time.monotonic() - STARTED, 3),
    }
    return json.dumps(row | asdict(read_resource_use())).encode() + b"\n"


def write_at_once(line: bytes) -> None:
    """Write ``line`` to standard error, or drop it where that would have to wait."""
    poll = select.poll()
    poll.register(STANDARD_ERROR, select.POLLOUT)
    if any(events & select.POLLOUT for _, events in poll.poll(0)):
        os.write(STANDARD_ERROR, line[:MAX_LINE_BYTES])
