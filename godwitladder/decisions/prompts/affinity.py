"""Records which targets may have a prompt prefix in their cache.

Many requests share a long prefix. Placed on any target, each of them pays for its
prefill again. Placed always on the target that has it cached, a popular prefix
overloads that target while others are idle. The target with the prefix is therefore
preferred only while its load is close to the pool's (see
`capacity.ServiceCapacity.choose`).

Cache events arrive late and some are lost, so the records are only hints. A dispatch
adds a hint at once, an event corrects it, and a hint that is not renewed expires. A
wrong hint costs one prefill and never affects the response.
"""

from collections import OrderedDict

from godwitladder.ids import TargetName

# Engines under load keep a prefix for a few minutes at most. When the eviction event
# was lost, a hint that is older than a minute is wrong as often as right.
HINT_TTL_S = 60.0
# Number of hints for each target: twice the prefixes that an engine's cache holds.
MAX_HINTS = 128


class PrefixHints:
    """Prefixes that each target may have cached, with the time of the last sign.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        self.hints: dict[TargetName, OrderedDict[str, float]] = {}

    def record_dispatch(self, target: TargetName, prefix: str, now: float) -> None:
        """Record that a request with ``prefix`` was sent to ``target``."""
        if not prefix:
            return
        times = self.hints.setdefault(target, OrderedDict())
        times[prefix] = now
        times.move_to_end(prefix)
        if len(times) > MAX_HINTS:
            times.popitem(last=False)

    def apply_event(
        self, target: TargetName, prefix: str, kept: bool, now: float
    ) -> None:
        """Apply a cache event of ``target``.

        Parameters
        ----------
        kept : bool
            Whether the prefix is in the cache (True) or was evicted (False).
        """
        if kept:
            self.record_dispatch(target, prefix, now)
        else:
            self.hints.get(target, {}).pop(prefix, None)

    def prefixes(self, target: TargetName, now: float) -> set[str]:
        """Return the prefixes that ``target`` may have cached.

        Expired hints are removed.
        """
        times = self.hints.get(target)
        if not times:
            return set()
        while times and now - next(iter(times.values())) > HINT_TTL_S:
            times.popitem(last=False)
        return set(times)

    def forget(self, target: TargetName) -> None:
        """Remove a target that no longer exists or was restarted."""
        self.hints.pop(target, None)
