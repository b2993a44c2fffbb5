"""Decides how far a target's own report of its load is believed.

Load pattern: targets share their machines with other work, so that a prompt takes a
multiple of its usual time for some tenths of a second at a time. The speeds learned
from completed requests show the average of this, and too late to avoid a target that
is slow now. A target may state the figure in its answers, but an allocator receives it
when it may be over already: used as received, it keeps requests off targets that have
recovered and sends them to targets that have become slow since.

A report is therefore weighed by its age. What it says is compared with the average that
the target has stated, which the learned speeds contain, and what is left of the
difference after the report's age is applied to the time of a prompt. A report adds
neither slots nor prompts to a target: the slots and pending prompts that the allocator
counts itself bound what a target gets, so that a stale report of a fast target draws no
more requests than it may hold.

Pure: times are passed in.

Thresholds
----------
TRUST_S : the load of a shared machine changes after about this time; an older report
    says nothing about the present.
MEAN_GAIN : weight of the newest report in the average, so that the average covers some
    tens of changes of the load at the rate at which reports are passed on.
MIN_FACTOR, MAX_FACTOR : bounds of the change in the time of a prompt, so that nonsense
    in reports neither closes a target nor makes it look idle.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from godwitladder.ids import TargetName

TRUST_S = 0.6
MEAN_GAIN = 0.02
MIN_FACTOR, MAX_FACTOR = 0.5, 4.0


@dataclass(frozen=True)
class StatedLoad:
    """A target's own report of its load.

    Attributes
    ----------
    running, waiting : int
        Requests that run and that wait on the target, of all hosts.
    slots : int
        Requests that it can run at once.
    slowdown : float or None
        Time that work takes on its machine at this moment, as a multiple of the usual
        time; None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True)
class TargetSlowdown:
    """The slowdown that a target has stated, as a host tells it to its allocator.

    Attributes
    ----------
    generation : str
        Generation of the process that stated it.
    slowdown : float
        As in `StatedLoad`.
    age_s : float
        Seconds since the host received it.
    """

    target: TargetName
    generation: str
    slowdown: float
    age_s: float


@dataclass
class SlowdownRow:
    """What one target has stated.

    Attributes
    ----------
    generation : str
        Generation of the process that stated it.
    slowdown : float
        The newest figure.
    stated_at : float
        Time at which it was stated, in seconds.
    mean : float
        Average of the figures that the target stated.
    """

    generation: str
    slowdown: float
    stated_at: float
    mean: float


def trust(age_s: float) -> float:
    """Return the part of a report that still holds at an age, from 1 down to 0."""
    return min(1.0, max(0.0, 1.0 - age_s / TRUST_S))


@dataclass
class StatedSlowdowns:
    """The slowdowns that targets state, as an allocator knows them.

    Attributes
    ----------
    rows : dict
        What each target has stated; targets that state no slowdown have no row.
    logged_at : float
        Time of the last log line on them, in seconds.
    """

    rows: dict[TargetName, SlowdownRow] = field(default_factory=dict)
    logged_at: float = -math.inf

    def observe_all(
        self,
        reports: Iterable[TargetSlowdown],
        generations: Mapping[TargetName, str],
        sent_at: float,
    ) -> None:
        """Record what a host lists, except of processes that have ended.

        Parameters
        ----------
        reports : iterable of TargetSlowdown
            What the host lists.
        generations : mapping
            Generation of the present process of each target.
        sent_at : float
            Time at which the host listed it, in seconds.
        """
        for row in reports:
            if generations.get(row.target) == row.generation:
                stated_at = sent_at - row.age_s
                self.observe(row.target, row.generation, row.slowdown, stated_at)

    def observe(
        self, target: TargetName, generation: str, slowdown: float, stated_at: float
    ) -> None:
        """Record a slowdown, unless a newer one of the target is known."""
        row = self.rows.get(target)
        if row is None or row.generation != generation:
            mean = max(1.0, slowdown)
            self.rows[target] = SlowdownRow(generation, slowdown, stated_at, mean)
            return
        if stated_at <= row.stated_at:
            return
        row.mean += MEAN_GAIN * (slowdown - row.mean)
        row.slowdown, row.stated_at = slowdown, stated_at

    def factor(self, target: TargetName, generation: str, now: float) -> float:
        """Return the present time of a prompt as a multiple of the learned time.

        1 if the process has stated nothing within the trust period.
        """
        row = self.rows.get(target)
        if row is None or row.generation != generation:
            return 1.0
        difference = row.slowdown / row.mean - 1.0
        factor = 1.0 + trust(now - row.stated_at) * difference
        return min(MAX_FACTOR, max(MIN_FACTOR, factor))

    def forget(self, target: TargetName) -> None:
        """Remove a target that no longer exists or was restarted."""
        self.rows.pop(target, None)
