"""An entry of another writer in the list of engines, whose bytes can't be read.

Clients on kept connections send requests to three hosts, all of them in touch, and
engines answer each after a quarter of a second. Another writer puts an entry into
`servers/` that names a service that no configuration has, in bytes that are no UTF-8.
All hosts end at once, with the requests that sound engines are running. They are
started again, as the platform does, and end again as long as the entry stands.
"""

import http.client
import json
import threading
import time
from collections import Counter
from pathlib import Path

from godwitladder.platform import names
from review.common.case import has_trouble, run_case
from review.common.fleet import Fleet, HostProcess, Record, make_config

CLIENTS = 10
HOSTS = 3
BEFORE_S = 5.0
AFTER_S = 16.0
RESTART_S = 0.5
MAX_LOST = 3
NOTED_S = 2.0
"""Time after the entry for which the record lists each answer; later ones are counted.
"""
UNREADABLE = b"\xed\xa0\x80"
"""Three bytes that are not valid in UTF-8."""


def foreign_entry() -> bytes:
    """Return the entry of the other writer."""
    row = {
        "service": "SERVICE",
        "address": "127.0.0.1:9",
        "zone": "zone-a",
        "version": 1,
        "slots": 9,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    }
    return json.dumps(row).encode().replace(b"SERVICE", UNREADABLE)


class KeptClient:
    """A client that sends one request after the other on a kept connection."""

    def __init__(self, name: str, host: HostProcess, record: Record) -> None:
        self.name = name
        self.host = host
        self.record = record
        self.connection: http.client.HTTPConnection | None = None
        self.answers: list[tuple[str, float, int]] = []
        self.closed: list[tuple[str, float]] = []
        self.stopping = threading.Event()

    def run(self) -> None:
        """Send requests until stopped."""
        number = 0
        while not self.stopping.is_set():
            number += 1
            attempt = f"{self.name}-{number}"
            try:
                self.send(attempt)
            except (OSError, http.client.HTTPException):
                self.drop()
                time.sleep(0.2)

    def send(self, attempt: str) -> None:
        """Send one request on the kept connection, or on a new one."""
        if self.connection is None:
            address = "127.0.0.1", self.host.ports[0]
            self.connection = http.client.HTTPConnection(*address, timeout=5)
            self.connection.connect()
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: attempt,
            names.DEADLINE_MS: "1500",
            "Authorization": "Bearer kept-key",
        }
        try:
            self.connection.request("GET", "/lookup/x", headers=headers)
            answer = self.connection.getresponse()
            answer.read()
        except (OSError, http.client.HTTPException):
            self.closed.append((attempt, self.record.now()))
            raise
        self.answers.append((attempt, self.record.now(), answer.status))

    def drop(self) -> None:
        """Give the connection up."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None


def keep_running(fleet: Fleet, record: Record, until: float) -> tuple[Counter, float]:
    """Start processes again that have ended, as the platform does.

    Returns
    -------
    ends : Counter
        How often each process ended by itself.
    first_start : float
        When the first was started again. From then on its machine is not in touch.
    """
    ends: Counter[str] = Counter()
    first_start = until
    while record.now() < until:
        for host in fleet.hosts:
            status = host.process.poll()
            if status is not None:
                ends[host.name] += 1
                record.note(f"{host.name} ended by itself with status {status}")
                time.sleep(RESTART_S)
                first_start = min(first_start, record.now())
                host.start()
        time.sleep(0.05)
    return ends, first_start


def play(record: Record, folder: Path) -> bool:
    """Return whether requests on kept connections were lost."""
    fleet = Fleet(folder, HOSTS)
    fleet.add_engines("core", 9, pause_s=0.25)
    fleet.store.put_config(make_config(1, []))
    try:
        fleet.start()
        clients = [
            KeptClient(f"{host.name}-{number}", host, record)
            for host in fleet.hosts
            for number in range(CLIENTS)
        ]
        for client in clients:
            threading.Thread(target=client.run, daemon=True).start()
        time.sleep(BEFORE_S)
        written_at = record.now()
        if has_trouble():
            fleet.store.put(names.ENTRIES_TOPIC, "another", foreign_entry())
            record.note(f"another writer's entry: {foreign_entry()!r}")
        ends, first_start = keep_running(fleet, record, written_at + AFTER_S)
        for client in clients:
            client.stopping.set()
        return judge(record, fleet, clients, written_at, first_start, ends)
    finally:
        fleet.close()


def judge(
    record: Record,
    fleet: Fleet,
    clients: list[KeptClient],
    written_at: float,
    first_start: float,
    ends: Counter,
) -> bool:
    """Return whether more than three requests were lost, and note the figures.

    What is lost after the first start is not counted.
    """
    ran = fleet.runs()
    closed = [row for client in clients for row in client.closed]
    lost = [row for row, at in closed if row in ran and at < first_start]
    for attempt in lost:
        record.note(f"{attempt} ran at an engine, its connection closed unanswered")
    record.note("requests answered, and whether an engine ran them:")
    before, after = Counter(), Counter()
    for client in clients:
        for attempt, at, status in client.answers:
            (before if at < written_at else after)[status] += 1
            if at < written_at + NOTED_S:
                record.note(
                    f"{attempt} answered {status} at {at:.3f}, {attempt in ran}"
                )
    record.note(f"answers before: {dict(before)}, after: {dict(after)}")
    record.note(f"processes that ended by themselves: {dict(ends)}")
    record.note(f"lost: {len(lost)}, allowed: {MAX_LOST}")
    return len(lost) > MAX_LOST


if __name__ == "__main__":
    run_case(__file__, play)
