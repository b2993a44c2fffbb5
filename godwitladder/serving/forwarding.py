"""Forwards a keyed call to the one host that may answer it.

A call goes to the process that claimed or issued its key, over the links
between hosts, and is answered there as if its caller were connected there.
Without a direct link it goes through one other host, and never through more. A
retry that arrives meanwhile finds the first call by its key, so forwarding a
call twice can't run it twice.
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
from godwitladder.process.threads import ThreadDenied, start_call_thread

log = component_logger("forwarding")

# Maximum number of calls from other hosts at a time; each takes a thread.
MAX_FORWARDED_CALLS = 64
# Maximum size of a forwarded body. Messages between hosts are limited to 4 MiB.
MAX_ANSWER_BYTES = 3_145_728
REPLY_POLL_INTERVAL_S = 0.25
FORWARDED_HEADERS = (
    "HTTP_AUTHORIZATION",
    "HTTP_IDEMPOTENCY_KEY",
    "HTTP_REQUEST_TIER_RANK",
)
FORWARDED_KEY = "godwitladder.forwarded"


@peer_message
@dataclass(frozen=True)
class ForwardedCall:
    """A call for one process.

    Attributes
    ----------
    call_id : str
        Id that matches the answer to the call.
    origin : HostId
        The host to which the caller is connected.
    host, incarnation : HostId, Incarnation
        The process that is to answer.
    direct : bool
        Whether the message comes from `origin` itself, not through another host.
    header_names, header_values : tuple of str
        Names and values of the forwarded WSGI headers, in parallel.
    timeout_s : float
        Time left for the answer, in seconds.
    """

    call_id: str
    origin: HostId
    host: HostId
    incarnation: Incarnation
    direct: bool
    path: str
    header_names: tuple[str, ...]
    header_values: tuple[str, ...]
    content_type: str
    timeout_s: float
    body: bytes


@peer_message
@dataclass(frozen=True)
class ForwardedAnswer:
    """The complete answer to a forwarded call.

    Attributes
    ----------
    call_id, origin : str, HostId
        As in the `ForwardedCall`.
    status : str
        Status line; empty if there is no answer.
    header_names, header_values : tuple of str
        Names and values of the headers, in parallel.
    """

    call_id: str
    origin: HostId
    status: str
    header_names: tuple[str, ...]
    header_values: tuple[str, ...]
    body: bytes

    def start(self, start_response) -> list[bytes]:
        """Start the answer to the caller and return its body."""
        start_response(
            self.status, list(zip(self.header_names, self.header_values, strict=True))
        )
        return [self.body]


class Forwarder:
    """Forwards calls to other hosts and serves theirs.

    Parameters
    ----------
    host, incarnation : HostId, Incarnation
        This process.
    mesh : Mesh
        The links between hosts.
    app : callable
        The WSGI application that answers callers.
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
        self.slots = threading.BoundedSemaphore(MAX_FORWARDED_CALLS)

    def forward(
        self,
        host: HostId,
        incarnation: Incarnation,
        environ: Mapping,
        body: bytes,
        deadline: float,
    ) -> ForwardedAnswer | None:
        """Return the answer of the process ``incarnation`` of ``host``.

        Returns
        -------
        ForwardedAnswer or None
            None if the process could not be reached or the connection was lost; the
            call may have been served there.
        """
        call = self._make_call(host, incarnation, environ, body, deadline)
        replies = self.pending_replies[call.call_id] = queue.SimpleQueue()
        try:
            links = self._send(call)
            return self._await_reply(replies, links, deadline) if links else None
        finally:
            del self.pending_replies[call.call_id]

    def handle_message(
        self, link: Link, message: ForwardedCall | ForwardedAnswer
    ) -> None:
        """Handle a message from a peer."""
        if isinstance(message, ForwardedAnswer):
            self._handle_answer(message)
        elif message.host != self.host:
            self._relay(message)
        elif not self.slots.acquire(blocking=False):
            log.warning("Too many forwarded calls", extra={"peer": link.peer})
            self._answer(link, _no_answer(message))
        else:
            self._start(link, message)

    def _make_call(
        self,
        host: HostId,
        incarnation: Incarnation,
        environ: Mapping,
        body: bytes,
        deadline: float,
    ) -> ForwardedCall:
        headers = {name: environ[name] for name in FORWARDED_HEADERS if name in environ}
        return ForwardedCall(
            call_id=secrets.token_hex(8),
            origin=self.host,
            host=host,
            incarnation=incarnation,
            direct=True,
            path=environ["PATH_INFO"],
            header_names=tuple(headers),
            header_values=tuple(headers.values()),
            content_type=environ.get("CONTENT_TYPE") or "",
            timeout_s=max(0.1, deadline - self.clock.monotonic()),
            body=body,
        )

    def _send(self, call: ForwardedCall) -> list[Link]:
        """Send ``call``; return the links it was sent over."""
        links = self.mesh.current()
        direct = [link for link in links if link.peer == call.host]
        for link in direct or links:
            self.mesh.send(link.peer, call)
        return direct or links

    def _await_reply(
        self, replies: queue.SimpleQueue, links: list[Link], deadline: float
    ) -> ForwardedAnswer | None:
        """Wait for an answer while one of the links that may deliver it is up."""
        negative_answers = 0
        while self.clock.monotonic() < deadline:
            try:
                answer = replies.get(timeout=REPLY_POLL_INTERVAL_S)
            except queue.Empty:
                current = self.mesh.current()
                if not any(link in current for link in links):
                    return None
                continue
            if answer.status:
                return answer
            negative_answers += 1
            if negative_answers == len(links):
                return None
        return None

    def _handle_answer(self, message: ForwardedAnswer) -> None:
        if message.origin != self.host:
            self.mesh.send(message.origin, message)
            return
        replies = self.pending_replies.get(message.call_id)
        if replies:
            replies.put(message)

    def _relay(self, message: ForwardedCall) -> None:
        relayed = dataclasses.replace(message, direct=False)
        if not message.direct or not self.mesh.send(message.host, relayed):
            self.mesh.send(message.origin, _no_answer(message))

    def _start(self, link: Link, message: ForwardedCall) -> None:
        """Serve a call in a thread, or tell its host that it was not served."""
        try:
            start_call_thread(self._serve, "forwarded", (link, message))
        except ThreadDenied as error:
            self.slots.release()
            extra = {"peer": link.peer, "error": str(error)}
            log.warning("A forwarded call has no thread", extra=extra)
            self._answer(link, _no_answer(message))

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
    """Return the complete answer of the WSGI application ``app``."""
    responses = []

    def start_response(status, headers, exc_info=None):
        responses.append((status, headers))

    answer = app(_make_environ(message), start_response)
    try:
        body = _read_body(answer)
    finally:
        answer.close()
    if body is None:
        return _no_answer(message)
    status, headers = responses[-1]
    names, values = zip(*headers, strict=True)
    return ForwardedAnswer(message.call_id, message.origin, status, names, values, body)


def _make_environ(message: ForwardedCall) -> dict:
    return {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": message.path,
        "CONTENT_TYPE": message.content_type,
        "CONTENT_LENGTH": str(len(message.body)),
        "HTTP_REQUEST_TIMEOUT": str(message.timeout_s),
        "wsgi.input": io.BytesIO(message.body),
        FORWARDED_KEY: True,
        **dict(zip(message.header_names, message.header_values, strict=True)),
    }


def _read_body(answer: Iterable[bytes]) -> bytes | None:
    """Return the complete body; None if it is too long for a message."""
    parts = []
    length = 0
    for part in answer:
        parts.append(part)
        length += len(part)
        if length > MAX_ANSWER_BYTES:
            return None
    return b"".join(parts)


def _no_answer(message: ForwardedCall) -> ForwardedAnswer:
    return ForwardedAnswer(message.call_id, message.origin, "", (), (), b"")
