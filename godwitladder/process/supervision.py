"""Ends the process of a host when one of its components fails unexpectedly.

If only the failed actor ended, its host would keep running in a broken state.
Without the scheduler, callers would wait forever; without the membership, the
host would act as if it had no peers. Ending the process closes the connections
of the callers and lets the host be replaced.
"""

import threading
from collections.abc import Callable, Collection

import pykka

from godwitladder.logs import component_logger
from godwitladder.process.exits import Failure

log = component_logger("supervision")

Fail = Callable[[Failure], None]
"""Ends a host because a part of it has failed."""


def supervised(
    kind: type[pykka.ThreadingActor], fail: Fail
) -> type[pykka.ThreadingActor]:
    """Return a subclass of ``kind`` that calls ``fail`` when an actor of it fails.

    Parameters
    ----------
    kind : type
        The class of the actor.
    fail : callable
        Called in the thread of the actor, after an exception that the actor did not
        handle.
    """

    def on_failure(self, _kind, error, _traceback) -> None:
        log.critical("An actor failed", extra={"actor": kind.__name__})
        fail(Failure(kind.__name__, error))

    return type(kind.__name__, (kind,), {"on_failure": on_failure})


def watch_threads(names: Collection[str], fail: Fail) -> None:
    """Call ``fail`` when a thread with one of ``names`` ends with an exception.

    Any other thread serves one caller or one peer, whose connection closes when
    the thread ends. An exception in such a thread is only logged.

    Parameters
    ----------
    names : collection of str
        Names of the threads without which the host can't work.
    fail : callable
        Called in the failed thread.
    """

    def excepthook(args) -> None:
        name = args.thread.name if args.thread else ""
        log.critical(
            "A thread failed",
            extra={"failed_thread": name},
            exc_info=(args.exc_type, args.exc_value, args.exc_traceback),
        )
        if name in names:
            fail(Failure(name, args.exc_value))

    threading.excepthook = excepthook
