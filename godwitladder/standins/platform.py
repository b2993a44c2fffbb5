"""Stand-in of the platform: log service, host list, weight store.

Knobs
-----
delay_s : float
    Added to each answer.
outage : bool
    Every request of the platform is closed without an answer.
lose_answers : int
    This many next appends are applied and their answers lost.
cut_zones : list of str
    Zones whose hosts reach nothing of the platform.
retention_s : float
    Age after which records are gone.
host_list_lag_s : float
    Age of the host list that is served.
weight_reads_per_s : float
    Reads that the weight store allows in a second.
"""

import base64
import json
import time
from collections import defaultdict
from dataclasses import dataclass, field

from godwitladder.standins.base import Handler, Hangup, Server, Standin

KNOBS = {
    "delay_s": 0.0,
    "outage": False,
    "lose_answers": 0,
    "cut_zones": [],
    "retention_s": 86_400.0,
    "host_list_lag_s": 1.0,
    "weight_reads_per_s": 5.0,
}


@dataclass
class Stream:
    """One stream of the log; ``first`` is the oldest offset kept."""

    first: int = 0
    records: list[tuple[int, float, bytes]] = field(default_factory=list)
    appends: int = 0

    @property
    def next(self) -> int:
        """Offset that the next record gets."""
        return self.first + len(self.records)


class Platform(Standin):
    """The log, the host list and the weight store in one server."""

    def __init__(self, **knobs) -> None:
        super().__init__({**KNOBS, **knobs})
        self.streams: dict[str, Stream] = defaultdict(Stream)
        self.host_lists: list[tuple[float, list]] = [(0.0, [])]
        self.weight_reads: list[float] = []
        self.routes |= {
            ("POST", "log"): self.append,
            ("GET", "log"): self.read,
            ("GET", "hosts"): self.list_hosts,
            ("POST", "hosts"): self.set_hosts,
            ("GET", "weights"): self.read_weights,
            ("GET", "appends"): self.count_appends,
        }

    def before(self, handler: Handler) -> None:
        """Apply outage, cut and delay."""
        zone = handler.headers.get("X-Zone", "")
        if self.knobs["outage"] or zone in self.knobs["cut_zones"]:
            raise Hangup
        if self.knobs["delay_s"]:
            time.sleep(self.knobs["delay_s"])

    def append(self, handler: Handler) -> None:
        """Append a batch of records."""
        rows = [base64.b64decode(row) for row in json.loads(handler.body)]
        with self.changed:
            stream = self.streams[handler.parts[1]]
            first = stream.next
            now = time.time()
            for index, row in enumerate(rows):
                stream.records.append((first + index, now, row))
            stream.appends += 1
            lost = self.knobs["lose_answers"] > 0
            if lost:
                self.knobs["lose_answers"] -= 1
            self.changed.notify_all()
        if lost:
            raise Hangup
        handler.send_json({"offset": first})

    def read(self, handler: Handler) -> None:
        """Answer with records from an offset on, waiting for one if asked."""
        start = int(handler.query.get("from", 0))
        wait = float(handler.query.get("wait", 0))
        with self.changed:
            stream = self.streams[handler.parts[1]]
            if wait:
                self.changed.wait_for(lambda: stream.next > start, wait)
            self.expire(stream)
            rows = stream.records[max(0, start - stream.first) :][:1000]
            answer = {
                "first": stream.first,
                "next": stream.next,
                "records": [
                    {
                        "offset": offset,
                        "time": at,
                        "data": base64.b64encode(data).decode(),
                    }
                    for offset, at, data in rows
                ],
            }
        if self.knobs["outage"]:
            raise Hangup
        handler.send_json(answer)

    def expire(self, stream: Stream) -> None:
        """Drop records that are past the retention."""
        oldest = time.time() - self.knobs["retention_s"]
        count = 0
        while count < len(stream.records) and stream.records[count][1] < oldest:
            count += 1
        del stream.records[:count]
        stream.first += count

    def set_hosts(self, handler: Handler) -> None:
        """Set the true list; it is served after the lag."""
        with self.changed:
            self.host_lists.append((time.time(), json.loads(handler.body)))
        handler.send_json({})

    def list_hosts(self, handler: Handler) -> None:
        """Serve the list as it was some time ago."""
        due = time.time() - self.knobs["host_list_lag_s"]
        with self.changed:
            rows = [rows for at, rows in self.host_lists if at <= due][-1]
        handler.send_json(rows)

    def read_weights(self, handler: Handler) -> None:
        """Serve a model's weights, so many reads a second."""
        now = time.time()
        with self.changed:
            self.weight_reads = [at for at in self.weight_reads if at > now - 1.0]
            if len(self.weight_reads) >= self.knobs["weight_reads_per_s"]:
                handler.send_json({"error": "too many reads"}, 429)
                return
            self.weight_reads.append(now)
        handler.send_json({"model": "/".join(handler.parts[1:])})

    def count_appends(self, handler: Handler) -> None:
        """Tell how many appends each stream took."""
        with self.changed:
            counts = {name: stream.appends for name, stream in self.streams.items()}
        handler.send_json(counts)


def start_platform(address: str = "127.0.0.1:0", **knobs) -> Server:
    """Start the platform's stand-in and return its server."""
    server = Server(address, Platform(**knobs))
    server.start()
    return server
