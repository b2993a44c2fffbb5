"""The life of an entry host's process: its signals, and the line with which it ends."""

import os
import re
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from tests.fleet import wait_until
from tests.process.exit_lines import read_exit_line
from tests.process.test_signals import HARMLESS

EXIT_S = 20.0
MEMORY_MB = 136
"""Memory of the smallest hosts."""
MISSING_IP = "192.0.2.1"
"""Address reserved for documentation, which no machine has."""

SEND_WHILE_LOADING = """
import os, runpy, sys

class Sender:
    def find_spec(self, name, path=None, target=None):
        if name == "godwitladder.daemon":
            os.kill(os.getpid(), {number})

sys.meta_path.insert(0, Sender())
sys.argv = ["godwitladder", "serve", "--settings", "/nowhere.toml"]
runpy.run_module("godwitladder", run_name="__main__")
"""
FAIL_IN_START = """
import runpy, sys
from godwitladder.daemon import EntryHost

def raise_error(self):
    raise RuntimeError("boom")

EntryHost.start = raise_error
sys.argv = ["godwitladder", "serve", "--settings", sys.argv[1]]
runpy.run_module("godwitladder", run_name="__main__")
"""


def run(code, *arguments):
    return subprocess.run(
        [sys.executable, "-c", code, *arguments], capture_output=True, timeout=60
    )


@pytest.mark.parametrize(
    "number, status", [(signal.SIGHUP, 2), (signal.SIGUSR1, 2), (signal.SIGTERM, 0)]
)
def test_signals_while_an_entry_host_loads_are_no_crash(number, status):
    """Guards against signals that kill an entry host which does not listen yet.

    One that goes on finds no settings, which ends it with status 2.
    """
    assert run(SEND_WHILE_LOADING.format(number=int(number))).returncode == status


def test_signals_without_a_meaning_end_no_entry_host(fleet):
    """Guards against a reload of the settings that ends an entry host."""
    host = fleet.add_host("host-a1", "a")
    fleet.wait_ready()
    for number in HARMLESS:
        host.send(number)
        time.sleep(0.05)
        assert host.process.poll() is None, number.name
    assert fleet.ready(host)
    host.send(signal.SIGTERM)
    host.send(signal.SIGTERM)
    assert host.process.wait(EXIT_S) == 0


def test_a_failed_start_of_an_entry_host_is_explained_by_the_last_line(fleet):
    """Guards against an entry host that ends without saying what it had left."""
    host = fleet.add_host("host-a1", "a")
    fleet.wait_ready()
    os.kill(host.process.pid, signal.SIGKILL)
    done = run(FAIL_IN_START, str(fleet.folder / "host-a1.toml"))
    line = read_exit_line(done.stderr)
    assert (done.returncode, line["status"], line["failed_part"]) == (1, 1, "start")
    assert "boom" in line["error"]


def test_an_entry_host_without_its_address_names_it_by_the_last_line(fleet):
    """Guards against an entry host that ends without naming the port."""
    host = fleet.add_host("host-a1", "a")
    fleet.wait_ready()
    os.kill(host.process.pid, signal.SIGKILL)
    path = fleet.folder / "host-a1.toml"
    text = path.read_text().replace("[listen]", "[limits]\nport_wait_s = 0.5\n[listen]")
    missing = f"{MISSING_IP}:{host.callers.rpartition(':')[2]}"
    path.write_text(text.replace(host.callers, missing))
    fleet.start_host(host)
    wait_until(lambda: host.process.poll() is not None, "the end of the host")
    assert host.process.returncode == 70
    line = read_exit_line((fleet.folder / "host-a1.log").read_bytes())
    assert line["failed_part"] == "listener callers"
    assert missing in line["error"]


def test_threads_of_an_entry_host_reserve_little(fleet):
    """Guards against stacks and arenas that reserve more than a small host's memory."""
    host = fleet.add_host("host-a1", "a")
    fleet.wait_ready()
    status = Path(f"/proc/{host.process.pid}/status").read_text()
    (size_kb,) = re.findall(r"VmSize:\s+(\d+) kB", status)
    assert int(size_kb) < MEMORY_MB * 1_024
