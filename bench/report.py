"""Formats the results of the benchmark as Markdown tables."""

import statistics
from collections.abc import Iterable, Sequence

from bench.patterns import (
    DISTURBANCE_END_S,
    DISTURBANCE_START_S,
    DISTURBED_TARGET,
    Comparison,
)
from bench.queues import Outcome, Run
from godwitladder.ids import TargetName

TIER_HEAD = (
    "pattern",
    "tier",
    "offered",
    "in time, naive",
    "in time",
    "ratio",
    "shed, naive",
    "shed",
    "cut, naive",
    "cut",
    "inversions, naive",
    "inversions",
    "p50 / p99 s, naive",
    "p50 / p99 s",
)
WASTE_HEAD = (
    "pattern",
    "wasted prefill, naive",
    "wasted prefill",
    "ratio",
    "prefill, naive",
    "prefill",
    "evictions, naive",
    "evictions",
    "output tokens in time, naive",
    "output tokens in time",
)


def table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(map(str, line)) + " |" for line in lines)


def tier_rows(compared: Comparison) -> list[list[object]]:
    """Return one table row for each tier of a pattern."""
    rows = []
    for rank in sorted(compared.naive.outcomes):
        naive = compared.naive.outcomes[rank]
        ours = compared.ours.outcomes[rank]
        rows.append(
            [
                compared.pattern.name,
                rank,
                ours.offered,
                share(naive),
                share(ours),
                ratio(ours.in_time, naive.in_time),
                naive.shed,
                ours.shed,
                naive.timed_out,
                ours.timed_out,
                naive.inversions,
                ours.inversions,
                latencies(naive),
                latencies(ours),
            ]
        )
    return rows


def waste_row(compared: Comparison) -> list[object]:
    """Return the table row of prefill, evictions and output of a pattern, in tokens."""
    naive, ours = compared.naive, compared.ours
    return [
        compared.pattern.name,
        f"{naive.wasted:.0f}",
        f"{ours.wasted:.0f}",
        ratio(ours.wasted, naive.wasted),
        f"{naive.prefilled:.0f}",
        f"{ours.prefilled:.0f}",
        naive.evictions,
        ours.evictions,
        total_tokens(naive),
        total_tokens(ours),
    ]


def share(outcome: Outcome) -> str:
    """Return the share of requests answered in time, as a percentage."""
    return f"{outcome.in_time / max(1, outcome.offered):.1%}"


def ratio(ours: float, naive: float) -> str:
    """Return ``ours`` divided by ``naive``, or a dash if ``naive`` is 0."""
    return f"{ours / naive:.2f}" if naive else "-"


def latencies(outcome: Outcome) -> str:
    """Return the median and the 99th percentile of latency of answers in time."""
    return f"{outcome.latency(0.5):.1f} / {outcome.latency(0.99):.1f}"


def total_tokens(run: Run) -> int:
    """Return the number of output tokens of all answers in time."""
    return sum(outcome.tokens for outcome in run.outcomes.values())


def requests_over_time(run: Run, target: TargetName = DISTURBED_TARGET) -> str:
    """Return the number of requests at one target, every fourth second."""
    counts = [row[target] for row in run.load_samples[::4]]
    return " ".join(
        str(count)
        for count in counts[: int(DISTURBANCE_END_S + DISTURBANCE_START_S) // 4]
    )


def load_variation(run: Run) -> float:
    """Return how much the load of targets varies over time.

    This is the mean, over the targets, of the standard deviation of the number of
    requests at the target, sampled once a second.
    """
    names = run.load_samples[0]
    return statistics.mean(
        statistics.pstdev([row[name] for row in run.load_samples[10:100]])
        for name in names
    )


def flood_and_other_shares(run: Run) -> tuple[float, float]:
    """Return the shares in time of the flooding workspaces and of the others."""
    flood, rest = [0, 0], [0, 0]
    for name, (offered, in_time) in run.workspace_counts.items():
        counts = flood if name.startswith("flood") else rest
        counts[0] += offered
        counts[1] += in_time
    return flood[1] / max(1, flood[0]), rest[1] / max(1, rest[0])
