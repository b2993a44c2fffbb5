"""State that an allocator keeps between runs.

Load pattern: each run sees only the requests that wait now. Without state, a low
tier appears to have the whole pool as soon as the last requests of a higher tier
have started, a workspace that took everything a second ago looks like a new one, and
it is unknown which of the running requests are long.

All of it is soft state: a new allocator starts without any and is accurate again
within a minute. Keep one object for each pool and pass it in as `PoolView.state`.

Thresholds
----------
PRECEDENCE_HALF_LIFE_S : bursts shorter than this hardly count in the load of a
    precedence.
SPENT_HALF_LIFE_S : several times the duration of a typical request, so that a
    burst is compensated over the next minute, and a workspace that was idle for an
    hour gains no claim on the pool.
THROUGHPUT_WINDOW_S : throughput is averaged over two seconds of contention: short
    compared with a burst, long compared with a single slot.
IDLE_RESET_S : contention after half a second without any counts as new.
TYPICAL_GAIN : the typical duration is averaged over about fifty requests.
MIN_SPENT_S : a workspace below this many slot seconds is forgotten.
"""

import heapq
import math
from dataclasses import dataclass, field

from godwitladder.decisions.placing.precedence import Precedence
from godwitladder.decisions.prompts.sizes import CallSizes
from godwitladder.decisions.waiting.admission import AdmissionController
from godwitladder.decisions.waiting.entitlement import Entitlements
from godwitladder.decisions.waiting.returning_callers import RefusedCallers
from godwitladder.ids import TargetName, WorkspaceName

PRECEDENCE_HALF_LIFE_S = 10.0
SPENT_HALF_LIFE_S = 20.0
TYPICAL_GAIN = 0.02
MIN_SPENT_S = 0.01
THROUGHPUT_WINDOW_S = 2.0
IDLE_RESET_S = 0.5


