"""Command line of the soak test: run seeds and print the outcome of each."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import defopt

from soak.run import Outcome, RunSize, run_seed


def main(
    *,
    first: int = -1,
    count: int = 1,
    jobs: int = 1,
    faults: int = 8,
    statements: int = 3,
    cuts: int = 0,
    copies: int = 0,
    endless: int = 0,
    seconds: float = 12.0,
    hosts: int = 4,
    logs: str = "",
) -> None:
    """Run seeds, and exit with status 1 if any guarantee was violated.

    Parameters
    ----------
    first : int
        First seed; the current Unix time if omitted.
    count : int
        Number of consecutive seeds.
    jobs : int
        Number of seeds that run concurrently.
    faults : int
        Number of faults per seed.
    statements : int
        How often targets state something about themselves, per seed.
    cuts : int
        How often a host loses its paths to all targets, per seed.
    copies : int
        How often the store comes back from a copy of some seconds ago, per seed.
    endless : int
        How often a target answers without end, per seed.
    seconds : float
        Duration of each run in seconds, without startup and final checks.
    hosts : int
        Number of host processes per run.
    logs : str
        Directory for the logs of the hosts, with one subdirectory per seed.
    """
    first_seed = int(time.time()) if first < 0 else first
    size = RunSize(
        hosts=hosts,
        faults=faults,
        statements=statements,
        cuts=cuts,
        copies=copies,
        endless=endless,
        seconds=seconds,
    )

    def run_one_seed(seed: int) -> Outcome:
        folder = None
        if logs:
            folder = Path(logs) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        outcome = run_seed(seed, size, folder)
        print_outcome(outcome)
        return outcome

    with ThreadPoolExecutor(jobs) as pool:
        outcomes = list(pool.map(run_one_seed, range(first_seed, first_seed + count)))
    failed_seeds = [row.seed for row in outcomes if row.violations]
    print(
        f"{len(outcomes)} seeds, {len(failed_seeds)} broken: {failed_seeds}", flush=True
    )
    sys.exit(1 if failed_seeds else 0)


def print_outcome(outcome: Outcome) -> None:
    """Print a summary line, and a line for each of the first ten violations."""
    line = f"seed {outcome.seed}: {outcome.calls} calls, {outcome.answered} answered"
    print(f"{line}, {outcome.runs} runs, {len(outcome.violations)} broken", flush=True)
    for text in outcome.violations[:10]:
        print(f"  {text}", flush=True)


if __name__ == "__main__":
    defopt.run(main)
