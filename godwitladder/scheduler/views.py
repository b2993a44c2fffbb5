"""Views of an allocator's state, from which allocation decisions are made.

Pure: views are computed from a role and a time.
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
from godwitladder.scheduler.accounts import NO_USAGE
from godwitladder.scheduler.exchange import NO_RANK

if TYPE_CHECKING:
    from godwitladder.scheduler.role import PoolRole


def pool_view(role: "PoolRole", now: float) -> PoolView:
    """Return the input of `allocate`."""
    view = PoolView(
        targets=target_views(role, now),
        workspaces=workspace_views(role, now),
        memory=role.memory,
        quotas=role.quotas,
        policy=role.policy,
        staleness_s=role.delays.recent_peak_s(now),
    )
    for account in role.current(now):
        for line in account.demands.values():
            # Rows are kept between runs. A new row would be weighed again, and
            # its deadline would move with each run between two reports.
            row = role.waiting.get(line.request)
            if row is None or row.demand is not line:
                row = make_waiting(role, account.host, line, now, row)
            row.avoided = account.avoided
            view.waiting[line.request] = row
    role.waiting = view.waiting
    for name, floor in role.floors.items():
        view.floors[name] = floor.floor
        if floor.shed_rank != NO_RANK:
            view.shed_ranks[name] = floor.shed_rank
    return view


def make_waiting(
    role: "PoolRole",
    host: HostId,
    line: RequestDemand,
    now: float,
    before: WaitingRequest | None,
) -> WaitingRequest:
    """Return a demand line as of ``now``, with times on the allocator's clock.

    The time limit for the first output (``aim``) counts from the caller's first
    attempt, even if that was refused and the caller has retried.

    Parameters
    ----------
    before : Waiting or None
        The same request as of an earlier report. If each report counted the
        request again, one that waits for long would look like many arrivals.
    """
    arrived = now - line.waited_s
    known = role.memory.callers.first_asked(line.body, now)
    asked = arrived if known is None else min(known, arrived)
    if before is not None:
        entitled = before.within_quota
    else:
        # A retried request was counted at its first attempt.
        entitled = known is not None or role.memory.entitlements.take(
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
    """Return a view of each target that may be given requests."""
    views = {}
    max_usage, usage = role.max_usage(), role.current_usage()
    unreachable = unreachable_targets(role, now)
    for name in sorted(role.pool.targets):
        target = role.config.targets.get(name)
        if target is None or target.state is not TargetState.ACTIVE:
            continue
        if target.address in role.leaving or name in unreachable:
            continue
        count = max_usage.get(name, NO_USAGE)
        role.loads.note_ours(name, usage.get(name, NO_USAGE).running, now)
        speed = role.speeds.learned[name]
        reported = PendingPrefill(count.unread_tokens, count.unread_requests)
        unread = role.forecast.pending(name, reported, now)
        first_s, read_s = role.speeds.prefill_cost(name)
        views[name] = TargetView(
            name=name,
            services=frozenset(target.services),
            slots=target.slots,
            memory_tokens=target.memory_tokens,
            prefill_tps=speed.prefill_tps,
            decode_tps=speed.decode_tps,
            used=count.running + role.loads.others(name),
            reserved_tokens=count.tokens,
            limit=concurrency_limit(role, name, target.slots, now),
            prefixes=role.hints.prefixes(name, now),
            pending_prefill_tokens=unread.tokens,
            pending_prefill_requests=unread.requests,
            first_s=first_s,
            read_s=read_s,
            max_pending_prefill_s=role.unread_s,
            availability_zone=target.place,
        )
    return views


def concurrency_limit(
    role: "PoolRole", name: TargetName, slots: int, now: float
) -> int:
    """Return the number of requests that a target may run concurrently."""
    return role.throttles.limit(name, slots, now) if role.policy.eases_off else slots


def unreachable_targets(role: "PoolRole", now: float) -> set[TargetName]:
    """Return the targets to which at least half of the hosts can't connect.

    The broken network path of one host must not make a target unavailable to all
    hosts, even while no other host has anything to report.
    """
    current = role.current(now)
    avoiding = Counter(name for row in current for name in row.avoided)
    hosts = max(len(current), role.quotas.hosts)
    return {name for name, count in avoiding.items() if count * 2 >= hosts}


def workspace_views(role: "PoolRole", now: float) -> dict[WorkspaceName, WorkspaceView]:
    """Return the share, quota and use of each workspace with waiting requests."""
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
    """Return the number of requests that a workspace runs, over all hosts."""
    return sum(row.workspace_running(name) for row in role.accounts.values())
