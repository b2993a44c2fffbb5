"""Free slots and memory of a pool during one run of the allocator.

Load patterns: unlike targets, and long requests among short ones. Without an
account that is kept within the run, every request of a burst goes to the
target that looked least loaded at its start. Without a bound on long
requests, a few full reviews hold every slot for a minute and each one-line
question behind them misses its deadline.

Thresholds
----------
MEMORY_SHARE : what may be reserved of a target's memory; the rest takes in
    streams that outlive a 90-in-100 prediction.
LONG_FACTOR : a request is long when it holds a slot eight times as long as a
    usual one: short questions and full reviews are tens of times apart.
LONG_SHARE : long requests together take at most a quarter of the slots. From
    a half upwards they would hardly ever reach the bound.
AFFINITY_SLACK : the holder of a prefix is preferred while its load is at most
    a quarter of its slots above the pool's: a hit saves a prefill, a queue
    costs more than that.
FAR_FACTOR : a target in another availability zone has to be this much sooner:
    bytes between zones are paid for.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from godwitladder.decisions.types import PoolView, RequestDemand, TargetView, TokenTimes
from godwitladder.ids import ServiceName, TargetName

MEMORY_SHARE = 0.9
LONG_FACTOR = 8.0
LONG_SHARE = 0.25
AFFINITY_SLACK = 0.25
FAR_FACTOR = 1.5
PACE_STEP = 0.05
NO_PACE = TokenTimes(0.0, 0.0)


def is_long(slot_s: float, typical_s: float) -> bool:
    """Return whether a request that holds a slot for ``slot_s`` is long."""
    return typical_s > 0 and slot_s > LONG_FACTOR * typical_s


def in_steps(seconds: float) -> float:
    """Return ``seconds`` rounded to steps of a twentieth.

    Learned speeds change a little with each completion; in steps, what was
    worked out from them stays valid from run to run.
    """
    return math.exp(round(math.log(seconds) / PACE_STEP) * PACE_STEP)


@dataclass
class TargetCapacity:
    """What is left of one target.

    Attributes
    ----------
    prefill_s, decode_s : float
        Seconds for a prompt and an output token.
    held : bool
        Kept for a request of a higher tier that waits for its memory.
    """

    view: TargetView
    used: int
    tokens: float
    long_used: int
    prefill_s: float
    decode_s: float
    held: bool = False
    unread: int = 0
    unread_requests: int = 0

    @property
    def load(self) -> float:
        """Share of the limit in use."""
        return self.used / self.view.limit

    def fits(self, tokens: int) -> bool:
        """Return whether a request of ``tokens`` finds a slot and memory.

        One that is larger than the whole memory goes to an empty target: it
        would otherwise wait for ever.
        """
        if self.held or self.used >= self.view.limit:
            return False
        if self.unread * self.prefill_s > self.view.max_pending_prefill_s:
            return False
        return not self.view.memory_tokens or tokens <= self.tokens or self.used == 0

    def seconds(self, line: RequestDemand) -> float:
        """Return how long a request is likely to hold a slot here."""
        output = max(1, line.likely_tokens or line.predicted_tokens)
        return line.prompt_tokens * self.prefill_s + output * self.decode_s

    def first_s(self, line: RequestDemand) -> float:
        """Return the seconds to the first output, behind what it is reading."""
        return self.stall_s() + self.alone_s(line)

    def alone_s(self, line: RequestDemand) -> float:
        """Return the seconds to the first output with nothing else to read."""
        return self.view.first_s + line.prompt_tokens * self.view.read_s

    def stall_s(self) -> float:
        """Return the seconds for which it takes in what it was sent so far."""
        fixed_s = self.unread_requests * self.view.first_s
        return fixed_s + self.unread * self.view.read_s

    def pause_left_s(self, line: RequestDemand) -> float:
        """Return how long streams here may stand still beside their usual pace."""
        if not line.gap_s:
            return math.inf
        return line.gap_s - line.event_tokens * self.decode_s

    def meets_latency(self, line: RequestDemand, aim_s: float) -> bool:
        """Return whether ``line`` is in time here and delays no stream too much."""
        first_s = self.first_s(line)
        if first_s > aim_s:
            return False
        return not self.used or first_s <= self.pause_left_s(line)

    def could_keep_pace(self, line: RequestDemand, aim_s: float) -> bool:
        """Return whether it would with nothing else to read."""
        alone_s = self.alone_s(line)
        return alone_s <= aim_s and alone_s <= self.pause_left_s(line)

    def take(self, tokens: int, long: bool, prompt: int = 0) -> None:
        """Account for a request that is placed here."""
        self.used += 1
        self.tokens -= tokens
        self.long_used += long
        self.unread += prompt
        self.unread_requests += 1


@dataclass
class ServiceCapacity:
    """The targets of one service.

    Attributes
    ----------
    pace : Pace
        The fastest target's, in steps of a twentieth; nothing takes any
        time without targets, so that a request waits for one to come back.
    slots : int
        Limits of all targets together.
    """

    targets: list[TargetCapacity] = field(default_factory=list)
    pace: TokenTimes = NO_PACE
    slots: int = 0

    def add(self, room: TargetCapacity) -> None:
        """Add one target."""
        pace = TokenTimes(in_steps(room.prefill_s), in_steps(room.decode_s))
        if self.targets:
            pace = TokenTimes(*map(min, pace, self.pace))
        self.pace = pace
        self.targets.append(room)
        self.slots += room.view.limit

    def has_free(self) -> bool:
        """Return whether any target has a free slot that is not held."""
        return any(
            not room.held
            and room.used < room.view.limit
            and room.unread * room.prefill_s <= room.view.max_pending_prefill_s
            for room in self.targets
        )

    def takes_long(self) -> bool:
        """Return whether one more long request stays within the bound."""
        long_used = sum(room.long_used for room in self.targets)
        return long_used + 1 <= max(1.0, self.slots * LONG_SHARE)

    def choose(
        self,
        line: RequestDemand,
        budget_s: float,
        avoided: Collection[TargetName] = (),
        aim_s: float | None = None,
    ) -> TargetCapacity | None:
        """Return the target where ``line`` ends first, of those in time.

        Parameters
        ----------
        budget_s : float
            Seconds to the deadline.
        avoided : collection of TargetName
            Targets that the request's host can't connect to. Left out here
            and not after the choice: a request would be given the same one
            in each run, and get nothing until its deadline.
        aim_s : float or None
            Seconds left for its first output; infinite where that is late
            already. Targets that keep pace are chosen while there are any,
            busy ones included. None for no such choice.
        """
        paced = aim_s is not None and any(
            room.could_keep_pace(line, aim_s) for room in self.targets
        )
        tokens = line.prompt_tokens + line.predicted_tokens
        best = None
        best_score = float("inf")
        bound = self._affinity_bound() if line.prefix else 0.0
        for room in self.targets:
            if room.view.name in avoided or not room.fits(tokens):
                continue
            if paced and not room.meets_latency(line, aim_s):
                continue
            seconds = room.seconds(line)
            if seconds > budget_s:
                continue
            score = seconds * (1.0 + room.load) + room.unread * room.prefill_s
            if (
                line.availability_zone
                and room.view.availability_zone != line.availability_zone
            ):
                score *= FAR_FACTOR
            if line.prefix and line.prefix in room.view.prefixes and room.load <= bound:
                score -= seconds
            if score < best_score:
                best, best_score = room, score
        return best

    def lacks_memory(self, line: RequestDemand) -> bool:
        """Return whether a slot is free that has no memory for ``line``."""
        tokens = line.prompt_tokens + line.predicted_tokens
        return any(
            not room.held and room.used < room.view.limit and not room.fits(tokens)
            for room in self.targets
        )

    def hold_roomiest(self) -> None:
        """Keep the target with the most free memory for a higher tier.

        Small requests of lower tiers would otherwise take each piece of
        memory as it is freed, and the large one of the higher tier would
        wait until its deadline.
        """
        free = [room for room in self.targets if not room.held]
        if free:
            max(free, key=lambda room: room.tokens).held = True

    def _affinity_bound(self) -> float:
        used = sum(room.used for room in self.targets)
        return used / max(1, self.slots) + AFFINITY_SLACK


class PoolCapacity:
    """What is left of a pool, by service."""

    def __init__(self, pool: PoolView) -> None:
        self.services: dict[ServiceName, ServiceCapacity] = {}
        self.targets: list[TargetCapacity] = []
        for view in pool.targets.values():
            if view.limit > 0:
                self._add(make_room(view, pool.state.long_on(view.name)))

    def of(self, service: ServiceName) -> ServiceCapacity:
        """Return the capacity for ``service``; an empty one if nothing serves it."""
        return self.services.get(service) or ServiceCapacity()

    def free_services(self) -> set[ServiceName]:
        """Return the services that have a free slot."""
        return {name for name, part in self.services.items() if part.has_free()}

    def _add(self, room: TargetCapacity) -> None:
        self.targets.append(room)
        for service in room.view.services:
            self.services.setdefault(service, ServiceCapacity()).add(room)


def make_room(view: TargetView, long_used: int) -> TargetCapacity:
    """Return the room that ``view`` has left."""
    return TargetCapacity(
        view=view,
        used=view.used,
        tokens=view.memory_tokens * MEMORY_SHARE - view.reserved_tokens,
        long_used=long_used,
        unread=view.pending_prefill_tokens,
        unread_requests=view.pending_prefill_requests,
        prefill_s=1.0 / max(view.prefill_tps, 1e-9),
        decode_s=1.0 / max(view.decode_tps, 1e-9),
    )
