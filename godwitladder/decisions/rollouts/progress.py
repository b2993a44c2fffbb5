"""Leads a rollout from its order to its outcome.

Load pattern: the new version may turn bad at any time until its outcome is written,
also under the full load that it gets only at the end. All that it gets until the
deadline counts as exposed, also what it gets after ``completed`` is written.

The exposure is therefore spent in two parts. On trial the version gets a constant share
of each route. In the cutover it gets all new calls. The cutover begins as soon as the
rest of the exposure lasts until the deadline at the current rate of requests, unless
the evidence speaks against the version. ``completed`` is written shortly before the
deadline, if the version is proved; a version that completes earlier and is bad after
all would exceed its exposure.

A term that takes over begins with an empty budget. Its cutover is shorter, or the
version is rolled back without proof.

Pure: times are passed in, in seconds.

Thresholds
----------
TRIAL_FRACTION : fraction of the exposure that the trial gets; the cutover needs the
    rest, so that a version that fails under load is seen.
MOST_TRIAL_FRACTION, TRIAL_REQUESTS : fraction that the trial gets if it does not reach
    this number of requests otherwise. A proof needs about a hundred answers.
DEVIATIONS : standard deviations by which more requests may arrive until the deadline
    than at the current rate; the arrivals of independent callers vary as in a Poisson
    process. What `SPENT_FRACTION` leaves adds to this.
RATE_KNOWN_S : seconds of a term after which its rate of requests is known.
LAST_WRITE_S : seconds before the deadline after which ``completed`` is no longer
    written for the first time, as it would come late.
FIRST_STEP, STEP_FACTOR, STEP_EVIDENCE : first share of `CutoverMode.STEPPED` as a
    fraction of the exposure, the factor between steps, and the evidence for each as
    the logarithm of a likelihood ratio.
MOST_STEPS : number of steps after which the share is certainly the whole exposure.
LAST_STEP_S : seconds for which `CutoverMode.STEPPED` gives the new version all calls
    before ``completed`` is written.
"""

import enum
import math
from dataclasses import dataclass

from godwitladder.decisions.rollouts.evidence import Evidence
from godwitladder.decisions.rollouts.exposure import SPENT_FRACTION, ExposureBudget
from godwitladder.decisions.rollouts.ratio_test import RatioTest, Verdict
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.ids import Release

