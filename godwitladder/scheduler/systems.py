"""Systems that run on the tables of a host at each tick.

Each takes the tables and the time and modifies rows. Decisions for callers are put
into the queues of the rows, so that the systems perform no network I/O.
"""

from bisect import insort
from dataclasses import replace
from operator import attrgetter
from zlib import crc32

from godwitladder.configuration.model import TargetState
from godwitladder.decisions.limits.spending import NO_ISSUER, Issuer
from godwitladder.decisions.placing.standing import fixed_share
from godwitladder.decisions.prompts.prediction import grow_reservation
from godwitladder.decisions.types import TargetView
from godwitladder.ids import HostId, WorkspaceName
from godwitladder.logs import component_logger
from godwitladder.outcomes import OWN_SHARE, Reason, Refusal, RequestState, refuse
from godwitladder.scheduler.access import GrantFate, PoolAccess
from godwitladder.scheduler.exchange import Completion
from godwitladder.scheduler.rows import (
    Dispatch,
    IllegalTransition,
    RequestRow,
    Tables,
    TargetRow,
)
from godwitladder.scheduler.silence import log_silence
from godwitladder.scheduler.statements import may_send_within_limit

log = component_logger("scheduler")

TARGET_AVOIDANCE_S = 1.0
MAX_COMPLETIONS = 64
MAX_STALE_ROWS = 32
NO_THREAD_RETRY_S = 1.0
EXPIRED_RETRY_S = 1.0
MAX_GRANT_TRANSIT_S = 0.25
MAX_GRANT_TRANSIT_RATIO = 0.1
"""Limits of the time that a request waits beyond its latest start for a grant that may
be in transit: seconds, and a fraction of the time from its latest start to its
deadline. The shorter of the two applies."""
MAX_CRC32 = 2**32
OVER_QUOTA = "The workspace has had its tokens for now."
NO_PATH = "No path leads from here to a target of the service, nor through a peer."
NO_PATH_RETRY_S = 1.0
"""A caller that returns may be led to another host, or the path be back."""
RELEASE_GONE_TEXT = "No target of the version that began the stream is left."
NO_THREAD = "This host has no room for more requests that wait."


def run_systems(tables: Tables, now: float) -> None:
    """Run all systems once, in order."""
    expire_requests(tables, now)
    log_silence(tables, now)
    expire_grants(tables, now)
    use_grants(tables, now)
    dispatch_without_grants(tables, now)


def expire_requests(tables: Tables, now: float) -> None:
    """Refuse requests that can no longer be answered in time.

    The allocator refuses them too. If it alone did so and were far behind, callers
    would get no answer until it is too late for them to try elsewhere.
    """
    for row in list(tables.waiting.values()):
        if is_too_late(row, now) and row.state is RequestState.WAITING:
            detail = "No target was free in time."
            refusal = refuse(Reason.DEADLINE, detail, EXPIRED_RETRY_S)
            refuse_request(tables, row, no_path_refusal(tables, row) or refusal)
        elif row.release and row.state is RequestState.WAITING:
            refuse_gone_release(tables, row)


def refuse_gone_release(tables: Tables, row: RequestRow) -> None:
    """Refuse a stream if no target of the version that began it is left.

    Its caller can only start anew, and would otherwise wait for nothing.
    """
    if any(
        row.service in target.target.services
        and target.target.release == row.release
        and may_receive(tables, target, row, granted=True)
        and not tables.departures.includes(target.name, target.target.generation)
        for target in tables.targets.values()
    ):
        return
    refuse_request(tables, row, refuse(Reason.RELEASE_GONE, RELEASE_GONE_TEXT))


def no_path_refusal(tables: Tables, row: RequestRow) -> Refusal | None:
    """Return the refusal of a request whose service this host can't reach.

    None if it reaches a target. The allocator refuses by its own view: it would say
    that more important work takes the capacity, while targets are idle.
    """
    targets = [
        target
        for target in tables.targets.values()
        if row.service in target.target.services
        and target.target.state is TargetState.ACTIVE
    ]
    if not targets or not all(target.is_unreached for target in targets):
        return None
    return refuse(Reason.NO_TARGET, NO_PATH, NO_PATH_RETRY_S)


