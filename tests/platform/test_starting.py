"""Signals that come while a host is still loading."""

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


def load(number):
    """Return the status of a host that gets a signal while it loads."""
    code = SEND_WHILE_LOADING.format(number=int(number))
    environ = {key: text for key, text in os.environ.items() if "NODE_FILE" not in key}
    done = subprocess.run(
        [sys.executable, "-c", code], env=environ, capture_output=True, timeout=60
    )
    return done.returncode, done.stderr.decode()


def test_a_host_that_is_told_of_settings_while_it_loads_goes_on():
    """SIGHUP comes half a second after the start, before anything listens.

    The host goes on to read its settings, of which this one has none. Without
    care the signal ends the process, and the platform starts it once more.
    """
    status, errors = load(signal.SIGHUP)
    assert status == 1
    assert "KeyError" in errors


@pytest.mark.parametrize("number", [signal.SIGTERM])
def test_a_host_that_is_stopped_while_it_loads_ends_as_planned(number):
    """SIGTERM comes before anything listens: there is nothing to finish."""
    assert load(number)[0] == 0
