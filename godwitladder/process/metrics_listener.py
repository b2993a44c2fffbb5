"""Serves a host's metrics at an address that may be held by another process.

Metrics are of use only beside calls: whatever keeps them from being served is logged,
tried again, and never ends the host.
"""

import threading
from collections.abc import Callable

from godwitladder.clock import Clock
from godwitladder.logs import component_logger
from godwitladder.serving.listener import BoundedServer, make_listener
from godwitladder.settings import LimitSettings

log = component_logger("metrics")

RETRY_S = 5.0
"""Time between two attempts to listen."""
THREADS = 2


class MetricsListener:
    """Listens in a thread of its own, as soon as the address is free.

    Parameters
    ----------
    app : callable
        WSGI application that serves the metrics.
    address : str
        Where to listen, as ``address:port``.
    limits : LimitSettings
        Limits of the listener.
    clock : Clock
        Clock for the attempts.

    Attributes
    ----------
    server : BoundedServer or None
        The running server; None while the address is held.
    """

    def __init__(
        self, app: Callable, address: str, limits: LimitSettings, clock: Clock
    ) -> None:
        self.app = app
        self.address = address
        self.limits = limits
        self.clock = clock
        self.stopping = threading.Event()
        self.server: BoundedServer | None = None
        self.logged_error = ""

    def start(self) -> None:
        """Start listening; returns at once, and never raises for lack of a thread."""
        try:
            threading.Thread(target=self.run, name="metrics", daemon=True).start()
        except RuntimeError as error:
            self.log_error(error)

    def stop(self) -> None:
        """Stop listening."""
        self.stopping.set()
        if self.server is not None:
            self.server.close()

    def run(self) -> None:
        """Listen as soon as that is possible, and serve until stopped."""
        while not self.stopping.is_set():
            try:
                self.server = make_listener(
                    self.app, self.address, self.limits, THREADS
                )
            except (OSError, RuntimeError) as error:
                self.log_error(error)
                self.clock.wait(self.stopping, RETRY_S)
                continue
            self.server.run()
            return

    def log_error(self, error: Exception) -> None:
        """Log why nothing is served, once for each reason."""
        if str(error) == self.logged_error:
            return
        self.logged_error = str(error)
        log.warning(
            "The metrics are not served",
            extra={"address": self.address, "error": str(error)},
        )
