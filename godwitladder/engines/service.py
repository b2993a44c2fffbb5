"""Client of a plain service: sends a call with its body and content type as is."""

import socket
from dataclasses import dataclass

import urllib3

from godwitladder.clock import Clock
from godwitladder.engines.wire import Dial, MayHaveRun, connect, read_cooldown, send
from godwitladder.ids import ServiceName, StreamId

MAX_READ_BYTES = 65_536
MAX_ANSWER_BYTES = 16_777_216
MIN_READ_S = 0.1
CALL_HEADER = "X-Call-Id"


@dataclass(frozen=True)
class ServiceAnswer:
    """The complete answer of a plain service.

    Attributes
    ----------
    cooldown_s : float
        Seconds until this host may retry a service that refuses; 0 if not
        stated.
    """

    status: int
    content_type: str
    body: bytes
    cooldown_s: float = 0.0


def call_service(
    address: str,
    service: ServiceName,
    call: StreamId,
    body: bytes,
    content_type: str,
    clock: Clock,
    deadline: float,
    dial: Dial = connect,
) -> ServiceAnswer:
    """Dispatch one call and return its complete answer.

    Parameters
    ----------
    deadline : float
        Monotonic time in seconds after which the answer is no longer useful.
    dial : callable
        Connects to the service.

    Raises
    ------
    NotSent, MayHaveRun
        See `godwitladder.engines.wire`. An answer that ends before its stated
        length, or states none, raises `MayHaveRun` and is never returned truncated.
    """
    connection = dial(address, max(MIN_READ_S, deadline - clock.monotonic()))
    connection.needs_framing = True
    # The connection gives its socket up once an answer that ends with it has begun.
    sock = connection.sock
    headers = {"Content-Type": content_type, CALL_HEADER: call}
    response = send(connection, "POST", f"/call/{service}", body, headers)
    try:
        _check_headers(response, call)
        data = _read_body(response, sock, clock, deadline)
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise MayHaveRun(f"{address} cut its answer short: {error}") from error
    finally:
        response.close()
        connection.close()
    kind = response.headers.get("Content-Type", "application/octet-stream")
    return ServiceAnswer(response.status, kind, data, read_cooldown(response))


def _check_headers(response: urllib3.BaseHTTPResponse, call: StreamId) -> None:
    """Reject an answer to another call.

    Raises
    ------
    MayHaveRun
        The answer is rejected.
    """
    if response.headers.get(CALL_HEADER, call) != call:
        raise MayHaveRun("the target sent the answer of another call")


def _read_body(
    response: urllib3.BaseHTTPResponse,
    sock: socket.socket,
    clock: Clock,
    deadline: float,
) -> bytes:
    """Return the body; the deadline also ends a slow, trickling answer.

    A read waits for what is left of the time, not for all of it again.

    Raises
    ------
    MayHaveRun
        The body is too large, or the deadline passed before its end.
    """
    blocks = []
    size = 0
    while block := response.read1(MAX_READ_BYTES):
        size += len(block)
        if size > MAX_ANSWER_BYTES:
            raise MayHaveRun(f"the answer has more than {MAX_ANSWER_BYTES} bytes")
        left_s = deadline - clock.monotonic()
        if left_s <= 0:
            raise MayHaveRun("the deadline passed within the answer")
        blocks.append(block)
        if sock.fileno() >= 0:
            # The socket is closed with the last block of a target that closes it.
            sock.settimeout(max(MIN_READ_S, left_s))
    return b"".join(blocks)
