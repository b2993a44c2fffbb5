"""Classifies calls as usual, large or largest among recent calls of the same rank.

The class boundaries are quantiles of the slot time, estimated by stochastic
approximation in log space: each call moves them by a fixed step. No history is
stored, and the influence of old calls decays.
"""

import math
from dataclasses import dataclass, field

from godwitladder.decisions.placing.precedence import Size
from godwitladder.decisions.prompts.prediction import quantile_step

# Users ask how often the largest tenth of the calls, and the fifth below it, are
# served.
LARGE_QUANTILE = 0.7
LARGEST_QUANTILE = 0.9
# The bounds follow a twofold change of sizes within about thirty calls.
STEP = 0.1
# Initial bounds of large and largest in log space, relative to the first call.
INITIAL_OFFSETS = (0.5, 1.5)


@dataclass
class SizeBounds:
    """Slot times above which a call of one rank is large, or among the largest.

    Attributes
    ----------
    large, largest : float
        Natural logarithms of slot seconds.
    """

    large: float
    largest: float

    def update(self, log_slot_s: float) -> None:
        """Move both bounds by one call."""
        self.large += STEP * quantile_step(log_slot_s > self.large, LARGE_QUANTILE)
        self.largest += STEP * quantile_step(
            log_slot_s > self.largest, LARGEST_QUANTILE
        )
        self.largest = max(self.largest, self.large)


@dataclass
class CallSizes:
    """Size bounds by rank."""

    bounds: dict[int, SizeBounds] = field(default_factory=dict)

    def observe(self, rank: int, slot_s: float) -> None:
        """Update the bounds of a rank with a new call.

        Parameters
        ----------
        slot_s : float
            Seconds for which the call is expected to hold a slot. Calls without
            a positive time are ignored.
        """
        if slot_s <= 0:
            return
        log_slot_s = math.log(slot_s)
        if rank not in self.bounds:
            self.bounds[rank] = SizeBounds(
                log_slot_s + INITIAL_OFFSETS[0], log_slot_s + INITIAL_OFFSETS[1]
            )
        self.bounds[rank].update(log_slot_s)

    def size(self, rank: int, slot_s: float) -> Size:
        """Return the size class of a call among recent calls of its rank.

        `Size.USUAL` for a rank without calls, or without a positive ``slot_s``.
        """
        bounds = self.bounds.get(rank)
        if bounds is None or slot_s <= 0:
            return Size.USUAL
        log_slot_s = math.log(slot_s)
        if log_slot_s <= bounds.large:
            return Size.USUAL
        return Size.LARGE if log_slot_s <= bounds.largest else Size.LARGEST
