"""Groups the waiting requests by precedence and service, and sums their work.

Load pattern: a thousand requests wait, and a slot becomes free every few
milliseconds. A run that sorted all of them for that slot would block the scheduler
for longer than the interval between slots. So a run visits each request once, with
the values cached from earlier runs, and keeps sums; only the few requests that
compete for a free slot are sorted.

Thresholds
----------
DURATION_MARGIN : a request is started while its likely duration, times this
    factor, fits before its deadline, so that ones longer than predicted end in
    time too.
MIN_SAFE_S : a request that could end in time only if it is short is never safer
    than on arrival; it counts as safe for this many seconds.
"""

from dataclasses import dataclass, field

from godwitladder.decisions.placing.capacity import PoolCapacity, ServiceCapacity
from godwitladder.decisions.placing.precedence import Precedence, Timeliness
from godwitladder.decisions.prompts.sizes import CallSizes
from godwitladder.decisions.types import QueueEntry, TokenTimes, WaitingRequest
from godwitladder.ids import ServiceName

DURATION_MARGIN = 1.25
MIN_SAFE_S = 1.0


@dataclass(slots=True)
class Group:
    """The waiting requests of one precedence and service.

    Attributes
    ----------
    work_s : float
        Sum of their slot seconds.
    earliest_safe_start : float
        Earliest of their ``safe_start`` times.
    """

    precedence: Precedence
    service: ServiceName
    capacity: ServiceCapacity
    entries: list[QueueEntry] = field(default_factory=list)
    work_s: float = 0.0
    earliest_safe_start: float = float("inf")

    def retain(self, entries: list[QueueEntry]) -> None:
        """Replace the requests by ``entries``, a subset of them."""
        self.entries = entries
        self.work_s = sum(entry.slot_s for entry in entries)
        self.earliest_safe_start = min(
            (entry.safe_start for entry in entries), default=float("inf")
        )


class Backlog:
    """All waiting requests of a pool.

    Parameters
    ----------
    sizes : CallSizes or None
        Classifies requests by size; None where size makes no difference.

    Attributes
    ----------
    expired : list of QueueEntry
        Requests that can no longer start in time.
    """

    def __init__(self, capacity: PoolCapacity, sizes: CallSizes | None = None) -> None:
        self.capacity = capacity
        self.sizes = sizes
        self.groups: dict[tuple[Precedence, ServiceName], Group] = {}
        self.expired: list[QueueEntry] = []

    def sort(self, requests: list[WaitingRequest], now: float) -> list[QueueEntry]:
        """Group ``requests``, and return those seen for the first time."""
        token_times_by_service: dict[ServiceName, TokenTimes] = {}
        new = []
        for waiting in requests:
            service = waiting.demand.service
            token_times = token_times_by_service.get(service)
            if token_times is None:
                token_times = token_times_by_service[service] = self.capacity.of(
                    service
                ).token_times
            entry = waiting.entry
            if entry is None or entry.token_times != token_times:
                entry = waiting.entry = self.make_entry(waiting, token_times)
                if not waiting.counted:
                    waiting.counted = True
                    new.append(entry)
            if entry.latest_start < now:
                self.expired.append(entry)
            else:
                self._add(entry, now)
        return new

    def make_entry(
        self, waiting: WaitingRequest, token_times: TokenTimes
    ) -> QueueEntry:
        """Return the entry for ``waiting``, with its size where that counts."""
        entry = make_entry(waiting, token_times)
        if self.sizes is not None:
            rank = waiting.demand.tier_rank
            if not waiting.counted and not waiting.is_retry:
                self.sizes.observe(rank, entry.slot_s)
            size = self.sizes.size(rank, entry.slot_s)
            entry.precedence = entry.precedence._replace(size=size)
        return entry

    def precedences(self) -> list[Precedence]:
        """Return the precedences that wait, the first to be served first."""
        return sorted(
            {group.precedence for group in self.groups.values() if group.entries}
        )

    def at(self, precedence: Precedence) -> list[Group]:
        """Return the groups of one precedence."""
        return [
            group for group in self.groups.values() if group.precedence == precedence
        ]

    def work_s(self, service: ServiceName, precedence: Precedence) -> float:
        """Return the slot seconds of ``service`` at ``precedence`` or before it."""
        return sum(
            group.work_s
            for group in self.groups.values()
            if group.service == service and group.precedence <= precedence
        )

    def wait_s(self, service: ServiceName, precedence: Precedence) -> float:
        """Return the seconds until all of that work has started."""
        slots = self.capacity.of(service).slots or 1
        return self.work_s(service, precedence) / slots

    def _add(self, entry: QueueEntry, now: float) -> None:
        service, precedence = entry.waiting.demand.service, entry.precedence_at(now)
        group = self.groups.get((precedence, service))
        if group is None:
            part = self.capacity.of(service)
            group = Group(precedence, service, part)
            self.groups[precedence, service] = group
        group.entries.append(entry)
        group.work_s += entry.slot_s
        if entry.safe_start < group.earliest_safe_start:
            group.earliest_safe_start = entry.safe_start


def make_entry(waiting: WaitingRequest, token_times: TokenTimes) -> QueueEntry:
    """Return the entry for ``waiting``.

    Its duration is that on a target with ``token_times``.

    A request that continues a stream counts as in time until its deadline. Its first
    output is not a new one, and all that its caller has read would be of no use.
    """
    demand = waiting.demand
    prefill_s, decode_s = token_times
    likely = demand.likely_tokens or demand.predicted_tokens or 1
    slot_s = demand.prompt_tokens * prefill_s + likely * decode_s
    latest_start = safe_start = waiting.deadline - slot_s * DURATION_MARGIN
    if demand.predicted_tokens > likely:
        longest_s = slot_s + (demand.predicted_tokens - likely) * decode_s
        safe_start = max(
            waiting.deadline - longest_s * DURATION_MARGIN, waiting.arrived + MIN_SAFE_S
        )
        safe_start = min(safe_start, latest_start)
    in_time = Timeliness.IN_TIME
    late = Timeliness.RETRIED if waiting.is_retry else Timeliness.LATE
    if not waiting.within_quota:
        in_time = late = Timeliness.OVER_QUOTA
    ttft_latest_start = waiting.ttft_deadline - demand.prompt_tokens * prefill_s
    if demand.continues_stream:
        ttft_latest_start = max(ttft_latest_start, latest_start)
    return QueueEntry(
        waiting,
        slot_s,
        min(latest_start, waiting.start_by),
        min(safe_start, waiting.start_by),
        Precedence(in_time, demand.tier_rank),
        Precedence(late, demand.tier_rank),
        token_times,
        ttft_latest_start,
    )
