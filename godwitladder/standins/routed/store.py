"""A stand-in for the store of routed mode: topics of records by key.

It implements the platform's documented protocol, with knobs for the faults that the
platform's documentation describes.
"""

import base64
import bisect
import io
import json
import random
import struct
import threading
import time
from collections import defaultdict
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qsl, urlsplit

from godwitladder.platform import names
from godwitladder.standins.routed.server import StandinServer, start_server

RECORD_LENGTH = struct.Struct(">I")
MAX_READ_BYTES = 1_048_576
READ_HEADER = struct.Struct(">QQ")


@dataclass
class Partition:
    """Records of one topic.

    Attributes
    ----------
    records : list of tuple of str and bytes
        Key and value of every record; the index is the offset. An empty value
        deletes the key.
    first_offset : int
        Oldest offset that can be read.
    appended_at : list of float
        When each record was appended, in monotonic seconds.
    """

    records: list[tuple[str, bytes]] = field(default_factory=list)
    first_offset: int = 0
    appended_at: list[float] = field(default_factory=list)

    def append(self, key: str, value: bytes) -> None:
        """Append a record."""
        self.records.append((key, value))
        self.appended_at.append(time.monotonic())

    def cut_back(self, end: int) -> None:
        """Lose all records from the offset ``end`` on."""
        del self.records[end:]
        del self.appended_at[end:]
        self.first_offset = min(self.first_offset, len(self.records))

    def newest(self) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each live key."""
        newest = {}
        for offset, (key, value) in enumerate(self.records):
            newest[key] = (offset, value)
        return {key: record for key, record in newest.items() if record[1]}


@dataclass(slots=True)
class StoreKnobs:
    """Knobs of the store, which set its faults.

    Attributes
    ----------
    status : int
        Status with which every request is answered; 0 for none.
    mute_s : float
        Delay before each answer, in seconds.
    lose : bool
        Whether requests are carried out, but their connections closed without
        an answer.
    tells_era : bool
        Whether answers name the era.
    late_s : float
        Delay in seconds after which appends are carried out, without an answer; 0 to
        carry them out at once.
    cuts : bool
        Whether requests are carried out, but their answers cut at a random byte.
    """

    status: int = 0
    mute_s: float = 0.0
    lose: bool = False
    tells_era: bool = True
    late_s: float = 0.0
    cuts: bool = False


class Store:
    """Topics and knobs of the store.

    Attributes
    ----------
    topics : dict of str to Partition
        Records of each topic, by name.
    knobs : StoreKnobs
        Faults of the store.
    reads : int
        Number of read requests handled.
    era : int
        Number of times that the store has come back from a copy, and one.
    late_results : list
        Status and body of each append that was carried out late.
    random : Random
        Draws where answers are cut.
    cut_answers : int
        Number of answers that were cut.
    """

    def __init__(self) -> None:
        self.topics: dict[str, Partition] = defaultdict(Partition)
        self.knobs = StoreKnobs()
        self.reads = 0
        self.era = 1
        self.late_results: list[tuple[int, bytes]] = []
        self.random = random.Random(1)
        self.cut_answers = 0
        self.lock = threading.Lock()

    def is_down(self) -> bool:
        """Return whether it accepts no connections; its knobs refuse requests."""
        return False

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return the end offset; no value deletes the key."""
        with self.lock:
            self.topics[topic].append(key, value)
            return len(self.topics[topic].records)

    def append(
        self, topic: str, records: list[tuple[str, bytes]], at: str | None
    ) -> tuple[int, bytes]:
        """Append records if their topic ends at ``at``; return status and body."""
        with self.lock:
            partition = self.topics[topic]
            end = len(partition.records)
            if at is not None and int(at) != end:
                return 412, json.dumps({"endOffset": end}).encode()
            for key, value in records:
                partition.append(key, value)
            answer = {"offset": end, "endOffset": len(partition.records)}
            return 200, json.dumps(answer).encode()

    def append_late(self, *args) -> None:
        """Append records after the delay that a knob sets."""
        timer = threading.Timer(
            self.knobs.late_s, lambda: self.late_results.append(self.append(*args))
        )
        timer.daemon = True
        timer.start()

    def put_config(self, config: dict) -> None:
        """Publish a configuration, as the operator does."""
        self.put(names.CONFIG_TOPIC, names.CONFIG_KEY, json.dumps(config).encode())

    def compact(self, topic: str) -> None:
        """Make the history of a topic unreadable, as compaction does.

        The newest record of each key remains available.
        """
        with self.lock:
            partition = self.topics[topic]
            partition.first_offset = len(partition.records)

    def come_back_from_copy(self, age_s: float) -> None:
        """Lose all that was appended in the last ``age_s`` seconds, in a new era."""
        oldest = time.monotonic() - age_s
        with self.lock:
            for partition in self.topics.values():
                partition.cut_back(bisect.bisect_right(partition.appended_at, oldest))
            self.era += 1

    def lose_newest(self, topic: str, count: int) -> None:
        """Lose the last ``count`` records of one topic, in a new era."""
        with self.lock:
            partition = self.topics[topic]
            partition.cut_back(max(0, len(partition.records) - count))
            self.era += 1


