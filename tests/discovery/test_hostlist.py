"""Tests of which hosts use the store's host list, and when."""

from godwitladder.discovery.host_list import (
    POLL_INTERVAL_S,
    REGISTERED_HOSTS,
    UNLINKED_POLL_INTERVAL_S,
    HostList,
)
from godwitladder.discovery.source import StoreUnavailable
from godwitladder.membership.contacts import ListedHost

HOSTS = tuple(f"h{number}" for number in range(9))


class MemoryList:
    """In-memory host list that can be made unavailable."""

    def __init__(self):
        self.rows, self.reads, self.unavailable = {}, 0, False

    def read_hosts(self):
        self.fail_if_unavailable()
        self.reads += 1
        return tuple(self.rows.values())

    def register_host(self, row):
        self.fail_if_unavailable()
        self.rows[row.address] = row

    def fail_if_unavailable(self):
        if self.unavailable:
            raise StoreUnavailable("unavailable")


def make_lists(store):
    """Return a `HostList` for each host, and the hosts reported to each."""
    reported = {host: [] for host in HOSTS}
    lists = [
        HostList(
            host, store, ListedHost(f"{host}:1", "a", False), reported[host].append
        )
        for host in HOSTS
    ]
    return lists, reported


def test_a_few_linked_hosts_use_the_list_and_the_others_make_no_calls():
    store = MemoryList()
    lists, _ = make_lists(store)
    assert {host_list.update(True, HOSTS) for host_list in lists} == {POLL_INTERVAL_S}
    assert len(store.rows) == REGISTERED_HOSTS
    assert store.reads == REGISTERED_HOSTS


def test_a_host_without_links_polls_often_and_finds_the_registered_hosts():
    """Guards against a host that starts when all seeds are gone and finds no peer."""
    store = MemoryList()
    lists, reported = make_lists(store)
    for host_list in lists[:-1]:
        host_list.update(True, HOSTS)
    new_host = lists[-1]
    assert new_host.update(False, (new_host.host,)) == UNLINKED_POLL_INTERVAL_S
    assert len(reported[new_host.host][-1]) >= REGISTERED_HOSTS


def test_other_hosts_register_when_the_registered_ones_are_gone():
    store = MemoryList()
    lists, _ = make_lists(store)
    for host_list in lists:
        host_list.update(True, HOSTS)
    remaining = [host_list for host_list in lists if not host_list.registered]
    hosts = tuple(host_list.host for host_list in remaining)
    for host_list in remaining:
        host_list.update(True, hosts)
    assert sum(host_list.registered for host_list in remaining) == REGISTERED_HOSTS


def test_a_host_that_the_store_has_lost_registers_again():
    """Guards against hosts that find nobody after a copy of the store."""
    store = MemoryList()
    lists, _ = make_lists(store)
    for host_list in lists:
        host_list.update(True, HOSTS)
    store.rows.clear()
    waits = {host_list.update(True, HOSTS) for host_list in lists}
    assert waits == {UNLINKED_POLL_INTERVAL_S, POLL_INTERVAL_S}
    for host_list in lists:
        host_list.update(True, HOSTS)
    assert len(store.rows) == REGISTERED_HOSTS


def test_a_leaving_host_is_not_reported():
    store = MemoryList()
    lists, reported = make_lists(store)
    for host_list in lists:
        host_list.update(True, HOSTS)
        host_list.leave()
    assert len(store.rows) == REGISTERED_HOSTS
    reader = next(host_list for host_list in lists if not host_list.registered)
    reader.update(False, HOSTS)
    assert reported[reader.host] == [(reader.row,)]


def test_an_unavailable_store_is_retried_soon():
    """Guards against a host that stays unlisted after the store has failed."""
    store = MemoryList()
    store.unavailable = True
    lists, reported = make_lists(store)
    assert lists[0].update(False, HOSTS[:1]) == UNLINKED_POLL_INTERVAL_S
    assert not lists[0].registered
    assert not reported["h0"]
    store.unavailable = False
    assert lists[0].update(True, HOSTS[:1]) == POLL_INTERVAL_S
    assert lists[0].registered


def test_a_host_that_leaves_says_so_once_the_store_is_back():
    """Guards against an entry that says for ever that a stopped host stays."""
    store = MemoryList()
    host_list = make_lists(store)[0][0]
    host_list.update(False, HOSTS)
    store.unavailable = True
    host_list.leave()
    assert not host_list.left.is_set()
    store.unavailable = False
    host_list.leave()
    assert host_list.left.is_set()
    assert [row.leaving for row in store.rows.values()] == [True]


def test_a_host_without_an_entry_writes_none_as_it_leaves():
    store = MemoryList()
    host_list = make_lists(store)[0][0]
    host_list.leave()
    assert host_list.left.is_set() and not store.rows
