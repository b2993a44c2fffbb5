"""Logs when allocators stop answering and when they answer again.

Times are passed as arguments.
"""

from godwitladder.logs import component_logger
from godwitladder.scheduler.access import PoolAccess
from godwitladder.scheduler.pools import pool_key
from godwitladder.scheduler.rows import Tables

log = component_logger("scheduler")


def log_silence(tables: Tables, now: float) -> None:
    """Log which allocators have stopped answering and which answer again."""
    for access in tables.pools.values():
        silent = is_silent(access, now)
        if silent and access.silent_since is None:
            access.silent_since = now
            log.info("The allocator is silent", extra=exchange_log_fields(access))
        elif not silent and access.silent_since is not None:
            silent_s = round(now - access.silent_since, 3)
            access.silent_since = None
            extra = exchange_log_fields(access) | {
                "silent_s": silent_s,
                "own_tokens": access.own_tokens,
            }
            access.own_tokens = 0
            log.info("The allocator answers again", extra=extra)


def is_silent(access: PoolAccess, now: float) -> bool:
    """Return whether the allocator that this host reports to doesn't answer."""
    if access.allocator is None:
        return False
    return access.is_answer_overdue(now) or access.is_cut_off(now)


def exchange_log_fields(access: PoolAccess) -> dict[str, object]:
    """Return the log fields that describe the exchange with an allocator."""
    return {
        "pool": pool_key(access.pool.name),
        "allocator": access.allocator,
        "waiting": len(access.requested),
        "sent": access.last_report,
        "answered": access.acked_report,
    }
