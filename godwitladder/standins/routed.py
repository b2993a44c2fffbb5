"""Stand-ins of the users' platform: a store of keyed topics, and an engine.

Small programs that speak what the platform's pages say, with knobs for the
faults that those pages tell of. They use the standard library's server, since
they must misbehave below HTTP.
"""

import base64
import json
import socket
import struct
import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qsl, urlsplit

from godwitladder.platform import names

LENGTH = struct.Struct(">I")
HEAD = struct.Struct(">QQ")


@dataclass
class Partition:
    """Records of one topic; ``first`` is the oldest offset still kept."""

    records: list[tuple[str, bytes]] = field(default_factory=list)
    first: int = 0

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return the newest record of each key that was not dropped."""
        rows = {}
        for offset, (key, value) in enumerate(self.records):
            rows[key] = (offset, value)
        return {key: row for key, row in rows.items() if row[1]}


@dataclass
class StoreKnobs:
    """Faults of the store.

    Attributes
    ----------
    status : int
        Answer everything with this status; 0 for none.
    mute_s : float
        Seconds before each answer.
    lose : bool
        Do what it is asked, and close the connection without an answer.
    """

    status: int = 0
    mute_s: float = 0.0
    lose: bool = False


class Store:
    """The topics of the stand-in, and its faults."""

    def __init__(self) -> None:
        self.topics: dict[str, Partition] = defaultdict(Partition)
        self.knobs = StoreKnobs()
        self.reads = 0
        self.lock = threading.Lock()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append one record; without a value its key is dropped."""
        with self.lock:
            self.topics[topic].records.append((key, value))
            return len(self.topics[topic].records)

    def put_config(self, config: dict) -> None:
        """Put a configuration in force, as the operator does."""
        self.put(names.CONFIG_TOPIC, names.CONFIG_KEY, json.dumps(config).encode())

    def compact(self, topic: str) -> None:
        """Drop the history of a topic; the newest record of each key stays."""
        with self.lock:
            part = self.topics[topic]
            part.first = len(part.records)


class StoreHandler(BaseHTTPRequestHandler):
    """Answers the calls of a store."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Answer a read."""
        url = urlsplit(self.path)
        query = dict(parse_qsl(url.query))
        if self.failed():
            return
        store = self.server.standin
        store.reads += 1
        with store.lock:
            part = store.topics[query["topic"]]
            if url.path == names.NEWEST:
                self.answer(200, newest_page(part, query.get("after", "")))
            else:
                self.answer(*read_page(part, int(query["from"])))

    def do_POST(self) -> None:
        """Answer an append."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.failed():
            return
        query = dict(parse_qsl(urlsplit(self.path).query))
        content = body[LENGTH.size :]
        key = content[1 : 1 + content[0]].decode()
        end = self.server.standin.put(query["topic"], key, content[1 + content[0] :])
        self.answer(200, json.dumps({"offset": end - 1, "endOffset": end}).encode())

    def failed(self) -> bool:
        """Return whether a knob has answered."""
        knobs = self.server.standin.knobs
        time.sleep(knobs.mute_s)
        if knobs.status:
            self.answer(knobs.status, b"")
        return bool(knobs.status)

    def answer(self, status: int, body: bytes) -> None:
        """Send one answer, unless it is to be lost."""
        if self.server.standin.knobs.lose:
            self.close_connection = True
            return
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args) -> None:
        """Print nothing."""


def newest_page(part: Partition, after: str) -> bytes:
    """Return one page of the newest records."""
    keys = sorted(key for key in part.newest() if key > after)
    rows = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        for key in keys[:2]
        for offset, value in [part.newest()[key]]
    ]
    page = {"entries": rows, "hasMore": len(keys) > 2, "endOffset": len(part.records)}
    return json.dumps(page).encode()


def read_page(part: Partition, start: int) -> tuple[int, bytes]:
    """Return the status and body of a read from ``start``."""
    if start < part.first:
        return 410, json.dumps({"firstOffset": part.first}).encode()
    body = HEAD.pack(len(part.records), part.first)
    for key, value in part.records[start:]:
        content = bytes([len(key.encode())]) + key.encode() + value
        body += LENGTH.pack(len(content)) + content
    return 200, body


@dataclass
class EngineKnobs:
    """Faults of an engine.

    Attributes
    ----------
    refuse : bool
        Whether it says that it ran nothing.
    cut_after : int
        Events after which a stream is cut in the middle of the next; -1 never.
    foreign : bool
        Whether it answers with another request's id.
    pause_s : float
        Between two events, and before an answer.
    status : int
        Status of its answers.
    name : str
        Its name, by which callers may insist on it; empty for any.
    """

    refuse: bool = False
    name: str = ""
    cut_after: int = -1
    foreign: bool = False
    pause_s: float = 0.0
    status: int = 200
    events: int = 5


@dataclass(frozen=True)
class Run:
    """A request that an engine ran; ``at`` is in monotonic seconds."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float = 0.0


