"""Real hosts whose store comes back from a copy."""

import contextlib
import http.client
import time

import pytest

from godwitladder.platform import names
from soak.fleet import Fleet, make_config

HOSTS = 4
TIMEOUT_S = 30.0
CONFIG_S = 2.0
"""Time within which a configuration is in force on all hosts."""
AWAY_S = 0.6
"""Time for which the store is away."""


class CopiedFleet:
    """A fleet whose operator adds a route with each version."""

    def __init__(self, stack, folder):
        self.fleet = Fleet(stack, folder, HOSTS, 2)
        self.added = []
        assert self.fleet.wait_until_converged(TIMEOUT_S)

    @property
    def store(self):
        return self.fleet.store.standin

    def add_route(self, version):
        """Write a version that adds a route, named after it."""
        self.added.append(version)
        config = make_config(version, self.fleet.keys)
        config["routes"] += [
            config["routes"][0] | {"name": f"r{row}", "pathPrefix": f"/r{row}/"}
            for row in self.added
        ]
        self.store.put_config(config)

    def statuses(self, version):
        """Return each host's answer to a call on the route of a version."""
        return [self.call(host, f"/r{version}/x") for host in self.fleet.hosts]

    def call(self, host, path):
        connection = http.client.HTTPConnection(host.caller_address, timeout=TIMEOUT_S)
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: f"{path}-{time.monotonic()}",
            "Authorization": "Bearer k1",
        }
        with contextlib.closing(connection):
            connection.request("POST", path, b"", headers)
            return connection.getresponse().status

    def wait_until_known(self, version):
        deadline = time.monotonic() + TIMEOUT_S
        while set(self.statuses(version)) != {200}:
            assert time.monotonic() < deadline
            time.sleep(0.1)

    def come_back(self, lost):
        """Let the store be away, and come back without the newest configurations."""
        self.store.knobs.status = 503
        time.sleep(AWAY_S)
        self.store.lose_newest(names.CONFIG_TOPIC, lost)
        self.store.knobs.status = 0


@pytest.fixture
def copied(tmp_path):
    with contextlib.ExitStack() as stack:
        yield CopiedFleet(stack, tmp_path)


def test_changes_after_a_copy_are_in_force_and_no_host_goes_unready(copied):
    """Guards against hosts that read on where the store has not come to yet.

    Callers get 404 on a route that was added and acknowledged, or 503 from all hosts.
    """
    for version in (10, 11, 12):
        copied.add_route(version)
    copied.wait_until_known(12)
    copied.come_back(lost=2)
    for _ in range(12):
        time.sleep(0.5)
        assert [host.is_ready() for host in copied.fleet.hosts] == [True] * HOSTS
        assert copied.statuses(12) == [200] * HOSTS
    for version in (13, 14):
        copied.add_route(version)
    copied.wait_until_known(14)
