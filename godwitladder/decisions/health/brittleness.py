"""Decides how many requests targets get that fall over when they refuse too many.

Load pattern: the targets of a service state that they are brittle. They may have less
room than their entries tell, and one that has to refuse more than a stated number of
requests in a second ends and is back empty after some seconds. Hosts that each try a
full target once a second would make it fall again and again, all of them together.

The allocator of the pool hears of each refusal at once. It then grants the target fewer
requests than it had, and one more after each interval without a refusal, so that the
rare refusals that remain show the room that is left. A process that starts anew, under
its old name or another one, begins with the lower limit: it is as brittle as the one
before, and all hosts want it.

A host that hears nothing of its allocator for a moment doesn't use a brittle target
beside what the allocator may have given to others.

Pure: times are passed in.

Thresholds
----------
KEPT_FRACTION : the fraction of its requests that a target keeps after a refusal.
GROWTH_INTERVAL_S : seconds without a refusal after which it gets one request more.
SETTLING_S : seconds in which further refusals are taken for effects of the same cause;
    the grants that caused them were on their way.
STATEMENT_MEMORY_S : seconds for which a statement holds without another answer.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from godwitladder.ids import TargetName

KEPT_FRACTION = 0.75
GROWTH_INTERVAL_S = 3.0
SETTLING_S = 0.5
STATEMENT_MEMORY_S = 10.0


@dataclass
class BrittleTarget:
    """A target that has refused requests.

    Attributes
    ----------
    limit : int
        Number of requests that it may have at once since the last refusal.
    refused_at : float
        Time of that refusal, in seconds.
    """

    limit: int
    refused_at: float


@dataclass
class BrittleTargets:
    """The brittle targets of a pool that have refused requests, at its allocator.

    Attributes
    ----------
    rows : dict
        The targets with a limit.
    last : BrittleTarget or None
        State of the target that refused last; None before the first refusal.
    """

    rows: dict[TargetName, BrittleTarget] = field(default_factory=dict)
    last: BrittleTarget | None = None

    def record_refusal(self, target: TargetName, running: int, now: float) -> None:
        """Record a refusal while ``running`` requests were with the target."""
        row = self.rows.get(target)
        if row is not None and now - row.refused_at < SETTLING_S:
            return
        before = self.limit(target, running, now)
        self.last = BrittleTarget(max(1, int(before * KEPT_FRACTION)), now)
        self.rows[target] = self.last

    def limit(self, target: TargetName, slots: int, now: float) -> int:
        """Return the number of requests that a target may have at once."""
        row = self.rows.get(target)
        if row is None:
            return slots
        grown = int((now - row.refused_at) / GROWTH_INTERVAL_S)
        return max(1, min(slots, row.limit + grown))

    def adopt(self, target: TargetName) -> None:
        """Give a target that has joined the pool the limit of the last refusal."""
        if self.last is not None:
            self.rows[target] = self.last

    def forget(self, target: TargetName) -> None:
        """Forget a target that has left the pool."""
        self.rows.pop(target, None)


@dataclass
class BrittleStatements:
    """Which targets have stated to this host that they are brittle.

    Attributes
    ----------
    stated_at : dict
        Time of the last such answer of each target, in seconds.
    """

    stated_at: dict[TargetName, float] = field(default_factory=dict)

    def observe(self, target: TargetName, now: float) -> bool:
        """Record a statement; return whether the target had not made it of late."""
        is_new = not self.includes(target, now)
        self.stated_at[target] = now
        return is_new

    def retain(self, targets: Collection[TargetName]) -> None:
        """Forget all targets but ``targets``."""
        self.stated_at = {
            name: at for name, at in self.stated_at.items() if name in targets
        }

    def includes(self, target: TargetName, now: float) -> bool:
        """Return whether a target counts as brittle."""
        return now - self.stated_at.get(target, float("-inf")) < STATEMENT_MEMORY_S
