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
    report_trace(error)
    report_exit(FAILED_START, Failure("start", error))
    os._exit(FAILED_START)


def report_trace(error: Exception) -> None:
    """Write the traceback of ``error``, in as many lines as its reader takes now."""
    try:
        for line in traceback.format_exception(error):
            write_at_once(line.encode(errors="replace")[:MAX_LINE_BYTES])
    except (OSError, MemoryError):
        # There is nobody left to report this to.
        return


def report_exit(status: int, failure: Failure) -> None:
    """Write the last line of a process that ends by itself; never raises."""
    try:
        write_at_once(exit_line(status, failure))
    except Exception:
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
    error = "" if failure.error is None else describe(failure.error)
    row = {
        "asctime": datetime.datetime.now().strftime("%Y-%m-%d %H:%M:%S,%f")[:-3],
        "levelname": "CRITICAL",
        "message": "process: The process ends by itself",
        "status": status,
        "failed_part": failure.part,
        "error": error,
        "ran_s": round(time.monotonic() - STARTED, 3),
    }
    row |= asdict(read_resource_use())
    line = json.dumps(row)
    while len(line) >= MAX_LINE_BYTES:
        row["error"] = row["error"][: len(row["error"]) // 2]
        line = json.dumps(row)
    return line.encode() + b"\n"


def describe(error: BaseException) -> str:
    """Return the beginning of an error's text, whatever its class does."""
    try:
        return repr(error)[:MAX_ERROR_CHARS]
    except Exception:
        return type(error).__name__


def write_at_once(line: bytes) -> None:
    """Write ``line`` to standard error, or drop it where that would have to wait.

    It has `MAX_LINE_BYTES` at most.
    """
    poll = select.poll()
    poll.register(STANDARD_ERROR, select.POLLOUT)
    if any(events & select.POLLOUT for _, events in poll.poll(0)):
        os.write(STANDARD_ERROR, line)
