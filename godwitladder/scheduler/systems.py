"""Systems that run over a host's tables on each tick.

Each takes the tables and the time and changes rows; what is to be told to
callers goes into the rows' own queues, so that the systems touch no network.
"""

from bisect import insort
from operator import attrgetter

from godwitladder.configuration.model import TargetState
from godwitladder.decisions.prediction import grow_reservation
from godwitladder.decisions.standing import fixed_share
from godwitladder.decisions.types import TargetView
from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.scheduler.access import GrantFate, PoolAccess
from godwitladder.scheduler.exchange import Completion
from godwitladder.scheduler.rows import (
    Dispatch,
    IllegalTransition,
    RequestRow,
    Tables,
    TargetRow,
)
from godwitladder.scheduler.silence import note_silence

log = component_logger("scheduler")

AVOID_S = 1.0
KEPT_COMPLETIONS = 64
SPARE_ROWS = 32
ROOM_RETRY_S = 1.0
EXPIRED_RETRY_S = 1.0
GRANT_WAY_S = 0.25
GRANT_WAY_SHARE = 0.1
"""For so long, and no more than this part of the rest of its time, a call waits for
a grant that may have been given in the last moment."""
OVER_QUOTA = "The workspace has had its tokens for now."
NO_ROOM = "This host has no room for more requests that wait."


def run_systems(tables: Tables, now: float) -> None:
    """Run every system once, in order."""
    expire_requests(tables, now)
    note_silence(tables, now)
    lapse_grants(tables, now)
    use_grants(tables, now)
    place_requests(tables, now)


def expire_requests(tables: Tables, now: float) -> None:
    """Refuse what can no longer be answered in time.

    The allocator does so too, but one that is far behind would leave callers
    without an answer until they have no time left to turn elsewhere.
    """
    for row in list(tables.waiting.values()):
        if is_too_late(row, now) and row.state is RequestState.WAITING:
            detail = "No target was free in time."
            refusal = refuse(Reason.DEADLINE, detail, EXPIRED_RETRY_S)
            refuse_request(tables, row, refusal)


def is_too_late(row: RequestRow, now: float) -> bool:
    """Return whether ``row`` is of no use any more, and no grant on its way."""
    if row.start_by >= row.deadline:
        return now >= row.deadline
    rest_s = row.deadline - row.start_by
    return now >= row.start_by + min(GRANT_WAY_S, rest_s * GRANT_WAY_SHARE)


def lapse_grants(tables: Tables, now: float) -> None:
    """Drop grants and allowances that may no longer be used."""
    for access in tables.pools.values():
        access.lapse(now)


def use_grants(tables: Tables, now: float) -> None:
    """Dispatch the requests that grants were given for.

    A grant whose request is gone is dropped, and the report that follows
    gives it back; one whose request is about to go is kept until it lapses.
    """
    for access in tables.pools.values():
        for request, held in list(access.grants.items()):
            row = tables.waiting.get(request)
            if row and row.state is not RequestState.WAITING:
                continue
            del access.grants[request]
            access.dirty = True
            target = tables.targets.get(held.grant.target)
            used = row and target and usable(tables, target, row, now)
            access.fates[GrantFate.USED if used else GrantFate.GIVEN_BACK] += 1
            if used:
                dispatch_request(tables, row, target, now)


def place_requests(tables: Tables, now: float) -> None:
    """Dispatch waiting requests within allowances, the lowest rank first."""
    services = {row.service for row in tables.waiting.values()}
    open_services = {name for name in services if has_room(tables, name, now)}
    if not open_services:
        return
    for row in waiting_order(tables):
        if row.service not in open_services or row.state is not RequestState.WAITING:
            continue
        target = choose_target(tables, row, now)
        if target and not within_quota(tables, row, now):
            continue
        if target:
            dispatch_request(tables, row, target, now)
            open_services = {
                name for name in open_services if has_room(tables, name, now)
            }


def waiting_order(tables: Tables) -> list[RequestRow]:
    """Return the waiting requests, the most urgent first.

    The list is kept in order as requests come, and may still hold some that
    have gone: what reads it looks at their state.
    """
    if len(tables.queue) > 2 * len(tables.waiting) + SPARE_ROWS:
        for row in tables.queue:
            row.queued = row.request in tables.waiting
        tables.queue = [row for row in tables.queue if row.queued]
    return tables.queue


def has_room(tables: Tables, service: str, now: float) -> bool:
    """Return whether this host may dispatch any request of ``service`` now."""
    return any(
        may_add(tables, access, tables.targets[name], 0, now)
        for access in tables.by_service.get(service, ())
        if may_use_unasked(tables, access, now)
        for name in access.pool.targets
    )


def may_use_unasked(tables: Tables, access: PoolAccess, now: float) -> bool:
    """Return whether this host may use any target of a pool without a grant."""
    if access.allowances or access.is_cut_off(now):
        return True
    return is_left_alone(tables, access, now)


