"""Hosts whose address space or data is limited to the memory that they are given."""

import contextlib
import resource
import subprocess
import sys

import pytest

from godwitladder.process.threads import STACK_BYTES
from godwitladder.routing.daemon import NEW_CONNECTION_FRACTION
from tests.process.burst import Burst
from tests.process.deployment import MB, Deployment, limit, wait_until
from tests.process.test_denied_threads import read_metrics

SERVICE_S = 1.0
BURST = 300
NO_THREAD = 'connections_total{event="no_thread"}'
READ_CALLS = int(160 * NEW_CONNECTION_FRACTION)
"""Calls that a host reads at once with the threads of the template; it leaves the
others unread."""
READY_TIMEOUT_S = 20

NESTED_VALUES = {
    "json": "import json; json.loads('[' * 100_000)",
    "json object": "import json; json.loads('{\"a\":' * 100_000)",
    "orjson": "import orjson; orjson.loads('[' * 100_000)",
    "orjson deepest": "import orjson; orjson.loads('[' * 1_024 + ']' * 1_024)",
    "cbor": r"import cbor2; cbor2.loads(b'\x81' * 100_000)",
    "cbor map": r"import cbor2; cbor2.loads(b'\xa1\x01' * 100_000)",
    "cbor tag": r"import cbor2; cbor2.loads(b'\xc1' * 100_000)",
    "re": "import re; re.match('(a|b)*c', 'ab' * 100_000)",
    "written again": "import json; json.dumps(nested)",
    "shown": "repr(nested)",
    "compared": "import copy; nested == other",
    "freed": "nested.clear()",
    "logged": "import logging\ndef f(): f()\ntry: f()\nexcept RecursionError as e: "
    "logging.exception('x'); raise",
}
IN_THREAD = """
import threading
from godwitladder.process.threads import limit_stacks

def nest():
    value = []
    for _ in range(200_000):
        value = [value]
    return value

def run():
    nested, other = nest(), nest()
    try:
        exec({code!r})
    except (RecursionError, ValueError) as error:
        repr(error)

limit_stacks()
thread = threading.Thread(target=run)
thread.start()
thread.join()
"""


@pytest.fixture
def make_deployment(tmp_path):
    with contextlib.ExitStack() as stack:

        def make(hosts, memory_mb):
            deployment = Deployment(tmp_path, hosts, memory_mb)
            stack.callback(deployment.close)
            return deployment

        yield make


def wait_ready(deployment):
    """Wait until all hosts are ready; fail at once if one has ended."""
    hosts = deployment.hosts
    ready = wait_until(
        lambda: bool(deployment.ended()) or all(host.is_ready() for host in hosts),
        READY_TIMEOUT_S,
    )
    assert deployment.ended() == [], deployment.exit_lines()
    assert ready


@pytest.mark.parametrize("memory_mb", [222, 136])
@pytest.mark.parametrize("kind", [resource.RLIMIT_AS, resource.RLIMIT_DATA])
def test_hosts_start_within_their_memory(make_deployment, kind, memory_mb):
    """Guards against stacks and arenas that reserve more than a host's memory."""
    deployment = make_deployment(2, memory_mb)
    deployment.start_processes(limit(kind, memory_mb * MB))
    wait_ready(deployment)


@pytest.mark.parametrize("memory_mb", [222, 136])
def test_a_host_serves_a_burst_within_its_memory(make_deployment, memory_mb):
    """Guards against a burst of calls that ends a host for lack of addresses."""
    deployment = make_deployment(1, memory_mb)
    for engine in deployment.engines:
        engine.slots = BURST
        engine.engine.knobs.pause_s = SERVICE_S
    deployment.start_processes(limit(resource.RLIMIT_AS, memory_mb * MB))
    wait_ready(deployment)
    (host,) = deployment.hosts
    counts = Burst(("127.0.0.1", host.ports[0]), BURST).wait(15)
    assert deployment.ended() == [], deployment.exit_lines()
    assert counts[200] + counts[503] >= READ_CALLS, counts
    assert counts[200] > 0, counts
    assert counts["open"] == 0, counts
    assert NO_THREAD not in read_metrics(deployment)
    assert host.is_ready()
    after = Burst(("127.0.0.1", host.ports[0]), 5, name="after")
    assert after.wait(10)[200] == 5, after.answers


@pytest.mark.parametrize("name", NESTED_VALUES)
def test_nested_values_overflow_no_stack(name):
    """Guards against a value from outside that ends the process by its nesting."""
    code = IN_THREAD.format(code=NESTED_VALUES[name])
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, timeout=60)
    assert done.returncode == 0, (STACK_BYTES, done.stderr[-500:])
