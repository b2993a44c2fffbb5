"""Learns which calls of a rank are large, from those that came lately.

Each bound is one number, moved in log space by each call (a stochastic
approximation of the quantile): no history is kept, and old calls fade by
themselves.

Thresholds
----------
LARGE_QUANTILE, LARGEST_QUANTILE : above them lie the largest tenth of a kind,
    and the fifth below it, of which the users ask how often they are served.
STEP : a bound follows a twofold change of sizes within some thirty calls.
"""

import math
from dataclasses import dataclass, field

from godwitladder.decisions.precedence import Size
from godwitladder.decisions.prediction import moved

LARGE_QUANTILE = 0.7
LARGEST_QUANTILE = 0.9
STEP = 0.1
START = (0.5, 1.5)
"""Bounds before enough was seen, in log space above the first call."""


@dataclass
class SizeBounds:
    """Above what a call of one rank is large, and among the largest."""

    large: float
    largest: float

    def move(self, level: float) -> None:
        """Move both towards their quantiles by one call."""
        self.large += STEP * moved(level > self.large, LARGE_QUANTILE)
        self.largest += STEP * moved(level > self.largest, LARGEST_QUANTILE)
        self.largest = max(self.largest, self.large)


@dataclass
class CallSizes:
    """The bounds of each rank."""

    bounds: dict[int, SizeBounds] = field(default_factory=dict)

    def observe(self, rank: int, slot_s: float) -> None:
        """Take in a call that has come."""
        if slot_s <= 0:
            return
        level = math.log(slot_s)
        if rank not in self.bounds:
            self.bounds[rank] = SizeBounds(level + START[0], level + START[1])
        self.bounds[rank].move(level)

    def size(self, rank: int, slot_s: float) -> Size:
        """Return how large a call is among those of its rank."""
        bounds = self.bounds.get(rank)
        if bounds is None or slot_s <= 0:
            return Size.USUAL
        level = math.log(slot_s)
        if level <= bounds.large:
            return Size.USUAL
        return Size.LARGE if level <= bounds.largest else Size.LARGEST
