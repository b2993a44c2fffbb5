"""Recognizes callers that were refused and retry.

Load pattern: a burst. A refused caller retries seconds later at another host, as
a new request whose wait seems to start only then. If it is treated as new, it is
served before callers that can still be served in time, and its own answer is late
in any case.

A caller sends the same body again, so the digest of the body identifies it. The
time that callers say they have left doesn't: it differs between callers by more
than most of them have waited. Judged by that time, first attempts would count
as late, and requests that could be in time would yield to others.

Two callers that send the same body within `RETENTION_S` are treated as one. The
second then yields to others without need, which is rare and harms only that
caller.

Thresholds
----------
RETENTION_S : twice the longest time that callers wait; they retry within it.
MAX_CALLERS : largest number of callers: those refused in that time at 1,500 requests
    per second, half of which are refused.
"""

from collections import OrderedDict

from godwitladder.ids import BodyDigest

RETENTION_S = 30.0
MAX_CALLERS = 25_000


class RefusedCallers:
    """Times of the first requests of recently refused callers, by body digest.

    Attributes
    ----------
    first_arrivals : OrderedDict
        Time of the first request by body digest, in seconds, oldest refusal
        first.
    """

    def __init__(self) -> None:
        self.first_arrivals: OrderedDict[BodyDigest, float] = OrderedDict()

    def record_refusal(
        self, body: BodyDigest, first_arrived: float, now: float
    ) -> None:
        """Record the refusal of a caller.

        An empty digest is ignored, since it doesn't identify a caller.

        Parameters
        ----------
        body : BodyDigest
            Digest of the body of the refused request.
        first_arrived : float
            Time of the caller's first request, in seconds.
        now : float
            Current time, in seconds.
        """
        if not body:
            return
        self.first_arrivals.setdefault(body, first_arrived)
        while self.first_arrivals and self.is_oldest_expired(now):
            self.first_arrivals.popitem(last=False)

    def first_arrival(self, body: BodyDigest, now: float) -> float | None:
        """Return the time of a caller's first request; None if not known as refused."""
        first_arrived = self.first_arrivals.get(body)
        return (
            None
            if first_arrived is None or now - first_arrived > RETENTION_S
            else first_arrived
        )

    def is_oldest_expired(self, now: float) -> bool:
        """Return whether the oldest entry has expired or exceeds the capacity."""
        first_arrival = next(iter(self.first_arrivals.values()))
        return (
            now - first_arrival > RETENTION_S or len(self.first_arrivals) > MAX_CALLERS
        )
