"""Throughput samples of running requests, for reports to allocators.

Completions show that a target is slow only when its requests end, which may be
minutes after it slowed down. A target that has stalled completes nothing at all.

Pure: times are passed as arguments.
"""

from godwitladder.ids import TargetName
from godwitladder.scheduler.access import PoolAccess
from godwitladder.scheduler.exchange import ThroughputSample
from godwitladder.scheduler.rows import RequestRow, Tables

AWAITED_TOKENS = 64
"""Number of output tokens between two progress messages of a running stream."""

MIN_WAIT_S = 1.0
"""Minimum wait that is reported. A shorter one shows nothing about the target, since
a prefill may be queued behind others."""


def record_progress(tables: Tables, row: RequestRow, tokens: int, now: float) -> None:
    """Record that ``row`` has produced ``tokens`` output tokens by ``now``."""
    access = tables.pool_of.get(row.target)
    if access:
        prompt = 0 if row.first_token else row.prompt_tokens
        since = row.last_output_at if row.first_token else row.dispatched
        new = tokens - row.produced_tokens
        merge_sample(access, ThroughputSample(row.target, prompt, new, now - since))
    row.first_token = row.first_token or now
    row.last_output_at = now


def merge_sample(access: PoolAccess, sample: ThroughputSample) -> None:
    """Merge ``sample`` into the samples for the next report.

    Samples with a prefill are summed. Of the others, the fastest is kept: a stream
    is slow if its target is slow, but also if its caller reads slowly, and one such
    caller must not reduce the slots of all others.
    """
    key = sample.target, sample.prompt_tokens > 0
    held = access.throughput_samples.get(key)
    if held and sample.prompt_tokens:
        sample = add_samples(held, sample)
    elif held and is_faster(held, sample):
        sample = held
    access.throughput_samples[key] = sample


def is_faster(one: ThroughputSample, other: ThroughputSample) -> bool:
    """Return whether ``one`` has a higher output rate than ``other``."""
    return one.output_tokens * other.taken_s > other.output_tokens * one.taken_s


def take_samples(
    tables: Tables, access: PoolAccess, now: float
) -> tuple[ThroughputSample, ...]:
    """Return the samples for the next report, and clear them."""
    finished, access.throughput_samples = access.throughput_samples, {}
    waited: dict[TargetName, ThroughputSample] = {}
    for row in tables.running.values():
        if row.target not in access.pool.targets or not row.declared_tokens:
            continue
        sample = make_pending_sample(row, now)
        # The shortest wait counts, for the same reason as in `merge_sample`.
        held = waited.get(row.target)
        if held is None or sample.taken_s < held.taken_s:
            waited[row.target] = sample
    waited = {name: row for name, row in waited.items() if row.taken_s >= MIN_WAIT_S}
    return (*finished.values(), *waited.values())


def make_pending_sample(row: RequestRow, now: float) -> ThroughputSample:
    """Return a sample of the output that ``row`` is waiting for."""
    if not row.first_token:
        taken_s = now - row.dispatched
        return ThroughputSample(
            row.target, row.prompt_tokens, 1, taken_s, in_progress=True
        )
    return ThroughputSample(
        row.target, 0, AWAITED_TOKENS, now - row.last_output_at, in_progress=True
    )


def add_samples(one: ThroughputSample, other: ThroughputSample) -> ThroughputSample:
    """Return the sum of two samples."""
    return ThroughputSample(
        one.target,
        one.prompt_tokens + other.prompt_tokens,
        one.output_tokens + other.output_tokens,
        one.taken_s + other.taken_s,
        one.in_progress,
    )
