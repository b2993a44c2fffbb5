"""Parts of prompts that crash targets, in requests of which no two are alike."""

import contextlib
import itertools
import threading

import pytest

from godwitladder.membership.codec import decode, encode
from godwitladder.quarantine import registry, traits
from godwitladder.quarantine.evidence import LostCall
from godwitladder.quarantine.gate import HeldBack
from godwitladder.quarantine.records import Cleared, Crash, TrialBegan, TrialEnded
from godwitladder.quarantine.traits import make_traits
from tests.quarantine.test_gate import Net

BAD, FIRST = "bad0", "f1"
numbers = itertools.count()


def request(*parts, workspace="w1", service="model"):
    """Return the traits of a new request; a part of its own comes last."""
    number = next(numbers)
    digest = f"digest{number}"
    return make_traits(digest, workspace, service, [*parts, f"own{number}"])


def crash(gate, row):
    """Send a request to a new target that crashes; return if it ran on trial."""
    target = f"t{next(numbers)}"
    trial = gate.begin(row, target)
    gate.record_loss(LostCall(row, target, "address", "1", trial))
    return trial


def run(gate, row):
    """Send a request that runs to its end; return if it ran on trial."""
    trial = gate.begin(row, f"t{next(numbers)}")
    gate.record_completion(row)
    return trial


def quarantine(net, *parts, workspace="w1"):
    """Let three targets crash under requests with ``parts``."""
    for number in range(3):
        crash(net.gates[number % len(net.gates)], request(*parts, workspace=workspace))


def test_a_part_takes_three_targets_over_all_hosts():
    net = Net(3)
    run(net.gates[0], request(FIRST))
    trials = [crash(net.gates[n], request(FIRST, BAD)) for n in range(3)]
    assert trials == [False, False, True]
    for gate in net.gates:
        refusal = gate.refusal(request("other", BAD, FIRST))
        assert refusal.retry_after_s is None
        assert not run(gate, request(FIRST))


def test_the_second_try_of_a_host_spends_the_budget_of_the_part():
    """Guards against two targets for each request, by the host's own second try."""
    net = Net(2)
    first = request(BAD)
    crash(net.gates[0], first)
    crash(net.gates[0], first)
    second = request(BAD)
    assert crash(net.gates[1], second)
    assert net.gates[1].refusal(second)


def test_sound_requests_with_the_other_parts_are_tried_at_once():
    """Guards against parts that wait with the bad one, as nothing has cleared them."""
    net = Net(2)
    quarantine(net, FIRST, BAD)
    assert run(net.gates[0], request(FIRST))
    assert not run(net.gates[1], request(FIRST))
    assert net.gates[1].refusal(request(FIRST, BAD))


def test_bad_requests_with_fewer_suspects_show_the_cause():
    """Guards against a bad part that gets through with ever other parts beside it."""
    net = Net(1)
    gate = net.gates[0]
    quarantine(net, "s1", "s2", BAD)
    assert crash(gate, request("s3", BAD))
    for number in range(10):
        assert gate.refusal(request(f"s{number}", BAD))


def test_a_workspace_that_names_a_part_of_others_holds_back_only_itself():
    """Guards against a caller who has a part of another workspace refused."""
    net = Net(2)
    quarantine(net, "letters", workspace="mallory")
    assert run(net.gates[0], request("letters", workspace="alice"))
    assert not run(net.gates[1], request("letters", workspace="alice"))
    assert net.gates[0].refusal(request("letters", workspace="mallory"))


def test_the_last_part_is_never_suspected():
    """Guards against a session that is held back for its own requests alone."""
    net = Net(1)
    for number in range(3):
        row = make_traits(f"d{number}", "w1", "model", ["session"])
        crash(net.gates[0], row)
    assert net.gates[0].refusal(make_traits("d9", "w1", "model", ["session"])) is None


