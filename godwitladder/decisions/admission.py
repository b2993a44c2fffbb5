"""Tells hosts which part of the calls that come to ask an allocator for.

Load pattern: a flood of several times what targets do, through hundreds of small
hosts. Each call that is going to be refused is told to the allocator, weighed in
each of its runs, shed, and told back: so it costs most of what a served call
costs, the allocator falls behind, and places stand empty beside refused callers.

An allocator needs to see more calls than it has places for, to choose among them,
but not all that come. Of a workspace of whose calls it sheds some, hosts ask for
such a part of those that come that about twice as many are seen as are served.
The rest are refused by their host, at once and truly. By workspace, since one that
floods its targets would otherwise have the calls of all others refused with its own.

An allocator that keeps up sees all that come, and chooses best from all: parts are
taken only while what it hears is old. A part is worked out anew some times a second
and moves by a bounded factor, so that one odd moment closes nothing, and it is whole
again as soon as nothing is shed.

Thresholds
----------
BEHIND_S : news of an allocator that keeps up are some hundredths of a second old.
CANDIDATES : calls to choose from for each that is served.
LOOK_S : long enough to see some calls of a busy workspace.
MIN_SHARE : what is refused unseen stays bounded, however low the service is.
STEP : a share at most halves or doubles in one look.
FEW : with fewer calls nothing can be told.
"""

from collections import Counter
from dataclasses import dataclass, field

from godwitladder.ids import ServiceName, WorkspaceName

BEHIND_S = 0.1
CANDIDATES = 2.0
LOOK_S = 0.25
MIN_SHARE = 0.2
STEP = 2.0
FEW = 4

Flow = tuple[ServiceName, WorkspaceName]


@dataclass(frozen=True)
class AdmissionShare:
    """The part of a workspace's calls that hosts ask for.

    Attributes
    ----------
    backlog_s : float
        Seconds after which it is worth to come back.
    """

    service: ServiceName
    workspace: WorkspaceName
    share: float
    backlog_s: float


@dataclass
class AdmissionController:
    """Works the parts out from what an allocator saw, served and shed.

    Attributes
    ----------
    asked, served, shed : Counter
        Calls since the last look, by service and workspace.
    shares : dict
        Parts that are less than the whole.
    """

    requested: Counter[Flow] = field(default_factory=Counter)
    served: Counter[Flow] = field(default_factory=Counter)
    shed: Counter[Flow] = field(default_factory=Counter)
    shares: dict[Flow, float] = field(default_factory=dict)
    looked: float = float("-inf")

    def update(self, now: float, behind_s: float) -> None:
        """Work the parts out anew if it is time to.

        Parameters
        ----------
        behind_s : float
            Age of what the allocator hears.
        """
        if now - self.looked < LOOK_S:
            return
        self.looked = now
        for flow in set(self.shares) | set(self.shed):
            share = self.next_share(flow, behind_s > BEHIND_S)
            if share < 1.0:
                self.shares[flow] = share
            else:
                self.shares.pop(flow, None)
        for counts in (self.requested, self.served, self.shed):
            counts.clear()

    def next_share(self, flow: Flow, behind: bool) -> float:
        """Return the next part for ``flow``; ``behind`` if the allocator is."""
        before = self.shares.get(flow, 1.0)
        if not behind or not self.shed[flow]:
            return before * STEP
        if self.requested[flow] < FEW:
            return before
        factor = CANDIDATES * self.served[flow] / self.requested[flow]
        factor = min(max(factor, 1.0 / STEP), STEP)
        return max(before * factor, MIN_SHARE)
