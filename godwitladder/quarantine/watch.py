"""Watches how dispatched requests end, and holds back those that crash targets."""

import dataclasses
import hashlib
import json
import queue
import secrets
import threading
from collections.abc import Callable, Iterable, Mapping

import pykka

from godwitladder.claims.actor import Note, ReleaseClaim, SubmitClaim
from godwitladder.claims.records import BODY_BYTES, KEY_BYTES, nonce_bytes
from godwitladder.claims.tracker import ClaimRequest, ClaimResult, Verdict
from godwitladder.clock import Clock
from godwitladder.configuration.model import ServiceKind
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.quarantine import HOLD_S, Quarantine, QuarantineStatus
from godwitladder.engines.engine import resume_stream
from godwitladder.engines.wire import MayHaveRun, NotSent, TargetRefused, connect
from godwitladder.ids import BodyDigest
from godwitladder.logs import component_logger
from godwitladder.membership.links import Link
from godwitladder.membership.mesh import Mesh
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.quarantine.acknowledgements import NoteEchoes
from godwitladder.quarantine.records import Cleared, Crash, CrashNote, Lifted
from godwitladder.serving.calls import Call, CallRefused

log = component_logger("quarantine")

PROBE_S = 1.0
TRIAL_WAIT_S = 3.0
TRIAL_RETRY_S = 2.0
ECHO_S = 0.5
"""A peer that has not read a note by then is taken for one that is out of reach."""
SEEN_REPORTS = 10_000
UNKNOWN_STREAM = 404
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
    """Whether one call runs as the system's trial; ``release`` ends that."""

    release: Callable[[], None] | None = None


