"""Binds the listeners of a host, and waits for ports that can't be bound yet.

A former process holds its ports until it has ended, and a network interface may come
up after the host. Neither is a reason to end: the host would be started again, find
the same, and count as failing.
"""

import errno
import math
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

from godwitladder.clock import Clock
from godwitladder.logs import component_logger
from godwitladder.process.exits import Failure

log = component_logger("daemon")

RETRY_INTERVAL_S = 0.1
SPARE_RETRY_INTERVAL_S = 2.0
"""The same for a port without which the host can work, and which may never be free."""
FIRST_REPORT_S = 5.0
"""Time after which a port that is still awaited is reported again; then twice that."""
JOIN_TIMEOUT_S = 1.0
PASSING_ERRORS = frozenset({errno.EADDRINUSE, errno.EADDRNOTAVAIL})
"""Errors that go away by themselves; all others are errors of the settings."""

Use = Callable[[socket.socket], None]
"""Serves with a listening socket, without waiting."""


@dataclass(frozen=True)
class Listener:
    """One address on which a host listens.

    Attributes
    ----------
    name : str
        Name of the listener in the settings.
    address : str
        Where to listen, as ``address:port``.
    wait_s : float
        Time in seconds after which the host fails if the port can't be bound; infinity
        if the host can work without.
    """

    name: str
    address: str
    wait_s: float

    @property
    def is_vital(self) -> bool:
        """Whether the host can't work without it."""
        return math.isfinite(self.wait_s)

    @property
    def interval_s(self) -> float:
        """Time in seconds between two tries to bind it."""
        return RETRY_INTERVAL_S if self.is_vital else SPARE_RETRY_INTERVAL_S


class PortUnavailable(Exception):
    """The port of a listener could not be bound.

    Parameters
    ----------
    listener : Listener
        The listener.
    error : Exception
        Why its port can't be bound.
    waited_s : float
        Time for which that was tried, in seconds.
    """

    def __init__(self, listener: Listener, error: Exception, waited_s: float) -> None:
        text = f"{listener.name}: {listener.address}: {error}, after {waited_s:.1f} s"
        super().__init__(text)


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens at ``address``.

    Connections of a former process that are not over yet don't stand in its way.

    Parameters
    ----------
    address : str
        ``address:port``; an IPv6 address is in brackets.

    Raises
    ------
    OSError, OverflowError
        The address can't be bound.
    """
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host.strip("[]"), int(port)), family=family)


class Binder:
    """Binds listeners at once, or each in a thread of its own once its port is free.

    Parameters
    ----------
    clock : Clock
        Clock of the host.
    fail : callable
        Ends the host where a listener is not bound in time.
    """

    def __init__(self, clock: Clock, fail: Callable[[Failure], None]) -> None:
        self.clock = clock
        self.fail = fail
        self.ending = threading.Event()
        self.threads: list[threading.Thread] = []

    def bind(self, listener: Listener, use: Use) -> None:
        """Bind ``listener`` and pass its socket to ``use``, now or later.

        Parameters
        ----------
        listener : Listener
            What to bind.
        use : callable
            Called with the socket once it listens: in this thread if the port is
            free, and else in another.

        Raises
        ------
        PortUnavailable
            The port can't be bound, and waiting doesn't help.
        """
        try:
            self.bind_or_wait(listener, use)
        except Exception as error:
            if listener.is_vital:
                raise
            report_missing(listener, error)

    def bind_or_wait(self, listener: Listener, use: Use) -> None:
        """Do what `bind` does, whether the host can work without or not."""
        try:
            sock = open_listener(listener.address)
        except (OSError, OverflowError) as error:
            if listener.is_vital and not is_passing(error):
                raise PortUnavailable(listener, error, 0.0) from error
            self.report(listener, error, 0.0)
            self.start_wait(listener, use)
            return
        use(sock)

    def start_wait(self, listener: Listener, use: Use) -> None:
        """Wait for the port of ``listener`` in a thread."""
        name = f"bind-{listener.name}"
        thread = threading.Thread(
            target=self.run, args=(listener, use), name=name, daemon=True
        )
        self.threads.append(thread)
        thread.start()

    def run(self, listener: Listener, use: Use) -> None:
        """Wait for the port of ``listener`` and use it, or fail."""
        try:
            sock = self.wait(listener)
            if sock is not None:
                use(sock)
        except Exception as error:
            if listener.is_vital:
                self.fail(Failure(f"listener {listener.name}", error))
            else:
                report_missing(listener, error)

    def wait(self, listener: Listener) -> socket.socket | None:
        """Return the listening socket; None if the host stops before.

        Raises
        ------
        PortUnavailable
            The port could not be bound in time.
        """
        began = self.clock.monotonic()
        report_s = FIRST_REPORT_S
        while not self.clock.wait(self.ending, listener.interval_s):
            waited_s = self.clock.monotonic() - began
            try:
                sock = open_listener(listener.address)
            except (OSError, OverflowError) as error:
                is_over = waited_s >= listener.wait_s or not is_passing(error)
                if listener.is_vital and is_over:
                    raise PortUnavailable(listener, error, waited_s) from error
                if waited_s >= report_s:
                    self.report(listener, error, waited_s)
                    report_s *= 2
                continue
            log.info(
                "A port is bound after a wait",
                extra={"listener": listener.name, "waited_s": round(waited_s, 1)},
            )
            return sock
        return None

    def report(self, listener: Listener, error: Exception, waited_s: float) -> None:
        """Log that a port is still awaited."""
        extra = {
            "listener": listener.name,
            "address": listener.address,
            "error": str(error),
            "waited_s": round(waited_s, 1),
            "max_wait_s": listener.wait_s if listener.is_vital else None,
        }
        log.warning("A port can't be bound yet; it is tried again", extra=extra)

    def end(self) -> None:
        """Give up all waits; no listener is bound after this."""
        self.ending.set()
        for thread in self.threads:
            thread.join(JOIN_TIMEOUT_S)


def report_missing(listener: Listener, error: Exception) -> None:
    """Log that the host goes on without a listener."""
    extra = {"listener": listener.name, "error": repr(error)}
    log.warning("The host works without a listener", extra=extra)


def is_passing(error: Exception) -> bool:
    """Return whether an address that can't be bound may be bound later."""
    return isinstance(error, OSError) and error.errno in PASSING_ERRORS
