"""Limits the share of requests that hosts send to an overloaded allocator.

Load pattern: a flood of several times the capacity of the targets, through
hundreds of small hosts. Each request that will be refused is reported to the
allocator, considered in each of its runs, shed, and reported back, so it costs
most of what a served request costs. The allocator falls behind, and slots stay
free while callers are refused.

To choose among requests, an allocator must see more of them than it has slots
for, but not all that arrive. If it sheds requests of a workspace, hosts ask
for such a share of that workspace's requests that the allocator sees about
twice as many as are served. They refuse the rest at once, as these would have
been refused anyway. The share is kept for each service and workspace, since
otherwise a workspace that floods its targets would have the requests of all
others refused with its own.

An allocator that keeps up sees all requests and chooses best among all, so
shares are reduced only while its information is old. A share is updated a few
times a second and changes by a bounded factor, so that a single irregular
interval can't refuse all of a workspace's requests. It grows back to 1 while
nothing is shed.

Thresholds
----------
MAX_STALENESS_S : age of the allocator's information above which shares are
    reduced. With an allocator that keeps up it is a few hundredths of a second.
CANDIDATES_PER_SERVED : requests to choose from for each one that is served.
UPDATE_INTERVAL_S : long enough to see several requests of a busy workspace.
MIN_SHARE : lower bound of a share, which bounds how many requests are refused
    unseen, however few are served.
MAX_STEP : largest factor by which one update changes a share, up or down.
MIN_SAMPLE : with fewer requests in an interval the share stays as it is, since
    so few say nothing.
"""

from collections import Counter
from dataclasses import dataclass, field

from godwitladder.ids import ServiceName, WorkspaceName

MAX_STALENESS_S = 0.1
CANDIDATES_PER_SERVED = 2.0
UPDATE_INTERVAL_S = 0.25
MIN_SHARE = 0.2
MAX_STEP = 2.0
MIN_SAMPLE = 4

Flow = tuple[ServiceName, WorkspaceName]


@dataclass(frozen=True)
class AdmissionShare:
    """Share of a workspace's requests for one service that hosts ask for.

    Attributes
    ----------
    share : float
        From 0 to 1.
    backlog_s : float
        Seconds until the current backlog will have started; a refused caller
        is told to retry after about that time.
    """

    service: ServiceName
    workspace: WorkspaceName
    share: float
    backlog_s: float


@dataclass
class AdmissionController:
    """Computes the shares from what an allocator received, served and shed.

    Attributes
    ----------
    requested, served, shed : Counter
        Requests since the last update, by service and workspace.
    shares : dict
        Shares below 1, by service and workspace.
    updated_at : float
        Time of the last update, in seconds.
    """

    requested: Counter[Flow] = field(default_factory=Counter)
    served: Counter[Flow] = field(default_factory=Counter)
    shed: Counter[Flow] = field(default_factory=Counter)
    shares: dict[Flow, float] = field(default_factory=dict)
    updated_at: float = float("-inf")

    def update(self, now: float, staleness_s: float) -> None:
        """Update the shares, unless the last update was a moment ago.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        staleness_s : float
            Age of the allocator's information, in seconds.
        """
        if now - self.updated_at < UPDATE_INTERVAL_S:
            return
        self.updated_at = now
        for flow in set(self.shares) | set(self.shed):
            share = self.next_share(flow, staleness_s > MAX_STALENESS_S)
            if share < 1.0:
                self.shares[flow] = share
            else:
                self.shares.pop(flow, None)
        for counts in (self.requested, self.served, self.shed):
            counts.clear()

    def next_share(self, flow: Flow, is_stale: bool) -> float:
        """Return the new share of ``flow``, which may exceed 1.

        Parameters
        ----------
        flow : tuple
            Service and workspace.
        is_stale : bool
            Whether the allocator's information is too old.
        """
        previous = self.shares.get(flow, 1.0)
        if not is_stale or not self.shed[flow]:
            return previous * MAX_STEP
        if self.requested[flow] < MIN_SAMPLE:
            return previous
        factor = CANDIDATES_PER_SERVED * self.served[flow] / self.requested[flow]
        factor = min(max(factor, 1.0 / MAX_STEP), MAX_STEP)
        return max(previous * factor, MIN_SHARE)
