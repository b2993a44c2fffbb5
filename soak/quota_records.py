"""What workspaces ran in a run with quotas, and the check of their quotas.

This module has no side effects.
"""

from bisect import bisect_left
from dataclasses import dataclass, field
from itertools import accumulate

WINDOW_S = 8.0
OVERAGE = 0.1
NOTICE_S = 2.0
"""Time in which all hosts learn of a changed quota."""


@dataclass(frozen=True)
class Quota:
    """Quota of a workspace, in tokens per second and tokens, from a time on."""

    since_s: float
    rate: float
    burst: float

    def allowed(self, slack: float) -> float:
        """Return the tokens that may run in a window."""
        return (self.rate * WINDOW_S + self.burst) * (1 + OVERAGE) + slack


@dataclass(frozen=True)
class TokenRun:
    """A request that a target ran, with its tokens.

    Attributes
    ----------
    at : float
        Time in seconds since the start of the run.
    """

    at: float
    workspace: str
    tokens: int


@dataclass
class QuotaHistory:
    """What was asked, refused and run of the workspaces with quotas.

    Attributes
    ----------
    quotas : dict
        Quotas of each workspace, in order of time.
    runs : list of TokenRun
        Requests that targets ran, in order of time.
    asked, refused : dict
        Times at which callers of a workspace asked, and were refused for its quota.
    """

    slack: float
    quotas: dict[str, list[Quota]]
    runs: list[TokenRun] = field(default_factory=list)
    asked: dict[str, list[float]] = field(default_factory=dict)
    refused: dict[str, list[float]] = field(default_factory=dict)
    findings: list[str] = field(default_factory=list)

    def check(self) -> list[str]:
        """Return a line for each workspace that ran more than its quota."""
        rows = [self.worst_window(name) for name in sorted(self.quotas)]
        return self.findings + [
            f"{row.workspace} ran {row.tokens} tokens until {row.end_s:.2f} s,"
            f" {row.allowed:.0f} are allowed"
            for row in rows
            if row.tokens > row.allowed
        ]

    def worst_window(self, workspace: str) -> "SpentWindow":
        """Return the window that is nearest to its limit, or furthest above."""
        runs = [run for run in self.runs if run.workspace == workspace]
        times = [run.at for run in runs]
        sums = [0, *accumulate(run.tokens for run in runs)]
        windows = [
            SpentWindow(
                workspace,
                at,
                sums[last + 1] - sums[bisect_left(times, at - WINDOW_S)],
                self.allowed(workspace, at),
            )
            for last, at in enumerate(times)
        ]
        return max(
            windows,
            key=lambda row: row.tokens / row.allowed,
            default=SpentWindow(workspace, 0.0, 0, self.allowed(workspace, 0.0)),
        )

    def allowed(self, workspace: str, end_s: float) -> float:
        """Return the tokens that may run in the window that ends at a time.

        A lowered quota binds one window after all hosts know it.
        """
        rows = self.quotas[workspace]
        begin_s = end_s - 2 * WINDOW_S - NOTICE_S
        in_force = [
            row
            for row, after in zip(rows, [*rows[1:], None], strict=True)
            if row.since_s <= end_s and (after is None or after.since_s > begin_s)
        ]
        return max(row.allowed(self.slack) for row in in_force)


@dataclass(frozen=True)
class SpentWindow:
    """Tokens that a workspace ran in one window, and how many are allowed."""

    workspace: str
    end_s: float
    tokens: int
    allowed: float
