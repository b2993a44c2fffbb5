"""Refuses calls that their targets will not reach in time, as soon as that shows.

Load pattern: a burst on a pool where each kind of call is owed a part. A call
that waits until its aim has passed is late or lost, and its caller has waited
for nothing: told at once, it can turn elsewhere or come back when there is
room. Kept all the same, it stands in line before calls that could be in time.

Calls of one precedence (`shares`) are served at a rate: what those before them
leave of what really starts in a second, or what they got lately by their own
part, whichever is more. Reckoned only with what the others leave, calls that are
owed a part look as if they got nothing, and all are refused before their turn.

Thresholds
----------
LATE_AIMS : aims for which a call waits that is late whatever happens; told then,
    its caller has most of its time left to turn elsewhere or to come back.
LEAST_RATE : slot seconds a second; where nothing starts, the first of a queue
    is kept.
"""

from godwitladder.decisions.backlog import Backlog, Group
from godwitladder.decisions.fairness import TierQueue
from godwitladder.decisions.precedence import Timeliness
from godwitladder.decisions.shedding import is_refusal_scan_due
from godwitladder.decisions.types import PoolView, QueueEntry

LATE_AIMS = 2.0
LEAST_RATE = 0.01


def refuse_late_starts(
    backlog: Backlog, pool: PoolView, now: float
) -> list[QueueEntry]:
    """Take out and return what will not start in time, at any precedence."""
    if not is_refusal_scan_due(pool, now):
        return []
    refused: list[QueueEntry] = []
    for group in backlog.groups.values():
        refused += take_untimely(group, pool, now)
    return refused


def take_untimely(group: Group, pool: PoolView, now: float) -> list[QueueEntry]:
    """Take out and return the requests of ``group`` that will not start in time."""
    if not group.capacity.slots:
        return []
    rate = max(left_over(group, pool), pool.state.rate(group.precedence), LEAST_RATE)
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


def left_over(group: Group, pool: PoolView) -> float:
    """Return what those before ``group`` leave of what starts in a second.

    Before work has waited for a while, all slots are taken to come free.
    """
    flow = pool.state.throughput or group.capacity.slots
    return min(flow, group.capacity.slots) - pool.state.rate_before(group.precedence)


def start_limit(entry: QueueEntry, group: Group) -> float:
    """Return the time by which ``entry`` has to start."""
    if group.precedence.timeliness is Timeliness.IN_TIME:
        return min(entry.ttft_latest_start, entry.latest_start)
    row = entry.waiting
    return min(
        entry.latest_start,
        row.arrived + LATE_AIMS * (row.ttft_deadline - row.first_arrived),
    )
