"""Pools of HTTP connections to services, whose answers are read within limits.

A service in trouble may send an answer without end. Without a limit it grows until the
host runs out of memory, or holds the thread that reads it for ever. Answers are not
decompressed, as a small one may become a large one by that. An answer that states
neither a length nor chunks is malformed: one that was cut short would look like it.
"""

import functools

import urllib3

from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.engines.bounded_http import (
    BoundedConnection,
    BoundedTlsConnection,
    with_limits,
)
from godwitladder.engines.errors import MalformedAnswer

TOTAL_TIMEOUT_FACTOR = 3.0
"""Limit on the time of a whole answer, as a multiple of the read timeout, which limits
a silence only."""
FAILED_REQUEST = (urllib3.exceptions.HTTPError, OSError, MalformedAnswer)
"""Errors of a request: no connection, a broken one, or a malformed answer."""


class BoundedPool(urllib3.HTTPConnectionPool):
    """Pool of connections that read answers within limits.

    Parameters
    ----------
    limits : AnswerLimits
        Limits on an answer, which may take `TOTAL_TIMEOUT_FACTOR`.
    *args, **options
        Parameters of urllib3's pool.
    """

    ConnectionCls = BoundedConnection

    def __init__(self, *args, limits: AnswerLimits, **options) -> None:
        self.ConnectionCls = with_limits(
            self.ConnectionCls, limits, TOTAL_TIMEOUT_FACTOR
        )
        super().__init__(*args, **options)


class BoundedTlsPool(urllib3.HTTPSConnectionPool):
    """Pool of TLS connections that read answers within limits, as `BoundedPool`."""

    ConnectionCls = BoundedTlsConnection

    def __init__(self, *args, limits: AnswerLimits, **options) -> None:
        self.ConnectionCls = with_limits(
            self.ConnectionCls, limits, TOTAL_TIMEOUT_FACTOR
        )
        super().__init__(*args, **options)


class BoundedPools(urllib3.PoolManager):
    """The pools of all addresses of a service; nothing is tried again.

    Parameters
    ----------
    limits : AnswerLimits
        Limits on an answer.
    **options
        Parameters of urllib3's `PoolManager`. Headers are sent with each request.
    """

    def __init__(self, limits: AnswerLimits, **options) -> None:
        super().__init__(retries=False, **options)
        self.pool_classes_by_scheme = {
            "http": functools.partial(BoundedPool, limits=limits),
            "https": functools.partial(BoundedTlsPool, limits=limits),
        }

    def ask(
        self, method: str, url: str, timeout_s: float, body: str | bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return its whole answer.

        Raises
        ------
        urllib3.exceptions.HTTPError, OSError, MalformedAnswer
            See `FAILED_REQUEST`.
        """
        return self.request(
            method, url, body=body, timeout=timeout_s, decode_content=False
        )
