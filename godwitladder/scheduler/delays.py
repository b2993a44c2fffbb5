"""How long reports take to an allocator, its queue of messages included.

Pure: times are handed in.

Load pattern: hosts report more than their allocator can take in. It then decides
from what was true a while ago: calls that it grants have left, and what it
grants has lapsed before the host hears of it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.ids import HostId, Incarnation
from godwitladder.scheduler.exchange import PoolReport

LATE_REPORT_S = 0.3
"""Delay that is told of: most of the time that a short call has to its first output."""
PEAK_HALF_LIFE_S = 0.25
"""Half-life of the longest delay of late: some reports of each host."""
LOG_INTERVAL_S = 1.0
"""Between two lines about reports that come late."""


@dataclass(frozen=True)
class DelayStatus:
    """What is to be logged of a pool's reports.

    Attributes
    ----------
    late : bool
        Whether they come late; False where they are in time again.
    delay_s : float
        The longest delay since the last look, in seconds.
    late_s : float
        Seconds for which they have come late.
    reports, lines : int
        Taken in since the last status, and the waiting requests that they told of.
    """

    late: bool
    delay_s: float
    late_s: float
    reports: int
    lines: int

    def fields(self) -> Mapping[str, float]:
        """Return what a log line says of it."""
        return {
            "delay_s": round(self.delay_s, 3),
            "late_s": round(self.late_s, 3),
            "reports": self.reports,
            "lines": self.lines,
        }


@dataclass
class ReportDelays:
    """The delays of one pool's reports.

    Hosts share no clock. What passes from the sending of a report, by its host's
    clock, to the moment in which it is taken in has a part that does not change,
    and the least that was seen of a host stands for no delay.

    Attributes
    ----------
    min_offsets : dict
        That least difference of each process of a host, in seconds.
    max_delay_s : float
        The longest delay since the last look.
    late_since : float or None
        Since when reports come late.
    logged_at : float
        When this was last told of.
    peak_s, peak_at : float
        The longest delay of late, and when it was seen.
    """

    min_offsets: dict[tuple[HostId, Incarnation], float] = field(default_factory=dict)
    max_delay_s: float = 0.0
    late_since: float | None = None
    logged_at: float = float("-inf")
    reports: int = 0
    lines: int = 0
    peak_s: float = 0.0
    peak_at: float = 0.0

    def note(self, report: PoolReport, now: float) -> float:
        """Take in that ``report`` is taken in now; return its delay in seconds."""
        key = report.host, report.incarnation
        offset_s = now - report.sent_s
        min_offset_s = min(offset_s, self.min_offsets.get(key, offset_s))
        self.min_offsets[key] = min_offset_s
        self.max_delay_s = max(self.max_delay_s, offset_s - min_offset_s)
        self.reports += 1
        self.lines += len(report.lines)
        delay_s = offset_s - min_offset_s
        if delay_s >= self.recent_peak_s(now):
            self.peak_s, self.peak_at = delay_s, now
        return delay_s

    def recent_peak_s(self, now: float) -> float:
        """Return the longest delay of late, which fades, in seconds."""
        return self.peak_s * 0.5 ** ((now - self.peak_at) / PEAK_HALF_LIFE_S)

    def forget(self, host: HostId, incarnation: Incarnation) -> None:
        """Drop what is known of a process that is gone."""
        self.min_offsets.pop((host, incarnation), None)

    def poll_status(self, now: float) -> DelayStatus | None:
        """Return what is to be told now, if anything."""
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
        """Return whether that reports are ``late``, or not, is to be told now."""
        was_late = self.late_since is not None
        if late != was_late:
            return True
        return late and now - self.logged_at >= LOG_INTERVAL_S
