"""Measures what the statements of targets cost between hosts and their allocator.

``python -m bench.statements`` prints the size of a report by the number of targets
that state something, and the time and traffic of an allocator that takes a full report
of each host once a second.
"""

import time
from dataclasses import replace

from bench.processes import print_table
from godwitladder.decisions.health.departures import Departure
from godwitladder.decisions.limits.cooldowns import RemainingCooldown
from godwitladder.decisions.limits.rate_limits import RateLimits, StatedLimit
from godwitladder.decisions.types import PoolName
from godwitladder.membership.codec import encode
from godwitladder.scheduler.exchange import PoolReport

HOSTS = 213
TARGETS = 126
STATING = (0, 1, 10, 40)
REPORT = PoolReport(
    "edge-ee-north-a-12",
    1_796_311_700_338,
    PoolName("region", "service"),
    100,
    1e3,
    1,
    9,
)


def make_names(count: int) -> list[str]:
    """Return names of targets as long as those of the users' platform."""
    return [f"i-{number:010x}" for number in range(count)]


def make_report(count: int) -> PoolReport:
    """Return a full report in which ``count`` targets state all three."""
    names = make_names(count)
    generation = "1700000000000"
    return replace(
        REPORT,
        rate_limits=tuple(StatedLimit(name, generation, 2.7, 0.25) for name in names),
        departures=tuple(Departure(name, generation) for name in names),
        cooldowns=tuple(RemainingCooldown(name, 2.5) for name in names),
    )


def take_reports(count: int) -> float:
    """Return the seconds in which an allocator takes the limits of all hosts."""
    limits = RateLimits()
    generations = dict.fromkeys(make_names(TARGETS), "1700000000000")
    report = make_report(count)
    start = time.perf_counter()
    for host in range(HOSTS):
        limits.observe_all(report.rate_limits, generations, host / HOSTS)
    return time.perf_counter() - start


def main() -> None:
    """Print the table."""
    empty = len(encode(make_report(0)))
    rows = []
    for count in STATING:
        more = len(encode(make_report(count))) - empty
        rows.append(
            (
                count,
                more,
                f"{more * HOSTS / 1e3:.1f}",
                f"{take_reports(count) * 1e3:.2f}",
            )
        )
    print(f"Full reports of {HOSTS} hosts, one of each host in a second:\n")
    head = ("targets", "B a report", "KB/s at the allocator", "ms of its processor")
    print_table(head, rows)


if __name__ == "__main__":
    main()
