"""A loopback proxy that delays, holds back, discards and resets traffic."""

import contextlib
import enum
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
POLL_INTERVAL_S = 0.02
"""Interval at which a held direction checks whether it has been released."""
LINGER_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER: a linger time of zero makes ``close`` send a reset."""


class Direction(enum.Enum):
    """Direction of traffic, relative to the address behind the proxy."""

    TO_UPSTREAM = "to"
    FROM_UPSTREAM = "from"


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
    address : str
        Address at which the proxy listens, ``address:port``.
    """

    def __init__(self, upstream_address: str) -> None:
        host, _, port = upstream_address.rpartition(":")
        self.upstream_address = host, int(port)
        self.delay_s = 0.0
        self.held: set[Direction] = set()
        self.refusing = False
        self.connections: set[Connection] = set()
        self.lock = threading.Lock()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self.accept_connections, daemon=True).start()

    def accept_connections(self) -> None:
        """Accept connections until the proxy is closed."""
        with contextlib.suppress(OSError):
            while True:
                client, _ = self.server.accept()
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
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                while direction in self.held:
                    time.sleep(POLL_INTERVAL_S)
                if self.delay_s:
                    time.sleep(self.delay_s)
                if not connection.discards_data:
                    sink.sendall(data)
        if connection.discards_data:
            return
        with self.lock:
            self.connections.discard(connection)
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
