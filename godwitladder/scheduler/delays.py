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

LATE_S = 0.3
"""Delay that is told of: most of the time that a short call has to its first output."""
FADE_S = 0.25
"""Half-life of the longest delay of late: some reports of each host."""
TELL_S = 1.0
"""Between two lines about reports that come late."""


@dataclass(frozen=True)
class DelayNews:
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
        Taken in since the last news, and the waiting requests that they told of.
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
    least : dict
        That least difference of each process of a host, in seconds.
    worst_s : float
        The longest delay since the last look.
    late_since : float or None
        Since when reports come late.
    told : float
        When this was last told of.
    peak_s, peak_at : float
        The longest delay of late, and when it was seen.
    """

    least: dict[tuple[HostId, Incarnation], float] = field(default_factory=dict)
    worst_s: float = 0.0
    late_since: float | None = None
    told: float = float("-inf")
    reports: int = 0
    lines: int = 0
    peak_s: float = 0.0
    peak_at: float = 0.0

    def note(self, report: PoolReport, now: float) -> float:
        """Take in that ``report`` is taken in now; return its delay in seconds."""
        key = report.host, report.incarnation
        passed_s = now - report.sent_s
        least_s = min(passed_s, self.least.get(key, passed_s))
        self.least[key] = least_s
        self.worst_s = max(self.worst_s, passed_s - least_s)
        self.reports += 1
        self.lines += len(report.demands)
        delay_s = passed_s - least_s
        if delay_s >= self.lately_s(now):
            self.peak_s, self.peak_at = delay_s, now
        return delay_s

    def lately_s(self, now: float) -> float:
        """Return the longest delay of late, which fades, in seconds."""
        return self.peak_s * 0.5 ** ((now - self.peak_at) / FADE_S)

    def forget(self, host: HostId, incarnation: Incarnation) -> None:
        """Drop what is known of a process that is gone."""
        self.least.pop((host, incarnation), None)

    def look(self, now: float) -> DelayNews | None:
        """Return what is to be told now, if anything."""
        worst_s, self.worst_s = self.worst_s, 0.0
        late = worst_s > LATE_S
        if not self.is_worth_telling(late, now):
            return None
        since = now if self.late_since is None else self.late_since
        self.late_since = since if late else None
        self.told = now
        news = DelayNews(late, worst_s, now - since, self.reports, self.lines)
        self.reports = self.lines = 0
        return news

    def is_worth_telling(self, late: bool, now: float) -> bool:
        """Return whether that reports are ``late``, or not, is to be told now."""
        was_late = self.late_since is not None
        if late != was_late:
            return True
        return late and now - self.told >= TELL_S
