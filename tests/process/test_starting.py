"""Signals and changes that meet a host while it starts."""

import contextlib
import os
import signal
import subprocess
import sys
import sysconfig
import tomllib

import pytest

from godwitladder.platform import names
from review.common.fleet import ROOT
from tests.process.deployment import Deployment, wait_until

SEND_WHILE_LOADING = """
import os, runpy, sys

class Sender:
    def find_spec(self, name, path=None, target=None):
        if name == "godwitladder.routing.daemon":
            os.kill(os.getpid(), {number})

sys.meta_path.insert(0, Sender())
runpy.run_module("godwitladder.platform", run_name="__main__")
"""


def signal_while_loading(number):
    """Return the exit status and errors of a host that gets a signal while loading."""
    code = SEND_WHILE_LOADING.format(number=int(number))
    environ = {key: text for key, text in os.environ.items() if "NODE_FILE" not in key}
    done = subprocess.run(
        [sys.executable, "-c", code], env=environ, capture_output=True, timeout=60
    )
    return done.returncode, done.stderr.decode()


def test_sighup_while_loading_is_ignored():
    """Guards against a SIGHUP that kills a host which does not listen yet.

    The signal may arrive within the first half second. Its default action ends the
    process, and the platform starts it again. Here the host must continue until it
    fails with a KeyError, since no settings file is named.
    """
    status, errors = signal_while_loading(signal.SIGHUP)
    assert status == 1
    assert "KeyError" in errors


@pytest.mark.parametrize("number", [signal.SIGTERM])
def test_sigterm_while_loading_exits_with_success(number):
    """Guards against a SIGTERM during loading that looks like a crash."""
    assert signal_while_loading(number)[0] == 0


CHANGE_AFTER_READ = """
import runpy, sys
from pathlib import Path
from godwitladder.platform import host

read = host.wait_for_settings

def read_and_change(path, clock):
    settings = read(path, clock)
    text = path.read_text()
    path.write_text(text.replace("revoke_ms = 5000", "revoke_ms = 4000"))
    return settings

host.wait_for_settings = read_and_change
runpy.run_module("godwitladder.platform", run_name="__main__")
"""


def test_a_change_of_the_settings_while_a_host_starts_is_noticed(tmp_path):
    """Guards against a host that keeps the settings from before its start for ever.

    The signal that tells of the change comes before the host can react to it.
    """
    with contextlib.closing(Deployment(tmp_path, 1)) as fleet:
        (host,) = fleet.hosts
        with host.log_path.open("ab") as log:
            host.process = subprocess.Popen(
                [sys.executable, "-c", CHANGE_AFTER_READ],
                env=os.environ | {names.SETTINGS_VARIABLE: str(host.path)},
                stdout=log,
                stderr=log,
            )
        text = "The settings were reloaded"
        assert wait_until(lambda: text in host.log_path.read_text(), 20.0)
        assert "revoke_ms = 4000" in host.path.read_text()


SLOW_MODULES = {"site", "runpy", "enum", "os", "signal", "threading"}


def test_the_first_handlers_come_before_all_slow_imports(tmp_path):
    """Guards against a longer time in which a signal ends a host that starts."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    _, *arguments = deploy["roles"]["entry"]["run"].split()
    done = subprocess.run(
        [sys.executable, "-X", "importtime", *arguments],
        cwd=ROOT,
        env={"PYTHONPATH": sysconfig.get_path("purelib")},
        capture_output=True,
        timeout=60,
    )
    rows = [row.rpartition("|")[2].strip() for row in done.stderr.decode().split("\n")]
    first = rows[: rows.index("godwitladder.process.early_signals")]
    assert SLOW_MODULES & set(first) == set()
