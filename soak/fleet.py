"""The host processes, store and targets of one run, and the proxies between them."""

import contextlib
import enum
import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path

from godwitladder.platform import names
from godwitladder.standins.ports import free_ports
from godwitladder.standins.routed import (
    HEALTH_PATH,
    Ending,
    StandinServer,
    start_engine,
    start_store,
)
from soak import host_process
from soak.proxy import CutMode, Proxy

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
threads = {threads}
connections = {connections}
"""
QUOTA_TEMPLATE = """
[bounds]
quota_slack = {quota_slack}
"""
SERVICE = "core"
ROUTES = (
    ("charge", "non_idempotent", {"maxAttempts": 1}),
    ("order", "non_idempotent", {}),
    ("lookup", "idempotent", {}),
    ("stream", "streaming", {"maxAttempts": 1}),
    ("resume", "streaming", {"resumable": True}),
)
SHUTDOWN_GRACE_S = 8.0
HTTP_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.02
INTERPRETER_START_CPU_S = 0.15
"""CPU time after which the interpreter counts as started.

This is five times what its start takes, and a third of what loading the host takes.
"""
UTIME_FIELD, STIME_FIELD = 13, 14
"""Zero-based fields of /proc/PID/stat, if the process name contains no space."""
TARGET_SLOTS = 4
OTHER_KEY = "other"
"""Key of a second workspace."""
EXPIRY_S = 1.0
"""Seconds after which the entry of a target that has ended is removed."""
DRAIN_S = 3.0
RESTART_S = 2.0
"""Seconds after which a new process of it has started, under a new name."""
OTHER_PROCESS = "another"


class AddressAfterEnd(enum.Enum):
    """How the address of a target behaves once its process has ended.

    Attributes
    ----------
    REFUSES
        It refuses connections.
    CLOSES
        It accepts connections and closes them unread.
    HOLDS
        It accepts connections and holds them without a word.
    TAKEN
        Another process has it at once, which turns all requests away.
    """

    REFUSES = "refuses"
    CLOSES = "closes"
    HOLDS = "holds"
    TAKEN = "taken"


@dataclass(frozen=True)
class Aftermath:
    """What follows when the process of a target has ended.

    Attributes
    ----------
    address : AddressAfterEnd
        How its address behaves until it is back.
    restart_s : float
        Seconds after which a new process has started, under a new name.
    has_expiry : bool
        Whether its entry is removed after `EXPIRY_S`; otherwise it stays until the
        new process replaces it.
    """

    address: AddressAfterEnd = AddressAfterEnd.REFUSES
    restart_s: float = RESTART_S
    has_expiry: bool = True


@dataclass(frozen=True)
class HostLimits:
    """Requests that a host serves at once, and connections that it keeps open."""

    threads: int = 32
    connections: int = 1000


def make_config(version: int, keys: list[str]) -> dict:
    """Return the configuration document that an operator would publish."""
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
            **overrides,
        }
        for name, kind, overrides in ROUTES
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "healthPath": HEALTH_PATH}],
        "tenants": [
            {"name": "w1", "apiKeys": keys},
            {"name": "w2", "apiKeys": [OTHER_KEY]},
        ],
    }


class Host:
    """A host: its settings file, its process, and the proxies around it.

    One proxy leads from the host to the store, the other from peers to the host.

    Attributes
    ----------
    paths : dict
        Proxies that lead from the host alone to targets, by the target's address.
    peer_paths : dict
        Proxies that lead from the host alone to peers, by the peer's address.
    quota_slack : float
        Tokens that a workspace may run beyond its quota in a window.
    limits : HostLimits
        What it serves at most.
    """

    def __init__(self, folder: Path, name: str, zone: str, store: str) -> None:
        self.name = name
        self.zone = zone
        self.ports = free_ports(4)
        self.store_proxy = Proxy(store)
        self.peer_proxy = Proxy(self.peer_address)
        self.paths: dict[str, Proxy] = {}
        self.peer_paths: dict[str, Proxy] = {}
        self.quota_slack = 0.0
        self.limits = HostLimits()
        self.settings_path = folder / f"{name}.toml"
        self.log = (folder / f"{name}.log").open("ab")
        self.process: subprocess.Popen | None = None
        self.stopping = False
        self.exited_unexpectedly = False

    @property
    def caller_address(self) -> str:
        """Address at which the host accepts callers."""
        return f"127.0.0.1:{self.ports[0]}"

    @property
    def peer_address(self) -> str:
        """Address at which the host accepts peers."""
        return f"127.0.0.1:{self.ports[3]}"

    def make_paths(self, targets: Iterable["Target"]) -> None:
        """Give the host paths of its own to ``targets``."""
        addresses = [target.proxy.address for target in targets]
        self.paths = {address: Proxy(address) for address in addresses}

    def cut_paths(self, mode: CutMode) -> None:
        """Cut all paths of the host's own to the targets."""
        for path in self.paths.values():
            path.cut(mode)

    def restore_paths(self) -> None:
        """Restore all paths of the host's own to the targets."""
        for path in self.paths.values():
            path.restore()

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file; ``seeds`` are addresses of peers."""
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            zone=self.zone,
            ports=self.ports,
            store=self.store_proxy.address,
            seeds=json.dumps(seeds),
            threads=self.limits.threads,
            connections=self.limits.connections,
        )
        text += QUOTA_TEMPLATE.format(quota_slack=self.quota_slack)
        self.settings_path.write_text(text)

    def start(self) -> None:
        """Start the process."""
        self.stopping = False
        paths = self.paths | self.peer_paths
        proxies = {address: path.address for address, path in paths.items()}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "soak.host_process"],
            env=os.environ
            | {
                names.SETTINGS_VARIABLE: str(self.settings_path),
                host_process.VARIABLE: json.dumps(proxies),
            },
            stdout=self.log,
            stderr=self.log,
        )

    def record_unexpected_exit(self) -> None:
        """Record whether the process has exited without being stopped."""
        if self.process is not None and not self.stopping:
            self.exited_unexpectedly |= self.process.poll() is not None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.record_unexpected_exit()
        self.stopping = True
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def handles_sigterm(self) -> bool:
        """Return whether the process has installed a handler for SIGTERM.

        SIGHUP would not show this: if the soak test itself runs under nohup, its
        child processes ignore SIGHUP from the start.
        """
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return False
        masks = dict(line.split(":\t") for line in text.splitlines() if "Sig" in line)
        return bool(int(masks["SigCgt"], 16) & 1 << signal.SIGTERM - 1)

    def has_interpreter_started(self) -> bool:
        """Return whether the process has used enough CPU time to have started.

        True also if the process no longer exists.
        """
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().split()
        except OSError:
            return True
        ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
        return ticks / os.sysconf("SC_CLK_TCK") >= INTERPRETER_START_CPU_S

    def wait_for_interpreter(self) -> None:
        """Wait until the interpreter has started and runs the program.

        No Python program can handle signals earlier. A program that has used
        `INTERPRETER_START_CPU_S` without installing a handler is not waited for.
        """
        while not self.handles_sigterm() and not self.has_interpreter_started():
            time.sleep(POLL_INTERVAL_S)

    def reload(self) -> None:
        """Make the process reload its settings."""
        self.wait_for_interpreter()
        self.send_signal(signal.SIGHUP)

    def terminate(self) -> int | None:
        """Stop the process gracefully; return its exit status.

        A process that has not exited in time is killed, and None is returned.
        """
        self.stopping = True
        self.wait_for_interpreter()
        self.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(SHUTDOWN_GRACE_S + HTTP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        try:
            return self.http_get(self.ports[1], "/")[0] == 200
        except (OSError, http.client.HTTPException):
            return False

    def status(self) -> dict:
        """Return the status that the host reports; empty if it can't be read."""
        try:
            return json.loads(self.http_get(self.ports[2], "/v1/status")[1])
        except (OSError, http.client.HTTPException, ValueError):
            return {}

    def http_get(self, port: int, path: str) -> tuple[int, bytes]:
        """Return the HTTP status and body of a GET request."""
        connection = http.client.HTTPConnection(
            "127.0.0.1", port, timeout=HTTP_TIMEOUT_S
        )
        with contextlib.closing(connection):
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()

    def close(self) -> None:
        """Kill the process, and close the proxies and the log file."""
        if self.process is not None and self.process.poll() is None:
            self.send_signal(signal.SIGCONT)
            self.kill()
        self.store_proxy.close()
        self.peer_proxy.close()
        for path in (self.paths | self.peer_paths).values():
            path.close()
        self.log.close()


