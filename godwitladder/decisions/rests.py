"""Decides for how long a target gets no requests from a host that it has refused.

Load pattern: a full target refuses a request and states when the host may try again.
Each further request in that time is refused too, costs the target work that it can't
afford, and costs its caller an attempt, or all of them if the request may be sent once.

What a target wants is stated to one host, and holds for that host: others may still
send their requests there. So nothing is shared between hosts. A host tells its
allocator how long each rest still lasts, so that no request of it is granted there in
the meantime, and one is as soon as the rest ends. Rests are listed when they begin and
once a second: some 30 bytes for each resting target and busy host in a second.

A process that was frozen finds its rests as much shorter as it stood still. One that
is restarted has forgotten them and is refused once more.

Pure: times are passed in.

Thresholds
----------
MAX_REST_S : a longer time is taken for a mistake. It bounds how long a target stays
    unused by a single wrong answer.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from godwitladder.decisions.target_processes import ProcessRow, drop_ended
from godwitladder.ids import TargetName

MAX_REST_S = 600.0


@dataclass(frozen=True)
class RemainingRest:
    """A target that wants no requests from a host, as told to its allocator.

    Attributes
    ----------
    rest_s : float
        Seconds for which it still wants none.
    """

    target: TargetName
    rest_s: float


@dataclass
class Rest(ProcessRow):
    """The time until which one target wants no requests.

    Attributes
    ----------
    until : float
        End of the rest, in seconds.
    """

    until: float


@dataclass
class Rests:
    """Rests of targets, as stated to this host.

    Attributes
    ----------
    rows : dict
        Rests by target; some may have ended.
    """

    rows: dict[TargetName, Rest] = field(default_factory=dict)

    def observe(
        self, target: TargetName, generation: str, rest_s: float, now: float
    ) -> bool:
        """Record a rest of so many seconds; return whether the target had none.

        Of two rests, the one that ends later holds.
        """
        if rest_s <= 0:
            return False
        before_s = self.remaining_s(target, generation, now)
        until = now + max(before_s, min(rest_s, MAX_REST_S))
        self.rows[target] = Rest(generation, now, until)
        return before_s <= 0

    def remaining_s(self, target: TargetName, generation: str, now: float) -> float:
        """Return the seconds left of a rest, or 0; any thread may call it."""
        row = self.rows.get(target)
        if row is None or row.generation != generation:
            return 0.0
        return max(0.0, row.until - now)

    def statements(
        self, targets: Collection[TargetName], now: float
    ) -> tuple[RemainingRest, ...]:
        """Return the rests of ``targets`` that have not ended."""
        return tuple(
            RemainingRest(name, row.until - now)
            for name, row in sorted(self.rows.items())
            if name in targets and row.until > now
        )

    def keep_generations(
        self, generations: Mapping[TargetName, str], now: float
    ) -> None:
        """Forget rests of processes that have ended; see `drop_ended`."""
        drop_ended(self.rows, generations, now)
