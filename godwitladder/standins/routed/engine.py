"""A stand-in for an engine of routed mode.

It implements the platform's documented protocol, with knobs for the faults that the
platform's documentation describes, also below HTTP.
"""

import enum
import random
import socket
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler

from godwitladder.platform import names
from godwitladder.standins.routed.server import StandinServer, start_server

FALL_S = 2.0
"""Seconds after which an engine that has fallen over is back."""
EVENTS_BEFORE_ENDING = 2
RESET_DELAY_S = 0.1
"""A reset discards what the reader has not read yet."""
HEALTH_PATH = "/health"


class Ending(enum.Enum):
    """When an engine ends under a request.

    Attributes
    ----------
    BEFORE_HEAD
        Before it answers.
    AFTER_HEAD
        After the status and headers of its answer.
    MID_STREAM
        After the first events of a stream; after the head of any other answer.
    SILENT
        Before it answers, and its connections stay open without a sign.
    """

    BEFORE_HEAD = "before_head"
    AFTER_HEAD = "after_head"
    MID_STREAM = "mid_stream"
    SILENT = "silent"


class Endless(enum.Enum):
    """What an engine sends without end in place of an answer.

    Attributes
    ----------
    NOTHING
        It answers.
    BODY
        A body without length or chunks.
    CHUNKS
        Chunks.
    INTERIM
        Interim answers.
    """

    NOTHING = "nothing"
    BODY = "body"
    CHUNKS = "chunks"
    INTERIM = "interim"


ENDLESS_BLOCK = b"a" * 65_536
ENDLESS_BLOCKS = {
    Endless.BODY: ENDLESS_BLOCK,
    Endless.CHUNKS: b"%x\r\n%b\r\n" % (len(ENDLESS_BLOCK), ENDLESS_BLOCK),
    Endless.INTERIM: b"HTTP/1.1 100 Continue\r\n\r\n" * 100,
}


class EngineEnded(Exception):
    """Raised in the thread of a request under which the engine has ended."""


@dataclass(slots=True)
class EngineKnobs:
    """Knobs of an engine, which set its faults and its pace.

    Attributes
    ----------
    refuse : bool
        Whether requests are refused with 503 and marked as not executed.
    name : str
        Name of the engine. Requests that expect another instance are refused
        with 421; if empty, no request is refused for that.
    cut_after : int
        Number of events after which a stream is cut in the middle of the next
        one; -1 for never.
    foreign : bool
        Whether answers carry the attempt id of another request.
    pause_s : float
        Delay before each event, and before an answer, in seconds.
    status : int
        Status of answers that are no streams.
    events : int
        Number of the last event of a stream.
    load : str
        Load that answers state; empty for none.
    rate_limit : float
        Requests per second that every answer states as the limit; 0 for none.
    leaving : bool
        Whether every answer states that the engine is leaving.
    cooldown_s : float
        Seconds of cooldown that a refusal with 503 asks for; 0 for none.
    room : int
        Number of requests that it takes at once; it refuses more. -1 for any number.
    brittle : float
        Refusals in a second beyond which the engine falls over for `FALL_S`, as every
        answer states; 0 for none.
    ends_on : bytes
        Body of the requests that end the engine; empty for none.
    ends_on_part : str
        Name of the prompt part whose requests end the engine, unless it is the last
        part; empty for none.
    ending : Ending
        When it ends under them.
    early : bool
        Whether it answers before it has read the body of a request.
    framed : bool
        Whether answers have a length or chunks; others end with their connection.
    resets_after : int
        Number of bytes of an answer without chunks, or of events of a stream, after
        which the connection is reset; -1 for never.
    version : str
        Version of its software, which it writes into each event; empty for none.
    cut_probability : float
        Probability with which a stream is cut before each event but the first.
    endless : Endless
        What it sends without end in place of an answer.
    raw_answers : dict of str to bytes
        Answers that are sent as they are, by attempt id; the connection ends after.
    """

    refuse: bool = False
    name: str = ""
    cut_after: int = -1
    foreign: bool = False
    pause_s: float = 0.0
    status: int = 200
    events: int = 5
    rate_limit: float = 0.0
    load: str = ""
    leaving: bool = False
    cooldown_s: float = 0.0
    room: int = -1
    brittle: float = 0.0
    ends_on: bytes = b""
    ends_on_part: str = ""
    ending: Ending = Ending.BEFORE_HEAD
    early: bool = False
    framed: bool = True
    resets_after: int = -1
    version: str = ""
    cut_probability: float = 0.0
    endless: Endless = Endless.NOTHING
    raw_answers: dict[str, bytes] = field(default_factory=dict)


