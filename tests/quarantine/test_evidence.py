"""What shows that a target has ended under a call."""

import contextlib
import dataclasses
import socket

import pytest

from godwitladder.clock import ManualClock
from godwitladder.quarantine.evidence import (
    MAX_WAIT_S,
    CrashEvidence,
    LostCall,
    TargetPresence,
)
from godwitladder.quarantine.traits import RequestTraits
from godwitladder.standins.ports import free_ports


def closed_address():
    return f"127.0.0.1:{free_ports(1)[0]}"


@pytest.fixture
def live():
    """Address of a target that accepts connections."""
    with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


def make_evidence(*addresses):
    return CrashEvidence(ManualClock(), lambda: addresses)


def lost_call(address="127.0.0.1:1"):
    return LostCall(RequestTraits("letter"), "t1", address, "1", False)


def test_a_target_that_refuses_connections_has_ended(live):
    ended = closed_address()
    assert make_evidence(ended, live).has_ended(lost_call(ended))


def test_a_process_that_took_over_an_address_has_not_ended(live):
    """Guards against an end that counts for the next process at the address too."""
    ended = closed_address()
    evidence = make_evidence(ended, live)
    assert evidence.has_ended(lost_call(ended))
    port = int(ended.rpartition(":")[2])
    with contextlib.closing(socket.create_server(("127.0.0.1", port))):
        again = dataclasses.replace(lost_call(ended), generation="2")
        assert not evidence.has_ended(again)


def test_a_target_that_accepts_connections_has_only_lost_an_answer(live):
    """Guards against lost answers of live targets that count as crashes."""
    assert not make_evidence(live, closed_address()).has_ended(lost_call(live))


def test_the_line_tells_what_became_of_the_connection(live, caplog):
    """Guards against losses whose lines don't tell why no end was seen."""
    caplog.set_level("INFO")
    ended = closed_address()
    assert not make_evidence(live, ended).has_ended(lost_call(live))
    assert not make_evidence(ended).has_ended(lost_call(ended))
    assert [row.connection for row in caplog.records] == ["accepted", "refused"]


def test_a_host_that_reaches_no_target_sees_no_crash():
    """Guards against a host without paths that takes all its calls for poison."""
    ended, other = closed_address(), closed_address()
    assert not make_evidence(ended, other).has_ended(lost_call(ended))


@pytest.mark.parametrize(
    "present",
    [{}, {"t1": TargetPresence("2", False)}],
    ids=["entry_gone", "another_process"],
)
def test_the_entry_shows_an_end_that_no_connection_showed(present):
    """Guards against targets that end in silence, or are back at once."""
    evidence = make_evidence()
    evidence.wait_for_entry(lost_call())
    assert evidence.take_ended({"t1": TargetPresence("1", False)}) == []
    assert evidence.take_ended(present) == [lost_call()]
    assert evidence.take_ended(present) == []


def test_a_target_that_leaves_has_not_crashed():
    """Guards against calls that count as poison when a target is taken away."""
    evidence = make_evidence()
    evidence.wait_for_entry(lost_call())
    evidence.take_ended({"t1": TargetPresence("1", True)})
    assert evidence.take_ended({}) == []


def test_an_entry_that_goes_much_later_shows_nothing():
    """Guards against old lost answers that count when a target ends in time."""
    evidence = make_evidence()
    evidence.wait_for_entry(lost_call())
    evidence.clock.advance(MAX_WAIT_S + 1)
    evidence.take_ended({"t1": TargetPresence("1", False)})
    assert evidence.take_ended({}) == []
