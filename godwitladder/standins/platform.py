"""Stand-in for the platform: log service, host list and weight store.

Knobs
-----
delay_s : float
    Delay before each request is handled, in seconds.
outage : bool
    Whether every connection is closed without an answer.
lose_answers : int
    Number of next appends that are applied but get no answer.
cut_zones : list of str
    Availability zones whose hosts cannot reach the platform.
retention_s : float
    Age at which log records are deleted, in seconds.
host_list_lag_s : float
    Minimum age of the host list that is served, in seconds.
weight_reads_per_s : float
    Maximum number of reads of the weight store in one second.
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
    """One stream of the log.

    Attributes
    ----------
    first_offset : int
        Offset of the oldest retained record.
    records : list of tuple of int, float and bytes
        Offset, Unix time of the append, and content of each record.
    appends : int
        Number of append requests applied.
    """

    first_offset: int = 0
    records: list[tuple[int, float, bytes]] = field(default_factory=list)
    appends: int = 0

    @property
    def next_offset(self) -> int:
        """Offset of the next record."""
        return self.first_offset + len(self.records)


class Platform(Standin):
    """The log, the host list and the weight store in one server.

    Attributes
    ----------
    streams : dict of str to Stream
        Streams of the log, by name.
    host_lists : list of tuple of float and list
        Every host list set so far, with the Unix time when it was set.
    weight_reads : list of float
        Unix times of the reads allowed within the last second.
    """

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

    def before_request(self, handler: Handler) -> None:
        """Apply the knobs ``outage``, ``cut_zones`` and ``delay_s``."""
        zone = handler.headers.get("X-Zone", "")
        if self.knobs["outage"] or zone in self.knobs["cut_zones"]:
            raise Hangup
        if self.knobs["delay_s"]:
            time.sleep(self.knobs["delay_s"])

    def append(self, handler: Handler) -> None:
        """Append a batch of records and answer with the first offset."""
        batch = [base64.b64decode(record) for record in json.loads(handler.body)]
        with self.changed:
            stream = self.streams[handler.parts[1]]
            first = stream.next_offset
            now = time.time()
            for index, record in enumerate(batch):
                stream.records.append((first + index, now, record))
            stream.appends += 1
            lost = self.knobs["lose_answers"] > 0
            if lost:
                self.knobs["lose_answers"] -= 1
            self.changed.notify_all()
        if lost:
            raise Hangup
        handler.send_json({"offset": first})

    def read(self, handler: Handler) -> None:
        """Serve records from an offset on.

        If there are none, wait up to ``wait`` seconds, a query parameter.
        """
        start = int(handler.query.get("from", 0))
        wait = float(handler.query.get("wait", 0))
        with self.changed:
            stream = self.streams[handler.parts[1]]
            if wait:
                self.changed.wait_for(lambda: stream.next_offset > start, wait)
            self.expire(stream)
            records = stream.records[max(0, start - stream.first_offset) :][:1000]
            answer = {
                "first": stream.first_offset,
                "next": stream.next_offset,
                "records": [
                    {
                        "offset": offset,
                        "time": at,
                        "data": base64.b64encode(data).decode(),
                    }
                    for offset, at, data in records
                ],
            }
        if self.knobs["outage"]:
            raise Hangup
        handler.send_json(answer)

    def expire(self, stream: Stream) -> None:
        """Delete records older than ``retention_s``."""
        oldest = time.time() - self.knobs["retention_s"]
        count = 0
        while count < len(stream.records) and stream.records[count][1] < oldest:
            count += 1
        del stream.records[:count]
        stream.first_offset += count

    def set_hosts(self, handler: Handler) -> None:
        """Set the host list, which is served once ``host_list_lag_s`` has passed."""
        with self.changed:
            self.host_lists.append((time.time(), json.loads(handler.body)))
        handler.send_json({})

    def list_hosts(self, handler: Handler) -> None:
        """Serve the host list as it was ``host_list_lag_s`` ago."""
        latest = time.time() - self.knobs["host_list_lag_s"]
        with self.changed:
            hosts = [hosts for at, hosts in self.host_lists if at <= latest][-1]
        handler.send_json(hosts)

    def read_weights(self, handler: Handler) -> None:
        """Serve a model's name in place of its weights, or 429 over the limit."""
        now = time.time()
        with self.changed:
            self.weight_reads = [at for at in self.weight_reads if at > now - 1.0]
            if len(self.weight_reads) >= self.knobs["weight_reads_per_s"]:
                handler.send_json({"error": "too many reads"}, 429)
                return
            self.weight_reads.append(now)
        handler.send_json({"model": "/".join(handler.parts[1:])})

    def count_appends(self, handler: Handler) -> None:
        """Serve the number of append requests applied to each stream."""
        with self.changed:
            counts = {name: stream.appends for name, stream in self.streams.items()}
        handler.send_json(counts)


def start_platform(address: str = "127.0.0.1:0", **knobs) -> Server:
    """Start a stand-in for the platform and return its server.

    Parameters
    ----------
    address : str
        Address to listen on, as ``address:port``; port 0 for a free one.
    **knobs
        Initial values of knobs that differ from the defaults.
    """
    server = Server(address, Platform(**knobs))
    server.start()
    return server
