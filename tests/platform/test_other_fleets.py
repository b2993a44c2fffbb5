"""Real hosts that meet hosts of another fleet, or whose store is another one."""

import contextlib
import time

import pytest

from godwitladder.platform import names
from godwitladder.standins.routed import Store, start_store
from tests.fleet import wait_until
from tests.platform.test_hosts import Host, make_config

IN_FORCE_S = 2.0
"""Time within which a configuration is in force after its acknowledgement."""
OBSERVED_S = 4.0
OURS, THEIRS, NEW = 500, 900, 7


class Fleets:
    """Stores and the hosts that follow them."""

    def __init__(self, stack, folder):
        self.stack = stack
        self.folder = folder
        self.names = iter(f"h{number}" for number in range(1, 100))

    def start_store(self, version):
        """Start a store that holds one configuration."""
        server = start_store()
        self.stack.callback(server.server_close)
        self.stack.callback(server.shutdown)
        server.standin.put_config(make_config(version))
        return server

    def start_hosts(self, store, count, seeds=()):
        """Start hosts, each of which has the first and ``seeds`` among its seeds."""
        hosts = []
        for _ in range(count):
            known = [*seeds, *(host.peer for host in hosts[:1])]
            host = Host(self.stack, self.folder, next(self.names), store, known)
            hosts.append(host)
        return hosts


