"""Starts hosts as the deploy file does, before a store and engines of this process.

The store and the engines are the project's stand-ins. All addresses are loopback.
"""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path

from godwitladder.platform import names
from godwitladder.standins.ports import free_ports
from godwitladder.standins.routed import Ending, start_store
from soak.fleet import Aftermath, Target
from soak.proxy import CutMode

ROOT = Path(__file__).resolve().parents[2]
RUN = ["python3", "-S", "start_host.py"]
PASSED_ON = ("PATH", "HOME", "LANG")
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
ZONES = ("zone-a", "zone-b", "zone-c")
SLOTS = 9
HOST_HEADER = "shop.example"
KEY = "k1"

SETTINGS = """host = {name}
zone = {zone}
region = "region-1"
first_start = true
[regions]
"zone-a" = "region-1"
"zone-b" = "region-1"
"zone-c" = "region-1"
[listen]
callers = "127.0.0.1:{ports[0]}"
readiness = "127.0.0.1:{ports[1]}"
peers = "127.0.0.1:{ports[2]}"
operators = "127.0.0.1:{ports[3]}"
metrics = "127.0.0.1:{ports[4]}"

[peers]
secret = "the platform hands out none"
seeds = '{seeds}'

[bounds]
revoke_ms = 5000
change_ms = 2000
grace_s = 8
repeat_ratio = 0.2
repeat_slack = 108
repeat_window_s = 10
quota_window_s = 8
quota_slack = 140000
[processor]
share = 0.731
speed = 1
[limits]
threads = 160
connections = 600
body_bytes = 4194304
header_bytes = 65536
idle_s = 15

[answers]
memory_share = 0.2
memory_mb = 222
[store]
entry_interval_ms = 1200
address = "{store}"
"""
"""What the platform makes of `deploy/settings.toml.in` for a small deployment."""


def end_case(number: int, frame: object) -> None:
    """End a case that takes too long, and with it all that it has started."""
    sys.exit(2)


