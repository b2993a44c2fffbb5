"""Base class of the hosts.

A host owns actors, components with threads, and HTTP servers. One exit stack
stops them in the reverse order of their start.
"""

import contextlib
import os
import threading
from collections.abc import Callable
from typing import Any

import pykka

from godwitladder.clock import Clock
from godwitladder.ids import HostId
from godwitladder.logs import component_logger, flush_logs
from godwitladder.process.drain import close_idle, stop_accepting
from godwitladder.process.exits import Failure, report_exit
from godwitladder.process.supervision import supervised
from godwitladder.serving.listener import BoundedServer, make_listener
from godwitladder.settings import LimitSettings, TlsSettings

log = component_logger("daemon")

IDLE_CHECK_INTERVAL_S = 0.1
IDLE_CHECKS = 3
SIGNAL_CHECK_INTERVAL_S = 0.5
FAILURE_EXIT_CODE = 70
"""Exit status of a host whose component has failed."""


class BaseHost:
    """Base class of the hosts; starts, drains and stops their components.

    Parameters
    ----------
    host : HostId
        Name of the host, for its log lines.
    clock : Clock
        Clock of the host.
    limits : LimitSettings
        Limits of the listeners.

    Attributes
    ----------
    stack : contextlib.ExitStack
        Stops the components in the reverse order of their start.
    stopping : threading.Event
        Set when the host is to stop.
    failure : Failure or None
        Why the host stops by itself; None if it does not.
    """

    def __init__(self, host: HostId, clock: Clock, limits: LimitSettings) -> None:
        self.host = host
        self.clock = clock
        self.limits = limits
        self.stack = contextlib.ExitStack()
        self.stopping = threading.Event()
        self.failure: Failure | None = None

    @property
    def failed(self) -> bool:
        """Whether the host stops because one of its components has failed."""
        return self.failure is not None

    def start_actor(self, kind: type[pykka.ThreadingActor], *args: Any) -> Any:
        """Start an actor, to be stopped with the host, and return its reference."""
        actor = supervised(kind, self.fail).start(*args)
        self.stack.callback(actor.stop)
        return actor

    def start_component(self, component: Any, *args: Any) -> None:
        """Start a component with a thread of its own, to be stopped with the host."""
        component.start(*args)
        self.stack.callback(component.stop)

    def serve(
        self,
        app: Callable,
        address: str,
        threads: int,
        tls: TlsSettings | None = None,
    ) -> BoundedServer:
        """Serve the WSGI application ``app`` with waitress at ``address``.

        Parameters
        ----------
        app : callable
            The WSGI application.
        address : str
            Where to listen, as ``address:port``.
        threads : int
            Number of threads that run the application.
        tls : TlsSettings or None, default=None
            Certificate and key of the listener; None for plain HTTP.

        Returns
        -------
        server : BoundedServer
            The running server, to be closed with the host.
        """
        server = make_listener(app, address, self.limits, threads, tls)
        threading.Thread(target=server.run, name="http", daemon=True).start()
        self.stack.callback(server.close)
        return server

    def run(self) -> None:
        """Serve until a stop is requested, then drain unless the host has failed."""
        with self.stack:
            self.start()
            self.wait_for_stop()
            if self.failed:
                return
            self.drain()
        log.info("The host has stopped", extra={"host": self.host})

    def wait_for_stop(self) -> None:
        """Wait until a stop is requested, and let handlers of signals run.

        The interpreter runs them in the main thread alone. If another thread took
        the signal, an endless wait would not be interrupted, and the host would
        react to no signal until it is killed.
        """
        while not self.stopping.wait(SIGNAL_CHECK_INTERVAL_S):
            pass

    def start(self) -> None:
        """Start all components; subclasses override this."""
        raise TypeError(f"{type(self).__name__} doesn't implement start()")

    def drain(self) -> None:
        """Wait for the requests in flight; subclasses override this."""
        raise TypeError(f"{type(self).__name__} doesn't implement drain()")

    def stop(self) -> None:
        """Request a graceful stop."""
        self.stopping.set()

    def fail(self, failure: Failure) -> None:
        """Stop without draining because a component has failed.

        The first failure is kept: others may follow from it.
        """
        if self.failure is None:
            self.failure = failure
        self.stopping.set()

    def exit(self) -> None:
        """End the process, and report why if a component has failed.

        The graceful exit of the interpreter would wait for the threads of callers.
        They may wait for the failed component and would never end.
        """
        flush_logs()
        if self.failure is None:
            os._exit(0)
        report_exit(FAILURE_EXIT_CODE, self.failure)
        os._exit(FAILURE_EXIT_CODE)

    def close_connections(
        self,
        server: BoundedServer,
        is_busy: Callable[[], bool],
        until: float = float("inf"),
    ) -> None:
        """Close the listener, and then each connection once no request is on it.

        Parameters
        ----------
        server : BoundedServer
            The server to close.
        is_busy : callable
            Returns whether a request is in flight.
        until : float, default=inf
            Monotonic time, in seconds, at which the wait ends at the latest.
        """
        stop_accepting(server)
        self.wait_until_idle(lambda: is_busy() or close_idle(server) > 0, until)
        if server.active_channels:
            log.warning(
                "Connections of callers end with the process",
                extra={"open": len(server.active_channels)},
            )

    def wait_until_idle(
        self, is_busy: Callable[[], bool], until: float = float("inf")
    ) -> None:
        """Wait until several checks in a row find no request in flight.

        A single check could fall between two requests of a caller, or between
        the arrival of a request's last byte and the call that serves it. The
        wait ends early if the host has failed.

        Parameters
        ----------
        is_busy : callable
            Returns whether a request is in flight.
        until : float, default=inf
            Monotonic time, in seconds, at which the wait ends at the latest.
        """
        idle = 0
        while idle < IDLE_CHECKS and not self.failed:
            if self.clock.monotonic() >= until:
                return
            self.clock.sleep(IDLE_CHECK_INTERVAL_S)
            idle = 0 if is_busy() else idle + 1
