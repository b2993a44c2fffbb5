"""Which versions targets had, as the records of their entries tell.

A target writes its entry again and again, at an interval that is known. How far some
records reach back follows from how many of them each target has written.

Pure: records are passed in.

Thresholds
----------
MAX_SILENT_INTERVALS : an entry expires after so many intervals without a write, so a
    target may have served for as long before its first record.
SPARE_FACTOR : targets also write as they change, and some have left since.
"""

import math
import statistics
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass

from godwitladder.decisions.placing.stream_origins import StreamOrigin
from godwitladder.ids import TargetName

MAX_SILENT_INTERVALS = 3
SPARE_FACTOR = 1.25


@dataclass(frozen=True)
class PastReleases:
    """Versions that targets had, and for how long back that is known.

    Attributes
    ----------
    origins : frozenset of StreamOrigin
    covered_s : float
        Time before the read in which there were no others, in seconds.
    read_at : float
        Time of the read.
    """

    origins: frozenset[StreamOrigin]
    covered_s: float
    read_at: float


def covered_time(
    writers: Collection[TargetName], interval_s: float, is_whole: bool
) -> float:
    """Return how far back the records of entries reach, in seconds.

    Some targets write more often, as they change; others have started or left within
    that time. The median of their numbers of records is neither's.

    Parameters
    ----------
    writers : collection of TargetName
        The target that wrote each record.
    interval_s : float
        Time between two writes of a target, in seconds; infinite if not known.
    is_whole : bool
        Whether the first record ever written is among them.
    """
    if is_whole:
        return math.inf
    if not writers or not math.isfinite(interval_s):
        return 0.0
    intervals = statistics.median_low(Counter(writers).values()) - 1
    return max(0.0, (intervals - MAX_SILENT_INTERVALS) * interval_s)


def records_needed(targets: int, interval_s: float, for_s: float) -> int:
    """Return how many records of entries reach ``for_s`` seconds back, and some more.

    Parameters
    ----------
    targets : int
        Number of targets.
    interval_s : float
        Time between two writes of a target, in seconds.
    for_s : float
        Time in seconds.
    """
    intervals = for_s / interval_s + MAX_SILENT_INTERVALS + 2
    return math.ceil(targets * intervals * SPARE_FACTOR)
