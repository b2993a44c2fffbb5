"""Estimates the external load of targets from stale load reports.

Load pattern: reports are seconds old. A router that trusts them sends everything to
the target that looked idle until the report says that it is full, and then everything
elsewhere: load oscillates between targets with the age of the reports. So the count of
the allocator's own requests, which is known at once, is the load; reports only show
how much there is in addition, and adjust that slowly.

Thresholds
----------
GAIN : external load changes slowly; at one report per second an error is halved after
    seven reports, a longer time than the age of any report.
WINDOW_S : greatest age of a report: own counts are averaged over this window for the
    comparison with it.
"""

from collections import deque
from dataclasses import dataclass, field

from godwitladder.ids import TargetName

GAIN = 0.1
WINDOW_S = 6.0


@dataclass
class ExternalLoad:
    """External requests on one target, and the recent counts of own requests."""

    external: float = 0.0
    own: deque[tuple[float, int]] = field(default_factory=deque)


class LoadReports:
    """External load of each target."""

    def __init__(self) -> None:
        self.rows: dict[TargetName, ExternalLoad] = {}

    def record_own(self, target: TargetName, count: int, now: float) -> None:
        """Record that ``target`` has ``count`` own requests at ``now``."""
        row = self.rows.setdefault(target, ExternalLoad())
        row.own.append((now, count))
        while now - row.own[0][0] > WINDOW_S:
            row.own.popleft()

    def observe(self, target: TargetName, reported: int) -> None:
        """Update the estimate from a report of running and queued requests.

        The age of the report is unknown, so it is compared with the average of the own
        counts in the window; fluctuations of these cancel out over a few reports.
        """
        row = self.rows.setdefault(target, ExternalLoad())
        counts = [count for _, count in row.own]
        own = sum(counts) / len(counts) if counts else 0.0
        row.external += GAIN * (reported - own - row.external)

    def external(self, target: TargetName) -> int:
        """Return the external requests, to be added to `TargetView.used`."""
        row = self.rows.get(target)
        return max(0, round(row.external)) if row else 0

    def forget(self, target: TargetName) -> None:
        """Remove a target that is gone."""
        self.rows.pop(target, None)
