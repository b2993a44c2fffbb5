"""Summarizes the outcomes of calls from the log lines of all hosts.

For each call that a host has read, it logs one line at the end: either the call
was refused, or its response has ended. A call that was shed before it was queued
counts as refused. The line of a response says whether it was in time and, if not,
the first cause. A call occupies a slot of its target from the line of its last
send to the line of its end.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from godwitladder.explain import read_line
from godwitladder.outcomes import Reason, RequestState
from godwitladder.serving.lateness import Lateness

SENT = "passing: A call is sent"
ENDED = "passing: A call has ended"
REFUSED = "passing: A call was refused"
TURNED_AWAY = "routing: A call was turned away"
NO_ROUTE = "-"
TIME_FORM = "%Y-%m-%d %H:%M:%S,%f"
LATE = tuple(cause for cause in Lateness if cause is not Lateness.IN_TIME)
HEAD = (
    "in time",
    *(cause.value for cause in LATE),
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
class Tally:
    """Outcomes of the calls of one route or one time span.

    Attributes
    ----------
    ended : dict of Lateness to int
        Number of complete responses, by lateness.
    back : int
        Number of complete responses whose call had been refused before.
    failed : int
        Number of calls whose response ended without being complete.
    refused : int
        Number of refused calls.
    again : int
        Number of refused calls that had been refused before.
    ages_s : list of float
        Time that each refused call had waited, in seconds.
    held_s : dict of Lateness to float
        Slot time of complete responses by lateness, in seconds.
    vain_s : float
        Slot time of failed calls, in seconds.
    """

    ended: dict[Lateness, int] = field(default_factory=lambda: defaultdict(int))
    back: int = 0
    failed: int = 0
    refused: int = 0
    again: int = 0
    ages_s: list[float] = field(default_factory=list)
    held_s: dict[Lateness, float] = field(default_factory=lambda: defaultdict(float))
    vain_s: float = 0.0

    def refuse(self, row: dict[str, Any], again: bool) -> None:
        """Add a refusal.

        Parameters
        ----------
        row : dict
            Log line of the refusal.
        again : bool
            Whether the call had been refused before.
        """
        self.refused += 1
        self.again += again
        self.ages_s.append(float(row.get("waited_s", 0.0)))

    def end(self, row: dict[str, Any], held_s: float, back: bool) -> None:
        """Add the end of a response.

        Parameters
        ----------
        row : dict
            Log line of the end.
        held_s : float
            Time for which the call occupied a slot, in seconds.
        back : bool
            Whether the call had been refused before.
        """
        if row.get("outcome") != RequestState.COMPLETED.value:
            self.failed += 1
            self.vain_s += held_s
            return
        cause = Lateness(row.get("lateness", Lateness.IN_TIME.value))
        self.ended[cause] += 1
        self.back += back
        self.held_s[cause] += held_s

    def cells(self) -> tuple[str, ...]:
        """Return one table row, with a cell for each column of `HEAD`."""
        ages = sorted(self.ages_s)
        middle = f"{ages[len(ages) // 2]:.2f}" if ages else "-"
        late_s = sum(self.held_s[cause] for cause in LATE)
        return (
            str(self.ended[Lateness.IN_TIME]),
            *(str(self.ended[cause]) for cause in LATE),
            str(self.back),
            str(self.failed),
            str(self.refused),
            str(self.again),
            middle,
            f"{self.held_s[Lateness.IN_TIME]:.1f}",
            f"{late_s:.1f}",
            f"{self.vain_s:.1f}",
        )


@dataclass
class Account:
    """Outcomes of calls by route and by time span.

    Attributes
    ----------
    routes : dict of str to Tally
        Outcomes by route.
    spans : dict of int to Tally
        Outcomes by time span; the first span starts at the first log line.
    places_s : dict of int to float
        Slot time of all calls in each span, in seconds. Divided by the length of
        the span, it is the mean number of slots in use.
    """

    routes: dict[str, Tally] = field(default_factory=dict)
    spans: dict[int, Tally] = field(default_factory=dict)
    places_s: dict[int, float] = field(default_factory=lambda: defaultdict(float))

    def hold(self, begin_s: float, end_s: float, span_s: float) -> None:
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
            self.places_s[span] += max(0.0, within)


def make_account(lines: Iterable[str], span_s: float = 2.0) -> Account:
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
    account : Account
        The outcomes by route and by time span.
    """
    rows = [row for row in map(read_line, lines) if _is_told(row)]
    rows.sort(key=_second)
    account = Account()
    sent: dict[str, float] = {}
    bodies: dict[str, str] = {}
    refused: set[str] = set()
    for row in rows:
        request, second = str(row.get("request")), _second(row)
        if row["message"] == SENT:
            sent[request], bodies[request] = second, str(row.get("body"))
            continue
        route = str(row.get("route", NO_ROUTE))
        first = _second(rows[0])
        span = int((second - first) // span_s)
        if row["message"] == ENDED and request in sent:
            account.hold(sent[request] - first, second - first, span_s)
        for tally in (
            account.routes.setdefault(route, Tally()),
            account.spans.setdefault(span, Tally()),
        ):
            if row["message"] != ENDED:
                tally.refuse(row, row.get("body") in refused)
            else:
                held_s = second - sent.get(request, second)
                tally.end(row, held_s, bodies.get(request) in refused)
        if row["message"] == REFUSED:
            refused.add(row.get("body"))
    return account


def show_account(account: Account, span_s: float = 2.0) -> list[str]:
    """Return the summary as lines of text: a table by route and one by span.

    Parameters
    ----------
    account : Account
        The summary.
    span_s : float, default=2.0
        Length of a time span with which the summary was made, in seconds.
    """
    routes = [(name, *tally.cells()) for name, tally in sorted(account.routes.items())]
    spans = [
        (
            f"{span * span_s:g} s",
            f"{account.places_s[span] / span_s:.1f}",
            *tally.cells(),
        )
        for span, tally in sorted(account.spans.items())
    ]
    return [
        *_columns([("route", *HEAD), *routes]),
        "",
        *_columns([("from", "places in use", *HEAD), *spans]),
    ]


def _columns(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]


def _is_told(row: dict[str, Any]) -> bool:
    if _second(row) is None:
        return False
    if row.get("message") == TURNED_AWAY:
        return row.get("reason") == Reason.SHED.value
    return row.get("message") in (SENT, ENDED, REFUSED)


def _second(row: dict[str, Any]) -> float | None:
    try:
        return datetime.strptime(str(row.get("asctime")), TIME_FORM).timestamp()
    except ValueError:
        return None
