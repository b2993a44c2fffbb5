"""Bounds how many requests a host sends to a second target.

Load pattern: targets fail by the dozen. If each failure were sent again, the
targets that are left would get the failed ones' load twice, and fail too: a
fault of a few becomes one of all. So repeats are a share of the requests, and
a slack that all hosts divide among them.

Pure: times are handed in.

Thresholds
----------
KEEP : a host uses this part of what it is entitled to. The bound is on all
    hosts together, and hosts that come or go leave the others' shares wrong
    for some seconds.
"""

from collections import deque
from dataclasses import dataclass, field

KEEP = 0.7


@dataclass(frozen=True)
class RetryLimits:
    """Repeats that all hosts may make of one service's requests.

    Attributes
    ----------
    ratio : float
        Part of the requests of a window.
    slack : float
        Repeats of a window beside that.
    window_s : float
        Length of the window, in seconds.
    """

    ratio: float = 0.2
    slack: float = 100.0
    window_s: float = 10.0


@dataclass
class WorkspaceSpending:
    """Times of the requests and repeats of one service, oldest first."""

    requests: deque[float] = field(default_factory=deque)
    repeats: deque[float] = field(default_factory=deque)


class RetryBudget:
    """One host's part of the repeats, by service.

    Parameters
    ----------
    bounds : RetryLimits
        What all hosts may do together.
    """

    def __init__(self, bounds: RetryLimits) -> None:
        self.bounds = bounds
        self.services: dict[str, WorkspaceSpending] = {}

    def note_request(self, service: str, now: float) -> None:
        """Count a caller's request."""
        spent = self.services.setdefault(service, WorkspaceSpending())
        spent.requests.append(now)
        self.forget(spent, now)

    def take(self, service: str, hosts: int, now: float) -> bool:
        """Return whether one more repeat is within the budget, and count it."""
        spent = self.services.setdefault(service, WorkspaceSpending())
        self.forget(spent, now)
        bounds = self.bounds
        share = bounds.ratio * len(spent.requests) + bounds.slack / max(1, hosts)
        if len(spent.repeats) + 1 > share * KEEP:
            return False
        spent.repeats.append(now)
        return True

    def forget(self, spent: WorkspaceSpending, now: float) -> None:
        """Drop what lies before the window."""
        begin = now - self.bounds.window_s
        for times in (spent.requests, spent.repeats):
            while times and times[0] < begin:
                times.popleft()
