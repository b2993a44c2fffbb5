"""HTTP connections to targets that tell failures before the first byte from later."""

import enum
import math
from collections.abc import Callable, Mapping

import urllib3
from urllib3.connection import HTTPConnection

from godwitladder.findings import GodwitladderError

CONNECT_TIMEOUT_S = 2.0
COOLDOWN_STATUSES = frozenset({429, 503})
"""Statuses with which a target refuses a request for the time being."""


Dial = Callable[[str, float], HTTPConnection]
"""Returns an open connection to an address, with a timeout of reads in seconds.

Raises `NotSent` if the connection could not be established.
"""


class NotSent(GodwitladderError):
    """The request was not dispatched: no byte of it was sent to the target."""


class NoConnection(NotSent):
    """No connection to the target could be established, on any way."""


class MayHaveRun(GodwitladderError):
    """The request may have reached the target, but no complete answer arrived."""


class AbortedByHost(MayHaveRun):
    """The host itself ended the answer before it was complete."""


class AnswerShape(enum.Enum):
    """Part of an answer that exceeds its limit or is not HTTP."""

    HEAD = "head"
    INTERIM = "interim"
    FRAMING = "framing"
    EVENT = "event"
    BODY = "body"


class MalformedAnswer(MayHaveRun):
    """The target sent bytes that are no answer, or more than the limits allow.

    Parameters
    ----------
    shape : AnswerShape
        The part at fault.
    size : int
        Bytes of that part that were read.
    detail : str
        What is wrong with it.
    """

    def __init__(self, shape: AnswerShape, size: int, detail: str) -> None:
        super().__init__(f"malformed {shape.value} after {size} bytes: {detail}")
        self.shape = shape
        self.size = size


class TargetRefused(GodwitladderError):
    """The target answered that it has not started the request.

    Parameters
    ----------
    status : int
        The target's HTTP status.
    text : str
        The beginning of its answer.
    cooldown_s : float
        Seconds until this host may retry; 0 if not stated.
    """

    def __init__(self, status: int, text: str, cooldown_s: float = 0.0) -> None:
        super().__init__(f"target answered {status}: {text}")
        self.status = status
        self.cooldown_s = cooldown_s


def read_cooldown(response: urllib3.BaseHTTPResponse) -> float:
    """Return the seconds until this host may retry a target that refuses.

    0 if the answer is no refusal, or states no valid time in seconds.
    """
    if response.status not in COOLDOWN_STATUSES:
        return 0.0
    try:
        seconds = float(response.headers.get("Retry-After", "0"))
    except ValueError:
        return 0.0
    return seconds if 0 < seconds < math.inf else 0.0


def connect(
    address: str, read_timeout_s: float, connect_timeout_s: float = CONNECT_TIMEOUT_S
) -> HTTPConnection:
    """Return a new open connection to ``address``.

    Each dispatch has its own connection. The target may just have closed a pooled
    connection, and a request written to it would look sent although it never runs.

    Raises
    ------
    NoConnection
        The connection could not be established.
    """
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(host, int(port), timeout=connect_timeout_s)
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        connection.close()
        raise NoConnection(f"no connection to {address}: {error}") from error
    connection.timeout = read_timeout_s
    connection.sock.settimeout(read_timeout_s)
    return connection


def send(
    connection: HTTPConnection,
    method: str,
    path: str,
    body: bytes | None,
    headers: Mapping[str, str],
) -> urllib3.BaseHTTPResponse:
    """Send one request and return its answer, with the body still unread.

    Raises
    ------
    MayHaveRun
        Sending the request or receiving the status and headers failed.
    """
    try:
        try:
            connection.request(
                method, path, body=body, headers=dict(headers), preload_content=False
            )
        except BrokenPipeError:
            # A target may answer and close before it has read a long body; its
            # answer can still be read.
            pass
        return connection.getresponse()
    except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
        connection.close()
        raise MayHaveRun(f"{connection.host} gave no answer: {error}") from error
