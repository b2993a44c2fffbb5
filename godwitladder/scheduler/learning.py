"""What an allocator learns of its targets' speeds from the reports of hosts.

Updates the learned speeds of a `PoolRole`; reads no clock.
"""

import heapq
from collections.abc import Iterable
from operator import itemgetter
from typing import TYPE_CHECKING

from godwitladder.decisions.placing.stated_load import TargetSlowdown
from godwitladder.ids import TargetName
from godwitladder.logs import component_logger
from godwitladder.scheduler.exchange import Completion, ThroughputSample

if TYPE_CHECKING:
    from godwitladder.scheduler.role import PoolRole

log = component_logger("allocator")

LOG_INTERVAL_S = 10.0
"""Minimum time between two log lines on the slowdowns of a pool's targets."""
MAX_LOGGED_TARGETS = 5


def observe_throughput(role: "PoolRole", sample: ThroughputSample, now: float) -> None:
    """Update the throttle of a target by a throughput sample."""
    if not role.speeds.is_calibrated(sample.target):
        return
    expected_s = role.speeds.expected_s(
        sample.target, sample.prompt_tokens, sample.output_tokens
    )
    if not sample.in_progress or sample.taken_s > expected_s:
        role.throttles.observe(sample.target, expected_s, sample.taken_s, now)


def observe_completion(role: "PoolRole", row: Completion) -> None:
    """Update the learned speed of a target by a completed request."""
    if row.target not in role.speeds.learned:
        return
    prompt, output = row.prompt_tokens, row.output_tokens
    if prompt and not row.first_token_s:
        output = 0
    role.speeds.observe(row.target, prompt, output, row.first_token_s, row.total_s)


def observe_slowdowns(
    role: "PoolRole", reports: Iterable[TargetSlowdown], sent_at: float, now: float
) -> None:
    """Record what targets of the pool state, and log the effect now and then."""
    # Many reports list a few targets each, of all that the configuration has.
    generations = {
        row.target: role.config.targets[row.target].generation
        for row in reports
        if row.target in role.pool.targets
    }
    slowdowns = role.slowdowns
    slowdowns.observe_all(reports, generations, sent_at)
    if slowdowns.rows and now - slowdowns.logged_at >= LOG_INTERVAL_S:
        slowdowns.logged_at = now
        factors = {
            name: round(present_factor(role, name, now), 2) for name in slowdowns.rows
        }
        slowest = heapq.nlargest(MAX_LOGGED_TARGETS, factors.items(), itemgetter(1))
        extra = {
            "pool": str(role.pool.name),
            "targets": len(factors),
            "factors": dict(slowest),
            "age_s": round(
                now - max(row.stated_at for row in slowdowns.rows.values()), 3
            ),
        }
        log.info("Targets state how long work takes on them", extra=extra)


def present_factor(role: "PoolRole", target: TargetName, now: float) -> float:
    """Return the present time of a prompt as a multiple of the learned time."""
    generation = role.config.targets[target].generation
    return role.slowdowns.factor(target, generation, now)


def present_prefill_cost(
    role: "PoolRole", target: TargetName, now: float
) -> tuple[float, float]:
    """Return the cost of a prefill as `TargetSpeeds.prefill_cost`, as of ``now``."""
    fixed_s, token_s = role.speeds.prefill_cost(target)
    factor = present_factor(role, target, now)
    return fixed_s * factor, token_s * factor
