"""A small HTTP server with knobs, on which every stand-in is built.

The standard library's server is used here in place of waitress, since a
stand-in must be able to misbehave below HTTP: close a connection under a
request, fall silent, cut an answer short.
"""

import functools
import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

POLL_S = 0.05


class Hangup(Exception):
    """Raised by a route to close the connection without an answer."""


class Server(ThreadingHTTPServer):
    """Serves a stand-in's routes, a thread for each connection."""

    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, address: str, standin: "Standin") -> None:
        host, _, port = address.rpartition(":")
        self.standin = standin
        super().__init__((host, int(port)), Handler)

    @property
    def address(self) -> str:
        """Where it listens, as ``address:port``."""
        host, port = self.server_address[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Serve in a thread."""
        serve = functools.partial(self.serve_forever, POLL_S)
        threading.Thread(target=serve, daemon=True).start()

    def server_close(self) -> None:
        """Stop listening, and end the stand-in's own thread if it has one."""
        super().server_close()
        with self.standin.changed:
            self.standin.closed = True
            self.standin.changed.notify_all()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Stay quiet about connections that the other end has closed."""


class Standin:
    """Knobs and routes of a stand-in.

    Attributes
    ----------
    knobs : dict
        Named values that tests set with ``POST /knobs``.
    routes : dict
        A function of the handler for each method and first part of the path.
    """

    def __init__(self, knobs: dict[str, Any]) -> None:
        self.knobs = knobs
        self.closed = False
        self.changed = threading.Condition()
        self.routes: dict[tuple[str, str], Callable[[Handler], None]] = {
            ("GET", "knobs"): lambda handler: handler.send_json(self.knobs),
            ("POST", "knobs"): self.set_knobs,
        }

    def set_knobs(self, handler: "Handler") -> None:
        """Change the knobs named in the body."""
        values = json.loads(handler.body)
        unknown = set(values) - set(self.knobs)
        if unknown:
            handler.send_json({"unknown": sorted(unknown)}, 400)
            return
        with self.changed:
            self.knobs.update(values)
            self.changed.notify_all()
        handler.send_json(self.knobs)

    def before(self, handler: "Handler") -> None:
        """Run before each route but ``knobs``; may raise `Hangup`."""


class Handler(BaseHTTPRequestHandler):
    """Finds the route of a request and answers in JSON or chunks."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: Server
    body: bytes = b""

    def do_GET(self) -> None:
        """Answer a GET."""
        self.answer()

    def do_POST(self) -> None:
        """Answer a POST."""
        self.answer()

    def do_DELETE(self) -> None:
        """Answer a DELETE."""
        self.answer()

    def answer(self) -> None:
        """Run the route of the request."""
        self.extra_headers: dict[str, str] = {}
        url = urlsplit(self.path)
        self.parts = url.path.strip("/").split("/")
        self.query = {name: rows[0] for name, rows in parse_qs(url.query).items()}
        self.body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        route = self.server.standin.routes.get((self.command, self.parts[0]))
        try:
            if self.parts[0] != "knobs":
                self.server.standin.before(self)
            if route is None:
                self.send_json({"error": f"no {self.command} {self.path}"}, 404)
            else:
                route(self)
        except (Hangup, BrokenPipeError, ConnectionResetError):
            self.close_connection = True

    def send_json(self, value: Any, status: int = 200) -> None:
        """Answer with ``value`` in JSON."""
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        for name, text in self.extra_headers.items():
            self.send_header(name, text)
        self.end_headers()
        self.wfile.write(body)

    def start_chunks(self, content_type: str) -> None:
        """Start an answer in chunks."""
        self.send_response(200)
        self.send_header("Content-Type", content_type)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the answer."""
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
        self.wfile.flush()

    def log_message(self, *args: Any) -> None:
        """Log nothing: tests read the stand-ins' own records."""
