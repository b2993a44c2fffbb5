"""Rate limits of targets, in the tables of a host.

Pure: times are passed as arguments.
"""

from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.rate_limits import NO_LIMIT
from godwitladder.ids import TargetName
from godwitladder.logs import component_logger
from godwitladder.scheduler.messages import RateLimitStated
from godwitladder.scheduler.rows import Tables
from godwitladder.scheduler.systems import target_log_fields

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
        message.target, message.generation, message.requests_per_s, now
    ):
        return
    if message.requests_per_s == NO_LIMIT:
        log.info("A target's rate limit has ended", extra=target_log_fields(target))
        return
    extra = target_log_fields(target) | {"requests_per_s": message.requests_per_s}
    log.info("A target states a rate limit", extra=extra)


def target_generations(config: ConfigState) -> dict[TargetName, str]:
    """Return the generation of each target in ``config``."""
    return {name: target.generation for name, target in config.targets.items()}
