"""Rate limits of targets, in the tables of a host.

Pure: times are passed as arguments.
"""

from godwitladder.decisions.rate_limits import NO_LIMIT
from godwitladder.ids import ServiceName
from godwitladder.logs import component_logger
from godwitladder.scheduler.messages import RateLimitStated
from godwitladder.scheduler.rows import Tables, TargetRow

log = component_logger("scheduler")


def take_rate_limit(tables: Tables, message: RateLimitStated, now: float) -> None:
    """Record what a target's answer states, and log it if it is new.

    An answer to a request that was dispatched to an earlier process of the target
    says nothing about the present one.
    """
    target = tables.targets.get(message.target)
    if target is None or target.target.generation != message.generation:
        return
    if not tables.rate_limits.observe(
        message.target, message.generation, message.requests_per_s, now, now
    ):
        return
    access = tables.pool_of.get(message.target)
    if access is not None:
        access.changed_limits.add(message.target)
        access.dirty = True
    if message.requests_per_s == NO_LIMIT:
        log.info("A target's rate limit has ended", extra=target.log_fields())
        return
    extra = target.log_fields() | {"requests_per_s": message.requests_per_s}
    log.info("A target states a rate limit", extra=extra)


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
    names = [
        name
        for access in tables.by_service.get(service, ())
        for name in access.pool.targets
        if service in tables.targets[name].target.services
    ]
    return bool(names) and tables.rate_limits.limited.issuperset(names)
