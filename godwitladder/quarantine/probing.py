"""Asks a target, after it has lost an answer, whether its process still runs."""

import enum
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from godwitladder.engines.wire import (
    HTTP_MISDIRECTED,
    MayHaveRun,
    NoConnection,
    connect_for_answer,
    send,
)
from godwitladder.ids import TargetName

PROBE_TIMEOUT_S = 0.1
"""Time for a connection, and then for its answer: the call that was lost waits."""


class ProbeResult(enum.Enum):
    """What a probe of a target found at its address.

    Attributes
    ----------
    REFUSED
        Connections are refused at once.
    NO_CONNECTION
        No connection was established in time. If a whole machine or rack is down,
        connections time out.
    NO_ANSWER
        A connection was established, and gave no answer in time or was closed.
    SAME_PROCESS
        The target answered.
    OTHER_PROCESS
        Another target answered, which has the address now.
    """

    REFUSED = "refused"
    NO_CONNECTION = "no_connection"
    NO_ANSWER = "no_answer"
    SAME_PROCESS = "same_process"
    OTHER_PROCESS = "other_process"


Probe = Callable[[TargetName, str, str], ProbeResult]
"""Probes a target, at an address, with the path of its health check if it has one."""


class ProbeHeaders(Protocol):
    """Reads and writes the headers of health checks on a platform."""

    def for_probe(self, target: TargetName) -> Iterable[tuple[str, str]]:
        """Return the headers of a health check that no other target may answer."""

    def read_instance(self, headers: Mapping[str, str]) -> str:
        """Return the name of the target that answers; empty if it is not stated."""


@dataclass(frozen=True)
class TargetProbe:
    """Probes targets by a connection and a health check.

    Attributes
    ----------
    headers : ProbeHeaders
        Reads and writes the headers of this platform.
    """

    headers: ProbeHeaders

    def __call__(
        self, target: TargetName, address: str, health_path: str
    ) -> ProbeResult:
        """Return what answers at ``address``; see `ProbeResult`."""
        try:
            connection = connect_for_answer(address, PROBE_TIMEOUT_S, PROBE_TIMEOUT_S)
        except NoConnection as error:
            is_refused = is_connection_refused(error)
            return ProbeResult.REFUSED if is_refused else ProbeResult.NO_CONNECTION
        try:
            if not health_path:
                return ProbeResult.NO_ANSWER
            headers = dict(self.headers.for_probe(target))
            response = send(connection, "GET", health_path, None, headers)
            response.close()
        except MayHaveRun:
            return ProbeResult.NO_ANSWER
        finally:
            connection.close()
        instance = self.headers.read_instance(response.headers)
        if response.status == HTTP_MISDIRECTED or instance not in ("", target):
            return ProbeResult.OTHER_PROCESS
        return ProbeResult.SAME_PROCESS


def is_connection_refused(error: BaseException | None) -> bool:
    """Return whether ``error`` was caused by a refused connection."""
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False
