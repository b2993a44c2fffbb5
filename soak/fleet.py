"""The processes of one run, their store and targets, and the proxies between."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from godwitladder.platform import names
from godwitladder.standins.ports import free_ports
from godwitladder.standins.routed import StandinServer, start_engine, start_store
from soak.proxy import Proxy

SETTINGS_TEMPLATE = """
host = "{name}"
zone = "{zone}"
region = "r"
[listen]
callers = "127.0.0.1:{ports[0]}"
readiness = "127.0.0.1:{ports[1]}"
operators = "127.0.0.1:{ports[2]}"
peers = "127.0.0.1:{ports[3]}"
[store]
address = "{store}"
[peers]
secret = "known to the hosts of one run"
seeds = {seeds}
[limits]
threads = 32
"""
SERVICE = "core"
ROUTES = (
    ("charge", "non_idempotent", {"maxAttempts": 1}),
    ("order", "non_idempotent", {}),
    ("lookup", "idempotent", {}),
    ("stream", "streaming", {"maxAttempts": 1}),
    ("resume", "streaming", {"resumable": True}),
)
GRACE_S = 8.0
ANSWER_S = 2.0
LOOK_S = 0.02
INTERPRETER_S = 0.15
"""Processor time in which the interpreter starts: five times what it takes, and a
third of what loading the host takes."""
USER_TICKS, SYSTEM_TICKS = 13, 14
"""Places in the kernel's line on a process, whose name holds no space."""
TARGET_SLOTS = 4


def make_config(version: int, keys: list[str]) -> dict:
    """Return the operator's configuration."""
    routes = [
        {
            "name": name,
            "host": "shop.example",
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 5000,
            "targetLatencyMs": 400,
            "priority": 1,
            "service": SERVICE,
            "maxAttempts": 2,
            **more,
        }
        for name, kind, more in ROUTES
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE}],
        "tenants": [{"name": "w1", "apiKeys": keys}],
    }


