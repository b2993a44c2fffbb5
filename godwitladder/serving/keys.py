"""``POST /v1/keys``, and the components that serve calls with idempotency keys."""

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
from godwitladder.engines.wire import Dial, MayHaveRun, NotSent, TargetRefused, connect
from godwitladder.ids import Incarnation, StreamId, TargetName
from godwitladder.logs import component_logger
from godwitladder.membership.mesh import Mesh
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, refuse
from godwitladder.process.supervision import Fail, supervised
from godwitladder.quarantine.records import Cleared, Crash, Lifted
from godwitladder.quarantine.watch import CrashWatch
from godwitladder.scheduler.ticker import Ticker
from godwitladder.serving.calls import Call, Caller, CallRefused
from godwitladder.serving.forwarding import ForwardedAnswer, ForwardedCall, Forwarder
from godwitladder.serving.keyed import STOPPING_RETRY_S, KeyedCalls
from godwitladder.serving.request_ids import RequestLocator, sign_request_id
from godwitladder.settings import Settings

if TYPE_CHECKING:
    from godwitladder.serving.callers import CallerApp

log = component_logger("keys")

KEYS_PATH = "/v1/keys"
PROBE_TIMEOUT_S = 1.0
# Longest time that a graceful shutdown waits for the log to accept outstanding
# releases. A key whose release is lost is refused until the claim window ends.
FLUSH_TIMEOUT_S = 10.0
FLUSH_POLL_INTERVAL_S = 0.05
STOPPING_TEXT = "This host is stopping, and its keys would be lost with it."


def issue_key(keyed: KeyedCalls, caller: Caller, start_response) -> list[bytes]:
    """Respond with a new key, whose request only this process may dispatch.

    Raises
    ------
    CallRefused
        The host is stopping.
    """
    if keyed.stopping:
        raise CallRefused(refuse(Reason.STOPPING, STOPPING_TEXT, STOPPING_RETRY_S))
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
    """The components of a host that handle claims, issued keys and forwarding.

    They are started and stopped together.

    Parameters
    ----------
    settings : Settings
        The host's settings.
    incarnation : Incarnation
        Incarnation number of this process.
    callers : CallerApp
        Application that serves callers.
    mesh : Mesh
        Connections to the other hosts.
    client : LogClient
        Client of the platform's log.
    clock : Clock
        The host's clock.
    metrics : Metrics
        The host's metrics.
    fail : callable
        Terminates the host when the claims actor has failed.
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
        fail: Fail,
    ) -> None:
        self.clock = clock
        self.callers = callers
        self.secret = settings.peers.secret
        work = threading.Event()
        host, window_s = settings.host, settings.claims.window_s
        # Supervised, because callers would wait forever for the verdict of an
        # actor that has failed.
        self.claims = supervised(Claims, fail).start(
            host, incarnation, settings.claims, clock, metrics, work
        )
        self.claim_log = ClaimLogThreads(
            self.claims, client, clock, work, settings.claims.batch_s
        )
        self.forwarder = Forwarder(host, incarnation, mesh, callers, clock)
        self.watch = CrashWatch(
            callers.dispatcher.serve,
            lambda: callers.config,
            self.claims,
            mesh,
            clock,
            callers.dial,
        )
        self.claims.tell(SubscribeCrashEvents(self.watch.replay))
        self.keyed = callers.keyed = KeyedCalls(
            settings,
            self.claims,
            IssuedKeys(host, incarnation, window_s),
            self.forwarder,
            self.watch.serve,
            self.find_request_id,
            clock,
            metrics,
        )
        self.ticker: Ticker | None = None

    def message_handlers(self) -> dict[type, Callable[[Any, Any], None]]:
        """Return the handlers of peer messages about keys and crashes, by class."""
        return {
            ForwardedCall: self.forwarder.handle_message,
            ForwardedAnswer: self.forwarder.handle_message,
            Crash: self.watch.handle_message,
            Cleared: self.watch.handle_message,
            Lifted: self.watch.handle_message,
        }

    def start(self, tick_s: float) -> None:
        """Start following the claims stream.

        Parameters
        ----------
        tick_s : float
            Seconds between two ticks of the claims actor.
        """
        self.claim_log.start()
        self.ticker = Ticker(self.clock, tick_s)
        self.ticker.start(self.claims)

    def flush(self) -> None:
        """Wait until the log has accepted all releases, or until the timeout."""
        due = self.clock.monotonic() + FLUSH_TIMEOUT_S
        while not self.claims.ask(IsIdle()):
            if self.clock.monotonic() >= due:
                log.warning("Host stopped before the log had accepted all key releases")
                return
            self.clock.sleep(FLUSH_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Stop all components."""
        if self.ticker:
            self.ticker.stop()
        self.claim_log.stop()
        self.claims.stop()

    def find_request_id(self, call: Call, stream: StreamId) -> str:
        """Return the signed id of ``stream`` if a target has it, else ``""``."""
        row = call.row
        target = find_stream(
            self.callers.config, row.service, stream, self.callers.dial
        )
        if target is None:
            return ""
        return sign_request_id(
            self.secret, RequestLocator(row.workspace, target, stream)
        )


def find_stream(
    config: ConfigState, service: str, stream: StreamId, dial: Dial = connect
) -> TargetName | None:
    """Ask each target of ``service`` and return the one that has ``stream``.

    The nonce of a claim is the id of its request's stream, so that the response
    can still be fetched after the host of the request has failed. Return None if
    no target has the stream. Plain services have no streams to ask for.
    """
    if config.services[service].kind is not ServiceKind.MODEL:
        return None
    for name, target in config.targets.items():
        if service not in target.services:
            continue
        try:
            resume_stream(target.address, stream, 0, PROBE_TIMEOUT_S, dial).close()
        except (NotSent, MayHaveRun, TargetRefused):
            continue
        return TargetName(name)
    return None