def choose_target(tables: Tables, row: RequestRow, now: float) -> TargetRow | None:
    """Return the least used target that this host may use unasked, if any.

    A workspace with a quota always asks: only the allocator sees how much of
    it runs on other hosts.
    """
    workspace = tables.config.workspaces.get(row.workspace)
    bounded = workspace is not None and (workspace.quota or workspace.token_rate)
    candidates = [
        tables.targets[name]
        for access in tables.by_service.get(row.service, ())
        if not bounded or access.is_cut_off(now) or is_left_alone(tables, access, now)
        for name in access.pool.targets
        if may_add(tables, access, tables.targets[name], row.reserved_tokens, now)
        and usable(tables, tables.targets[name], row, now)
    ]
    return min(
        candidates,
        key=lambda target: (target.running / target.target.slots, target.name),
        default=None,
    )


def within_quota(tables: Tables, row: RequestRow, now: float) -> bool:
    """Count ``row`` in its workspace's tokens, or refuse it.

    Only a host without an allocator gets here with a workspace that has a
    bound. It has a book of its own, with its part of the whole: without one,
    each host that is cut off would let a workspace have all it asks for.
    """
    book = tables.quotas
    book.share = 1.0 / tables.seen.count_recent(now)
    book.discard_stale_bucket(
        row.workspace, tables.by_service[row.service][0].answered_at
    )
    wait_s = book.wait_s(row.workspace, row.charge, now)
    if wait_s > 0:
        refuse_request(tables, row, refuse(Reason.QUOTA, OVER_QUOTA, wait_s))
        return False
    book.take(row.workspace, row.charge, now)
    return True


def usable(tables: Tables, target: TargetRow, row: RequestRow, now: float) -> bool:
    """Return whether ``target`` may be sent ``row`` by any grant at all.

    The allocator gives nothing on a target that is leaving, but grants that
    it gave before it had the news are still out: without this second check
    they would bring the target new work until they lapse or are renewed.
    """
    return (
        row.service in target.target.services
        and target.target.state is TargetState.ACTIVE
        and target.target.address not in tables.leaving
        and target.avoided_until <= now
    )


def may_add(
    tables: Tables, access: PoolAccess, target: TargetRow, tokens: int, now: float
) -> bool:
    """Return whether an allowance or the fixed share leaves room for one more."""
    allowance = access.allowances.get(target.name)
    if allowance and target.running < allowance.running:
        held = target.reserved_tokens + tokens
        return held <= allowance.tokens or not target.target.memory_tokens
    if not access.is_cut_off(now) and not may_help_itself(tables, access, target, now):
        return False
    hosts = sharing(tables, access)
    if not hosts:
        return False
    return target.running < fixed_share(plain_view(target), tables.host, hosts)


def may_help_itself(
    tables: Tables, access: PoolAccess, target: TargetRow, now: float
) -> bool:
    """Return whether a host may use ``target`` while its allocator is silent.

    Only targets of its own availability zone: of the others it can't tell whether
    they are beyond the same cut.
    """
    near = target.target.place == tables.availability_zone
    return near and is_left_alone(tables, access, now)


def is_left_alone(tables: Tables, access: PoolAccess, now: float) -> bool:
    """Return whether the allocator of this host's zone is silent for a moment."""
    return tables.early_fallback and access.is_local and access.is_unanswered(now)


def sharing(tables: Tables, access: PoolAccess) -> tuple[HostId, ...]:
    """Return the hosts among which a pool without an allocator is shared.

    A pool of another zone is used unasked only where this zone has none of
    its own and no host of the other zone is in sight.
    """
    if access.is_local:
        return tables.hosts or (tables.host,)
    if tables.linked.get(access.pool.name.zone):
        return ()
    if any(tables.by_service[name][0].is_local for name in access.pool.services):
        return ()
    others = [host for hosts in tables.linked.values() for host in hosts]
    return tuple({tables.host, *tables.hosts, *others})


def plain_view(target: TargetRow) -> TargetView:
    """Return a target as its configuration states it."""
    stated = target.target
    return TargetView(
        name=target.name,
        services=frozenset(stated.services),
        slots=stated.slots,
        memory_tokens=stated.memory_tokens,
        prefill_tps=stated.prefill_tps,
        decode_tps=stated.decode_tps,
        limit=stated.slots,
    )


def dispatch_request(
    tables: Tables, row: RequestRow, target: TargetRow, now: float
) -> None:
    """Give leave to write ``row`` to ``target``: the one place that does.

    The state changes before anything is written, so that whatever happens
    next, the request can't be dispatched a second time.
    """
    row.change(RequestState.DISPATCHED)
    row.target = target.name
    row.dispatched = now
    target.running += 1
    target.reserved_tokens += row.reserved_tokens
    target.unread_tokens += row.prompt_tokens
    target.unread_requests += 1
    row.held_tokens = row.reserved_tokens
    row.first_token = 0.0
    del tables.waiting[row.request]
    tables.running[row.request] = row
    note_answered(tables, row)
    note_use(tables, target)
    access = tables.pool_of.get(target.name)
    if access and row.charge:
        access.history.note(row.workspace, row.charge, now)
    row.decisions.put(
        Dispatch(row.request, row.stream, target.name, target.target.address)
    )


