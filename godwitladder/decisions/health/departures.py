"""Decides which targets get no more requests because they state that they leave.

Load pattern: a target leaves while the store, which should tell of it, is away or
late. Its entry says that it takes requests, and calls that are sent there break when
its process ends.

A target that leaves doesn't come back: only another process of it takes requests again.

A host that is told sends nothing more there, whatever its allocator grants, and tells
the allocator with its next report. The allocator then grants that target to nobody, so
that one answer to any host is enough. Hosts that the allocator can't reach each have
to be told by an answer of their own. All known departures are listed once a second, and
new ones at once: some 40 bytes for each leaving target and busy host.

Pure: times are passed in.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from godwitladder.decisions.health.target_processes import ProcessRow, drop_ended
from godwitladder.ids import TargetName


@dataclass(frozen=True)
class Departure:
    """A process of a target that leaves, as hosts tell it to their allocators."""

    target: TargetName
    generation: str


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

    def observe_all(
        self,
        departures: Iterable[Departure],
        generations: Mapping[TargetName, str],
        now: float,
    ) -> None:
        """Record what another host has told, except of processes that have ended."""
        for row in departures:
            if generations.get(row.target) == row.generation:
                self.observe(row.target, row.generation, now)

    def statements(self, targets: Collection[TargetName]) -> tuple[Departure, ...]:
        """Return which of ``targets`` are known to leave."""
        return tuple(
            Departure(name, row.generation)
            for name, row in sorted(self.rows.items())
            if name in targets
        )

    def includes(self, target: TargetName, generation: str) -> bool:
        """Return whether this process leaves; any thread may call it."""
        row = self.rows.get(target)
        return row is not None and row.generation == generation

    def keep_generations(
        self, generations: Mapping[TargetName, str], now: float
    ) -> None:
        """Forget processes that have ended; see `drop_ended`."""
        drop_ended(self.rows, generations, now)
