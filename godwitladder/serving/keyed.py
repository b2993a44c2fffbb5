"""Handling of requests with an idempotency key, up to the claim of the key.

A retry with the same key gets the response of the original request if that is
found: on this host, or on the host that holds the claim or issued the key.
Unless its service is idempotent, a request reaches the scheduler only once it
holds its key.
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

POLL_INTERVAL_S = 0.5
KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
# Key of the WSGI environ under which the application stores the unparsed body.
BODY_KEY = "godwitladder.body"
# Minimum ratio of the claim window to a request's time until its deadline. It
# keeps a queued request from being dispatched after its claim was forgotten.
MIN_WINDOW_FACTOR = 2
UUID_TIME_VERSION = 7

KEY_IN_USE_TEXT = "Another request holds this key; it may have run."
HOLDER_GONE_TEXT = (
    "The process that holds this key can't be reached; its request may have run."
)
KEY_REUSED_TEXT = "This key was used with another body, and this one did not run."
KEY_EXPIRED_TEXT = (
    "This key is older than the time for which keys are known; it may have run."
)
STOPPING_TEXT = "This host is stopping; another one will take the request."
STOPPING_RETRY_S = 1.0
LOG_UNAVAILABLE_TEXT = (
    "The key could not be claimed, since the platform's log does not answer."
)
FORGED_KEY_TEXT = (
    "The key has the form of an issued one and was not issued to this workspace."
)


@dataclass(frozen=True)
class Holder:
    """The process that holds a key and may have the response to its request.

    Attributes
    ----------
    stream : StreamId or None
        Stream of the request that holds the key; None if unknown.
    """

    host: HostId
    incarnation: Incarnation
    stream: StreamId | None = None


class KeyedCalls:
    """Serves calls with an idempotency key, and passes on calls without one.

    Parameters
    ----------
    settings : Settings
        The host's settings, with the claim window and the secret shared by the
        hosts.
    claims : pykka.ActorRef
        Actor of class `godwitladder.claims.actor.Claims`.
    issued : IssuedKeys
        Keys that this process issued.
    forwarder : Forwarder
        Forwards calls to other hosts.
    run : callable
        Serves a call that holds its key or needs none.
    find_request_id : callable
        Returns the signed request id of a stream if a target of the call's
        service has that stream, else ``""``.
    clock : Clock
        The host's clock.
    metrics : Metrics
        The host's metrics.

    Attributes
    ----------
    stopping : bool
        Whether the host is stopping and claims no more keys.
    """

    def __init__(
        self,
        settings: Settings,
        claims: pykka.ActorRef,
        issued: IssuedKeys,
        forwarder: Forwarder,
        run: Callable[[Call, Mapping, Callable], Iterable[bytes]],
        find_request_id: Callable[[Call, StreamId], str],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.claims = claims
        self.issued = issued
        self.forwarder = forwarder
        self.run = run
        self.find_request_id = find_request_id
        self.clock = clock
        self.metrics = metrics
        self.joinable = JoinableRequests(clock.monotonic)
        self.stopping = False

    def serve(
        self,
        call: Call,
        environ: Mapping,
        start_response,
        resume: Callable[[str], Iterable[bytes]],
    ) -> Iterable[bytes]:
        """Serve one call.

        Parameters
        ----------
        resume : callable
            Responds with the stream that a signed request id names.

        Raises
        ------
        CallRefused
            The call does not run, or an earlier call with its key may have run.
        """
        if call.row.key is None:
            return self.run(call, environ, start_response)
        issued = self._read_issued(call, environ)
        if issued and not self.issued.is_own(issued) and not call.row.idempotent:
            holder = Holder(issued.host, issued.incarnation)
            return self._forward_to_holder(call, environ, holder, start_response)
        while True:
            original, is_original = self.joinable.find_or_add(
                call.row.key, call.row.body
            )
            if is_original:
                return self._serve_original(
                    original, call, issued, environ, start_response
                )
            if original.digest != call.row.body:
                raise CallRefused(refuse(Reason.KEY_REUSED, KEY_REUSED_TEXT))
            answer = self._join(original, call, start_response, resume)
            if answer is not None:
                return answer

    def _read_issued(self, call: Call, environ: Mapping) -> IssuedKey | None:
        secret = self.settings.peers.secret
        try:
            key = read_key(secret, environ[KEY_HEADER])
        except ForgedKey as error:
            raise CallRefused(refuse(Reason.MALFORMED, FORGED_KEY_TEXT)) from error
        if key and key.workspace != call.row.workspace:
            raise CallRefused(refuse(Reason.MALFORMED, FORGED_KEY_TEXT))
        return key

    def _join(
        self, original: OriginalRequest, call: Call, start_response, resume
    ) -> Iterable[bytes] | None:
        """Return the response of the original request.

        Return None if that request ended without a response that can be reused.

        Raises
        ------
        CallRefused
            The original request has not been answered by the deadline.
        """
        while not original.done.wait(POLL_INTERVAL_S):
            if self.clock.monotonic() >= call.row.deadline:
                raise key_in_use(original.request)
        if original.request:
            return resume(original.request)
        if original.body is None:
            return None
        start_response(original.status, original.headers)
        return [original.body]

    def _serve_original(
        self,
        original: OriginalRequest,
        call: Call,
        issued: IssuedKey | None,
        environ: Mapping,
        start_response,
    ) -> Iterable[bytes]:
        row = call.row

        def start(status, headers, exc_info=None):
            original.record_head(status, headers)
            return start_response(status, headers)

        try:
            if row.idempotent:
                on_end = self._discard_unless_completed(original, row)
            elif issued:
                self._spend(issued, row)
                on_end = self._give_back_if_not_run(original, row)
            else:
                holder = self._claim(call, environ)
                if holder:
                    answer = self._forward_to_holder(call, environ, holder, start)
                    answer = original.record_answer(answer)
                    self.joinable.discard(row.key, original)
                    return answer
                on_end = self._release_if_not_run(original, row)
            call = dataclasses.replace(call, on_end=on_end)
            answer = original.record_answer(self.run(call, environ, start))
        except BaseException:
            self.joinable.discard(row.key, original)
            raise
        self.joinable.retain(row.key, original)
        return answer

    def _discard_unless_completed(self, original: OriginalRequest, row: RequestRow):
        def on_end(state: RequestState) -> None:
            if state is not RequestState.COMPLETED:
                self.joinable.discard(row.key, original)

        return on_end

    def _give_back_if_not_run(self, original: OriginalRequest, row: RequestRow):
        def on_end(state: RequestState) -> None:
            if state is RequestState.NOT_RUN:
                self.issued.restore(row.key)
                self.joinable.discard(row.key, original)

        return on_end

    def _release_if_not_run(self, original: OriginalRequest, row: RequestRow):
        def on_end(state: RequestState) -> None:
            # Release the key only if the request is known not to have run: the
            # next request with this key will run on any host that it reaches.
            if state is RequestState.NOT_RUN:
                self.claims.tell(
                    ReleaseClaim(key_bytes(row.key), nonce_bytes(row.stream))
                )
                self.joinable.discard(row.key, original)

        return on_end

    def _spend(self, issued: IssuedKey, row: RequestRow) -> None:
        spending = self.issued.use(issued, row.key, row.body, self.clock.monotonic())
        if spending is KeyUseResult.SPENT:
            raise key_in_use("")
        if spending is KeyUseResult.REUSED:
            raise CallRefused(refuse(Reason.KEY_REUSED, KEY_REUSED_TEXT))
        if spending is KeyUseResult.EXPIRED:
            raise CallRefused(key_expired())

    def _claim(self, call: Call, environ: Mapping) -> Holder | None:
        """Claim the key of ``call``; return its holder if another request has it.

        Raises
        ------
        CallRefused
            The host is stopping, the key was used with another body or has
            expired, or the log does not answer.
        """
        row = call.row
        if self.stopping:
            raise CallRefused(refuse(Reason.STOPPING, STOPPING_TEXT, STOPPING_RETRY_S))
        window = self.settings.claims.window_s / MIN_WINDOW_FACTOR
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
        raise CallRefused(_claim_refusals()[settled.verdict])

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

    def _forward_to_holder(
        self, call: Call, environ: Mapping, holder: Holder, start_response
    ) -> Iterable[bytes]:
        """Return the response of the process that holds the key.

        Raises
        ------
        CallRefused
            That process can't be asked, or is this one. The refusal carries the
            id of the original request if its stream was found.
        """
        own = (holder.host, holder.incarnation) == (
            self.issued.host,
            self.issued.incarnation,
        )
        if not own and not environ.get(FORWARDED_KEY):
            answer = self.forwarder.forward(
                holder.host,
                holder.incarnation,
                environ,
                environ[BODY_KEY],
                call.row.deadline,
            )
            if answer:
                return answer.start(start_response)
        request = self.find_request_id(call, holder.stream) if holder.stream else ""
        raise key_in_use(request, KEY_IN_USE_TEXT if own else HOLDER_GONE_TEXT)


def key_in_use(request: str, detail: str = KEY_IN_USE_TEXT) -> CallRefused:
    """Return the refusal of a retry whose original request may have run."""
    refusal = Refusal(RequestState.MAY_HAVE_RUN, Reason.KEY_IN_USE, detail)
    return CallRefused(refusal, request)


def key_expired() -> Refusal:
    """Return the refusal of a key that is too old to tell whether it was used."""
    return Refusal(RequestState.MAY_HAVE_RUN, Reason.KEY_EXPIRED, KEY_EXPIRED_TEXT)


def _claim_refusals() -> dict[Verdict, Refusal]:
    return {
        Verdict.REUSED: refuse(Reason.KEY_REUSED, KEY_REUSED_TEXT),
        Verdict.EXPIRED: key_expired(),
        Verdict.UNAVAILABLE: refuse(
            Reason.LOG_UNAVAILABLE, LOG_UNAVAILABLE_TEXT, RETRY_DELAY_S
        ),
    }


def uuid7_time_s(text: str) -> float:
    """Return the creation time of a UUIDv7 key in seconds since the epoch, else 0.

    A version 7 UUID contains its creation time in milliseconds, so that a key
    older than the claim window can be detected and refused. Any other key counts
    as unused again once its claim is forgotten.
    """
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return 0.0
    if parsed.version != UUID_TIME_VERSION:
        return 0.0
    return (parsed.int >> 80) / 1000
