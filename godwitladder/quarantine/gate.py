"""Keeps routed calls that crash targets from reaching further ones.

Hosts agree on nothing before a trial: each tells the others of it as it begins. Two
hosts that begin one in the same milliseconds cost one target more, and a host that
waited for others would refuse callers whenever a peer is slow.
"""

import secrets
from collections.abc import Callable, Mapping, Sequence

from godwitladder.clock import Clock
from godwitladder.decisions.quarantine import QuarantinePolicy, QuarantineStatus
from godwitladder.findings import GodwitladderError
from godwitladder.ids import BodyDigest, TargetName
from godwitladder.logs import component_logger
from godwitladder.outcomes import Reason, Refusal, refuse
from godwitladder.quarantine.evidence import CrashEvidence, LostCall, TargetPresence
from godwitladder.quarantine.records import (
    Cleared,
    Crash,
    QuarantineEvent,
    TrialBegan,
    TrialEnded,
)
from godwitladder.quarantine.registry import QuarantineRegistry

log = component_logger("quarantine")

ROUTED_POLICY = QuarantinePolicy(
    free_crashes=1,
    quarantine_s=3_600.0,
    retrial_delays_s=(5.0, 30.0),
)
"""A crash takes a dozen requests with it, most of them innocent. If each had to wait
for a trial, all of them would be late; few are part of two crashes in a row."""
TRIAL_RETRY_S = 1.0
MAX_LOGGED_PARTS = 8
MAX_LOGGED_CHARS = 24
QUARANTINED_TEXT = (
    "Targets crashed one after the other while they ran this request ({}). It is not "
    "sent to any more of them."
)
ON_TRIAL_TEXT = (
    "Targets crashed while they ran this request ({}). It is tried once at a time, "
    "and another try is running."
)


class HeldBack(GodwitladderError):
    """A call must not be sent to its target.

    Parameters
    ----------
    refusal : Refusal
        What to answer.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class QuarantineGate:
    """Decides which routed calls may be sent, and reports the crashes under them.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    broadcast : callable
        Sends an event to all peers. All hosts need it, since a caller may send the
        request to any host next.
    evidence : CrashEvidence
        Tells whether a target has ended.

    Attributes
    ----------
    registry : QuarantineRegistry
        What this host knows of such requests.
    """

    def __init__(
        self,
        clock: Clock,
        broadcast: Callable[[QuarantineEvent], None],
        evidence: CrashEvidence,
    ) -> None:
        self.registry = QuarantineRegistry(clock, ROUTED_POLICY)
        self.broadcast = broadcast
        self.evidence = evidence

    def refusal(
        self, digest: BodyDigest, target: TargetName | None = None
    ) -> Refusal | None:
        """Return why a call must not be sent, at all or to ``target``; None if it may.

        A quarantined request is refused without a time to come back: it would be
        refused again. A suspect may come back as soon as the trial has ended.
        """
        if not self.registry.is_known(digest):
            return None
        status = self.registry.status(digest)
        if status is QuarantineStatus.CLEAR:
            return None
        if self.registry.refuses(digest):
            text = QUARANTINED_TEXT.format(digest[:8])
            return refuse(Reason.CRASHED_TARGETS, text)
        if self.registry.may_try(digest, target):
            return None
        text = ON_TRIAL_TEXT.format(digest[:8])
        return refuse(Reason.CRASHED_TARGETS, text, TRIAL_RETRY_S)

    def begin(self, digest: BodyDigest, target: TargetName) -> bool:
        """Check a call again right before its first byte; return if it is a trial.

        Copies that were admitted before the first crash was known wait in the queue.

        Raises
        ------
        HeldBack
            The call must not be sent.
        """
        if not self.registry.is_known(digest):
            return False
        refusal = self.refusal(digest, target)
        if refusal is not None:
            raise HeldBack(refusal)
        if self.registry.status(digest) is QuarantineStatus.CLEAR:
            return False
        self.publish(TrialBegan(make_event_id(), digest, target))
        return True

    def end_trial(self, digest: BodyDigest) -> None:
        """Report that a trial has ended without a verdict."""
        self.publish(TrialEnded(make_event_id(), digest))

    def record_completion(self, digest: BodyDigest) -> None:
        """Record that a request has run to its end."""
        if self.registry.is_known(digest):
            self.publish(Cleared(make_event_id(), digest))

    def record_loss(self, call: LostCall) -> bool:
        """Record a call whose connection broke; return whether its target has ended."""
        if self.evidence.has_ended(call):
            log_loss("The target refuses connections", call)
            self.publish_crash(call)
            return True
        log_loss("Nothing shows yet that the target has ended", call)
        self.evidence.wait_for_entry(call)
        return False

    def record_silence(self, call: LostCall) -> None:
        """Record a call that was given up as its target had fallen silent."""
        log_loss("A target fell silent under a call", call)
        self.evidence.wait_for_entry(call)

    def update_targets(self, present: Mapping[TargetName, TargetPresence]) -> None:
        """Report the crashes that the entries of targets now show."""
        for call in self.evidence.take_ended(present):
            log_loss("The target's entry shows that it has ended", call)
            self.publish_crash(call)

    def publish_crash(self, call: LostCall) -> None:
        """Report that a target has ended under a call."""
        self.publish(
            Crash(
                make_event_id(), call.target, call.digest, call.trial, call.generation
            )
        )

    def publish(self, event: QuarantineEvent) -> None:
        """Apply an event of this host and send it to all peers."""
        self.registry.apply(event)
        self.broadcast(event)


def log_loss(text: str, call: LostCall) -> None:
    """Log what shows, or doesn't, that a target has ended under a call."""
    extra = {
        "body": call.digest[:8],
        "target": call.target,
        "address": call.address,
        "trial": call.trial,
        "parts": loggable_parts(call.parts),
    }
    log.info(text, extra=extra)


def loggable_parts(parts: Sequence[str]) -> list[str]:
    """Return the names of a prompt's first parts as they are logged."""
    return [part[:MAX_LOGGED_CHARS] for part in parts[:MAX_LOGGED_PARTS]]


def make_event_id() -> str:
    """Return a unique id of an event."""
    return secrets.token_hex(8)
