"""Tests of a host's replica while the log and peers fail."""

import pytest

from godwitladder.configuration.ledger import Ledger, MissingRecords, Verdict
from godwitladder.configuration.model import ObjectName
from godwitladder.configuration.replica import Phase
from godwitladder.configuration.snapshots import decode_snapshot, encode_snapshot
from godwitladder.ids import Offset
from tests.configuration.fakes import FakeHosts, ticket, tier

URGENT = ObjectName("tiers", "urgent")


def rank(follower):
    row = follower.ledger.objects.get(URGENT)
    return row and row.value.rank


def test_new_host_in_an_outage_starts_from_a_peer():
    """A host is replaced during an outage of the log.

    The new host can't replay anything and alone would refuse every caller until
    the log is back. A peer's first heartbeat must make it request the state.
    """
    hosts = FakeHosts(2)
    hosts.submit(ticket(1, tier("urgent", 3)))
    hosts.follow("host-0")
    hosts.clients["host-1"].disconnected = True
    new = hosts.follow("host-1")
    assert not new.caught_up.is_set()
    hosts.heartbeat("host-0", "host-1")
    assert new.caught_up.is_set()
    assert rank(new) == 3
    hosts.clients["host-1"].disconnected = False
    hosts.submit(ticket(2, tier("urgent", 4)))
    assert rank(hosts.follow("host-1")) == 4


def test_state_of_a_peer_that_is_behind_is_ignored():
    """A peer that lost its connection for an hour answers with its old state."""
    hosts = FakeHosts(2)
    hosts.submit(ticket(1, tier("urgent", 1)))
    hosts.follow("host-0")
    old = hosts.followers["host-0"].make_snapshot()
    hosts.submit(ticket(2, tier("urgent", 2)))
    follower = hosts.follow("host-1")
    follower.replica.record_read_failure()
    follower.install_state(old)
    assert rank(follower) == 2
    assert follower.ledger.next == 2


def test_zone_disconnected_from_the_log_gets_tickets_from_peers():
    """The hosts of one zone lose the log but still reach hosts elsewhere."""
    hosts = FakeHosts(2)
    hosts.submit(ticket(1, tier("urgent", 1)))
    for name in hosts.followers:
        hosts.follow(name)
    hosts.clients["host-1"].disconnected = True
    hosts.submit(ticket(2, tier("urgent", 2)))
    hosts.follow("host-0")
    disconnected = hosts.follow("host-1")
    hosts.heartbeat("host-0", "host-1")
    assert rank(disconnected) == 2


@pytest.mark.parametrize("outage", [True, False])
def test_log_restored_from_an_old_copy_reverts_nothing(outage):
    """The log loses its last record, and others are written at that offset.

    A host that continued at its offset would skip tickets that new hosts
    replay, and one that replayed the whole stream would revert to an older
    state. It must keep its state and report the fork. A new host that learns
    of its offset installs that state.
    """
    hosts = FakeHosts(2)
    hosts.submit(ticket(1, tier("urgent", 1)))
    hosts.submit(ticket(9, tier("urgent", 2)))
    follower = hosts.follow("host-0")
    if outage:
        hosts.clients["host-0"].disconnected = True
        hosts.follow("host-0")
        hosts.clients["host-0"].disconnected = False
    del hosts.log.records["config"][1:]
    if outage:
        hosts.submit(ticket(2, tier("urgent", 5)))
        hosts.submit(ticket(3, tier("urgent", 6)))
    hosts.follow("host-0")
    assert follower.replica.phase is Phase.FORKED
    assert rank(follower) == 2
    new = hosts.follow("host-1")
    for _ in range(2):
        hosts.heartbeat("host-0", "host-1")
        hosts.clock.advance(2.0)
    assert outage or rank(new) == 2


def test_log_that_lags_briefly_is_followed_again():
    """A read reaches a replica of the log that lags by one record."""
    hosts = FakeHosts()
    hosts.submit(ticket(1, tier("urgent", 1)))
    hosts.submit(ticket(2, tier("urgent", 2)))
    follower = hosts.follow("host-0")
    rows = hosts.log.records["config"]
    missing = rows.pop()
    hosts.follow("host-0")
    assert follower.replica.phase is Phase.FORKED
    rows.append(missing)
    hosts.submit(ticket(3, tier("urgent", 3)))
    assert rank(hosts.follow("host-0")) == 3


def test_state_that_comes_in_during_a_read_is_kept():
    """During a slow read, the host installs a peer's newer state.

    The page that was read is older than that state. If it were processed, it
    would look as if the log had lost records.
    """
    hosts = FakeHosts(2)
    hosts.submit(ticket(1, tier("urgent", 1)))
    follower = hosts.follow("host-1")
    read = hosts.log.read

    def slow_read(*args):
        page = read(*args)
        hosts.log.read = read
        hosts.submit(ticket(2, tier("urgent", 2)))
        follower.install_state(hosts.follow("host-0").make_snapshot())
        return page

    hosts.log.read = slow_read
    follower.follow_once()
    assert follower.replica.phase is not Phase.FORKED
    assert rank(follower) == 2


