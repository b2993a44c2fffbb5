"""Tells when allocators fall silent, and when they answer again.

Pure: times are handed in.
"""

from godwitladder.logs import component_logger
from godwitladder.scheduler.access import PoolAccess
from godwitladder.scheduler.pools import pool_key
from godwitladder.scheduler.rows import Tables

log = component_logger("scheduler")


def note_silence(tables: Tables, now: float) -> None:
    """Log which allocators have fallen silent, and which answer again."""
    for access in tables.pools.values():
        silent = is_silent(access, now)
        if silent and access.silent_since is None:
            access.silent_since = now
            log.info("The allocator is silent", extra=state_of(access))
        elif not silent and access.silent_since is not None:
            silent_s = round(now - access.silent_since, 3)
            access.silent_since = None
            extra = state_of(access) | {"silent_s": silent_s}
            log.info("The allocator answers", extra=extra)


def is_silent(access: PoolAccess, now: float) -> bool:
    """Return whether the allocator that this host asks does not answer."""
    if access.allocator is None:
        return False
    return access.is_unanswered(now) or access.is_cut_off(now)


def state_of(access: PoolAccess) -> dict[str, object]:
    """Return what a log line says of a host's exchange with an allocator."""
    return {
        "pool": pool_key(access.pool.name),
        "allocator": access.allocator,
        "waiting": len(access.asked),
        "sent": access.number,
        "answered": access.echoed,
    }
