"""HTTP server with adjustable faults (knobs), the base of the stand-ins.

It is built on the standard library's server instead of waitress, because a
stand-in must be able to fail below HTTP: close a connection during a request,
stop sending data, or truncate an answer.
"""

import functools
import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

SHUTDOWN_POLL_INTERVAL_S = 0.05


class Hangup(Exception):
    """Raised by a route to close the connection without completing an answer."""


class Server(ThreadingHTTPServer):
    """Serves a stand-in's routes with one thread per connection."""

    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, address: str, standin: "Standin") -> None:
        host, _, port = address.rpartition(":")
        self.standin = standin
        super().__init__((host, int(port)), Handler)

    @property
    def address(self) -> str:
        """Address on which the server listens, as ``address:port``."""
        host, port = self.server_address[:2]
        return f"{host}:{port}"

    def start(self) -> None:
        """Serve in a background thread."""
        serve = functools.partial(self.serve_forever, SHUTDOWN_POLL_INTERVAL_S)
        threading.Thread(target=serve, daemon=True).start()

    def server_close(self) -> None:
        """Stop listening, and stop the stand-in's background thread if any."""
        super().server_close()
        with self.standin.changed:
            self.standin.closed = True
            self.standin.changed.notify_all()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Print no traceback when the other end has closed the connection."""


class Standin:
    """Knobs and routes of a stand-in.

    Attributes
    ----------
    knobs : dict
        Values that set the behavior and the faults, by name. ``GET /knobs``
        reads them and ``POST /knobs`` changes them.
    closed : bool
        Whether the server has been closed.
    changed : threading.Condition
        Guards the state of the stand-in, and is notified when it changes.
    routes : dict
        Function that answers a request, by method and first path segment.
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
        """Change the knobs named in the JSON body; answer 400 if one is unknown."""
        values = json.loads(handler.body)
        unknown = set(values) - set(self.knobs)
        if unknown:
            handler.send_json({"unknown": sorted(unknown)}, 400)
            return
        with self.changed:
            self.knobs.update(values)
            self.changed.notify_all()
        handler.send_json(self.knobs)

    def before_request(self, handler: "Handler") -> None:
        """Hook run before every route except ``knobs``; may raise `Hangup`."""


class Handler(BaseHTTPRequestHandler):
    """Calls the route of a request, which answers in JSON or in chunks.

    Attributes
    ----------
    parts : list of str
        Segments of the request's path.
    query : dict of str to str
        First value of each query parameter.
    body : bytes
        Body of the request.
    extra_headers : dict of str to str
        Headers that `send_json` adds.
    """

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: Server
    body: bytes = b""

    def do_GET(self) -> None:
        """Answer a GET request."""
        self.answer()

    def do_POST(self) -> None:
        """Answer a POST request."""
        self.answer()

    def do_DELETE(self) -> None:
        """Answer a DELETE request."""
        self.answer()

    def answer(self) -> None:
        """Call the route of the request, or answer 404 if there is none."""
        self.extra_headers: dict[str, str] = {}
        url = urlsplit(self.path)
        self.parts = url.path.strip("/").split("/")
        self.query = {name: values[0] for name, values in parse_qs(url.query).items()}
        self.body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        route = self.server.standin.routes.get((self.command, self.parts[0]))
        try:
            if self.parts[0] != "knobs":
                self.server.standin.before_request(self)
            if route is None:
                self.send_json({"error": f"no {self.command} {self.path}"}, 404)
            else:
                route(self)
        except (Hangup, BrokenPipeError, ConnectionResetError):
            self.close_connection = True

    def send_json(self, value: Any, status: int = 200) -> None:
        """Answer with ``value`` encoded as JSON."""
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        for name, text in self.extra_headers.items():
            self.send_header(name, text)
        self.end_headers()
        self.wfile.write(body)

    def start_chunks(self, content_type: str) -> None:
        """Start a chunked answer with status 200."""
        self.send_response(200)
        self.send_header("Content-Type", content_type)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the answer."""
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
        self.wfile.flush()

    def log_message(self, *args: Any) -> None:
        """Log no requests; tests read the records that stand-ins keep."""
