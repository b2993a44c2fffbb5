"""Client of a plain service: one call, body and content type passed through."""

from dataclasses import dataclass

import urllib3

from godwitladder.engines.wire import MayHaveRun, connect, send
from godwitladder.ids import ServiceName, StreamId


@dataclass(frozen=True)
class ServiceAnswer:
    """The whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


def call_service(
    address: str,
    service: ServiceName,
    call: StreamId,
    body: bytes,
    content_type: str,
    timeout_s: float,
) -> ServiceAnswer:
    """Dispatch one call and return its whole answer.

    Raises
    ------
    NotSent, MayHaveRun
        See `godwitladder.engines.wire`. An answer that ends before its
        stated length is a `MayHaveRun`, never a short answer.
    """
    connection = connect(address, timeout_s)
    headers = {"Content-Type": content_type, "X-Call-Id": call}
    response = send(connection, "POST", f"/call/{service}", body, headers)
    try:
        data = response.read()
    except (urllib3.exceptions.HTTPError, OSError) as error:
        raise MayHaveRun(f"{address} cut its answer short: {error}") from error
    finally:
        connection.close()
    kind = response.headers.get("Content-Type", "application/octet-stream")
    return ServiceAnswer(response.status, kind, data)
