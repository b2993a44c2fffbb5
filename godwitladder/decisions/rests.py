"""Records for how long targets want no requests from this host.

Load pattern: a full target refuses a request and states when the host may try again.
Each further request in that time is refused too, costs the target work that it can't
afford, and costs its caller an attempt, or all of them if the request may be sent once.

What a target wants is stated to one host, and holds for that host: others may still
send their requests there.

Pure: times are passed in.

Thresholds
----------
MAX_REST_S : a longer time is taken for a mistake. It bounds how long a target stays
    unused by a single wrong answer.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.decisions.target_processes import ProcessRow, drop_ended
from godwitladder.ids import TargetName

MAX_REST_S = 600.0


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

    def keep_generations(
        self, generations: Mapping[TargetName, str], now: float
    ) -> None:
        """Forget rests of processes that have ended; see `drop_ended`."""
        drop_ended(self.rows, generations, now)
