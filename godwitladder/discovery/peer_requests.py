"""Decides when a host asks a peer for its full state of the store.

A host that starts asks at short intervals until a peer has answered. One whose links
come later has read the store meanwhile, which may have come back from a copy. All news
name the version that is in force at their sender, so such a host learns from the next
news whether it lacks a document, and asks one peer only then, or if no news come. An
answer contains whole documents: if each link led to a request, the answers would fill
the links of a fleet that starts.
"""

from godwitladder.logs import component_logger

log = component_logger("feed")

REQUEST_INTERVAL_S = 0.25
"""Interval between the requests of a host that has no state yet. An answer can contain
a whole document, which occupies a slow host's link while it is sent."""
LATE_INTERVAL_S = 2.5
"""Least interval before the first request of a host that has read the store itself, and
time for which it waits for news on its first link. A reader sends news every 0.6 s."""
MAX_LATE_INTERVAL_S = 40.0
"""Bound of that interval, which doubles with each request."""
NO_VERSION = -1


class PeerRequests:
    """The requests of one host. Times are in seconds of the host's clock.

    Attributes
    ----------
    is_linked : bool
        Whether the latest request to any peer could be sent.
    is_heard : bool
        Whether a peer has sent its full state.
    named_version : int
        Highest version that a peer named in news that this host could apply.
    linked_at : float or None
        Time of the first link; None before.
    requested_at : float
        Time of the latest request.
    late_interval_s : float
        Time to wait after it, once this host has read the store itself.
    """

    def __init__(self) -> None:
        self.is_linked = False
        self.is_heard = False
        self.named_version = NO_VERSION
        self.linked_at: float | None = None
        self.requested_at = float("-inf")
        self.late_interval_s = LATE_INTERVAL_S

    def record_link(self, now: float) -> None:
        """Record that a link is up."""
        if self.linked_at is None:
            self.linked_at = now

    def record_news(self, version: int) -> None:
        """Record the version that is in force at the sender of applied news."""
        self.named_version = max(self.named_version, version)

    def record_request(self, now: float, is_new: bool, version: int) -> None:
        """Record that a request was sent; the parameters are those of `is_due`."""
        self.requested_at = now
        if is_new:
            return
        self.late_interval_s = min(2 * self.late_interval_s, MAX_LATE_INTERVAL_S)
        extra = {"version": version, "named_version": self.named_version}
        log.info("A peer is asked by a host that has read the store", extra=extra)

    def is_due(self, now: float, is_new: bool, version: int) -> bool:
        """Return whether to send a request now.

        Parameters
        ----------
        is_new : bool
            Whether this host has just started and waits for a peer's state.
        version : int
            Version of the document in force here.
        """
        if is_new:
            return now - self.requested_at >= REQUEST_INTERVAL_S
        if now - self.requested_at < self.late_interval_s:
            return False
        return self.named_version > version or self.is_uninformed(now)

    def is_uninformed(self, now: float) -> bool:
        """Return whether no peer has told its version, though one had time to."""
        if self.is_heard or self.named_version > NO_VERSION or self.linked_at is None:
            return False
        return now - self.linked_at >= LATE_INTERVAL_S
