"""The links of one host to its peers, on one event loop in one thread.

One or two threads for each link would add up to several hundred in a region of
hundreds of hosts. The function that receives messages must not block, since that
would delay the links to all peers.
"""

import asyncio
import socket
import ssl
import threading
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, serve
from websockets.exceptions import WebSocketException

from godwitladder.clock import Clock
from godwitladder.fleets import UNKNOWN_FLEET, are_apart
from godwitladder.ids import FleetId, HostId
from godwitladder.logs import component_logger
from godwitladder.membership.codec import encode
from godwitladder.membership.fleet import Admission, FleetNamed, Refusal
from godwitladder.membership.links import (
    HANDSHAKE_TIMEOUT_S,
    HandshakeFailed,
    Link,
    PeerRefused,
    perform_handshake,
)
from godwitladder.membership.messages import Hello
from godwitladder.process.binding import open_listener
from godwitladder.process.loops import Turns
from godwitladder.settings import TlsSettings
from godwitladder.tls import client_context, server_context

log = component_logger("peers")

MIN_REDIAL_INTERVAL_S = 0.1
"""Interval between the first dials of an address. After a restart of all hosts, some
start to listen only after others have dialled them."""
MAX_REDIAL_INTERVAL_S = 1.0
"""Longest interval between dials, and so the longest time without links after a
restart or a network partition. Meanwhile a host chooses an allocator of its own,
and both allocators fill the same targets."""
SINGLE_DIAL_DELAY_S = 0.25
"""Time that the peer with the lower address has to dial first. A handshake takes a
few round trips; this is a hundred times the round trip time within a region."""
MAX_MESSAGE_BYTES = 4_194_304
BACKLOG = 512
"""Connections that may wait to be accepted. After a restart all hosts dial at once,
and a connection that finds the queue full is retried only seconds later."""
TUNNEL_PATH = "/tunnel"
TUNNEL_CLOSE_TIMEOUT_S = 0.25
"""A gateway that is frozen doesn't answer the closing handshake either."""
TUNNEL_QUEUE_MESSAGES = 4
"""Messages of a tunnel that wait to be written, beyond which its reading stops."""
TUNNEL_MESSAGE_BYTES = 65_536
"""Longest message of a tunnel, twice what an end forwards in one."""
JOIN_TIMEOUT_S = 2.0
"""Longest wait for the event loop's thread, which otherwise ends with the process."""


