"""Pools for the tests of the decisions."""

from godwitladder.decisions.types import (
    PoolView,
    RequestDemand,
    TargetView,
    WaitingRequest,
    WorkspaceView,
)


def make_target(name="t0", services=("chat",), limit=4, memory=100_000, **more):
    speeds = {"prefill_tps": 5000.0, "decode_tps": 50.0} | more
    return TargetView(
        name, frozenset(services), max(limit, 1), memory, limit=limit, **speeds
    )


def add(pool, request, rank=0, workspace="w0", deadline=60.0, arrived=0.0, **more):
    """Add a waiting request; a usual one takes two seconds."""
    lengths = {"prompt_tokens": 500, "predicted_tokens": 95, "service": "chat"}
    line = RequestDemand(
        request=request,
        workspace=workspace,
        tier_rank=rank,
        time_to_deadline_s=deadline,
        waited_s=0.0,
        **(lengths | more),
    )
    pool.waiting[request] = WaitingRequest("host", line, deadline, arrived)
    pool.workspaces.setdefault(workspace, WorkspaceView())


def make_pool(*targets):
    return PoolView(targets={target.name: target for target in targets})


def take(pool, allocation):
    """Account for what was decided, as an allocator does."""
    for placement in allocation.placements:
        row = pool.waiting.pop(placement.request)
        target = pool.targets[placement.target]
        target.used += 1
        target.reserved_tokens += placement.reserved_tokens
        pool.workspaces[row.demand.workspace].running += 1
    for shed_reasons in allocation.sheds:
        del pool.waiting[shed_reasons.request]


def shed_reasons(allocation):
    return {row.request: row.reason for row in allocation.sheds}
