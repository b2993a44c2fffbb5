"""Connects calls to their targets, and records which targets this host reaches."""

import threading
from collections.abc import Collection

from urllib3.connection import HTTPConnection

from godwitladder.clock import Clock
from godwitladder.decisions.paths import PathTable
from godwitladder.engines.wire import NotSent, connect
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics

log = component_logger("paths")

CONNECT_TIMEOUT_S = 0.3
"""Connecting within a region takes 1 to 5 ms. A target that does not accept in
this time is overloaded or down, and another target can still meet the deadline."""


class Connector:
    """Connects calls to their targets.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    metrics : Metrics
        The metrics to update.

    Attributes
    ----------
    paths : PathTable
        The targets that this host reaches directly, guarded by ``lock``.
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.paths = PathTable()
        self.lock = threading.Lock()

    def connect(self, address: str, read_timeout_s: float) -> HTTPConnection:
        """Return a new open connection to the target at ``address``.

        Raises
        ------
        NotSent
            The connection could not be established.
        """
        try:
            connection = connect(address, read_timeout_s, CONNECT_TIMEOUT_S)
        except NotSent as error:
            self.record_failed(address, error)
            raise
        self.record_connected(address)
        return connection

    def record_connected(self, address: str) -> None:
        """Record a direct connection, and log it if the path was lost."""
        with self.lock:
            path = self.paths.record_connected(address)
        if path is None:
            return
        lost_s = self.clock.monotonic() - path.since
        extra = {"address": address, "lost_s": round(lost_s, 3)}
        log.info("The direct path to a target is back", extra=extra)
        self.count_lost_paths()

    def record_failed(self, address: str, error: Exception) -> None:
        """Record a failed direct connection, and log it if the path was sound."""
        with self.lock:
            is_new = self.paths.record_failed(address, self.clock.monotonic())
            lost = len(self.paths.lost)
        if not is_new:
            return
        extra = {"address": address, "lost_paths": lost, "error": str(error)}
        log.warning("The direct path to a target is lost", extra=extra)
        self.count_lost_paths()

    def retain(self, addresses: Collection[str]) -> None:
        """Forget the paths to all targets but those at ``addresses``."""
        with self.lock:
            self.paths.retain(frozenset(addresses))
        self.count_lost_paths()

    def count_lost_paths(self) -> None:
        """Update the metric of lost paths."""
        self.metrics.lost_paths.set({}, len(self.paths.lost))
