"""The WSGI application that callers reach."""

import json
import queue
import threading
from collections.abc import Callable, Iterable, Iterator, Mapping

import pykka

from godwitladder.clock import Clock
from godwitladder.configuration.model import ServiceKind
from godwitladder.configuration.state import ConfigState
from godwitladder.engines.engine import EngineStream
from godwitladder.engines.service import call_service
from godwitladder.engines.wire import MayHaveRun, NotSent, TargetRefused
from godwitladder.findings import GodwitladderError
from godwitladder.ids import ServiceName, WorkspaceName
from godwitladder.logs import part_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.scheduler.messages import Finished, NothingSent, Submit, Withdrawn
from godwitladder.scheduler.rows import Dispatch
from godwitladder.serving.auth import bearer_digest, matching_digest
from godwitladder.serving.calls import (
    Call,
    Caller,
    CallRefused,
    deny,
    read_chat,
    read_plain,
)
from godwitladder.serving.problems import answer_problem, problem_body
from godwitladder.serving.relay import (
    StreamTally,
    follow_stream,
    join_chunks,
    open_for,
)
from godwitladder.serving.request_ids import (
    ForgedId,
    RequestName,
    read_request,
    sign_request,
)
from godwitladder.settings import Settings

log = part_logger("callers")

GONE_CHECK_S = 0.5
CHAT_PATH = "/v1/chat/completions"
SERVICE_PATH = "/v1/services/"
REQUEST_PATH = "/v1/requests/"


class CallerApp:
    """Serves callers, one thread for each request in progress.

    Parameters
    ----------
    settings : Settings
        Bounds and the secret that signs request ids.
    scheduler : pykka.ActorRef
        The actor that decides.
    clock : Clock
        The host's clock.
    metrics : Metrics
        Where to count.
    """

    def __init__(
        self,
        settings: Settings,
        scheduler: pykka.ActorRef,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.scheduler = scheduler
        self.clock = clock
        self.metrics = metrics
        self.config = ConfigState()
        self.open_calls = 0
        self.lock = threading.Lock()

    def __call__(self, environ: Mapping, start_response) -> Iterable[bytes]:
        """Answer one request (WSGI)."""
        with self.lock:
            self.open_calls += 1
        return CountedAnswer(self._answer(environ, start_response), self._close_call)

    def _close_call(self) -> None:
        with self.lock:
            self.open_calls -= 1

    def _answer(self, environ: Mapping, start_response) -> Iterable[bytes]:
        try:
            return self._route(environ, start_response)
        except CallRefused as error:
            self._count(error.refusal.outcome)
            return answer_problem(start_response, error.refusal)

    def _route(self, environ: Mapping, start_response) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        caller = self._authenticate(environ)
        if method == "POST" and path == CHAT_PATH:
            body = self._read_body(environ)
            call = read_chat(environ, body, caller, self.config, self.clock)
            return self._serve(call, environ, start_response)
        if method == "POST" and path.startswith(SERVICE_PATH):
            name = ServiceName(path[len(SERVICE_PATH) :])
            body = self._read_body(environ)
            call = read_plain(environ, body, name, caller, self.config, self.clock)
            return self._serve(call, environ, start_response)
        if method == "GET" and path.startswith(REQUEST_PATH):
            return self._resume(path[len(REQUEST_PATH) :], caller, start_response)
        raise deny(Reason.UNKNOWN_PATH, f"There is no {method} {path}.")

    def _authenticate(self, environ: Mapping) -> Caller:
        digest = bearer_digest(environ)
        known = matching_digest(
            digest, [key for key in (digest,) if key in self.config.keys]
        )
        if not known:
            raise deny(Reason.UNAUTHENTICATED, "The bearer key is not known.")
        name = WorkspaceName(self.config.keys[known])
        workspace = self.config.workspaces[name]
        return Caller(name, workspace, self.config.rank(workspace))

    def _read_body(self, environ: Mapping) -> bytes:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > self.settings.limits.body_bytes:
            raise deny(Reason.TOO_LARGE, f"A body of {length} bytes is too large.")
        return environ["wsgi.input"].read(length)

    def _serve(self, call: Call, environ: Mapping, start_response) -> Iterable[bytes]:
        self.scheduler.tell(Submit(call.row))
        while True:
            decision = self._await_decision(call, environ)
            if isinstance(decision, Refusal):
                return self._refuse(call, decision, start_response)
            try:
                return self._dispatch(call, decision, start_response)
            except NotSent as error:
                log.info("Nothing was sent", extra={"error": str(error)})
                self.scheduler.tell(NothingSent(call.row.request))

    def _await_decision(self, call: Call, environ: Mapping) -> Dispatch | Refusal:
        gone = environ.get("waitress.client_disconnected", lambda: False)
        while True:
            try:
                return call.row.decisions.get(timeout=GONE_CHECK_S)
            except queue.Empty:
                if gone():
                    self.scheduler.tell(Withdrawn(call.row.request))

    def _refuse(self, call: Call, refusal: Refusal, start_response) -> list[bytes]:
        self._count(refusal.outcome)
        return answer_problem(start_response, refusal, call.row.request)

    def _dispatch(
        self, call: Call, dispatch: Dispatch, start_response
    ) -> Iterable[bytes]:
        """Write the request to its target and answer with what comes back.

        Raises
        ------
        NotSent
            No byte was written; the scheduler may choose another target.
        """
        name = RequestName(call.row.workspace, dispatch.target, dispatch.stream)
        identity = sign_request(self.settings.peers.secret, name)
        try:
            if call.service.kind is ServiceKind.PLAIN:
                return self._call_plain(call, dispatch, identity, start_response)
            opened = open_for(dispatch.address, dispatch.stream, call.body)
            return self._answer_stream(call, dispatch, identity, opened, start_response)
        except TargetRefused as error:
            self._finish(call, RequestState.NOT_RUN)
            text = f"The target turned the request away: {error}."
            refusal = refuse(Reason.TARGET_REFUSED, text, 1.0)
            return answer_problem(start_response, refusal, identity)
        except MayHaveRun as error:
            self._finish(call, RequestState.MAY_HAVE_RUN)
            return answer_problem(start_response, lost(error), identity)

    def _call_plain(
        self, call: Call, dispatch: Dispatch, identity: str, start_response
    ) -> list[bytes]:
        remaining = max(0.1, call.row.deadline - self.clock.monotonic())
        answer = call_service(
            dispatch.address,
            call.row.service,
            dispatch.stream,
            call.body,
            call.content_type,
            remaining,
        )
        self._finish(call, RequestState.COMPLETED)
        headers = [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(answer.body))),
            ("Request-Id", identity),
        ]
        start_response(f"{answer.status} Answered", headers)
        return [answer.body]

    def _answer_stream(
        self,
        call: Call,
        dispatch: Dispatch,
        identity: str,
        opened: EngineStream,
        start_response,
    ) -> Iterable[bytes]:
        tally = StreamTally()
        chunks = follow_stream(
            dispatch.address, dispatch.stream, tally, opened, self.clock.sleep
        )
        if call.streamed:
            start_events(start_response, identity)
            return self._stream(call, chunks, tally, identity)
        body = join_chunks(chunks, identity, call.row.service)
        self._finish(call, RequestState.COMPLETED, tally)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Request-Id", identity),
        ]
        start_response("200 OK", headers)
        return [body]

    def _stream(
        self, call: Call, chunks: Iterator, tally: StreamTally, identity: str
    ) -> Iterator[bytes]:
        state = RequestState.MAY_HAVE_RUN
        try:
            yield from event_bytes(chunks, identity)
            if tally.whole:
                state = RequestState.COMPLETED
        finally:
            self._finish(call, state, tally)

    def _resume(self, identity: str, caller: Caller, start_response) -> Iterable[bytes]:
        try:
            name = read_request(self.settings.peers.secret, identity)
        except ForgedId as error:
            raise deny(Reason.UNKNOWN_PATH, f"{error}.") from error
        target = self.config.targets.get(name.target)
        if name.workspace != caller.name or target is None:
            raise deny(Reason.UNKNOWN_PATH, "There is no such request.")
        chunks = follow_stream(
            target.address, name.stream, StreamTally(), None, self.clock.sleep
        )
        start_events(start_response, identity)
        return event_bytes(chunks, identity)

    def _finish(
        self, call: Call, state: RequestState, tally: StreamTally | None = None
    ) -> None:
        tokens = tally.tokens if tally else 0
        self._count(state)
        self.scheduler.tell(
            Finished(call.row.request, state, call.row.prompt_tokens, tokens)
        )

    def _count(self, state: RequestState) -> None:
        self.metrics.requests.inc({"outcome": state.value})


