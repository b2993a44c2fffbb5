"""Counts the answers to one call for the rollout of its service, if there is one."""

from godwitladder.clock import Clock
from godwitladder.engines.wire import MayHaveRun
from godwitladder.logs import component_logger
from godwitladder.rollouts.counts import AnswerResult, HostRollouts, TrackedAnswer
from godwitladder.routing.calls import RoutedCall
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.call_log import CallLog
from godwitladder.serving.call_watcher import AbortCause
from godwitladder.serving.target_evidence import MIN_SILENCE_S

log = component_logger("passing")


class VersionRecorder:
    """What one call shows of the versions that it is sent to.

    Parameters
    ----------
    call : RoutedCall
    rollouts : HostRollouts
        Counts the answers of versions during rollouts.
    clock : Clock
        The host's clock.
    call_log : CallLog
        Has the log fields of the call.

    Attributes
    ----------
    counted : TrackedAnswer or None
        The answer to the last send, if a rollout of the service is under way.
    dispatch : Dispatch or None
        The dispatch of the last send.
    read_tokens : int
        Prompt tokens that the target has to read for it.
    """

    def __init__(
        self,
        call: RoutedCall,
        rollouts: HostRollouts,
        clock: Clock,
        call_log: CallLog,
    ) -> None:
        self.call = call
        self.rollouts = rollouts
        self.log = call_log
        self.clock = clock
        self.counted: TrackedAnswer | None = None
        self.dispatch: Dispatch | None = None
        self.read_tokens = 0

    def begin(self, dispatch: Dispatch) -> None:
        """Count a send."""
        row = self.call.row
        self.dispatch = dispatch
        self.read_tokens = self.rollouts.tokens_to_read(
            dispatch.target, self.call.metadata.parts
        )
        self.counted = self.rollouts.begin(
            row.service, dispatch.release, row.route, self.clock.monotonic()
        )

    def record_output(self) -> None:
        """Count the time to the first output of the last send."""
        if self.counted is not None:
            self.counted.record_output(self.clock.monotonic(), self.read_tokens)

    def record_status(self, status: int) -> None:
        """Count an answer by its HTTP status."""
        result = AnswerResult.FAILED if status >= 500 else AnswerResult.GOOD
        self.record_end(result, str(status))

    def record_end(self, result: AnswerResult, detail: str = "") -> None:
        """Count the end of the answer to the last send, once."""
        if self.counted is not None and self.counted.end(result):
            extra = self.log.fields() | {
                "release": self.dispatch.release,
                "detail": detail,
            }
            log.info("An answer has failed during a rollout", extra=extra)

    def record_loss(
        self, error: MayHaveRun, cause: AbortCause | None, silence_s: float
    ) -> None:
        """Count a lost answer as failed if the target may be to blame.

        A caller that disconnects tells nothing of the target; its silence up to the
        deadline does.

        Parameters
        ----------
        cause : AbortCause or None
            Why this host ended the call; None if it did not.
        silence_s : float
            Seconds since the last sign of the target.
        """
        is_silent = silence_s >= MIN_SILENCE_S
        if cause is None or (cause is AbortCause.TIMEOUT and is_silent):
            self.record_end(AnswerResult.FAILED, str(error))
