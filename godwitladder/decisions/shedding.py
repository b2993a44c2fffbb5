"""Decides who is given up: the lowest tier first, and early.

Load pattern: saturation. Without early refusal every request waits until its
deadline and is told nothing meanwhile; those that start last are cut off in
the middle and their prefill is wasted. Without an order, a retry of a low
tier is kept while a high tier's request runs out of time.

A request is *kept* while it waits at any allocator within reach and needs a
target that the one given up could have used. A running request isn't: the
engine has no priorities, stopping it would waste its prefill, and it was
dispatched, so it could never be sent again. `docs/notes/shedding.md` weighs
this. Three rules follow:

- Refused early are only requests of the lowest tier that waits anywhere
  within reach, when the work before them leaves no start in time.
- When one of a higher tier runs out of time all the same, whatever lower
  tier still waits for the same targets is given up with it, here and, through
  `Allocation.shed_rank`, at the other allocators.
- A request that could not have been in time on an idle pool is refused at
  once and is no shed: no order of shedding would have saved it.

Thresholds
----------
MARGIN : a request is started while its predicted length, and this factor of
    it, fits before its deadline. Measured (saturation).
REFUSE_FACTOR : early refusal lets the work ahead exceed what fits by this
    factor, as some of it ends sooner or goes away. Measured (saturation).
SPILL_AFTER_S : wait that makes it worth asking another zone; two round trips
    of demand and grant take less.
SPILL_MOST : offers a run makes; more would move a whole queue at once and
    bring it back the same way.
"""

import heapq
from collections.abc import Iterable, Mapping

from godwitladder.decisions.backoff import retry_after_s
from godwitladder.decisions.capacity import Capacity
from godwitladder.decisions.fairness import Entry, TierQueue
from godwitladder.decisions.types import (
    GivenUp,
    PoolView,
    ShedReason,
    Waiting,
    WorkspaceView,
)
from godwitladder.ids import RequestId, ServiceName, WorkspaceName

MARGIN = 1.25
REFUSE_FACTOR = 1.0
SPILL_AFTER_S = 0.5
SPILL_MOST = 64

Tiers = dict[int, list[Entry]]


def make_entry(row: Waiting, capacity: Capacity) -> Entry:
    """Return ``row`` with what it needs on the fastest target."""
    slot_s = capacity.of(row.line.service).slot_s(row.line)
    return Entry(row, slot_s, row.deadline - slot_s * MARGIN)


def was_possible(entry: Entry) -> bool:
    """Return whether an idle pool could have served it in time."""
    return entry.row.arrived <= entry.latest


def refuse_early(
    tiers: Tiers, pool: PoolView, capacity: Capacity, now: float
) -> list[Entry]:
    """Take out and return what can't start in time, of the lowest tier.

    When all of that tier is gone the next one is looked at, and so on up.
    """
    refused: list[Entry] = []
    lowest_elsewhere = max(pool.floors.values(), default=-1)
    for rank in sorted(tiers, reverse=True):
        if rank < lowest_elsewhere or not tiers[rank]:
            continue
        ahead = work_ahead(tiers, rank)
        kept, given_up = project(
            tiers[rank], ahead, pool.workspaces, capacity, now, bool(pool.floors)
        )
        tiers[rank] = kept
        refused += given_up
        if kept:
            break
    return refused


def project(
    entries: list[Entry],
    ahead: dict[ServiceName, float],
    workspaces: Mapping[WorkspaceName, WorkspaceView],
    capacity: Capacity,
    now: float,
    spill_first: bool = False,
) -> tuple[list[Entry], list[Entry]]:
    """Split one tier into what can start in time and what can't.

    Parameters
    ----------
    ahead : dict
        Slot seconds of the tiers before it, by service; grows by the work
        that is kept.
    spill_first : bool
        Keep what has not yet waited for an answer from another zone.
    """
    if fits_wholly(entries, ahead, capacity, now):
        return entries, []
    kept: list[Entry] = []
    given_up: list[Entry] = []
    queue = TierQueue(entries, workspaces)
    while entry := queue.pop():
        service = entry.row.line.service
        slots = capacity.of(service).slots * REFUSE_FACTOR
        before = ahead.get(service, 0.0)
        in_time = slots and now + before / slots <= entry.latest
        fresh = spill_first and now - entry.row.arrived < SPILL_AFTER_S
        if in_time or fresh:
            kept.append(entry)
            ahead[service] = before + entry.slot_s
        else:
            given_up.append(entry)
    return kept, given_up


def fits_wholly(
    entries: list[Entry],
    ahead: Mapping[ServiceName, float],
    capacity: Capacity,
    now: float,
) -> bool:
    """Return whether even the last of the tier starts before any is too late."""
    work = dict(ahead)
    soonest: dict[ServiceName, float] = {}
    for entry in entries:
        service = entry.row.line.service
        work[service] = work.get(service, 0.0) + entry.slot_s
        if entry.latest < soonest.get(service, float("inf")):
            soonest[service] = entry.latest
    return all(
        now + work[service] <= now + (latest - now) * capacity.of(service).slots
        for service, latest in soonest.items()
    )


def work_ahead(tiers: Tiers, rank: int) -> dict[ServiceName, float]:
    """Return the slot seconds that wait at tiers before ``rank``, by service."""
    ahead: dict[ServiceName, float] = {}
    for other, entries in tiers.items():
        if other < rank:
            for entry in entries:
                service = entry.row.line.service
                ahead[service] = ahead.get(service, 0.0) + entry.slot_s
    return ahead


def give_up_below(
    tiers: Tiers, rank: int, services: Iterable[ServiceName], capacity: Capacity
) -> list[Entry]:
    """Take out and return what waits below ``rank`` for targets of ``services``."""
    targets = {room.view.name for name in services for room in capacity.of(name).rooms}
    rivals = {
        name
        for name, part in capacity.services.items()
        if any(room.view.name in targets for room in part.rooms)
    }
    given_up = []
    for other in [other for other in tiers if other > rank]:
        given_up += [e for e in tiers[other] if e.row.line.service in rivals]
        tiers[other] = [e for e in tiers[other] if e.row.line.service not in rivals]
    return given_up


def offer_elsewhere(tiers: Tiers, capacity: Capacity) -> list[RequestId]:
    """Return the requests that another zone should be asked for."""
    offered: list[RequestId] = []
    ahead: dict[ServiceName, float] = {}
    for rank in sorted(tiers):
        late = []
        for entry in tiers[rank]:
            service = entry.row.line.service
            ahead[service] = ahead.get(service, 0.0) + entry.slot_s
        for entry in tiers[rank]:
            slots = capacity.of(entry.row.line.service).slots
            if ahead[entry.row.line.service] > SPILL_AFTER_S * slots:
                late.append(entry)
        late = heapq.nsmallest(
            SPILL_MOST - len(offered), late, key=lambda entry: entry.latest
        )
        offered += [entry.row.line.request for entry in late]
        if len(offered) >= SPILL_MOST:
            break
    return offered


def give_up(entry: Entry, reason: ShedReason, backlog_s: float) -> GivenUp:
    """Return the refusal of ``entry``."""
    line = entry.row.line
    wait = retry_after_s(backlog_s, line.request, line.repeats)
    return GivenUp(line.request, reason, wait)
