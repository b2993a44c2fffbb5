"""Where a host stands in the history of the store.

A store that comes back from a copy has lost its newest records, and gives their offsets
out again. It begins a new era then, which all its answers name. An offset counts in one
era only: a host that compared offsets alone would read on where other records stand
now, or wait until the store has grown to where it was.
"""

import enum
from dataclasses import dataclass

from godwitladder.discovery.messages import RawBatch
from godwitladder.discovery.source import NO_ERA, Batch
from godwitladder.ids import Era


class Fit(enum.Enum):
    """Whether a batch can be applied at a place, or why not."""

    APPLIES = "applies"
    OLD_ERA = "the era is over"
    OLD_OFFSET = "all of it is known"
    GAP = "records before it are missing"


@dataclass(frozen=True)
class Place:
    """Era, and the offset of the next record of one topic; -1 before the first read."""

    era: Era = NO_ERA
    offset: int = -1

    def fit(self, batch: Batch | RawBatch) -> Fit:
        """Return whether ``batch`` can be applied here without skipping a record."""
        if batch.era < self.era:
            return Fit.OLD_ERA
        is_later = batch.era > self.era
        if batch.start < 0:
            known = not is_later and batch.next < self.offset
            return Fit.OLD_OFFSET if known else Fit.APPLIES
        if is_later or batch.start > self.offset:
            return Fit.GAP
        return Fit.APPLIES if batch.next >= self.offset else Fit.OLD_OFFSET

    def after(self, batch: Batch) -> "Place":
        """Return the place behind ``batch``."""
        return Place(batch.era, batch.next)


def is_other_history(place: Place, batch: Batch) -> bool:
    """Return whether the store no longer has ``place``, by a read from there."""
    is_shorter = batch.is_snapshot and batch.next < place.offset
    return batch.era < place.era or (batch.era == place.era and is_shorter)
