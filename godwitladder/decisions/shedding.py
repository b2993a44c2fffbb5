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
`backlog.MARGIN` : a request is started while its predicted length, and this factor of
    it, fits before its deadline.
REFUSE_EVERY_S : looking through the whole queue costs as much as the rest of
    a run; ten times a second is soon enough to tell a caller.
LEAST_LEFT : early refusal lets the work ahead exceed what fits by this
    factor, as some of it ends sooner or goes away.
SPILL_AFTER_S : wait that makes it worth asking another zone; two round trips
    of demand and grant take less.
SPILL_MOST : offers a run makes; more would move a whole queue at once and
    bring it back the same way.
"""

import heapq
from collections.abc import Iterable

from godwitladder.decisions.backlog import Backlog, Group
from godwitladder.decisions.backoff import retry_after_s
from godwitladder.decisions.fairness import TierQueue
from godwitladder.decisions.types import (
    PoolView,
    QueueEntry,
    ShedDecision,
    ShedReason,
)
from godwitladder.ids import RequestId, ServiceName

REFUSE_EVERY_S = 0.1
LEAST_LEFT = 0.05
SPILL_AFTER_S = 0.5
SPILL_MOST = 64


def was_feasible(entry: QueueEntry) -> bool:
    """Return whether an idle pool could have served it in time."""
    return entry.waiting.arrived <= entry.latest_start


def is_refusal_scan_due(pool: PoolView, now: float) -> bool:
    """Return whether the queue is to be looked through again, and note it."""
    if now - pool.state.last_refusal_check < REFUSE_EVERY_S:
        return False
    pool.state.last_refusal_check = now
    return True


def refuse_early(backlog: Backlog, pool: PoolView, now: float) -> list[QueueEntry]:
    """Take out and return what can't start in time, of the lowest tier.

    When all of that tier is gone the next one is looked at, and so on up.
    """
    if not is_refusal_scan_due(pool, now):
        return []
    refused: list[QueueEntry] = []
    lowest_elsewhere = max(pool.floors.values(), default=-1)
    for precedence in reversed(backlog.precedences()):
        if precedence.rank < lowest_elsewhere:
            break
        groups = backlog.at(precedence)
        for group in groups:
            refused += refuse_late(group, backlog, pool, now)
        if any(group.entries for group in groups):
            break
    return refused


def refuse_late(
    group: Group, backlog: Backlog, pool: PoolView, now: float
) -> list[QueueEntry]:
    """Take out and return the requests of ``group`` that can't start in time."""
    slots = left_for(group, pool)
    if not slots:
        return []
    ahead_s = backlog.work_s(group.service, group.precedence) - group.work_s
    if now + (ahead_s + group.work_s) / slots <= group.earliest_safe_start:
        return []
    queue = TierQueue(group.entries, pool.workspaces, pool.state.spent, now)
    first = group.precedence == backlog.precedences()[0]
    kept, late = project(queue, ahead_s, slots, now, first)
    if pool.floors:
        fresh = [e for e in late if now - e.waiting.arrived < SPILL_AFTER_S]
        kept += fresh
        late = [e for e in late if now - e.waiting.arrived >= SPILL_AFTER_S]
    group.retain(kept)
    return late


def left_for(group: Group, pool: PoolView) -> float:
    """Return the slots that higher tiers leave to ``group``, as of late.

    They will go on coming: counted only as what waits, a low tier looks as
    if it had the whole pool as soon as the last of them has started.
    """
    slots = group.capacity.slots
    return max(slots * LEAST_LEFT, slots - pool.state.slots_before(group.precedence))


def project(
    queue: TierQueue, ahead_s: float, slots: float, now: float, first: bool
) -> tuple[list[QueueEntry], list[QueueEntry]]:
    """Split requests into those that can start in time and those that can't.

    Parameters
    ----------
    ahead_s : float
        Slot seconds of the tiers before them.
    slots : float
        Slots that the work is spread over.
    first : bool
        Whether no more important tier waits. Such a request is given up only
        when half of its kind would be late: nothing better can use its slot.
        With the safe time it was refused while slots came free.
    """
    kept: list[QueueEntry] = []
    late: list[QueueEntry] = []
    for entry in queue.ordered():
        if now + ahead_s / slots <= (entry.latest_start if first else entry.safe_start):
            kept.append(entry)
            ahead_s += entry.slot_s
        else:
            late.append(entry)
    return kept, late


def shed_below_rank(
    backlog: Backlog, rank: int, services: Iterable[ServiceName]
) -> list[QueueEntry]:
    """Take out and return what waits below ``rank`` for targets of ``services``."""
    given_up: list[QueueEntry] = []
    rivals = find_rivals(backlog, services)
    for group in backlog.groups.values():
        if group.precedence.rank > rank and group.service in rivals:
            given_up += group.entries
            group.retain([])
    return given_up


def find_rivals(backlog: Backlog, services: Iterable[ServiceName]) -> set[ServiceName]:
    """Return all services that share a target with any of ``services``."""
    capacity = backlog.capacity
    targets = {
        room.view.name for name in services for room in capacity.of(name).targets
    }
    return {
        name
        for name, part in capacity.services.items()
        if any(room.view.name in targets for room in part.targets)
    }


def select_spill(backlog: Backlog) -> list[RequestId]:
    """Return the requests that another zone should be asked for."""
    offered: list[RequestId] = []
    for precedence in backlog.precedences():
        late: list[QueueEntry] = []
        for group in backlog.at(precedence):
            if backlog.wait_s(group.service, precedence) > SPILL_AFTER_S:
                late += group.entries
        room = SPILL_MOST - len(offered)
        soonest = heapq.nsmallest(room, late, key=lambda entry: entry.latest_start)
        offered += [entry.waiting.demand.request for entry in soonest]
    return offered


def make_shed_decision(
    entry: QueueEntry, reason: ShedReason, backlog_s: float
) -> ShedDecision:
    """Return the refusal of ``entry``."""
    line = entry.waiting.demand
    wait = retry_after_s(backlog_s, line.request, line.prior_refusals)
    return ShedDecision(line.request, reason, wait)
