"""One link between two hosts: a websocket that carries CBOR messages.

A link is authenticated both ways by a challenge under the shared secret. It
has a queue of its own for sending, so that a peer that stopped reading can't
hold up the others. All links of a host run on one event loop, which
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
from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.membership.codec import InvalidMessage, decode, encode
from godwitladder.membership.messages import Hello, Proof

log = component_logger("peers")

GREETING_TIMEOUT_S = 2.0
QUEUE_MESSAGES = 1000


class GreetingFailed(GodwitladderError):
    """The other end did not prove that it holds the shared secret."""


class Link:
    """One authenticated connection to a peer.

    Its coroutines run on the event loop of the links; `send` and `close` may
    be called from any thread.

    Parameters
    ----------
    peer : HostId
        The host at the other end.
    address : str
        Where that host listens for peers.
    connection : websockets connection
        What carries the messages.
    clock : Clock
        The host's clock.
    post : callable
        Runs a function on the event loop; returns False if that has ended.

    Attributes
    ----------
    heard : float
        When the last message came, in monotonic seconds.
    sent, received : int
        Bytes of messages so far.
    dialled : bool
        Whether this host made the connection.
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
        self.last_heard = clock.monotonic()
        self.sent = 0
        self.received = 0
        self.outgoing: collections.deque[bytes] = collections.deque()
        self.ready = asyncio.Event()
        self.woken = False
        self.dialled = False

    def send(self, data: bytes) -> bool:
        """Queue an encoded message; return False if the queue is full."""
        if not self.queue(data):
            return False
        if not self.woken:
            self.woken = True
            self.post(self.ready.set)
        return True

    def queue(self, data: bytes) -> bool:
        """Queue an encoded message without waking the writer."""
        if len(self.outgoing) >= QUEUE_MESSAGES:
            return False
        self.outgoing.append(data)
        self.sent += len(data)
        return True

    async def write(self) -> None:
        """Write queued messages until the link breaks."""
        try:
            while True:
                await self.ready.wait()
                self.ready.clear()
                # Before the queue is emptied: whoever adds a message after
                # that must wake this writer again.
                self.woken = False
                while self.outgoing:
                    await self.connection.send(self.outgoing.popleft())
        except (WebSocketException, OSError):
            self.abort()

    async def read(self, deliver: Callable[["Link", Any], None]) -> None:
        """Deliver incoming messages until the link breaks."""
        writer = asyncio.ensure_future(self.write())
        try:
            async for data in self.connection:
                self.last_heard = self.clock.monotonic()
                self.received += len(data)
                message = decode(data)
                if message is not None:
                    deliver(self, message)
        except (WebSocketException, OSError) as error:
            log.info("A link broke", extra={"peer": self.peer, "error": str(error)})
        except InvalidMessage as error:
            log.warning("A bad message", extra={"peer": self.peer, "error": str(error)})
        finally:
            writer.cancel()
            self.abort()

    def close(self) -> None:
        """Break the connection at once."""
        self.post(self.abort)

    def abort(self) -> None:
        """Break the connection at once, on the event loop.

        A closing handshake would wait for the peer, and on a connection that
        has gone silent nobody answers.
        """
        self.connection.transport.abort()


async def greet(
    connection: Any,
    host: HostId,
    address: str,
    secret: str,
    accepted: bool,
) -> Hello:
    """Authenticate both ends of a new connection; return who the other is.

    Raises
    ------
    GreetingFailed
        The other end can't prove the secret.
    """
    challenge = secrets.token_bytes(16)
    await connection.send(encode(Hello(host, address, challenge)))
    hello = await _receive(connection, Hello)
    await connection.send(encode(Proof(_digest(secret, hello.challenge, accepted))))
    proof = await _receive(connection, Proof)
    # The side is part of the digest: an end that holds no secret can't send
    # our own challenge back to us and pass on our answer to it.
    if not hmac.compare_digest(proof.digest, _digest(secret, challenge, not accepted)):
        raise GreetingFailed(f"{hello.host} does not hold the shared secret")
    return hello


async def _receive(connection: Any, kind: type) -> Any:
    try:
        async with asyncio.timeout(GREETING_TIMEOUT_S):
            message = decode(await connection.recv())
    except (TimeoutError, WebSocketException, InvalidMessage, OSError) as error:
        raise GreetingFailed(f"no greeting: {error!r}") from error
    if not isinstance(message, kind):
        raise GreetingFailed(f"expected {kind.__name__}, found {message!r}")
    return message


def _digest(secret: str, challenge: bytes, accepted: bool) -> bytes:
    side = b"accepted" if accepted else b"dialled"
    return hmac.digest(secret.encode(), side + challenge, hashlib.sha256)