def is_too_late(row: RequestRow, now: float) -> bool:
    """Return whether it is too late to start ``row`` and no grant is in transit."""
    if row.start_by >= row.deadline:
        return now >= row.deadline
    remaining_s = row.deadline - row.start_by
    return now >= row.start_by + min(
        MAX_GRANT_TRANSIT_S, remaining_s * MAX_GRANT_TRANSIT_RATIO
    )


def expire_grants(tables: Tables, now: float) -> None:
    """Drop expired grants and allowances."""
    for access in tables.pools.values():
        access.expire(now)


def use_grants(tables: Tables, now: float) -> None:
    """Dispatch the requests that have been granted.

    The grant of a request that no longer waits is dropped, and the next report
    returns it. The grant of a request whose key is still being claimed is kept until
    it expires.
    """
    for access in tables.pools.values():
        for request, held in list(access.grants.items()):
            row = tables.waiting.get(request)
            if row and row.state is not RequestState.WAITING:
                continue
            del access.grants[request]
            access.dirty = True
            target = tables.targets.get(held.grant.target)
            used = row and target and is_usable(tables, target, row, now, granted=True)
            access.fates[GrantFate.USED if used else GrantFate.GIVEN_BACK] += 1
            if used:
                if target.target.state is TargetState.UNPROVED:
                    tables.rollouts.record_grant(row.service, target.target.release)
                dispatch_request(tables, row, target, now, access.issuer)


def dispatch_without_grants(tables: Tables, now: float) -> None:
    """Dispatch waiting requests that need no grant, in dispatch order."""
    services = {row.service for row in tables.waiting.values()}
    open_services = {name for name in services if has_capacity(tables, name, now)}
    if not open_services:
        return
    for row in waiting_order(tables):
        if row.service not in open_services or row.state is not RequestState.WAITING:
            continue
        target = choose_target(tables, row, now)
        if target and not within_quota(tables, row, now):
            continue
        if target:
            tables.rate_limits.take(target.name)
            dispatch_request(tables, row, target, now)
            open_services = {
                name for name in open_services if has_capacity(tables, name, now)
            }


def waiting_order(tables: Tables) -> list[RequestRow]:
    """Return the waiting requests in dispatch order.

    Requests are inserted in order as they arrive. The list may still contain some
    that no longer wait, so readers have to check the state.
    """
    if len(tables.queue) > 2 * len(tables.waiting) + MAX_STALE_ROWS:
        for row in tables.queue:
            row.queued = row.request in tables.waiting
        tables.queue = [row for row in tables.queue if row.queued]
    return tables.queue


def has_capacity(tables: Tables, service: str, now: float) -> bool:
    """Return whether a request of ``service`` may be dispatched without a grant."""
    return any(
        may_dispatch(tables, access, tables.targets[name], 0, now)
        for access in tables.by_service.get(service, ())
        if may_use_without_grant(tables, access, now)
        for name in access.pool.targets
    )


def may_use_without_grant(tables: Tables, access: PoolAccess, now: float) -> bool:
    """Return whether this host may use the targets of a pool without a grant."""
    if access.allowances or access.is_cut_off(now):
        return True
    return uses_fallback(tables, access, now)


def choose_target(tables: Tables, row: RequestRow, now: float) -> TargetRow | None:
    """Return the least used target that ``row`` may use without a grant, if any.

    Requests of a workspace with a quota always need a grant: only the allocator
    knows how many of them run on other hosts.
    """
    workspace = tables.config.workspaces.get(row.workspace)
    has_quota = workspace is not None and (workspace.quota or workspace.token_rate)
    candidates = [
        tables.targets[name]
        for access in tables.by_service.get(row.service, ())
        if not has_quota or access.is_cut_off(now) or uses_fallback(tables, access, now)
        for name in access.pool.targets
        if may_dispatch(tables, access, tables.targets[name], row.reserved_tokens, now)
        and is_usable(tables, tables.targets[name], row, now)
    ]
    return min(
        candidates,
        key=lambda target: (target.running / target.target.slots, target.name),
        default=None,
    )


