"""Records which targets state in their answers that they are leaving.

Load pattern: a target leaves while the store, which should tell of it, is away or
late. Its entry says that it takes requests, and calls that are sent there break when
its process ends.

A target that leaves doesn't come back: only another process of it takes requests again.

Pure: times are passed in.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.decisions.target_processes import ProcessRow, drop_ended
from godwitladder.ids import TargetName


@dataclass
class Departures:
    """Targets that have stated that they are leaving.

    Attributes
    ----------
    rows : dict
        The leaving process of each target.
    """

    rows: dict[TargetName, ProcessRow] = field(default_factory=dict)

    def observe(self, target: TargetName, generation: str, now: float) -> bool:
        """Record that a process of a target leaves; return whether that is new."""
        if self.includes(target, generation):
            return False
        self.rows[target] = ProcessRow(generation, now)
        return True

    def includes(self, target: TargetName, generation: str) -> bool:
        """Return whether this process leaves; any thread may call it."""
        row = self.rows.get(target)
        return row is not None and row.generation == generation

    def keep_generations(
        self, generations: Mapping[TargetName, str], now: float
    ) -> None:
        """Forget processes that have ended; see `drop_ended`."""
        drop_ended(self.rows, generations, now)
