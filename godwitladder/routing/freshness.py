"""How long a document may be used: as long as it is known to be the newest.

Pure: times are handed in, from a clock that counts suspension.

Without this bound a host that has lost its way to the store would go on
letting in callers whose keys were taken away. A proof is the *start* of a read
that found nothing newer: a key that was taken away before it would have been
seen. Past the bound a keyed request is refused, before anything of it runs.
"""

from dataclasses import dataclass

MARGIN_S = 1.0
"""Left between the last use of a key and the bound: a request is sent on within
it after the check, and clocks of two hosts run apart by far less."""


@dataclass
class DocumentFreshness:
    """When the document in force was last proved to be the newest.

    Parameters
    ----------
    bound_s : float
        Seconds after which a key that was taken away may not be used.
    proved : float
        Start of the read, by this host's clock.
    """

    max_age_s: float
    confirmed_at: float = float("-inf")

    def confirm(self, at: float) -> None:
        """Take in a proof; an older one changes nothing."""
        self.confirmed_at = max(self.confirmed_at, at)

    def age_s(self, now: float) -> float:
        """Return the seconds since the document was proved."""
        return now - self.confirmed_at

    def is_fresh(self, now: float) -> bool:
        """Return whether keys may be believed now."""
        return self.age_s(now) <= self.max_age_s - MARGIN_S
