"""Rate limits of targets, in the tables of a host.

Pure: times are passed as arguments.
"""

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
