"""Refuses calls as soon as it is clear that they will start too late.

Load pattern: a burst on a pool where each kind of call is owed a share. A call that
waits beyond the deadline of its first output is late or lost, and its caller has
waited in vain: refused at once, the caller can go elsewhere or retry when there is
capacity. If it is kept, it also stands in the queue before calls that could be in time.

Calls of one precedence (`precedence`) are served at the greater of two rates: what
earlier precedences leave of the measured throughput, and the rate at which its own
calls were recently started. By the first alone, calls that are served because of their
share would seem to get nothing, and all of them would be refused before their turn.

Thresholds
----------
MAX_LATE_FACTOR : a call that is late in any case waits for this many times its
    allowed time to the first output; refused then, its caller has most of its time
    left to go elsewhere or to retry.
MIN_RATE : slot seconds per second; where nothing starts, the first call of a queue is
    kept.
"""

from godwitladder.decisions.backlog import Backlog, Group
from godwitladder.decisions.fairness import TierQueue
from godwitladder.decisions.precedence import Timeliness
from godwitladder.decisions.shedding import is_refusal_scan_due
from godwitladder.decisions.types import PoolView, QueueEntry

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
    kept: list[QueueEntry] = []
    late: list[QueueEntry] = []
    ahead_s = 0.0
    queue = TierQueue(group.entries, pool.workspaces, pool.state.spent, now)
    for entry in queue.ordered():
        if now + ahead_s / rate <= start_limit(entry, group):
            kept.append(entry)
            ahead_s += entry.slot_s
        else:
            late.append(entry)
    group.retain(kept)
    return late


def remaining_rate(group: Group, pool: PoolView) -> float:
    """Return the throughput that precedences before ``group`` leave to it.

    Until there has been contention for a while, all slots are assumed to become free.
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
