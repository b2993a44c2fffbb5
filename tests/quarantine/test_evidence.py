"""What shows that a target has ended under a call."""

import contextlib
import dataclasses
import socket
import threading

import pytest

from godwitladder.clock import ManualClock
from godwitladder.decisions.health.crashes import TargetProcess
from godwitladder.platform.headers import PlatformHeaders
from godwitladder.quarantine.evidence import (
    HEARD_MARGIN_S,
    MAX_WAIT_S,
    MEMORY_S,
    CrashEvidence,
    LossVerdict,
    LostCall,
    TargetPresence,
)
from godwitladder.quarantine.probing import ProbeResult, TargetProbe
from godwitladder.quarantine.traits import RequestTraits
from godwitladder.standins.ports import free_ports
from godwitladder.standins.routed import HEALTH_PATH, start_engine
from soak.proxy import close_connections
from tests.engines.cut_target import Cut, CutTarget
from tests.engines.raw_target import RawTarget

PROBE = TargetProbe(PlatformHeaders())


def closed_address():
    return f"127.0.0.1:{free_ports(1)[0]}"


@pytest.fixture
def silent():
    """Address that accepts connections and holds them without a word."""
    with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as server:
        yield f"127.0.0.1:{server.getsockname()[1]}"


@pytest.fixture
def closing():
    """Address that accepts connections and closes them unread."""
    server = socket.create_server(("127.0.0.1", 0))
    thread = threading.Thread(target=close_connections, args=(server,))
    thread.start()
    yield f"127.0.0.1:{server.getsockname()[1]}"
    server.shutdown(socket.SHUT_RDWR)
    server.close()
    thread.join()


@pytest.fixture
def engine():
    """A live target, whose name is t1."""
    with contextlib.ExitStack() as stack:
        server = start_engine()
        stack.callback(server.server_close)
        stack.callback(server.shutdown)
        server.standin.knobs.name = "t1"
        yield server


def make_evidence(*addresses, leaving=False):
    evidence = CrashEvidence(ManualClock(), lambda: addresses, PROBE)
    evidence.take_ended({"t1": TargetPresence("1", leaving, HEALTH_PATH)})
    return evidence


def lost_call(address="127.0.0.1:1"):
    return LostCall(RequestTraits("letter"), "t1", address, "1", False)


def test_a_target_that_refuses_connections_has_ended(silent):
    ended = closed_address()
    verdict = make_evidence(ended, silent).examine(lost_call(ended))
    assert verdict is LossVerdict.ENDED


def test_a_process_that_took_over_an_address_has_not_ended(silent):
    """Guards against an end that counts for the next process at the address too."""
    ended = closed_address()
    evidence = make_evidence(ended, silent)
    assert evidence.examine(lost_call(ended)) is LossVerdict.ENDED
    port = int(ended.rpartition(":")[2])
    with contextlib.closing(socket.create_server(("127.0.0.1", port))):
        again = dataclasses.replace(lost_call(ended), generation="2")
        assert evidence.examine(again) is LossVerdict.UNKNOWN


def test_a_target_that_answers_has_only_lost_an_answer(engine):
    """Guards against lost answers of live targets that count as crashes."""
    evidence = make_evidence(engine.address, closed_address())
    assert evidence.examine(lost_call(engine.address)) is LossVerdict.ALIVE
    assert engine.standin.runs == []


def test_a_target_whose_address_another_one_has_has_ended(engine):
    """Guards against an end that nothing shows, as the address is in use at once."""
    engine.standin.knobs.name = "t2"
    call = lost_call(engine.address)
    assert make_evidence(engine.address).examine(call) is LossVerdict.ENDED


def test_a_target_that_leaves_gives_its_address_away(engine):
    """Guards against calls that count as poison when a target is replaced."""
    engine.standin.knobs.name = "t2"
    evidence = make_evidence(engine.address, leaving=True)
    assert evidence.examine(lost_call(engine.address)) is LossVerdict.UNKNOWN


@pytest.mark.parametrize("address", ["silent", "closing"])
def test_an_address_that_accepts_connections_may_have_lost_its_process(
    address, request
):
    """Guards against targets that end without refusing connections and pass as live."""
    address = request.getfixturevalue(address)
    assert make_evidence(address).examine(lost_call(address)) is LossVerdict.UNKNOWN


def test_a_service_without_a_health_check_is_not_asked(engine):
    """Guards against a request that nobody sent."""
    evidence = make_evidence(engine.address)
    evidence.take_ended({"t1": TargetPresence("1", False)})
    assert evidence.examine(lost_call(engine.address)) is LossVerdict.UNKNOWN
    assert engine.standin.runs == []


