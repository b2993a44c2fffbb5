"""The server of a stand-in, built on the standard library's.

It must be able to fail below HTTP.
"""

import contextlib
import socket
import threading
from http.server import ThreadingHTTPServer


class StandinServer(ThreadingHTTPServer):
    """Serves one stand-in on a free port, given by ``address``."""

    daemon_threads = True

    def __init__(self, handler: type, standin) -> None:
        super().__init__(("127.0.0.1", 0), handler)
        self.standin = standin
        self.address = f"127.0.0.1:{self.server_port}"
        self.connections: set[socket.socket] = set()

    def process_request(self, request, client_address) -> None:
        """Serve a new connection in a thread of its own."""
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request) -> None:
        """Close a connection whose thread has ended."""
        self.connections.discard(request)
        super().shutdown_request(request)

    def replace(self, standin, breaks: bool = True) -> None:
        """Put another stand-in at the same address.

        Parameters
        ----------
        breaks : bool
            Whether open connections break; else they lead to the other stand-in.
        """
        self.standin = standin
        for connection in list(self.connections) if breaks else ():
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def verify_request(self, request, client_address) -> bool:
        """Return whether to read from a connection; a stand-in that is down won't."""
        return not self.standin.is_down()

    def handle_error(self, request, client_address) -> None:
        """Print no traceback: tests break connections on purpose."""


def start_server(server: StandinServer) -> StandinServer:
    """Let a server serve in a thread; ``shutdown`` and ``server_close`` stop it."""
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