def within_quota(tables: Tables, row: RequestRow, now: float) -> bool:
    """Charge ``row`` to the token quota of its workspace, or refuse it.

    For a workspace with a quota, this is called only while no allocator answers this
    host. The host then enforces its own share of the quota; otherwise, each host that
    is cut off would admit all requests of the workspace.
    """
    quotas = tables.quotas
    quotas.share = 1.0 / tables.seen_hosts.count_recent(now)
    access = tables.by_service[row.service][0]
    quotas.discard_stale_bucket(row.workspace, access.answered_at)
    refused_at = tables.spending.refused_at.get(row.workspace)
    if refused_at is not None:
        quotas.ledger.used_up_at[row.workspace] = refused_at
    quotas.resume_share(row.workspace, access.answered_at, now)
    phase = overdraft_phase(tables.host, row.workspace)
    wait_s = quotas.spend_share(row.workspace, row.charge, now, phase)
    if wait_s > 0:
        refusal = refuse(Reason.QUOTA, OVER_QUOTA, wait_s)
        refuse_request(tables, row, replace(refusal, decided_by=OWN_SHARE))
        return False
    access.own_tokens += row.charge
    return True


def overdraft_phase(host: HostId, workspace: WorkspaceName) -> float:
    """Return a number between 0 and 1 that is spread evenly over hosts."""
    return crc32(f"{host}/{workspace}".encode()) / MAX_CRC32


def may_receive(
    tables: Tables, target: TargetRow, row: RequestRow, granted: bool
) -> bool:
    """Return whether the state of ``target`` allows a request of a service.

    A target of a version on trial is used only with a grant for that one request: the
    allocator alone knows how many requests the version may get.
    """
    if target.target.state is TargetState.UNPROVED:
        release = target.target.release
        return granted and tables.rollouts.is_on_trial(row.service, release)
    return target.target.state is TargetState.ACTIVE


def is_usable(
    tables: Tables,
    target: TargetRow,
    row: RequestRow,
    now: float,
    granted: bool = False,
) -> bool:
    """Return whether ``target`` may receive ``row``, with or without a grant.

    The allocator grants nothing on a leaving target, but grants that it gave before
    it learned that the target is leaving are still outstanding. Without this second
    check, new work would be sent to the target until they expire or are renewed.

    A target may state that it leaves before the store does, or while that is away.
    """
    generation = target.target.generation
    return (
        row.service in target.target.services
        and row.release in ("", target.target.release)
        and may_receive(tables, target, row, granted)
        and target.target.address not in tables.leaving
        and not tables.departures.includes(target.name, generation)
        and not tables.cooldowns.remaining_s(target.name, generation, now)
        and target.avoided_until <= now
    )


def may_dispatch(
    tables: Tables, access: PoolAccess, target: TargetRow, tokens: int, now: float
) -> bool:
    """Return whether an allowance or the fixed share permits one more request."""
    allowance = access.allowances.get(target.name)
    # An allowance is no bound on a rate: with it, a host could send one short request
    # after the other.
    if target.name in tables.rate_limits.limited:
        allowance = None
    if allowance and target.running < allowance.running:
        held = target.reserved_tokens + tokens
        return held <= allowance.tokens or not target.target.memory_tokens
    if not access.is_cut_off(now) and not may_fall_back(tables, access, target, now):
        return False
    hosts = fixed_share_hosts(tables, access)
    if not hosts:
        return False
    share = fixed_share(make_configured_view(target), tables.host, hosts)
    return target.running < share and may_send_within_limit(tables, target, now)


def may_fall_back(
    tables: Tables, access: PoolAccess, target: TargetRow, now: float
) -> bool:
    """Return whether a host may use ``target`` while its allocator is silent.

    Only targets in the host's own availability zone qualify: the others may be on
    the other side of the same network partition. What the allocator has given to
    others may fill a target, which must not happen to a brittle one.
    """
    is_near = target.target.place == tables.availability_zone
    is_brittle = tables.brittle.includes(target.name, now)
    return is_near and not is_brittle and uses_fallback(tables, access, now)


def uses_fallback(tables: Tables, access: PoolAccess, now: float) -> bool:
    """Return whether to fall back to fixed shares while the allocator is silent."""
    return tables.early_fallback and access.is_local and access.is_answer_overdue(now)


