"""Benchmarks the scheduling decisions under load: ``python -m bench``.

Simulates the same seeded traces under the scheduler's decisions and under naive
dispatch, prints Markdown tables, and draws docs/goodput.png.
"""

import sys
import time
from pathlib import Path

from bench.patterns import (
    LOADS,
    SECONDS,
    USERS,
    Comparison,
    User,
    compare,
    compare_seeds,
    make_patterns,
)
from bench.plot import draw_goodput
from bench.policies import Naive, Scheduled
from bench.queues import Player, Run
from bench.report import (
    TIER_HEAD,
    WASTE_HEAD,
    flood_and_other_shares,
    load_variation,
    ratio,
    requests_over_time,
    table,
    tier_rows,
    waste_row,
)
from bench.runs import SIZES, allocator_rows

PLOT = Path(__file__).parent.parent / "docs" / "goodput.png"


def print_user(user: User) -> None:
    """Print the results of all load patterns of one user."""
    compared = [compare(pattern) for pattern in make_patterns(user)]
    print(f"\n## {user.name}: by tier\n")
    print(
        table(
            TIER_HEAD, [row for comparison in compared for row in tier_rows(comparison)]
        )
    )
    print(f"\n## {user.name}: prefill, in tokens\n")
    print(table(WASTE_HEAD, [waste_row(comparison) for comparison in compared]))
    print(f"\n## {user.name}: shares\n")
    for comparison in compared:
        print_details(comparison)


def print_details(comparison: Comparison) -> None:
    """Print results of some patterns that the tables don't show."""
    name = comparison.pattern.name
    if name == "few callers":
        for policy, run in (("naive", comparison.naive), ("ours", comparison.ours)):
            flood, rest = flood_and_other_shares(run)
            print(
                f"- {name}, {policy}: in time {flood:.1%} of the flood, {rest:.1%} else"
            )
    if name == "retry storm":
        for policy, run in (("naive", comparison.naive), ("ours", comparison.ours)):
            print(f"- {name}, {policy}: {run.first_tries} first tries in time")
    if name == "slow target" or name.startswith("reports"):
        for policy, run in (("naive", comparison.naive), ("ours", comparison.ours)):
            print(
                f"- {name}, {policy}: on the watched target every 4 s"
                f" {requests_over_time(run)}; swing {load_variation(run):.1f}"
            )


def print_goals() -> None:
    """Print the figures for which goals are set, each over several traces."""
    print("\n# Goals: twice the capacity, five traces of each mix\n")
    head = ("mix", "top tier in time", "wasted prefill, naive", "wasted", "ratio")
    rows = []
    for user in USERS:
        runs = compare_seeds(user, 2.0)
        tops = [ours.outcomes[0] for _, ours in runs]
        kept = sum(o.in_time for o in tops) / sum(o.offered for o in tops)
        naive = sum(run.wasted for run, _ in runs)
        ours = sum(run.wasted for _, run in runs)
        inversions = sum(o.inversions for _, r in runs for o in r.outcomes.values())
        cells = (f"{kept:.2%}", f"{naive:.0f}", f"{ours:.0f}", ratio(ours, naive))
        rows.append((user.name, *cells, inversions))
    print(table((*head, "inversions"), rows))


def run_loads(user: User) -> dict[float, tuple[Run, Run]]:
    """Return the runs of the baseline and of the scheduler at each load."""
    runs = {}
    for load in LOADS:
        scenario = user.at_load(load, SECONDS)
        runs[load] = (
            Player(scenario, Naive(user.engines)).play(),
            Player(scenario, Scheduled(user.engines)).play(),
        )
    return runs


def main() -> int:
    """Run all benchmarks of the decisions and return the exit code."""
    start = time.perf_counter()
    print("# One run of the allocator: ms at the median / at the worst\n")
    head = ("case", *(f"{size} waiting" for size in SIZES), "10,000 / 1,000")
    print(table(head, allocator_rows()))
    print_goals()
    for user in USERS:
        print_user(user)
    draw_goodput(USERS, {user.name: run_loads(user) for user in USERS}, PLOT)
    print(f"\nDrew {PLOT.name}; took {time.perf_counter() - start:.0f} s.")
    return 0


if __name__ == "__main__":
    sys.exit(main())
