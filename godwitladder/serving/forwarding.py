"""Passing a keyed call on to the one host that may answer it.

A call goes to the process that claimed or issued its key, over the links
between hosts, and is answered there as if its caller were connected there. It
is passed on once at most, by way of one other host where there is no direct
link. A repeat on the way finds the first by its key, so passing it on twice
can't run it twice.
"""

import dataclasses
import io
import queue
import secrets
import threading
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation
from godwitladder.logs import component_logger
from godwitladder.membership.codec import peer_message
from godwitladder.membership.links import Link
from godwitladder.membership.mesh import Mesh

log = component_logger("forwarding")

# Calls that other hosts may have under way here; each takes a thread.
CALLS = 64
# A message between hosts may have 4 MiB.
MAX_ANSWER_BYTES = 3_145_728
POLL_S = 0.25
PASSED_HEADERS = (
    "HTTP_AUTHORIZATION",
    "HTTP_IDEMPOTENCY_KEY",
    "HTTP_REQUEST_TIER_RANK",
)
FORWARDED_KEY = "godwitladder.forwarded"


@peer_message
@dataclass(frozen=True)
class ForwardedCall:
    """A call for one process; the tuples run in parallel.

    Attributes
    ----------
    origin : HostId
        Where the caller is connected.
    direct : bool
        Whether it comes from there without a host between.
    """

    query: str
    origin: HostId
    host: HostId
    incarnation: Incarnation
    direct: bool
    path: str
    names: tuple[str, ...]
    values: tuple[str, ...]
    content_type: str
    timeout_s: float
    body: bytes


@peer_message
@dataclass(frozen=True)
class ForwardedAnswer:
    """The whole answer to a forwarded call; status 0 for none to be had."""

    query: str
    origin: HostId
    status: str
    names: tuple[str, ...]
    values: tuple[str, ...]
    body: bytes

    def start(self, start_response) -> list[bytes]:
        """Answer the caller with it."""
        start_response(self.status, list(zip(self.names, self.values, strict=True)))
        return [self.body]


