"""What every daemon owns, ended in the reverse order by one exit stack."""

import contextlib
import threading
from collections.abc import Callable
from typing import Any

import pykka
from waitress.server import TcpWSGIServer

from godwitladder.clock import Clock
from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.serving.listener import make_listener
from godwitladder.settings import LimitSettings, TlsSettings
from godwitladder.supervision import supervised

log = component_logger("daemon")

DRAIN_POLL_S = 0.1
IDLE_LOOKS = 3


class BaseHost:
    """Actors, parts with threads and servers of one host.

    Parameters
    ----------
    host : HostId
        The host's name, for its log.
    clock : Clock
        The host's clock.
    limits : LimitSettings
        Bounds of the listeners.

    Attributes
    ----------
    stopping : threading.Event
        Set when the host is to end.
    failed : bool
        Whether it ends because a part of it no longer works.
    """

    def __init__(self, host: HostId, clock: Clock, limits: LimitSettings) -> None:
        self.host = host
        self.clock = clock
        self.limits = limits
        self.stack = contextlib.ExitStack()
        self.stopping = threading.Event()
        self.failed = False

    def start_actor(self, kind: type[pykka.ThreadingActor], *parts: Any) -> Any:
        """Start an actor that stops with the host."""
        actor = supervised(kind, self.fail).start(*parts)
        self.stack.callback(actor.stop)
        return actor

    def start_component(self, part: Any, *args: Any) -> None:
        """Start a part that stops with the host."""
        part.start(*args)
        self.stack.callback(part.stop)

    def serve(
        self,
        app: Callable,
        address: str,
        threads: int,
        tls: TlsSettings | None = None,
    ) -> TcpWSGIServer:
        """Serve ``app`` by waitress at ``address``."""
        server = make_listener(app, address, self.limits, threads, tls)
        threading.Thread(target=server.run, name="http", daemon=True).start()
        self.stack.callback(server.close)
        return server

    def run(self) -> None:
        """Serve until a stop was asked for and all work in flight is done."""
        with self.stack:
            self.start()
            self.stopping.wait()
            if self.failed:
                return
            self.drain()
        log.info("The host has stopped", extra={"host": self.host})

    def start(self) -> None:
        """Start every part; each kind of host has its own."""
        raise TypeError(f"{type(self).__name__} starts nothing")

    def drain(self) -> None:
        """Finish what is in flight; each kind of host has its own way."""
        raise TypeError(f"{type(self).__name__} can't be drained")

    def stop(self) -> None:
        """Ask for a planned stop."""
        self.stopping.set()

    def fail(self) -> None:
        """End at once: a part of the host no longer works."""
        self.failed = True
        self.stopping.set()

    def wait_until_idle(
        self, is_busy: Callable[[], bool], until: float = float("inf")
    ) -> None:
        """Wait until no request is under way, and was none a moment ago.

        A single look could fall between two of a caller's requests, or
        between a request's last byte and the call that serves it.

        Parameters
        ----------
        until : float
            Monotonic time at which the wait ends in any case.
        """
        idle = 0
        while idle < IDLE_LOOKS and not self.failed:
            if self.clock.monotonic() >= until:
                return
            self.clock.sleep(DRAIN_POLL_S)
            idle = 0 if is_busy() else idle + 1
