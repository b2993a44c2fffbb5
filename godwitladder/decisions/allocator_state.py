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
TYPICAL_GAIN : the usual length is an average over about fifty requests.
"""

import heapq
import math
from dataclasses import dataclass, field

from godwitladder.decisions.admission import AdmissionController
from godwitladder.decisions.entitlement import Entitlements
from godwitladder.decisions.precedence import Precedence
from godwitladder.decisions.returning_callers import RefusedCallers
from godwitladder.decisions.sizes import CallSizes
from godwitladder.ids import TargetName, WorkspaceName

FLOW_HALF_LIFE_S = 10.0
SPENT_HALF_LIFE_S = 20.0
TYPICAL_GAIN = 0.02
FORGOTTEN_S = 0.01
FLOW_S = 2.0
CALM_S = 0.5


@dataclass
class AllocatorState:
    """Soft state of one pool's allocator; all amounts fade with time.

    Attributes
    ----------
    given : dict
        Slot seconds lately given to each precedence.
    spent : dict
        Slot seconds lately given to each workspace.
    typical_s : float
        Decayed geometric mean of the slot seconds of a placed request; 0
        before one. A few long requests would move the arithmetic mean up to
        where they no longer count as long.
    long_ends : dict
        For each target, when its long requests are expected to end: a heap.
    last_refusal_check : float
        When the queue was last looked through for early refusals.
    flow : float
        Slot seconds started in each second while more waited; 0 while nothing
        did.
    contended, contended_since : float
        When more waited than could start, last and first without a calm.
    offered, served : dict
        Requests that lately came, and that were placed in time, by precedence.
    started : dict
        Slot seconds that each precedence started, fading over `FLOW_S`.
    sizes : CallSizes
        Which requests of a rank are large.
    callers : RefusedCallers
        Who was refused lately.
    entitlements : Entitlements
        What workspaces have left of their quotas as requests come.
    admission : Admission
        Which part of the calls hosts ask for.
    """

    given: dict[Precedence, float] = field(default_factory=dict)
    spent: dict[WorkspaceName, float] = field(default_factory=dict)
    typical_s: float = 0.0
    long_ends: dict[TargetName, list[float]] = field(default_factory=dict)
    last_refusal_check: float = float("-inf")
    faded: float = 0.0
    throughput: float = 0.0
    flow_at: float = float("-inf")
    contended: float = 0.0
    contended_since: float = 0.0
    offered: dict[Precedence, float] = field(default_factory=dict)
    served: dict[Precedence, float] = field(default_factory=dict)
    started: dict[Precedence, float] = field(default_factory=dict)
    sizes: CallSizes = field(default_factory=CallSizes)
    callers: RefusedCallers = field(default_factory=RefusedCallers)
    entitlements: Entitlements = field(default_factory=Entitlements)
    admission: AdmissionController = field(default_factory=AdmissionController)

    def decay(self, now: float) -> None:
        """Let everything fade up to ``now``."""
        elapsed_s = max(0.0, now - self.faded)
        self.faded = now
        factor = 0.5 ** (elapsed_s / FLOW_HALF_LIFE_S)
        for counts in (self.given, self.offered, self.served):
            for precedence in counts:
                counts[precedence] *= factor
        factor = math.exp(-elapsed_s / FLOW_S)
        for precedence in self.started:
            self.started[precedence] *= factor
        factor = 0.5 ** (elapsed_s / SPENT_HALF_LIFE_S)
        for name, seconds in list(self.spent.items()):
            if seconds < FORGOTTEN_S:
                del self.spent[name]
            else:
                self.spent[name] = seconds * factor
        for ends in self.long_ends.values():
            while ends and ends[0] <= now:
                heapq.heappop(ends)

    def record_placement(
        self, precedence: Precedence, workspace: WorkspaceName, slot_s: float
    ) -> None:
        """A request was placed."""
        self.given[precedence] = self.given.get(precedence, 0.0) + slot_s
        self.started[precedence] = self.started.get(precedence, 0.0) + slot_s
        self.served[precedence] = self.served.get(precedence, 0.0) + 1.0
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

    def record_throughput(
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

    def share(self, precedence: Precedence) -> float:
        """Return which part of a precedence's requests was lately placed in time."""
        offered = self.offered.get(precedence, 0.0)
        if offered <= 0:
            return 1.0
        return min(1.0, self.served.get(precedence, 0.0) / offered)

    def slots_before(self, precedence: Precedence) -> float:
        """Return the slots that the precedences before ``precedence`` keep busy."""
        given = sum(value for other, value in self.given.items() if other < precedence)
        return given * math.log(2) / FLOW_HALF_LIFE_S

    def rate(self, precedence: Precedence) -> float:
        """Return the slot seconds that ``precedence`` started in each second."""
        return self.started.get(precedence, 0.0) / FLOW_S

    def rate_before(self, precedence: Precedence) -> float:
        """Return likewise for all precedences before ``precedence``."""
        rows = self.started.items()
        return sum(value for other, value in rows if other < precedence) / FLOW_S
