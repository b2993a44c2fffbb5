"""Asks a target, after it has lost an answer, whether its process still runs."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from godwitladder.engines.wire import MayHaveRun, NoConnection, connect, send
from godwitladder.ids import TargetName
from godwitladder.routing.calls import HeaderCodec

PROBE_TIMEOUT_S = 0.1
"""Time for a connection, and then for its answer: the call that was lost waits."""
HTTP_MISDIRECTED = 421


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


@dataclass(frozen=True)
class TargetProbe:
    """Probes targets by a connection and a health check.

    Attributes
    ----------
    header_codec : HeaderCodec
        Reads and writes the headers of this platform.
    """

    header_codec: HeaderCodec

    def __call__(
        self, target: TargetName, address: str, health_path: str
    ) -> ProbeResult:
        """Return what answers at ``address``; see `ProbeResult`."""
        try:
            connection = connect(address, PROBE_TIMEOUT_S, PROBE_TIMEOUT_S)
        except NoConnection as error:
            is_refused = is_connection_refused(error)
            return ProbeResult.REFUSED if is_refused else ProbeResult.NO_CONNECTION
        try:
            if not health_path:
                return ProbeResult.NO_ANSWER
            headers = dict(self.header_codec.for_probe(target))
            response = send(connection, "GET", health_path, None, headers)
            response.close()
        except MayHaveRun:
            return ProbeResult.NO_ANSWER
        finally:
            connection.close()
        instance = self.header_codec.read_answer(response.headers).instance
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