class StoreHandler(BaseHTTPRequestHandler):
    """Answers requests to the store."""

    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        """Serve the newest records of a topic, or its records from an offset on."""
        url = urlsplit(self.path)
        query = dict(parse_qsl(url.query))
        if self.send_failure():
            return
        store = self.server.standin
        store.reads += 1
        with store.lock:
            partition = store.topics[query["topic"]]
            if url.path == names.NEWEST:
                self.answer(200, newest_page(partition, query.get("after", "")))
            else:
                self.answer(*read_page(partition, int(query["from"])))

    def do_POST(self) -> None:
        """Append the records in the body."""
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        if self.send_failure():
            return
        query = dict(parse_qsl(urlsplit(self.path).query))
        appended = query["topic"], read_records(body)
        store, at = self.server.standin, query.get("at")
        if store.knobs.late_s:
            store.append_late(*appended, at)
            self.close_connection = True
            return
        self.answer(*store.append(*appended, at))

    def send_failure(self) -> bool:
        """Delay the answer and send the status that a knob sets, if any.

        Returns
        -------
        bool
            Whether the request has been answered.
        """
        knobs = self.server.standin.knobs
        time.sleep(knobs.mute_s)
        if knobs.status:
            self.answer(knobs.status, b"")
        return bool(knobs.status)

    def answer(self, status: int, body: bytes) -> None:
        """Send an answer, or close the connection if the knob ``lose`` is set."""
        if self.server.standin.knobs.lose:
            self.close_connection = True
            return
        if self.server.standin.knobs.cuts:
            self.cut_answer(status, body)
        else:
            self.send_answer(status, body)

    def cut_answer(self, status: int, body: bytes) -> None:
        """Send a part of an answer, and close the connection."""
        store, sock_file = self.server.standin, self.wfile
        self.wfile = io.BytesIO()
        self.send_answer(status, body)
        whole, self.wfile = self.wfile.getvalue(), sock_file
        self.wfile.write(whole[: store.random.randrange(len(whole))])
        store.cut_answers += 1
        self.close_connection = True

    def send_answer(self, status: int, body: bytes) -> None:
        """Send a whole answer."""
        self.send_response(status)
        store = self.server.standin
        if store.knobs.tells_era:
            self.send_header(names.STORE_ERA, str(store.era))
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args) -> None:
        """Log no requests."""


def read_records(body: bytes) -> list[tuple[str, bytes]]:
    """Return the key and value of each record in the body of an append."""
    records = []
    while body:
        (length,) = RECORD_LENGTH.unpack_from(body)
        content = body[RECORD_LENGTH.size : RECORD_LENGTH.size + length]
        body = body[RECORD_LENGTH.size + length :]
        key_end = 1 + content[0]
        records.append((content[1:key_end].decode(), content[key_end:]))
    return records


def newest_page(partition: Partition, after: str) -> bytes:
    """Return a JSON page of at most two newest records, of keys after ``after``."""
    keys = sorted(key for key in partition.newest() if key > after)
    entries = [
        {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
        for key in keys[:2]
        for offset, value in [partition.newest()[key]]
    ]
    page = {
        "entries": entries,
        "hasMore": len(keys) > 2,
        "endOffset": len(partition.records),
    }
    return json.dumps(page).encode()


def read_page(partition: Partition, start: int) -> tuple[int, bytes]:
    """Return the status and body of a read from offset ``start`` on.

    The body has one record at least, and else no more than `MAX_READ_BYTES`.
    """
    if not partition.first_offset <= start <= len(partition.records):
        return 410, json.dumps({"firstOffset": partition.first_offset}).encode()
    body = READ_HEADER.pack(len(partition.records), partition.first_offset)
    for key, value in partition.records[start:]:
        content = bytes([len(key.encode())]) + key.encode() + value
        row = RECORD_LENGTH.pack(len(content)) + content
        if len(body) + len(row) > MAX_READ_BYTES and len(body) > READ_HEADER.size:
            break
        body += row
    return 200, body


def start_store() -> StandinServer:
    """Start a store; ``shutdown`` and ``server_close`` stop it."""
    return start_server(StandinServer(StoreHandler, Store()))