class Record:
    """Writes what was sent, answered and run, a JSON line each."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def write(self, what: str, **fields) -> None:
        """Write one line."""
        now = round(time.monotonic() - self.began, 3)
        with self.lock:
            self.file.write(json.dumps({"at": now, "what": what} | fields) + "\n")
            self.file.flush()


@dataclass
class Host:
    """One host: its ports, settings file and process."""

    name: str
    zone: str
    folder: Path
    ports: list[int] = field(default_factory=lambda: free_ports(5))
    process: subprocess.Popen | None = None

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Write the settings file."""
        text = SETTINGS.format(
            name=json.dumps(self.name),
            zone=json.dumps(self.zone),
            ports=self.ports,
            seeds=json.dumps(seeds),
            store=store,
        )
        (self.folder / f"{self.name}.toml").write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        env = {name: os.environ[name] for name in PASSED_ON if name in os.environ}
        env[names.SETTINGS_VARIABLE] = str(self.folder / f"{self.name}.toml")
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                RUN, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_ready(self) -> bool:
        """Return whether the readiness probe of the platform succeeds."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[1], timeout=1.0)
        with contextlib.closing(connection):
            try:
                connection.request("GET", "/api/readiness")
                return connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                return False


@dataclass(frozen=True)
class Answer:
    """What a client got; status 0 for a connection that broke."""

    attempt: str
    status: int
    body: bytes = b""
    error: str = ""


class Fleet:
    """Store, engines and hosts of one run; the exit stack ends them all."""

    def __init__(
        self,
        stack: contextlib.ExitStack,
        record: Record,
        config: dict,
        services: tuple[str, ...],
        hosts: int = 3,
        slots: int = SLOTS,
    ) -> None:
        signal.signal(signal.SIGTERM, end_case)
        self.slots = slots
        self.record = record
        self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.store = start_store()
        stack.callback(self.store.server_close)
        stack.callback(self.store.shutdown)
        self.config = config
        self.put_config()
        self.lock = threading.Lock()
        self.entries: dict[str, bytes] = {}
        self.targets = [Target(f"engine-{n}", row) for n, row in enumerate(services)]
        for target in self.targets:
            stack.callback(target.close)
            # An engine that crashed is back after some seconds, as a new process.
            target.aftermath = Aftermath(restart_s=2.0, has_expiry=False)
            target.server.standin.on_end = self.ender(target)
            self.write_entry(target, "ready")
        self.stopping = threading.Event()
        stack.callback(self.stopping.set)
        threading.Thread(target=self.beat, daemon=True).start()
        self.hosts = [
            Host(f"edge-{n}", ZONES[n % len(ZONES)], self.folder) for n in range(hosts)
        ]
        seeds = [f"127.0.0.1:{host.ports[2]}" for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(self.store.address, seeds)
            stack.callback(host.kill)

    def ender(self, target: Target):
        """Return what ends the process of an engine under a request."""

        def end(ending: Ending) -> None:
            self.record.write("engine crashed", engine=target.name)
            target.end(ending, self.write_entry)

        return end

    def put_config(self) -> None:
        """Write the configuration, as the operator does."""
        self.store.standin.put_config(self.config)

    def write_entry(self, target: Target, state: str) -> None:
        """Write the entry of an engine; an empty ``state`` removes it."""
        row = json.loads(target.make_entry(state)) | {
            "zone": ZONES[0],
            "slots": self.slots,
        }
        value = json.dumps(row).encode()
        with self.lock:
            self.entries[target.name] = value if state else b""
            self.store.standin.put(
                names.ENTRIES_TOPIC, target.name, value if state else b""
            )

    def lose(self, target: Target) -> None:
        """Lose an engine for good; the store removes its entry after its silence."""
        target.is_ending = True
        target.proxy.cut(CutMode.RESET)
        self.record.write("engine lost", engine=target.name)
        expiry = threading.Timer(3 * HEARTBEAT_S, self.write_entry, (target, ""))
        expiry.daemon = True
        expiry.start()

    def beat(self) -> None:
        """Write the entries of the live engines again, as their heartbeats do."""
        while not self.stopping.wait(HEARTBEAT_S):
            with self.lock:
                rows = [(name, value) for name, value in self.entries.items() if value]
                live = {row.name for row in self.targets if not row.is_ending}
                for name, value in rows:
                    if name in live:
                        self.store.standin.put(names.ENTRIES_TOPIC, name, value)

    def start(self) -> None:
        """Start all hosts."""
        for host in self.hosts:
            host.start()
        self.record.write("hosts started")

    def kill_all(self) -> None:
        """Kill the processes of all hosts at once."""
        for host in self.hosts:
            host.signal(signal.SIGKILL)
        for host in self.hosts:
            host.kill()
        self.record.write("all hosts killed")

    def wait_until_ready(self, within_s: float = 20.0) -> bool:
        """Wait until the platform finds all hosts ready."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            if all(host.is_ready() for host in self.hosts):
                self.record.write("all hosts ready")
                return True
            time.sleep(0.1)
        return False

    def call(
        self,
        host: Host,
        path: str,
        body: bytes = b"",
        deadline_s: float = 5.0,
        method: str = "POST",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request on a new connection, and return what came of it."""
        return self.start_call(host, path, body, deadline_s, method, headers).finish()

    def start_call(
        self,
        host: Host,
        path: str,
        body: bytes = b"",
        deadline_s: float = 5.0,
        method: str = "POST",
        headers: dict[str, str] | None = None,
    ) -> "Call":
        """Open a connection for one request, which is not sent yet."""
        attempt = uuid.uuid4().hex[:16]
        sent = {
            "Host": HOST_HEADER,
            names.ATTEMPT: attempt,
            names.DEADLINE_MS: str(int(deadline_s * 1000)),
            "Authorization": f"Bearer {KEY}",
        }
        connection = http.client.HTTPConnection(
            "127.0.0.1", host.ports[0], timeout=deadline_s
        )
        with contextlib.suppress(OSError):
            connection.connect()
        call = Call(self.record, host, connection, attempt, path)
        call.request = (method, path, body, sent | (headers or {}))
        return call


@dataclass
class Call:
    """One request of a client on a connection of its own."""

    record: Record
    host: Host
    connection: http.client.HTTPConnection
    attempt: str
    path: str
    request: tuple = ()
    sent_at: float = 0.0
    error: str = ""

    def send(self) -> None:
        """Send the request."""
        self.sent_at = time.monotonic()
        try:
            self.connection.request(*self.request)
        except OSError as error:
            self.error = repr(error)

    def finish(self) -> Answer:
        """Send the request if it is not sent yet, and return what came of it."""
        if not self.sent_at:
            self.send()
        answer = self.read()
        self.connection.close()
        self.record.write(
            "answered",
            host=self.host.name,
            path=self.path,
            attempt=self.attempt,
            status=answer.status,
            error=answer.error,
        )
        return answer

    def read(self) -> Answer:
        """Return the answer."""
        if self.error:
            return Answer(self.attempt, 0, error=self.error)
        try:
            response = self.connection.getresponse()
            return Answer(self.attempt, response.status, response.read())
        except (OSError, http.client.HTTPException) as error:
            return Answer(self.attempt, 0, error=repr(error))


def make_config(routes: list[dict], services: tuple[str, ...], **tenant) -> dict:
    """Return a configuration of the operator."""
    defaults = {
        "host": HOST_HEADER,
        "timeoutMs": 5000,
        "targetLatencyMs": 500,
        "priority": 1,
        "maxAttempts": 2,
        "public": False,
    }
    return {
        "version": 7,
        "routes": [defaults | row for row in routes],
        "services": [{"name": name, "healthPath": "/health"} for name in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 1} | tenant],
    }
