"""What an allocator remembers from one run to the next.

Load pattern: each run sees only what waits now. Without memory, a low tier
looks as if it had the whole pool whenever the last of a higher tier has just
started, a workspace that took everything a second ago counts as new, and
nobody knows which of the running requests are long.

All of it is soft: a new allocator starts with none and is right again within
a minute. Keep one for each pool and hand it in as `PoolView.memory`.

Thresholds
----------
FLOW_HALF_LIFE_S : bursts shorter than this don't count as what a tier takes.
SPENT_HALF_LIFE_S : several times the length of a usual request, so that a
    burst is paid back over the next minute, and a workspace that was quiet
    for an hour has no claim on the pool.
FLOW_S : what a pool really starts is an average over two seconds of
    contention: short against a burst, long against a single slot.
CALM_S : a queue that was empty for half a second is a new one.
SHORT : a tier whose requests take at most a quarter of the time of those before
    it may go first when it lately got too little: it costs them little.
TYPICAL_GAIN : the usual length is an average over about fifty requests.
"""

import heapq
import math
from dataclasses import dataclass, field

from godwitladder.decisions.returns import RefusedCallers
from godwitladder.ids import TargetName, WorkspaceName

FLOW_HALF_LIFE_S = 10.0
SPENT_HALF_LIFE_S = 20.0
TYPICAL_GAIN = 0.02
FORGOTTEN_S = 0.01
FLOW_S = 2.0
CALM_S = 0.5
SHORT = 0.25


@dataclass
class AllocatorMemory:
    """Soft state of one pool's allocator; all amounts fade with time.

    Attributes
    ----------
    given : dict
        Slot seconds lately given to each tier, by rank.
    spent : dict
        Slot seconds lately given to each workspace.
    typical_s : float
        Decayed geometric mean of the slot seconds of a placed request; 0
        before one. A few long requests would move the arithmetic mean up to
        where they no longer count as long.
    long_ends : dict
        For each target, when its long requests are expected to end: a heap.
    refused_at : float
        When the queue was last looked through for early refusals.
    flow : float
        Slot seconds started in each second while more waited; 0 while nothing
        did.
    contended, contended_since : float
        When more waited than could start, last and first without a calm.
    offered, served : dict
        Requests that lately came, and that were placed, by rank.
    callers : RefusedCallers
        Who was refused lately.
    """

    given: dict[int, float] = field(default_factory=dict)
    spent: dict[WorkspaceName, float] = field(default_factory=dict)
    typical_s: float = 0.0
    long_ends: dict[TargetName, list[float]] = field(default_factory=dict)
    refused_at: float = float("-inf")
    faded: float = 0.0
    flow: float = 0.0
    flow_at: float = float("-inf")
    contended: float = 0.0
    contended_since: float = 0.0
    offered: dict[int, float] = field(default_factory=dict)
    served: dict[int, float] = field(default_factory=dict)
    callers: RefusedCallers = field(default_factory=RefusedCallers)

    def fade(self, now: float) -> None:
        """Let everything fade up to ``now``."""
        elapsed_s = max(0.0, now - self.faded)
        self.faded = now
        factor = 0.5 ** (elapsed_s / FLOW_HALF_LIFE_S)
        for rank in self.given:
            self.given[rank] *= factor
        for counts in (self.offered, self.served):
            for rank in counts:
                counts[rank] *= factor
        factor = 0.5 ** (elapsed_s / SPENT_HALF_LIFE_S)
        for name, seconds in list(self.spent.items()):
            if seconds < FORGOTTEN_S:
                del self.spent[name]
            else:
                self.spent[name] = seconds * factor
        for ends in self.long_ends.values():
            while ends and ends[0] <= now:
                heapq.heappop(ends)

    def note(self, rank: int, workspace: WorkspaceName, slot_s: float) -> None:
        """A request was placed."""
        self.given[rank] = self.given.get(rank, 0.0) + slot_s
        self.spent[workspace] = self.spent.get(workspace, 0.0) + slot_s
        if slot_s > 0:
            before = self.typical_s or slot_s
            self.typical_s = before * (slot_s / before) ** TYPICAL_GAIN

    def note_long(self, target: TargetName, end: float) -> None:
        """A long request was placed that is expected to end at ``end``."""
        heapq.heappush(self.long_ends.setdefault(target, []), end)

    def long_on(self, target: TargetName) -> int:
        """Return the long requests that ``target`` is taken to run."""
        return len(self.long_ends.get(target, ()))

    def note_flow(
        self, placed_s: float, contended: bool, slots: float, now: float
    ) -> None:
        """Take in a run that placed ``placed_s`` slot seconds."""
        if not contended:
            self.flow = 0.0
            return
        if self.flow == 0.0:
            self.flow, self.flow_at = slots, now
            if now - self.contended > CALM_S:
                self.contended_since = now
            self.contended = now
            return
        self.contended = now
        elapsed_s = now - self.flow_at
        self.flow_at = now
        kept = math.exp(-elapsed_s / FLOW_S)
        self.flow = self.flow * kept + placed_s / FLOW_S

    def contended_s(self) -> float:
        """Return how long more has waited than could start, without a calm."""
        return self.contended - self.contended_since

    def share(self, rank: int) -> float:
        """Return which part of a tier's requests was lately placed."""
        offered = self.offered.get(rank, 0.0)
        return min(1.0, self.served.get(rank, 0.0) / offered) if offered else 1.0

    def turns(self, ranks: list[int], least: float) -> list[int]:
        """Return ``ranks``, in order but for tiers that lately got too little.

        Parameters
        ----------
        least : float
            Part of the share of the tier before it that a tier is to get.
        """
        order: list[int] = []
        for rank in ranks:
            place = len(order)
            while place and self.goes_before(rank, order[place - 1], least):
                place -= 1
            order.insert(place, rank)
        return order

    def goes_before(self, rank: int, other: int, least: float) -> bool:
        """Return whether ``rank`` got too little beside ``other`` and is short."""
        if self.share(rank) >= least * self.share(other):
            return False
        return self.mean_s(rank) <= SHORT * self.mean_s(other)

    def mean_s(self, rank: int) -> float:
        """Return the slot seconds of a request of ``rank``, as lately placed."""
        served = self.served.get(rank, 0.0)
        return self.given.get(rank, 0.0) / served if served else 0.0

    def slots_before(self, rank: int) -> float:
        """Return the slots that the tiers before ``rank`` keep busy."""
        given = sum(value for other, value in self.given.items() if other < rank)
        return given * math.log(2) / FLOW_HALF_LIFE_S
