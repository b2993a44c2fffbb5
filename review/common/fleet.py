"""Hosts of a small deployment as processes, before stand-ins of store and engines.

The hosts are started with the command of `deploy/system.toml`, with settings made
from `deploy/settings.toml.in`. Everything listens on loopback addresses.
"""

import contextlib
import http.client
import itertools
import json
import os
import re
import signal
import subprocess
import threading
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

from godwitladder.platform import names
from godwitladder.standins.ports import free_ports
from godwitladder.standins.routed import (
    HEALTH_PATH,
    READ_HEADER,
    RECORD_LENGTH,
    Engine,
    EngineHandler,
    StandinServer,
    Store,
    StoreHandler,
    read_page,
)

ROOT = Path(__file__).resolve().parents[2]
BEAT_S = 1.2
MEMORY_MB = 222
MAX_READ_BYTES = 1_024 * 1_024
READY_TIMEOUT_S = 20.0
BOUNDS = {
    "revokeMs": 5000,
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "retrySlack": 108,
    "budgetWindowS": 10,
    "quotaWindowS": 8,
    "quotaSlack": 140000,
}


class Record:
    """The file in which a case notes what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def note(self, text: str) -> None:
        """Write one line with the time since the start."""
        with self.lock:
            print(f"{self.now():8.3f} {text}", file=self.file, flush=True)

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class SilenceableStore(StoreHandler):
    """Answers calls to the store, unless its listener is silent or busy.

    A read returns at most 1,024 KB of records, as the users' pages say.
    """

    def do_GET(self) -> None:
        """Serve a read with its limit, and all other calls as the project's store."""
        url = urlsplit(self.path)
        if url.path != names.READ:
            super().do_GET()
            return
        if self.send_failure():
            return
        query = dict(parse_qsl(url.query))
        store, start = self.server.standin, int(query["from"])
        with store.lock:
            partition = store.topics[query["topic"]]
            status, body = read_page(partition, start)
        self.answer(status, body if status != 200 else first_records(body))

    def send_failure(self) -> bool:
        """Return whether the call gets no answer, or is turned away."""
        server = self.server
        if server.busy.is_set():
            self.answer(503, b"")
            return True
        if not server.silent.is_set():
            return False
        while server.silent.is_set():
            time.sleep(0.01)
        self.close_connection = True
        return True


def first_records(body: bytes) -> bytes:
    """Return the body of a read with as many whole records as fit into one answer."""
    end = READ_HEADER.size
    while end < len(body):
        (length,) = RECORD_LENGTH.unpack_from(body, end)
        next_end = end + RECORD_LENGTH.size + length
        if next_end > MAX_READ_BYTES and end > READ_HEADER.size:
            break
        end = next_end
    return body[:end]


class StoreListener(StandinServer):
    """One address of the store; each host has its own."""

    def __init__(self, store: Store) -> None:
        self.silent = threading.Event()
        self.busy = threading.Event()
        super().__init__(SilenceableStore, store)


def serve(server: StandinServer) -> StandinServer:
    """Run ``server`` in a thread and return it."""
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class EngineProcess:
    """A stand-in engine that writes its entry into the store."""

    def __init__(self, store: Store, name: str, service: str, **knobs) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.slots = 9
        self.sequence = 0
        self.server = serve(StandinServer(EngineHandler, Engine()))
        self.engine = self.server.standin
        self.engine.knobs.name = name
        self.engine.knobs.pause_s = 0.02
        for knob, value in knobs.items():
            setattr(self.engine.knobs, knob, value)

    def write(self, state: str = "ready") -> None:
        """Write the entry, as a heartbeat does."""
        self.sequence += 1
        row = {
            "service": self.service,
            "address": self.server.address,
            "zone": "zone-a",
            "version": 1,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": 1_700_000_000_000,
        }
        self.store.put(names.ENTRIES_TOPIC, self.name, json.dumps(row).encode())


class HostProcess:
    """One host: its settings file, its process, and its own address of the store."""

    def __init__(
        self, folder: Path, name: str, store: Store, zone: str, memory_mb: int
    ) -> None:
        self.name = name
        self.memory_mb = memory_mb
        self.zone = zone
        self.store = serve(StoreListener(store))
        self.ports = free_ports(4)
        self.path = folder / f"{name}.toml"
        self.log_path = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    @property
    def control(self) -> str:
        """Address for peers."""
        return f"127.0.0.1:{self.ports[3]}"

    def write_settings(self, seeds: list[str], first_start: bool) -> None:
        """Write the settings file from the template of the deploy folder."""
        fields = {
            "nodeName": self.name,
            "zone": self.zone,
            "region": "region-a",
            "ip": "127.0.0.1",
            "bootstrap": first_start,
            "seedNodes": seeds,
            "listen": {
                "front": f"127.0.0.1:{self.ports[0]}",
                "ready": f"127.0.0.1:{self.ports[1]}",
                "control": self.control,
            },
            "portRange": [self.ports[2], self.ports[2]],
            "platform": {"address": self.store.address},
            "bounds": BOUNDS,
            "limits": {"cpuShare": 0.731, "cores": 1, "memoryMb": self.memory_mb},
        }
        template = (ROOT / "deploy/settings.toml.in").read_text(encoding="utf-8")
        self.path.write_text(fill(template, fields), encoding="utf-8")

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    names.SETTINGS_VARIABLE: str(self.path),
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def is_ready(self) -> bool:
        """Return whether the readiness probe gets 200."""
        connection = http.client.HTTPConnection("127.0.0.1", self.ports[1], timeout=2)
        with contextlib.closing(connection):
            try:
                connection.request("GET", "/api/readiness")
                return connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                return False

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            self.process.wait()


