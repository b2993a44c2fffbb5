"""Detects requests that crash their targets, and restricts or refuses them."""

import dataclasses
import hashlib
import json
import queue
import secrets
from collections.abc import Callable, Iterable, Mapping

import pykka

from godwitladder.claims.actor import AppendCrashEvent, ReleaseClaim, SubmitClaim
from godwitladder.claims.records import BODY_BYTES, KEY_BYTES, nonce_bytes
from godwitladder.claims.tracker import ClaimRequest, ClaimResult, Verdict
from godwitladder.clock import Clock
from godwitladder.configuration.model import ServiceKind
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.health.quarantine import HOLD_S, QuarantineStatus
from godwitladder.engines.engine import resume_stream
from godwitladder.engines.wire import Dial, MayHaveRun, NotSent, TargetRefused, connect
from godwitladder.ids import BodyDigest, TraitId
from godwitladder.logs import component_logger
from godwitladder.membership.links import Link
from godwitladder.membership.mesh import Mesh
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.quarantine.acknowledgements import EventAcknowledgements
from godwitladder.quarantine.probing import is_connection_refused
from godwitladder.quarantine.records import Cleared, Crash, CrashEvent, Lifted
from godwitladder.quarantine.registry import QuarantineRegistry
from godwitladder.serving.calls import Call, CallRefused

log = component_logger("quarantine")

PROBE_TIMEOUT_S = 1.0
TRIAL_CLAIM_TIMEOUT_S = 3.0
TRIAL_RETRY_AFTER_S = 2.0
ACK_TIMEOUT_S = 0.5
"""A peer that has not acknowledged an event by then is taken as unreachable."""
UNKNOWN_STREAM_STATUS = 404
SUSPECT_TEXT = (
    "A target crashed while it ran this request. Such requests run one at a time, "
    "and another is running, or none can be agreed on."
)
QUARANTINED_TEXT = (
    "Two targets crashed while they ran this request. It is refused until its "
    "quarantine ends or an operator lifts it. Its digest is {}."
)


@dataclasses.dataclass
class Trial:
    """Trial state of one call.

    Attributes
    ----------
    release : callable or None
        Ends the trial, if the call runs as the system's trial; else None.
    """

    release: Callable[[], None] | None = None


