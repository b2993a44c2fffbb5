"""Requests that carry an idempotency key, from their arrival to their claim.

A repeat is joined to the first request with its key where that is found: on
this host, or on the host that holds the claim or issued the key. Only a
request that holds its key reaches the scheduler.
"""

import dataclasses
import queue
import uuid
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import pykka

from godwitladder.claims.actor import ReleaseClaim, SubmitClaim
from godwitladder.claims.issued import (
    ForgedKey,
    IssuedKey,
    IssuedKeys,
    KeyUseResult,
    read_key,
)
from godwitladder.claims.records import body_bytes, key_bytes, nonce_bytes
from godwitladder.claims.tracker import (
    RETRY_DELAY_S,
    ClaimRequest,
    ClaimResult,
    Verdict,
)
from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation, StreamId
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.scheduler.rows import ClaimState, RequestRow
from godwitladder.serving.calls import Call, CallRefused
from godwitladder.serving.forwarding import FORWARDED_KEY, Forwarder
from godwitladder.serving.retries import JoinableRequests, OriginalRequest
from godwitladder.settings import Settings

log = component_logger("keys")

POLL_S = 0.5
KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
# Where the application leaves the body as the caller sent it.
BODY = "godwitladder.body"
# A key outlives its request's deadline by this factor at least, so that a
# request which waits can't still be dispatched when its claim is forgotten.
WINDOW_DEADLINES = 2
UUID_TIME_VERSION = 7

HELD = "Another request holds this key; it may have run."
GONE = "The process that holds this key can't be reached; its request may have run."
OTHER_BODY = "This key was used with another body, and this one did not run."
EXPIRED = "This key is older than the time for which keys are known; it may have run."
STOPPING = "This host is stopping; another one will take the request."
STOPPING_RETRY_S = 1.0
NO_LOG = "The key could not be claimed, since the platform's log does not answer."
FORGED = "The key has the form of an issued one and was not issued to this workspace."


@dataclass(frozen=True)
class Holder:
    """The process that may answer for a key."""

    host: HostId
    incarnation: Incarnation
    stream: StreamId | None = None


