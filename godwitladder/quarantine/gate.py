"""Keeps routed calls that crash targets from reaching further ones.

Hosts agree on nothing before a trial: each tells the others of it as it begins. Two
hosts that begin one in the same milliseconds cost one target more, and a host that
waited for others would refuse callers whenever a peer is slow.
"""

import dataclasses
import functools
import secrets
import threading
from collections.abc import Callable, Mapping, Sequence

from godwitladder.clock import Clock
from godwitladder.decisions.health.quarantine import QuarantinePolicy
from godwitladder.findings import GodwitladderError
from godwitladder.ids import TargetName, TraitId
from godwitladder.logs import component_logger
from godwitladder.outcomes import Reason, Refusal, refuse
from godwitladder.quarantine.evidence import (
    CrashEvidence,
    LossVerdict,
    LostCall,
    TargetPresence,
)
from godwitladder.quarantine.records import (
    Cleared,
    Crash,
    Lifted,
    PossibleCrash,
    QuarantineEvent,
    TrialBegan,
    TrialEnded,
)
from godwitladder.quarantine.registry import QuarantineRegistry
from godwitladder.quarantine.traits import RequestTraits
from godwitladder.quarantine.under_way import CallsUnderWay

log = component_logger("quarantine")

ROUTED_POLICY = QuarantinePolicy(
    free_crashes=1,
    trusted_crashes=3,
    trust_s=60.0,
    explains_crashes=False,
    unconfirmed_s=30.0,
    quarantine_s=3_600.0,
    retrial_delays_s=(5.0, 30.0),
)
"""A crash takes a dozen requests with it, most of them innocent. If each had to wait
for a trial, all of them would be late; few are part of two crashes in a row."""
TRIAL_RETRY_S = 1.0
MAX_LOGGED_PARTS = 8
MAX_LOGGED_CHARS = 24
QUARANTINED_TEXT = (
    "Targets crashed one after the other while they ran this request, or others with "
    "the same part of a prompt ({}). It is not sent to any more of them."
)
ON_TRIAL_TEXT = (
    "Targets crashed while they ran this request, or others with the same part of a "
    "prompt ({}). One is tried at a time, and another try is running."
)

