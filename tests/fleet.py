"""A small fleet for tests.

Stand-ins run in this process, and each entry host runs in a process of its own.
"""

import contextlib
import hashlib
import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import urllib3

from godwitladder.standins.base import Server
from godwitladder.standins.engine import start_engine
from godwitladder.standins.platform import start_platform
from godwitladder.standins.ports import free_ports
from godwitladder.standins.service import start_service
from soak import host_process

SECRET = "a secret of tests"
OPERATOR_TOKEN = "operator-token"
CALLER_KEY = "adviser-key"
LOW_KEY = "returns-key"
WAIT_S = 20.0


def digest(text: str) -> str:
    """Return the SHA-256 digest of a secret, as used in settings and tickets."""
    return hashlib.sha256(text.encode()).hexdigest()


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait until ``condition`` returns true; fail after `WAIT_S`."""
    due = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < due, f"timed out waiting for {what}"
        time.sleep(0.02)


@dataclass
class Host:
    """Process and addresses of one entry host."""

    name: str
    zone: str
    callers: str
    operators: str
    peers: str
    process: subprocess.Popen | None = None
    proxies: dict[str, str] = field(default_factory=dict)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        os.kill(self.process.pid, number)


@dataclass
class Fleet:
    """Stand-ins and entry hosts, stopped by ``stack``."""

    folder: Path
    stack: contextlib.ExitStack
    platform: Server
    engines: dict[str, Server] = field(default_factory=dict)
    services: dict[str, Server] = field(default_factory=dict)
    hosts: list[Host] = field(default_factory=list)
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, maxsize=50)
    )

    def add_engine(self, name: str, **knobs) -> Server:
        """Start a stand-in for an engine."""
        server = start_engine(crash=lambda: None, **knobs)
        self.stack.callback(server.server_close)
        self.stack.callback(server.shutdown)
        self.engines[name] = server
        return server

    def add_service(self, name: str, **knobs) -> Server:
        """Start a stand-in for a plain service."""
        server = start_service(**knobs)
        self.stack.callback(server.server_close)
        self.stack.callback(server.shutdown)
        self.services[name] = server
        return server

    def add_host(
        self,
        name: str,
        zone: str,
        extra: str = "",
        platform_extra: str = "",
        proxies: dict[str, str] | None = None,
    ) -> Host:
        """Start an entry host and add it to the platform's host list.

        ``extra`` is appended to the settings, ``platform_extra`` to their table
        ``platform``. ``proxies`` lead from this host alone to addresses.
        """
        ports = [f"127.0.0.1:{port}" for port in free_ports(3)]
        host = Host(name, zone, *ports, proxies=proxies or {})
        seeds = json.dumps([other.peers for other in self.hosts])
        text = f"""
