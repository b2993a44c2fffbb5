"""Reads the resource use of processes, fits lines and prints tables."""

import os
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class Line:
    """A fitted line: ``base + slope * size``."""

    base: float
    slope: float

    def at(self, size: float) -> float:
        """Return the value of the line at ``size``."""
        return self.base + self.slope * size


def cpu_seconds(pid: int) -> float:
    """Return the processor time used by the process ``pid``, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of the process ``pid``, in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Return the least-squares line through ``points``, pairs of size and value.

    The line is flat when all sizes are equal.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return Line(mean_y, 0.0)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return Line(mean_y - slope * mean_x, slope)


def print_table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print a Markdown table."""
    print("| " + " | ".join(head) + " |")
    print("|" + "---|" * len(head))
    for row in rows:
        print("| " + " | ".join(str(value) for value in row) + " |", flush=True)