def fill(template: str, fields: dict) -> str:
    """Return ``template`` with the platform's placeholders filled in."""

    def section(match: re.Match) -> str:
        has_value = bool(find(fields, match[1]))
        return match[2] if has_value else ""

    def value(match: re.Match) -> str:
        name, _, form = match[1].partition("|")
        found = find(fields, name)
        return json.dumps(found) if form == "json" else str(found)

    text = re.sub(r"(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template)
    return re.sub(r"\{\{([\w.|]+)\}\}", value, text)


def find(fields: dict, name: str):
    """Return the value with a dotted name; None if there is none."""
    found = fields
    for part in name.split("."):
        if isinstance(found, list):
            found = found[int(part)]
        else:
            found = found.get(part) if isinstance(found, dict) else None
    return found


class Fleet:
    """Hosts, engines and the store of one case."""

    def __init__(
        self,
        folder: Path,
        hosts: int,
        first_start: bool = False,
        memory_mb: int = MEMORY_MB,
    ) -> None:
        self.store = Store()
        self.engines: list[EngineProcess] = []
        self.hosts = [
            HostProcess(
                folder, f"edge-{number}", self.store, f"zone-{number}", memory_mb
            )
            for number in range(hosts)
        ]
        seeds = [host.control for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(seeds, first_start)
        self.closing = threading.Event()

    def add_engines(self, service: str, count: int, **knobs) -> None:
        """Start ``count`` engines of a service."""
        for number in range(count):
            name = f"i-{service}-{number}"
            self.engines.append(EngineProcess(self.store, name, service, **knobs))

    def beat(self) -> None:
        """Let the engines write their entries until the end."""
        for engine in itertools.cycle(tuple(self.engines)):
            if self.closing.wait(BEAT_S / len(self.engines)):
                return
            engine.write()

    def start(self) -> None:
        """Start all, and wait until the hosts are ready.

        Raises
        ------
        TimeoutError
            They were not.
        """
        for engine in self.engines:
            engine.write()
        threading.Thread(target=self.beat, daemon=True).start()
        for host in self.hosts:
            host.start()
        self.wait_ready()

    def wait_ready(self) -> None:
        """Wait until all hosts are ready.

        Raises
        ------
        TimeoutError
            They were not.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not all(host.is_ready() for host in self.hosts):
            if time.monotonic() > deadline:
                raise TimeoutError("the hosts are not ready")
            time.sleep(0.1)

    def set_silent(self, silent: bool) -> None:
        """Let the store answer no host, or all."""
        for host in self.hosts:
            if silent:
                host.store.silent.set()
            else:
                host.store.silent.clear()

    def runs(self) -> dict[str, float]:
        """Return when each attempt ran first, in monotonic seconds."""
        first: dict[str, float] = {}
        for engine in self.engines:
            for run in list(engine.engine.runs):
                attempt = run.headers.get(names.ATTEMPT.lower(), "")
                first[attempt] = min(first.get(attempt, run.at), run.at)
        return first

    def close(self) -> None:
        """End all processes."""
        self.closing.set()
        for host in self.hosts:
            host.end()


def make_config(version: int, keys: list[str], **tenant) -> dict:
    """Return a configuration with one service, and a tenant for these keys."""
    route = {"host": "shop.example", "timeoutMs": 1500, "targetLatencyMs": 200}
    route |= {"service": "core", "priority": 2, "maxAttempts": 2}
    kinds = {"lookup": "idempotent", "charge": "non_idempotent"}
    return {
        "version": version,
        "limits": {"maxHeaderBytes": 65536, "maxBodyBytes": 4194304},
        "routes": [
            {"name": name, "pathPrefix": f"/{name}/", "kind": kind} | route
            for name, kind in kinds.items()
        ],
        "services": [{"name": "core", "healthPath": HEALTH_PATH}],
        "tenants": [
            {"name": "kept", "apiKeys": ["kept-key"]},
            {"name": "left", "apiKeys": keys} | tenant,
        ],
    }