class Engine:
    """What the stand-in of an engine ran, and its faults."""

    def __init__(self) -> None:
        self.knobs = EngineKnobs()
        self.runs: list[Run] = []
        self.broken_connections = 0


class EngineHandler(BaseHTTPRequestHandler):
    """Answers requests as an engine does."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        """Run a request."""
        engine = self.server.standin
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        wanted = self.headers.get(names.EXPECT_INSTANCE, "")
        if wanted and engine.knobs.name not in ("", wanted):
            self.head(421, [("Content-Length", "0")])
            return
        if engine.knobs.refuse:
            self.head(503, [(names.NOT_EXECUTED, "1"), ("Content-Length", "0")])
            return
        headers = {name.lower(): value for name, value in self.headers.items()}
        now = time.monotonic()
        engine.runs.append(Run(self.command, self.path, headers, body, now))
        try:
            self.run(engine.knobs)
        except OSError:
            engine.broken_connections += 1

    do_GET = do_POST

    def run(self, knobs: EngineKnobs) -> None:
        """Answer a request that runs."""
        if "/stream/" in self.path:
            self.stream(knobs)
            return
        time.sleep(knobs.pause_s)
        body = b"answer of " + self.headers.get(names.ATTEMPT, "").encode()
        self.head(knobs.status, [("Content-Length", str(len(body)))])
        self.wfile.write(body)

    def stream(self, knobs: EngineKnobs) -> None:
        """Answer with events, in chunks."""
        kind = ("Content-Type", "text/event-stream")
        self.head(200, [kind, ("Transfer-Encoding", "chunked")])
        start = int(self.headers.get(names.LAST_EVENT) or 0)
        for number in range(start + 1, knobs.events + 1):
            time.sleep(knobs.pause_s)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            if 0 <= knobs.cut_after < number:
                self.chunk(event[:7])
                self.connection.shutdown(socket.SHUT_RDWR)
                raise ConnectionResetError("the stream is cut")
            self.chunk(event)
        self.chunk(b"")

    def head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send the head of an answer."""
        attempt = "other" if self.server.standin.knobs.foreign else None
        self.send_response(status)
        mine = attempt or self.headers.get(names.ATTEMPT, "")
        self.send_header(names.ATTEMPT, mine)
        self.send_header(names.SIGNATURE, f"signed-{mine}")
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()

    def chunk(self, data: bytes) -> None:
        """Send one chunk."""
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
        self.wfile.flush()

    def log_message(self, *args) -> None:
        """Print nothing."""


class StandinServer(ThreadingHTTPServer):
    """Serves one stand-in at a free port."""

    daemon_threads = True

    def __init__(self, handler: type, standin) -> None:
        super().__init__(("127.0.0.1", 0), handler)
        self.standin = standin
        self.address = f"127.0.0.1:{self.server_port}"

    def handle_error(self, request, client_address) -> None:
        """Print nothing: connections break here on purpose."""


def start_store() -> StandinServer:
    """Start a store; ``shutdown`` and ``server_close`` end it."""
    return _start(StandinServer(StoreHandler, Store()))


def start_engine() -> StandinServer:
    """Start an engine; ``shutdown`` and ``server_close`` end it."""
    return _start(StandinServer(EngineHandler, Engine()))


def _start(server: StandinServer) -> StandinServer:
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
