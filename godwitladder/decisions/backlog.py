"""Sorts the waiting requests by tier and service, with the work in each.

Load pattern: a thousand requests wait and a slot is free every few
milliseconds. A run that sorted all of them for that slot would hold the
scheduler longer than the slot lasts. So a run looks at each row once, with
what it worked out for it the last time, and keeps sums; only the few that a
free slot is for are put in order.

Thresholds
----------
MARGIN : a request is started while its likely length, and this factor of it,
    fits before its deadline. Measured, `docs/MEASUREMENTS.md` (margin).
LATE_RANKS : a request that can't be in time any more yields to those of the
    next two tiers that still can, and shares its place with the one after. Without
    that, a burst leaves each tier in a queue as long as its deadlines, and all
    of it late: the letters of the first tier too, once the burst is over.
RETURNED_RANKS : likewise for one whose caller was sent away and came back when
    told to: it goes before those that have become late where they wait. Sent
    away twice, a caller has waited for nothing.
SAFE_LEAST_S : one that could end in time only if it is short is as safe as
    it will ever be when it arrives; it counts as safe for so long.
"""

from dataclasses import dataclass, field

from godwitladder.decisions.capacity import Capacity, ServiceCapacity
from godwitladder.decisions.types import Entry, GroupKey, Pace, Waiting
from godwitladder.ids import ServiceName

MARGIN = 1.25
LATE_RANKS = 3
RETURNED_RANKS = 2
SAFE_LEAST_S = 1.0


@dataclass(slots=True)
class Group:
    """The waiting requests of one tier and service.

    Attributes
    ----------
    work_s : float
        Slot seconds of all of them.
    soonest : float
        None of them has to start before this time.
    """

    rank: int
    service: ServiceName
    part: ServiceCapacity
    pace: Pace
    entries: list[Entry] = field(default_factory=list)
    work_s: float = 0.0
    soonest: float = float("inf")

    def keep(self, entries: list[Entry]) -> None:
        """Replace the requests by ``entries``, which are some of them."""
        self.entries = entries
        self.work_s = sum(entry.slot_s for entry in entries)
        self.soonest = min((entry.safe for entry in entries), default=float("inf"))


class Backlog:
    """All waiting requests of a pool.

    Attributes
    ----------
    expired : list of Entry
        Those that can no longer start in time.
    """

    def __init__(self, capacity: Capacity) -> None:
        self.capacity = capacity
        self.groups: dict[GroupKey, Group] = {}
        self.expired: list[Entry] = []

    def sort(self, rows: list[Waiting], now: float) -> list[int]:
        """Take ``rows`` in; return the ranks of those that are new."""
        groups = self.groups
        fresh = []
        for row in rows:
            entry = row.entry
            key = (row.line.tier_rank, row.line.service)
            if entry:
                key = entry.key if now <= entry.aim else entry.late_key
            group = groups.get(key)
            if group is None:
                group = self._add_group(*key)
            if entry is None:
                fresh.append(row.line.tier_rank)
            if entry is None or entry.pace != group.pace:
                entry = row.entry = weigh(row, group.pace)
                if now > entry.aim:
                    group = groups.get(entry.late_key)
                    if group is None:
                        group = self._add_group(*entry.late_key)
            if entry.latest < now:
                self.expired.append(entry)
                continue
            group.entries.append(entry)
            group.work_s += entry.slot_s
            safe = entry.safe
            if safe < group.soonest:
                group.soonest = safe
        return fresh

    def ranks(self) -> list[int]:
        """Return the ranks that wait, the most important first."""
        return sorted({group.rank for group in self.groups.values() if group.entries})

    def tier(self, rank: int) -> list[Group]:
        """Return the groups of one tier."""
        return [group for group in self.groups.values() if group.rank == rank]

    def work_s(self, service: ServiceName, rank: int) -> float:
        """Return the slot seconds waiting for ``service`` at ``rank`` or before."""
        return sum(
            group.work_s
            for group in self.groups.values()
            if group.service == service and group.rank <= rank
        )

    def wait_s(self, service: ServiceName, rank: int) -> float:
        """Return the seconds until all of that work has started."""
        slots = max(1, self.capacity.of(service).slots)
        return self.work_s(service, rank) / slots

    def _add_group(self, rank: int, service: ServiceName) -> Group:
        part = self.capacity.of(service)
        group = Group(rank, service, part, part.pace)
        self.groups[rank, service] = group
        return group


def weigh(row: Waiting, pace: Pace) -> Entry:
    """Return ``row`` with what it needs on the fastest target."""
    line = row.line
    key: GroupKey = (line.tier_rank, line.service)
    late_ranks = RETURNED_RANKS if row.returned else LATE_RANKS
    late_key: GroupKey = (line.tier_rank + late_ranks, line.service)
    prefill_s, decode_s = pace
    likely = line.likely_tokens or line.predicted_tokens or 1
    slot_s = line.prompt_tokens * prefill_s + likely * decode_s
    latest = safe = row.deadline - slot_s * MARGIN
    if line.predicted_tokens > likely:
        most_s = slot_s + (line.predicted_tokens - likely) * decode_s
        safe = max(row.deadline - most_s * MARGIN, row.arrived + SAFE_LEAST_S)
        safe = min(safe, latest)
    aim = row.aim - line.prompt_tokens * prefill_s
    latest, safe = min(latest, row.start_by), min(safe, row.start_by)
    return Entry(row, slot_s, latest, safe, key, pace, aim, late_key)
