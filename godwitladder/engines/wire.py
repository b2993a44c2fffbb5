"""HTTP connections to targets that tell failures before the first byte from later."""

import http.client
import math
from collections.abc import Callable, Mapping

import urllib3
from urllib3.connection import HTTPConnection

from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.engines.bounded_http import (
    DEFAULT_LIMITS,
    BoundedConnection,
    bounded_connection,
)
from godwitladder.engines.errors import (
    AbortedByHost,
    AnswerShape,
    MalformedAnswer,
    MayHaveRun,
    NoConnection,
    NoDescriptor,
    NotSent,
    TargetRefused,
)
from godwitladder.process.descriptors import is_shortage

__all__ = [
    "HTTP_MISDIRECTED",
    "MAX_ANSWER_TIMEOUTS",
    "AbortedByHost",
    "AnswerShape",
    "Dial",
    "MalformedAnswer",
    "MayHaveRun",
    "NoConnection",
    "NoDescriptor",
    "NotSent",
    "TargetRefused",
    "connect",
    "connect_for_answer",
    "read_cooldown",
    "send",
]

CONNECT_TIMEOUT_S = 2.0
MAX_ANSWER_TIMEOUTS = 3.0
"""Limit on the time of a whole answer, in timeouts of the connection."""
HTTP_MISDIRECTED = 421
"""Status with which another target than the expected one turns a request away."""
COOLDOWN_STATUSES = frozenset({429, 503})
"""Statuses with which a target refuses a request for the time being."""
BROKEN = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
"""Errors of sending a request and receiving a head. An HTTPException of the standard
library is neither an HTTPError of urllib3 nor an OSError."""


Dial = Callable[[str, float], BoundedConnection]
"""Returns an open connection to an address, with a timeout of reads in seconds.

Raises `NotSent` if the connection could not be established.
"""


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
    address: str,
    read_timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    limits: AnswerLimits = DEFAULT_LIMITS,
) -> HTTPConnection:
    """Return a new open connection to ``address``, which reads within ``limits``.

    Each dispatch has its own connection. The target may just have closed a pooled
    connection, and a request written to it would look sent although it never runs.

    Raises
    ------
    NoConnection
        The connection could not be established.
    NoDescriptor
        This host has no descriptor for it.
    """
    connection = bounded_connection(address, connect_timeout_s, limits)
    try:
        connection.connect()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        connection.close()
        kind = NoDescriptor if is_shortage(error) else NoConnection
        raise kind(f"no connection to {address}: {error}") from error
    connection.timeout = read_timeout_s
    connection.sock.settimeout(read_timeout_s)
    return connection


def connect_for_answer(
    address: str,
    timeout_s: float,
    connect_timeout_s: float = CONNECT_TIMEOUT_S,
    limits: AnswerLimits = DEFAULT_LIMITS,
) -> HTTPConnection:
    """Return a new open connection on which the time of a whole answer is limited.

    Calls of callers have a deadline that ends them; any other request needs this, since
    an answer that trickles in without end would hold its thread for ever.

    Raises
    ------
    NoConnection, NoDescriptor
        As `connect`.
    """
    connection = connect(address, timeout_s, connect_timeout_s, limits)
    connection.max_timeouts = MAX_ANSWER_TIMEOUTS
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
        Sending the request or receiving the status and headers failed, or the request
        could not be sent whole and only its connection tells how the answer ends.
    MalformedAnswer
        The status and headers exceed the limits of the connection, or are not HTTP.
    """
    is_sent = True
    try:
        try:
            connection.request(
                method, path, body=body, headers=dict(headers), preload_content=False
            )
        except BrokenPipeError:
            # A target may answer and close before it has read a long body; its
            # answer can still be read.
            is_sent = False
        response = connection.getresponse()
    except MalformedAnswer:
        connection.close()
        raise
    except BROKEN as error:
        connection.close()
        raise MayHaveRun(f"{connection.host} gave no answer: {error}") from error
    # Sending has consumed the error of a reset, which reading would show as an end.
    if not is_sent and is_unframed(response):
        connection.close()
        raise MayHaveRun(f"{connection.host} closed while the request was sent")
    return response


def is_unframed(response: urllib3.BaseHTTPResponse) -> bool:
    """Return whether only the end of the connection tells where an answer ends."""
    return response.length_remaining is None and not response.chunked
