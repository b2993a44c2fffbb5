"""Starts and stops the processes of the stand-ins and entry hosts."""

import contextlib
import hashlib
import json
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from godwitladder.standins.ports import free_ports

SECRET = "a secret of the demonstration"
OPERATOR_TOKEN = "demo-operator"
ADVISER_KEY = "demo-adviser"
RETURNS_KEY = "demo-returns"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
LOG_TAIL_CHARS = 1000

ENGINES = ("engine-a1", "engine-a2")
ENGINE_KNOBS = {"decode_tps": 200.0, "slots": 4}
HOSTS = (("host-a1", "a"), ("host-a2", "a"), ("host-b1", "b"))


class DemoError(Exception):
    """The fleet did not reach an expected state."""


@dataclass
class Host:
    """An entry host and its process.

    Attributes
    ----------
    name : str
        Name of the host.
    zone : str
        Availability zone of the host.
    callers, operators, peers : str
        Addresses on which it listens for callers, operators and other hosts, as
        ``address:port``.
    process : subprocess.Popen or None
        The running process; None before its start.
    """

    name: str
    zone: str
    callers: str
    operators: str
    peers: str
    process: subprocess.Popen | None = None


@dataclass
class Fleet:
    """The processes of the demonstration.

    Attributes
    ----------
    folder : Path
        Directory for the settings and logs of the hosts.
    stack : contextlib.ExitStack
        Stops the processes when it is closed.
    platform, service : str
        Addresses of the stand-ins for the platform and a plain service.
    engines : dict of str to str
        Addresses of the stand-ins for engines, by target name.
    hosts : list of Host
        The entry hosts.
    http : urllib3.PoolManager
        Client for all requests, which doesn't retry.
    """

    folder: Path
    stack: contextlib.ExitStack
    platform: str = ""
    engines: dict[str, str] = field(default_factory=dict)
    service: str = ""
    hosts: list[Host] = field(default_factory=list)
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, maxsize=200)
    )

    def start(self) -> None:
        """Start every process, wait for the hosts, and submit the first ticket."""
        self.platform = self.start_standin("platform")
        self.service = self.start_standin("service")
        for name in ENGINES:
            self.engines[name] = self.start_standin("engine")
            self.set_knobs(self.engines[name], **ENGINE_KNOBS)
        ports = iter(free_ports(3 * len(HOSTS)))
        for name, zone in HOSTS:
            listen = [f"127.0.0.1:{next(ports)}" for _ in range(3)]
            self.hosts.append(Host(name, zone, *listen))
        for host in self.hosts:
            self.start_host(host)
        host_list = [
            {"address": host.peers, "zone": host.zone, "leaving": False}
            for host in self.hosts
        ]
        self.send_request(
            "POST", f"http://{self.platform}/hosts", json.dumps(host_list)
        )
        for host in self.hosts:
            wait_for(lambda host=host: self.is_ready(host), f"{host.name} to be ready")
        # Before the hosts are linked, a host refuses calls whose idempotency key
        # another host holds. The demonstration doesn't cover that.
        for host in self.hosts:
            wait_for(lambda host=host: self.is_linked(host), f"links of {host.name}")
        self.configure()

    def start_standin(self, kind: str) -> str:
        """Start a stand-in process and return the address that it prints."""
        command = [sys.executable, "-m", "godwitladder", "standin", kind]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.stack.callback(stop_process, process)
        return process.stdout.readline().strip()

    def start_host(self, host: Host) -> None:
        """Start the process of ``host``, with settings and log in ``folder``."""
        path = self.folder / f"{host.name}.toml"
        path.write_text(settings_text(host, self))
        command = [sys.executable, "-m", "godwitladder", "serve", "--settings", path]
        with open(self.folder / f"{host.name}.log", "ab") as output:
            host.process = subprocess.Popen(command, stderr=output)
        self.stack.callback(stop_process, host.process)

    def configure(self, extra: str = "", slots: int = 4) -> None:
        """Submit the ticket and wait until it is in force on every host.

        Parameters
        ----------
        extra : str
            Tables to add to the ticket, in TOML.
        slots : int
            Maximum number of requests that each engine runs at once.

        Raises
        ------
        DemoError
            If the ticket is refused, or not in force in time.
        """
        answer = self.send_request(
            "POST",
            f"http://{self.hosts[0].operators}/v1/tickets",
            f"{ticket_text(self, slots)}\n{extra}",
            OPERATOR_TOKEN,
        )
        if answer.status != 202:
            raise DemoError(f"the ticket was refused: {answer.data.decode()}")
        offset = json.loads(answer.data)["offset"]
        for host in self.hosts:
            wait_for(
                lambda host=host: self.config_offset(host) > offset,
                f"the ticket to be in force on {host.name}",
            )

    def send_request(
        self, method: str, url: str, body: str | None = None, token: str = ""
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the answer, read to its end."""
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        return self.http.request(method, url, body=body, headers=headers, timeout=30)

    def is_ready(self, host: Host) -> bool:
        """Return whether ``host`` reports that it is ready.

        Raises
        ------
        DemoError
            If its process has exited.
        """
        if host.process.poll() is not None:
            log_tail = (self.folder / f"{host.name}.log").read_text()[-LOG_TAIL_CHARS:]
            raise DemoError(f"{host.name} exited during startup: {log_tail}")
        try:
            return (
                self.send_request("GET", f"http://{host.operators}/readyz").status
                == 200
            )
        except urllib3.exceptions.HTTPError:
            return False

    def is_linked(self, host: Host) -> bool:
        """Return whether ``host`` has a link to every other host."""
        metrics = self.send_request(
            "GET", f"http://{host.operators}/metrics"
        ).data.decode()
        return f"godwitladder_peer_links {len(self.hosts) - 1}\n" in metrics

    def config_offset(self, host: Host) -> int:
        """Return the offset of the configuration in force on ``host``."""
        url = f"http://{host.operators}/v1/status"
        return json.loads(self.send_request("GET", url, token=OPERATOR_TOKEN).data)[
            "config_offset"
        ]

    def set_knobs(self, address: str, **knobs) -> None:
        """Set knobs of a stand-in."""
        self.send_request("POST", f"http://{address}/knobs", json.dumps(knobs))

    def engine_runs(self) -> dict[str, int]:
        """Return how often the engines ran each prompt, by its digest."""
        counts: dict[str, int] = {}
        for address in self.engines.values():
            for row in json.loads(
                self.send_request("GET", f"http://{address}/ran").data
            ):
                counts[row["digest"]] = counts.get(row["digest"], 0) + row["runs"]
        return counts

    def service_runs(self, body: bytes) -> int:
        """Return how often the plain service ran ``body``."""
        rows = json.loads(self.send_request("GET", f"http://{self.service}/ran").data)
        digest = hashlib.sha256(body).hexdigest()
        return sum(row["digest"] == digest for row in rows)


def prompt_digest(messages: list) -> str:
    """Return the digest by which an engine stand-in records a prompt."""
    return hashlib.sha256(json.dumps(messages).encode()).hexdigest()


def settings_text(host: Host, fleet: Fleet) -> str:
    """Return the settings of ``host`` in TOML."""
    seeds = [other.peers for other in fleet.hosts if other is not host]
    digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
    return f"""
host = "{host.name}"
zone = "{host.zone}"
operator_token_digests = ["{digest}"]
[listen]
callers = "{host.callers}"
operators = "{host.operators}"
peers = "{host.peers}"
[platform]
log = "http://{fleet.platform}"
hosts = "http://{fleet.platform}"
[peers]
secret = "{SECRET}"
seeds = {json.dumps(seeds)}
"""


def ticket_text(fleet: Fleet, slots: int) -> str:
    """Return the first ticket: two tiers, two workspaces, three services."""
    keys = [
        hashlib.sha256(key.encode()).hexdigest() for key in (ADVISER_KEY, RETURNS_KEY)
    ]
    lines = [
        'number = 1\noperator = "hanna"\nreason = "opening of the season"',
        "[tiers.urgent]\nrank = 0\n[tiers.normal]\nrank = 1",
        f'[workspaces.advisers]\ntier = "urgent"\nkey_digests = ["{keys[0]}"]',
        f'[workspaces.returns]\ntier = "normal"\nkey_digests = ["{keys[1]}"]',
        '[services.adviser-letters]\nkind = "model"\nidempotent = true',
        '[services.charge]\nkind = "plain"\nidempotent = false',
        '[services.order]\nkind = "plain"\nidempotent = false',
        f'[targets.subscription-core]\naddress = "{fleet.service}"\nzone = "a"\n'
        'services = ["charge", "order"]\nslots = 8',
    ]
    for name, address in fleet.engines.items():
        lines.append(
            f'[targets.{name}]\naddress = "{address}"\nzone = "a"\n'
            f'services = ["adviser-letters"]\nslots = {slots}\n'
            "memory_tokens = 1000000\n"
            "prefill_tps = 8000\ndecode_tps = 200"
        )
    return "\n".join(lines)


def wait_for(condition, what: str) -> None:
    """Wait until ``condition`` returns true.

    Raises
    ------
    DemoError
        If it is still false after ``START_TIMEOUT_S``; the message names ``what``.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise DemoError(f"timed out waiting for {what}")
        time.sleep(0.05)


def stop_process(process: subprocess.Popen) -> None:
    """Terminate a process, and kill it after ``STOP_TIMEOUT_S``."""
    if process.poll() is None:
        process.terminate()
    try:
        process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()
