"""Sheds waiting requests that can't start in time, lowest tier first.

Load pattern: saturation. Without early refusal every request waits until its
deadline and gets no answer meanwhile; those that start last are cut off
before they end, and their prefill is wasted. Without an order of shedding,
retries of a low tier stay queued while requests of a high tier miss their
deadlines.

A request counts as *kept* while it waits at any reachable allocator and needs
a target that the shed request could have used. A running request doesn't
count: the engine has no priorities, stopping the request would waste its
prefill, and a request that was dispatched can't be sent again.
`docs/notes/shedding.md` discusses this. Three rules follow:

- Early refusal applies only to the lowest tier that waits at any reachable
  allocator, and only when the work ahead of a request leaves it no start in
  time.
- When a request of a higher tier still misses its deadline, all requests of
  lower tiers that wait for the same targets are shed with it, here and, through
  `Allocation.shed_rank`, at the other allocators.
- A request that could not have met its deadline on an idle pool is refused at
  once and doesn't count as shed: no order of shedding would have saved it.

Thresholds
----------
`backlog.DURATION_MARGIN` : a request is started while its predicted duration,
    multiplied by this factor, fits before its deadline.
REFUSAL_SCAN_INTERVAL_S : a scan of the whole queue costs as much as the rest of
    a run, and ten scans a second are soon enough to answer a caller.
MIN_SLOT_SHARE : least share of a service's slots that early refusal counts as
    available. It lets the work ahead exceed what fits, as some of that work
    ends early or is withdrawn.
SPILL_AFTER_S : expected wait from which another zone is asked for a request; two
    round trips of demand and grant take less.
MAX_SPILL : largest number of requests that one run offers to other zones; more
    would move a whole queue at once and then move it back the same way.
"""

import heapq
from collections.abc import Iterable

from godwitladder.decisions.placing.fairness import TierQueue
from godwitladder.decisions.types import (
    PoolView,
    QueueEntry,
    ShedDecision,
    ShedReason,
)
from godwitladder.decisions.waiting.backlog import Backlog, Group
from godwitladder.decisions.waiting.backoff import retry_after_s
from godwitladder.ids import RequestId, ServiceName

REFUSAL_SCAN_INTERVAL_S = 0.1
MIN_SLOT_SHARE = 0.05
SPILL_AFTER_S = 0.5
MAX_SPILL = 64


def was_feasible(entry: QueueEntry) -> bool:
    """Return whether an idle pool could have met the deadline of ``entry``."""
    return entry.waiting.arrived <= entry.latest_start


def is_refusal_scan_due(pool: PoolView, now: float) -> bool:
    """Return whether a scan of the queue is due, and if so record its time.

    The time is stored in ``pool.state``, so a second call at the same time
    returns False.
    """
    if now - pool.state.last_refusal_check < REFUSAL_SCAN_INTERVAL_S:
        return False
    pool.state.last_refusal_check = now
    return True