def return_request(
    tables: Tables,
    row: RequestRow,
    now: float,
    repeat: bool = False,
    avoid: bool = True,
) -> None:
    """Let a request wait again that its target did not run, or may run twice.

    Parameters
    ----------
    repeat : bool
        Whether the target may have run it.
    avoid : bool
        Whether this host leaves the target alone for a moment.
    """
    if repeat and not row.idempotent:
        raise IllegalTransition(f"{row.request} may have run and is not idempotent")
    target = tables.targets.get(row.target)
    _leave_target(tables, row)
    if target and avoid:
        leave_alone(target, now)
    row.change(RequestState.WAITING)
    add_request(tables, row)


def leave_alone(target: TargetRow, now: float) -> None:
    """Send nothing to a target for a moment: it took no request."""
    target.avoided_until = now + AVOID_S
    if target.answers:
        target.answers = False
        log.info("A target takes no requests", extra=names_of(target))


def note_answer(target: TargetRow) -> None:
    """Take in that a target answers, again if it took nothing before."""
    if not target.answers:
        target.answers = True
        log.info("A target answers again", extra=names_of(target))


def names_of(target: TargetRow) -> dict[str, str]:
    """Return what a log line says of which target it is about."""
    return {"target": target.name, "address": target.target.address}


def add_request(tables: Tables, row: RequestRow) -> None:
    """Let a request wait; if it still does after this tick, it is reported."""
    tables.waiting[row.request] = row
    tables.fresh.append(row.request)
    if not row.queued:
        row.queued = True
        insort(tables.queue, row, key=attrgetter("order"))


def record_first_output(tables: Tables, row: RequestRow) -> None:
    """Take in that a target has read a prompt, which the allocator waits for."""
    target = tables.targets.get(row.target)
    if target and not row.first_token:
        target.unread_tokens -= row.prompt_tokens
        target.unread_requests -= 1
        access = tables.pool_of.get(row.target)
        if access and row.prompt_tokens:
            access.dirty = True


def grow_request(tables: Tables, row: RequestRow, tokens: int) -> None:
    """Take in the output so far, and hold more memory if it needs more."""
    row.produced_tokens = tokens
    expected = row.predicted_tokens or row.declared_tokens
    row.predicted_tokens = grow_reservation(expected, tokens, row.declared_tokens)
    if row.predicted_tokens > expected:
        learn_length(tables, row, cut=True)
    target = tables.targets.get(row.target)
    if target:
        target.reserved_tokens += row.reserved_tokens - row.held_tokens
    row.held_tokens = row.reserved_tokens


def learn_length(tables: Tables, row: RequestRow, cut: bool) -> None:
    """Learn from the output of a request; ``cut`` if there is more to it."""
    tables.predictor.observe(
        row.workspace, row.service, row.declared_tokens, row.produced_tokens, cut
    )


def finish_request(
    tables: Tables, row: RequestRow, state: RequestState, now: float
) -> None:
    """End a dispatched request, and learn from one that was completed."""
    _leave_target(tables, row)
    row.change(state)
    completed = state is RequestState.COMPLETED
    target = tables.targets.get(row.target)
    if completed and target:
        note_answer(target)
    if row.declared_tokens and row.produced_tokens:
        learn_length(tables, row, cut=not completed)
    access = tables.pool_of.get(row.target)
    if not completed or access is None:
        return
    if len(access.completions) < KEPT_COMPLETIONS:
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
    """End a waiting request with ``refusal``, at once."""
    del tables.waiting[row.request]
    row.change(refusal.outcome)
    note_answered(tables, row)
    row.decisions.put(refusal)


def refuse_least_important(tables: Tables) -> None:
    """Refuse the last of the least important requests that wait.

    A request that waits holds one of its host's threads. Were the next one left
    without any, it would wait in the server's queue before its tier is known,
    behind all that matters less.
    """
    rows = [row for row in tables.waiting.values() if row.state is RequestState.WAITING]
    if rows:
        last = max(rows, key=lambda row: (row.tier_rank, row.arrived))
        refuse_request(tables, last, refuse(Reason.SHED, NO_ROOM, ROOM_RETRY_S))


def note_answered(tables: Tables, row: RequestRow) -> None:
    """Let the allocators that were asked for ``row`` know that it is answered."""
    for access in tables.by_service.get(row.service, ()):
        if access.asked.pop(row.request, None) is not None:
            access.dirty = True


def note_use(tables: Tables, target: TargetRow) -> None:
    """Report at once where no allowance is left over; else a heartbeat will do."""
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
            target.unread_tokens -= row.prompt_tokens
            target.unread_requests -= 1
        note_use(tables, target)
