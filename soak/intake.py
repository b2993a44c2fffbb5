"""Checks, from outside, that hosts that say they are ready take new connections."""

from collections import defaultdict
from dataclasses import dataclass, field

MIN_TRIES = 7
"""Number of new connections of which a ready host takes at least one."""
MAX_STRETCH_S = 4.0
"""Time in which a ready host takes at least one of so many."""


@dataclass(frozen=True)
class Try:
    """A new connection to a host: when, in seconds, and whether it was taken."""

    at: float
    taken: bool


@dataclass
class Intake:
    """Tries at each host, and when each host was asked whether it is ready.

    Attributes
    ----------
    tries : dict
        Tries by host name.
    unready : dict
        Times at which a host did not say that it is ready, by host name.
    """

    tries: dict[str, list[Try]] = field(default_factory=lambda: defaultdict(list))
    unready: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))

    def find_stretches(self) -> list[str]:
        """Return a line for each ready host that took nobody for too long."""
        lines = []
        for host, tries in self.tries.items():
            stretch = self.longest_stretch(host, sorted(tries, key=lambda row: row.at))
            if stretch is not None:
                count, length_s = stretch
                lines.append(f"{host} took none of {count} in {length_s:.1f} s")
        return lines

    def longest_stretch(self, host: str, tries: list[Try]) -> tuple[int, float] | None:
        """Return the tries and seconds of the longest stretch, if it is too long."""
        worst = None
        begin, count = None, 0
        for row in tries:
            if row.taken or begin is None:
                begin, count = row.at, int(not row.taken)
                continue
            count += 1
            length_s = row.at - begin
            was_ready = not any(begin <= at <= row.at for at in self.unready[host])
            if count >= MIN_TRIES and length_s > MAX_STRETCH_S and was_ready:
                worst = max(worst or (0, 0.0), (count, length_s), key=lambda x: x[1])
        return worst