def test_a_run_to_its_end_clears_all_parts_on_all_hosts():
    """Guards against parts that wait for each other's trials, one after the other."""
    net = Net(2)
    for _ in range(2):
        crash(net.gates[0], request("a", "b"))
    assert run(net.gates[1], request("b", "a"))
    assert not run(net.gates[0], request("a"))
    assert not run(net.gates[0], request("b"))


def test_what_completed_elsewhere_before_the_crashes_is_not_suspected():
    """Guards against a part that waits for a trial, though it ran well on a peer."""
    net = Net(3)
    run(net.gates[2], request("rare"))
    net.clock.advance(30.0)
    for _ in range(2):
        crash(net.gates[0], request("rare"))
    assert not net.gates[1].begin(request("rare"), "t1")


def test_a_part_that_ran_well_before_is_stopped_as_well():
    """Guards against trust in former runs of a part that now crashes each target."""
    net = Net(2)
    run(net.gates[1], request(BAD))
    net.clock.advance(1.0)
    trials = [crash(net.gates[0], request(BAD)) for _ in range(5)]
    assert trials == [False] * 4 + [True]
    assert net.gates[1].refusal(request(BAD))


def test_a_host_that_starts_learns_the_parts_from_one_link():
    """Guards against hosts that start with no memory of what crashed the targets."""
    net = Net(2)
    quarantine(net, FIRST, BAD)
    net.gates.append(net.make_gate(2))
    net.link_up(1, 2)
    assert net.gates[2].refusal(request(FIRST, BAD)).retry_after_s is None
    assert run(net.gates[2], request(FIRST))


def test_a_host_that_starts_learns_what_is_quarantined_first(monkeypatch):
    """Guards against newer suspects that crowd the bad part out of the message."""
    monkeypatch.setattr(registry, "MAX_KNOWN_ROWS", 6)
    net = Net(1)
    quarantine(net, BAD)
    net.clock.advance(1.0)
    for number in range(9):
        crash(net.gates[0], request(f"beside{number}"))
    net.gates.append(net.make_gate(1))
    net.link_up(0, 1)
    assert net.gates[1].refusal(request(BAD))


def test_parts_that_both_sides_of_a_cut_saw_count_together():
    """Guards against crashes on both sides of a cut that are not added up."""
    net = Net(2)
    net.cut = {1}
    crash(net.gates[0], request(BAD))
    crash(net.gates[1], request(BAD))
    net.link_up(0, 1)
    net.cut = set()
    assert net.gates[0].begin(request(BAD), "t1")
    assert net.gates[1].refusal(request(BAD)).retry_after_s


def test_a_quarantined_part_is_tried_again_only_twice():
    """Guards against new requests that each earn a trial of their own."""
    net = Net(2)
    quarantine(net, BAD)
    ended = 0
    for number in range(120):
        net.clock.advance(1.0)
        row = request(BAD)
        gate = net.gates[number % 2]
        if gate.refusal(row) is None:
            ended += crash(gate, row)
    assert ended == 2


def test_a_trial_holds_back_all_with_a_suspected_part():
    """Guards against requests never alike that are each on trial at the same time."""
    net = Net(2)
    for _ in range(2):
        crash(net.gates[0], request(BAD))
    assert net.gates[0].begin(request(BAD), "t1")
    assert net.gates[1].refusal(request(BAD)).retry_after_s


def test_the_crash_of_another_request_ends_no_trial():
    """Guards against a second trial of a part, as one that ran before ends as well."""
    net = Net(1)
    gate = net.gates[0]
    for _ in range(2):
        crash(gate, request(BAD))
    gate.begin(request(BAD), "t1")
    gate.record_loss(LostCall(request(BAD), "t2", "address", "1", False))
    assert gate.refusal(request(BAD))


