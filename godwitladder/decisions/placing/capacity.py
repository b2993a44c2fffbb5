"""Free slots and memory of a pool during one run of the allocator.

Load patterns: targets of different speeds, and long requests among short ones.
Without accounting within the run, every request of a burst would go to the target
that looked least loaded at the start of the run. Without a bound on long requests,
a few full reviews would hold every slot for a minute, and every one-line question
behind them would miss its deadline.

Thresholds
----------
MEMORY_SHARE : the part of a target's memory that may be reserved; the rest is for
    streams that grow beyond a 90th-percentile prediction.
LONG_FACTOR : a request is long if it holds a slot eight times as long as a typical
    one: short questions and full reviews differ by a factor of tens.
LONG_SHARE : long requests together take at most a quarter of the slots. A bound of
    a half or more would hardly ever apply.
AFFINITY_SLACK : the target that holds a prefix is preferred while its load is at
    most a quarter of its slots above the pool's: a cache hit saves one prefill,
    and queueing costs more than that.
FAR_FACTOR : a target in another availability zone has to finish this much sooner,
    because traffic between zones is charged for.
LOG_STEP : step of the logarithm in `quantize`.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from godwitladder.decisions.types import PoolView, RequestDemand, TargetView, TokenTimes
from godwitladder.ids import Release, ServiceName, TargetName

MEMORY_SHARE = 0.9
LONG_FACTOR = 8.0
LONG_SHARE = 0.25
AFFINITY_SLACK = 0.25
FAR_FACTOR = 1.5
LOG_STEP = 0.05
ZERO_TOKEN_TIMES = TokenTimes(0.0, 0.0)


def is_long(slot_s: float, typical_s: float) -> bool:
    """Return whether a request that holds a slot for ``slot_s`` is long."""
    return typical_s > 0 and slot_s > LONG_FACTOR * typical_s


def quantize(seconds: float) -> float:
    """Return ``seconds`` rounded on a logarithmic scale, in steps of 5 %.

    Learned speeds change a little with each completion; values computed from the
    rounded times stay valid between runs.
    """
    return math.exp(round(math.log(seconds) / LOG_STEP) * LOG_STEP)


@dataclass
class TargetCapacity:
    """Remaining capacity of one target.

    Attributes
    ----------
    tokens : float
        Memory tokens that may still be reserved.
    long_used : int
        Long requests among ``used``.
    prefill_s, decode_s : float
        Seconds for a prompt token, and for an output token.
    held : bool
        Whether it is kept free for a request of a higher tier that waits for
        memory.
    pending_prefill_tokens, pending_prefill_requests : int
        As in `TargetView`, with the placements of this run.
    available_requests : float
        Requests that it may still get in this run within its rate limit.
    sustained_slots : float
        Slots that can be kept busy: its limit, or less if the rate limit allows only
        so many requests of typical duration.
    """

    view: TargetView
    used: int
    tokens: float
    long_used: int
    prefill_s: float
    decode_s: float
    held: bool = False
    pending_prefill_tokens: int = 0
    pending_prefill_requests: int = 0
    available_requests: float = math.inf
    sustained_slots: float = 0.0

    @property
    def load(self) -> float:
        """Part of the limit that is in use."""
        return self.used / self.view.limit

    def has_slot(self) -> bool:
        """Return whether a request may be placed here as far as slots and rate go."""
        return (
            not self.held
            and self.used < self.view.limit
            and self.available_requests >= 1
        )

    def fits(self, tokens: int) -> bool:
        """Return whether there is a slot and memory for a request of ``tokens``.

        A request larger than the whole memory goes to an empty target; it would wait
        forever otherwise.
        """
        if not self.has_slot():
            return False
        if (
            self.pending_prefill_tokens * self.prefill_s
            > self.view.max_pending_prefill_s
        ):
            return False
        return not self.view.memory_tokens or tokens <= self.tokens or self.used == 0

    def seconds(self, demand: RequestDemand) -> float:
        """Return the seconds for which a request is likely to hold a slot here."""
        output = max(1, demand.likely_tokens or demand.predicted_tokens)
        return demand.prompt_tokens * self.prefill_s + output * self.decode_s

    def first_s(self, demand: RequestDemand) -> float:
        """Return the seconds until the first output, after the pending prefill."""
        return self.prefill_backlog_s() + self.idle_first_s(demand)

    def idle_first_s(self, demand: RequestDemand) -> float:
        """Return the seconds until the first output without pending prefill."""
        return self.view.first_s + demand.prompt_tokens * self.view.read_s

    def prefill_backlog_s(self) -> float:
        """Return the seconds that the pending prefill takes."""
        fixed_s = self.pending_prefill_requests * self.view.first_s
        return fixed_s + self.pending_prefill_tokens * self.view.read_s

    def allowed_stall_s(self, demand: RequestDemand) -> float:
        """Return the seconds for which a prefill may stall other streams here.

        This is the longest allowed pause less the usual time between two events.
        """
        if not demand.gap_s:
            return math.inf
        return demand.gap_s - demand.event_tokens * self.decode_s

    def meets_latency(self, demand: RequestDemand, ttft_budget_s: float) -> bool:
        """Return whether the first output is in time and no stream stalls too long."""
        first_s = self.first_s(demand)
        if first_s > ttft_budget_s:
            return False
        return not self.used or first_s <= self.allowed_stall_s(demand)

    def could_meet_latency(self, demand: RequestDemand, ttft_budget_s: float) -> bool:
        """Return whether both would hold without pending prefill.

        A rate limit may admit no request in time. If such a target counted, requests
        would wait for it while others could still serve them late.
        """
        idle_first_s = self.idle_first_s(demand)
        first_s = self.view.next_request_s + idle_first_s
        return first_s <= ttft_budget_s and idle_first_s <= self.allowed_stall_s(demand)

    def take(self, tokens: int, long: bool, prompt: int = 0) -> None:
        """Account for a request that is placed here."""
        self.used += 1
        self.available_requests -= 1
        self.tokens -= tokens
        self.long_used += long
        self.pending_prefill_tokens += prompt
        self.pending_prefill_requests += 1


@dataclass
class ServiceCapacity:
    """The targets of one service.

    Attributes
    ----------
    token_times : TokenTimes
        Those of the fastest target, quantized. Zero without any target, so that
        requests wait for one to return instead of expiring early.
    slots : float
        Sum of the slots that the targets can keep busy.
    """

    targets: list[TargetCapacity] = field(default_factory=list)
    token_times: TokenTimes = ZERO_TOKEN_TIMES
    slots: float = 0

    def add(self, target: TargetCapacity) -> None:
        """Add one target."""
        token_times = TokenTimes(quantize(target.prefill_s), quantize(target.decode_s))
        if self.targets:
            token_times = TokenTimes(*map(min, token_times, self.token_times))
        self.token_times = token_times
        self.targets.append(target)
        self.slots += target.sustained_slots

    def has_free(self) -> bool:
        """Return whether a target that is not held has a slot and accepts prompts."""
        return any(
            target.has_slot()
            and target.pending_prefill_tokens * target.prefill_s
            <= target.view.max_pending_prefill_s
            for target in self.targets
        )

    def next_request_s(self) -> float:
        """Return the seconds until the rate limits admit a request; 0 if now."""
        return min((target.view.next_request_s for target in self.targets), default=0.0)

    def cooldown_ends(self, cooldowns: Mapping[TargetName, float], now: float) -> float:
        """Return when the first cooldown of the targets for a host ends.

        Parameters
        ----------
        cooldowns : mapping
            End of each cooldown of a target for the host.
        now : float
            Current time, in seconds.
        """
        # This runs for each waiting request, and most hosts have no cooldowns.
        if not cooldowns:
            return now
        ends = (
            max(now, cooldowns.get(target.view.name, now)) for target in self.targets
        )
        return min(ends, default=now)

    def admits_long(self) -> bool:
        """Return whether one more long request stays within the bound."""
        long_used = sum(target.long_used for target in self.targets)
        return long_used + 1 <= max(1.0, self.slots * LONG_SHARE)

    def choose(
        self,
        demand: RequestDemand,
        budget_s: float,
        excluded: Collection[TargetName] = (),
        ttft_budget_s: float | None = None,
        spared: Collection[TargetName] = (),
    ) -> TargetCapacity | None:
        """Return the target likely to finish ``demand`` first, of those in time.

        Targets in other availability zones are rated slower, and one that holds the
        prefix is rated faster while its load allows it. A target that refuses the
        requests of some host is the last choice: it would probably refuse this one
        too, and a request that may be sent once would be lost.

        Parameters
        ----------
        demand : RequestDemand
            What the request needs.
        budget_s : float
            Seconds to the deadline.
        excluded : collection of TargetName
            Targets to which the request's host can't connect, or must not send for
            now. They are left out before the choice: otherwise every run would
            choose the same one, and the request would get nothing until its
            deadline.
        ttft_budget_s : float or None
            Seconds left for the first output; infinite if it is late already. While
            any target, even a busy one, could meet the latency bounds without pending
            prefill, only targets that meet them now are chosen. None to ignore them.

        spared : collection of TargetName
            Targets that others need, which are the last choice too.

        Returns
        -------
        TargetCapacity or None
            None if no target fits, or none finishes in time.
        """
        enforce_latency = ttft_budget_s is not None and any(
            target.view.name not in excluded
            and target.could_meet_latency(demand, ttft_budget_s)
            for target in self.targets
        )
        tokens = demand.prompt_tokens + demand.predicted_tokens
        best = None
        best_score = True, math.inf
        bound = self._affinity_bound() if demand.prefix else 0.0
        for target in self.targets:
            if target.view.name in excluded or not target.fits(tokens):
                continue
            if enforce_latency and not target.meets_latency(demand, ttft_budget_s):
                continue
            seconds = target.seconds(demand)
            if seconds > budget_s:
                continue
            score = (
                seconds * (1.0 + target.load)
                + target.pending_prefill_tokens * target.prefill_s
            )
            if (
                demand.availability_zone
                and target.view.availability_zone != demand.availability_zone
            ):
                score *= FAR_FACTOR
            if (
                demand.prefix
                and demand.prefix in target.view.prefixes
                and target.load <= bound
            ):
                score -= seconds
            rating = target.view.refuses or target.view.name in spared, score
            if rating < best_score:
                best, best_score = target, rating
        return best

    def names_of(self, release: Release, others: bool = False) -> set[TargetName]:
        """Return the targets of a software version, or those of all others."""
        return {
            target.view.name
            for target in self.targets
            if (target.view.release == release) != others
        }

    def lacks_memory(self, demand: RequestDemand) -> bool:
        """Return whether a target has a free slot but can't fit ``demand``."""
        tokens = demand.prompt_tokens + demand.predicted_tokens
        return any(
            target.has_slot() and not target.fits(tokens) for target in self.targets
        )

    def hold_most_free(self) -> None:
        """Hold the target with the most free memory for a higher tier.

        Otherwise small requests of lower tiers would take each piece of memory as it
        is freed, and the large request of the higher tier would wait until its
        deadline.
        """
        free = [target for target in self.targets if not target.held]
        if free:
            max(free, key=lambda target: target.tokens).held = True

    def _affinity_bound(self) -> float:
        used = sum(target.used for target in self.targets)
        return used / max(1, self.slots) + AFFINITY_SLACK


