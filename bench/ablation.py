"""Ablation study of the allocation policy for routed calls.

``python -m bench.ablation`` simulates the same bursts with one mechanism disabled
at a time, and prints the credit earned by all calls and by each kind of call. The
simulation has no host failures, network partitions or crashes, so it doesn't show
the value of a mechanism under those.
"""

import contextlib
from collections.abc import Callable, Iterator
from dataclasses import replace
from unittest.mock import patch

import defopt

from bench.region import MIXES, Load, RegionSimulation, tally
from bench.report import table
from godwitladder.decisions import allocation
from godwitladder.decisions.placing import capacity, speeds
from godwitladder.decisions.placing.precedence import Size
from godwitladder.decisions.prompts.sizes import CallSizes
from godwitladder.decisions.waiting import backlog
from godwitladder.decisions.waiting.returning_callers import RefusedCallers
from godwitladder.decisions.waiting.shedding import refuse_early
from godwitladder.scheduler import role

BASELINE = "nothing"


def with_policy_fields(**fields) -> contextlib.AbstractContextManager:
    """Replace fields of the policy for routed calls."""
    return patch.object(role, "ROUTED", replace(role.ROUTED, **fields))


def without_sizes() -> contextlib.AbstractContextManager:
    """Treat all calls of a rank as calls of usual size."""
    return patch.object(CallSizes, "size", lambda *_: Size.USUAL)


def without_late_precedence() -> contextlib.AbstractContextManager:
    """Keep the precedence of calls that are past their latest start."""
    original = backlog.make_entry

    def make_entry(*args):
        entry = original(*args)
        entry.late_precedence = entry.precedence
        return entry

    return patch.object(backlog, "make_entry", make_entry)


def without_returning_callers() -> contextlib.AbstractContextManager:
    """Treat callers that return after a refusal as new ones."""
    return patch.object(RefusedCallers, "record_refusal", lambda *_: None)


def without_late_refusal() -> contextlib.AbstractContextManager:
    """Refuse late calls of the lowest precedence only, as the strict policy does.

    They are refused by the time that callers wait, not by the time to first output.
    """
    return patch.object(allocation, "refuse_late_starts", refuse_early)


ABLATIONS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    BASELINE: contextlib.nullcontext,
    "parts for ranks and sizes": lambda: with_policy_fields(min_share=1e-9),
    "sizes": without_sizes,
    "late calls last": without_late_precedence,
    "callers known again": without_returning_callers,
    "refusal by the aim": without_late_refusal,
    "keeping pace": lambda: with_policy_fields(enforces_latency=False),
    "bound on unread prompts": lambda: patch.object(
        role, "MAX_PENDING_PREFILL_S", float("inf")
    ),
    "flow": lambda: with_policy_fields(uses_measured_throughput=False),
    "no easing off": lambda: with_policy_fields(throttles_slow_targets=True),
    "quick learning of speeds": lambda: patch.object(speeds, "PRIOR", 1e9),
    "preference of the own zone": lambda: patch.object(capacity, "FAR_FACTOR", 1.0),
    "bound on long calls": lambda: patch.object(capacity, "LONG_SHARE", 1.0),
    "learned speeds": lambda: patch.object(
        speeds.TargetSpeeds, "observe", lambda *_: None
    ),
}


def credit_shares(mix: str, factor: float, seeds: int) -> dict[str, float]:
    """Return the share of the possible credit earned by all calls and by each kind."""
    max_credit: dict[str, float] = {}
    credit: dict[str, float] = {}
    for seed in range(1, seeds + 1):
        load = Load(factor=factor, seed=seed, mix=MIXES[mix])
        for name, row in tally(RegionSimulation(load).play()).items():
            for key in ("all", name):
                max_credit[key] = max_credit.get(key, 0.0) + row.max_credit
                credit[key] = credit.get(key, 0.0) + row.credit
    return {key: credit[key] / max_credit[key] for key in max_credit}


def table_rows(mix: str, factor: float, seeds: int) -> Iterator[tuple[str, ...]]:
    """Yield one table row for each disabled mechanism."""
    baseline: dict[str, float] = {}
    names = ("all", *(kind.name for kind in MIXES[mix].kinds))
    for name, ablation in ABLATIONS.items():
        with ablation():
            measured = credit_shares(mix, factor, seeds)
        baseline = baseline or measured
        cells = (
            f"{measured[key]:.3f} ({measured[key] - baseline[key]:+.3f})"
            for key in names
        )
        yield (name, *cells)


def main(*, mix: str = "quotes", factor: float = 1.2, seeds: int = 5) -> None:
    """Print the credit without each mechanism, and the difference to the baseline.

    Parameters
    ----------
    mix : str
        Mix of calls: letters or quotes.
    factor : float
        Multiple of all arrival rates.
    seeds : int
        Number of seeds, with one burst each.
    """
    head = ("without", "all", *(kind.name for kind in MIXES[mix].kinds))
    print(table(head, list(table_rows(mix, factor, seeds))))


if __name__ == "__main__":
    defopt.run(main)
