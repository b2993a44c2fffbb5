"""Tells a refused caller when to come back, and spreads the return.

Load pattern: a burst is refused and every caller repeats at once, so the next
second is a burst again. A fixed Retry-After only moves the herd. So it is the
time that the backlog needs, stretched per request over a range as wide.

Thresholds
----------
LEAST_S : header seconds are whole, and a return within a second finds the
    same backlog.
MOST_S : after a minute the backlog of today says nothing.
SPREAD : returns fall evenly over one to two backlog times, so that at most
    the capacity of the pool comes back in each second.
REPEAT_FACTOR : each refusal of the same request stretches its wait, up to
    eightfold, as a caller that keeps coming back is part of the load.
"""

import hashlib
import math

from godwitladder.ids import RequestId

LEAST_S = 1.0
MOST_S = 60.0
SPREAD = 1.0
REPEAT_FACTOR = 2.0
MOST_REPEATS = 3


def retry_after_s(backlog_s: float, request: RequestId, repeats: int = 0) -> float:
    """Return whole seconds after which ``request`` should be sent again.

    Parameters
    ----------
    backlog_s : float
        Seconds until what waits now at its tier and above has started.
    """
    base = min(max(backlog_s, LEAST_S), MOST_S)
    base *= REPEAT_FACTOR ** min(repeats, MOST_REPEATS)
    return float(math.ceil(min(base, MOST_S) * (1.0 + SPREAD * fraction(request))))


def fraction(request: RequestId) -> float:
    """Return a number from 0 to 1 that is fixed for ``request``."""
    digest = hashlib.blake2b(request.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32
