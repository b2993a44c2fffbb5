"""Tests of a host whose log, or whose peer's log, is another one."""

import zlib

import cbor2
import pytest

from godwitladder.configuration.ledger import SNAPSHOT_MAGIC
from godwitladder.configuration.messages import ConfigSnapshot
from godwitladder.configuration.replica import Phase
from godwitladder.configuration.snapshots import (
    InvalidSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from tests.configuration.fakes import FakeHosts, ticket, tier
from tests.configuration.test_follower import rank


def make_hosts(tickets, value, start_s=0.0):
    """Return one host that follows a log, and a log of so many tickets."""
    hosts = FakeHosts()
    hosts.clock.advance(start_s)
    for number in range(1, tickets + 1):
        hosts.submit(ticket(number, tier("urgent", value)))
    hosts.follow("host-0")
    return hosts


def test_state_of_another_log_is_not_installed():
    """Guards against the tickets of another fleet, in an outage of the log too."""
    ours, theirs = make_hosts(1, 3), make_hosts(9, 7, start_s=60.0)
    follower = ours.followers["host-0"]
    follower.replica.record_read_failure()
    follower.install_state(theirs.followers["host-0"].make_snapshot())
    assert rank(follower) == 3
    assert follower.ledger.next == 1


def test_logs_that_begin_with_the_same_ticket_are_told_apart():
    one, other = make_hosts(1, 3), make_hosts(1, 3, start_s=60.0)
    origins = [row.followers["host-0"].ledger.origin for row in (one, other)]
    assert all(origins)
    assert origins[0] != origins[1]


@pytest.mark.parametrize("outage", [True, False])
@pytest.mark.parametrize("tickets", [1, 3])
def test_another_log_at_the_same_address_is_followed(outage, tickets):
    """Guards against a host that keeps the tickets of a former log for good."""
    hosts = make_hosts(4, 3)
    follower = hosts.followers["host-0"]
    before = follower.ledger.origin
    if outage:
        hosts.clients["host-0"].disconnected = True
        hosts.follow("host-0")
        hosts.clients["host-0"].disconnected = False
    hosts.clock.advance(60.0)
    hosts.log.records.clear()
    hosts.follow("host-0")
    assert follower.replica.phase is Phase.FORKED
    assert rank(follower) == 3
    for number in range(1, tickets + 1):
        hosts.submit(ticket(number, tier("urgent", 5)))
    hosts.clock.advance(2.0)
    hosts.follow("host-0")
    assert rank(follower) == 5
    assert follower.ledger.next == tickets
    assert follower.ledger.origin != before


def test_a_log_restored_from_a_copy_keeps_its_origin():
    """Guards against a loss of tickets that the copy lacks and hosts know."""
    hosts = make_hosts(4, 3)
    follower = hosts.followers["host-0"]
    before = follower.ledger.origin
    del hosts.log.records["config"][2:]
    for _ in range(3):
        hosts.follow("host-0")
        hosts.clock.advance(3.0)
    assert follower.replica.phase is Phase.FORKED
    assert (follower.ledger.next, follower.ledger.origin) == (4, before)


def test_snapshots_tell_the_origin_and_need_not():
    """Guards against snapshots that hosts of two versions can't exchange."""
    ledger = make_hosts(2, 3).followers["host-0"].ledger
    data = encode_snapshot(ledger)
    assert decode_snapshot(data).origin == ledger.origin
    body = cbor2.loads(zlib.decompress(data[len(SNAPSHOT_MAGIC) :]))
    assert set(body["head"]) == {"next", "tail", "floor"}
    del body["origin"]
    former = SNAPSHOT_MAGIC + zlib.compress(cbor2.dumps(body))
    assert decode_snapshot(former).origin == ""
    follower = make_hosts(0, 0).followers["host-0"]
    follower.replica.record_read_failure()
    follower.install_state(ConfigSnapshot(former))
    assert rank(follower) == 3


@pytest.mark.parametrize("origin", [5, None, ["x"]])
def test_an_origin_that_is_no_text_is_refused(origin):
    ledger = make_hosts(1, 3).followers["host-0"].ledger
    data = encode_snapshot(ledger)
    body = cbor2.loads(zlib.decompress(data[len(SNAPSHOT_MAGIC) :])) | {
        "origin": origin
    }
    with pytest.raises(InvalidSnapshot):
        decode_snapshot(SNAPSHOT_MAGIC + zlib.compress(cbor2.dumps(body)))
