"""Client of the platform's append-only log service.

``POST /log/{stream}`` appends one batch; ``GET /log/{stream}?from=&wait=`` reads
from an offset and waits for new records. This is the only module to change for a
platform whose log has another interface.
"""

import base64
import json
from dataclasses import dataclass
from typing import Any

import urllib3

from godwitladder.clients.pools import FAILED_REQUEST, BoundedPools
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.findings import GodwitladderError
from godwitladder.ids import Offset, Zone
from godwitladder.untrusted import is_finite, is_integer

CONFIG_STREAM = "config"
CLAIM_STREAM = "claims"
ANSWER_LIMITS = AnswerLimits()
CONNECT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


class LogUnavailable(GodwitladderError):
    """The log did not answer; an append may still have been applied."""


class LogNotReached(LogUnavailable):
    """No connection was made: nothing was sent, and no append was applied."""


@dataclass(frozen=True)
class Record:
    """One record; ``time`` is set by the log, in seconds since the epoch."""

    offset: Offset
    time: float
    data: bytes


@dataclass(frozen=True)
class Page:
    """Result of a read; ``first`` is the oldest offset that the log retains."""

    first: Offset
    next: Offset
    records: tuple[Record, ...]


class LogClient:
    """Appends to and reads from the streams of the log.

    Parameters
    ----------
    url : str
        Base URL of the service.
    zone : str
        Availability zone of this host, sent to the service for its records.
    timeout_s : float
        Timeout of a request, in seconds.
    """

    def __init__(self, url: str, zone: Zone, timeout_s: float = 2.0) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.pool = BoundedPools(ANSWER_LIMITS, maxsize=8, headers={"X-Zone": zone})

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.clear()

    def append(self, stream: str, records: list[bytes]) -> Offset:
        """Append ``records`` as one batch; return the offset of the first.

        Raises
        ------
        LogNotReached
            Nothing was sent.
        LogUnavailable
            No valid answer: the batch may have been applied. Only reading the
            stream shows whether it was.
        """
        body = json.dumps([base64.b64encode(data).decode() for data in records])
        answer = self._request("POST", f"/log/{stream}", body, self.timeout_s)
        try:
            return _read_offset(answer["offset"])
        except (KeyError, TypeError, ValueError) as error:
            raise LogUnavailable(f"log answered no offset: {error!r}") from error

    def read(self, stream: str, start: Offset, wait_s: float = 0.0) -> Page:
        """Return the records from offset ``start``, waiting up to ``wait_s`` seconds.

        Raises
        ------
        LogUnavailable
            The log did not answer, or its answer was invalid.
        """
        path = f"/log/{stream}?from={start}&wait={wait_s}"
        answer = self._request("GET", path, None, self.timeout_s + wait_s)
        try:
            return _read_page(answer)
        except (KeyError, TypeError, ValueError) as error:
            raise LogUnavailable(f"log answered no page: {error!r}") from error

    def _request(self, method: str, path: str, body: str | None, timeout: float):
        try:
            answer = self.pool.ask(method, self.url + path, timeout, body)
            if answer.status != 200:
                raise LogUnavailable(f"log answered {answer.status} to {path}")
            return json.loads(answer.data)
        except CONNECT_ERRORS as error:
            raise LogNotReached(f"no connection for {path}: {error}") from error
        except (*FAILED_REQUEST, ValueError, RecursionError) as error:
            raise LogUnavailable(f"log did not answer {path}: {error}") from error


def _read_page(answer: Any) -> Page:
    records = tuple(
        Record(
            _read_offset(row["offset"]),
            _read_time(row["time"]),
            base64.b64decode(row["data"]),
        )
        for row in answer["records"]
    )
    return Page(_read_offset(answer["first"]), _read_offset(answer["next"]), records)


def _read_offset(value: Any) -> Offset:
    if not is_integer(value, 0):
        raise ValueError("an offset is no integer")
    return Offset(value)


def _read_time(value: Any) -> float:
    if not is_finite(value):
        raise ValueError("a time is no number")
    return value