TRIAL_FRACTION = 0.3
MOST_TRIAL_FRACTION = 0.4
TRIAL_REQUESTS = 150
DEVIATIONS = 2.5
RATE_KNOWN_S = 1.0
LAST_WRITE_S = 0.1
FIRST_STEP = 0.1
STEP_FACTOR = 2.0
STEP_EVIDENCE = 1.0
LAST_STEP_S = 0.2
MOST_STEPS = 10


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
        Most seconds from a version's 50th bad answer to the last request sent to it.
        The test condemns a version that fails before its 50th, and a slow one within
        seconds; no decision waits for this bound.
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
    test : RatioTest
        The evidence that decides, also for log lines.
    is_completing : bool
        Whether ``completed`` is to be written, and may have been.
    began_at : float or None
        Time of the first step of this term.
    """

    def __init__(
        self, order: RolloutOrder, limits: RolloutLimits, ordered_at: float
    ) -> None:
        self.order = order
        self.limits = limits
        self.deadline = ordered_at + order.duration_s
        self.phase = Phase.TRIAL
        self.test = RatioTest(Release(order.release))
        self.is_completing = False
        self.began_at: float | None = None

    def step(self, evidence: Evidence, exposure: ExposureBudget, now: float) -> Step:
        """Take the evidence in and return what to do until the next step.

        A step per run of the allocator is enough; `ExposureBudget.may_expose` holds
        the bound between steps.
        """
        if self.began_at is None:
            self.began_at = now
        if self.phase is Phase.COMPLETED:
            return Step(self.phase, 1.0, True)
        if self.phase is not Phase.ROLLED_BACK:
            self.test.update(evidence, now)
            self.advance(exposure, now)
        if self.phase is Phase.ROLLED_BACK:
            return Step(self.phase, outcome=RolloutState.ROLLED_BACK)
        if self.phase is Phase.CUTOVER:
            exposure.reserved = self.needed(exposure, now, self.limits.write_s)
            return Step(self.phase, 1.0, True, self.outcome(exposure, now))
        return Step(self.phase, self.trial_share(exposure, now))

    def advance(self, exposure: ExposureBudget, now: float) -> None:
        """Change the phase according to the evidence and the time."""
        if self.test.is_condemned or now >= self.last_chance():
            self.phase = Phase.ROLLED_BACK
        elif self.phase is Phase.TRIAL and self.may_cut_over(exposure, now):
            self.phase = Phase.CUTOVER
            self.test.is_at_full_load = True

    def last_chance(self) -> float:
        """Return the time from which the version is rolled back without proof.

        It leaves time to write that before the deadline. A ``completed`` whose result
        is not known is repeated until the deadline.
        """
        if self.phase is Phase.TRIAL:
            return self.deadline - self.limits.write_s
        return self.deadline - (0.0 if self.is_completing else LAST_WRITE_S)

    def may_cut_over(self, exposure: ExposureBudget, now: float) -> bool:
        """Return whether all calls may go to the new version until the deadline."""
        remaining = self.deadline - now
        in_cutover = self.mean_need(exposure, now, remaining - self.limits.write_s)
        needed = in_cutover + self.needed(exposure, now, self.limits.write_s)
        began_at = now if self.began_at is None else self.began_at
        return (
            now - began_at >= RATE_KNOWN_S
            and exposure.request_rate(now) > 0
            and needed <= exposure.available()
            and self.test.may_be_good()
        )

    def mean_need(self, exposure: ExposureBudget, now: float, seconds: float) -> float:
        """Return the budget that all calls of some seconds need in the mean."""
        requests = exposure.request_rate(now) * seconds
        return requests * (1.0 - SPENT_FRACTION * exposure.share)

    def needed(self, exposure: ExposureBudget, now: float, seconds: float) -> float:
        """Return the budget that all calls of some seconds need at most."""
        requests = exposure.request_rate(now) * seconds
        deviation = DEVIATIONS * math.sqrt(requests)
        return self.mean_need(exposure, now, seconds) + deviation

    def outcome(self, exposure: ExposureBudget, now: float) -> RolloutState | None:
        """Return the outcome to write during the cutover, if any."""
        remaining = self.deadline - now
        if self.is_completing:
            return RolloutState.COMPLETED
        self.is_completing = (
            remaining <= self.limits.write_s
            and self.needed(exposure, now, remaining) <= exposure.available()
            and self.test.verdict() is Verdict.PROVED
        )
        return RolloutState.COMPLETED if self.is_completing else None

    def trial_share(self, exposure: ExposureBudget, now: float) -> float:
        """Return the share of the calls that the trial gets."""
        expected = self.expected_requests(exposure, now)
        whole = SPENT_FRACTION * exposure.share
        if expected:
            whole += exposure.slack / expected
        if self.limits.mode is CutoverMode.RESERVED:
            enough = TRIAL_REQUESTS / expected if expected else 0.0
            most = MOST_TRIAL_FRACTION * whole
            return max(TRIAL_FRACTION * whole, min(most, enough))
        steps = max(0.0, -self.test.proof_ratio()) // STEP_EVIDENCE
        steps = min(MOST_STEPS, steps)
        share = FIRST_STEP * whole * STEP_FACTOR**steps
        if not expected:
            return min(share, whole)
        final_s = self.limits.write_s + LAST_STEP_S
        final = self.needed(exposure, now, final_s)
        return max(0.0, min(share, whole - final / expected))

    def expected_requests(self, exposure: ExposureBudget, now: float) -> float:
        """Return the requests of this term until the deadline; 0 if not yet known."""
        began_at = now if self.began_at is None else self.began_at
        if now - began_at < RATE_KNOWN_S:
            return 0.0
        rate = exposure.requests / (now - began_at)
        return exposure.requests + rate * max(0.0, self.deadline - now)

    def condemn(self) -> None:
        """Record that another allocator has condemned the version."""
        self.test.is_condemned = True
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
