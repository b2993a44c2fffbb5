"""Computes the retry delay of a refused request, with jitter.

When a burst is refused and every caller retries at once, the next second is a burst
again, and a fixed Retry-After only postpones it. The delay is therefore the time that
the backlog needs, plus a jitter of up to the same length that is fixed for each
request.
"""

import hashlib
import math

from godwitladder.ids import RequestId

# The header has whole seconds, and a retry within a second finds the same backlog.
MIN_DELAY_S = 1.0
# The present backlog says nothing about the time after a minute.
MAX_DELAY_S = 60.0
# Retries are spread evenly over one to two backlog times, so that at most the pool's
# capacity returns in each second.
JITTER = 1.0
# Each refusal of the same request lengthens its delay, up to eightfold, since a
# caller that keeps retrying is part of the load.
BACKOFF_FACTOR = 2.0
MAX_BACKOFF_EXPONENT = 3


def retry_after_s(
    backlog_s: float, request: RequestId, prior_refusals: int = 0
) -> float:
    """Return the whole seconds after which ``request`` should be retried.

    Parameters
    ----------
    backlog_s : float
        Seconds until everything that now waits at the tier of the request and
        above has started.
    request : RequestId
        Determines the jitter.
    prior_refusals : int
        Number of earlier refusals of the same request.

    Returns
    -------
    float
        From `MIN_DELAY_S` to ``MAX_DELAY_S * (1 + JITTER)``.
    """
    base = min(max(backlog_s, MIN_DELAY_S), MAX_DELAY_S)
    base *= BACKOFF_FACTOR ** min(prior_refusals, MAX_BACKOFF_EXPONENT)
    return float(
        math.ceil(min(base, MAX_DELAY_S) * (1.0 + JITTER * jitter_fraction(request)))
    )


def jitter_fraction(request: RequestId) -> float:
    """Return a number from 0 to 1 that is fixed for ``request``."""
    digest = hashlib.blake2b(request.encode(), digest_size=4).digest()
    return int.from_bytes(digest) / 2**32
