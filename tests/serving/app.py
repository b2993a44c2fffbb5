"""The callers' application in this process, without hosts or sockets of its own."""

import contextlib
import io
import json
from dataclasses import dataclass, field

import pykka

from godwitladder.clock import Clock
from godwitladder.configuration.model import (
    Service,
    ServiceKind,
    Target,
    Tier,
    Workspace,
)
from godwitladder.configuration.state import ConfigState
from godwitladder.membership.router import Router
from godwitladder.metrics import Metrics
from godwitladder.scheduler.actor import Scheduler
from godwitladder.scheduler.allocator import Allocator, AllocatorTables
from godwitladder.scheduler.messages import NewConfig
from godwitladder.scheduler.rows import Tables
from godwitladder.scheduler.ticker import Ticker
from godwitladder.serving.callers import CallerApp
from godwitladder.serving.dispatching import Dispatcher
from godwitladder.settings import (
    ListenSettings,
    PeerSettings,
    PlatformSettings,
    Settings,
)
from tests.fleet import CALLER_KEY, LOW_KEY, digest, wait_until


def make_settings(**fields) -> Settings:
    listen = ListenSettings(*["127.0.0.1:1"] * 3)
    platform = PlatformSettings("http://127.0.0.1:1", "http://127.0.0.1:1")
    peers = PeerSettings("secret")
    return Settings("host", "a", listen, platform, peers, **fields)


def make_config(engine: str, service: str) -> ConfigState:
    """Return a configuration with one engine and one plain service."""
    targets = {}
    if engine:
        targets["engine"] = Target(engine, "a", ("letters",))
    if service:
        targets["app"] = Target(service, "a", ("charge", "lookup"))
    return ConfigState(
        offset=1,
        tiers={"urgent": Tier(0), "normal": Tier(1)},
        workspaces={"advisers": Workspace("urgent"), "returns": Workspace("normal")},
        services={
            "letters": Service(ServiceKind.MODEL, True),
            "charge": Service(ServiceKind.PLAIN, False),
            "lookup": Service(ServiceKind.PLAIN, True),
        },
        targets=targets,
        keys={digest(CALLER_KEY): "advisers", digest(LOW_KEY): "returns"},
    )


@dataclass
class Answer:
    """What the application answered."""

    status: str = ""
    headers: dict = field(default_factory=dict)
    body: object = ()

    def read(self) -> bytes:
        try:
            return b"".join(self.body)
        finally:
            self.body.close()

    def problem(self) -> dict:
        return json.loads(self.read())


class Unkeyed:
    """Stands where calls with keys are served; hands every call on."""

    def __init__(self, dispatcher: Dispatcher) -> None:
        self.dispatcher = dispatcher

    def serve(self, call, environ, start_response, resume):
        return self.dispatcher.serve(call, environ, start_response)


class App:
    """A `CallerApp` with a scheduler behind it."""

    def __init__(
        self, stack: contextlib.ExitStack, engine="", service="", **settings
    ) -> None:
        self.metrics = Metrics()
        clock = Clock()
        router, ticker = Router("host"), Ticker(clock, 0.05)
        tables = self.tables = Tables("host", "a", hosts=("host",))
        self.scheduler: pykka.ActorRef = Scheduler.start(
            tables, clock, self.metrics, ticker, router.send
        )
        stack.callback(self.scheduler.stop)
        allocator = Allocator.start(
            AllocatorTables("host", "a", hosts=("host",)), clock, router.send
        )
        stack.callback(allocator.stop)
        router.connect(None, None, self.scheduler, allocator)
        for part, actor in ((ticker, self.scheduler), (Ticker(clock, 0.05), allocator)):
            part.start(actor)
            stack.callback(part.stop)
        self.app = CallerApp(
            make_settings(**settings), self.scheduler, clock, self.metrics
        )
        self.app.config = make_config(engine, service)
        self.app.keyed = Unkeyed(self.app.dispatcher)
        for actor in (allocator, self.scheduler):
            actor.ask(NewConfig(self.app.config))

    def wait_for_allowances(self) -> None:
        """Wait until a target may be used unasked.

        Before that, the allocator is asked, and refuses what it expects to
        take too long; afterwards a call starts at once.
        """
        pools = self.tables.pools
        wait_until(
            lambda: all(access.allowances for access in pools.values()), "allowances"
        )

    def ask(self, method: str, path: str, body: bytes = b"", **environ) -> Answer:
        """Call the application as a server would, up to its first byte."""
        answer = Answer()

        def start_response(status, headers):
            answer.status, answer.headers = status, dict(headers)

        answer.body = self.app(
            {
                "REQUEST_METHOD": method,
                "PATH_INFO": path,
                "CONTENT_LENGTH": str(len(body)),
                "HTTP_AUTHORIZATION": f"Bearer {CALLER_KEY}",
                "wsgi.input": io.BytesIO(body),
                **environ,
            },
            start_response,
        )
        return answer

    def chat(self, environ=None, **body) -> Answer:
        raw = {"model": "letters", "messages": ["x"], "max_tokens": 80, **body}
        text = json.dumps(raw).encode()
        return self.ask("POST", "/v1/chat/completions", text, **(environ or {}))

    def outcomes(self) -> dict[str, int]:
        """Return how many requests have ended in each way."""
        rows = self.metrics.requests.get_all()
        return {labels["outcome"]: count for labels, count in rows}

    def wait_until_idle(self) -> None:
        """Wait until no dispatch holds a target and no call is open."""
        wait_until(lambda: self.metrics.running.get({}) == 0, "free targets")
        assert self.app.open_calls == 0
