"""Base class of the hosts.

A host owns actors, components with threads, and HTTP servers. One exit stack
stops them in the reverse order of their start.
"""

import contextlib
import math
import os
import signal
import socket
import threading
from collections.abc import Callable
from typing import Any

import pykka

from godwitladder.clock import Clock
from godwitladder.ids import HostId
from godwitladder.logs import component_logger, flush_logs
from godwitladder.metrics import Metrics
from godwitladder.process.binding import Binder, Listener
from godwitladder.process.drain import close_idle, count_unfinished, stop_accepting
from godwitladder.process.early_signals import (
    RELOAD_SIGNAL,
    STOP_SIGNALS,
)
from godwitladder.process.exits import Failure, report_exit
from godwitladder.process.loops import Turns
from godwitladder.process.signals import SignalQueue
from godwitladder.process.supervision import supervised
from godwitladder.process.threads import start_thread
from godwitladder.serving.listener import BoundedServer, make_server
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
    grace_s : float, default=0
        Time in seconds after which a former process of the host has ended.

    Attributes
    ----------
    port_wait_s : float
        Time in seconds for which a port that is held is tried again.
    binder : Binder
        Binds the listeners.
    metrics : Metrics
        All metrics of the host.
    stack : contextlib.ExitStack
        Stops the components in the reverse order of their start.
    stopping : threading.Event
        Set when the host is to stop.
    stop_requested : float
        Monotonic time in seconds at which a graceful stop was first requested.
    signals : SignalQueue
        Signals that were received while the host runs.
    failure : Failure or None
        Why the host stops by itself; None if it does not.
    caller_server : BoundedServer or None
        Serves callers; None until its port is bound.
    """

    def __init__(
        self, host: HostId, clock: Clock, limits: LimitSettings, grace_s: float = 0.0
    ) -> None:
        self.host = host
        self.clock = clock
        self.limits = limits
        self.port_wait_s = grace_s + limits.port_wait_s
        self.binder = Binder(clock, self.fail)
        self.metrics = Metrics()
        self.stack = contextlib.ExitStack()
        self.stopping = threading.Event()
        self.stop_requested = math.inf
        self.signals = SignalQueue()
        self.failure: Failure | None = None
        self.caller_server: BoundedServer | None = None

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
        self.supervise(component.turns)
        component.start(*args)
        self.stack.callback(component.stop)

    def vital_listener(self, name: str, address: str) -> Listener:
        """Return a listener without which the host can't work."""
        return Listener(name, address, self.port_wait_s)

    def spare_listener(self, name: str, address: str) -> Listener:
        """Return a listener without which the host serves its callers as well."""
        return Listener(name, address, math.inf)

    def supervise(self, turns: Turns) -> Turns:
        """Count the turns that fail in the metrics, and return ``turns``."""
        turns.count = lambda part: self.metrics.failed_turns.inc({"part": part})
        return turns

    def serve(
        self,
        app: Callable,
        listener: Listener,
        threads: int,
        tls: TlsSettings | None = None,
        prepare: Callable[[BoundedServer], None] = lambda server: None,
        is_brief: bool = False,
    ) -> None:
        """Serve the WSGI application ``app`` with waitress until the host stops.

        Returns at once, though the port may have to be waited for.

        Parameters
        ----------
        app : callable
            The WSGI application.
        listener : Listener
            Where to listen.
        threads : int
            Number of threads that run the application.
        tls : TlsSettings or None, default=None
            Certificate and key of the listener; None for plain HTTP.
        prepare : callable, optional
            Called with the server before it runs.
        is_brief : bool, default=False
            Whether its requests end soon; see `make_server`.
        """

        def use(sock: socket.socket) -> None:
            server = make_server(app, sock, self.limits, threads, tls, is_brief)
            prepare(server)
            start_thread(server.run, "http")
            self.stack.callback(server.close)

        self.binder.bind(listener, use)

    def run(self) -> None:
        """Serve until a stop is requested, then drain unless the host has failed."""
        with self.stack:
            self.start()
            self.wait_for_stop()
            self.binder.end()
            if self.failed:
                return
            self.drain()
        log.info("The host has stopped", extra={"host": self.host})

    def count_unfinished_calls(self) -> int:
        """Return the number of callers whose request or answer is in progress."""
        server = self.caller_server
        return 0 if server is None else count_unfinished(server)

    def count_connections(self) -> int:
        """Return the number of open connections of callers."""
        server = self.caller_server
        return 0 if server is None else len(server.active_channels)

    def wait_for_stop(self) -> None:
        """Wait until a stop is requested, and react to signals.

        The interpreter runs their handlers in the main thread alone. If another thread
        took the signal, an endless wait would not be interrupted, and the host would
        react to no signal until it is killed.
        """
        while not self.stopping.is_set():
            number = self.signals.take(SIGNAL_CHECK_INTERVAL_S)
            if number is not None:
                self.react(number)

    def handle_signals(self) -> None:
        """React to signals from now on; those that come meanwhile wait for `run`."""
        self.signals.record_all((*STOP_SIGNALS, RELOAD_SIGNAL))

    def react(self, number: signal.Signals) -> None:
        """React to a signal; an error in this doesn't end the host."""
        extra = {"signal": number.name}
        if number in STOP_SIGNALS:
            log.info("A stop is requested", extra=extra)
            self.stop()
            return
        try:
            self.reload()
        except Exception:
            log.exception("The settings could not be reloaded; the former ones stay")

    def reload(self) -> None:
        """React to a change of the settings; subclasses may override this."""
        log.info("The settings are read at a start only", extra={"host": self.host})

    def start(self) -> None:
        """Start all components; subclasses override this."""
        raise TypeError(f"{type(self).__name__} doesn't implement start()")

    def drain(self) -> None:
        """Wait for the requests in flight; subclasses override this."""
        raise TypeError(f"{type(self).__name__} doesn't implement drain()")

    def stop(self) -> None:
        """Request a graceful stop."""
        self.stop_requested = min(self.stop_requested, self.clock.monotonic())
        self.stopping.set()
        self.signals.wake()

    def fail(self, failure: Failure) -> None:
        """Stop without draining because a component has failed.

        The first failure is kept: others may follow from it.
        """
        if self.failure is None:
            self.failure = failure
        self.stopping.set()
        self.signals.wake()

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

    def sleep_until(self, moment: float) -> None:
        """Sleep until the monotonic time ``moment``, in seconds."""
        self.clock.sleep(max(0.0, moment - self.clock.monotonic()))

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
