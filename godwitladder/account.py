"""Summarizes the outcomes of calls from the log lines of all hosts.

For each call that a host has read, it logs one line at the end: either the call
was refused, or its response has ended. A call that was shed before it was queued
counts as refused. The line of a response says whether it was in time and, if not,
the first cause. A call occupies a slot of its target from the line of its last
send to the line of its end. A call is a retry if a call with the same ``body`` was
refused before.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from godwitladder.explain import parse_log_line
from godwitladder.outcomes import Reason, RequestState
from godwitladder.serving.lateness import Lateness

SENT = "passing: A call is sent"
ENDED = "passing: A call has ended"
REFUSED = "passing: A call was refused"
TURNED_AWAY = "routing: A call was turned away"
NO_ROUTE = "-"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
LATE_CAUSES = tuple(cause for cause in Lateness if cause is not Lateness.IN_TIME)
TABLE_HEADER = (
    "in time",
    *(cause.value for cause in LATE_CAUSES),
    "came back",
    "failed",
    "refused",
    "refused again",
    "refused at s",
    "held in time s",
    "held late s",
    "held in vain s",
)


@dataclass
class CallStatistics:
    """Outcomes of the calls of one route or one time span.

    Attributes
    ----------
    completed : dict of Lateness to int
        Number of complete responses, by lateness.
    completed_retries : int
        Number of complete responses to retries of refused calls.
    failed : int
        Number of calls whose response ended without being complete.
    refused : int
        Number of refused calls.
    refused_retries : int
        Number of refused retries of refused calls.
    refused_wait_s : list of float
        Time that each refused call had waited, in seconds.
    slot_s : dict of Lateness to float
        Slot time of complete responses by lateness, in seconds.
    failed_slot_s : float
        Slot time of failed calls, in seconds.
    """

    completed: dict[Lateness, int] = field(default_factory=lambda: defaultdict(int))
    completed_retries: int = 0
    failed: int = 0
    refused: int = 0
    refused_retries: int = 0
    refused_wait_s: list[float] = field(default_factory=list)
    slot_s: dict[Lateness, float] = field(default_factory=lambda: defaultdict(float))
    failed_slot_s: float = 0.0

    def add_refusal(self, row: dict[str, Any], is_retry: bool) -> None:
        """Add a refusal.

        Parameters
        ----------
        row : dict
            Log line of the refusal.
        is_retry : bool
            Whether the call is a retry of a refused one.
        """
        self.refused += 1
        self.refused_retries += is_retry
        self.refused_wait_s.append(float(row.get("waited_s", 0.0)))

    def add_end(self, row: dict[str, Any], slot_s: float, is_retry: bool) -> None:
        """Add the end of a response.

        Parameters
        ----------
        row : dict
            Log line of the end.
        slot_s : float
            Time for which the call occupied a slot, in seconds.
        is_retry : bool
            Whether the call is a retry of a refused one.
        """
        if row.get("outcome") != RequestState.COMPLETED.value:
            self.failed += 1
            self.failed_slot_s += slot_s
            return
        cause = Lateness(row.get("lateness", Lateness.IN_TIME.value))
        self.completed[cause] += 1
        self.completed_retries += is_retry
        self.slot_s[cause] += slot_s

    def table_row(self) -> tuple[str, ...]:
        """Return one table row, with a cell for each column of `TABLE_HEADER`."""
        waits = sorted(self.refused_wait_s)
        median = f"{waits[len(waits) // 2]:.2f}" if waits else "-"
        late_s = sum(self.slot_s[cause] for cause in LATE_CAUSES)
        return (
            str(self.completed[Lateness.IN_TIME]),
            *(str(self.completed[cause]) for cause in LATE_CAUSES),
            str(self.completed_retries),
            str(self.failed),
            str(self.refused),
            str(self.refused_retries),
            median,
            f"{self.slot_s[Lateness.IN_TIME]:.1f}",
            f"{late_s:.1f}",
            f"{self.failed_slot_s:.1f}",
        )


@dataclass
class CallSummary:
    """Outcomes of calls by route and by time span.

    Attributes
    ----------
    routes : dict of str to CallStatistics
        Outcomes by route.
    spans : dict of int to CallStatistics
        Outcomes by time span; the first span starts at the first log line.
    slot_s : dict of int to float
        Slot time of all calls in each span, in seconds. Divided by the length of
        the span, it is the mean number of slots in use.
    """

    routes: dict[str, CallStatistics] = field(default_factory=dict)
    spans: dict[int, CallStatistics] = field(default_factory=dict)
    slot_s: dict[int, float] = field(default_factory=lambda: defaultdict(float))

    def add_slot_time(self, begin_s: float, end_s: float, span_s: float) -> None:
        """Add the slot time of one call to the spans that it overlaps.

        Parameters
        ----------
        begin_s, end_s : float
            When the call occupied the slot, in seconds since the first log line.
        span_s : float
            Length of a span, in seconds.
        """
        for span in range(int(begin_s // span_s), int(end_s // span_s) + 1):
            within = min(end_s, (span + 1) * span_s) - max(begin_s, span * span_s)
            self.slot_s[span] += max(0.0, within)


def summarize_calls(lines: Iterable[str], span_s: float = 2.0) -> CallSummary:
    """Return a summary of the calls in log lines.

    Parameters
    ----------
    lines : iterable of str
        JSON log lines of any number of hosts, in any order; other lines are
        ignored.
    span_s : float, default=2.0
        Length of a time span, in seconds.

    Returns
    -------
    summary : CallSummary
        The outcomes by route and by time span.
    """
    rows = [row for row in map(parse_log_line, lines) if _is_counted(row)]
    rows.sort(key=timestamp)
    summary = CallSummary()
    sent: dict[str, float] = {}
    bodies: dict[str, str] = {}
    refused: set[str] = set()
    for row in rows:
        request, time = str(row.get("request")), timestamp(row)
        if row["message"] == SENT:
            sent[request], bodies[request] = time, str(row.get("body"))
            continue
        route = str(row.get("route", NO_ROUTE))
        start = timestamp(rows[0])
        span = int((time - start) // span_s)
        if row["message"] == ENDED and request in sent:
            summary.add_slot_time(sent[request] - start, time - start, span_s)
        for stats in (
            summary.routes.setdefault(route, CallStatistics()),
            summary.spans.setdefault(span, CallStatistics()),
        ):
            if row["message"] != ENDED:
                stats.add_refusal(row, row.get("body") in refused)
            else:
                slot_s = time - sent.get(request, time)
                stats.add_end(row, slot_s, bodies.get(request) in refused)
        if row["message"] == REFUSED:
            refused.add(row.get("body"))
    return summary


def format_summary(summary: CallSummary, span_s: float = 2.0) -> list[str]:
    """Return the summary as lines of text: a table by route and one by span.

    Parameters
    ----------
    summary : CallSummary
        The summary.
    span_s : float, default=2.0
        Length of a time span with which the summary was made, in seconds.
    """
    routes = [
        (name, *stats.table_row()) for name, stats in sorted(summary.routes.items())
    ]
    spans = [
        (
            f"{span * span_s:g} s",
            f"{summary.slot_s[span] / span_s:.1f}",
            *stats.table_row(),
        )
        for span, stats in sorted(summary.spans.items())
    ]
    return [
        *align_columns([("route", *TABLE_HEADER), *routes]),
        "",
        *align_columns([("from", "places in use", *TABLE_HEADER), *spans]),
    ]


def align_columns(rows: list[tuple[str, ...]]) -> list[str]:
    """Return the rows of a table as lines of text with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]


def _is_counted(row: dict[str, Any]) -> bool:
    if timestamp(row) is None:
        return False
    if row.get("message") == TURNED_AWAY:
        return row.get("reason") == Reason.SHED.value
    return row.get("message") in (SENT, ENDED, REFUSED)


def timestamp(row: dict[str, Any]) -> float | None:
    """Return the time of a log line in seconds; None if it has none."""
    try:
        return datetime.strptime(str(row.get("asctime")), TIME_FORMAT).timestamp()
    except ValueError:
        return None
