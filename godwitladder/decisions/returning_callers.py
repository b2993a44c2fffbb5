"""Knows callers again that were sent away and have come back.

Load pattern: a burst. Who was refused comes back seconds later, to another
host, as a new request with all of its waiting still ahead. Taken for one that
has just come it is put before callers who can still be served in time, and its
own answer is late whatever is done.

A caller sends the same body again, so the body's digest tells. The time that
callers say they have left does not: it differs from caller to caller by more
than the time that most have spent. Taken from that, first tries count as late, and
calls that could be in time yield to others.

Two callers who send the same words within the time kept are taken for one:
the second then yields to others for nothing, which is rare and harms only it.

Thresholds
----------
RETENTION_S : twice the longest time that callers wait, who come back within it.
KEPT : callers refused in that time at 1,500 requests a second, half of them.
"""

from collections import OrderedDict

from godwitladder.ids import BodyDigest

RETENTION_S = 30.0
MAX_CALLERS = 25_000


class RefusedCallers:
    """When callers that were refused lately first asked, by their body."""

    def __init__(self) -> None:
        self.first_arrivals: OrderedDict[BodyDigest, float] = OrderedDict()

    def note(self, body: BodyDigest, asked: float, now: float) -> None:
        """A caller that first asked at ``asked`` is refused."""
        if not body:
            return
        self.first_arrivals.setdefault(body, asked)
        while self.first_arrivals and self.is_old(now):
            self.first_arrivals.popitem(last=False)

    def first_arrival(self, body: BodyDigest, now: float) -> float | None:
        """Return when a caller that was refused before first asked."""
        asked = self.first_arrivals.get(body)
        return None if asked is None or now - asked > RETENTION_S else asked

    def is_old(self, now: float) -> bool:
        """Return whether the oldest is to be forgotten."""
        oldest = next(iter(self.first_arrivals.values()))
        return now - oldest > RETENTION_S or len(self.first_arrivals) > MAX_CALLERS
