"""A loopback proxy that delays, holds back, discards and resets traffic."""

import contextlib
import enum
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
LOOK_S = 0.02
"""Interval at which a held direction checks whether it has been released."""
RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER: a linger time of zero makes ``close`` send a reset."""


class Way(enum.Enum):
    """Direction of traffic, relative to the address behind the proxy."""

    TO = "to"
    FROM = "from"


class Connection:
    """A proxied connection: the sockets to its client and to the address behind.

    While ``lost`` is set, the pumps discard data and leave the sockets open.
    """

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near = near
        self.far = far
        self.lost = False

    def ends(self, way: Way) -> tuple[socket.socket, socket.socket]:
        """Return the source and the destination of a direction."""
        return (self.near, self.far) if way is Way.TO else (self.far, self.near)

    def reset(self) -> None:
        """Reset the connection at both ends."""
        # The flag keeps the pumps from closing the sockets without a reset.
        # Shutting them down for reading wakes a pump blocked in recv, which
        # otherwise keeps its socket open.
        self.lost = True
        for end in (self.near, self.far):
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                end.shutdown(socket.SHUT_RD)
            end.close()

    def close(self) -> None:
        """Shut down and close both sockets."""
        for end in (self.near, self.far):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


class Proxy:
    """TCP proxy to one address, with faults that can be set while it runs.

    Parameters
    ----------
    to : str
        Address to forward connections to, ``address:port``.

    Attributes
    ----------
    delay_s : float
        Delay in seconds of each chunk.
    held : set of Way
        Directions whose bytes are held back until `heal`.
    refusing : bool
        Whether new connections are reset.
    address : str
        Address at which the proxy listens, ``address:port``.
    """

    def __init__(self, to: str) -> None:
        host, _, port = to.rpartition(":")
        self.to = host, int(port)
        self.delay_s = 0.0
        self.held: set[Way] = set()
        self.refusing = False
        self.connections: set[Connection] = set()
        self.lock = threading.Lock()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        """Accept connections until the proxy is closed."""
        with contextlib.suppress(OSError):
            while True:
                near, _ = self.server.accept()
                threading.Thread(target=self.open, args=(near,), daemon=True).start()

    def open(self, near: socket.socket) -> None:
        """Connect a client to the address behind, and start a pump per direction.

        The client is reset if the proxy refuses connections or can't connect.
        """
        try:
            if self.refusing:
                raise ConnectionRefusedError("told to refuse")
            far = socket.create_connection(self.to, timeout=5.0)
        except OSError:
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            near.close()
            return
        far.settimeout(None)
        connection = Connection(near, far)
        with self.lock:
            self.connections.add(connection)
        for way in Way:
            pump = threading.Thread(
                target=self.pump, args=(connection, way), daemon=True
            )
            pump.start()

    def pump(self, connection: Connection, way: Way) -> None:
        """Forward bytes in one direction until either end closes."""
        source, sink = connection.ends(way)
        with contextlib.suppress(OSError):
            while data := source.recv(CHUNK_BYTES):
                while way in self.held:
                    time.sleep(LOOK_S)
                if self.delay_s:
                    time.sleep(self.delay_s)
                if not connection.lost:
                    sink.sendall(data)
        if connection.lost:
            return
        with self.lock:
            self.connections.discard(connection)
        connection.close()

    def reset(self) -> None:
        """Reset all open connections."""
        with self.lock:
            rows, self.connections = self.connections, set()
        for row in rows:
            row.reset()

    def silence(self) -> None:
        """Discard all further data of the open connections without closing them."""
        with self.lock:
            for row in self.connections:
                row.lost = True

    def heal(self) -> None:
        """End all faults, but for connections that were silenced: these stay so."""
        self.delay_s, self.refusing = 0.0, False
        self.held.clear()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self.server.close()
        self.heal()
        with self.lock:
            rows, self.connections = self.connections, set()
        for row in rows:
            row.close()
