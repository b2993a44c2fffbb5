"""Hosts started with the command and the template of the deploy file.

A test says what surrounds their processes: limits, ports that are held, signals.
"""

import copy
import json
import os
import resource
import subprocess
import sys
import sysconfig
import threading
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from godwitladder.platform import names
from review.common import fleet
from tests.process.exit_lines import read_exit_line
from tests.process.platform_fields import FIELDS
from tests.process.template import render

KEPT_VARIABLES = ("PATH", "HOME", "LANG")
MB = 1 << 20


class Deployment(fleet.Fleet):
    """Some hosts of a deployment, two targets and the store, on loopback addresses.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    hosts : int
        Number of hosts.
    memory_mb : int
        Memory of a host, as its settings state it.
    """

    def __init__(self, folder: Path, hosts: int, memory_mb: int = 222) -> None:
        super().__init__(folder, hosts, first_start=True, memory_mb=memory_mb)
        config = json.dumps(fleet.make_config(1, ["left-key"]))
        self.store.put(names.CONFIG_TOPIC, names.CONFIG_KEY, config.encode())
        self.add_engines("core", 2)

    def start_processes(
        self,
        prepare: Callable[[], None] | None = None,
        arguments: list[str] | None = None,
    ) -> None:
        """Start all, with ``prepare`` called in each process before its program.

        The interpreter gets ``arguments``, or by default those of the deploy file.
        """
        for engine in self.engines:
            engine.write()
        threading.Thread(target=self.beat, daemon=True).start()
        for host in self.hosts:
            start_process(host, prepare, arguments)

    def exit_lines(self) -> list[dict]:
        """Return the last line of each host that has written one."""
        lines = [read_exit_line(host.log_path.read_bytes()) for host in self.hosts]
        return [line for line in lines if line is not None]

    def ended(self) -> list[int]:
        """Return the statuses of the processes that have ended."""
        statuses = [host.process.poll() for host in self.hosts]
        return [status for status in statuses if status is not None]


def start_process(
    host: fleet.HostProcess,
    prepare: Callable[[], None] | None = None,
    arguments: list[str] | None = None,
) -> None:
    """Start a host with the arguments of the deploy file and this interpreter.

    The environment is the one that the platform's pages state, with this interpreter's
    libraries on its path in the place of those of the build.
    """
    deploy = tomllib.loads((fleet.ROOT / "deploy/system.toml").read_text())
    _, *stated = deploy["roles"]["entry"]["run"].split()
    kept = {name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
    kept["PYTHONPATH"] = sysconfig.get_path("purelib")
    with host.log_path.open("ab") as log:
        host.process = subprocess.Popen(
            [sys.executable, *(arguments or stated)],
            cwd=fleet.ROOT,
            env=kept | {names.SETTINGS_VARIABLE: str(host.path)},
            stdout=log,
            stderr=log,
            preexec_fn=prepare,
        )


def host_fields(host: fleet.HostProcess, ip: str = "127.0.0.1") -> dict:
    """Return the fields from which the platform fills in the settings of ``host``."""
    callers, readiness, last, peers = host.ports
    return copy.deepcopy(FIELDS) | {
        "nodeName": host.name,
        "ip": ip,
        "zone": host.zone,
        "zones": {host.zone: FIELDS["region"]},
        "listen": {
            "front": f"{ip}:{callers}",
            "ready": f"{ip}:{readiness}",
            "control": f"{ip}:{peers}",
        },
        "portRange": [last, last],
        "seedNodes": [host.control],
        "platform": {"address": host.store.address},
    }


def fill_in(fields: dict) -> str:
    """Return the settings that the platform makes from ``fields``."""
    template = fleet.ROOT / "deploy/settings.toml.in"
    return render(template.read_text(encoding="utf-8"), fields)


def limit(kind: int, value: int) -> Callable[[], None]:
    """Return a function that sets one limit of the process that calls it."""
    return lambda: resource.setrlimit(kind, (value, value))


def wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    """Return whether ``condition`` holds within ``timeout_s`` seconds."""
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            return False
        time.sleep(0.05)
    return True
