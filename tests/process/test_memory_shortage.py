"""Hosts whose address space is used up while they serve."""

import concurrent.futures
import contextlib
import http.client
import json
import resource
import time
import urllib.request
from collections import Counter

import pytest

from review.common.fleet import make_config
from tests.process.burst import Burst
from tests.process.deployment import MB, Deployment, wait_until

BODY_BYTES = 3_500_000
CALLS = 24
TENANTS = 9_000
SHORTAGE_S = 3.0
READY_TIMEOUT_S = 20


@pytest.fixture
def deployment(tmp_path):
    with contextlib.closing(Deployment(tmp_path, 1)) as started:
        started.start_processes()
        (host,) = started.hosts
        assert wait_until(lambda: host.is_ready(), READY_TIMEOUT_S)
        yield started


@contextlib.contextmanager
def no_more_addresses(process, spare_mb=0):
    """Let a process take hardly more addresses than it has."""
    before = resource.prlimit(process.pid, resource.RLIMIT_AS)
    with open(f"/proc/{process.pid}/statm", encoding="ascii") as sizes:
        size = int(sizes.read().split()[0]) * resource.getpagesize()
    limit = (size // MB + spare_mb) * MB
    resource.prlimit(process.pid, resource.RLIMIT_AS, (limit, before[1]))
    try:
        yield
    finally:
        resource.prlimit(process.pid, resource.RLIMIT_AS, before)


def send_body(host, number):
    """Send a long body; return the status, or the name of the error."""
    connection = http.client.HTTPConnection("127.0.0.1", host.ports[0], timeout=10)
    headers = {
        "Host": "shop.example",
        "Godwitladder-Attempt-Id": f"body-{number}",
        "Godwitladder-Deadline-Ms": "9000",
        "Authorization": "Bearer left-key",
    }
    with contextlib.closing(connection):
        try:
            connection.request("POST", "/lookup/x", b"x" * BODY_BYTES, headers)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__


def check_serving(deployment, name):
    (host,) = deployment.hosts
    assert deployment.ended() == [], deployment.exit_lines()
    assert wait_until(lambda: host.is_ready(), READY_TIMEOUT_S)
    counts = Burst(("127.0.0.1", host.ports[0]), 5, name=name).wait(10)
    assert counts[200] == 5, counts


def test_a_body_that_no_memory_is_left_for_is_refused(deployment):
    """Guards against a caller whose connection is reset in place of a refusal."""
    (host,) = deployment.hosts
    with no_more_addresses(host.process):
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            counts = Counter(pool.map(lambda n: send_body(host, n), range(CALLS)))
    assert counts[503] + counts[200] == CALLS, counts
    assert counts[503]
    check_serving(deployment, "after")


def read_version(host):
    address = f"http://127.0.0.1:{host.ports[2]}/v1/status"
    with urllib.request.urlopen(address, timeout=5) as answer:
        return json.load(answer)["version"]


@pytest.mark.parametrize("spare_mb", [0, 2])
def test_a_configuration_that_no_memory_is_left_for_is_read_later(deployment, spare_mb):
    """Guards against a store's long record that ends all hosts, again and again."""
    (host,) = deployment.hosts
    config = make_config(2, ["left-key"])
    config["tenants"] += [
        {"name": f"tenant-{number}", "apiKeys": [f"key-{number:040}"]}
        for number in range(TENANTS)
    ]
    with no_more_addresses(host.process, spare_mb):
        deployment.store.put_config(config)
        time.sleep(SHORTAGE_S)
        assert deployment.ended() == [], deployment.exit_lines()
    assert wait_until(lambda: read_version(host) == 2, READY_TIMEOUT_S)
    check_serving(deployment, "later")
