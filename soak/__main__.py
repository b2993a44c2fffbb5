"""Plays seeds of the soak and prints what each showed."""

import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import defopt

from soak.run import Outcome, Size, play


def main(
    *,
    first: int = -1,
    count: int = 1,
    jobs: int = 1,
    faults: int = 8,
    seconds: float = 12.0,
    hosts: int = 4,
    logs: str = "",
) -> None:
    """Play seeds and exit with 1 if any promise was broken.

    Parameters
    ----------
    first : int
        The first seed; drawn from the time of day if it is left out.
    count : int
        How many seeds, one after the other.
    jobs : int
        How many are played at a time.
    faults : int
        Faults in each.
    seconds : float
        Length of each, without its start and end.
    hosts : int
        Processes of hosts in each.
    logs : str
        Folder for the logs of hosts, one folder in it for each seed.
    """
    begin = int(time.time()) if first < 0 else first
    size = Size(hosts=hosts, faults=faults, seconds=seconds)

    def play_one(seed: int) -> Outcome:
        folder = None
        if logs:
            folder = Path(logs) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        outcome = play(seed, size, folder)
        print_outcome(outcome)
        return outcome

    with ThreadPoolExecutor(jobs) as pool:
        outcomes = list(pool.map(play_one, range(begin, begin + count)))
    broken = [row.seed for row in outcomes if row.broken]
    print(f"{len(outcomes)} seeds, {len(broken)} broken: {broken}", flush=True)
    sys.exit(1 if broken else 0)


def print_outcome(outcome: Outcome) -> None:
    """Print one line for a seed, and one for each promise that it broke."""
    line = f"seed {outcome.seed}: {outcome.calls} calls, {outcome.answered} answered"
    print(f"{line}, {outcome.runs} runs, {len(outcome.broken)} broken", flush=True)
    for text in outcome.broken[:10]:
        print(f"  {text}", flush=True)


if __name__ == "__main__":
    defopt.run(main)