class PoolCapacity:
    """Remaining capacity of a pool, by service."""

    def __init__(self, pool: PoolView) -> None:
        self.services: dict[ServiceName, ServiceCapacity] = {}
        self.targets: list[TargetCapacity] = []
        for view in pool.targets.values():
            if view.limit > 0:
                self._add(
                    make_target_capacity(
                        view,
                        pool.state.count_long_requests(view.name),
                        pool.state.typical_s,
                    )
                )

    def of(self, service: ServiceName) -> ServiceCapacity:
        """Return the capacity for ``service``; an empty one if no target serves it."""
        return self.services.get(service) or ServiceCapacity()

    def free_services(self) -> set[ServiceName]:
        """Return the services with a free slot."""
        return {name for name, part in self.services.items() if part.has_free()}

    def _add(self, target: TargetCapacity) -> None:
        self.targets.append(target)
        for service in target.view.services:
            self.services.setdefault(service, ServiceCapacity()).add(target)


def make_target_capacity(
    view: TargetView, long_used: int, typical_s: float = 0.0
) -> TargetCapacity:
    """Return the remaining capacity of ``view``.

    Parameters
    ----------
    long_used : int
        Long requests that it runs.
    typical_s : float
        Seconds for which a typical request holds a slot; 0 if unknown.
    """
    return TargetCapacity(
        view=view,
        used=view.used,
        tokens=view.memory_tokens * MEMORY_SHARE - view.reserved_tokens,
        long_used=long_used,
        pending_prefill_tokens=view.pending_prefill_tokens,
        pending_prefill_requests=view.pending_prefill_requests,
        prefill_s=1.0 / max(view.prefill_tps, 1e-9),
        decode_s=1.0 / max(view.decode_tps, 1e-9),
        available_requests=view.available_requests,
        sustained_slots=sustained_slots(view, typical_s),
    )


def sustained_slots(view: TargetView, typical_s: float) -> float:
    """Return the slots that requests of ``typical_s`` can keep busy."""
    if math.isinf(view.requests_per_s) or typical_s <= 0:
        return view.limit
    return min(view.limit, view.requests_per_s * typical_s)
