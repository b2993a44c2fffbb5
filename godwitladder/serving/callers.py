"""WSGI application for callers."""

from collections.abc import Iterable, Mapping

import pykka

from godwitladder.clock import Clock
from godwitladder.configuration.state import ConfigState
from godwitladder.engines.wire import Dial, connect
from godwitladder.ids import ServiceName, WorkspaceName
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason
from godwitladder.serving.answers import internal_fault
from godwitladder.serving.auth import bearer_digest, matching_digest
from godwitladder.serving.calls import (
    Call,
    Caller,
    CallRefused,
    deny,
    read_chat,
    read_plain,
)
from godwitladder.serving.counting import CountedApp
from godwitladder.serving.dispatching import Dispatcher
from godwitladder.serving.keyed import BODY_KEY, KeyedCalls
from godwitladder.serving.keys import KEYS_PATH, issue_key
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.request_bodies import read_whole_body
from godwitladder.serving.resuming import resume_request
from godwitladder.settings import Settings

log = component_logger("callers")

CHAT_PATH = "/v1/chat/completions"
SERVICE_PATH = "/v1/services/"
REQUEST_PATH = "/v1/requests/"


class CallerApp(CountedApp):
    """Serves callers' requests, each on a thread of its own.

    Parameters
    ----------
    settings : Settings
        The host's settings, with its limits and the secret that signs request
        ids.
    scheduler : pykka.ActorRef
        Actor that decides when and where each request runs.
    clock : Clock
        The host's clock.
    metrics : Metrics
        Metrics that count requests and refusals.
    dial : callable
        Connects to targets.

    Attributes
    ----------
    keyed : KeyedCalls or None
        Handler of calls with idempotency keys. None until the connections to
        other hosts have been set up.
    """

    def __init__(
        self,
        settings: Settings,
        scheduler: pykka.ActorRef,
        clock: Clock,
        metrics: Metrics,
        dial: Dial = connect,
    ) -> None:
        super().__init__()
        self.dial = dial
        self.settings = settings
        self.clock = clock
        self.metrics = metrics
        self.config = ConfigState()
        self.dispatcher = Dispatcher(
            settings, scheduler, clock, metrics, self.exceeds_thread_limit, dial
        )
        self.keyed: KeyedCalls | None = None

    def exceeds_thread_limit(self) -> bool:
        """Return whether only the threads reserved for refusals are left."""
        return self.open_calls > self.settings.limits.threads

    def answer(self, environ: Mapping, start_response) -> Iterable[bytes]:
        """Serve one request; respond with a problem document if it is refused."""
        try:
            return self._route(environ, start_response)
        except CallRefused as error:
            self.metrics.count_refused_call(error.refusal.reason)
            return answer_problem(start_response, error.refusal, error.request)
        except Exception:
            log.exception("Unhandled exception while serving a request")
            return answer_problem(start_response, internal_fault())

    def _route(self, environ: Mapping, start_response) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        # Use one configuration for the whole request: a ticket that comes into
        # force meanwhile may remove an object that was already looked up.
        config = self.config
        limits = self.settings.limits
        caller = authenticate(environ, config)
        if method == "POST" and path == CHAT_PATH:
            body = self._read_body(environ)
            call = read_chat(environ, body, caller, config, self.clock, limits)
            return self._serve(call, body, caller, environ, start_response)
        if method == "POST" and path == KEYS_PATH:
            return issue_key(self.keyed, caller, start_response)
        if method == "POST" and path.startswith(SERVICE_PATH):
            name = ServiceName(path[len(SERVICE_PATH) :])
            body = self._read_body(environ)
            call = read_plain(environ, body, name, caller, config, self.clock, limits)
            return self._serve(call, body, caller, environ, start_response)
        if method == "GET" and path.startswith(REQUEST_PATH):
            identity = path[len(REQUEST_PATH) :]
            secret = self.settings.peers.secret
            return resume_request(
                environ,
                identity,
                caller,
                config,
                secret,
                self.clock,
                start_response,
                self.dial,
            )
        raise deny(Reason.UNKNOWN_PATH, f"There is no {method} {path}.")

    def _serve(
        self, call: Call, body: bytes, caller: Caller, environ: Mapping, start_response
    ) -> Iterable[bytes]:
        # Calls without an idempotency key go through `keyed` as well, because
        # quarantine recognizes requests that crash targets by their body.
        if self.keyed is None and call.row.key is None:
            return self.dispatcher.serve(call, environ, start_response)

        def resume(identity: str) -> Iterable[bytes]:
            secret = self.settings.peers.secret
            return resume_request(
                {},
                identity,
                caller,
                self.config,
                secret,
                self.clock,
                start_response,
                self.dial,
            )

        environ = {**environ, BODY_KEY: body}
        return self.keyed.serve(call, environ, start_response, resume)

    def _read_body(self, environ: Mapping) -> bytes:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > self.settings.limits.body_bytes:
            raise deny(Reason.TOO_LARGE, f"A body of {length} bytes is too large.")
        return read_whole_body(environ)


def authenticate(environ: Mapping, config: ConfigState) -> Caller:
    """Return the caller that the bearer key belongs to.

    The key is looked up by its digest, so lookup time reveals nothing about how
    close a guessed key is. The comparison itself takes constant time.

    Raises
    ------
    CallRefused
        The bearer key is missing or belongs to no workspace.
    """
    digest = bearer_digest(environ)
    known = matching_digest(digest, [key for key in (digest,) if key in config.keys])
    if not known:
        raise deny(Reason.UNAUTHENTICATED, "The bearer key is not known.")
    name = WorkspaceName(config.keys[known])
    workspace = config.workspaces[name]
    lowest = max(tier.rank for tier in config.tiers.values())
    return Caller(name, workspace, config.rank(workspace), lowest)
