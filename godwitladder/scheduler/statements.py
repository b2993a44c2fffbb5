"""What targets state about themselves, in the tables of a host.

Pure: times are passed as arguments.
"""

from godwitladder.decisions.limits.rate_limits import NO_LIMIT
from godwitladder.decisions.placing.stated_load import TRUST_S, TargetSlowdown
from godwitladder.ids import ServiceName, TargetName
from godwitladder.logs import component_logger
from godwitladder.scheduler.access import PoolAccess
from godwitladder.scheduler.messages import (
    BrittlenessStated,
    CooldownStated,
    LeavingStated,
    RateLimitStated,
    SlowdownStated,
)
from godwitladder.scheduler.pools import target_generations
from godwitladder.scheduler.rows import Tables, TargetRow

log = component_logger("scheduler")

Statement = (
    LeavingStated
    | RateLimitStated
    | CooldownStated
    | BrittlenessStated
    | SlowdownStated
)


def forget_ended_processes(tables: Tables, now: float) -> None:
    """Forget what targets have stated whose processes have ended."""
    generations = target_generations(tables.config.targets)
    for table in (tables.rate_limits, tables.departures, tables.cooldowns):
        table.keep_generations(generations, now)
    tables.brittle.retain(generations)


def is_current(tables: Tables, message: Statement) -> bool:
    """Return whether a statement is of the present process of its target.

    An answer to a request that was dispatched to an earlier process says nothing about
    the present one. A target without an entry may still run and get its entry back, so
    what it states is kept.
    """
    target = tables.targets.get(message.target)
    return target is None or target.target.generation == message.generation


def take_rate_limit(tables: Tables, message: RateLimitStated, now: float) -> None:
    """Record a rate limit, and log it if it is new."""
    if not is_current(tables, message) or not tables.rate_limits.observe(
        message.target, message.generation, message.requests_per_s, now, now
    ):
        return
    report_soon(tables, message.target)
    if message.requests_per_s == NO_LIMIT:
        extra = {"target": message.target}
        log.info("A target's rate limit has ended", extra=extra)
        return
    extra = {"target": message.target, "requests_per_s": message.requests_per_s}
    log.info("A target states a rate limit", extra=extra)


def take_leaving(tables: Tables, message: LeavingStated, now: float) -> None:
    """Record that a target leaves, and log it if it is new."""
    if not is_current(tables, message) or not tables.departures.observe(
        message.target, message.generation, now
    ):
        return
    report_soon(tables, message.target)
    extra = {"target": message.target}
    log.info("A target states that it is leaving", extra=extra)


def take_cooldown(tables: Tables, message: CooldownStated, now: float) -> None:
    """Record the cooldown of a target, and log it if it is new."""
    if not is_current(tables, message) or not tables.cooldowns.observe(
        message.target, message.generation, message.cooldown_s, now
    ):
        return
    report_soon(tables, message.target)
    extra = {"target": message.target, "cooldown_s": message.cooldown_s}
    log.info("A target has requested a cooldown", extra=extra)


def take_brittleness(tables: Tables, message: BrittlenessStated, now: float) -> None:
    """Record that a target is brittle, and report a refusal at once."""
    if not is_current(tables, message):
        return
    extra = {"target": message.target, "refusals_per_s": message.max_refusals_per_s}
    if tables.brittle.observe(message.target, now):
        log.info("A target states that it is brittle", extra=extra)
    access = tables.pool_of.get(message.target)
    if message.refused and access is not None:
        log.info("A brittle target has refused a request", extra=extra)
        access.brittle_refusals.add(message.target)
        access.dirty = True


def take_slowdown(tables: Tables, message: SlowdownStated) -> None:
    """Keep a slowdown for the next report, which it doesn't cause."""
    access = tables.pool_of.get(message.target)
    if access is not None and is_current(tables, message):
        access.slowdowns[message.target] = message


def report_slowdowns(access: PoolAccess, now: float) -> tuple[TargetSlowdown, ...]:
    """Return the slowdowns that targets have stated since the last report."""
    if not access.slowdowns:
        return ()
    stated, access.slowdowns = access.slowdowns, {}
    return tuple(
        TargetSlowdown(row.target, row.generation, row.slowdown, now - row.stated_at)
        for row in stated.values()
        if now - row.stated_at < TRUST_S
    )


def report_soon(tables: Tables, target: TargetName) -> None:
    """Include what a target has stated in the next report, which is sent at once."""
    access = tables.pool_of.get(target)
    if access is not None:
        access.changed_targets.add(target)
        access.dirty = True


def may_send_within_limit(tables: Tables, target: TargetRow, now: float) -> bool:
    """Return whether a target's rate limit allows a request without a grant.

    Requests with a grant are counted by the allocator that grants them.
    """
    limits = tables.rate_limits
    if target.name not in limits.limited:
        return True
    hosts = tables.seen_hosts.recent(now) | {tables.host}
    share = limits.fallback_share(target.name, tables.host, hosts)
    return limits.wait_s(target.name, now, share) == 0


def is_rate_limited(tables: Tables, service: ServiceName) -> bool:
    """Return whether all targets of a service have a rate limit now."""
    targets = service_targets(tables, service)
    return bool(targets) and tables.rate_limits.limited.issuperset(
        target.name for target in targets
    )


def is_cooling_down(tables: Tables, service: ServiceName, now: float) -> bool:
    """Return whether all targets of a service want no requests from this host now."""
    targets = service_targets(tables, service)
    return bool(targets) and all(
        tables.cooldowns.remaining_s(target.name, target.target.generation, now) > 0
        for target in targets
    )


def service_targets(tables: Tables, service: ServiceName) -> list[TargetRow]:
    """Return the targets of a service in all pools."""
    return [
        tables.targets[name]
        for access in tables.by_service.get(service, ())
        for name in access.pool.targets
        if service in tables.targets[name].target.services
    ]
