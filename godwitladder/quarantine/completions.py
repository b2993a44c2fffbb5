"""What has completed on this host of late, while nothing was suspected."""

from collections.abc import Iterable

from godwitladder.ids import TraitId

MAX_COMPLETIONS = 20_000


class CompletionMemory:
    """When a request with each trait last completed here.

    Attributes
    ----------
    times : dict
        Monotonic time of the last completion of each trait, oldest first.
    """

    def __init__(self) -> None:
        self.times: dict[TraitId, float] = {}

    def record(self, traits: Iterable[TraitId], now: float) -> None:
        """Record that a request with ``traits`` has completed."""
        for trait in traits:
            self.times.pop(trait, None)
            self.times[trait] = now
        while len(self.times) > MAX_COMPLETIONS:
            del self.times[next(iter(self.times))]

    def last(self, trait: TraitId) -> float:
        """Return when ``trait`` last completed; minus infinity if it is not known."""
        return self.times.get(trait, float("-inf"))
