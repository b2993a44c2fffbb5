"""Finds the window in which each workspace spent most, from the lines of all hosts.

Each send of a call is logged with its charge and with the part that granted it: an
allocator in one of its terms, or the host's own share. Clocks of hosts differ, so a
window is as exact as they agree.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate
from typing import Any, NamedTuple

from godwitladder.account import SENT, align_columns, timestamp
from godwitladder.explain import parse_log_line
from godwitladder.outcomes import OWN_SHARE

TABLE_HEADER = ("workspace", "from", "tokens", "calls", "granted by")
MAX_LISTED_GRANTERS = 8


class Send(NamedTuple):
    """One send of a call."""

    at: float
    time: str
    charge: int
    granted_by: str


@dataclass(frozen=True)
class SpendingWindow:
    """The window in which a workspace spent most.

    Attributes
    ----------
    start : str
        Time of the first send in it, as in the log.
    tokens, calls : int
        Tokens charged for the sends in it, and their number.
    granted : Counter
        These tokens by the part that granted them.
    """

    workspace: str
    start: str
    tokens: int
    calls: int
    granted: Counter[str]

    def table_row(self) -> tuple[str, ...]:
        """Return the window as cells of a table."""
        parts = self.granted.most_common(MAX_LISTED_GRANTERS)
        granters = ", ".join(f"{name}: {tokens}" for name, tokens in parts)
        cells = self.workspace, self.start, self.tokens, self.calls, granters
        return tuple(map(str, cells))


def find_spending_windows(
    lines: Iterable[str], window_s: float
) -> list[SpendingWindow]:
    """Return the window in which each workspace spent most, the largest first.

    Parameters
    ----------
    lines : iterable of str
        JSON log lines of any number of hosts, in any order; other lines are ignored.
    window_s : float
        Length of the window, in seconds.
    """
    sends: dict[str, list[Send]] = defaultdict(list)
    for row in map(parse_log_line, lines):
        if row.get("message") == SENT and timestamp(row) is not None:
            sends[str(row.get("workspace"))].append(_make_send(row))
    windows = [
        _find_window(name, sorted(rows), window_s) for name, rows in sends.items()
    ]
    return sorted(windows, key=lambda row: (-row.tokens, row.workspace))


def format_windows(windows: Iterable[SpendingWindow]) -> list[str]:
    """Return the windows as the lines of a table."""
    return align_columns([TABLE_HEADER, *(row.table_row() for row in windows)])


def _make_send(row: dict[str, Any]) -> Send:
    return Send(
        timestamp(row),
        str(row["asctime"]),
        int(row.get("charge", 0)),
        str(row.get("granted_by", OWN_SHARE)),
    )


def _find_window(workspace: str, sends: list[Send], window_s: float) -> SpendingWindow:
    times = [row.at for row in sends]
    sums = [0, *accumulate(row.charge for row in sends)]
    starts = [bisect_left(times, at - window_s) for at in times]
    last = max(
        range(len(sends)), key=lambda index: sums[index + 1] - sums[starts[index]]
    )
    rows = sends[starts[last] : last + 1]
    granted: Counter[str] = Counter()
    for row in rows:
        granted[row.granted_by] += row.charge
    tokens = sums[last + 1] - sums[starts[last]]
    return SpendingWindow(workspace, rows[0].time, tokens, len(rows), granted)
