"""Trials of requests that are suspected to crash targets.

Pure: times are passed in, in seconds.
"""

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from godwitladder.ids import TargetName, TraitId

NO_REQUEST = TraitId("")


@dataclass
class Trial:
    """A suspect that runs.

    Attributes
    ----------
    until : float
        Time after which the trial counts as ended, as its host may be gone.
    request : TraitId
        The request on trial as a whole; empty if not known.
    held : frozenset of TraitId
        The traits for which it is on trial.
    is_lost : bool
        Whether its answer was lost, and nothing shows yet whether its target crashed.
    """

    target: TargetName
    until: float
    request: TraitId = NO_REQUEST
    held: frozenset[TraitId] = frozenset()
    is_lost: bool = False


@dataclass
class Trials:
    """Trials of suspects, at most one for each trait and each target.

    With two on one target, a crash would not show which of them was the cause.
    """

    max_trial_s: float
    rows: dict[TraitId, Trial] = field(default_factory=dict)

    def begin(
        self,
        trait: TraitId,
        target: TargetName,
        now: float,
        request: TraitId = NO_REQUEST,
        held: Collection[TraitId] = (),
    ) -> None:
        """Record that a trial of ``trait`` begins, of a ``request`` that has it.

        ``held`` are all traits for which the request is on trial.
        """
        until = now + self.max_trial_s
        self.rows[trait] = Trial(target, until, request, frozenset(held))

    def lose(self, trait: TraitId, now: float, request: TraitId) -> None:
        """Record that the answer to a trial of ``request`` was lost.

        The trial lasts on, until more is known of its target.
        """
        trial = self.rows.get(trait)
        if trial is not None and trial.request == request:
            trial.until = now + self.max_trial_s
            trial.is_lost = True

    def end(self, trait: TraitId, request: TraitId = NO_REQUEST) -> None:
        """Record that a trial has ended; of another request's nothing is known."""
        trial = self.rows.get(trait)
        if trial is not None and request in (NO_REQUEST, trial.request):
            del self.rows[trait]

    def is_running(self, trait: TraitId, now: float) -> bool:
        """Return whether a request with ``trait`` is on trial."""
        trial = self.rows.get(trait)
        return trial is not None and trial.until > now

    def must_wait(self, held: Collection[TraitId], now: float) -> bool:
        """Return whether a request that may run on trial only has to wait for others.

        If the answer to another trial was lost, the verdict may take seconds. A
        request with only some of its traits does not wait: to know of them is of use
        whatever the verdict. Otherwise a part that most requests share would hold
        them all back for the part beside it.
        """
        traits = frozenset(held)
        for trait in traits:
            if self.is_running(trait, now):
                trial = self.rows[trait]
                if not (trial.is_lost and traits < trial.held):
                    return True
        return False

    def is_used(self, target: TargetName, now: float) -> bool:
        """Return whether any request is on trial at a target."""
        return any(row.target == target and row.until > now for row in self._rows())

    def _rows(self) -> Sequence[Trial]:
        return tuple(self.rows.values())
