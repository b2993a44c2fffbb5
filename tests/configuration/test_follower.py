"""A host's replica against a log and peers that fail."""

import pytest

from godwitladder.configuration.ledger import Verdict
from godwitladder.configuration.model import ObjectName
from godwitladder.configuration.replica import Phase
from godwitladder.configuration.snapshots import decode_snapshot, encode_snapshot
from tests.configuration.fakes import FakeHosts, ticket, tier

URGENT = ObjectName("tiers", "urgent")


def rank(follower):
    row = follower.ledger.objects.get(URGENT)
    return row and row.value.rank


def test_new_host_in_an_outage_starts_from_a_peer():
    """The log is down when a host is replaced.

    It can't replay anything, so by itself it would refuse every caller until
    the log is back. The first heartbeat of a peer makes it ask for the state.
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


def test_peer_that_is_behind_takes_nothing_back():
    """A host that was cut off for an hour answers with its old state."""
    hosts = FakeHosts(2)
    hosts.submit(ticket(1, tier("urgent", 1)))
    hosts.follow("host-0")
    old = hosts.followers["host-0"].answer()
    hosts.submit(ticket(2, tier("urgent", 2)))
    follower = hosts.follow("host-1")
    follower.replica.lose_log()
    follower.take_state(old)
    assert rank(follower) == 2
    assert follower.ledger.next == 2


def test_zone_cut_off_from_the_log_hears_of_tickets_from_peers():
    """One zone loses the platform, but its hosts still reach other hosts."""
    hosts = FakeHosts(2)
    hosts.submit(ticket(1, tier("urgent", 1)))
    for name in hosts.followers:
        hosts.follow(name)
    hosts.clients["host-1"].disconnected = True
    hosts.submit(ticket(2, tier("urgent", 2)))
    hosts.follow("host-0")
    cut = hosts.follow("host-1")
    hosts.heartbeat("host-0", "host-1")
    assert rank(cut) == 2


@pytest.mark.parametrize("outage", [True, False])
def test_log_restored_from_an_old_copy_reverts_nothing(outage):
    """The platform loses the last record, then others are written there.

    A host that went on at its offset would skip tickets that new hosts
    replay, and one that replayed the stream anew would go back. It keeps its
    state, says so, and new hosts that hear of it take that state too.
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


def test_log_that_lags_for_a_moment_is_followed_on():
    """A read lands on a replica of the log that is a record behind."""
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
    """A read hangs, and meanwhile a peer's state moves the host on.

    The page then is from before that state. Taken for the log's end it would
    look as if the log had lost records.
    """
    hosts = FakeHosts(2)
    hosts.submit(ticket(1, tier("urgent", 1)))
    follower = hosts.follow("host-1")
    read = hosts.log.read

    def slow_read(*args):
        page = read(*args)
        hosts.log.read = read
        hosts.submit(ticket(2, tier("urgent", 2)))
        follower.take_state(hosts.follow("host-0").answer())
        return page

    hosts.log.read = slow_read
    follower.follow_once()
    assert follower.replica.phase is not Phase.FORKED
    assert rank(follower) == 2


def test_snapshots_keep_the_state_past_the_expiry_of_records():
    """Records are kept for a day, and one ticket stays in force for a week.

    Hosts append a snapshot before the records expire; without it a host
    started after a day would find an empty log and serve nobody. With its
    answers lost, it is written a few times and does no harm.
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
    """A host is paused for longer than the log keeps records.

    The first snapshot that it finds was written late: it is of a state from
    before records that have expired since. Started from there the host would
    lack ticket 4 for good, so it goes on to the next one.
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


@pytest.mark.parametrize(("forked", "most"), [(True, 0), (False, 7)])
def test_peers_are_not_asked_for_ever(forked, most):
    """A peer is ahead, and its state is of no use for a minute.

    Either the log lost what is in force here, or the answers of the peer, a
    host of a later version, can't be read.
    """
    hosts = FakeHosts(1)
    hosts.submit(ticket(1, tier("urgent", 1)))
    follower = hosts.follow("host-0")
    if forked:
        hosts.log.records["config"].clear()
    asked = []
    follower.send = lambda host, message: asked.append(host) or True
    for _ in range(60):
        hosts.clock.advance(1.0)
        follower.hear("host-9", 100)
        follower.follow_once()
    assert (follower.replica.phase is Phase.FORKED) == forked
    assert bool(asked) != forked
    assert len(asked) <= most


def test_record_that_is_read_again_is_judged_once():
    """After an outage a host reads its last record again, to compare it.

    Judged a second time it would stand twice in the trail of this host alone.
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