LOSS_TEXTS = {
    LossVerdict.ENDED: "The target has ended",
    LossVerdict.ALIVE: "The target runs, and has lost an answer alone",
    LossVerdict.UNKNOWN: "Nothing shows yet whether the target has ended",
    LossVerdict.UNREACHED: "This host reaches no target",
}


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
    on_change : callable
        Called with the traits of which an event has changed what is known, and whether
        this host has found it.
    registry : QuarantineRegistry
        What this host knows of such requests.
    under_way : CallsUnderWay
        The calls of this host that wait for targets.
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
        self.under_way = CallsUnderWay()
        self.on_change: Callable[[Sequence[TraitId], bool], None] = ignore_change
        self.trial_lock = threading.Lock()

    def refusal(
        self, traits: RequestTraits, target: TargetName | None = None
    ) -> Refusal | None:
        """Return why a call must not be sent, at all or to ``target``; None if it may.

        A quarantined request is refused without a time to come back: it would be
        refused again. A suspect may come back as soon as the trial has ended.
        """
        if not self.registry.is_known(traits.ids):
            return None
        held = self.registry.held_traits(traits.ids)
        if not held:
            return None
        name = held[0][:MAX_LOGGED_CHARS]
        if self.registry.refuses(traits.ids):
            return refuse(Reason.CRASHED_TARGETS, QUARANTINED_TEXT.format(name))
        if self.registry.may_try(traits.ids, target):
            return None
        text = ON_TRIAL_TEXT.format(name)
        return refuse(Reason.CRASHED_TARGETS, text, TRIAL_RETRY_S)

    def begin(self, traits: RequestTraits, target: TargetName) -> bool:
        """Check a call again right before its first byte; return if it is a trial.

        Copies that were admitted before the first crash was known wait in the queue.

        Raises
        ------
        HeldBack
            The call must not be sent.
        """
        if not self.registry.is_known(traits.ids):
            return False
        # Two threads that check at the same time would both begin a trial.
        with self.trial_lock:
            refusal = self.refusal(traits, target)
            if refusal is not None:
                raise HeldBack(refusal)
            held = self.registry.held_traits(traits.ids)
            if not held:
                return False
            self.publish(TrialBegan(make_event_id(), traits.digest, target, held))
            return True

    def end_trial(self, traits: RequestTraits) -> None:
        """Report that a trial has ended without a verdict."""
        self.publish(TrialEnded(make_event_id(), traits.digest, traits.ids))

    def record_completion(self, traits: RequestTraits) -> None:
        """Record that a request has run to its end, which clears all its traits."""
        news = self.registry.record_completion(traits.ids)
        if news:
            self.publish(Cleared(make_event_id(), traits.digest, news))

    def record_loss(self, call: LostCall) -> bool:
        """Record a call whose connection broke; return if its target may have ended.

        A trial of it then ends with what is found out, and not before.
        """
        verdict = self.evidence.examine(call)
        log_loss(LOSS_TEXTS[verdict], call)
        call = self.with_blame(call)
        if verdict is not LossVerdict.ENDED:
            self.evidence.wait_for_entry(call)
        return self.publish_verdict(call, verdict)

    def with_blame(self, call: LostCall) -> LostCall:
        """Return a lost call with the traits that are to blame if it is a trial.

        Until it is known that its target has ended, other crashes may make more of
        its traits suspects.
        """
        if not call.trial:
            return call
        blamed = self.registry.to_blame(call.traits.ids, call.target, call.generation)
        return dataclasses.replace(call, blamed=blamed)

    def record_silence(self, call: LostCall) -> bool:
        """Record a call that this host ended while its target was silent.

        What it can show comes later than its end, so it is kept until the entry of the
        target's process has gone, or the process was heard of again. Returns whether
        the target may have ended; a trial of it then lasts on.
        """
        call = self.with_blame(call)
        if not self.evidence.has_entry(call):
            log_loss("A target without an entry fell silent under a call", call)
            self.evidence.wait_for_entry(call)
            return True
        verdict = self.evidence.examine_silence(call)
        if verdict is not LossVerdict.ALIVE:
            log_loss("A target fell silent under a call", call)
        if verdict is not LossVerdict.ENDED:
            self.evidence.wait_for_entry(call)
        return self.publish_verdict(call, verdict)

    def record_early_end(self, call: LostCall) -> bool:
        """Record a call that this host ended just after it was sent.

        Only a target that is found to be gone counts; returns whether it may be.
        """
        verdict = self.evidence.examine_silence(call)
        if verdict is LossVerdict.UNKNOWN:
            log_loss("A target is gone after a call that ended early", call)
            self.evidence.wait_for_entry(call)
        return self.publish_verdict(call, verdict)

    def publish_verdict(self, call: LostCall, verdict: LossVerdict) -> bool:
        """Report what was found of a target; return whether it may have ended."""
        if verdict is LossVerdict.ENDED:
            self.publish_crash(call)
        elif verdict is LossVerdict.UNKNOWN:
            self.publish_possible_crash(call)
        return verdict in (LossVerdict.ENDED, LossVerdict.UNKNOWN)

    def update_targets(self, present: Mapping[TargetName, TargetPresence]) -> None:
        """Report the crashes that the entries of targets now show."""
        for call in self.under_way.take_silent(present):
            log_loss("A target without an entry is silent under a call", call)
            self.publish_possible_crash(call)
        for call in self.evidence.take_ended(present):
            log_loss("The target's entry shows that it has ended", call)
            self.publish_crash(call)

    def publish_possible_crash(self, call: LostCall) -> None:
        """Report that a target may have ended under a call."""
        self.publish(
            PossibleCrash(
                make_event_id(),
                call.target,
                call.traits.digest,
                call.trial,
                call.generation,
                call.traits.parts,
            )
        )

    def publish_crash(self, call: LostCall) -> None:
        """Report that a target has ended under a call."""
        self.publish(
            Crash(
                make_event_id(),
                call.target,
                call.traits.digest,
                call.trial,
                call.generation,
                call.traits.parts,
                call.blamed,
            )
        )

    def publish(self, event: QuarantineEvent) -> None:
        """Apply an event of this host and send it to all peers."""
        self.registry.apply(event)
        self.broadcast(event)
        self.on_change(traits_of(event), True)
        self.speak_for(event)

    def receive(self, event: QuarantineEvent, source: str) -> bool:
        """Apply an event of a peer; return whether it is new."""
        is_new = self.registry.apply(event, source=source)
        if is_new:
            self.on_change(traits_of(event), False)
            self.speak_for(event)
        return is_new

    def speak_for(self, event: QuarantineEvent) -> None:
        """Tell all of suspects of a crash that have completed here before.

        A trait that few requests share may be part of two crashes before one of them
        completes again. No peer knows that others have completed.
        """
        if not isinstance(event, Crash | PossibleCrash):
            return
        traits = RequestTraits(event.digest, event.parts)
        found, age_s = self.registry.past_completions(traits.ids)
        if found:
            self.publish(Cleared(make_event_id(), event.digest, found, age_s))


@functools.singledispatch
def traits_of(event: QuarantineEvent) -> tuple[TraitId, ...]:
    """Return the traits of which an event changes what is known."""
    return event.traits or (TraitId(event.digest),)


@traits_of.register
def _(event: TrialEnded) -> tuple[TraitId, ...]:
    return ()


@traits_of.register
def _(event: Crash | PossibleCrash) -> tuple[TraitId, ...]:
    return RequestTraits(event.digest, event.parts).ids


@traits_of.register
def _(event: Lifted) -> tuple[TraitId, ...]:
    return (TraitId(event.digest),)


def ignore_change(traits: Sequence[TraitId], is_own: bool) -> None:
    """Do nothing about a change."""


def log_loss(text: str, call: LostCall) -> None:
    """Log what shows, or doesn't, that a target has ended under a call."""
    extra = {
        "body": call.traits.digest[:8],
        "target": call.target,
        "address": call.address,
        "trial": call.trial,
        "parts": loggable_parts(call.traits.parts),
    }
    log.info(text, extra=extra)


def loggable_parts(parts: Sequence[str]) -> list[str]:
    """Return the names of a prompt's first parts as they are logged."""
    return [part[:MAX_LOGGED_CHARS] for part in parts[:MAX_LOGGED_PARTS]]


def make_event_id() -> str:
    """Return a unique id of an event."""
    return secrets.token_hex(8)