@pytest.fixture
def fleets(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Fleets(stack, tmp_path)


def versions(hosts):
    return [host.status()["version"] for host in hosts]


def wait_for_fleet(hosts, version):
    """Wait until all hosts are ready, know each other and have a version."""
    wait_until(lambda: all(host.ready() for host in hosts), "hosts")
    wait_until(lambda: versions(hosts) == [version] * len(hosts), f"version {version}")
    count = len(hosts)
    wait_until(
        lambda: all(len(host.status()["hosts"]) == count for host in hosts), "one mesh"
    )


def assert_stays(hosts, version, for_s=OBSERVED_S):
    """Assert that all hosts are ready, with a version in force, for some time."""
    until = time.monotonic() + for_s
    while time.monotonic() < until:
        assert versions(hosts) == [version] * len(hosts)
        assert all(host.ready() for host in hosts)
        time.sleep(0.1)


def write_and_await(store, hosts, version):
    """Write a configuration, which must be in force everywhere in time."""
    store.standin.put_config(make_config(version))
    due = time.monotonic() + IN_FORCE_S
    while versions(hosts) != [version] * len(hosts):
        assert time.monotonic() < due, versions(hosts)
        time.sleep(0.05)


def test_a_host_of_another_fleet_tells_nothing(fleets):
    """Guards against a configuration of another fleet that has the same secret."""
    ours = fleets.start_store(OURS)
    hosts = fleets.start_hosts(ours, 4)
    wait_for_fleet(hosts, OURS)
    theirs = fleets.start_store(THEIRS)
    stranger = fleets.start_hosts(theirs, 1, seeds=[hosts[1].peer])
    wait_until(stranger[0].ready, "the other fleet")
    assert_stays(hosts, OURS)
    assert versions(stranger) == [THEIRS]
    assert [len(host.status()["hosts"]) for host in hosts] == [4] * 4
    write_and_await(ours, hosts, OURS + 3)


def test_a_host_of_an_earlier_life_tells_nothing(fleets):
    """Guards against a host that lives on beside a new fleet at a new store."""
    store = fleets.start_store(OURS)
    former = fleets.start_hosts(store, 1)
    wait_for_fleet(former, OURS)
    store.replace(Store())
    store.standin.put_config(make_config(NEW))
    hosts = fleets.start_hosts(store, 3, seeds=[former[0].peer])
    wait_for_fleet([*former, *hosts], NEW)
    assert_stays([*former, *hosts], NEW)
    write_and_await(store, [*former, *hosts], NEW + 1)


@pytest.mark.parametrize("breaks", [True, False])
@pytest.mark.parametrize("records", [1, 3, 12])
def test_hosts_follow_a_new_store_at_the_same_address(fleets, breaks, records):
    """Guards against hosts that keep what a former store has told for good.

    The new store has fewer records than the former one, as many or more; connections
    to it break, or lead to the new one unseen.
    """
    store = fleets.start_store(OURS - 2)
    for version in (OURS - 1, OURS):
        store.standin.put_config(make_config(version))
    hosts = fleets.start_hosts(store, 4)
    wait_for_fleet(hosts, OURS)
    new = Store()
    for version in range(NEW + 1 - records, NEW + 1):
        new.put_config(make_config(version))
    store.replace(new, breaks)
    wait_until(lambda: versions(hosts) == [NEW] * 4, "the new store's version")
    wait_for_fleet(hosts, NEW)
    assert_stays(hosts, NEW, 1.0)
    write_and_await(store, hosts, NEW + 1)


def test_hosts_follow_settings_that_name_another_store(fleets):
    """Guards against a reload that is confirmed and follows the former store."""
    former, store = fleets.start_store(OURS), fleets.start_store(NEW)
    hosts = fleets.start_hosts(former, 4)
    wait_for_fleet(hosts, OURS)
    for host in hosts:
        host.name_store(store)
    wait_until(lambda: versions(hosts) == [NEW] * 4, "the other store's version")
    wait_for_fleet(hosts, NEW)
    write_and_await(store, hosts, NEW + 1)


def test_a_host_that_starts_without_the_store_is_told_by_its_peers(fleets):
    """Guards against a check of peers that shuts a host out of its own fleet."""
    store = fleets.start_store(OURS)
    hosts = fleets.start_hosts(store, 3)
    wait_for_fleet(hosts, OURS)
    gone = fleets.start_store(OURS)
    gone.standin.knobs.status = 503
    late = fleets.start_hosts(gone, 1, seeds=[hosts[0].peer])
    wait_for_fleet([*hosts, *late], OURS)
    write_and_await(store, [*hosts, *late], OURS + 1)
    assert_stays([*hosts, *late], OURS + 1)


def test_a_stranger_that_has_not_read_its_store_leaves(fleets):
    """Guards against a stranger that is let in and stays, with a state of its own."""
    ours, theirs = fleets.start_store(OURS), fleets.start_store(THEIRS)
    hosts = fleets.start_hosts(ours, 3)
    wait_for_fleet(hosts, OURS)
    theirs.standin.knobs.status = 503
    stranger = fleets.start_hosts(theirs, 1, seeds=[hosts[0].peer])
    wait_until(stranger[0].ready, "the state of its peers")
    wait_until(stranger[0].shows_status, "its status page")
    assert versions(stranger) == [OURS]
    theirs.standin.knobs.status = 0
    wait_until(lambda: versions(stranger) == [THEIRS], "its own store's version")
    wait_until(lambda: len(stranger[0].status()["hosts"]) == 1, "it to be alone")
    wait_for_fleet(hosts, OURS)
    assert_stays(hosts, OURS, 1.0)
    write_and_await(ours, hosts, OURS + 1)
    write_and_await(theirs, stranger, THEIRS + 1)


def test_a_copy_without_the_identity_is_the_same_store(fleets):
    """Guards against the loss of versions that hosts know better than a copy."""
    store = fleets.start_store(OURS)
    hosts = fleets.start_hosts(store, 3)
    wait_for_fleet(hosts, OURS)
    fleet = hosts[0].status()["fleet"]
    write_and_await(store, hosts, OURS + 1)
    store.standin.lose_newest(names.FLEET_TOPIC, 1)
    store.standin.lose_newest(names.CONFIG_TOPIC, 1)
    assert_stays(hosts, OURS + 1)
    assert [host.status()["fleet"] for host in hosts] == [fleet] * 3
    write_and_await(store, hosts, OURS + 2)