class KeyedCalls:
    """Serves calls that carry a key, and hands the others on.

    Parameters
    ----------
    settings : Settings
        The window of keys and the hosts' shared secret.
    claims : pykka.ActorRef
        The actor of `godwitladder.claims.actor.Claims`.
    issued : IssuedKeys
        The keys that this process issued.
    forwarder : Forwarder
        Passes calls on to other hosts.
    run : callable
        Serves a call that holds its key: the dispatcher's.
    find : callable
        Returns the signed request id of a stream of a call's service that a
        target knows, or ``""``.
    clock, metrics : Clock, Metrics
        The host's.

    Attributes
    ----------
    stopping : bool
        Whether the host takes nothing new.
    """

    def __init__(
        self,
        settings: Settings,
        claims: pykka.ActorRef,
        issued: IssuedKeys,
        forwarder: Forwarder,
        run: Callable[[Call, Mapping, Callable], Iterable[bytes]],
        find: Callable[[Call, StreamId], str],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.claims = claims
        self.issued = issued
        self.forwarder = forwarder
        self.run = run
        self.find = find
        self.clock = clock
        self.metrics = metrics
        self.repeats = JoinableRequests(clock.monotonic)
        self.stopping = False

    def serve(
        self,
        call: Call,
        environ: Mapping,
        start_response,
        resume: Callable[[str], Iterable[bytes]],
    ) -> Iterable[bytes]:
        """Answer one call.

        Parameters
        ----------
        resume : callable
            Answers with the stream of a signed request id.

        Raises
        ------
        CallRefused
            The call does not run, or an earlier one with its key may have.
        """
        if call.row.key is None:
            return self.run(call, environ, start_response)
        issued = self._read_issued(call, environ)
        if issued and not self.issued.is_own(issued) and not call.row.idempotent:
            holder = Holder(issued.host, issued.incarnation)
            return self._ask_holder(call, environ, holder, start_response)
        while True:
            first, is_first = self.repeats.find_or_add(call.row.key, call.row.body)
            if is_first:
                return self._serve_first(first, call, issued, environ, start_response)
            if first.digest != call.row.body:
                raise CallRefused(refuse(Reason.KEY_REUSED, OTHER_BODY))
            answer = self._join(first, call, start_response, resume)
            if answer is not None:
                return answer

    def _read_issued(self, call: Call, environ: Mapping) -> IssuedKey | None:
        secret = self.settings.peers.secret
        try:
            key = read_key(secret, environ[KEY_HEADER])
        except ForgedKey as error:
            raise CallRefused(refuse(Reason.MALFORMED, FORGED)) from error
        if key and key.workspace != call.row.workspace:
            raise CallRefused(refuse(Reason.MALFORMED, FORGED))
        return key

    def _join(
        self, first: OriginalRequest, call: Call, start_response, resume
    ) -> Iterable[bytes] | None:
        """Answer as the first request was; None if that came to nothing."""
        while not first.done.wait(POLL_S):
            if self.clock.monotonic() >= call.row.deadline:
                raise held(first.request)
        if first.request:
            return resume(first.request)
        if first.body is None:
            return None
        start_response(first.status, first.headers)
        return [first.body]

    def _serve_first(
        self,
        first: OriginalRequest,
        call: Call,
        issued: IssuedKey | None,
        environ: Mapping,
        start_response,
    ) -> Iterable[bytes]:
        row = call.row

        def start(status, headers, exc_info=None):
            first.record_head(status, headers)
            return start_response(status, headers)

        try:
            if row.idempotent:
                on_end = self._forget_unfinished(first, row)
            elif issued:
                self._spend(issued, row)
                on_end = self._give_back_unrun(first, row)
            else:
                holder = self._claim(call, environ)
                if holder:
                    answer = self._ask_holder(call, environ, holder, start)
                    answer = first.record_answer(answer)
                    self.repeats.discard(row.key, first)
                    return answer
                on_end = self._release_unrun(first, row)
            call = dataclasses.replace(call, on_end=on_end)
            answer = first.record_answer(self.run(call, environ, start))
        except BaseException:
            self.repeats.discard(row.key, first)
            raise
        self.repeats.retain(row.key, first)
        return answer

    def _forget_unfinished(self, first: OriginalRequest, row: RequestRow):
        def on_end(state: RequestState) -> None:
            if state is not RequestState.COMPLETED:
                self.repeats.discard(row.key, first)

        return on_end

    def _give_back_unrun(self, first: OriginalRequest, row: RequestRow):
        def on_end(state: RequestState) -> None:
            if state is RequestState.NOT_RUN:
                self.issued.restore(row.key)
                self.repeats.discard(row.key, first)

        return on_end

    def _release_unrun(self, first: OriginalRequest, row: RequestRow):
        def on_end(state: RequestState) -> None:
            # Only a request that is known not to have run frees its key: the
            # next one with it runs on whatever host it reaches.
            if state is RequestState.NOT_RUN:
                self.claims.tell(
                    ReleaseClaim(key_bytes(row.key), nonce_bytes(row.stream))
                )
                self.repeats.discard(row.key, first)

        return on_end

    def _spend(self, issued: IssuedKey, row: RequestRow) -> None:
        spending = self.issued.use(issued, row.key, row.body, self.clock.monotonic())
        if spending is KeyUseResult.SPENT:
            raise held("")
        if spending is KeyUseResult.REUSED:
            raise CallRefused(refuse(Reason.KEY_REUSED, OTHER_BODY))
        if spending is KeyUseResult.EXPIRED:
            raise CallRefused(expired())

    def _claim(self, call: Call, environ: Mapping) -> Holder | None:
        """Claim the key of ``call``; return who holds it if that is another.

        Raises
        ------
        CallRefused
            The key can't be had.
        """
        row = call.row
        if self.stopping:
            raise CallRefused(refuse(Reason.STOPPING, STOPPING, STOPPING_RETRY_S))
        window = self.settings.claims.window_s / WINDOW_DEADLINES
        row.deadline = min(row.deadline, row.arrived + window)
        row.claim = ClaimState.NEEDED
        row.change(RequestState.CLAIMING)
        settled = self._await_claim(row, environ)
        if settled.verdict is Verdict.WON:
            row.claim = ClaimState.WON
            row.change(RequestState.WAITING)
            return None
        row.change(RequestState.NOT_RUN)
        if settled.verdict is Verdict.HELD:
            held_by = settled.holder
            stream = StreamId(held_by.nonce.hex())
            return Holder(held_by.host, held_by.incarnation, stream)
        raise CallRefused(_refusals()[settled.verdict])

    def _await_claim(self, row: RequestRow, environ: Mapping) -> ClaimResult:
        now = self.clock.monotonic()
        due = min(row.deadline, now + self.settings.claims.patience_s)
        wanted = ClaimRequest(
            key_bytes(row.key),
            nonce_bytes(row.stream),
            body_bytes(row.body),
            uuid7_time_s(environ[KEY_HEADER]),
            due,
        )
        reply: queue.SimpleQueue[ClaimResult] = queue.SimpleQueue()
        self.claims.tell(SubmitClaim(wanted, reply))
        return reply.get()

    def _ask_holder(
        self, call: Call, environ: Mapping, holder: Holder, start_response
    ) -> Iterable[bytes]:
        """Answer as the process that holds the key does."""
        own = (holder.host, holder.incarnation) == (
            self.issued.host,
            self.issued.incarnation,
        )
        if not own and not environ.get(FORWARDED_KEY):
            answer = self.forwarder.forward(
                holder.host,
                holder.incarnation,
                environ,
                environ[BODY],
                call.row.deadline,
            )
            if answer:
                return answer.start(start_response)
        request = self.find(call, holder.stream) if holder.stream else ""
        raise held(request, HELD if own else GONE)


def held(request: str, detail: str = HELD) -> CallRefused:
    """Return the refusal of a repeat whose first request may have run."""
    refusal = Refusal(RequestState.MAY_HAVE_RUN, Reason.KEY_IN_USE, detail)
    return CallRefused(refusal, request)


def expired() -> Refusal:
    """Return the refusal of a key too old to be judged."""
    return Refusal(RequestState.MAY_HAVE_RUN, Reason.KEY_EXPIRED, EXPIRED)


def _refusals() -> dict[Verdict, Refusal]:
    return {
        Verdict.REUSED: refuse(Reason.KEY_REUSED, OTHER_BODY),
        Verdict.EXPIRED: expired(),
        Verdict.UNAVAILABLE: refuse(Reason.LOG_UNAVAILABLE, NO_LOG, RETRY_DELAY_S),
    }


def uuid7_time_s(text: str) -> float:
    """Return the time in a key that is a UUID of version 7; else 0.

    Such a key tells when it was made, in milliseconds since the epoch, so
    that one older than the window is known as such and refused. Any other
    key is a new one once its claim is forgotten.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return 0.0
    if parsed.version != UUID_TIME_VERSION:
        return 0.0
    return (parsed.int >> 80) / 1000