class CrashWatch:
    """Knows which requests may run, and tells other hosts of crashes.

    Parameters
    ----------
    run : callable
        Serves a call: the dispatcher's.
    config : callable
        Returns the configuration in force.
    claims : pykka.ActorRef
        The actor of `godwitladder.claims.actor.Claims`.
    mesh : Mesh
        The links to other hosts.
    clock : Clock
        The host's clock.
    """

    def __init__(
        self,
        run: Callable[[Call, Mapping, Callable], Iterable[bytes]],
        config: Callable[[], ConfigState],
        claims: pykka.ActorRef,
        mesh: Mesh,
        clock: Clock,
    ) -> None:
        self.run = run
        self.config = config
        self.claims = claims
        self.mesh = mesh
        self.clock = clock
        self.table = Quarantine()
        self.seen: dict[str, None] = {}
        self.echoes = NoteEchoes(clock)
        self.lock = threading.Lock()

    def serve(self, call: Call, environ: Mapping, start_response) -> Iterable[bytes]:
        """Answer one call, unless it may not run.

        Raises
        ------
        CallRefused
            The request is quarantined, or a suspect that can't be tried now.
        """
        digest = crash_digest(call)
        standing = self.standing(digest)
        if standing is QuarantineStatus.QUARANTINED:
            call.on_end(RequestState.NOT_RUN)
            raise CallRefused(quarantined(digest))
        trial = Trial()
        if standing is QuarantineStatus.SUSPECT and not self._begin_trial(trial):
            call.on_end(RequestState.NOT_RUN)
            raise CallRefused(suspected())
        inner = call.on_end

        def on_end(state: RequestState) -> None:
            # What is known of a crash is told before the caller is answered,
            # or its next try would be at a target before the news.
            self._note_end(call, digest, trial.release is not None, state)
            if trial.release:
                trial.release()
            inner(state)

        def before() -> Refusal | None:
            return self._late_refusal(digest, trial)

        watched = dataclasses.replace(call, on_end=on_end, before_dispatch=before)
        return self.run(watched, environ, start_response)

    def standing(self, digest: BodyDigest) -> QuarantineStatus:
        """Return what may be done with ``digest``."""
        with self.lock:
            return self.table.status(digest, self.clock.monotonic())

    def handle_message(self, link: Link, message: CrashNote) -> None:
        """Take in a peer's note, and pass it on once."""
        self.echoes.note(message.report, link.peer)
        if self.apply(message, 0.0):
            self.mesh.broadcast(message)

    def replay(self, note: CrashNote, time: float) -> None:
        """Take in a note from the log, with the log's time of it."""
        self.apply(note, max(0.0, self.clock.wall() - time))

    def apply(self, note: CrashNote, age_s: float) -> bool:
        """Take in a note; return False if it is known or too old to matter."""
        with self.lock:
            if note.report in self.seen or age_s > HOLD_S:
                return False
            self.seen[note.report] = None
            if len(self.seen) > SEEN_REPORTS:
                del self.seen[next(iter(self.seen))]
            self._apply(note, self.clock.monotonic() - age_s)
            return True

    def _apply(self, note: CrashNote, at: float) -> None:
        if isinstance(note, Crash):
            self.table.record_crash(note.target, note.digest, note.trial, at)
        elif isinstance(note, Cleared):
            self.table.clear(note.digest)
        else:
            self.table.lift(note.digest)

    def publish(self, note: CrashNote) -> None:
        """Take in a note of this host and tell all others."""
        self.apply(note, 0.0)
        self.mesh.broadcast(note)
        self.claims.tell(Note(note))
        log.warning("A note on a crash", extra={"note": repr(note)})

    def publish_crash(self, note: Crash) -> None:
        """Tell of a crash, and wait until the peers have read it.

        A caller that is answered before comes back to a peer that takes its
        request for a harmless one, and one more target is lost.
        """
        peers = {link.peer for link in self.mesh.current()}
        self.echoes.expect(note.report, peers)
        self.publish(note)
        if not self.echoes.wait(note.report, ECHO_S):
            log.warning("Not all peers know of a crash", extra={"note": repr(note)})

    def remaining_quarantines(self) -> dict[BodyDigest, float]:
        """Return the seconds left of each quarantine."""
        now = self.clock.monotonic()
        with self.lock:
            rows = self.table.quarantined.items()
            return {digest: until - now for digest, until in rows if until > now}

    def lift(self, digest: BodyDigest, operator: str) -> None:
        """End a quarantine everywhere."""
        self.publish(Lifted(secrets.token_hex(8), digest, operator))

    def _late_refusal(self, digest: BodyDigest, trial: "Trial") -> Refusal | None:
        """Return why a request may not be written now after all.

        Copies that were let in before the news of the first crash wait in the
        queue; each would take a target with it. One of them is the trial, as
        if it had come after the news, and the others are refused.
        """
        standing = self.standing(digest)
        if standing is QuarantineStatus.QUARANTINED:
            return quarantined(digest)
        if standing is QuarantineStatus.SUSPECT and not trial.release:
            return None if self._begin_trial(trial) else suspected()
        return None

    def _begin_trial(self, trial: "Trial") -> bool:
        """Claim the one trial of the system; return whether that was won.

        The claim is won by one host through the log, whatever hosts think of
        each other. A trial that a dead host left open ends with its period.
        """
        period = int(self.clock.wall() // HOLD_S)
        key = hashlib.sha256(b"trial %d" % period).digest()[:KEY_BYTES]
        nonce = nonce_bytes(secrets.token_hex(12))
        due = self.clock.monotonic() + TRIAL_WAIT_S
        reply: queue.SimpleQueue[ClaimResult] = queue.SimpleQueue()
        self.claims.tell(
            SubmitClaim(ClaimRequest(key, nonce, bytes(BODY_BYTES), 0.0, due), reply)
        )
        if reply.get().verdict is not Verdict.WON:
            return False
        trial.release = lambda: self.claims.tell(ReleaseClaim(key, nonce))
        return True

    def _note_end(
        self, call: Call, digest: BodyDigest, trial: bool, state: RequestState
    ) -> None:
        report = secrets.token_hex(8)
        if state is RequestState.COMPLETED:
            if self.standing(digest) is QuarantineStatus.SUSPECT:
                self.publish(Cleared(report, digest))
        elif state is RequestState.MAY_HAVE_RUN and self._is_gone(call):
            self.publish_crash(Crash(report, call.row.target, digest, trial))

    def _is_gone(self, call: Call) -> bool:
        """Return whether the target's process ended while it ran ``call``.

        It refuses connections, or one that took its place does not know the
        stream. A target that is slow or cut off does neither.
        """
        target = self.config().targets.get(call.row.target)
        if target is None:
            return False
        try:
            if call.service.kind is ServiceKind.PLAIN:
                connect(target.address, PROBE_S).close()
                return False
            resume_stream(target.address, call.row.stream, 0, PROBE_S).close()
        except NotSent as error:
            return _is_refused(error)
        except TargetRefused as error:
            return error.status == UNKNOWN_STREAM
        except MayHaveRun:
            return False
        return False


def crash_digest(call: Call) -> BodyDigest:
    """Return the digest by which a request is known again under any key.

    Of a model service the messages alone count: they are what an engine
    reads, and a caller may vary the rest between its tries.
    """
    content = call.body
    if call.service.kind is ServiceKind.MODEL:
        messages = json.loads(call.body).get("messages")
        content = json.dumps(messages, sort_keys=True).encode()
    text = call.row.service.encode() + b"\n" + content
    return BodyDigest(hashlib.sha256(text).hexdigest())


def quarantined(digest: BodyDigest) -> Refusal:
    """Return the refusal of a quarantined request."""
    return refuse(Reason.QUARANTINED, QUARANTINED_TEXT.format(digest))


def suspected() -> Refusal:
    """Return the refusal of a suspect that can't be tried now."""
    return refuse(Reason.QUARANTINED, SUSPECT_TEXT, TRIAL_RETRY_S)


def _is_refused(error: BaseException | None) -> bool:
    """Return whether a refused connection is among the causes of ``error``.

    A host or a rack that is gone lets connections time out instead.
    """
    while error is not None:
        if isinstance(error, ConnectionRefusedError):
            return True
        error = error.__cause__
    return False