class CountedAnswer:
    """An answer that says when the server is done with it.

    The count of open calls is what a planned stop waits for: it must fall
    only after the last byte was handed to the server, not when the answer
    starts.
    """

    def __init__(self, body: Iterable[bytes], done: Callable[[], None]) -> None:
        self.body = body
        self.done = done

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.body)

    def close(self) -> None:
        """Called by the server at the end, also after a broken connection."""
        try:
            close = getattr(self.body, "close", None)
            if close:
                close()
        finally:
            self.done()


def lost(error: GodwitladderError) -> Refusal:
    """Return the refusal for a target that was lost after the first byte."""
    text = f"The target was lost with the request: {error}."
    return Refusal(RequestState.MAY_HAVE_RUN, Reason.TARGET_LOST, text)


def start_events(start_response, identity: str) -> None:
    """Start an answer of server-sent events."""
    headers = [
        ("Content-Type", "text/event-stream"),
        ("Cache-Control", "no-store"),
        ("Request-Id", identity),
    ]
    start_response("200 OK", headers)


def event_bytes(chunks: Iterator, identity: str) -> Iterator[bytes]:
    """Yield the chunks as server-sent events; an early end is an error event."""
    yield f": request {identity}\n\n".encode()
    try:
        for chunk in chunks:
            yield b"id: %d\ndata: %b\n\n" % (chunk.sequence, chunk.data)
    except MayHaveRun as error:
        problem = json.dumps({"error": problem_body(lost(error), identity)})
        yield f"event: error\ndata: {problem}\n\n".encode()
