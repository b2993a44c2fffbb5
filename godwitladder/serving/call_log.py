"""Log lines on one routed call."""

from godwitladder.clock import Clock
from godwitladder.logs import component_logger
from godwitladder.outcomes import Refusal, RequestState
from godwitladder.quarantine.gate import loggable_parts
from godwitladder.routing.calls import RoutedCall
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.call_watcher import AbortCause
from godwitladder.serving.lateness import classify_lateness

log = component_logger("passing")

LOGGED_DIGEST_CHARS = 8


class CallLog:
    """Writes the log lines of one call; durations are in seconds.

    Parameters
    ----------
    call : RoutedCall
    clock : Clock
        The host's clock.

    Attributes
    ----------
    target : str
        Target of the last send; empty before.
    """

    def __init__(self, call: RoutedCall, clock: Clock) -> None:
        self.call = call
        self.clock = clock
        self.target = ""

    def fields(self) -> dict[str, str]:
        """Return the log fields that identify the call and its target."""
        return {
            "request": self.call.metadata.attempt,
            "route": self.call.route.name,
            "target": self.target,
        }

    def age_s(self) -> float:
        """Return the time since the call arrived."""
        return self.clock.monotonic() - self.call.row.arrived

    def record_send(
        self, dispatch: Dispatch, left_s: float, number: int, gateway: str, resumed: str
    ) -> None:
        """Log that the call is sent.

        Parameters
        ----------
        number : int
            Number of sends, with this one.
        resumed : str
            Id of the last event after which a stream goes on; empty if it begins.
        """
        row, metadata = self.call.row, self.call.metadata
        extra = self.fields() | {
            "waited_s": round(self.age_s(), 3),
            "left_s": round(left_s, 3),
            "body": row.body[:LOGGED_DIGEST_CHARS],
            "workspace": self.call.workspace,
            "rank": row.tier_rank,
            "charge": row.charge,
            "send": number,
            "granted_by": dispatch.granted_by,
            "gateway": gateway,
            "release": dispatch.release,
            "last_event": resumed or metadata.last_event,
            "resumes": metadata.resumes,
            "parts": loggable_parts(self.call.traits.parts),
        }
        log.info("A call is sent", extra=extra)

    def record_failed_send(
        self, text: str, dispatch: Dispatch, error: Exception, cause: AbortCause | None
    ) -> None:
        """Log why a send failed, and why this host ended the call if it did."""
        extra = self.fields() | {
            "address": dispatch.address,
            "error": str(error),
            "cause": cause.value if cause else "",
        }
        log.info(text, extra=extra)

    def record_end(
        self, state: RequestState, tokens: int, first_s: float, pause_s: float
    ) -> None:
        """Log the end of the call.

        Parameters
        ----------
        first_s : float
            Time to the first output; 0 if there was none.
        pause_s : float
            Longest time between two events.
        """
        row, took_s = self.call.row, self.age_s()
        first_at = row.arrived + (first_s or took_s)
        lateness = classify_lateness(row, first_at, pause_s, self.call.route.gap_s)
        extra = self.fields() | {
            "outcome": state.value,
            "lateness": lateness.value,
            "tokens": tokens,
            "prompt": row.prompt_tokens,
            "first_s": round(first_s, 3),
            "pause_s": round(pause_s, 3),
            "took_s": round(took_s, 3),
        }
        log.info("A call has ended", extra=extra)

    def record_refusal(self, refusal: Refusal) -> None:
        """Log that the scheduler refused the call."""
        row = self.call.row
        extra = self.fields() | {
            "reason": refusal.reason.value,
            "detail": refusal.detail,
            "decided_by": refusal.decided_by,
            "workspace": self.call.workspace,
            "rank": row.tier_rank,
            "charge": row.charge,
            "retry_after_s": refusal.retry_after_s,
            "body": row.body[:LOGGED_DIGEST_CHARS],
            "wait_s": round(row.deadline - row.arrived, 3),
            "waited_s": round(self.age_s(), 3),
        }
        log.info("A call was refused", extra=extra)