def refuse_early(backlog: Backlog, pool: PoolView, now: float) -> list[QueueEntry]:
    """Remove and return requests of the lowest tier that can't start in time.

    When none of that tier are left, the next higher tier is scanned, and so on.
    The scan ends at the first tier that keeps a request, and never goes above
    the lowest tier that waits at another allocator.
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
            refused += refuse_late_in_group(group, backlog, pool, now)
        if any(group.entries for group in groups):
            break
    return refused


def refuse_late_in_group(
    group: Group, backlog: Backlog, pool: PoolView, now: float
) -> list[QueueEntry]:
    """Remove and return the requests of ``group`` that can't start in time.

    While other allocators report what waits there, a request that has waited
    for less than `SPILL_AFTER_S` is kept, late or not.
    """
    slots = available_slots(group, pool)
    if not slots:
        return []
    ahead_s = backlog.work_s(group.service, group.precedence) - group.work_s
    if now + (ahead_s + group.work_s) / slots <= group.earliest_safe_start:
        return []
    queue = TierQueue(group.entries, pool.workspaces, pool.state.spent, now)
    first = group.precedence == backlog.precedences()[0]
    kept, late = split_by_start_time(queue, ahead_s, slots, now, first)
    if pool.floors:
        fresh = [e for e in late if now - e.waiting.arrived < SPILL_AFTER_S]
        kept += fresh
        late = [e for e in late if now - e.waiting.arrived >= SPILL_AFTER_S]
    group.retain(kept)
    return late


def available_slots(group: Group, pool: PoolView) -> float:
    """Return the slots that ``group`` has left after recent use by higher tiers.

    Requests of higher tiers keep arriving. If only those that wait now were
    counted, a low tier would seem to have the whole pool as soon as the last
    of them had started.
    """
    slots = group.capacity.slots
    return max(
        slots * MIN_SLOT_SHARE, slots - pool.state.slots_before(group.precedence)
    )


def split_by_start_time(
    queue: TierQueue, ahead_s: float, slots: float, now: float, first: bool
) -> tuple[list[QueueEntry], list[QueueEntry]]:
    """Split requests into those that can start in time and those that can't.

    Parameters
    ----------
    queue : TierQueue
        The requests, in the order in which they would start.
    ahead_s : float
        Work of the higher tiers, in slot seconds.
    slots : float
        Slots that share the work.
    now : float
        Current time, in seconds.
    first : bool
        Whether no higher tier waits. The limit is then
        `QueueEntry.latest_start` rather than the earlier
        `QueueEntry.safe_start`, so a request is refused only when half of the
        requests like it would be late: no higher tier could use its slot. With
        the earlier limit, requests were refused while slots became free.

    Returns
    -------
    kept, late : list of QueueEntry
        Those that can start in time, and those that can't.
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
    backlog: Backlog, pool: PoolView, rank: int, services: Iterable[ServiceName]
) -> list[QueueEntry]:
    """Remove and return waiting requests of tiers below ``rank``.

    Only requests that could use a target of ``services`` are removed.
    """
    removed: list[QueueEntry] = []
    affected = find_services_sharing_targets(pool, services)
    for group in backlog.groups.values():
        if group.precedence.rank > rank and group.service in affected:
            removed += group.entries
            group.retain([])
    return removed


def find_services_sharing_targets(
    pool: PoolView, services: Iterable[ServiceName]
) -> set[ServiceName]:
    """Return all services that share a target with one of ``services``.

    A target without slots counts too. Otherwise a tier would be shed for lack of
    slots while a lower one was kept for the same target, to take its next slot.
    """
    named = set(services)
    shared = (view.services for view in pool.targets.values() if named & view.services)
    return set().union(*shared)


def select_spill(backlog: Backlog) -> list[RequestId]:
    """Return requests to offer to other zones, highest precedence first.

    These are requests of groups with an expected wait above `SPILL_AFTER_S`;
    within one precedence those with the earliest latest start come first.
    """
    offered: list[RequestId] = []
    for precedence in backlog.precedences():
        late: list[QueueEntry] = []
        for group in backlog.at(precedence):
            if backlog.wait_s(group.service, precedence) > SPILL_AFTER_S:
                late += group.entries
        limit = MAX_SPILL - len(offered)
        soonest = heapq.nsmallest(limit, late, key=lambda entry: entry.latest_start)
        offered += [entry.waiting.demand.request for entry in soonest]
    return offered


def make_shed_decision(
    entry: QueueEntry, reason: ShedReason, backlog_s: float
) -> ShedDecision:
    """Return the refusal of ``entry`` with the time after which to retry.

    Parameters
    ----------
    entry : QueueEntry
        The request to refuse.
    reason : ShedReason
        Why it is refused.
    backlog_s : float
        Seconds until the work that waits now will have started.
    """
    demand = entry.waiting.demand
    wait = retry_after_s(backlog_s, demand.request, demand.prior_refusals)
    return ShedDecision(demand.request, reason, wait)