@dataclass(frozen=True)
class Run:
    """A request that an engine ran.

    Attributes
    ----------
    method, path : str
        Request line.
    headers : dict of str to str
        Request headers, by their lowercase names.
    body : bytes
        Request body.
    at : float
        When the request arrived, in monotonic seconds.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float = 0.0


@dataclass(frozen=True)
class Arrival:
    """A request that reached an engine, whether it ran or not.

    Attributes
    ----------
    at : float
        When it arrived, in monotonic seconds.
    attempt : str
        Attempt id of the request.
    rate_limit, leaving, cooldown_s
        What its answer states, as in `EngineKnobs`; ``cooldown_s`` only in a refusal.
    """

    at: float
    attempt: str
    rate_limit: float
    leaving: bool
    cooldown_s: float


class Engine:
    """Requests that an engine ran, and its knobs.

    Attributes
    ----------
    knobs : EngineKnobs
        Faults and pace of the engine.
    runs : list of Run
        Requests that ran, in order of arrival.
    arrivals : list of Arrival
        All requests that were meant for it, in order of arrival.
    broken_connections : int
        Number of connections that broke while an answer was sent.
    open_requests : int
        Number of requests that it works on.
    refusals : list of float
        When it refused requests since it last fell over, in monotonic seconds.
    falls : list of float
        When it fell over.
    endings : list of float
        When it ended under a request.
    on_end : callable
        Called with the kind when it ends under a request; breaks its connections.
    """

    def __init__(self) -> None:
        self.knobs = EngineKnobs()
        self.lock = threading.Lock()
        self.open_requests = 0
        self.refusals: list[float] = []
        self.falls: list[float] = []
        self.endings: list[float] = []
        self.on_end: Callable[[Ending], None] = lambda ending: None
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.broken_connections = 0

    def is_down(self) -> bool:
        """Return whether the engine has fallen over and is not back yet."""
        return bool(self.falls) and time.monotonic() < self.falls[-1] + FALL_S

    def admit(self) -> bool:
        """Return whether there is room for a request, and count it either way."""
        with self.lock:
            if self.knobs.refuse or self.open_requests == self.knobs.room:
                self.record_refusal(time.monotonic())
                return False
            self.open_requests += 1
            return True

    def release(self) -> None:
        """Make room for another request."""
        with self.lock:
            self.open_requests -= 1

    def end(self, ending: Ending) -> None:
        """End under a request.

        Raises
        ------
        EngineEnded
            Always, so that the request's thread sends nothing more.
        """
        self.endings.append(time.monotonic())
        self.on_end(ending)
        raise EngineEnded

    def record_refusal(self, now: float) -> None:
        """Record a refusal, and fall over if there were too many."""
        self.refusals = [at for at in self.refusals if now - at < 1.0] + [now]
        if 0 < self.knobs.brittle < len(self.refusals) and not self.is_down():
            self.falls.append(now)
            self.refusals = []


class EngineHandler(BaseHTTPRequestHandler):
    """Answers requests to an engine."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        """Run a request, or refuse it as the knobs say."""
        engine = self.server.standin
        length = int(self.headers.get("Content-Length") or 0)
        body = b"" if engine.knobs.early else self.rfile.read(length)
        expected = self.headers.get(names.EXPECT_INSTANCE, "")
        if expected and engine.knobs.name not in ("", expected):
            self.send_head(421, [("Content-Length", "0")])
            return
        now = time.monotonic()
        engine.arrivals.append(self.make_arrival(engine.knobs, now))
        if not engine.admit():
            self.send_refusal(engine.knobs.cooldown_s)
            return
        headers = {name.lower(): value for name, value in self.headers.items()}
        engine.runs.append(Run(self.command, self.path, headers, body, now))
        try:
            self.run(engine.knobs, body)
        except EngineEnded:
            self.close_connection = True
        except OSError:
            engine.broken_connections += 1
        finally:
            engine.release()

    def do_GET(self) -> None:
        """Answer a health check, or run any other request."""
        if self.path != HEALTH_PATH:
            self.do_POST()
            return
        expected = self.headers.get(names.EXPECT_INSTANCE, "")
        name = self.server.standin.knobs.name or expected
        headers = [(names.INSTANCE, name), ("Content-Length", "0")]
        status = 200 if name == expected else 421
        self.send_head(status, headers, identified=False)

    def make_arrival(self, knobs: EngineKnobs, now: float) -> Arrival:
        """Return the record of the request that is being read."""
        return Arrival(
            now,
            self.headers.get(names.ATTEMPT, ""),
            knobs.rate_limit,
            knobs.leaving,
            knobs.cooldown_s if knobs.refuse else 0.0,
        )

    def send_refusal(self, cooldown_s: float) -> None:
        """Refuse a request, which does not run, and ask for cooldown if there is any.

        A refusal carries neither an attempt id nor a signature.
        """
        headers = [(names.NOT_EXECUTED, "1"), ("Content-Length", "0")]
        if cooldown_s:
            headers.append((names.RETRY_AFTER, str(cooldown_s)))
        self.send_head(503, headers, identified=False)

    def run(self, knobs: EngineKnobs, request_body: bytes) -> None:
        """Answer an accepted request, or end under it."""
        if self.ends_engine(knobs, request_body):
            self.end_under_request(knobs)
        if knobs.endless is not Endless.NOTHING:
            self.send_endless(knobs.endless)
        raw_answer = knobs.raw_answers.get(self.headers.get(names.ATTEMPT, ""))
        if raw_answer is not None:
            self.close_connection = True
            self.wfile.write(raw_answer)
            return
        if "/stream/" in self.path:
            self.stream(knobs, knobs.events)
            self.send_chunk(b"")
            return
        time.sleep(knobs.pause_s)
        body = b"answer of " + self.headers.get(names.ATTEMPT, "").encode()
        length = [("Content-Length", str(len(body)))] if knobs.framed else []
        self.send_head(knobs.status, length)
        if knobs.resets_after >= 0:
            self.wfile.write(body[: knobs.resets_after])
            self.reset_connection()
        self.wfile.write(body)

    def send_endless(self, endless: Endless) -> None:
        """Send the same bytes until the connection ends.

        Raises
        ------
        OSError
            Always, as the reader closes the connection.
        """
        self.close_connection = True
        if endless is not Endless.INTERIM:
            is_stream = "/stream/" in self.path
            kind = "text/event-stream" if is_stream else "text/plain"
            headers = [("Content-Type", kind)]
            if endless is Endless.CHUNKS:
                headers.append(("Transfer-Encoding", "chunked"))
            self.send_head(200, headers)
        while True:
            self.wfile.write(ENDLESS_BLOCKS[endless])

    def ends_engine(self, knobs: EngineKnobs, request_body: bytes) -> bool:
        """Return whether the request ends the engine."""
        if knobs.ends_on and request_body == knobs.ends_on:
            return True
        if not knobs.ends_on_part:
            return False
        parts = self.headers.get(names.PREFIX, "").split(",")[:-1]
        return knobs.ends_on_part in [part.partition(":")[0] for part in parts]

    def reset_connection(self) -> None:
        """Reset the connection, after the reader had time to read what was sent.

        Raises
        ------
        ConnectionResetError
            Always.
        """
        time.sleep(RESET_DELAY_S)
        self.close_connection = True
        self.connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        self.connection.close()
        raise ConnectionResetError("connection reset by a knob")

    def end_under_request(self, knobs: EngineKnobs) -> None:
        """Answer as far as the knob ``ending`` says, then end the engine.

        Raises
        ------
        EngineEnded
            Always.
        """
        time.sleep(knobs.pause_s)
        if knobs.ending in (Ending.AFTER_HEAD, Ending.MID_STREAM):
            events = EVENTS_BEFORE_ENDING if knobs.ending is Ending.MID_STREAM else 0
            if "/stream/" in self.path:
                self.stream(knobs, events)
            else:
                self.send_head(knobs.status, [("Content-Length", "1000")])
            # A reset would discard what the reader has not read yet.
            time.sleep(knobs.pause_s)
        self.server.standin.end(knobs.ending)

    def stream(self, knobs: EngineKnobs, events: int) -> None:
        """Send server-sent events in chunks, after the ``Last-Event-Id`` if given.

        Parameters
        ----------
        events : int
            Number of the last event to send.
        """
        headers = [("Content-Type", "text/event-stream")]
        if knobs.framed:
            headers.append(("Transfer-Encoding", "chunked"))
        self.send_head(200, headers)
        start = int(self.headers.get(names.LAST_EVENT) or 0)
        for number in range(start + 1, events + 1):
            time.sleep(knobs.pause_s)
            version = f" of {knobs.version}".encode() if knobs.version else b""
            event = b"id: %d\ndata: piece %d%b\n\n" % (number, number, version)
            if number - start - 1 == knobs.resets_after:
                self.reset_connection()
            is_cut = number > start + 1 and random.random() < knobs.cut_probability
            if is_cut or 0 <= knobs.cut_after < number:
                self.send_chunk(event[:7])
                self.connection.shutdown(socket.SHUT_RDWR)
                raise ConnectionResetError("stream cut by a knob")
            self.send_chunk(event)

    def send_head(
        self, status: int, headers: list[tuple[str, str]], identified: bool = True
    ) -> None:
        """Send the status line and the headers of an answer.

        An identified answer carries an attempt id and a signature.
        """
        knobs = self.server.standin.knobs
        self.send_response(status)
        if identified:
            attempt_id = "other" if knobs.foreign else self.headers.get(names.ATTEMPT)
            self.send_header(names.ATTEMPT, attempt_id or "")
            self.send_header(names.SIGNATURE, f"signed-{attempt_id or ''}")
        if knobs.rate_limit:
            self.send_header(names.RATE_LIMIT, str(knobs.rate_limit))
        if knobs.brittle:
            self.send_header(names.BRITTLE, str(knobs.brittle))
        if knobs.leaving:
            self.send_header(names.LEAVING, "1")
        if knobs.load:
            self.send_header(names.LOAD, knobs.load)
        if not knobs.framed:
            self.send_header("Connection", "close")
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the answer.

        Without chunks, the end of the connection ends it.
        """
        if not self.server.standin.knobs.framed:
            self.wfile.write(data)
            return
        self.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
        self.wfile.flush()

    def log_message(self, *args) -> None:
        """Log no requests."""


def start_engine() -> StandinServer:
    """Start an engine; ``shutdown`` and ``server_close`` stop it."""
    return start_server(StandinServer(EngineHandler, Engine()))
