"""A loopback proxy that delays, holds, loses and resets connections."""

import contextlib
import enum
import socket
import struct
import threading
import time

CHUNK_BYTES = 65_536
LOOK_S = 0.02
"""How often a held direction looks whether it may go on."""
RESET = struct.pack("ii", 1, 0)
"""A linger of zero seconds makes closing a connection a reset."""


class Way(enum.Enum):
    """Directions of a proxy's connections."""

    TO = "to"
    FROM = "from"


class Connection:
    """One connection through a proxy: a socket to each end."""

    def __init__(self, near: socket.socket, far: socket.socket) -> None:
        self.near = near
        self.far = far
        self.lost = False

    def ends(self, way: Way) -> tuple[socket.socket, socket.socket]:
        """Return where bytes come from and go to on ``way``."""
        return (self.near, self.far) if way is Way.TO else (self.far, self.near)

    def reset(self) -> None:
        """Reset both ends."""
        # The pumps must not close them in the usual way. Shut for reading, they
        # let go of the sockets, which else stay open while a pump reads.
        self.lost = True
        for end in (self.near, self.far):
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                end.shutdown(socket.SHUT_RD)
            end.close()

    def close(self) -> None:
        """Close both ends."""
        for end in (self.near, self.far):
            with contextlib.suppress(OSError):
                end.shutdown(socket.SHUT_RDWR)
            end.close()


class Proxy:
    """Passes connections on to an address, as badly as it is told.

    Parameters
    ----------
    to : str
        Where it connects to, ``address:port``.

    Attributes
    ----------
    delay_s : float
        Seconds that each piece is held back.
    held : set of Way
        Directions in which nothing is passed on for now.
    refusing : bool
        Whether new connections are reset.
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
        """Take connections until the proxy is closed."""
        with contextlib.suppress(OSError):
            while True:
                near, _ = self.server.accept()
                threading.Thread(target=self.open, args=(near,), daemon=True).start()

    def open(self, near: socket.socket) -> None:
        """Connect ``near`` to the address, and pass bytes both ways."""
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
        """Pass bytes on in one direction until either end closes."""
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
        """Reset all connections."""
        with self.lock:
            rows, self.connections = self.connections, set()
        for row in rows:
            row.reset()

    def blackhole(self) -> None:
        """Lose track of all open connections: they stay open, and carry nothing."""
        with self.lock:
            for row in self.connections:
                row.lost = True

    def heal(self) -> None:
        """Behave again; connections that were silenced stay so."""
        self.delay_s, self.refusing = 0.0, False
        self.held.clear()

    def close(self) -> None:
        """Stop, and close all connections."""
        self.server.close()
        self.heal()
        with self.lock:
            rows, self.connections = self.connections, set()
        for row in rows:
            row.close()
