"""Sorts the waiting requests by precedence and service, with the work in each.

Load pattern: a thousand requests wait and a slot is free every few
milliseconds. A run that sorted all of them for that slot would hold the
scheduler longer than the slot lasts. So a run looks at each row once, with
what it worked out for it the last time, and keeps sums; only the few that a
free slot is for are put in order.

Thresholds
----------
MARGIN : a request is started while its likely length, and this factor of it,
    fits before its deadline: longer ones than predicted end in time too.
SAFE_LEAST_S : one that could end in time only if it is short is as safe as
    it will ever be when it arrives; it counts as safe for so long.
"""

from dataclasses import dataclass, field

from godwitladder.decisions.capacity import PoolCapacity, ServiceCapacity
from godwitladder.decisions.precedence import Precedence, Timeliness
from godwitladder.decisions.sizes import CallSizes
from godwitladder.decisions.types import QueueEntry, TokenTimes, WaitingRequest
from godwitladder.ids import ServiceName

MARGIN = 1.25
SAFE_LEAST_S = 1.0


@dataclass(slots=True)
class Group:
    """The waiting requests of one precedence and service.

    Attributes
    ----------
    work_s : float
        Slot seconds of all of them.
    soonest : float
        None of them has to start before this time.
    """

    precedence: Precedence
    service: ServiceName
    capacity: ServiceCapacity
    entries: list[QueueEntry] = field(default_factory=list)
    work_s: float = 0.0
    earliest_safe_start: float = float("inf")

    def retain(self, entries: list[QueueEntry]) -> None:
        """Replace the requests by ``entries``, which are some of them."""
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
        Which requests are large; None where size makes no difference.

    Attributes
    ----------
    expired : list of Entry
        Those that can no longer start in time.
    """

    def __init__(self, capacity: PoolCapacity, sizes: CallSizes | None = None) -> None:
        self.capacity = capacity
        self.sizes = sizes
        self.groups: dict[tuple[Precedence, ServiceName], Group] = {}
        self.expired: list[QueueEntry] = []

    def sort(self, rows: list[WaitingRequest], now: float) -> list[QueueEntry]:
        """Take ``rows`` in; return the new ones."""
        paces: dict[ServiceName, TokenTimes] = {}
        fresh = []
        for row in rows:
            service = row.demand.service
            pace = paces.get(service)
            if pace is None:
                pace = paces[service] = self.capacity.of(service).pace
            entry = row.entry
            if entry is None or entry.pace != pace:
                entry = row.entry = self.make_entry(row, pace)
                if not row.counted:
                    row.counted = True
                    fresh.append(entry)
            if entry.latest_start < now:
                self.expired.append(entry)
            else:
                self._add(entry, now)
        return fresh

    def make_entry(self, row: WaitingRequest, pace: TokenTimes) -> QueueEntry:
        """Return ``row`` with what it needs on the fastest target."""
        entry = make_entry(row, pace)
        if self.sizes is not None:
            rank = row.demand.tier_rank
            if not row.counted and not row.is_retry:
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
        """Return the slot seconds for ``service`` at ``precedence`` or before."""
        return sum(
            group.work_s
            for group in self.groups.values()
            if group.service == service and group.precedence <= precedence
        )

    def wait_s(self, service: ServiceName, precedence: Precedence) -> float:
        """Return the seconds until all of that work has started."""
        slots = max(1, self.capacity.of(service).slots)
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


def make_entry(row: WaitingRequest, pace: TokenTimes) -> QueueEntry:
    """Return ``row`` with what it needs on the fastest target."""
    line = row.demand
    prefill_s, decode_s = pace
    likely = line.likely_tokens or line.predicted_tokens or 1
    slot_s = line.prompt_tokens * prefill_s + likely * decode_s
    latest = safe = row.deadline - slot_s * MARGIN
    if line.predicted_tokens > likely:
        most_s = slot_s + (line.predicted_tokens - likely) * decode_s
        safe = max(row.deadline - most_s * MARGIN, row.arrived + SAFE_LEAST_S)
        safe = min(safe, latest)
    in_time = Timeliness.IN_TIME
    late = Timeliness.RETRIED if row.is_retry else Timeliness.LATE
    if not row.within_quota:
        in_time = late = Timeliness.OVER_QUOTA
    return QueueEntry(
        row,
        slot_s,
        min(latest, row.start_by),
        min(safe, row.start_by),
        Precedence(in_time, line.tier_rank),
        Precedence(late, line.tier_rank),
        pace,
        row.ttft_deadline - line.prompt_tokens * prefill_s,
    )