class Target:
    """A stand-in target behind a proxy."""

    def __init__(self, name: str, service: str = SERVICE) -> None:
        self.name = self.first_name = name
        self.incarnation = 0
        self.is_ending = False
        self.aftermath = Aftermath()
        self.lock = threading.Lock()
        self.version = "v1"
        self.service = service
        self.started_ms = 1_700_000_000_000
        self.server: StandinServer = start_engine()
        self.server.standin.knobs.pause_s = 0.02
        self.server.standin.knobs.name = name
        self.proxy = Proxy(self.server.address)

    @property
    def knobs(self):
        """Return the switches for the faults of the stand-in."""
        return self.server.standin.knobs

    def make_entry(self, state: str) -> bytes:
        """Return the encoded entry of the target in the store."""
        row = {
            "service": self.service,
            "address": self.proxy.address,
            "zone": "a",
            "version": self.version,
            "slots": TARGET_SLOTS,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self.started_ms,
        }
        return json.dumps(row).encode()

    def end(self, ending: Ending, write_entry: Callable[["Target", str], None]) -> None:
        """End the process of the target, and start another one in its place.

        Two requests may end it at the same moment. If each started a process, the entry
        of the first would stay, and all that is sent to it be turned away.
        """
        with self.lock:
            if self.is_ending:
                return
            self.is_ending = True
        self.close_address(ending)
        threading.Thread(
            target=self.restart, args=(ending, write_entry), daemon=True
        ).start()

    def close_address(self, ending: Ending) -> None:
        """Let the address behave as it does once the process has ended."""
        address = self.aftermath.address
        if ending is Ending.SILENT:
            self.proxy.cut(CutMode.HANG)
            self.proxy.blackhole()
        elif address is AddressAfterEnd.TAKEN:
            self.knobs.name = OTHER_PROCESS
            self.proxy.reset()
        elif address is AddressAfterEnd.REFUSES:
            self.proxy.cut(CutMode.RESET)
        else:
            self.proxy.accept_in_vain(closes=address is AddressAfterEnd.CLOSES)

    def restart(
        self, ending: Ending, write_entry: Callable[["Target", str], None]
    ) -> None:
        """Remove the entry of a process that has ended, and start another one."""
        ended = self.aftermath
        waited_s = EXPIRY_S if ended.has_expiry else ended.restart_s
        time.sleep(waited_s)
        write_entry(self, "")
        time.sleep(ended.restart_s - waited_s)
        self.renew()
        if ending is not Ending.SILENT:
            self.proxy.reset()
        with self.lock:
            self.is_ending = False
        self.proxy.restore()
        write_entry(self, "ready")

    def replace(
        self, version: str, write_entry: Callable[["Target", str], None]
    ) -> None:
        """Replace the process by one of another version, as in a roll-out."""
        write_entry(self, "draining")
        time.sleep(DRAIN_S)
        write_entry(self, "")
        self.proxy.reset()
        self.renew()
        self.version = self.knobs.version = version
        write_entry(self, "ready")

    def renew(self) -> None:
        """Give the target the name and start time of a new process."""
        self.incarnation += 1
        self.name = self.knobs.name = f"{self.first_name}-{self.incarnation}"
        self.started_ms += 1

    def close(self) -> None:
        """Stop the proxy and the server."""
        self.proxy.close()
        self.server.shutdown()
        self.server.server_close()


