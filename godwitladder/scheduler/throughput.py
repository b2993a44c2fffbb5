"""How fast targets work while requests run, for the allocator to see.

Completions alone show a slow target only when its requests end, which may be
minutes after it slowed down, and a target that stands still completes nothing.

Pure: times are handed in.
"""

from godwitladder.ids import TargetName
from godwitladder.scheduler.access import PoolAccess
from godwitladder.scheduler.exchange import ThroughputSample
from godwitladder.scheduler.rows import RequestRow, Tables

AWAITED_TOKENS = 64
"""Output that a running stream reports at once; the next report is due after
so many tokens."""

OPEN_S = 1.0
"""Waits shorter than this say nothing: a prefill may stand behind others."""


def record_progress(tables: Tables, row: RequestRow, tokens: int, now: float) -> None:
    """Take in that ``row`` has produced ``tokens`` by ``now``."""
    access = tables.pool_of.get(row.target)
    if access:
        prompt = 0 if row.first_token else row.prompt_tokens
        since = row.progressed if row.first_token else row.dispatched
        new = tokens - row.produced_tokens
        keep(access, ThroughputSample(row.target, prompt, new, now - since))
    row.first_token = row.first_token or now
    row.progressed = now


def keep(access: PoolAccess, done: ThroughputSample) -> None:
    """Keep what the next report is to tell of ``done``.

    First tokens are added up. Of running streams the fastest is kept: each is
    slow when its target is, but also when its own caller reads slowly, and
    one such caller must not take slots from all others.
    """
    key = done.target, done.prompt_tokens > 0
    held = access.throughput_samples.get(key)
    if held and done.prompt_tokens:
        done = join(held, done)
    elif held and is_faster(held, done):
        done = held
    access.throughput_samples[key] = done


def is_faster(one: ThroughputSample, other: ThroughputSample) -> bool:
    """Return whether ``one`` made more output in a second than ``other``."""
    return one.output_tokens * other.taken_s > other.output_tokens * one.taken_s


def take_stretches(
    tables: Tables, access: PoolAccess, now: float
) -> tuple[ThroughputSample, ...]:
    """Return what to report, and start anew."""
    done, access.throughput_samples = access.throughput_samples, {}
    waited: dict[TargetName, ThroughputSample] = {}
    for row in tables.running.values():
        if row.target not in access.pool.targets or not row.declared_tokens:
            continue
        stretch = awaited(row, now)
        # The shortest wait of all, for the same reason as in `keep`.
        held = waited.get(row.target)
        if held is None or stretch.taken_s < held.taken_s:
            waited[row.target] = stretch
    waited = {name: row for name, row in waited.items() if row.taken_s >= OPEN_S}
    return (*done.values(), *waited.values())


def awaited(row: RequestRow, now: float) -> ThroughputSample:
    """Return what ``row`` is waiting for."""
    if not row.first_token:
        taken_s = now - row.dispatched
        return ThroughputSample(
            row.target, row.prompt_tokens, 1, taken_s, in_progress=True
        )
    return ThroughputSample(
        row.target, 0, AWAITED_TOKENS, now - row.progressed, in_progress=True
    )


def join(one: ThroughputSample, other: ThroughputSample) -> ThroughputSample:
    """Return both as one."""
    return ThroughputSample(
        one.target,
        one.prompt_tokens + other.prompt_tokens,
        one.output_tokens + other.output_tokens,
        one.taken_s + other.taken_s,
        one.in_progress,
    )
