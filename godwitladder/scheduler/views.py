"""What an allocator's role shows to the decisions under load.

Pure: a role and a time go in, views come out.
"""

from collections import Counter
from typing import TYPE_CHECKING

from godwitladder.configuration.model import TargetState
from godwitladder.decisions.forecast import PendingPrefill
from godwitladder.decisions.types import (
    PoolView,
    RequestDemand,
    TargetView,
    WaitingRequest,
    WorkspaceView,
)
from godwitladder.ids import HostId, TargetName, WorkspaceName
from godwitladder.scheduler.accounts import NOTHING
from godwitladder.scheduler.exchange import NO_RANK

if TYPE_CHECKING:
    from godwitladder.scheduler.role import PoolRole


def pool_view(role: "PoolRole", now: float) -> PoolView:
    """Return everything that `allocate` decides from."""
    view = PoolView(
        targets=target_views(role, now),
        workspaces=workspace_views(role, now),
        state=role.state,
        quotas=role.quotas,
        policy=role.policy,
        staleness_s=role.delays.lately_s(now),
    )
    for account in role.current(now):
        for line in account.demands.values():
            # Kept from run to run: a row that is new is weighed anew, and its
            # deadline would move on with each run between two reports.
            row = role.rows.get(line.request)
            if row is None or row.demand is not line:
                row = take_line(role, account.host, line, now, row)
            row.avoided = account.avoided
            view.waiting[line.request] = row
    role.rows = view.waiting
    for name, floor in role.floors.items():
        view.floors[name] = floor.floor
        if floor.shed_rank != NO_RANK:
            view.shed_ranks[name] = floor.shed_rank
    return view


def take_line(
    role: "PoolRole",
    host: HostId,
    line: RequestDemand,
    now: float,
    before: WaitingRequest | None,
) -> WaitingRequest:
    """Return a demand line as of ``now``, with its times by the allocator's clock.

    The aim counts from when the caller first asked, also if it was refused
    since then and has come back.

    Parameters
    ----------
    before : Waiting or None
        The same request as an earlier report told of it. Counted anew with
        each report, a request that waits for long looked like many that came.
    """
    arrived = now - line.waited_s
    known = role.state.callers.first_arrival(line.body, now)
    asked = arrived if known is None else min(known, arrived)
    if before is not None:
        entitled = before.within_quota
    else:
        # One that has come back was counted when it first came.
        entitled = known is not None or role.state.entitlements.take(
            line.workspace,
            line.charge,
            role.quotas.rate_of(line.workspace, now),
            now,
        )
    return WaitingRequest(
        host,
        line,
        now + line.time_to_deadline_s,
        arrived,
        ttft_deadline=asked + line.waited_s + line.ttft_budget_s,
        start_by=now + line.start_within_s,
        first_arrived=asked,
        within_quota=entitled,
        counted=before is not None and before.counted,
    )


def target_views(role: "PoolRole", now: float) -> dict[TargetName, TargetView]:
    """Return every target that may take work."""
    views = {}
    counted, running = role.counted(), role.running()
    unreachable = unreachable_targets(role, now)
    for name in sorted(role.pool.targets):
        target = role.config.targets.get(name)
        if target is None or target.state is not TargetState.ACTIVE:
            continue
        if target.address in role.leaving or name in unreachable:
            continue
        count = counted.get(name, NOTHING)
        role.loads.record_own(name, running.get(name, NOTHING).running, now)
        speed = role.speeds.learned[name]
        told = PendingPrefill(count.unread, count.unread_requests)
        unread = role.forecast.pending(name, told, now)
        first_s, read_s = role.speeds.prefill_cost(name)
        views[name] = TargetView(
            name=name,
            services=frozenset(target.services),
            slots=target.slots,
            memory_tokens=target.memory_tokens,
            prefill_tps=speed.prefill_tps,
            decode_tps=speed.decode_tps,
            used=count.running + role.loads.external(name),
            reserved_tokens=count.tokens,
            limit=limit_of(role, name, target.slots, now),
            prefixes=role.hints.prefixes(name, now),
            pending_prefill_tokens=unread.tokens,
            pending_prefill_requests=unread.requests,
            first_s=first_s,
            read_s=read_s,
            max_pending_prefill_s=role.unread_s,
            availability_zone=target.place,
        )
    return views


def limit_of(role: "PoolRole", name: TargetName, slots: int, now: float) -> int:
    """Return how many requests a target may run at once."""
    return (
        role.throttles.limit(name, slots, now)
        if role.policy.throttles_slow_targets
        else slots
    )


def unreachable_targets(role: "PoolRole", now: float) -> set[TargetName]:
    """Return the targets to which half of the hosts can't connect.

    One host's broken path must not take a target from all others, nor from
    itself alone while the rest have nothing to report.
    """
    current = role.current(now)
    avoiding = Counter(name for row in current for name in row.avoided)
    hosts = max(len(current), role.quotas.expected_hosts)
    return {name for name, count in avoiding.items() if count * 2 >= hosts}


def workspace_views(role: "PoolRole", now: float) -> dict[WorkspaceName, WorkspaceView]:
    """Return weight, bound and use of each workspace that waits."""
    names = {
        line.workspace
        for account in role.current(now)
        for line in account.demands.values()
    }
    views = {}
    for name in names & set(role.config.workspaces):
        workspace = role.config.workspaces[name]
        running = workspace_running(role, name) if workspace.quota else 0
        views[name] = WorkspaceView(workspace.share, workspace.quota, running)
    return views


def workspace_running(role: "PoolRole", name: WorkspaceName) -> int:
    """Return the requests of a workspace that run on all hosts."""
    return sum(row.workspace_running(name) for row in role.accounts.values())