class Mesh:
    """All links of one host: those it accepts and those it dials.

    Seeds are dialled even if the host list doesn't name them, unless they have
    dialled first: while the list is unavailable, they learn about this host in no
    other way.

    Parameters
    ----------
    host : HostId
        This host.
    address : str
        Where this host listens for peers, ``address:port``.
    secret : str
        Secret shared by all hosts, which authenticates links.
    clock : Clock
        The host's clock; also sleeps between dials.
    deliver : callable
        Called with the link and each message, on the event loop; it must not
        block.
    seeds : iterable of str
        Addresses to dial until the mesh is closed.
    on_link_up : callable
        Called with each link when it comes up.
    tls : TlsSettings or None
        Certificate, key and authority if links use TLS.
    on_link_down : callable
        Called with the peer of each link that has closed without a successor.

    Attributes
    ----------
    serve_tunnel : callable or None
        Serves a tunnel over an authenticated connection of a peer; None for none.
    admission : Admission
        Decides which peers this host links to.
    known_addresses : frozenset of str
        Addresses of the members that this host knows.
    links : dict
        The open link to each peer.
    dial_addresses : set of str
        Addresses that are dialled whenever there is no link to them.
    dials : dict
        The task that repeatedly dials each address.
    single_dials : set of asyncio.Task
        Tasks that dial an address once.
    connecting : set of str
        Addresses to which a connection is being established.
    """

    def __init__(
        self,
        host: HostId,
        address: str,
        secret: str,
        clock: Clock,
        deliver: Callable[[Link, Any], None],
        seeds: Iterable[str] = (),
        on_link_up: Callable[[Link], None] = lambda link: None,
        tls: TlsSettings | None = None,
        on_link_down: Callable[[HostId], None] = lambda peer: None,
    ) -> None:
        self.on_link_down = on_link_down
        self.serve_tunnel: Callable[[Any, HostId], Awaitable[None]] | None = None
        self.tls = tls
        self.host = host
        self.address = address
        self.secret = secret
        self.clock = clock
        self.deliver = deliver
        self.on_link_up = on_link_up
        self.seeds = frozenset(seeds) - {address}
        self.admission = Admission(self.is_named)
        self.known_addresses: frozenset[str] = frozenset()
        self.links: dict[HostId, Link] = {}
        self.dial_addresses: set[str] = set()
        self.dials: dict[str, asyncio.Task] = {}
        self.single_dials: set[asyncio.Task] = set()
        self.connecting: set[str] = set()
        self.closed_sent = 0
        self.closed_received = 0
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.server: socket.socket | None = None
        self.listening: asyncio.Task | None = None
        self.loop: asyncio.AbstractEventLoop | None = None
        self.thread: threading.Thread | None = None
        self.context: ssl.SSLContext | None = None
        self.listener: Server | None = None
        self.turns = Turns("peers", clock)

    def start(self) -> None:
        """Start to listen for peers, and dial the seeds.

        Raises
        ------
        OSError
            The address is not available to listen on.
        """
        sock = open_listener(self.address)
        self.start_dialling()
        self.listen(sock)

    def start_dialling(self) -> None:
        """Dial the seeds; peers are accepted once `listen` is called."""
        self.context = server_context(self.tls) if self.tls else None
        self.loop = asyncio.new_event_loop()
        self.loop.set_exception_handler(_log_failure)
        self.thread = threading.Thread(target=self.run, name="peers", daemon=True)
        self.thread.start()
        for seed in self.seeds:
            self._dial(seed)

    def listen(self, sock: socket.socket) -> None:
        """Accept peers on ``sock``, which listens at the address of the mesh."""
        sock.listen(BACKLOG)
        self.server = sock
        self.post(self._start_listening)

    def run(self) -> None:
        """Run the event loop until the mesh is closed."""
        try:
            self.loop.run_forever()
            self.loop.run_until_complete(self._end_tasks())
            if self.listening is not None:
                _raise_failure(self.listening)
        finally:
            if self.server is not None:
                self.server.close()
            self.loop.close()

    def _start_listening(self) -> None:
        self.listening = self.loop.create_task(self._listen())
        self.listening.add_done_callback(self._stop_if_failed)

    async def _listen(self) -> None:
        self.listener = await serve(
            self._accept,
            sock=self.server,
            backlog=BACKLOG,
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            ping_interval=None,
            server_header=None,
            ssl=self.context,
        )

    def _stop_if_failed(self, listening: asyncio.Task) -> None:
        """End the event loop if this host can't listen for peers."""
        if not listening.cancelled() and listening.exception() is not None:
            self.loop.stop()

    async def _end_tasks(self) -> None:
        for link in self.current():
            link.abort()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def close(self) -> None:
        """Close every link and stop listening."""
        self.stopping.set()
        if self.loop is None:
            return
        self.post(self.loop.stop)
        self.thread.join(JOIN_TIMEOUT_S)

    def post(self, function: Callable, *args: Any) -> bool:
        """Schedule ``function`` on the event loop; return False if it is closed."""
        try:
            self.loop.call_soon_threadsafe(function, *args)
        except RuntimeError:
            # The event loop is closed, and so are all links.
            return False
        return True

    def current(self) -> list[Link]:
        """Return the links that are up."""
        with self.lock:
            return list(self.links.values())

    def send(self, host: HostId, message: Any) -> bool:
        """Send ``message`` to ``host``; return False if there is no link."""
        with self.lock:
            link = self.links.get(host)
        return link is not None and link.send(encode(message))

    def broadcast(self, message: Any) -> None:
        """Send ``message`` over every link."""
        self.multicast(self.current(), encode(message))

    def multicast(self, links: Iterable[Link], data: bytes) -> None:
        """Send an encoded message over ``links``."""
        queued = [link for link in links if link.queue(data)]
        # Each call that wakes the event loop costs a system call, so all writers
        # are woken by one.
        self.post(_wake_writers, queued)

    def set_dial_addresses(self, addresses: set[str], seeds: bool = True) -> None:
        """Replace the addresses to dial.

        Open links to other addresses are kept, since the list that the addresses
        come from lags and may lack a live host.

        Parameters
        ----------
        addresses : set of str
            Addresses to dial whenever there is no link to them.
        seeds : bool
            Whether to dial the seeds as well.
        """
        wanted = addresses | self.seeds if seeds else addresses
        with self.lock:
            self.dial_addresses &= wanted
            new = wanted - self.dial_addresses
        for address in new:
            self._dial(address)

    def close_dialled_except(self, addresses: set[str]) -> None:
        """Close the links that this host dialled, except those to ``addresses``."""
        for link in self.current():
            if link.dialled and link.address not in addresses:
                log.info(
                    "Closing a link that is no longer needed", extra={"peer": link.peer}
                )
                link.close()

    def is_named(self, address: str) -> bool:
        """Return whether the settings, the host list or members name ``address``."""
        dialled = self.seeds | self.dial_addresses
        return address in dialled or address in self.known_addresses

    def enter_fleet(self, fleet: FleetId) -> None:
        """Tell all peers of this host's fleet, and leave those of other fleets."""
        if fleet == self.admission.fleet:
            return
        self.admission.fleet = fleet
        for link in self.current():
            if are_apart(fleet, link.fleet):
                self._leave(link)
            else:
                link.send(encode(FleetNamed(fleet)))

    def receive_fleet(self, link: Link, message: FleetNamed) -> None:
        """Record a peer's fleet, and leave the peer if it is another one."""
        link.fleet = message.fleet or link.fleet
        if are_apart(self.admission.fleet, link.fleet):
            self._leave(link)
            self.admission.on_refusal(Refusal.OTHER_FLEET)

    def _leave(self, link: Link) -> None:
        extra = {"peer": link.peer, "fleet": self.admission.fleet}
        log.warning("Closing a link to a peer of another fleet", extra=extra)
        self._remove(link)
        link.close()

    def dial_once(self, addresses: set[str]) -> None:
        """Dial each of ``addresses`` once; lower ones than this host's after a delay.

        Usually the host with the lower address dials, but it learns about a new
        host only from a list that lags.
        """
        if addresses:
            self.post(self._start_single_dials, addresses)

    def drop_silent(self, timeout_s: float) -> None:
        """Close the links that received nothing for ``timeout_s``.

        A connection can become silent permanently while new ones work, when a
        device between the two ends has lost its state. Every link carries gossip
        regularly, so silence reveals such a connection. The end that dialled it
        then makes a new one.
        """
        now = self.clock.monotonic()
        for link in self.current():
            if now - link.last_heard > timeout_s:
                log.info("Closing a silent link", extra={"peer": link.peer})
                self._remove(link)
                link.close()

    def exclude_pause(self, pause_s: float) -> None:
        """Exclude a pause of this process from the silence of its links."""
        for link in self.current():
            link.last_heard += pause_s

    def traffic(self) -> tuple[int, int]:
        """Return the message bytes sent and received since the start."""
        links = self.current()
        sent = self.closed_sent + sum(link.sent for link in links)
        received = self.closed_received + sum(link.received for link in links)
        return sent, received

    def _dial(self, address: str) -> None:
        with self.lock:
            if address in self.dial_addresses:
                return
            self.dial_addresses.add(address)
        self.post(self._start_dialling, address)

    def _start_dialling(self, address: str) -> None:
        task = self.dials.get(address)
        # A task that has just ended may still be registered.
        if task is None or task.done():
            task = self.loop.create_task(self._keep_dialling(address))
            self.dials[address] = task
            task.add_done_callback(lambda done: self._end_dialling(address, done))

    def _end_dialling(self, address: str, task: asyncio.Task) -> None:
        if self.dials.get(address) is task:
            del self.dials[address]
        _raise_failure(task)

    async def _keep_dialling(self, address: str) -> None:
        # Two hosts that dial each other at the same time close each other's link.
        # The one with the higher address gives the other time to dial again.
        first_pause_s = (
            MIN_REDIAL_INTERVAL_S
            if address > self.address
            else 3 * MIN_REDIAL_INTERVAL_S
        )
        pause_s = first_pause_s
        while address in self.dial_addresses:
            if await self.turns.run_async(self._run_dialled_link, address):
                pause_s = first_pause_s
            await self.clock.async_sleep(pause_s)
            pause_s = min(2 * pause_s, MAX_REDIAL_INTERVAL_S)

    def _start_single_dials(self, addresses: set[str]) -> None:
        for address in addresses:
            task = self.loop.create_task(self._dial_in_turn(address))
            self.single_dials.add(task)
            task.add_done_callback(self.single_dials.discard)

    async def _dial_in_turn(self, address: str) -> None:
        # Hosts that start together learn about each other at the same time. Two
        # hosts that dial each other close each other's link, so the one with the
        # lower address dials first.
        if address < self.address:
            await self.clock.async_sleep(SINGLE_DIAL_DELAY_S)
        await self.turns.run_async(self._run_dialled_link, address)

    def _is_linked(self, address: str) -> bool:
        return any(link.address == address for link in self.current())

    async def _run_dialled_link(self, address: str) -> bool:
        """Connect to ``address`` and run the link; return whether it came up."""
        if self._is_linked(address) or address in self.connecting:
            return False
        self.connecting.add(address)
        try:
            connection = await self._connect(address)
            link = await self._perform_handshake(connection, accepted=False)
        except (WebSocketException, OSError, TimeoutError):
            return False
        finally:
            self.connecting.discard(address)
        return link is not None and await self._serve(link)

    async def _connect(self, address: str, path: str = "/", **options: Any) -> Any:
        """Return a new connection to the peer at ``address``."""
        defaults = {"ping_interval": None, "max_size": MAX_MESSAGE_BYTES}
        return await connect(
            f"{'wss' if self.tls else 'ws'}://{address}{path}",
            ssl=client_context(self.tls) if self.tls else None,
            compression=None,
            proxy=None,
            open_timeout=HANDSHAKE_TIMEOUT_S,
            user_agent_header=None,
            **(defaults | options),
        )

    async def open_tunnel_connection(self, address: str) -> Any:
        """Return a new authenticated connection to a peer, for one tunnel.

        Raises
        ------
        HandshakeFailed, WebSocketException, OSError
            The peer was not reached or is not one of this fleet's.
        """
        connection = await self._connect(
            address,
            TUNNEL_PATH,
            close_timeout=TUNNEL_CLOSE_TIMEOUT_S,
            max_queue=TUNNEL_QUEUE_MESSAGES,
            max_size=TUNNEL_MESSAGE_BYTES,
        )
        try:
            await self._greet(connection, accepted=False)
        except BaseException:
            connection.transport.abort()
            raise
        return connection

    async def _accept_tunnel(self, connection: Any) -> None:
        # Messages of links may be far longer, and a host holds several of each tunnel.
        connection.protocol.max_message_size = TUNNEL_MESSAGE_BYTES
        try:
            hello = await self._greet(connection, accepted=True)
        except (HandshakeFailed, WebSocketException, OSError) as error:
            self._record_failure(error)
        else:
            await self.serve_tunnel(connection, hello.host)
        finally:
            connection.transport.abort()

    async def _accept(self, connection: Any) -> None:
        if connection.request.path == TUNNEL_PATH and self.serve_tunnel is not None:
            await self._accept_tunnel(connection)
            return
        link = await self._perform_handshake(connection, accepted=True)
        if link is not None:
            await self._serve(link)

    async def _perform_handshake(self, connection: Any, accepted: bool) -> Link | None:
        """Return the link over a new connection; None if the handshake fails."""
        fleet = self.admission.fleet
        try:
            hello = await self._greet(connection, accepted)
        except (HandshakeFailed, WebSocketException, OSError) as error:
            self._record_failure(error)
            connection.transport.abort()
            return None
        link = Link(hello.host, hello.address, connection, self.clock, self.post)
        link.dialled = not accepted
        link.fleet = hello.fleet
        link.turns = self.turns
        self._add(link)
        if self.admission.fleet != fleet:
            # The greeting named the fleet before.
            link.send(encode(FleetNamed(self.admission.fleet)))
            self.receive_fleet(link, FleetNamed(link.fleet or UNKNOWN_FLEET))
        return link

    async def _greet(self, connection: Any, accepted: bool) -> Hello:
        """Authenticate both ends of a connection, and return the peer's greeting."""
        return await perform_handshake(
            connection,
            self.host,
            self.address,
            self.secret,
            accepted,
            self.admission,
        )

    def _record_failure(self, error: Exception) -> None:
        if isinstance(error, PeerRefused):
            self.admission.record_refusal(error.hello, error.refusal)
        else:
            log.warning("Peer handshake failed", extra={"error": str(error)})

    async def _serve(self, link: Link) -> bool:
        """Deliver the messages that arrive on ``link`` until it closes; return True."""
        try:
            self.on_link_up(link)
            await link.read(self.deliver)
        except Exception as error:
            # The dialling end reconnects: only this message may cause the error.
            log.warning("Unexpected error on a link", extra={"peer": link.peer})
            self.turns.record(error)
        finally:
            self._remove(link)
        return True

    def _add(self, link: Link) -> None:
        with self.lock:
            old = self.links.get(link.peer)
            self.links[link.peer] = link
        if old:
            self._count_closed(old)
            old.abort()

    def _remove(self, link: Link) -> None:
        with self.lock:
            if self.links.get(link.peer) is not link:
                return
            del self.links[link.peer]
        self._count_closed(link)
        # When this host stops, the receivers of the callback have already stopped.
        if not self.stopping.is_set():
            self.on_link_down(link.peer)

    def _count_closed(self, link: Link) -> None:
        self.closed_sent += link.sent
        self.closed_received += link.received


def _wake_writers(links: Iterable[Link]) -> None:
    for link in links:
        link.ready.set()


def _raise_failure(task: asyncio.Task) -> None:
    """Raise the exception of ``task``, if any."""
    if not task.cancelled():
        task.result()


def _log_failure(loop: asyncio.AbstractEventLoop, context: dict) -> None:
    error = context.get("exception")
    log.error(
        "Unhandled error on the event loop of links",
        extra={"error": repr(error or context)},
    )