def test_snapshots_keep_the_state_past_the_expiry_of_records():
    """A ticket stays in effect for a week, but records expire after a day.

    Hosts must append a snapshot before the records expire. Without one, a host
    started after a day would find an empty log and serve nobody. If the answers
    to the append are lost, the snapshot is harmlessly written a few times.
    """
    hosts = FakeHosts(3)
    hosts.submit(ticket(1, tier("urgent", 3)))
    hosts.submit(ticket(1, tier("urgent", 4)))
    hosts.clients["host-1"].lost_answers = 3
    for _ in range(7 * 24):
        hosts.clock.advance(3600)
        for name in hosts.followers:
            hosts.follow(name, 2)
        rows = hosts.log.records["config"]
        old = [row for row in rows if row.time < hosts.clock.wall() - 86_400]
        hosts.log.expire("config", len(old))
    assert 7 * 3 <= hosts.followers["host-0"].ledger.next <= 7 * 3 * 4
    new = hosts.add("host-3")
    hosts.follow("host-3")
    assert new.caught_up.is_set()
    assert rank(new) == 3
    old = hosts.follow("host-0")
    assert encode_snapshot(new.ledger) == encode_snapshot(old.ledger)
    assert [row.verdict for row in new.ledger.audit] == [
        Verdict.ACCEPTED,
        Verdict.REJECTED,
    ]


def test_snapshot_is_written_after_many_records():
    hosts = FakeHosts()
    for number in range(1, 1400):
        hosts.submit(ticket(number, tier("urgent", number)))
    hosts.follow("host-0")
    last = hosts.log.records["config"][-1]
    assert decode_snapshot(last.data).next == 1399


def test_host_that_missed_everything_between_two_snapshots_catches_up():
    """A host is suspended for longer than the retention time of the log.

    The first snapshot it finds was appended late: its state precedes records
    that have expired since. A host that started from it would miss ticket 4
    for good, so it must continue to the next snapshot.
    """
    hosts = FakeHosts(2)
    hosts.submit(ticket(1, tier("urgent", 1)))
    paused = hosts.follow("host-1")
    hosts.submit(ticket(2, tier("urgent", 2)))
    late = encode_snapshot(hosts.follow("host-0").ledger)
    hosts.submit(ticket(4, tier("low", 4)))
    hosts.log.append("config", [late])
    whole = encode_snapshot(hosts.follow("host-0").ledger)
    hosts.submit(ticket(6, tier("urgent", 6)))
    hosts.log.append("config", [whole])
    hosts.log.expire("config", 3)
    hosts.log.page_records = 1
    assert rank(paused) == 1
    assert rank(hosts.follow("host-1", 10)) == 6
    assert paused.replica.phase is Phase.FOLLOWING
    assert ObjectName("tiers", "low") in paused.ledger.objects


def test_search_for_a_snapshot_starts_over_in_a_log_that_lost_records():
    """Guards against replaying records that the log has lost after a snapshot."""
    hosts = FakeHosts(3)
    hosts.submit(ticket(1, tier("urgent", 1)))
    paused = hosts.follow("host-1")
    hosts.submit(ticket(2, tier("urgent", 2)))
    hosts.submit(ticket(3, tier("urgent", 3)))
    late = encode_snapshot(hosts.follow("host-2").ledger)
    hosts.submit(ticket(4, tier("low", 4)))
    hosts.log.expire("config", 2)
    paused.follow_once()
    del hosts.log.records["config"][1:]
    hosts.follow("host-1")
    assert paused.replica.phase is Phase.SEEKING
    hosts.submit(ticket(5, tier("normal", 5)))
    hosts.log.append("config", [late])
    followed = hosts.follow("host-2").ledger
    assert hosts.follow("host-1").ledger.objects == followed.objects


def test_ledger_refuses_a_record_after_a_gap():
    """Guards against tickets that are missing without any sign."""
    with pytest.raises(MissingRecords):
        Ledger().replay(Offset(1), 0.0, ticket(1, tier("urgent")).encode())


@pytest.mark.parametrize(("forked", "max_requests"), [(True, 0), (False, 7)])
def test_requests_for_unusable_states_are_limited(forked, max_requests):
    """A peer is ahead for a minute, but its state can't be used.

    Either the log lost records that this host has replayed, or the peer runs a
    later version and its answers can't be decoded. Requests must stop in the
    first case and become rare in the second.
    """
    hosts = FakeHosts(1)
    hosts.submit(ticket(1, tier("urgent", 1)))
    follower = hosts.follow("host-0")
    if forked:
        hosts.log.records["config"].clear()
    requests = []
    follower.send = lambda host, message: requests.append(host) or True
    for _ in range(60):
        hosts.clock.advance(1.0)
        follower.record_peer_offset("host-9", 100)
        follower.follow_once()
    assert (follower.replica.phase is Phase.FORKED) == forked
    assert bool(requests) != forked
    assert len(requests) <= max_requests


def test_record_that_is_read_again_is_evaluated_once():
    """After an outage, a host reads its last record again to compare it.

    If it were evaluated again, this host alone would have two audit entries for
    it.
    """
    hosts = FakeHosts()
    hosts.submit(ticket(1, tier("urgent", 1)))
    follower = hosts.follow("host-0")
    hosts.clients["host-0"].disconnected = True
    hosts.follow("host-0")
    hosts.clients["host-0"].disconnected = False
    hosts.follow("host-0")
    assert follower.replica.phase is Phase.FOLLOWING
    assert [row.verdict for row in follower.ledger.audit] == [Verdict.ACCEPTED]
