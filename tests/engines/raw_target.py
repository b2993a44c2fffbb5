"""A target that sends bytes of the test's choice, also without end."""

import contextlib
import socket
import threading
import time

REQUEST_BYTES = 65_536
BLOCK_BYTES = 65_536


class RawTarget:
    """Answers each connection with some bytes, then others again and again.

    Parameters
    ----------
    first : bytes
        What an answer begins with.
    repeated : bytes
        What follows without end; empty for an answer that ends and is not closed.
    pause_s : float
        Pause after each byte of ``repeated``, in seconds; 0 for none, and as many
        bytes at once as the connection takes.
    closes : bool
        Whether the connection is closed after ``first`` if nothing is repeated.

    Attributes
    ----------
    address : str
        Where it listens, ``address:port``.
    connections : int
        Number of connections that it has accepted.
    """

    def __init__(self, first, repeated=b"", pause_s=0.0, closes=False):
        self.first = first
        self.repeated = repeated
        self.pause_s = pause_s
        self.closes = closes
        self.connections = 0
        self.socks = []
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        for sock in (self.server, *self.socks):
            # Wakes the thread that accepts from it or sends to it.
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()

    def run(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.server.accept()
                self.connections += 1
                self.socks.append(sock)
                threading.Thread(target=self.answer, args=(sock,), daemon=True).start()

    def answer(self, sock):
        with contextlib.suppress(OSError):
            while sock.recv(REQUEST_BYTES):
                sock.sendall(self.first)
                if self.repeated:
                    self.send_on(sock)
                if self.closes:
                    sock.shutdown(socket.SHUT_RDWR)

    def send_on(self, sock):
        """Send the repeated bytes until the connection ends."""
        if not self.pause_s:
            block = self.repeated * (1 + BLOCK_BYTES // len(self.repeated))
            while True:
                sock.sendall(block)
        while True:
            for byte in self.repeated:
                sock.sendall(bytes([byte]))
                time.sleep(self.pause_s)
