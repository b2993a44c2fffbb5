"""Which hosts use the store's list of hosts, and when."""

from godwitladder.discovery.host_list import (
    KEEPERS,
    LONELY_PERIOD_S,
    PERIOD_S,
    HostList,
)
from godwitladder.discovery.source import StoreUnavailable
from godwitladder.membership.contacts import ListedHost

HOSTS = tuple(f"h{number}" for number in range(9))


class MemoryList:
    """A list of hosts in memory, which may be away."""

    def __init__(self):
        self.rows, self.reads, self.away = {}, 0, False

    def read_hosts(self):
        self.fail_if_away()
        self.reads += 1
        return tuple(self.rows.values())

    def register_host(self, row):
        self.fail_if_away()
        self.rows[row.address] = row

    def fail_if_away(self):
        if self.away:
            raise StoreUnavailable("away")


def make_lists(store):
    """Return each host's part in the list, and what each was told."""
    told = {host: [] for host in HOSTS}
    lists = [
        HostList(host, store, ListedHost(f"{host}:1", "a", False), told[host].append)
        for host in HOSTS
    ]
    return lists, told


def test_a_few_linked_hosts_keep_the_list_and_the_others_call_nothing():
    store = MemoryList()
    lists, _ = make_lists(store)
    assert {one.update(True, HOSTS) for one in lists} == {PERIOD_S}
    assert len(store.rows) == KEEPERS
    assert store.reads == KEEPERS


def test_a_host_without_any_link_looks_often_and_finds_those_that_are_listed():
    """All seeds are gone, and a host starts: nobody else could tell it of any."""
    store = MemoryList()
    lists, told = make_lists(store)
    for one in lists[:-1]:
        one.update(True, HOSTS)
    newcomer = lists[-1]
    assert newcomer.update(False, (newcomer.host,)) == LONELY_PERIOD_S
    assert len(told[newcomer.host][-1]) >= KEEPERS


def test_others_keep_the_list_when_its_keepers_are_gone():
    store = MemoryList()
    lists, _ = make_lists(store)
    for one in lists:
        one.update(True, HOSTS)
    left = [one for one in lists if not one.listed]
    hosts = tuple(one.host for one in left)
    for one in left:
        one.update(True, hosts)
    assert sum(one.listed for one in left) == KEEPERS


def test_a_host_that_leaves_is_told_to_nobody():
    store = MemoryList()
    lists, told = make_lists(store)
    for one in lists:
        one.update(True, HOSTS)
        one.leave()
    assert len(store.rows) == KEEPERS
    reader = next(one for one in lists if not one.listed)
    reader.update(False, HOSTS)
    assert told[reader.host] == [(reader.row,)]


def test_a_store_that_is_away_is_tried_again_soon():
    """The store takes nothing; the host is not listed, and tries again."""
    store = MemoryList()
    store.away = True
    lists, told = make_lists(store)
    assert lists[0].update(False, HOSTS[:1]) == LONELY_PERIOD_S
    assert not lists[0].listed
    assert not told["h0"]
    store.away = False
    assert lists[0].update(True, HOSTS[:1]) == PERIOD_S
    assert lists[0].listed