class Fleet:
    """The hosts, targets and store of one run; the exit stack closes them all.

    Parameters
    ----------
    stack : ExitStack
        Owns all that the fleet starts.
    folder : Path
        Where settings and logs of the hosts are written.
    hosts, targets : int
        Number of hosts and of targets.
    zones : str, default="ab"
        Availability zones, one letter each, which the hosts take in turn.
    has_own_paths : bool, default=False
        Whether each host has proxies of its own to the targets, so that its paths
        can be cut while those of other hosts stay.
    has_peer_paths : bool, default=False
        Whether each host has proxies of its own to its peers, so that it can be cut
        off from them.
    services : tuple of str
        Services that the targets serve in turn.
    quota_slack : float, default=0.0
        Tokens that a workspace may run beyond its quota in a window.
    limits : HostLimits or None
        What each host serves at most.
    """

    def __init__(
        self,
        stack: contextlib.ExitStack,
        folder: Path,
        hosts: int,
        targets: int,
        zones: str = "ab",
        has_own_paths: bool = False,
        has_peer_paths: bool = False,
        services: tuple[str, ...] = (SERVICE,),
        quota_slack: float = 0.0,
        limits: HostLimits | None = None,
    ) -> None:
        self.store = start_store()
        stack.callback(self.store.server_close)
        stack.callback(self.store.shutdown)
        self.version = 1
        self.keys = ["k1", "k2"]
        self.written: dict[str, bytes] = {}
        self.write_lock = threading.Lock()
        self.put_config()
        self.targets = [
            Target(f"e{n}", services[n % len(services)]) for n in range(targets)
        ]
        for target in self.targets:
            stack.callback(target.close)
            self.write_entry(target, "ready")
        self.hosts = []
        for number in range(hosts):
            zone = zones[number % len(zones)]
            host = Host(folder, f"h{number}", zone, self.store.address)
            host.quota_slack = quota_slack
            host.limits = limits or HostLimits()
            if has_own_paths:
                host.make_paths(self.targets)
            self.hosts.append(host)
        if has_peer_paths:
            self.make_peer_paths()
        for host in self.hosts:
            stack.callback(host.close)
            # A seed that is a proxy is dialled again and again, since no link has its
            # address, and each time the link to that peer is replaced.
            others = [
                row.peer_address
                if has_own_paths or has_peer_paths
                else row.peer_proxy.address
                for row in self.hosts[:2]
                if row is not host
            ]
            host.write_settings(others)
            host.start()

    def make_peer_paths(self) -> None:
        """Give each host paths of its own to all others."""
        for host in self.hosts:
            others = [row.peer_address for row in self.hosts if row is not host]
            host.peer_paths = {address: Proxy(address) for address in others}

    def paths_between_peers(self, host: Host) -> list[Proxy]:
        """Return the proxies between a host and its peers, in both directions."""
        address = host.peer_address
        others = [row.peer_paths[address] for row in self.hosts if row is not host]
        return [*host.peer_paths.values(), *others]

    def make_config(self) -> dict:
        """Return the configuration document to publish."""
        return make_config(self.version, self.keys)

    def put_config(self) -> None:
        """Publish the current version and keys to the store."""
        self.store.standin.put_config(self.make_config())

    def write_entry(self, target: Target, state: str) -> None:
        """Write the entry of a target; an empty ``state`` deletes it."""
        value = target.make_entry(state) if state else b""
        with self.write_lock:
            self.written[target.name] = value
            self.store.standin.put(names.ENTRIES_TOPIC, target.name, value)

    def renew_entries(self) -> None:
        """Write the entry of each registered target again, as their heartbeats do."""
        with self.write_lock:
            for name, value in self.written.items():
                if value:
                    self.store.standin.put(names.ENTRIES_TOPIC, name, value)

    def write_again(self) -> None:
        """Write what the store has lost, as the operator and the targets do."""
        self.put_config()
        with self.write_lock:
            newest = self.store.standin.topics[names.ENTRIES_TOPIC].newest()
            for name, value in self.written.items():
                if newest.get(name, (0, b""))[1] != value:
                    self.store.standin.put(names.ENTRIES_TOPIC, name, value)

    def is_converged(self) -> bool:
        """Return whether every host is ready and up to date.

        An up-to-date host knows all hosts, all targets and the current version of
        the configuration.
        """
        for host in self.hosts:
            row = host.status()
            known = len(row.get("hosts", ())), len(row.get("targets", ()))
            if known != (len(self.hosts), len(self.targets)):
                return False
            if row["version"] != self.version or not host.is_ready():
                return False
        return True

    def wait_until_converged(self, within_s: float) -> bool:
        """Wait up to ``within_s`` seconds for `is_converged`; return if it held."""
        deadline = time.monotonic() + within_s
        while time.monotonic() < deadline:
            if self.is_converged():
                return True
            time.sleep(0.1)
        return False