class Forwarder:
    """Sends calls to other hosts and serves theirs.

    Parameters
    ----------
    host, incarnation : HostId, Incarnation
        This process.
    mesh : Mesh
        The links between hosts.
    app : callable
        The application that answers callers.
    clock : Clock
        The host's clock.
    """

    def __init__(
        self,
        host: HostId,
        incarnation: Incarnation,
        mesh: Mesh,
        app: Callable,
        clock: Clock,
    ) -> None:
        self.host = host
        self.incarnation = incarnation
        self.mesh = mesh
        self.app = app
        self.clock = clock
        self.pending_replies: dict[str, queue.SimpleQueue[ForwardedAnswer]] = {}
        self.slots = threading.BoundedSemaphore(CALLS)

    def forward(
        self,
        host: HostId,
        incarnation: Incarnation,
        environ: Mapping,
        body: bytes,
        deadline: float,
    ) -> ForwardedAnswer | None:
        """Return the answer of the process ``incarnation`` of ``host``.

        None means that it could not be reached, or was lost on the way; the
        call may have been served there.
        """
        call = self._make_call(host, incarnation, environ, body, deadline)
        replies = self.pending_replies[call.query] = queue.SimpleQueue()
        try:
            links = self._send(call)
            return self._await_reply(replies, links, deadline) if links else None
        finally:
            del self.pending_replies[call.query]

    def handle_message(
        self, link: Link, message: ForwardedCall | ForwardedAnswer
    ) -> None:
        """Take in a message of a peer."""
        if isinstance(message, ForwardedAnswer):
            self._take_answer(message)
        elif message.host != self.host:
            self._pass_on(message)
        elif not self.slots.acquire(blocking=False):
            log.warning("Too many forwarded calls", extra={"peer": link.peer})
            self._answer(link, _no_answer(message))
        else:
            threading.Thread(
                target=self._serve, args=(link, message), name="forwarded", daemon=True
            ).start()

    def _make_call(
        self,
        host: HostId,
        incarnation: Incarnation,
        environ: Mapping,
        body: bytes,
        deadline: float,
    ) -> ForwardedCall:
        passed = {name: environ[name] for name in PASSED_HEADERS if name in environ}
        return ForwardedCall(
            query=secrets.token_hex(8),
            origin=self.host,
            host=host,
            incarnation=incarnation,
            direct=True,
            path=environ["PATH_INFO"],
            names=tuple(passed),
            values=tuple(passed.values()),
            content_type=environ.get("CONTENT_TYPE") or "",
            timeout_s=max(0.1, deadline - self.clock.monotonic()),
            body=body,
        )

    def _send(self, call: ForwardedCall) -> list[Link]:
        """Send ``call``; return the links that it went over."""
        links = self.mesh.current()
        direct = [link for link in links if link.peer == call.host]
        for link in direct or links:
            self.mesh.send(link.peer, call)
        return direct or links

    def _await_reply(
        self, replies: queue.SimpleQueue, links: list[Link], deadline: float
    ) -> ForwardedAnswer | None:
        """Wait for an answer while one of the links that may bring it is up."""
        missing = 0
        while self.clock.monotonic() < deadline:
            try:
                answer = replies.get(timeout=POLL_S)
            except queue.Empty:
                up = self.mesh.current()
                if not any(link in up for link in links):
                    return None
                continue
            if answer.status:
                return answer
            missing += 1
            if missing == len(links):
                return None
        return None

    def _take_answer(self, message: ForwardedAnswer) -> None:
        if message.origin != self.host:
            self.mesh.send(message.origin, message)
            return
        replies = self.pending_replies.get(message.query)
        if replies:
            replies.put(message)

    def _pass_on(self, message: ForwardedCall) -> None:
        onward = dataclasses.replace(message, direct=False)
        if not message.direct or not self.mesh.send(message.host, onward):
            self.mesh.send(message.origin, _no_answer(message))

    def _serve(self, link: Link, message: ForwardedCall) -> None:
        try:
            if message.incarnation == self.incarnation:
                answer = call_app(self.app, message)
            else:
                answer = _no_answer(message)
            self._answer(link, answer)
        except Exception:
            log.exception("A forwarded call failed")
            self._answer(link, _no_answer(message))
        finally:
            self.slots.release()

    def _answer(self, link: Link, answer: ForwardedAnswer) -> None:
        if not self.mesh.send(answer.origin, answer):
            self.mesh.send(link.peer, answer)


def call_app(app: Callable, message: ForwardedCall) -> ForwardedAnswer:
    """Return the whole answer of the application ``app`` (WSGI)."""
    heads = []

    def start_response(status, headers, exc_info=None):
        heads.append((status, headers))

    answer = app(_make_environ(message), start_response)
    try:
        body = _join(answer)
    finally:
        answer.close()
    if body is None:
        return _no_answer(message)
    status, headers = heads[-1]
    names, values = zip(*headers, strict=True)
    return ForwardedAnswer(message.query, message.origin, status, names, values, body)


def _make_environ(message: ForwardedCall) -> dict:
    return {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": message.path,
        "CONTENT_TYPE": message.content_type,
        "CONTENT_LENGTH": str(len(message.body)),
        "HTTP_REQUEST_TIMEOUT": str(message.timeout_s),
        "wsgi.input": io.BytesIO(message.body),
        FORWARDED_KEY: True,
        **dict(zip(message.names, message.values, strict=True)),
    }


def _join(answer: Iterable[bytes]) -> bytes | None:
    """Return the whole body; None if it is too long for a message."""
    parts = []
    length = 0
    for part in answer:
        parts.append(part)
        length += len(part)
        if length > MAX_ANSWER_BYTES:
            return None
    return b"".join(parts)


def _no_answer(message: ForwardedCall) -> ForwardedAnswer:
    return ForwardedAnswer(message.query, message.origin, "", (), (), b"")
