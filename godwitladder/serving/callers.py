"""The WSGI application that callers reach."""

import threading
from collections.abc import Iterable, Mapping

import pykka

from godwitladder.clock import Clock
from godwitladder.configuration.state import ConfigState
from godwitladder.ids import ServiceName, WorkspaceName
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason
from godwitladder.serving.answers import CountedAnswer, event_bytes, start_events
from godwitladder.serving.auth import bearer_digest, matching_digest
from godwitladder.serving.calls import Caller, CallRefused, deny, read_chat, read_plain
from godwitladder.serving.dispatching import Dispatcher
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.relay import StreamTally, follow_stream
from godwitladder.serving.request_ids import ForgedId, read_request
from godwitladder.settings import Settings

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
        self.clock = clock
        self.metrics = metrics
        self.config = ConfigState()
        self.dispatcher = Dispatcher(settings, scheduler, clock, metrics)
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
            self.metrics.requests.inc({"outcome": error.refusal.outcome.value})
            return answer_problem(start_response, error.refusal)

    def _route(self, environ: Mapping, start_response) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        caller = self._authenticate(environ)
        if method == "POST" and path == CHAT_PATH:
            body = self._read_body(environ)
            call = read_chat(environ, body, caller, self.config, self.clock)
            return self.dispatcher.serve(call, environ, start_response)
        if method == "POST" and path.startswith(SERVICE_PATH):
            name = ServiceName(path[len(SERVICE_PATH) :])
            body = self._read_body(environ)
            call = read_plain(environ, body, name, caller, self.config, self.clock)
            return self.dispatcher.serve(call, environ, start_response)
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