class CrashWatch:
    """Decides which requests may run, and reports crashes to other hosts.

    Parameters
    ----------
    run : callable
        The dispatcher's method that serves a call.
    config : callable
        Returns the configuration in force.
    claims : pykka.ActorRef
        The actor of class `godwitladder.claims.actor.Claims`.
    mesh : Mesh
        The links to other hosts.
    clock : Clock
        The host's clock.
    dial : callable
        Connects to targets.

    Attributes
    ----------
    registry : QuarantineRegistry
        Suspect and quarantined requests.
    acknowledgements : EventAcknowledgements
        Events of this host that peers have not yet acknowledged.
    """

    def __init__(
        self,
        run: Callable[[Call, Mapping, Callable], Iterable[bytes]],
        config: Callable[[], ConfigState],
        claims: pykka.ActorRef,
        mesh: Mesh,
        clock: Clock,
        dial: Dial = connect,
    ) -> None:
        self.dial = dial
        self.run = run
        self.config = config
        self.claims = claims
        self.mesh = mesh
        self.clock = clock
        self.registry = QuarantineRegistry(clock)
        self.acknowledgements = EventAcknowledgements(clock)

    def serve(self, call: Call, environ: Mapping, start_response) -> Iterable[bytes]:
        """Serve one call, if it may run.

        Raises
        ------
        CallRefused
            If the request is quarantined, or is a suspect and can't run as
            the trial now.
        """
        digest = crash_digest(call)
        status = self.status(digest)
        if status is QuarantineStatus.QUARANTINED:
            call.on_end(RequestState.NOT_RUN)
            raise CallRefused(quarantined_refusal(digest))
        trial = Trial()
        if status is QuarantineStatus.SUSPECT and not self._begin_trial(trial):
            call.on_end(RequestState.NOT_RUN)
            raise CallRefused(suspect_refusal())
        call_on_end = call.on_end

        def on_end(state: RequestState) -> None:
            # Report a crash before the caller is answered. Otherwise the
            # caller's retry could reach a target before the crash event
            # reaches the other hosts.
            self._record_end(call, digest, trial.release is not None, state)
            if trial.release:
                trial.release()
            call_on_end(state)

        def before_dispatch() -> Refusal | None:
            return self._check_before_dispatch(digest, trial)

        watched = dataclasses.replace(
            call, on_end=on_end, before_dispatch=before_dispatch
        )
        return self.run(watched, environ, start_response)

    def status(self, digest: BodyDigest) -> QuarantineStatus:
        """Return the quarantine status of the request with ``digest``."""
        return self.registry.status((TraitId(digest),))

    def handle_message(self, link: Link, message: CrashEvent) -> None:
        """Apply a peer's event, and forward it if it is new."""
        self.acknowledgements.acknowledge(message.report, link.peer)
        if self.apply(message, 0.0):
            self.mesh.broadcast(message)

    def replay(self, event: CrashEvent, time: float) -> None:
        """Apply an event from the log; ``time`` is its log time."""
        self.apply(event, max(0.0, self.clock.wall() - time))

    def apply(self, event: CrashEvent, age_s: float) -> bool:
        """Apply an event, unless it is a duplicate or too old to have an effect.

        Returns whether the event was applied. ``age_s`` is its age in seconds.
        """
        return age_s <= HOLD_S and self.registry.apply(event, age_s)

    def publish(self, event: CrashEvent) -> None:
        """Apply an event of this host and send it to all other hosts."""
        self.apply(event, 0.0)
        self.mesh.broadcast(event)
        self.claims.tell(AppendCrashEvent(event))
        log.warning("Published a crash event", extra={"note": repr(event)})

    def publish_crash(self, event: Crash) -> None:
        """Publish a crash, and wait until the peers have acknowledged it.

        If the caller were answered earlier, its retry could reach a peer that
        does not know of the crash yet, and crash another target.
        """
        peers = {link.peer for link in self.mesh.current()}
        self.acknowledgements.expect(event.report, peers)
        self.publish(event)
        if not self.acknowledgements.wait(event.report, ACK_TIMEOUT_S):
            log.warning(
                "Not all peers have acknowledged a crash event",
                extra={"note": repr(event)},
            )

    def remaining_quarantines(self) -> dict[BodyDigest, float]:
        """Return the remaining time of each quarantine in seconds, by digest."""
        return self.registry.remaining_quarantines()

    def lift(self, digest: BodyDigest, operator: str) -> None:
        """Lift a quarantine on all hosts."""
        self.publish(Lifted(secrets.token_hex(8), digest, operator))

    def _check_before_dispatch(
        self, digest: BodyDigest, trial: "Trial"
    ) -> Refusal | None:
        """Check a request again just before it is sent to a target.

        Copies of a request that were admitted before its first crash was known
        wait in the queue, and each would crash a target. One of them becomes
        the trial, as if it had arrived after the crash; the others are refused.
        Returns the refusal, or None if the request may be sent.
        """
        status = self.status(digest)
        if status is QuarantineStatus.QUARANTINED:
            return quarantined_refusal(digest)
        if status is QuarantineStatus.SUSPECT and not trial.release:
            return None if self._begin_trial(trial) else suspect_refusal()
        return None

    def _begin_trial(self, trial: "Trial") -> bool:
        """Claim the system's single trial; return whether the claim was won.

        The log decides which host wins the claim, even if hosts disagree about
        which of them are alive. A trial left open by a dead host ends with its
        period.
        """
        period = int(self.clock.wall() // HOLD_S)
        key = hashlib.sha256(b"trial %d" % period).digest()[:KEY_BYTES]
        nonce = nonce_bytes(secrets.token_hex(12))
        due = self.clock.monotonic() + TRIAL_CLAIM_TIMEOUT_S
        reply: queue.SimpleQueue[ClaimResult] = queue.SimpleQueue()
        self.claims.tell(
            SubmitClaim(ClaimRequest(key, nonce, bytes(BODY_BYTES), 0.0, due), reply)
        )
        if reply.get().verdict is not Verdict.WON:
            return False
        trial.release = lambda: self.claims.tell(ReleaseClaim(key, nonce))
        return True

    def _record_end(
        self, call: Call, digest: BodyDigest, trial: bool, state: RequestState
    ) -> None:
        event_id = secrets.token_hex(8)
        if state is RequestState.COMPLETED:
            if self.status(digest) is QuarantineStatus.SUSPECT:
                self.publish(Cleared(event_id, digest))
        elif state is RequestState.MAY_HAVE_RUN and self._has_crashed(call):
            self.publish_crash(Crash(event_id, call.row.target, digest, trial))

    def _has_crashed(self, call: Call) -> bool:
        """Return whether the target's process ended while it ran ``call``.

        In that case the target refuses connections, or the process that
        replaced it does not know the stream. A target that is slow or
        unreachable does neither.
        """
        target = self.config().targets.get(call.row.target)
        if target is None:
            return False
        try:
            if call.service.kind is ServiceKind.PLAIN:
                self.dial(target.address, PROBE_TIMEOUT_S).close()
                return False
            resume_stream(
                target.address, call.row.stream, 0, PROBE_TIMEOUT_S, self.dial
            ).close()
        except NotSent as error:
            return is_connection_refused(error)
        except TargetRefused as error:
            return error.status == UNKNOWN_STREAM_STATUS
        except MayHaveRun:
            return False
        return False


def crash_digest(call: Call) -> BodyDigest:
    """Return the digest that identifies a request regardless of its key.

    For a model service it covers only the messages. They are what the engine
    processes, and a caller may vary other fields between its retries.
    """
    content = call.body
    if call.service.kind is ServiceKind.MODEL:
        messages = json.loads(call.body).get("messages")
        content = json.dumps(messages, sort_keys=True).encode()
    text = call.row.service.encode() + b"\n" + content
    return BodyDigest(hashlib.sha256(text).hexdigest())


def quarantined_refusal(digest: BodyDigest) -> Refusal:
    """Return the refusal for a quarantined request."""
    return refuse(Reason.QUARANTINED, QUARANTINED_TEXT.format(digest))


def suspect_refusal() -> Refusal:
    """Return the refusal for a suspect that can't run as the trial now."""
    return refuse(Reason.QUARANTINED, SUSPECT_TEXT, TRIAL_RETRY_AFTER_S)
