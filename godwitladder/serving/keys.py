"""``POST /v1/keys``, and the parts of a host that serve keyed calls."""

import json
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from godwitladder.claims.actor import (
    ClaimLogThreads,
    Claims,
    IsIdle,
    SubscribeCrashEvents,
)
from godwitladder.claims.issued import IssuedKeys, sign_key
from godwitladder.clients.log import LogClient
from godwitladder.clock import Clock
from godwitladder.configuration.model import ServiceKind
from godwitladder.configuration.state import ConfigState
from godwitladder.engines.engine import resume_stream
from godwitladder.engines.wire import MayHaveRun, NotSent, TargetRefused
from godwitladder.ids import Incarnation, StreamId, TargetName
from godwitladder.logs import component_logger
from godwitladder.membership.mesh import Mesh
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, refuse
from godwitladder.quarantine.records import Cleared, Crash, Lifted
from godwitladder.quarantine.watch import CrashWatch
from godwitladder.scheduler.ticker import Ticker
from godwitladder.serving.calls import Call, Caller, CallRefused
from godwitladder.serving.forwarding import ForwardedAnswer, ForwardedCall, Forwarder
from godwitladder.serving.keyed import STOPPING_RETRY_S, KeyedCalls
from godwitladder.serving.request_ids import RequestLocator, sign_request_id
from godwitladder.settings import Settings
from godwitladder.supervision import supervised

if TYPE_CHECKING:
    from godwitladder.serving.callers import CallerApp

log = component_logger("keys")

KEYS_PATH = "/v1/keys"
PROBE_S = 1.0
# A planned stop waits this long for the log to take the releases that are
# left. A key whose release is lost stays refused until its window is over.
FLUSH_S = 10.0
FLUSH_POLL_S = 0.05
STOPPING = "This host is stopping, and its keys would be lost with it."


def issue_key(keyed: KeyedCalls, caller: Caller, start_response) -> list[bytes]:
    """Answer with a new key that this process alone may dispatch.

    Raises
    ------
    CallRefused
        The host is stopping.
    """
    if keyed.stopping:
        raise CallRefused(refuse(Reason.STOPPING, STOPPING, STOPPING_RETRY_S))
    key = keyed.issued.issue(caller.name, keyed.clock.monotonic())
    answer = {
        "key": sign_key(keyed.settings.peers.secret, key),
        "expires_in_s": keyed.issued.window_s,
    }
    body = json.dumps(answer).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
        ("Cache-Control", "no-store"),
    ]
    start_response("201 Created", headers)
    return [body]


class KeyComponents:
    """Claims, issued keys and forwarding of one host, started and stopped as one.

    Parameters
    ----------
    settings : Settings
        What the host was told.
    incarnation : Incarnation
        Number of this process.
    callers : CallerApp
        The application that answers callers.
    mesh : Mesh
        The links between hosts.
    client : LogClient
        The platform's log.
    clock, metrics : Clock, Metrics
        The host's.
    fail : callable
        Ends the host.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: Incarnation,
        callers: "CallerApp",
        mesh: Mesh,
        client: LogClient,
        clock: Clock,
        metrics: Metrics,
        fail: Callable[[], None],
    ) -> None:
        self.clock = clock
        self.callers = callers
        self.secret = settings.peers.secret
        work = threading.Event()
        host, window_s = settings.host, settings.claims.window_s
        # Callers would wait for the verdict of a dead actor for ever.
        self.claims = supervised(Claims, fail).start(
            host, incarnation, settings.claims, clock, metrics, work
        )
        self.claim_log = ClaimLogThreads(
            self.claims, client, clock, work, settings.claims.batch_s
        )
        self.forwarder = Forwarder(host, incarnation, mesh, callers, clock)
        self.watch = CrashWatch(
            callers.dispatcher.serve, lambda: callers.config, self.claims, mesh, clock
        )
        self.claims.tell(SubscribeCrashEvents(self.watch.replay))
        self.keyed = callers.keyed = KeyedCalls(
            settings,
            self.claims,
            IssuedKeys(host, incarnation, window_s),
            self.forwarder,
            self.watch.serve,
            self.find,
            clock,
            metrics,
        )
        self.ticker: Ticker | None = None

    def message_handlers(self) -> dict[type, Callable[[Any, Any], None]]:
        """Return what takes the messages between hosts that are for keys."""
        return {
            ForwardedCall: self.forwarder.handle_message,
            ForwardedAnswer: self.forwarder.handle_message,
            Crash: self.watch.handle_message,
            Cleared: self.watch.handle_message,
            Lifted: self.watch.handle_message,
        }

    def start(self, tick_s: float) -> None:
        """Start to follow the claims stream."""
        self.claim_log.start()
        self.ticker = Ticker(self.clock, tick_s)
        self.ticker.start(self.claims)

    def flush(self) -> None:
        """Wait, within bounds, until the log has every release."""
        due = self.clock.monotonic() + FLUSH_S
        while not self.claims.ask(IsIdle()):
            if self.clock.monotonic() >= due:
                log.warning("Releases were left when the host stopped")
                return
            self.clock.sleep(FLUSH_POLL_S)

    def stop(self) -> None:
        """Stop every part."""
        if self.ticker:
            self.ticker.stop()
        self.claim_log.stop()
        self.claims.stop()

    def find(self, call: Call, stream: StreamId) -> str:
        """Return the signed id of ``stream`` if a target knows it, or ``""``."""
        row = call.row
        target = find_stream(self.callers.config, row.service, stream)
        if target is None:
            return ""
        return sign_request_id(
            self.secret, RequestLocator(row.workspace, target, stream)
        )


def find_stream(
    config: ConfigState, service: str, stream: StreamId
) -> TargetName | None:
    """Return the target that knows ``stream``, asking each of ``service``.

    A claim's nonce is the id of its stream, so that the answer of a request
    whose host died can still be had. A plain service has no streams to ask for.
    """
    if config.services[service].kind is not ServiceKind.MODEL:
        return None
    for name, target in config.targets.items():
        if service not in target.services:
            continue
        try:
            resume_stream(target.address, stream, 0, PROBE_S).close()
        except (NotSent, MayHaveRun, TargetRefused):
            continue
        return TargetName(name)
    return None
