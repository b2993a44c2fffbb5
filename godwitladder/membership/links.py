"""Links between hosts: websockets that carry CBOR messages.

A link is authenticated both ways by a challenge under the shared secret. Each
has a queue of its own for sending, so that a peer that stopped reading can't
hold up the others.
"""

import hashlib
import hmac
import queue
import secrets
import threading
from collections.abc import Callable
from typing import Any

from websockets.exceptions import WebSocketException
from websockets.sync.client import connect
from websockets.sync.server import serve

from godwitladder.clock import Clock
from godwitladder.findings import GodwitladderError
from godwitladder.ids import HostId
from godwitladder.logs import part_logger
from godwitladder.membership.codec import BadMessage, decode, encode
from godwitladder.membership.messages import Hello, Proof

log = part_logger("peers")

GREETING_TIMEOUT_S = 2.0
REDIAL_S = 0.5
QUEUE_MESSAGES = 1000
MESSAGE_BYTES = 4_194_304


class GreetingFailed(GodwitladderError):
    """The other end did not prove that it holds the shared secret."""


class Link:
    """One authenticated connection to a peer."""

    def __init__(self, peer: HostId, socket: Any) -> None:
        self.peer = peer
        self.socket = socket
        self.outgoing: queue.Queue[bytes | None] = queue.Queue(QUEUE_MESSAGES)

    def send(self, message: Any) -> bool:
        """Queue ``message``; return False if the queue is full."""
        return self.send_bytes(encode(message))

    def send_bytes(self, data: bytes) -> bool:
        """Queue an encoded message; return False if the queue is full."""
        try:
            self.outgoing.put_nowait(data)
        except queue.Full:
            return False
        return True

    def write(self) -> None:
        """Write queued messages until the link is closed."""
        try:
            while (data := self.outgoing.get()) is not None:
                self.socket.send(data)
        except (WebSocketException, OSError):
            self.socket.close()

    def read(self, deliver: Callable[["Link", Any], None]) -> None:
        """Deliver incoming messages until the link breaks."""
        writer = threading.Thread(target=self.write, name="peer-write", daemon=True)
        writer.start()
        try:
            for data in self.socket:
                message = decode(data)
                if message is not None:
                    deliver(self, message)
        except (WebSocketException, OSError) as error:
            log.info("A link broke", extra={"peer": self.peer, "error": str(error)})
        except BadMessage as error:
            log.warning("A bad message", extra={"peer": self.peer, "error": str(error)})
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection and end the writer."""
        try:
            self.outgoing.put_nowait(None)
        except queue.Full:
            pass
        self.socket.close()


def greet(socket: Any, host: HostId, secret: str, accepted: bool) -> Link:
    """Authenticate both ends of a new connection and return its link.

    Raises
    ------
    GreetingFailed
        The other end can't prove the secret.
    """
    challenge = secrets.token_bytes(16)
    socket.send(encode(Hello(host, challenge)))
    hello = _receive(socket, Hello)
    socket.send(encode(Proof(_digest(secret, hello.challenge, accepted))))
    proof = _receive(socket, Proof)
    # The side is part of the digest: an end that holds no secret can't send
    # our own challenge back to us and pass on our answer to it.
    if not hmac.compare_digest(proof.digest, _digest(secret, challenge, not accepted)):
        raise GreetingFailed(f"{hello.host} does not hold the shared secret")
    return Link(hello.host, socket)


def _receive(socket: Any, kind: type) -> Any:
    try:
        message = decode(socket.recv(timeout=GREETING_TIMEOUT_S))
    except (TimeoutError, WebSocketException, BadMessage, OSError) as error:
        raise GreetingFailed(f"no greeting: {error!r}") from error
    if not isinstance(message, kind):
        raise GreetingFailed(f"expected {kind.__name__}, found {message!r}")
    return message


def _digest(secret: str, challenge: bytes, accepted: bool) -> bytes:
    side = b"accepted" if accepted else b"dialled"
    return hmac.digest(secret.encode(), side + challenge, hashlib.sha256)


class Mesh:
    """All links of one host: those it accepts and those it dials.

    Of two hosts the one with the lower address dials, so that a pair has one
    link.

    Parameters
    ----------
    host : HostId
        This host.
    address : str
        Where this host listens for peers, ``address:port``.
    secret : str
        Shared by all hosts.
    clock : Clock
        For the pause between tries to dial.
    deliver : callable
        Called with the link and each message, in the link's own thread.
    greeted : callable
        Called with each link when it comes up.
    """

    def __init__(
        self,
        host: HostId,
        address: str,
        secret: str,
        clock: Clock,
        deliver: Callable[[Link, Any], None],
        greeted: Callable[[Link], None],
    ) -> None:
        self.host = host
        self.address = address
        self.secret = secret
        self.clock = clock
        self.deliver = deliver
        self.greeted = greeted
        self.links: dict[HostId, Link] = {}
        self.dialled: set[str] = set()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.server = None

    def start(self) -> None:
        """Listen for peers."""
        host, _, port = self.address.rpartition(":")
        self.server = serve(
            self._accept, host, int(port), compression=None, max_size=MESSAGE_BYTES
        )
        threading.Thread(
            target=self.server.serve_forever, name="peers", daemon=True
        ).start()

    def close(self) -> None:
        """Close every link and stop listening."""
        self.stopping.set()
        if self.server:
            self.server.shutdown()
        for link in self.current():
            link.close()

    def current(self) -> list[Link]:
        """Return the links that are up."""
        with self.lock:
            return list(self.links.values())

    def send(self, host: HostId, message: Any) -> bool:
        """Send ``message`` to ``host``; return False if there is no link."""
        with self.lock:
            link = self.links.get(host)
        return link is not None and link.send(message)

    def broadcast(self, message: Any) -> None:
        """Send ``message`` over every link."""
        data = encode(message)
        for link in self.current():
            link.send_bytes(data)

    def dial(self, address: str) -> None:
        """Keep a link to ``address``, if this end is the one to dial."""
        with self.lock:
            if address <= self.address or address in self.dialled:
                return
            self.dialled.add(address)
        threading.Thread(
            target=self._keep_dialling, args=(address,), name="peer-dial", daemon=True
        ).start()

    def hang_up(self, address: str) -> None:
        """Stop dialling ``address``."""
        with self.lock:
            self.dialled.discard(address)

    def _keep_dialling(self, address: str) -> None:
        while not self.stopping.is_set() and address in self.dialled:
            try:
                with connect(
                    f"ws://{address}",
                    compression=None,
                    proxy=None,
                    open_timeout=GREETING_TIMEOUT_S,
                    max_size=MESSAGE_BYTES,
                ) as socket:
                    self._run(socket, accepted=False)
            except (WebSocketException, OSError, TimeoutError):
                pass
            self.clock.wait(self.stopping, REDIAL_S)

    def _accept(self, socket: Any) -> None:
        self._run(socket, accepted=True)

    def _run(self, socket: Any, accepted: bool) -> None:
        try:
            link = greet(socket, self.host, self.secret, accepted)
        except GreetingFailed as error:
            log.warning("A greeting failed", extra={"error": str(error)})
            return
        with self.lock:
            old = self.links.get(link.peer)
            self.links[link.peer] = link
        if old:
            old.close()
        self.greeted(link)
        try:
            link.read(self.deliver)
        finally:
            with self.lock:
                if self.links.get(link.peer) is link:
                    del self.links[link.peer]
