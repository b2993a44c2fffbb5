"""Limits how many requests a host retries on a second target.

Load pattern: many targets fail at once. If each failed request were sent again,
the remaining targets would get the load of the failed ones in addition, and
fail too, so that the failure of a few targets spreads to all. So retries are
limited to a share of the requests, plus a slack that all hosts divide evenly.

Pure: times are passed in.

Thresholds
----------
USED_SHARE : share of its budget that a host uses. The limit holds for all hosts
    together, and hosts that join or leave make the shares of the others wrong
    for some seconds.
"""

from collections import deque
from dataclasses import dataclass, field

USED_SHARE = 0.7


@dataclass(frozen=True)
class RetryLimits:
    """Retries that all hosts together may make of one service's requests.

    Attributes
    ----------
    ratio : float
        Retries as a fraction of the requests of a window.
    slack : float
        Further retries in a window, shared by all hosts.
    window_s : float
        Length of the window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 100.0
    window_s: float = 10.0


@dataclass
class RequestTimes:
    """Times of the recent requests and retries of one service, oldest first."""

    requests: deque[float] = field(default_factory=deque)
    retries: deque[float] = field(default_factory=deque)


class RetryBudget:
    """Retry budget of one host, by service.

    Parameters
    ----------
    bounds : RetryLimits
        Limits for all hosts together.
    """

    def __init__(self, bounds: RetryLimits) -> None:
        self.bounds = bounds
        self.services: dict[str, RequestTimes] = {}

    def record_request(self, service: str, now: float) -> None:
        """Record a request of a caller."""
        recent = self.services.setdefault(service, RequestTimes())
        recent.requests.append(now)
        self.prune(recent, now)

    def take(self, service: str, hosts: int, now: float) -> bool:
        """Return whether one more retry is within the budget, and if so count it.

        Parameters
        ----------
        service : str
            Service of the request.
        hosts : int
            Number of hosts that share the slack.
        now : float
            Current time, in seconds.
        """
        recent = self.services.setdefault(service, RequestTimes())
        self.prune(recent, now)
        bounds = self.bounds
        allowed = bounds.ratio * len(recent.requests) + bounds.slack / max(1, hosts)
        if len(recent.retries) + 1 > allowed * USED_SHARE:
            return False
        recent.retries.append(now)
        return True

    def prune(self, recent: RequestTimes, now: float) -> None:
        """Remove times from before the window."""
        start = now - self.bounds.window_s
        for times in (recent.requests, recent.retries):
            while times and times[0] < start:
                times.popleft()
