"""Decides for how long a target gets no requests from a host that it has refused.

Load pattern: a full target refuses a request and states when the host may retry. Each
further request until then is refused too, costs the target work that it can't afford,
and costs its caller an attempt, or all of them if the request may be sent once.

A cooldown is stated to one host and holds for that host; others may still send their
requests, so hosts share nothing. A host tells its allocator how long each cooldown
still lasts. The allocator grants it other targets until then, and this one as soon as
the cooldown ends. Cooldowns are listed when they begin and once a second: some 30 bytes
for each of them in a report.

The cooldowns of a frozen process go on, since its clock does. One that is restarted has
forgotten them and is refused once more.

Pure: times are passed in.

Thresholds
----------
MAX_COOLDOWN_S : a longer time is taken for a mistake. It bounds how long a target stays
    unused by a single wrong answer.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from godwitladder.decisions.health.target_processes import ProcessRow, drop_ended
from godwitladder.ids import TargetName

MAX_COOLDOWN_S = 600.0


@dataclass(frozen=True)
class RemainingCooldown:
    """A cooldown of a target, as a host tells it to its allocator.

    Attributes
    ----------
    cooldown_s : float
        Seconds until it ends.
    """

    target: TargetName
    cooldown_s: float


@dataclass
class Cooldown(ProcessRow):
    """The cooldown of one target.

    Attributes
    ----------
    until : float
        End of the cooldown, in seconds.
    """

    until: float


@dataclass
class Cooldowns:
    """Cooldowns of targets, as stated to this host.

    Attributes
    ----------
    rows : dict
        Cooldowns by target; some may have ended.
    """

    rows: dict[TargetName, Cooldown] = field(default_factory=dict)

    def observe(
        self, target: TargetName, generation: str, cooldown_s: float, now: float
    ) -> bool:
        """Record a cooldown of so many seconds; return whether the target had none.

        Of two cooldowns, the one that ends later holds.
        """
        if cooldown_s <= 0:
            return False
        before_s = self.remaining_s(target, generation, now)
        until = now + max(before_s, min(cooldown_s, MAX_COOLDOWN_S))
        self.rows[target] = Cooldown(generation, now, until)
        return before_s <= 0

    def remaining_s(self, target: TargetName, generation: str, now: float) -> float:
        """Return the seconds left of a cooldown, or 0; any thread may call it."""
        row = self.rows.get(target)
        if row is None or row.generation != generation:
            return 0.0
        return max(0.0, row.until - now)

    def statements(
        self, targets: Collection[TargetName], now: float
    ) -> tuple[RemainingCooldown, ...]:
        """Return the cooldowns of ``targets`` that have not ended."""
        return tuple(
            RemainingCooldown(name, row.until - now)
            for name, row in sorted(self.rows.items())
            if name in targets and row.until > now
        )

    def keep_generations(
        self, generations: Mapping[TargetName, str], now: float
    ) -> None:
        """Forget cooldowns of processes that have ended; see `drop_ended`."""
        drop_ended(self.rows, generations, now)
