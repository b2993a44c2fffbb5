"""Runs a case, and turns its outcome into the exit status that is asked for."""

import os
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

from review.common.fleet import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble() -> bool:
    """Return whether the case is run with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(script: str, play: Callable[[Record, Path], bool]) -> None:
    """Run ``play`` with a record and a temporary folder; exit with the status.

    Parameters
    ----------
    script : str
        File of the case; the record is written beside it.
    play : callable
        Plays the case and returns whether the rule was broken.
    """
    # Ends the hosts too, as an exit unwinds to where they are closed.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(Path(script).resolve().parent / "record.txt")
    record.note(f"trouble: {has_trouble()}")
    try:
        with tempfile.TemporaryDirectory() as folder:
            is_broken = play(record, Path(folder))
    except Exception as error:
        record.note(f"the case could not run: {error!r}")
        status = NOT_RUN
    else:
        record.note("the rule was broken" if is_broken else "the rule held")
        status = BROKEN if is_broken else HELD
    record.close()
    sys.stdout.flush()
    # Threads of stand-ins may still wait for a connection.
    os._exit(status)