host = "{name}"
zone = "{zone}"
[[operators]]
name = "hanna"
digest = "{digest(OPERATOR_TOKEN)}"
[listen]
callers = "{host.callers}"
operators = "{host.operators}"
peers = "{host.peers}"
[platform]
log = "http://{self.platform.address}"
hosts = "http://{self.platform.address}"
{platform_extra}
[peers]
secret = "{SECRET}"
seeds = {seeds}
{extra}
"""
        path = self.folder / f"{name}.toml"
        path.write_text(text)
        self.hosts.append(host)
        self.start_host(host)
        rows = [
            {"address": row.peers, "zone": row.zone, "leaving": False}
            for row in self.hosts
        ]
        self.http.request(
            "POST", f"http://{self.platform.address}/hosts", body=json.dumps(rows)
        )
        return host

    def start_host(self, host: Host) -> None:
        """Start a process for ``host`` with its settings file."""
        path = self.folder / f"{host.name}.toml"
        program = ["godwitladder"]
        if host.proxies:
            program.insert(0, "soak.host_process")
        with open(self.folder / f"{host.name}.log", "ab") as output:
            host.process = subprocess.Popen(
                [sys.executable, "-m", *program, "serve", "--settings", path],
                env=os.environ | {host_process.VARIABLE: json.dumps(host.proxies)},
                stderr=output,
            )
        self.stack.callback(end_process, host.process)

    def set_knobs(self, server: Server, **knobs) -> None:
        """Set knobs of a stand-in."""
        answer = self.http.request(
            "POST", f"http://{server.address}/knobs", body=json.dumps(knobs)
        )
        assert answer.status == 200, answer.data

    def run_records(self, server: Server) -> list[dict]:
        """Return the records that a stand-in keeps of the calls that it ran."""
        return json.loads(self.http.request("GET", f"http://{server.address}/ran").data)

    def submit(self, ticket: str, host: Host | None = None) -> urllib3.BaseHTTPResponse:
        """Submit a ticket to ``host``, or to the first host."""
        address = (host or self.hosts[0]).operators
        return self.http.request(
            "POST",
            f"http://{address}/v1/tickets",
            body=ticket.encode(),
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )

    def operator_get(self, host: Host, path: str) -> dict:
        """Return the JSON response of the operators' API of ``host``."""
        answer = self.http.request(
            "GET",
            f"http://{host.operators}{path}",
            headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )
        return json.loads(answer.data)

    def ready(self, host: Host) -> bool:
        """Return whether ``/readyz`` of ``host`` reports that it is ready."""
        try:
            answer = self.http.request("GET", f"http://{host.operators}/readyz")
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def wait_ready(self) -> None:
        """Wait until all hosts are ready."""
        for host in self.hosts:
            wait_until(lambda host=host: self.ready(host), f"{host.name} to be ready")

    def configure(self, ticket: str | None = None) -> None:
        """Submit a ticket and wait until it is in force on every host."""
        answer = self.submit(ticket or self.ticket())
        assert answer.status == 202, answer.data
        offset = json.loads(answer.data)["offset"]
        for host in self.hosts:
            wait_until(
                lambda host=host: (
                    self.operator_get(host, "/v1/status")["config_offset"] > offset
                ),
                "the ticket to be in force",
            )

    def ticket(self, number: int = 1) -> str:
        """Return a ticket that configures all targets of this fleet."""
        lines = [
            f'number = {number}\noperator = "hanna"\nreason = "first"',
            "[tiers.urgent]\nrank = 0\n[tiers.normal]\nrank = 1",
            f'[workspaces.advisers]\ntier = "urgent"\n'
            f'key_digests = ["{digest(CALLER_KEY)}"]',
            f'[workspaces.returns]\ntier = "normal"\n'
            f'key_digests = ["{digest(LOW_KEY)}"]',
            '[services.letters]\nkind = "model"\nidempotent = true',
            '[services.charge]\nkind = "plain"\nidempotent = false',
            '[services.lookup]\nkind = "plain"\nidempotent = true',
        ]
        for name, server in self.engines.items():
            lines.append(
                f'[targets.{name}]\naddress = "{server.address}"\nzone = "a"\n'
                'services = ["letters"]\nslots = 8\nmemory_tokens = 100000'
            )
        for name, server in self.services.items():
            lines.append(
                f'[targets.{name}]\naddress = "{server.address}"\nzone = "a"\n'
                'services = ["charge", "lookup"]\nslots = 8'
            )
        return "\n".join(lines)

    def chat(
        self, host: Host, text: str, key: str = CALLER_KEY, headers=None, **body
    ) -> urllib3.BaseHTTPResponse:
        """Request a chat completion and return the complete response."""
        raw = {"model": "letters", "messages": [{"role": "user", "content": text}]}
        return self.http.request(
            "POST",
            f"http://{host.callers}/v1/chat/completions",
            body=json.dumps({**raw, "max_tokens": 80, **body}),
            headers={"Authorization": f"Bearer {key}", **(headers or {})},
            timeout=60,
        )

    def call(
        self, host: Host, service: str, body: bytes, headers=None, key: str = CALLER_KEY
    ) -> urllib3.BaseHTTPResponse:
        """Call a plain service and return the complete response."""
        return self.http.request(
            "POST",
            f"http://{host.callers}/v1/services/{service}",
            body=body,
            headers={"Authorization": f"Bearer {key}", **(headers or {})},
            timeout=60,
        )


def end_process(process: subprocess.Popen) -> None:
    """Kill a process if it is still running, and wait for its end."""
    if process.poll() is None:
        process.kill()
    process.wait()


def make_fleet(folder: Path, stack: contextlib.ExitStack, **knobs) -> Fleet:
    """Return a fleet that has only the stand-in of the platform."""
    platform = start_platform(host_list_lag_s=0.1, **knobs)
    stack.callback(platform.server_close)
    stack.callback(platform.shutdown)
    return Fleet(folder, stack, platform)
