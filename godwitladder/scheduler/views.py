"""Views of an allocator's state, from which allocation decisions are made.

Pure: views are computed from a role and a time.
"""

import math
from collections import Counter
from typing import TYPE_CHECKING

from godwitladder.configuration.model import TargetState
from godwitladder.decisions.prompts.forecast import PendingPrefill
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
from godwitladder.scheduler.learning import present_factor, present_prefill_cost

if TYPE_CHECKING:
    from godwitladder.scheduler.role import PoolRole


ANSWER_MEMORY_S = 1.0
"""Time for which an answer shows that a target is up; a host avoids one as long."""


def pool_view(role: "PoolRole", now: float) -> PoolView:
    """Return the input of `allocate`."""
    on_trial = target_views(role, now, TargetState.UNPROVED) if role.trials.rows else {}
    view = PoolView(
        targets=target_views(role, now),
        trial_targets=on_trial,
        workspaces=workspace_views(role, now),
        state=role.state,
        quotas=role.quotas,
        policy=role.policy,
        staleness_s=role.delays.recent_peak_s(now),
    )
    for account in role.current(now):
        for demand in account.demands.values():
            # Rows are kept between runs. A new row would be weighed again, and
            # its deadline would move with each run between two reports.
            row = role.waiting.get(demand.request)
            if row is None or row.demand is not demand:
                row = make_waiting(role, account.host, demand, now, row)
            row.avoided = account.avoided
            row.cooldowns = account.cooldowns
            view.waiting[demand.request] = row
    role.waiting = view.waiting
    for name, floor in role.floors.items():
        view.floors[name] = floor.floor
        if floor.shed_rank != NO_RANK:
            view.shed_ranks[name] = floor.shed_rank
    return view


def make_waiting(
    role: "PoolRole",
    host: HostId,
    demand: RequestDemand,
    now: float,
    before: WaitingRequest | None,
) -> WaitingRequest:
    """Return a waiting request as of ``now``, with times on the allocator's clock.

    The first output deadline (``ttft_deadline``) counts from the caller's first
    attempt, even if that was refused and the caller has retried.

    Parameters
    ----------
    before : WaitingRequest or None
        The same request as of an earlier report. If each report counted the
        request again, one that waits for long would look like many arrivals.
    """
    arrived = now - demand.waited_s
    known = role.state.callers.first_arrival(demand.body, now)
    first_arrived = arrived if known is None else min(known, arrived)
    if before is not None:
        within_quota = before.within_quota
    else:
        # A retried request was counted at its first attempt.
        within_quota = known is not None or role.state.entitlements.take(
            demand.workspace,
            demand.charge,
            role.quotas.rate_of(demand.workspace, now),
            now,
        )
    return WaitingRequest(
        host,
        demand,
        now + demand.time_to_deadline_s,
        arrived,
        ttft_deadline=first_arrived + demand.waited_s + demand.ttft_budget_s,
        start_by=now + demand.start_within_s,
        first_arrived=first_arrived,
        within_quota=within_quota,
        counted=before is not None and before.counted,
    )


def target_views(
    role: "PoolRole", now: float, state: TargetState = TargetState.ACTIVE
) -> dict[TargetName, TargetView]:
    """Return a view of each target in ``state`` that may be given requests."""
    views = {}
    max_usage, usage = role.max_usage(), role.current_usage()
    unreachable = unreachable_targets(role, now)
    refusing = refusing_targets(role, now)
    for name in sorted(role.pool.targets):
        target = role.config.targets.get(name)
        if target is None or target.state is not state:
            continue
        if target.address in role.leaving or name in unreachable:
            continue
        if role.departures.includes(name, target.generation):
            continue
        count = max_usage.get(name, NO_USAGE)
        role.loads.record_own(name, usage.get(name, NO_USAGE).running, now)
        speed = role.speeds.learned[name]
        reported = PendingPrefill(
            count.pending_prefill_tokens, count.pending_prefill_requests
        )
        pending = role.forecast.pending(name, reported, now)
        first_s, read_s = present_prefill_cost(role, name, now)
        views[name] = TargetView(
            name=name,
            services=frozenset(target.services),
            slots=target.slots,
            memory_tokens=target.memory_tokens,
            prefill_tps=speed.prefill_tps / present_factor(role, name, now),
            decode_tps=speed.decode_tps,
            used=count.running + role.loads.external(name),
            reserved_tokens=count.tokens,
            limit=concurrency_limit(role, name, target.slots, now),
            prefixes=role.hints.prefixes(name, now),
            pending_prefill_tokens=pending.tokens,
            pending_prefill_requests=pending.requests,
            first_s=first_s,
            read_s=read_s,
            max_pending_prefill_s=role.max_pending_prefill_s,
            availability_zone=target.place,
            requests_per_s=role.rate_limits.requests_per_s(name),
            available_requests=role.rate_limits.available(name, now),
            next_request_s=role.rate_limits.wait_s(name, now),
            refuses=name in refusing,
            release=target.release,
        )
    return views


def concurrency_limit(
    role: "PoolRole", name: TargetName, slots: int, now: float
) -> int:
    """Return the number of requests that a target may run concurrently."""
    slots = role.brittle.limit(name, slots, now)
    return (
        role.throttles.limit(name, slots, now)
        if role.policy.throttles_slow_targets
        else slots
    )


def unreachable_targets(role: "PoolRole", now: float) -> set[TargetName]:
    """Return the targets that are probably down.

    At least half of the hosts can't connect to them, and none has had an answer of
    late. The broken network path of one host must not make a target unavailable to
    all hosts, even while no other host has anything to report, and neither must the
    paths of many hosts while the target answers those that reach it.
    """
    current = role.current(now)
    avoiding = Counter(name for row in current for name in row.avoided)
    hosts = max(len(current), role.quotas.expected_hosts)
    return {
        name
        for name, count in avoiding.items()
        if count * 2 >= hosts
        and role.answered_at.get(name, -math.inf) <= now - ANSWER_MEMORY_S
    }


def refusing_targets(role: "PoolRole", now: float) -> set[TargetName]:
    """Return the targets that have asked any host to send nothing for a while."""
    return {
        name
        for row in role.current(now)
        for name, until in row.cooldowns.items()
        if until > now
    }


def workspace_views(role: "PoolRole", now: float) -> dict[WorkspaceName, WorkspaceView]:
    """Return the share, quota and use of each workspace with waiting requests."""
    names = {
        demand.workspace
        for account in role.current(now)
        for demand in account.demands.values()
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
