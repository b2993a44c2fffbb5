"""Callers with long bodies before a real host, and the memory that it takes."""

import contextlib
import threading
from pathlib import Path

import pytest

from godwitladder.platform import names
from tests.platform.test_hosts import Fleet

MEMORY_MB = 222
CALLERS = 12
ROUNDS = 3
BODY = bytes(4_190_000)
SETTINGS = """\
body_bytes = 4194304
[answers]
memory_mb = 222
memory_share = 0.2
"""


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Fleet(stack, tmp_path, SETTINGS)


def peak_mb(host):
    """Return the most memory that the process of a host has had."""
    text = Path(f"/proc/{host.process.pid}/status").read_text()
    rows = dict(line.split(":", 1) for line in text.splitlines() if ":" in line)
    return int(rows["VmHWM"].split()[0]) / 1024


def test_long_bodies_within_the_limits_keep_to_the_memory(fleet):
    """Guards against a host that its platform ends, and all calls with it."""
    host, statuses = fleet.hosts[0], []
    for engine in fleet.engines.values():
        engine.standin.knobs.pause_s = 0.3

    def send(number):
        for count in range(ROUNDS):
            answer = host.call(
                "/lookup/x",
                attempt=f"{number}-{count}",
                more_headers={names.DEADLINE_MS: "9000"},
                body=BODY,
            )
            statuses.append(answer[0])

    threads = [threading.Thread(target=send, args=(n,)) for n in range(CALLERS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(statuses) == CALLERS * ROUNDS
    assert set(statuses) <= {200, 503}
    assert statuses.count(200) >= ROUNDS
    assert peak_mb(host) < MEMORY_MB
