"""Hands a pool's free capacity to the waiting requests.

Load pattern: more work waits than the pool can run. Without one place that
sees all of it, each host dispatches its own head of queue, and a low tier's
request on a quiet host goes before a high tier's on a busy one.
"""

from godwitladder.decisions.types import (
    Allocation,
    GivenUp,
    Placement,
    PoolView,
    ShedReason,
    TargetView,
    Waiting,
)


def allocate(pool: PoolView, now: float) -> Allocation:
    """Return placements and sheds for the requests in ``pool``.

    The views in ``pool`` are not changed; the caller accounts for what was
    decided.
    """
    allocation = Allocation()
    used = {name: target.used for name, target in pool.targets.items()}
    order = sorted(
        pool.waiting.values(), key=lambda row: (row.line.tier_rank, row.deadline)
    )
    for row in order:
        if row.deadline <= now:
            allocation.given_up.append(
                GivenUp(row.line.request, ShedReason.DEADLINE, 1.0)
            )
            continue
        target = _choose(pool, row, used)
        if target:
            used[target.name] += 1
            tokens = row.line.prompt_tokens + row.line.predicted_tokens
            allocation.placements.append(
                Placement(row.line.request, target.name, tokens)
            )
    return allocation


def _choose(pool: PoolView, row: Waiting, used: dict) -> TargetView | None:
    free = [
        target
        for target in pool.targets.values()
        if row.line.service in target.services and used[target.name] < target.limit
    ]
    return min(free, key=lambda target: used[target.name] / target.slots, default=None)
