"""Leads a rollout from its order to its outcome.

Pure: times are passed in, in seconds.
"""

import enum
from dataclasses import dataclass

from godwitladder.decisions.rollouts.evidence import Evidence
from godwitladder.decisions.rollouts.exposure import ExposureBudget
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState


class Phase(enum.Enum):
    """Phase of a rollout.

    Attributes
    ----------
    TRIAL
        The new version gets a share of the calls.
    CUTOVER
        New calls go to the new version as far as its exposure allows, else to the old
        one.
    COMPLETED
        The store holds ``completed``: only the new version is used.
    ROLLED_BACK
        The new version gets nothing.
    """

    TRIAL = "trial"
    CUTOVER = "cutover"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class CutoverMode(enum.Enum):
    """How the new version gets from its trial to all calls.

    Attributes
    ----------
    RESERVED
        A constant share on trial; the rest of the exposure is kept for the end.
    STEPPED
        A share that grows with the evidence.
    """

    RESERVED = "reserved"
    STEPPED = "stepped"


@dataclass(frozen=True)
class RolloutLimits:
    """Bounds of rollouts, from the deployment's settings.

    Attributes
    ----------
    exposure_share : float
        Share of its service's requests that a version may get before it is completed.
    exposure_slack : int
        Number of requests that it may get beyond the share.
    rollback_s : float
        Seconds from a version's 50th bad answer to the last request sent to it.
    write_s : float
        Seconds before the deadline at which ``completed`` is to be written.
    mode : CutoverMode
    """

    exposure_share: float
    exposure_slack: int = 50
    rollback_s: float = 5.0
    write_s: float = 0.3
    mode: CutoverMode = CutoverMode.RESERVED


@dataclass(frozen=True)
class Step:
    """What to do until the next step.

    Attributes
    ----------
    share : float
        Share of the calls of each route to grant for the new version, as far as
        `ExposureBudget.may_expose` allows; 0 to grant none.
    new_only : bool
        Whether new calls go to the new version alone. While `Phase.CUTOVER` lasts,
        calls that `ExposureBudget.may_expose` does not allow go to the old version.
    outcome : RolloutState or None
        Outcome to write to the store; repeated until `RolloutProgress.record_outcome`
        is told what the store holds.
    """

    phase: Phase
    share: float = 0.0
    new_only: bool = False
    outcome: RolloutState | None = None


class RolloutProgress:
    """A rollout, as one term of an allocator sees it.

    Parameters
    ----------
    order : RolloutOrder
    limits : RolloutLimits
    ordered_at : float
        Earliest time at which the order may have been acknowledged, such as that of the
        last read of the store without it.

    Attributes
    ----------
    deadline : float
        Time by which an outcome must be written.
    phase : Phase
    """

    def __init__(
        self, order: RolloutOrder, limits: RolloutLimits, ordered_at: float
    ) -> None:
        self.order = order
        self.limits = limits
        self.deadline = ordered_at + order.duration_s
        self.phase = Phase.TRIAL

    def step(self, evidence: Evidence, exposure: ExposureBudget, now: float) -> Step:
        """Take the evidence in and return what to do until the next step."""
        if self.phase is Phase.COMPLETED:
            return Step(self.phase, 1.0, True)
        if self.phase is Phase.ROLLED_BACK or now >= self.deadline:
            self.phase = Phase.ROLLED_BACK
            return Step(self.phase, outcome=RolloutState.ROLLED_BACK)
        return Step(self.phase, self.limits.exposure_share / 2)

    def condemn(self) -> None:
        """Record that another allocator has condemned the version."""
        if self.phase is not Phase.COMPLETED:
            self.phase = Phase.ROLLED_BACK

    def record_outcome(self, state: RolloutState) -> None:
        """Record the outcome of the order that the store holds; it is final.

        It may differ from this term's own: another host may have written it first.
        """
        if state is RolloutState.COMPLETED:
            self.phase = Phase.COMPLETED
        elif state is RolloutState.ROLLED_BACK:
            self.phase = Phase.ROLLED_BACK
