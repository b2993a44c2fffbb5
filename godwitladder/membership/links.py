"""A link between two hosts: a websocket that carries CBOR messages.

Both ends authenticate each other by challenge and response with the shared
secret. Each link has its own send queue, so that a peer that has stopped reading
does not delay the others. All links of a host run on one event loop, which
`godwitladder.membership.mesh` owns.
"""

import asyncio
import collections
import hashlib
import hmac
import secrets
from collections.abc import Callable
from typing import Any

from websockets.exceptions import WebSocketException

from godwitladder.clock import Clock
from godwitladder.findings import GodwitladderError
from godwitladder.ids import FleetId, HostId
from godwitladder.logs import component_logger
from godwitladder.membership.codec import InvalidMessage, decode, encode
from godwitladder.membership.fleet import Admission, Refusal
from godwitladder.membership.messages import Hello, Proof
from godwitladder.membership.peer_clocks import PeerClock
from godwitladder.process.loops import Turns

log = component_logger("peers")

HANDSHAKE_TIMEOUT_S = 2.0
MAX_QUEUED_MESSAGES = 1000
MAX_LOGGED_CHARS = 200


class HandshakeFailed(GodwitladderError):
    """The other end did not prove that it has the shared secret."""


class PeerRefused(HandshakeFailed):
    """The other end is not to be linked to.

    Parameters
    ----------
    hello : Hello
        Its first message.
    refusal : Refusal
        Why it is refused.
    """

    def __init__(self, hello: Hello, refusal: Refusal) -> None:
        super().__init__(f"{hello.host[:MAX_LOGGED_CHARS]}: {refusal.value}")
        self.hello = hello
        self.refusal = refusal


class Link:
    """One authenticated connection to a peer.

    Its coroutines run on the event loop of the mesh; `send` and `close` may be
    called from any thread.

    Parameters
    ----------
    peer : HostId
        The host at the other end.
    address : str
        Address at which that host listens for peers, ``address:port``.
    connection : websockets connection
        The connection that carries the messages.
    clock : Clock
        The host's clock.
    post : callable
        Schedules a function on the event loop; returns False if it is closed.

    Attributes
    ----------
    fleet : FleetId or None
        The peer's fleet, empty if it has not named it; None if it can't.
    last_heard : float
        Monotonic time at which the last message arrived, in seconds.
    sent, received : int
        Bytes of messages queued for sending, and received.
    invalid : int
        Number of invalid messages received, which were dropped.
    wake_scheduled : bool
        Whether the writer has been scheduled to run.
    dialled : bool
        Whether this host opened the connection.
    peer_clock : PeerClock
        The peer's clock, by which the age of its messages is known.
    """

    def __init__(
        self,
        peer: HostId,
        address: str,
        connection: Any,
        clock: Clock,
        post: Callable[..., bool],
    ) -> None:
        self.peer = peer
        self.address = address
        self.connection = connection
        self.clock = clock
        self.post = post
        self.fleet: FleetId | None = None
        self.last_heard = clock.monotonic()
        self.sent = 0
        self.received = 0
        self.invalid = 0
        self.outgoing: collections.deque[bytes] = collections.deque()
        self.ready = asyncio.Event()
        self.wake_scheduled = False
        self.dialled = False
        self.peer_clock = PeerClock()
        self.turns = Turns("peers", clock)

    def send(self, data: bytes) -> bool:
        """Queue an encoded message; return False if the queue is full."""
        if not self.queue(data):
            return False
        if not self.wake_scheduled:
            self.wake_scheduled = True
            self.post(self.ready.set)
        return True

    def queue(self, data: bytes) -> bool:
        """Queue an encoded message without waking the writer."""
        if len(self.outgoing) >= MAX_QUEUED_MESSAGES:
            return False
        self.outgoing.append(data)
        self.sent += len(data)
        return True

    async def write(self) -> None:
        """Write queued messages until the connection closes."""
        try:
            while True:
                await self.ready.wait()
                self.ready.clear()
                # Reset before the queue is emptied, so that a message added
                # later wakes this writer again.
                self.wake_scheduled = False
                while self.outgoing:
                    await self.connection.send(self.outgoing.popleft())
        except (WebSocketException, OSError):
            # The reader logs why the connection closed.
            return
        finally:
            # Also after an unexpected error: the end that dialled it connects again.
            self.abort()

    async def read(self, deliver: Callable[["Link", Any], None]) -> None:
        """Deliver incoming messages until the connection closes."""
        writer = asyncio.ensure_future(self.turns.run_async(self.write))
        try:
            async for data in self.connection:
                self.last_heard = self.clock.monotonic()
                self.received += len(data)
                self.take(data, deliver)
        except (WebSocketException, OSError) as error:
            log.info(
                "Connection to a peer lost",
                extra={"peer": self.peer, "error": str(error)},
            )
        finally:
            writer.cancel()
            self.abort()

    def take(self, data: bytes, deliver: Callable[["Link", Any], None]) -> None:
        """Deliver one message, or drop it if it is invalid.

        A peer of another version may send such a message again and again. If the link
        were closed, all other messages would be lost with it.
        """
        try:
            message = decode(data)
        except InvalidMessage as error:
            self.count_invalid(error)
            return
        if message is not None:
            deliver(self, message)

    def count_invalid(self, error: InvalidMessage) -> None:
        """Count an invalid message; log the first, second, fourth, eighth and so on."""
        self.invalid += 1
        if self.invalid.bit_count() == 1:
            extra = {
                "peer": self.peer,
                "error": str(error)[:MAX_LOGGED_CHARS],
                "invalid_messages": self.invalid,
            }
            log.warning("Invalid message from a peer", extra=extra)

    def close(self) -> None:
        """Close the connection at once."""
        self.post(self.abort)

    def abort(self) -> None:
        """Close the connection at once; must run on the event loop.

        A closing handshake would wait for the peer, which does not answer on a
        silent connection.
        """
        self.connection.transport.abort()


