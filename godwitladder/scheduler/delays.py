"""Delays of reports to an allocator, including the time in its message queue.

Pure: times are passed in as arguments.

Load pattern: hosts send more reports than their allocator can process. It then
decides on outdated information: callers of the requests that it grants have left,
and grants expire before the host receives them.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.ids import HostId, Incarnation
from godwitladder.scheduler.exchange import PoolReport

LATE_REPORT_S = 0.3
"""Delay that is logged. It is most of the time in which a short call must get its
first output."""
PEAK_HALF_LIFE_S = 0.25
"""Half-life of the recent peak delay. It covers several reports of each host."""
LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines about late reports."""


@dataclass(frozen=True)
class DelayStatus:
    """Delays of a pool's reports, to be logged.

    Attributes
    ----------
    late : bool
        Whether reports are late; False if they are in time again.
    delay_s : float
        Longest delay since the last poll, in seconds.
    late_s : float
        Seconds for which reports have been late.
    reports, lines : int
        Number of reports received since the last status, and of the waiting
        requests listed in them.
    """

    late: bool
    delay_s: float
    late_s: float
    reports: int
    lines: int

    def fields(self) -> Mapping[str, float]:
        """Return the fields for the log line."""
        return {
            "delay_s": round(self.delay_s, 3),
            "late_s": round(self.late_s, 3),
            "reports": self.reports,
            "lines": self.lines,
        }


@dataclass
class ReportDelays:
    """Delays of one pool's reports.

    Hosts don't share a clock. The difference between the time of receipt, on the
    allocator's clock, and the time of sending, on the host's clock, is the sum of
    a constant clock offset and the delay. The smallest difference seen for a host
    is taken as no delay.

    Attributes
    ----------
    min_offsets : dict
        Smallest difference seen for each process of a host, in seconds.
    max_delay_s : float
        Longest delay since the last poll, in seconds.
    late_since : float or None
        Time since which reports are late; None if they are in time.
    logged_at : float
        Time of the last status that was returned.
    reports, lines : int
        Number of reports received since then, and of the waiting requests listed
        in them.
    peak_s, peak_at : float
        Recent peak delay in seconds, and the time at which it occurred.
    """

    min_offsets: dict[tuple[HostId, Incarnation], float] = field(default_factory=dict)
    max_delay_s: float = 0.0
    late_since: float | None = None
    logged_at: float = float("-inf")
    reports: int = 0
    lines: int = 0
    peak_s: float = 0.0
    peak_at: float = 0.0

    def record_report(self, report: PoolReport, now: float) -> float:
        """Record that ``report`` is received now; return its delay in seconds."""
        key = report.host, report.incarnation
        offset_s = now - report.sent_s
        min_offset_s = min(offset_s, self.min_offsets.get(key, offset_s))
        self.min_offsets[key] = min_offset_s
        self.max_delay_s = max(self.max_delay_s, offset_s - min_offset_s)
        self.reports += 1
        self.lines += len(report.demands)
        delay_s = offset_s - min_offset_s
        if delay_s >= self.recent_peak_s(now):
            self.peak_s, self.peak_at = delay_s, now
        return delay_s

    def recent_peak_s(self, now: float) -> float:
        """Return the recent peak delay in seconds, which decays exponentially."""
        return self.peak_s * 0.5 ** ((now - self.peak_at) / PEAK_HALF_LIFE_S)

    def forget(self, host: HostId, incarnation: Incarnation) -> None:
        """Drop the offset of a host process that no longer exists."""
        self.min_offsets.pop((host, incarnation), None)

    def poll_status(self, now: float) -> DelayStatus | None:
        """Return the status to log now, or None if there is nothing to log."""
        max_delay_s, self.max_delay_s = self.max_delay_s, 0.0
        late = max_delay_s > LATE_REPORT_S
        if not self.should_log(late, now):
            return None
        since = now if self.late_since is None else self.late_since
        self.late_since = since if late else None
        self.logged_at = now
        status = DelayStatus(late, max_delay_s, now - since, self.reports, self.lines)
        self.reports = self.lines = 0
        return status

    def should_log(self, late: bool, now: float) -> bool:
        """Return whether the state ``late`` is to be logged now.

        A change of state is logged at once, and late reports at intervals.
        """
        was_late = self.late_since is not None
        if late != was_late:
            return True
        return late and now - self.logged_at >= LOG_INTERVAL_S
