"""Tells why an answer was not in time, as far as the host can see.

An answer's first output, or the whole of a plain one, is due by the call's
aim; after that no pause of a stream may be longer than its route allows. What
a caller has spent on earlier tries at other hosts isn't counted here.
"""

import enum

from godwitladder.scheduler.rows import RequestRow


class Lateness(enum.Enum):
    """The first cause for which an answer was late."""

    IN_TIME = "in_time"
    WAITED = "waited"
    TARGET = "target"
    PAUSE = "pause"


def classify_lateness(
    row: RequestRow, first_at: float, pause_s: float, gap_s: float
) -> Lateness:
    """Return why an answer was late, if it was.

    Parameters
    ----------
    first_at : float
        When its first output came, in seconds of the host's monotonic clock.
    pause_s, gap_s : float
        Longest pause that it had, and the longest that it may have; 0 for
        no bound.
    """
    if row.ttft_deadline and first_at > row.ttft_deadline:
        return (
            Lateness.WAITED if row.dispatched > row.ttft_deadline else Lateness.TARGET
        )
    if gap_s and pause_s > gap_s:
        return Lateness.PAUSE
    return Lateness.IN_TIME
