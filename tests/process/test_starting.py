"""Signals that arrive while a host is still importing its modules."""

import os
import signal
import subprocess
import sys

import pytest

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