def test_the_crash_of_a_copy_sent_before_ends_no_trial():
    """Guards against a second trial, as a copy ends that was under way before."""
    net = Net(1)
    gate = net.gates[0]
    for _ in range(2):
        crash(gate, request(BAD))
    row = request(BAD)
    gate.begin(row, "t1")
    gate.record_loss(LostCall(row, "t2", "address", "1", False))
    assert gate.refusal(request(BAD))


def test_a_request_ends_its_own_trial_alone():
    """Guards against a second trial of a part, as another request's one is given up."""
    net = Net(1)
    gate = net.gates[0]
    for _ in range(2):
        crash(gate, request(BAD))
    gate.begin(request(BAD), "t1")
    gate.end_trial(request(BAD))
    assert gate.refusal(request(BAD))


def test_a_former_run_ends_no_trial():
    """Guards against a second trial of a part, as a host tells of a run before it."""
    net = Net(1)
    gate = net.gates[0]
    for _ in range(2):
        crash(gate, request(BAD))
    gate.begin(request(BAD), "t1")
    gate.receive(Cleared("e1", "d", (BAD,), 70.0), "h2")
    assert gate.refusal(request(BAD))


def test_two_threads_of_a_host_begin_one_trial():
    """Guards against a target for each thread that checks at the same moment."""
    net = Net(1)
    gate = net.gates[0]
    for _ in range(2):
        crash(gate, request(BAD))
    both = threading.Barrier(2, timeout=5.0)
    is_held, trials = gate.registry.held_traits, []

    def meet(traits):
        with contextlib.suppress(threading.BrokenBarrierError):
            both.wait(0.2)
        return is_held(traits)

    def begin(row):
        with contextlib.suppress(HeldBack):
            trials.append(gate.begin(row, f"t{row.digest}"))

    gate.registry.held_traits = meet
    threads = [threading.Thread(target=begin, args=(request(BAD),)) for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert trials == [True]


def test_completed_runs_of_a_known_part_are_told_if_they_change_something():
    """Guards against a message for each run, or crash, of a part that all share.

    The first run makes the part trusted; the next to be told is the one after a second
    crash in a row.
    """
    net = Net(1)
    sent = []
    gate = net.gates[0]
    gate.broadcast = sent.append
    for _ in range(3):
        crash(gate, request(FIRST))
        for _ in range(50):
            run(gate, request(FIRST))
    assert [type(event) for event in sent].count(Cleared) == 2


def test_the_lines_tell_the_parts_the_suspects_and_what_cleared_them(caplog):
    """Guards against crashes of which no line tells what their requests share."""
    caplog.set_level("INFO")
    net = Net(1)
    for _ in range(2):
        crash(net.gates[0], request(FIRST, BAD))
    run(net.gates[0], request(FIRST))
    lines = {row.getMessage().split(": ")[-1]: row for row in caplog.records}
    assert BAD in lines["The target has ended"].parts
    assert BAD in lines["A target crashed under a request"].held
    assert FIRST in lines["A request is on trial"].held
    assert FIRST in lines["A request is cleared"].cleared


def test_a_prompt_of_many_parts_is_bounded():
    """Guards against a caller that fills the table with one request."""
    row = request(*(f"p{number}" for number in range(10_000)))
    assert len(row.ids) == 1 + 2 * traits.MAX_PARTS


@pytest.mark.parametrize("name", ["x" * 5_000, "a@b", "\u00e4\n", ""])
def test_an_unusual_name_of_a_part_is_short_in_messages(name):
    """Guards against a name that fills messages, or passes for another trait."""
    row = request(name)
    assert all(len(trait) <= 48 for trait in row.parts)
    assert row.parts[0].isalnum()


def test_events_with_parts_pass_between_hosts_unchanged():
    for event in (
        Crash("e1", "t1", "d", True, "7", ("f1", "f1@w"), ("f1",)),
        Cleared("e2", "d", ("f1",), 2.5),
        TrialBegan("e3", "d", "t1", ("f1",)),
        TrialEnded("e4", "d", ("f1",)),
    ):
        assert decode(encode(event)) == event
