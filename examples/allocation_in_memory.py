"""Hand out a pool's slots and see who is given up, without hosts or a clock.

The allocator places by tier, and gives up what can't be in time any more.
Tokens and seconds throughout.
"""

from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.types import (
    Allocation,
    PoolView,
    RequestDemand,
    TargetView,
    WaitingRequest,
)

NOW = 100.0


def waiting(name: str, rank: int, time_to_deadline_s: float) -> WaitingRequest:
    """Return a request for a letter of some 200 tokens."""
    line = RequestDemand(
        name, "advisers", "letters", rank, 500, 200, time_to_deadline_s, 0.0
    )
    return WaitingRequest("host-a1", line, NOW + time_to_deadline_s, NOW)


def main() -> Allocation:
    """Print and return what one run decides."""
    services = frozenset({"letters"})
    target = TargetView(
        "engine-a1", services, 1, 100_000, prefill_tps=4000, decode_tps=40, limit=1
    )
    rows = [waiting("low", 1, 60.0), waiting("high", 0, 60.0), waiting("late", 1, 0.0)]
    pool = PoolView({row.demand.request: row for row in rows}, {target.name: target})
    allocation = allocate(pool, NOW)
    for placed in allocation.placements:
        print(f"{placed.request} goes to {placed.target}")
    for lost in allocation.sheds:
        print(f"{lost.request} is given up: {lost.reason.value}")
    return allocation


if __name__ == "__main__":
    main()
