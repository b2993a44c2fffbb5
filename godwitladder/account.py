"""Adds up what a fleet's log lines say of its calls: who got what, and why not.

Each call that a host read leaves a line at its end: it was refused, or its
answer came to an end. One that was turned away for want of room before it waited
counts as refused. The answer's line tells whether it was in time and, if not, the
first cause; between the line of its last send and that one, the call held a place
at its target.
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
    """What the calls of one route, or of one span of time, came to.

    Attributes
    ----------
    ended : dict
        Answers that came whole, by whether they were in time.
    back : int
        Of these, to callers that had been refused before.
    again : int
        Refusals of callers that had been refused before.
    ages_s : list of float
        How long each refused call had waited.
    held_s : dict
        Seconds that answers held a place, by whether they were in time.
    vain_s : float
        Likewise of calls that failed.
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
        """Take in a refusal."""
        self.refused += 1
        self.again += again
        self.ages_s.append(float(row.get("waited_s", 0.0)))

    def end(self, row: dict[str, Any], held_s: float, back: bool) -> None:
        """Take in the end of an answer."""
        if row.get("outcome") != RequestState.COMPLETED.value:
            self.failed += 1
            self.vain_s += held_s
            return
        cause = Lateness(row.get("lateness", Lateness.IN_TIME.value))
        self.ended[cause] += 1
        self.back += back
        self.held_s[cause] += held_s

    def cells(self) -> tuple[str, ...]:
        """Return the row under `HEAD`."""
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
    """Tallies by route, and by span of time from the first line on.

    Attributes
    ----------
    places_s : dict
        Seconds for which calls held places in each span: by the length of a span,
        the mean number of places in use.
    """

    routes: dict[str, Tally] = field(default_factory=dict)
    spans: dict[int, Tally] = field(default_factory=dict)
    places_s: dict[int, float] = field(default_factory=lambda: defaultdict(float))

    def hold(self, begin_s: float, end_s: float, span_s: float) -> None:
        """Take in that a call held a place, in seconds from the first line on."""
        for span in range(int(begin_s // span_s), int(end_s // span_s) + 1):
            within = min(end_s, (span + 1) * span_s) - max(begin_s, span * span_s)
            self.places_s[span] += max(0.0, within)


def make_account(lines: Iterable[str], span_s: float = 2.0) -> Account:
    """Return the account of a fleet's log lines.

    Parameters
    ----------
    lines : iterable of str
        JSON lines of any number of hosts in any order; others are passed over.
    span_s : float
        Length of a span, in seconds.
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
    """Return the account as lines of text."""
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
