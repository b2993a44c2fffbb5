"""Refuses calls as soon as it is clear that they will start too late.

Load pattern: a burst on a pool where each rank of calls is guaranteed a minimum share
of the service. A call that waits beyond its first output deadline is late or lost, and
its caller has waited in vain. If the call is refused at once, the caller can go
elsewhere, or retry when there is capacity. If it is kept, it also delays calls behind
it in the queue that could still be in time.

The calls of one precedence (see `precedence`) are assumed to be served at the greater
of two rates: the measured throughput that earlier precedences leave, and the rate at
which calls of this precedence were recently started. By the first rate alone, calls
that are served only because of the minimum share would seem to get no service, and all
of them would be refused before they could be dispatched.

Thresholds
----------
MAX_LATE_FACTOR : a call that will miss its first output deadline in any case is kept
    if it can start within this many times its time to first token budget. A caller
    that is refused then has most of its time left to go elsewhere or to retry.
MIN_RATE : lower bound of the rate, in slot seconds per second; with it, the first call
    of a queue is kept even where no calls start.
"""

from godwitladder.decisions.placing.fairness import TierQueue
from godwitladder.decisions.placing.precedence import Timeliness
from godwitladder.decisions.types import PoolView, QueueEntry
from godwitladder.decisions.waiting.backlog import Backlog, Group
from godwitladder.decisions.waiting.shedding import is_refusal_scan_due

MAX_LATE_FACTOR = 2.0
MIN_RATE = 0.01


def refuse_late_starts(
    backlog: Backlog, pool: PoolView, now: float
) -> list[QueueEntry]:
    """Remove and return calls that will not start in time, of any precedence."""
    if not is_refusal_scan_due(pool, now):
        return []
    refused: list[QueueEntry] = []
    for group in backlog.groups.values():
        refused += take_late(group, pool, now)
    return refused


def take_late(group: Group, pool: PoolView, now: float) -> list[QueueEntry]:
    """Remove and return the requests of ``group`` that will not start in time."""
    if not group.capacity.slots:
        return []
    rate = max(remaining_rate(group, pool), pool.state.rate(group.precedence), MIN_RATE)
    earliest = now + group.capacity.next_request_s()
    kept: list[QueueEntry] = []
    late: list[QueueEntry] = []
    ahead_s = 0.0
    queue = TierQueue(group.entries, pool.workspaces, pool.state.spent, now)
    for entry in queue.ordered():
        cooldown_ends = group.capacity.cooldown_ends(entry.waiting.cooldowns, now)
        starts = max(earliest + ahead_s / rate, cooldown_ends)
        if starts <= start_limit(entry, group):
            kept.append(entry)
            ahead_s += entry.slot_s
        else:
            late.append(entry)
    group.retain(kept)
    return late


def remaining_rate(group: Group, pool: PoolView) -> float:
    """Return the throughput that precedences before ``group`` leave to it.

    No throughput is known until there has been contention for a while; until then, all
    slots are assumed to become free.
    """
    throughput = pool.state.throughput or group.capacity.slots
    return min(throughput, group.capacity.slots) - pool.state.rate_before(
        group.precedence
    )


def start_limit(entry: QueueEntry, group: Group) -> float:
    """Return the time by which ``entry`` has to start."""
    if group.precedence.timeliness is Timeliness.IN_TIME:
        return min(entry.ttft_latest_start, entry.latest_start)
    waiting = entry.waiting
    return min(
        entry.latest_start,
        waiting.arrived
        + MAX_LATE_FACTOR * (waiting.ttft_deadline - waiting.first_arrived),
    )
