"""Records the rate limits that targets state in their answers.

Load pattern: a target in need states how many requests per second it takes from all
hosts together, while it still has free slots. Short requests pass through a few slots
many times per second, so a limit on concurrent requests doesn't keep to it.

Pure: times are passed in.

Thresholds
----------
KEEP_ABSENT_S : a target whose entry lapses and returns, as after an outage of the
    store, still has its limit; one that was absent for this long has ended.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.ids import TargetName

NO_LIMIT = math.inf
KEEP_ABSENT_S = 60.0


@dataclass
class LimitRow:
    """What one target last stated.

    Attributes
    ----------
    generation : str
        Generation of the target that stated it.
    requests_per_s : float
        Requests that it takes from all hosts together; infinite for no limit.
    observed_at, present_at : float
        Times of the answer that stated it, and when the target last had an entry.
    """

    generation: str
    requests_per_s: float
    observed_at: float
    present_at: float


@dataclass
class RateLimits:
    """Rate limits by target.

    Attributes
    ----------
    rows : dict
        Last statement of each target that has stated a limit.
    limited : frozenset of TargetName
        Targets that have a limit now, always replaced as a whole, so that any
        thread may read it.
    """

    rows: dict[TargetName, LimitRow] = field(default_factory=dict)
    limited: frozenset[TargetName] = frozenset()

    def observe(
        self,
        target: TargetName,
        generation: str,
        requests_per_s: float,
        observed_at: float,
    ) -> bool:
        """Record a statement; return whether it changes what was known.

        Statements older than the known one have no effect.
        """
        row = self.rows.get(target)
        if row is not None and observed_at < row.observed_at:
            return False
        if row is None and requests_per_s == NO_LIMIT:
            return False
        changed = row is None or row.requests_per_s != requests_per_s
        present_at = observed_at if row is None else row.present_at
        self.rows[target] = LimitRow(
            generation, requests_per_s, observed_at, max(present_at, observed_at)
        )
        self.update_limited()
        return changed

    def keep_generations(
        self, generations: Mapping[TargetName, str], now: float
    ) -> None:
        """Forget targets that have restarted, or have been absent for long.

        Parameters
        ----------
        generations : mapping
            Generation of each target that has an entry now.
        now : float
            Current time, in seconds.
        """
        for name, row in list(self.rows.items()):
            generation = generations.get(name)
            if generation is not None:
                row.present_at = now
            restarted = generation is not None and generation != row.generation
            if restarted or now - row.present_at > KEEP_ABSENT_S:
                del self.rows[name]
        self.update_limited()

    def update_limited(self) -> None:
        """Compute ``limited`` again."""
        self.limited = frozenset(
            name for name, row in self.rows.items() if row.requests_per_s != NO_LIMIT
        )
