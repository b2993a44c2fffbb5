"""What an allocator learns of its targets' speeds from the reports of hosts.

Pure: times are passed as arguments.
"""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from godwitladder.decisions.placing.stated_load import TargetSlowdown
from godwitladder.ids import TargetName
from godwitladder.logs import component_logger
from godwitladder.scheduler.exchange import Completion, ThroughputSample
from godwitladder.scheduler.pools import target_generations

if TYPE_CHECKING:
    from godwitladder.scheduler.role import PoolRole

log = component_logger("scheduler")


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
    role: "PoolRole", reports: Iterable[TargetSlowdown], sent_at: float
) -> None:
    """Record what targets of the pool state, and log when more targets state it."""
    generations = target_generations(role.config.targets)
    reports = [row for row in reports if row.target in role.pool.targets]
    if role.slowdowns.observe_all(reports, generations, sent_at):
        extra = {"pool": str(role.pool.name), "targets": len(role.slowdowns.rows)}
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
