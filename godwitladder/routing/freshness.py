"""How long a routing document may be used after it was confirmed as the newest.

Without this limit, a host that can't reach the store would go on admitting
callers whose keys were revoked. A document is confirmed as of the *start* of a
read that found nothing newer, because that read would have shown any key revoked
before it. Past the limit, a request that needs a key is refused before any of it
runs.

That a route or key is *not* there can be said for a shorter time: a change must be in
force within seconds, and a document that was confirmed before that may lack it.

The functions read no clock: their callers pass times of a clock that keeps
counting while the machine is suspended.
"""

from dataclasses import dataclass

from godwitladder.ids import HostId

MARGIN_S = 1.0
"""Seconds between the last use of a key and the limit. It covers the time from
the check to the dispatch of the request, and the drift between the clocks of two
hosts, which is far smaller."""


@dataclass(frozen=True)
class DocumentTrust:
    """What may be decided by a document at one moment.

    Attributes
    ----------
    accepts_keys : bool
        Whether keys that it has may be accepted.
    may_deny : bool
        Whether routes, keys and sizes that it does not allow may be denied.
    """

    accepts_keys: bool
    may_deny: bool


@dataclass
class DocumentFreshness:
    """Tracks when the active document was last confirmed to be the newest.

    Parameters
    ----------
    max_age_s : float
        Seconds after which a revoked key must no longer be accepted.
    change_s : float
        Seconds within which a change must be in force.
    confirmed_at : float
        Start of the last read that confirmed the document, in seconds of this
        host's clock.
    confirmed_by : HostId or None
        Host that told of that read; None if this host read, or before the first.
    """

    max_age_s: float
    change_s: float = 2.0
    confirmed_at: float = float("-inf")
    confirmed_by: HostId | None = None

    def confirm(self, at: float, by: HostId | None = None) -> None:
        """Record a confirmation at time ``at``; an older one has no effect."""
        if at > self.confirmed_at:
            self.confirmed_at = at
            self.confirmed_by = by

    def doubt(self) -> None:
        """Withdraw all confirmations: they were of another document."""
        self.confirmed_at = float("-inf")

    def age_s(self, now: float) -> float:
        """Return the seconds since the document was last confirmed."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether keys may still be accepted at time ``now``."""
        return self.age_s(now) <= self.max_age_s - MARGIN_S

    def trust(self, now: float) -> DocumentTrust:
        """Return what may be decided by the document at time ``now``."""
        return DocumentTrust(self.is_fresh(now), self.age_s(now) <= self.change_s)