@dataclass
class AllocatorState:
    """Soft state of one pool's allocator; all amounts decay with time.

    Attributes
    ----------
    given : dict
        Slot seconds recently placed, by precedence.
    spent : dict
        Slot seconds recently placed, by workspace.
    typical_s : float
        Decaying geometric mean of the slot seconds of a placed request; 0 before
        the first. With an arithmetic mean, a few long requests would raise it until
        they no longer counted as long.
    long_ends : dict
        For each target, a heap of the expected end times of its long requests.
    last_refusal_check : float
        When the queue was last checked for requests to refuse early.
    decayed_at : float
        Time up to which the amounts have decayed.
    throughput, throughput_at : float
        Slot seconds started per second while more was waiting, and the time of its
        last update; the throughput is 0 without contention.
    contended_at, contended_since : float
        Last time at which more was waiting than could start, and the first time
        since the last pause of `IDLE_RESET_S`.
    offered, served : dict
        Requests that recently arrived, and that were recently placed in time, by
        precedence.
    started : dict
        Slot seconds started, by precedence; decays over `THROUGHPUT_WINDOW_S`.
    sizes : CallSizes
        Classifies the requests of a rank by size.
    callers : RefusedCallers
        Recently refused callers.
    entitlements : Entitlements
        What workspaces have left of their quotas as requests arrive.
    admission : AdmissionController
        Which part of the calls hosts ask an allocator for.
    """

    given: dict[Precedence, float] = field(default_factory=dict)
    spent: dict[WorkspaceName, float] = field(default_factory=dict)
    typical_s: float = 0.0
    long_ends: dict[TargetName, list[float]] = field(default_factory=dict)
    last_refusal_check: float = float("-inf")
    decayed_at: float = 0.0
    throughput: float = 0.0
    throughput_at: float = float("-inf")
    contended_at: float = 0.0
    contended_since: float = 0.0
    offered: dict[Precedence, float] = field(default_factory=dict)
    served: dict[Precedence, float] = field(default_factory=dict)
    started: dict[Precedence, float] = field(default_factory=dict)
    sizes: CallSizes = field(default_factory=CallSizes)
    callers: RefusedCallers = field(default_factory=RefusedCallers)
    entitlements: Entitlements = field(default_factory=Entitlements)
    admission: AdmissionController = field(default_factory=AdmissionController)

    def decay(self, now: float) -> None:
        """Decay all amounts up to ``now``."""
        elapsed_s = max(0.0, now - self.decayed_at)
        self.decayed_at = now
        factor = 0.5 ** (elapsed_s / PRECEDENCE_HALF_LIFE_S)
        for counts in (self.given, self.offered, self.served):
            for precedence in counts:
                counts[precedence] *= factor
        factor = math.exp(-elapsed_s / THROUGHPUT_WINDOW_S)
        for precedence in self.started:
            self.started[precedence] *= factor
        factor = 0.5 ** (elapsed_s / SPENT_HALF_LIFE_S)
        for name, seconds in list(self.spent.items()):
            if seconds < MIN_SPENT_S:
                del self.spent[name]
            else:
                self.spent[name] = seconds * factor
        for ends in self.long_ends.values():
            while ends and ends[0] <= now:
                heapq.heappop(ends)

    def record_placement(
        self, precedence: Precedence, workspace: WorkspaceName, slot_s: float
    ) -> None:
        """Record the placement of a request."""
        self.given[precedence] = self.given.get(precedence, 0.0) + slot_s
        self.started[precedence] = self.started.get(precedence, 0.0) + slot_s
        self.served[precedence] = self.served.get(precedence, 0.0) + 1.0
        self.spent[workspace] = self.spent.get(workspace, 0.0) + slot_s
        if slot_s > 0:
            before = self.typical_s or slot_s
            self.typical_s = before * (slot_s / before) ** TYPICAL_GAIN

    def record_long_request(self, target: TargetName, end: float) -> None:
        """Record a placed long request that is expected to end at ``end``."""
        heapq.heappush(self.long_ends.setdefault(target, []), end)

    def count_long_requests(self, target: TargetName) -> int:
        """Return the number of long requests presumed to run on ``target``."""
        return len(self.long_ends.get(target, ()))

    def record_throughput(
        self, placed_s: float, contended: bool, slots: float, now: float
    ) -> None:
        """Record a run that placed ``placed_s`` slot seconds."""
        if not contended:
            self.throughput = 0.0
            return
        if self.throughput == 0.0:
            self.throughput, self.throughput_at = slots, now
            if now - self.contended_at > IDLE_RESET_S:
                self.contended_since = now
            self.contended_at = now
            return
        self.contended_at = now
        elapsed_s = now - self.throughput_at
        self.throughput_at = now
        kept = math.exp(-elapsed_s / THROUGHPUT_WINDOW_S)
        self.throughput = self.throughput * kept + placed_s / THROUGHPUT_WINDOW_S

    def contended_s(self) -> float:
        """Return for how many seconds more has been waiting than could start."""
        return self.contended_at - self.contended_since

    def share(self, precedence: Precedence) -> float:
        """Return the part of a precedence's recent requests that was placed in time."""
        offered = self.offered.get(precedence, 0.0)
        if offered <= 0:
            return 1.0
        return min(1.0, self.served.get(precedence, 0.0) / offered)

    def slots_before(self, precedence: Precedence) -> float:
        """Return the slots kept busy by precedences before ``precedence``."""
        given = sum(value for other, value in self.given.items() if other < precedence)
        return given * math.log(2) / PRECEDENCE_HALF_LIFE_S

    def rate(self, precedence: Precedence) -> float:
        """Return the slot seconds per second that ``precedence`` started."""
        return self.started.get(precedence, 0.0) / THROUGHPUT_WINDOW_S

    def rate_before(self, precedence: Precedence) -> float:
        """Return the slot seconds per second started before ``precedence``."""
        rows = self.started.items()
        return (
            sum(value for other, value in rows if other < precedence)
            / THROUGHPUT_WINDOW_S
        )
