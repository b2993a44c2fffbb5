"""Entry hosts whose address space is limited."""

import os
import resource
import signal
import time

import pytest

from tests.fleet import wait_until
from tests.process.exit_lines import read_exit_line

MB = 1 << 20


@pytest.mark.parametrize("address_mb", [1_024, 512, 222])
def test_an_entry_host_starts_within_its_addresses(fleet, address_mb):
    """Guards against stacks that reserve more than the memory of an entry host."""
    host = fleet.add_host("host-a1", "a")
    fleet.wait_ready()
    os.kill(host.process.pid, signal.SIGKILL)
    host.process.wait()
    before = resource.getrlimit(resource.RLIMIT_AS)
    resource.setrlimit(resource.RLIMIT_AS, (address_mb * MB, before[1]))
    try:
        fleet.start_host(host)
    finally:
        resource.setrlimit(resource.RLIMIT_AS, before)
    wait_until(
        lambda: host.process.poll() is not None or fleet.ready(host),
        "an end or a start",
    )
    line = read_exit_line((fleet.folder / "host-a1.log").read_bytes())
    assert host.process.poll() is None, line
    time.sleep(1)
    assert host.process.poll() is None
