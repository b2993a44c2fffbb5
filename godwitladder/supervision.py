"""What happens when a part of a host fails by an error nobody foresaw.

An actor that dies leaves its host half alive: a dead scheduler keeps callers
waiting for ever, a dead membership makes the host believe that it is alone.
The process ends instead, so that callers see their connections close and the
host is replaced.
"""

import threading
from collections.abc import Callable, Collection

import pykka

from godwitladder.logs import component_logger

log = component_logger("supervision")


def supervised(
    kind: type[pykka.ThreadingActor], fail: Callable[[], None]
) -> type[pykka.ThreadingActor]:
    """Return ``kind`` with ``fail`` called when one of its actors dies."""

    def on_failure(self, *args) -> None:
        log.critical("An actor failed", extra={"actor": kind.__name__})
        fail()

    return type(kind.__name__, (kind,), {"on_failure": on_failure})


def watch_threads(names: Collection[str], fail: Callable[[], None]) -> None:
    """Call ``fail`` when a thread with one of ``names`` dies by an error.

    Other threads serve one caller or one peer, whose connection ends with
    them; their errors are only logged.
    """

    def excepthook(args) -> None:
        name = args.thread.name if args.thread else ""
        log.critical(
            "A thread failed",
            extra={"failed_thread": name},
            exc_info=(args.exc_type, args.exc_value, args.exc_traceback),
        )
        if name in names:
            fail()

    threading.excepthook = excepthook
