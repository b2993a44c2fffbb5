"""A host's reaction to signals."""

import subprocess
import sys

SIGNAL_TO_ANOTHER_THREAD = """
import signal, threading, time
from godwitladder.process.base_host import BaseHost
from godwitladder.clock import Clock
from godwitladder.settings import LimitSettings

class Host(BaseHost):
    def start(self):
        threading.Thread(target=self.take_signal, daemon=True).start()

    def take_signal(self):
        time.sleep(0.3)
        signal.pthread_kill(threading.get_ident(), signal.SIGTERM)
        time.sleep(60)

    def drain(self):
        print("drained")

host = Host("h", Clock(), LimitSettings())
signal.signal(signal.SIGTERM, lambda *_: host.stop())
host.run()
"""


def test_signal_that_another_thread_takes_stops_the_host():
    """Guards against a host that reacts to no signal until it is killed."""
    done = subprocess.run(
        [sys.executable, "-c", SIGNAL_TO_ANOTHER_THREAD],
        capture_output=True,
        timeout=20,
    )
    assert (done.returncode, done.stdout) == (0, b"drained\n")
