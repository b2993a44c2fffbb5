"""Measures the duration of one run of the allocator."""

import random
import time

from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.types import (
    PoolView,
    RequestDemand,
    TargetView,
    WaitingRequest,
    WorkspaceView,
)
from godwitladder.ids import (
    HostId,
    RequestId,
    ServiceName,
    TargetName,
    WorkspaceName,
)

SIZES = (100, 1_000, 10_000)
TARGETS = 16
SLOTS = 8
WORKSPACES = 40
RUNS = 41
SERVICE = ServiceName("letters")


def make_pool(waiting: int, time_to_deadline_s: float) -> PoolView:
    """Return a pool in which half of the targets have one free slot."""
    rng = random.Random(1)
    pool = PoolView()
    for index in range(TARGETS):
        name = TargetName(f"engine-{index:02}")
        pool.targets[name] = TargetView(
            name=name,
            services=frozenset({SERVICE}),
            slots=SLOTS,
            memory_tokens=100_000,
            prefill_tps=4000.0 + 100 * index,
            decode_tps=40.0 + index,
            used=SLOTS - index % 2,
            limit=SLOTS,
        )
    for index in range(waiting):
        add_waiting(pool, index, time_to_deadline_s, rng)
    return pool


def add_waiting(
    pool: PoolView, index: int, time_to_deadline_s: float, rng: random.Random
) -> None:
    """Add one random waiting request."""
    workspace = WorkspaceName(f"workspace-{rng.randrange(WORKSPACES)}")
    pool.workspaces.setdefault(workspace, WorkspaceView())
    demand = RequestDemand(
        request=RequestId(f"request-{index:05}"),
        workspace=workspace,
        service=SERVICE,
        tier_rank=rng.randrange(4),
        prompt_tokens=rng.randrange(50, 2000),
        predicted_tokens=rng.randrange(10, 500),
        time_to_deadline_s=time_to_deadline_s,
        waited_s=0.0,
    )
    deadline = time_to_deadline_s * (1.0 + rng.random())
    pool.waiting[demand.request] = WaitingRequest(HostId("host"), demand, deadline, 0.0)


def replace_waiting(pool: PoolView) -> None:
    """Replace each waiting request by one without a queue entry, as new reports do."""
    for request, row in list(pool.waiting.items()):
        pool.waiting[request] = WaitingRequest(
            row.host, row.demand, row.deadline, row.arrived
        )


def time_runs(
    waiting: int, time_to_deadline_s: float, fresh: bool, refuse: bool
) -> list[float]:
    """Return the sorted durations of several runs on one pool, in milliseconds."""
    pool = make_pool(waiting, time_to_deadline_s)
    times = []
    for _ in range(RUNS):
        pool.state.last_refusal_check = float("-inf") if refuse else 0.0
        if fresh:
            replace_waiting(pool)
        start = time.perf_counter()
        allocate(pool, 0.1)
        times.append((time.perf_counter() - start) * 1000.0)
    return sorted(times)


def deadline_for_share(waiting: int, share: float) -> float:
    """Return a time to the deadline in which about ``share`` of requests can start."""
    seconds_each = 1000 / 5600 + 250 / 55
    return share * waiting * seconds_each / (TARGETS * SLOTS)


def allocator_rows() -> list[list[str]]:
    """Return the median and the longest duration of a run, by case and size.

    Durations are in milliseconds. The last column is the ratio of the medians of the
    two largest sizes.
    """
    cases = (
        ("rows known from the last run", 1e3, False, False),
        ("all rows new", 1e3, True, False),
        ("looking for early refusals, few found", 1.0, False, True),
        ("refusing about half", 0.5, False, True),
    )
    rows = []
    for name, share, fresh, refuse in cases:
        medians = []
        cells = []
        for size in SIZES:
            times = time_runs(size, deadline_for_share(size, share), fresh, refuse)
            medians.append(times[len(times) // 2])
            cells.append(f"{medians[-1]:.2f} / {times[-1]:.2f}")
        rows.append([name, *cells, f"{medians[-1] / medians[-2]:.1f}"])
    return rows
