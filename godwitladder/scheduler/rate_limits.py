"""Rate limits of targets, in the tables of a host.

Pure: times are passed as arguments.
"""

from godwitladder.ids import ServiceName
from godwitladder.scheduler.rows import Tables, TargetRow


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