def fixed_share_hosts(tables: Tables, access: PoolAccess) -> tuple[HostId, ...]:
    """Return the hosts that share a pool without an allocator.

    A pool of another zone is used without grants only if this zone has no pool for
    its services and there is no link to a host of the other zone.
    """
    if access.is_local:
        return tables.hosts or (tables.host,)
    if tables.linked.get(access.pool.name.zone):
        return ()
    if any(tables.by_service[name][0].is_local for name in access.pool.services):
        return ()
    others = [host for hosts in tables.linked.values() for host in hosts]
    return tuple({tables.host, *tables.hosts, *others})


def make_configured_view(target: TargetRow) -> TargetView:
    """Return a view of a target with its configured values."""
    configured = target.target
    return TargetView(
        name=target.name,
        services=frozenset(configured.services),
        slots=configured.slots,
        memory_tokens=configured.memory_tokens,
        prefill_tps=configured.prefill_tps,
        decode_tps=configured.decode_tps,
        limit=configured.slots,
    )


def dispatch_request(
    tables: Tables,
    row: RequestRow,
    target: TargetRow,
    now: float,
    issuer: Issuer = NO_ISSUER,
) -> None:
    """Permit the caller's thread to send ``row`` to ``target``.

    This is the only function that does so. The state changes before anything is
    sent, so that the request can't be dispatched a second time, whatever happens
    next.
    """
    row.change(RequestState.DISPATCHED)
    row.target = target.name
    row.dispatched = now
    target.running += 1
    target.reserved_tokens += row.reserved_tokens
    target.pending_prefill_tokens += row.prompt_tokens
    target.pending_prefill_requests += 1
    row.held_tokens = row.reserved_tokens
    row.first_token = 0.0
    del tables.waiting[row.request]
    tables.running[row.request] = row
    withdraw_demand(tables, row)
    mark_use_changed(tables, target)
    record_spending(tables, row, issuer, now)
    row.decisions.put(
        Dispatch(
            row.request,
            row.stream,
            target.name,
            target.target.address,
            target.target.generation,
            OWN_SHARE if issuer == NO_ISSUER else str(issuer),
            target.target.release,
        )
    )


def record_spending(
    tables: Tables, row: RequestRow, issuer: Issuer, now: float
) -> None:
    """Record the charge of a request of a workspace with a token quota.

    A workspace has one quota for all pools: each allocator learns what was spent in
    the others once a second, and what hosts spend by themselves at once.
    """
    workspace = tables.config.workspaces.get(row.workspace)
    if not row.charge or workspace is None or not workspace.token_rate:
        return
    tables.spending.record_spending(row.workspace, row.charge, now, issuer)
    if issuer == NO_ISSUER:
        for access in tables.pools.values():
            access.spent_alone = access.dirty = True


def return_request(
    tables: Tables,
    row: RequestRow,
    now: float,
    may_have_run: bool = False,
    avoid: bool = True,
    unreached: bool = False,
) -> None:
    """Queue a dispatched request again.

    The target must not have run the request, or the request must be idempotent.

    Parameters
    ----------
    may_have_run : bool
        Whether the target may have run it.
    avoid : bool
        Whether this host should avoid the target for a while.
    unreached : bool
        Whether there was no connection to the target.

    Raises
    ------
    IllegalTransition
        If the target may have run the request and it is not idempotent.
    """
    if may_have_run and not row.idempotent:
        raise IllegalTransition(f"{row.request} may have run and is not idempotent")
    target = tables.targets.get(row.target)
    _leave_target(tables, row)
    if target:
        target.is_unreached = unreached
    if target and avoid:
        avoid_target(target, now)
    row.change(RequestState.WAITING)
    add_request(tables, row)


def avoid_target(target: TargetRow, now: float) -> None:
    """Avoid a target for a while because it accepted no request."""
    target.avoided_until = now + TARGET_AVOIDANCE_S
    if target.accepts_requests:
        target.accepts_requests = False
        log.info("A target accepts no requests", extra=target.log_fields())


def record_acceptance(target: TargetRow) -> None:
    """Record that a target accepts requests, and log it if it did not before."""
    if not target.accepts_requests:
        target.accepts_requests = True
        log.info("A target answers again", extra=target.log_fields())


def add_request(tables: Tables, row: RequestRow) -> None:
    """Queue a request; it is reported if it is not dispatched in this tick."""
    tables.waiting[row.request] = row
    tables.unreported.append(row.request)
    if not row.queued:
        row.queued = True
        insort(tables.queue, row, key=attrgetter("order"))


