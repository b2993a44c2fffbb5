"""Classifies why an answer was late, as far as the host can tell.

The first output, or the complete answer of a plain service, is due at the row's
`ttft_deadline`. After that no pause within a stream may exceed the limit of its
route. Time that the caller spent on earlier attempts at other hosts is not counted.
"""

import enum

from godwitladder.scheduler.rows import RequestRow


class Lateness(enum.Enum):
    """The first cause of a late answer."""

    IN_TIME = "in_time"
    WAITED = "waited"
    TARGET = "target"
    PAUSE = "pause"


def classify_lateness(
    row: RequestRow, first_at: float, pause_s: float, gap_s: float
) -> Lateness:
    """Return the first cause for which an answer was late.

    Parameters
    ----------
    row : RequestRow
        The request's row, with the time of its dispatch and its `ttft_deadline`.
    first_at : float
        When the first output arrived, in seconds of the monotonic clock.
    pause_s : float
        Longest pause in the stream, in seconds.
    gap_s : float
        Longest pause allowed, in seconds; 0 for no limit.

    Returns
    -------
    Lateness
        `Lateness.IN_TIME` if the answer was not late.
    """
    if row.ttft_deadline and first_at > row.ttft_deadline:
        return (
            Lateness.WAITED if row.dispatched > row.ttft_deadline else Lateness.TARGET
        )
    if gap_s and pause_s > gap_s:
        return Lateness.PAUSE
    return Lateness.IN_TIME
