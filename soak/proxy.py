"""A loopback proxy that delays, holds back, discards and resets traffic."""

import contextlib
import enum
import errno
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
POLL_INTERVAL_S = 0.02
"""Interval at which a held direction checks whether it has been released."""
HELD_PORT_TIMEOUT_S = 20.0
HELD_PORT_RETRY_S = 0.05
LINGER_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER: a linger time of zero makes ``close`` send a reset."""


class Direction(enum.Enum):
    """Direction of traffic, relative to the address behind the proxy."""

    TO_UPSTREAM = "to"
    FROM_UPSTREAM = "from"


QUEUE_FILL = 3
"""Connections that fill the queue of a listener with a backlog of 0."""


class CutMode(enum.Enum):
    """What becomes of connections while a path is cut.

    Attributes
    ----------
    HANG
        They hang, and new ones are not established.
    RESET
        They are reset, and new ones refused.
    LIVE_ON
        They live on, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    LIVE_ON = "live_on"


class Connection:
    """A proxied connection: the sockets to its client and to the address behind.

    While ``discards_data`` is set, the pumps discard data and leave the sockets open.
    """

    def __init__(self, client: socket.socket, upstream: socket.socket) -> None:
        self.client = client
        self.upstream = upstream
        self.discards_data = False

    def endpoints(self, direction: Direction) -> tuple[socket.socket, socket.socket]:
        """Return the source and the destination of a direction."""
        return (
            (self.client, self.upstream)
            if direction is Direction.TO_UPSTREAM
            else (self.upstream, self.client)
        )

    def reset(self) -> None:
        """Reset the connection at both ends."""
        # The flag keeps the pumps from closing the sockets without a reset.
        # Shutting them down for reading wakes a pump blocked in recv, which
        # otherwise keeps its socket open.
        self.discards_data = True
        for end in (self.client, self.upstream):
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
                end.shutdown(socket.SHUT_RD)
            end.close()

    def close(self) -> None:
        """Shut down and close both sockets."""
        for end in (self.client, self.upstream):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


class Proxy:
    """TCP proxy to one address, with faults that can be set while it runs.

    Parameters
    ----------
    upstream_address : str
        Address to forward connections to, ``address:port``.

    Attributes
    ----------
    delay_s : float
        Delay in seconds of each chunk.
    held : set of Direction
        Directions whose bytes are held back until `heal`.
    refusing : bool
        Whether new connections are reset.
    passes_resets : bool
        Whether a connection that one end resets is reset at the other; else it ends.
    address : str
        Address at which the proxy listens, ``address:port``.
    """

    def __init__(self, upstream_address: str) -> None:
        host, _, port = upstream_address.rpartition(":")
        self.upstream_address = host, int(port)
        self.delay_s = 0.0
        self.held: set[Direction] = set()
        self.refusing = False
        self.passes_resets = False
        self.connections: set[Connection] = set()
        self.lock = threading.Lock()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.port = self.server.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.blockers: list[socket.socket] = []
        self.start_accepting()

    def start_accepting(self) -> None:
        """Start the thread that accepts connections."""
        threading.Thread(
            target=self.accept_connections, args=(self.server,), daemon=True
        ).start()

    def accept_connections(self, server: socket.socket) -> None:
        """Accept connections until ``server`` is closed."""
        with contextlib.suppress(OSError):
            while True:
                client, _ = server.accept()
                threading.Thread(
                    target=self.handle_client, args=(client,), daemon=True
                ).start()

    def handle_client(self, client: socket.socket) -> None:
        """Connect a client to the address behind, and start a pump per direction.

        The client is reset if the proxy refuses connections or can't connect.
        """
        try:
            if self.refusing:
                raise ConnectionRefusedError("told to refuse")
            upstream = socket.create_connection(self.upstream_address, timeout=5.0)
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            client.close()
            return
        upstream.settimeout(None)
        connection = Connection(client, upstream)
        with self.lock:
            self.connections.add(connection)
        for direction in Direction:
            pump = threading.Thread(
                target=self.pump, args=(connection, direction), daemon=True
            )
            pump.start()

    def pump(self, connection: Connection, direction: Direction) -> None:
        """Forward bytes in one direction until either end closes."""
        source, sink = connection.endpoints(direction)
        is_reset = False
        try:
            while data := source.recv(CHUNK_BYTES):
                while direction in self.held:
                    time.sleep(POLL_INTERVAL_S)
                if self.delay_s:
                    time.sleep(self.delay_s)
                if not connection.discards_data:
                    sink.sendall(data)
        except OSError:
            is_reset = self.passes_resets
        # The end of a connection is held back like its bytes.
        while direction in self.held:
            time.sleep(POLL_INTERVAL_S)
        if connection.discards_data:
            return
        with self.lock:
            self.connections.discard(connection)
        if is_reset:
            connection.reset()
        else:
            connection.close()

    def reset(self) -> None:
        """Reset all open connections."""
        with self.lock:
            connections, self.connections = self.connections, set()
        for connection in connections:
            connection.reset()

    def blackhole(self) -> None:
        """Discard all further data of the open connections without closing them."""
        with self.lock:
            for connection in self.connections:
                connection.discards_data = True

    def cut(self, mode: CutMode) -> None:
        """Cut the path until `restore`: nothing gets through, as ``mode`` says."""
        self.stop_listening()
        if mode is CutMode.HANG:
            self.held.update(Direction)
            # The kernel drops the opening packets of a listener with a full queue.
            self.server = self.listen(backlog=0)
            self.blockers = [_start_connection(self.port) for _ in range(QUEUE_FILL)]
        elif mode is CutMode.RESET:
            self.reset()

    def accept_in_vain(self, closes: bool) -> None:
        """Reset connections, and accept new ones that nobody serves, until `restore`.

        Those are closed unread at once, or held without a word.
        """
        self.stop_listening()
        self.reset()
        # The kernel establishes connections that nobody accepts.
        self.server = self.listen()
        if closes:
            threading.Thread(
                target=close_connections, args=(self.server,), daemon=True
            ).start()

    def restore(self) -> None:
        """Restore the path."""
        self.stop_listening()
        for blocker in self.blockers:
            blocker.close()
        self.blockers = []
        self.held.clear()
        self.server = self.listen()
        self.start_accepting()

    def stop_listening(self) -> None:
        """Close the listener, so that new connections are refused."""
        # Without the shutdown, a thread in accept keeps the listener open.
        with contextlib.suppress(OSError):
            self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()

    def listen(self, backlog: int | None = None) -> socket.socket:
        """Return a listener at the address of this proxy.

        While it did not listen, a connection of another process may have got its port.
        """
        until = time.monotonic() + HELD_PORT_TIMEOUT_S
        while True:
            try:
                return socket.create_server(("127.0.0.1", self.port), backlog=backlog)
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() > until:
                    raise
            time.sleep(HELD_PORT_RETRY_S)

    def heal(self) -> None:
        """End all faults, except that blackholed connections stay so."""
        self.delay_s, self.refusing = 0.0, False
        self.held.clear()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        self.heal()
        with self.lock:
            connections, self.connections = self.connections, set()
        for connection in connections:
            connection.close()


def close_connections(server: socket.socket) -> None:
    """Accept connections and close them unread, until ``server`` is closed."""
    with contextlib.suppress(OSError):
        while True:
            server.accept()[0].close()


def _start_connection(port: int) -> socket.socket:
    """Return a socket that has begun to connect to ``port``."""
    blocker = socket.socket()
    blocker.setblocking(False)
    blocker.connect_ex(("127.0.0.1", port))
    return blocker