def record_first_output(tables: Tables, row: RequestRow) -> None:
    """Record that a target has finished a prefill, and report it to the allocator."""
    target = tables.targets.get(row.target)
    if target and not row.first_token:
        target.is_unreached = False
        target.pending_prefill_tokens -= row.prompt_tokens
        target.pending_prefill_requests -= 1
        access = tables.pool_of.get(row.target)
        if access and row.prompt_tokens:
            access.dirty = True


def grow_request(tables: Tables, row: RequestRow, tokens: int) -> None:
    """Record the output so far, and reserve more tokens if it needs them."""
    row.produced_tokens = tokens
    expected = row.predicted_tokens or row.declared_tokens
    row.predicted_tokens = grow_reservation(expected, tokens, row.declared_tokens)
    if row.predicted_tokens > expected:
        observe_length(tables, row, incomplete=True)
    target = tables.targets.get(row.target)
    if target:
        target.reserved_tokens += row.reserved_tokens - row.held_tokens
    row.held_tokens = row.reserved_tokens


def observe_length(tables: Tables, row: RequestRow, incomplete: bool) -> None:
    """Update the output predictor from a request.

    Parameters
    ----------
    incomplete : bool
        Whether the output is incomplete, so that its length is a lower bound.
    """
    tables.predictor.observe(
        row.workspace, row.service, row.declared_tokens, row.produced_tokens, incomplete
    )


def finish_request(
    tables: Tables, row: RequestRow, state: RequestState, now: float
) -> None:
    """End a dispatched request, and record its completion for the next report."""
    _leave_target(tables, row)
    row.change(state)
    completed = state is RequestState.COMPLETED
    target = tables.targets.get(row.target)
    if completed and target:
        record_acceptance(target)
    if target and state is not RequestState.NOT_RUN:
        target.is_unreached = False
    if row.declared_tokens and row.produced_tokens:
        observe_length(tables, row, incomplete=not completed)
    access = tables.pool_of.get(row.target)
    if not completed or access is None:
        return
    if len(access.completions) < MAX_COMPLETIONS:
        access.completions.append(
            Completion(
                target=row.target,
                workspace=row.workspace,
                service=row.service,
                prompt_tokens=row.prompt_tokens,
                output_tokens=row.produced_tokens,
                first_token_s=max(0.0, row.first_token - row.dispatched),
                total_s=now - row.dispatched,
            )
        )


def refuse_request(tables: Tables, row: RequestRow, refusal: Refusal) -> None:
    """End a waiting request with ``refusal``."""
    del tables.waiting[row.request]
    row.change(refusal.outcome)
    withdraw_demand(tables, row)
    row.decisions.put(refusal)


def refuse_least_important(tables: Tables) -> None:
    """Refuse the most recent of the least important waiting requests.

    Each waiting request occupies a thread of the host. If no thread were free, the
    next request would wait in the server's queue, where its tier is not known yet,
    behind less important requests.
    """
    rows = [row for row in tables.waiting.values() if row.state is RequestState.WAITING]
    if rows:
        last = max(rows, key=lambda row: (row.tier_rank, row.arrived))
        refuse_request(tables, last, refuse(Reason.SHED, NO_THREAD, NO_THREAD_RETRY_S))


def withdraw_demand(tables: Tables, row: RequestRow) -> None:
    """Tell the allocators that list ``row`` that it no longer waits."""
    for access in tables.by_service.get(row.service, ()):
        if access.requested.pop(row.request, None) is not None:
            access.dirty = True


def mark_use_changed(tables: Tables, target: TargetRow) -> None:
    """Report a change of use immediately if the allowance is used up.

    Otherwise the next heartbeat is early enough.
    """
    access = tables.pool_of.get(target.name)
    if access is None:
        return
    allowance = access.allowances.get(target.name)
    if allowance is None or target.running >= allowance.running:
        access.dirty = True


def _leave_target(tables: Tables, row: RequestRow) -> None:
    del tables.running[row.request]
    target = tables.targets.get(row.target)
    if target:
        target.running -= 1
        target.reserved_tokens -= row.held_tokens
        if not row.first_token:
            target.pending_prefill_tokens -= row.prompt_tokens
            target.pending_prefill_requests -= 1
        mark_use_changed(tables, target)
