"""Remembers which target may hold a prompt's prefix in its cache.

Load pattern: many requests share a long start. Sent anywhere, each pays the
prefill of it again; sent always to the target that has it, a popular prefix
makes one target hot while others idle. So the holder is preferred only while
its load stays near the pool's (see `capacity.Room.choose`).

Cache events come late and with gaps, so they are hints only: a dispatch sets
a hint at once, an event corrects it, and a hint that nothing renewed fades.
A wrong hint costs one prefill, never a wrong answer.

Thresholds
----------
HINT_S : engines keep a prefix for minutes at most under load; a hint older
    than a minute is as often wrong as right when a "dropped" event was lost.
HINTS : prefixes remembered for each target, twice an engine's cache.
"""

from collections import OrderedDict

from godwitladder.ids import TargetName

HINT_S = 60.0
HINTS = 128


class PrefixHints:
    """Prefixes that targets may hold, with the time of the last sign of each."""

    def __init__(self) -> None:
        self.rows: dict[TargetName, OrderedDict[str, float]] = {}

    def record_dispatch(self, target: TargetName, prefix: str, now: float) -> None:
        """A request with ``prefix`` was sent to ``target``."""
        if not prefix:
            return
        held = self.rows.setdefault(target, OrderedDict())
        held[prefix] = now
        held.move_to_end(prefix)
        if len(held) > HINTS:
            held.popitem(last=False)

    def take_event(
        self, target: TargetName, prefix: str, kept: bool, now: float
    ) -> None:
        """Take in a cache event of ``target``."""
        if kept:
            self.record_dispatch(target, prefix, now)
        else:
            self.rows.get(target, {}).pop(prefix, None)

    def prefixes(self, target: TargetName, now: float) -> set[str]:
        """Return what ``target`` may hold, and drop hints that have faded."""
        held = self.rows.get(target)
        if not held:
            return set()
        while held and now - next(iter(held.values())) > HINT_S:
            held.popitem(last=False)
        return set(held)

    def forget(self, target: TargetName) -> None:
        """Drop a target that is gone or was restarted."""
        self.rows.pop(target, None)
