"""Learns from stale load reports what others run on a target.

Load pattern: reports are seconds old. A router that takes them at their word
sends everything to the target that looked idle, until the report says it is
full, and then everything elsewhere: load swings between targets with the age
of the report. So the count of our own requests, known at once, is the load;
a report only tells how much there is besides, and trims that slowly.

Thresholds
----------
GAIN : work of others is a slow matter; at one report a second an error is
    half gone after seven reports, longer than any report is old.
WINDOW_S : the oldest report that is compared with what we ran at its time.
"""

from collections import deque
from dataclasses import dataclass, field

from godwitladder.ids import TargetName

GAIN = 0.1
WINDOW_S = 6.0


@dataclass
class ExternalLoad:
    """Requests of others on one target, and our own counts of late."""

    external: float = 0.0
    ours: deque[tuple[float, int]] = field(default_factory=deque)


class LoadReports:
    """What others run on each target."""

    def __init__(self) -> None:
        self.rows: dict[TargetName, ExternalLoad] = {}

    def record_own(self, target: TargetName, count: int, now: float) -> None:
        """Remember how many requests of ours ``target`` has at ``now``."""
        row = self.rows.setdefault(target, ExternalLoad())
        row.ours.append((now, count))
        while now - row.ours[0][0] > WINDOW_S:
            row.ours.popleft()

    def observe(self, target: TargetName, reported: int) -> None:
        """Take in a report of running and queued requests, of unknown age.

        It is compared with what we had on average in the window: our own
        ups and downs then cancel out over a few reports.
        """
        row = self.rows.setdefault(target, ExternalLoad())
        counts = [count for _, count in row.ours]
        ours = sum(counts) / len(counts) if counts else 0.0
        row.external += GAIN * (reported - ours - row.external)

    def external(self, target: TargetName) -> int:
        """Return the requests of others to count into ``TargetView.used``."""
        row = self.rows.get(target)
        return max(0, round(row.external)) if row else 0

    def forget(self, target: TargetName) -> None:
        """Drop a target that is gone."""
        self.rows.pop(target, None)
