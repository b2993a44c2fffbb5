"""Many users send long bodies at once, each within the limits.

Clients on kept connections send requests with bodies of four megabytes, which the
configuration allows. At a burst there are about twice as many of them. A host holds
all bodies in memory, which it doesn't account for, and grows beyond the memory of its
machine. The platform kills it, with the requests that engines are running.
"""

import http.client
import signal
import threading
import time
from collections import Counter
from pathlib import Path

from godwitladder.platform import names
from review.common.case import has_trouble, run_case
from review.common.fleet import Fleet, HostProcess, Record, make_config

HOSTS = 2
USUAL_CLIENTS = 7
BURST_X = 1.8
BODY = b"a" * 4_190_000
DEADLINE_MS = 1500
MEMORY_MB = 222
ROUNDS = 3
GAP_S = 0.4
ENGINE_S = 0.6
POLL_S = 0.01
MAX_LOST = 3


def memory_mb(host: HostProcess) -> float:
    """Return the memory in use by a process; 0 if it has ended."""
    try:
        text = Path(f"/proc/{host.process.pid}/status").read_text()
    except OSError:
        return 0.0
    rows = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    return int(rows.get("VmRSS", "0 kB").split()[0]) / 1024


class Platform:
    """Kills a process that exceeds the memory of its machine."""

    def __init__(self, host: HostProcess, record: Record) -> None:
        self.host = host
        self.record = record
        self.peak_mb = 0.0
        self.kills = 0

    def watch(self) -> None:
        """Watch the process until it is killed."""
        while not self.kills:
            used = memory_mb(self.host)
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB:
                self.kills += 1
                self.host.signal(signal.SIGKILL)
                self.record.note(f"{self.host.name} killed at {used:.0f} MB")
            time.sleep(POLL_S)


class Uploader:
    """A client that sends long bodies on one kept connection."""

    def __init__(self, number: int, host: HostProcess, record: Record) -> None:
        self.number = number
        self.host = host
        self.record = record
        self.statuses: Counter[int] = Counter()
        self.closed: list[str] = []

    def run(self) -> None:
        """Send a short request, and then long ones."""
        address = "127.0.0.1", self.host.ports[0]
        connection = http.client.HTTPConnection(*address, timeout=10)
        for round_number in range(ROUNDS + 1):
            attempt = f"upload-{self.number}-{round_number}"
            body = BODY if round_number else b""
            headers = {
                "Host": "shop.example",
                names.ATTEMPT: attempt,
                names.DEADLINE_MS: str(DEADLINE_MS),
                "Authorization": "Bearer kept-key",
            }
            try:
                connection.request("POST", "/lookup/x", body=body, headers=headers)
                answer = connection.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException) as error:
                self.closed.append(attempt)
                self.record.note(f"{attempt} got no answer: {error!r}")
                break
            self.statuses[answer.status] += 1
            self.record.note(f"{attempt} answered {answer.status}")
            time.sleep(GAP_S)
        connection.close()


def play(record: Record, folder: Path) -> bool:
    """Return whether requests on kept connections were lost."""
    fleet = Fleet(folder, HOSTS, memory_mb=MEMORY_MB)
    fleet.add_engines("core", 9, pause_s=ENGINE_S)
    fleet.store.put_config(make_config(1, []))
    try:
        fleet.start()
        host = fleet.hosts[0]
        platform = Platform(host, record)
        threading.Thread(target=platform.watch, daemon=True).start()
        time.sleep(4.0)
        count = int(USUAL_CLIENTS * (BURST_X if has_trouble() else 1))
        uploaders = [Uploader(number, host, record) for number in range(count)]
        threads = [threading.Thread(target=row.run) for row in uploaders]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        ran = fleet.runs()
        lost = [row for client in uploaders for row in client.closed if row in ran]
        record.note(f"clients: {count}, lost though run: {lost}, allowed: {MAX_LOST}")
        record.note(f"most memory: {platform.peak_mb:.0f} MB, kills: {platform.kills}")
        return len(lost) > MAX_LOST
    finally:
        fleet.close()


if __name__ == "__main__":
    run_case(__file__, play)