async def perform_handshake(
    connection: Any,
    host: HostId,
    address: str,
    secret: str,
    accepted: bool,
    admission: Admission | None = None,
) -> Hello:
    """Authenticate both ends of a new connection.

    Parameters
    ----------
    connection : websockets connection
        The new connection.
    host : HostId
        This host.
    address : str
        Where this host listens for peers, ``address:port``.
    secret : str
        Secret shared by all hosts.
    accepted : bool
        Whether this host accepted the connection rather than dialled it.
    admission : Admission or None
        Decides whether to link to the peer; None to link to any with the secret.

    Returns
    -------
    Hello
        The other end's first message.

    Raises
    ------
    HandshakeFailed
        The other end does not prove that it has the secret.
    PeerRefused
        It has not been admitted.
    """
    challenge = secrets.token_bytes(16)
    fleet = admission.fleet if admission else None
    await connection.send(encode(Hello(host, address, challenge, fleet)))
    hello = await _receive(connection, Hello)
    refusal = admission.find_refusal(hello, accepted) if admission else None
    if refusal is not None:
        raise PeerRefused(hello, refusal)
    await connection.send(encode(Proof(_digest(secret, hello.challenge, accepted))))
    proof = await _receive(connection, Proof)
    # The digest covers the side of the connection. This prevents a reflection
    # attack, in which an end without the secret returns our own challenge to us
    # and then our response to it.
    if not hmac.compare_digest(proof.digest, _digest(secret, challenge, not accepted)):
        raise HandshakeFailed(f"{hello.host} does not have the shared secret")
    return hello


async def _receive(connection: Any, kind: type) -> Any:
    try:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            message = decode(await connection.recv())
    except (TimeoutError, WebSocketException, InvalidMessage, OSError) as error:
        raise HandshakeFailed(f"no handshake message received: {error!r}") from error
    if not isinstance(message, kind):
        raise HandshakeFailed(f"expected {kind.__name__}, found {message!r}")
    return message


def _digest(secret: str, challenge: bytes, accepted: bool) -> bytes:
    side = b"accepted" if accepted else b"dialled"
    return hmac.digest(secret.encode(), side + challenge, hashlib.sha256)
