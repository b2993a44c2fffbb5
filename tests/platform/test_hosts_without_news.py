"""Real hosts whose links to the host that reads the store for them hang."""

import contextlib
import threading
import time

import pytest

from soak.fleet import Fleet
from soak.proxy import Direction

IN_FORCE_S = 2.0
"""Time within which a configuration is in force after its acknowledgement."""
HOSTS = 6
HANG_S, CALM_S = 3.0, 1.5
HANGS = 4
CONVERGED_S = 30.0


class Operator(threading.Thread):
    """Writes a new version now and then.

    Attributes
    ----------
    acknowledged : list of (float, int)
        Monotonic time of each acknowledgement, and the version.
    """

    INTERVAL_S = 0.5

    def __init__(self, fleet, stopping):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.stopping = stopping
        self.acknowledged = []

    def run(self):
        while not self.stopping.wait(self.INTERVAL_S):
            self.fleet.version += 1
            self.fleet.put_config()
            self.acknowledged.append((time.monotonic(), self.fleet.version))

    def due_version(self, now):
        """Return the newest version that must be in force everywhere."""
        due = [version for at, version in self.acknowledged if at <= now - IN_FORCE_S]
        return due[-1] if due else 0

    def late_s(self, seen_at, version):
        """Return how old the oldest version is that a host lacked, in seconds."""
        lacked = (at for at, newer in self.acknowledged if newer > version)
        return seen_at - next(lacked)


class Watcher(threading.Thread):
    """Records which version one host has in force."""

    INTERVAL_S = 0.04

    def __init__(self, host, stopping):
        super().__init__(daemon=True)
        self.host = host
        self.stopping = stopping
        self.seen = []

    def run(self):
        while not self.stopping.wait(self.INTERVAL_S):
            began = time.monotonic()
            status = self.host.status()
            if status:
                self.seen.append((began, status["version"]))


def hang_links(fleet, reader, others):
    """Hold all that goes over the links between ``reader`` and ``others``."""
    for other in others:
        for path in (
            reader.peer_paths[other.peer_address],
            other.peer_paths[reader.peer_address],
        ):
            path.held.update(Direction)


def restore_links(fleet):
    for host in fleet.hosts:
        for path in host.peer_paths.values():
            path.held.clear()


def find_reader(fleet):
    """Return the host that reads the store for the others, and these."""
    name = fleet.hosts[0].status()["reading_order"][0]
    reader = next(host for host in fleet.hosts if host.name == name)
    return reader, [host for host in fleet.hosts if host is not reader]


@pytest.mark.parametrize("store_s", [0.0, 0.1, 0.25])
def test_hosts_whose_links_to_the_reader_hang_follow_changes_in_time(tmp_path, store_s):
    """Guards against a host that waits for news which only it does not get."""
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, tmp_path, HOSTS, targets=1, has_peer_paths=True)
        assert fleet.wait_until_converged(CONVERGED_S)
        fleet.store.standin.knobs.mute_s = store_s
        stopping = threading.Event()
        operator = Operator(fleet, stopping)
        watchers = [Watcher(host, stopping) for host in fleet.hosts]
        for thread in (operator, *watchers):
            thread.start()
        for number in range(HANGS):
            time.sleep(CALM_S)
            reader, others = find_reader(fleet)
            hang_links(fleet, reader, others[number % 2 :: 2])
            time.sleep(HANG_S)
            restore_links(fleet)
        time.sleep(CALM_S)
        stopping.set()
    late = [
        (watcher.host.name, version, round(operator.late_s(at, version), 2))
        for watcher in watchers
        for at, version in watcher.seen
        if version < operator.due_version(at)
    ]
    assert not late, (len(late), sum(len(row.seen) for row in watchers), late[:20])


def turn_away(host):
    """Have the store refuse all that a host asks."""
    host.store_proxy.refusing = True
    host.store_proxy.reset()


@pytest.mark.parametrize("turned_away", [1, 4])
def test_a_target_that_leaves_is_known_while_the_store_turns_readers_away(
    tmp_path, turned_away
):
    """Guards against hosts that go on to use a target which others know to be gone."""
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, tmp_path, HOSTS, targets=2)
        assert fleet.wait_until_converged(CONVERGED_S)
        order = fleet.hosts[0].status()["reading_order"]
        for host in fleet.hosts:
            if host.name in order[:turned_away]:
                turn_away(host)
        gone = fleet.targets[0]
        fleet.write_entry(gone, "")
        time.sleep(IN_FORCE_S)
        known = {host.name: set(host.status()["targets"]) for host in fleet.hosts}
    assert known == {host.name: {fleet.targets[1].name} for host in fleet.hosts}