class Host:
    """One host: its settings file, its process, and its way to the store."""

    def __init__(self, folder: Path, name: str, zone: str, store: str) -> None:
        self.name = name
        self.zone = zone
        self.ports = free_ports(4)
        self.store = Proxy(store)
        self.door = Proxy(self.peers)
        self.path = folder / f"{name}.toml"
        self.log = (folder / f"{name}.log").open("ab")
        self.process: subprocess.Popen | None = None
        self.stopping = False
        self.ended_itself = False

    @property
    def callers(self) -> str:
        """Where callers reach it."""
        return f"127.0.0.1:{self.ports[0]}"

    @property
    def peers(self) -> str:
        """Where it listens for peers."""
        return f"127.0.0.1:{self.ports[3]}"

    def write(self, seeds: list[str]) -> None:
        """Write its settings."""
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            zone=self.zone,
            ports=self.ports,
            store=self.store.address,
            seeds=json.dumps(seeds),
        )
        self.path.write_text(text)

    def start(self) -> None:
        """Start its process."""
        self.stopping = False
        self.process = subprocess.Popen(
            [sys.executable, "-m", "godwitladder.platform"],
            env=os.environ | {names.SETTINGS_VARIABLE: str(self.path)},
            stdout=self.log,
            stderr=self.log,
        )

    def note_end(self) -> None:
        """Note if the process has ended though nobody stopped it."""
        if self.process is not None and not self.stopping:
            self.ended_itself |= self.process.poll() is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process is there."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process."""
        self.note_end()
        self.stopping = True
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def holds_signals(self) -> bool:
        """Return whether the process answers SIGTERM in a way of its own.

        SIGHUP tells nothing: where the soak itself runs under nohup, processes
        pass it over from their first moment.
        """
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        masks = dict(line.split(":\t") for line in text.splitlines() if "Sig" in line)
        return bool(int(masks["SigCgt"], 16) & 1 << signal.SIGTERM - 1)

    def is_interpreter_up(self) -> bool:
        """Return whether the interpreter has had its time to start."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().split()
        except OSError:
            return True
        ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
        return ticks / os.sysconf("SC_CLK_TCK") >= INTERPRETER_S

    def wait_for_interpreter(self) -> None:
        """Wait until the interpreter runs the program: none can answer before.

        A program that has been running for a while without care for signals is
        not waited for.
        """
        while not self.holds_signals() and not self.is_interpreter_up():
            time.sleep(LOOK_S)

    def reload(self) -> None:
        """Tell the process that its settings have changed."""
        self.wait_for_interpreter()
        self.signal(signal.SIGHUP)

    def terminate(self) -> int | None:
        """Stop the process as planned; return its status, None for none in time."""
        self.stopping = True
        self.wait_for_interpreter()
        self.signal(signal.SIGTERM)
        try:
            return self.process.wait(GRACE_S + ANSWER_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def is_ready(self) -> bool:
        """Return whether the balancer would send callers here."""
        try:
            return self.get(self.ports[1], "/")[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def status(self) -> dict:
        """Return what the host says of itself; empty if it says nothing."""
        try:
            return json.loads(self.get(self.ports[2], "/v1/status")[1])
        except (OSError, http.client.HTTPException, ValueError):
            return {}

    def get(self, port: int, path: str) -> tuple[int, bytes]:
        """Return the status and body of a page."""
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=ANSWER_S)
        with contextlib.closing(connection):
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()

    def close(self) -> None:
        """End the process and close what belongs to it."""
        if self.process is not None and self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.kill()
        self.store.close()
        self.door.close()
        self.log.close()


class Target:
    """One target behind its proxy."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.server: StandinServer = start_engine()
        self.server.standin.knobs.pause_s = 0.02
        self.server.standin.knobs.name = name
        self.proxy = Proxy(self.server.address)

    @property
    def knobs(self):
        """Return its faults."""
        return self.server.standin.knobs

    def entry(self, state: str) -> bytes:
        """Return its entry in the store."""
        row = {
            "service": SERVICE,
            "address": self.proxy.address,
            "zone": "a",
            "version": "v1",
            "slots": TARGET_SLOTS,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
        }
        return json.dumps(row).encode()

    def close(self) -> None:
        """Stop it."""
        self.proxy.close()
        self.server.shutdown()
        self.server.server_close()


class Fleet:
    """Hosts, targets and the store of one run; an exit stack owns them all."""

    def __init__(
        self, stack: contextlib.ExitStack, folder: Path, hosts: int, targets: int
    ) -> None:
        self.store = start_store()
        stack.callback(self.store.server_close)
        stack.callback(self.store.shutdown)
        self.version = 1
        self.keys = ["k1", "k2"]
        self.put_config()
        self.targets = [Target(f"e{n}") for n in range(targets)]
        for target in self.targets:
            stack.callback(target.close)
            self.enter(target, "ready")
        self.hosts = [
            Host(folder, f"h{n}", "ab"[n % 2], self.store.address) for n in range(hosts)
        ]
        for host in self.hosts:
            stack.callback(host.close)
            others = [row.door.address for row in self.hosts[:2] if row is not host]
            host.write(others)
            host.start()

    def put_config(self) -> None:
        """Put the configuration as it is now in force."""
        self.store.standin.put_config(make_config(self.version, self.keys))

    def enter(self, target: Target, state: str) -> None:
        """Write the entry of a target; an empty state takes it out."""
        value = target.entry(state) if state else b""
        self.store.standin.put(names.ENTRIES_TOPIC, target.name, value)

    def is_whole(self) -> bool:
        """Return whether every host is ready and knows of every other and target."""
        for host in self.hosts:
            row = host.status()
            known = len(row.get("hosts", ())), len(row.get("targets", ()))
            if known != (len(self.hosts), len(self.targets)):
                return False
            if row["version"] != self.version or not host.is_ready():
                return False
        return True

    def wait_whole(self, within_s: float) -> bool:
        """Wait for `is_whole`; return whether it came."""
        due = time.monotonic() + within_s
        while time.monotonic() < due:
            if self.is_whole():
                return True
            time.sleep(0.1)
        return False
