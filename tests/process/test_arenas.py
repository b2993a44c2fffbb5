"""Memory that the C library reserves for the threads of a host."""

import subprocess
import sys

ARENA_MB = 64
MANY_THREADS = """
import threading
from godwitladder.process.arenas import limit_arenas
from godwitladder.process.resources import read_resource_use
from godwitladder.process.threads import limit_stacks

def allocate():
    held.append([bytes(600) for _ in range(1_000)])
    started.wait()

limit_arenas()
limit_stacks()
held = []
started = threading.Barrier(9)
before = read_resource_use().address_bytes
for _ in range(8):
    threading.Thread(target=allocate).start()
started.wait()
print((read_resource_use().address_bytes - before) >> 20)
"""


def test_threads_of_a_host_reserve_no_arenas():
    """Guards against arenas that reserve addresses which the threads of calls need."""
    done = subprocess.run(
        [sys.executable, "-c", MANY_THREADS], capture_output=True, timeout=60
    )
    assert int(done.stdout) < ARENA_MB, done
