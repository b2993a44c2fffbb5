"""What a call shows of the target it was sent to: lost, silent, malformed or done."""

from godwitladder.clock import Clock
from godwitladder.decisions.health.crashes import TargetProcess
from godwitladder.engines.wire import MalformedAnswer, MayHaveRun
from godwitladder.ids import TargetName
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.quarantine.evidence import LostCall
from godwitladder.quarantine.gate import QuarantineGate
from godwitladder.quarantine.traits import RequestTraits
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.upstream import ForeignAnswer

log = component_logger("passing")

NO_PROCESS = TargetProcess(TargetName(""))

MIN_SILENCE_S = 1.0
"""Silence of a target, in seconds, from which it is to blame for a call that this host
ended."""
MIN_UNHEARD_S = 0.15
"""Time in seconds without a sign of a target's process in any call of this host, from
which the process may have ended. Targets at work are heard of more often."""
EARLY_CHECK_S = 0.15
"""Time in seconds after which the target is looked at if a call ended before that: the
process may have ended under it."""


class TargetEvidence:
    """Records what one call shows of its targets.

    Parameters
    ----------
    traits : RequestTraits
        What the request has in common with others.
    quarantine : QuarantineGate
        Holds back calls that crash targets.
    clock : Clock
        The host's clock.
    metrics : Metrics
        Counts malformed answers.

    Attributes
    ----------
    dispatch : Dispatch or None
        The dispatch of the last send.
    on_trial : bool
        Whether the call runs as the trial of a request that targets crashed under.
    process : TargetProcess
        The process of the target of the last send.
    heard_at : float
        Monotonic time of the last sign of the target, or of the send.
    """

    def __init__(
        self,
        traits: RequestTraits,
        quarantine: QuarantineGate,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.traits = traits
        self.quarantine = quarantine
        self.clock = clock
        self.metrics = metrics
        self.dispatch: Dispatch | None = None
        self.on_trial = False
        self.process = NO_PROCESS
        self.heard_at = 0.0

    def begin(self, dispatch: Dispatch) -> None:
        """Record that the call is about to be sent.

        Raises
        ------
        HeldBack
            Targets crashed under the request.
        """
        self.dispatch = dispatch
        self.process = TargetProcess(dispatch.target, dispatch.generation)
        self.on_trial = self.quarantine.begin(self.traits, dispatch.target)
        self.heard_at = self.clock.monotonic()
        self.quarantine.under_way.begin(self)

    def record_sign(self) -> None:
        """Record that something of the target has arrived."""
        self.heard_at = self.clock.monotonic()
        self.quarantine.evidence.hear(self.process)

    def silence_s(self) -> float:
        """Return the seconds since the last sign of the target."""
        return self.clock.monotonic() - self.heard_at

    def unheard_s(self) -> float:
        """Return the seconds since the last sign of the target in any call."""
        heard_at = self.quarantine.evidence.last_heard(self.process)
        return self.clock.monotonic() - max(self.heard_at, heard_at)

    def record_loss(
        self,
        error: MayHaveRun,
        is_aborted: bool,
        is_path_broken: bool,
        is_direct: bool = True,
    ) -> bool:
        """Record that the answer was lost; return whether its target may have ended.

        Parameters
        ----------
        is_aborted : bool
            Whether this host ended the call; only a silence then shows anything.
        is_path_broken : bool
            Whether the way through another host broke, which says nothing of the
            target. Nor does the answer to another call.
        is_direct : bool, default=True
            Whether the call did not go through another host. This host has no way of
            its own to the target otherwise, so that only its entry tells.
        """
        if isinstance(error, MalformedAnswer):
            self.report_malformed(error)
        if isinstance(error, ForeignAnswer) or is_path_broken:
            return False
        if not is_aborted:
            may_have_ended = self.quarantine.record_loss(self.lost_call())
        elif not is_direct:
            self.quarantine.evidence.wait_for_entry(self.lost_call())
            return False
        elif self.on_trial or self.unheard_s() >= MIN_UNHEARD_S:
            may_have_ended = self.quarantine.record_silence(self.lost_call())
        else:
            may_have_ended = self.check_after_early_end()
        self.on_trial = self.on_trial and not may_have_ended
        return may_have_ended

    def check_after_early_end(self) -> bool:
        """Return whether the target may have ended under a call that ended at once.

        Its caller has left or has no time, so that nobody waits for this.
        """
        self.clock.sleep(EARLY_CHECK_S)
        if self.unheard_s() < EARLY_CHECK_S:
            return False
        return self.quarantine.record_early_end(self.lost_call())

    def lost_call(self) -> LostCall:
        """Return what to record if the answer to the last send is lost."""
        return LostCall(
            self.traits,
            self.dispatch.target,
            self.dispatch.address,
            self.dispatch.generation,
            self.on_trial,
        )

    def report_malformed(self, error: MalformedAnswer) -> None:
        """Log and count an answer that is none, or exceeds a limit."""
        self.metrics.malformed_answers.inc({"shape": error.shape.value})
        extra = {
            "target": self.dispatch.target,
            "address": self.dispatch.address,
            "shape": error.shape.value,
            "bytes": error.size,
            "error": str(error),
        }
        log.warning("The answer of a target is malformed", extra=extra)

    def record_completion(self) -> None:
        """Record that the call has run to its end."""
        self.quarantine.record_completion(self.traits)
        self.on_trial = False

    def end(self) -> None:
        """Wait for the target no longer; end a trial that has shown nothing."""
        self.quarantine.under_way.end(self)
        if self.on_trial:
            self.on_trial = False
            self.quarantine.end_trial(self.traits)