def test_the_line_tells_what_the_probe_found(silent, caplog):
    """Guards against losses whose lines don't tell why no end was seen."""
    caplog.set_level("INFO")
    ended = closed_address()
    make_evidence(silent, ended).examine(lost_call(silent))
    make_evidence(ended).examine(lost_call(ended))
    assert [(row.probe, row.verdict) for row in caplog.records] == [
        (ProbeResult.NO_ANSWER.value, LossVerdict.UNKNOWN.value),
        (ProbeResult.REFUSED.value, LossVerdict.UNREACHED.value),
    ]


def test_a_host_that_reaches_no_target_sees_no_crash():
    """Guards against a host without paths that takes all its calls for poison."""
    ended, other = closed_address(), closed_address()
    verdict = make_evidence(ended, other).examine(lost_call(ended))
    assert verdict is LossVerdict.UNREACHED


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


@pytest.mark.parametrize("code", [b"000", b"099", b"199", b"600", b"999"])
def test_a_status_outside_the_protocol_is_no_answer_to_a_probe(code):
    """Guards against a target in trouble that counts as one that answered."""
    head = b"HTTP/1.1 " + code + b" Odd\r\nContent-Length: 0\r\n\r\n"
    with RawTarget(head, closes=True) as target:
        assert PROBE("t1", target.address, HEALTH_PATH) is ProbeResult.NO_ANSWER


def test_a_head_cut_by_a_reset_is_no_answer_to_a_probe():
    """Guards against a part of an answer that shows a target to be alive."""
    cut = Cut(len(b"HTTP/1.1 200 OK\r\nContent-Le"), resets=True, in_parts=False)
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    with CutTarget(answer, cut) as target:
        assert PROBE("t1", target.address, HEALTH_PATH) is ProbeResult.NO_ANSWER


@pytest.fixture
def unreached():
    """Address of a listener with a full queue, which establishes no connection."""
    with contextlib.ExitStack() as stack:
        server = stack.enter_context(
            contextlib.closing(socket.create_server(("127.0.0.1", 0), backlog=0))
        )
        for _ in range(4):
            blocker = stack.enter_context(contextlib.closing(socket.socket()))
            blocker.setblocking(False)
            blocker.connect_ex(server.getsockname())
        yield f"127.0.0.1:{server.getsockname()[1]}"


def examine_silence(address, other, trial=False):
    evidence = make_evidence(address, other)
    return evidence.examine_silence(
        dataclasses.replace(lost_call(address), trial=trial)
    )


def test_a_dark_target_may_have_ended_under_a_call_that_was_given_up(unreached, silent):
    """Guards against targets that go dark one by one until their entries go."""
    assert examine_silence(unreached, silent) is LossVerdict.UNKNOWN


def test_a_busy_target_has_not_ended_under_a_call_that_was_given_up(silent):
    """Guards against suspects among callers who give up under overload."""
    assert examine_silence(silent, silent) is LossVerdict.ALIVE


def test_a_trial_that_was_given_up_shows_nothing_before_its_target_answers(
    silent, engine
):
    """Guards against one trial after the other at targets that fall silent."""
    assert examine_silence(silent, engine.address, trial=True) is LossVerdict.UNKNOWN
    verdict = examine_silence(engine.address, silent, trial=True)
    assert verdict is LossVerdict.ALIVE


def test_a_silent_target_is_seldom_probed_under_calls_that_were_given_up(silent):
    """Guards against a connection for each caller that gives up under overload."""
    probes = []

    def probe(*args):
        probes.append(args)
        return ProbeResult.NO_ANSWER

    evidence = CrashEvidence(ManualClock(), lambda: (silent,), probe)
    for _ in range(10):
        evidence.examine_silence(lost_call(silent))
    assert len(probes) == 1
    evidence.clock.advance(MEMORY_S)
    evidence.examine_silence(lost_call(silent))
    assert len(probes) == 2


def test_a_process_that_was_heard_of_after_a_loss_did_not_end_under_it():
    """Guards against calls that were given up and count as a later end's cause."""
    evidence = make_evidence()
    call = lost_call()
    evidence.wait_for_entry(call)
    evidence.clock.advance(HEARD_MARGIN_S + 0.1)
    evidence.hear(TargetProcess(call.target, call.generation))
    assert evidence.take_ended({}) == []


def test_what_arrives_late_does_not_show_that_a_process_lives():
    """Guards against bytes of before the end that are read just after a loss."""
    evidence = make_evidence()
    call = lost_call()
    evidence.wait_for_entry(call)
    evidence.hear(TargetProcess(call.target, call.generation))
    assert evidence.take_ended({}) == [call]


def test_little_is_kept_of_processes_that_were_heard_of():
    """Guards against a table that grows with each process that there ever was."""
    evidence = make_evidence()
    for number in range(100):
        evidence.hear(TargetProcess(f"t{number}"))
        evidence.clock.advance(1.0)
        evidence.take_ended({})
    assert len(evidence.heard_at) <= MAX_WAIT_S + 1
