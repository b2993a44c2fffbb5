"""Which routed calls a host holds back, and what it learns from its peers."""

import pytest

from godwitladder.clock import ManualClock
from godwitladder.membership.codec import decode, encode
from godwitladder.outcomes import RequestState
from godwitladder.quarantine.evidence import LossVerdict, LostCall
from godwitladder.quarantine.gate import HeldBack, QuarantineGate
from godwitladder.quarantine.records import (
    Cleared,
    Crash,
    PossibleCrash,
    TrialBegan,
)
from godwitladder.quarantine.registry import NOTHING_KNOWN
from godwitladder.quarantine.traits import RequestTraits
from godwitladder.serving.problems import refusal_status


class FakeEvidence:
    """Evidence whose verdict a test sets; entries show the rest."""

    def __init__(self, verdict=LossVerdict.ENDED):
        self.verdict = verdict
        self.waiting = []

    def examine(self, call):
        return self.verdict

    def wait_for_entry(self, call):
        self.waiting.append(call)

    def take_ended(self, present):
        ended = [call for call in self.waiting if call.target not in present]
        self.waiting = [call for call in self.waiting if call.target in present]
        return ended


class Net:
    """Gates of several hosts that hear from each other at once, unless cut off."""

    def __init__(self, count):
        self.clock = ManualClock()
        self.cut = set()
        self.evidence = FakeEvidence()
        self.gates = [self.make_gate(number) for number in range(count)]

    def make_gate(self, number):
        return QuarantineGate(
            self.clock,
            lambda event: self.broadcast(number, event),
            self.evidence,
        )

    def broadcast(self, sender, event):
        for number, gate in enumerate(self.gates):
            if number != sender and not {number, sender} & self.cut:
                gate.receive(decode(encode(event)), f"h{sender}")

    def link_up(self, one, two):
        pair = self.gates[one].registry, self.gates[two].registry
        known = [decode(encode(row.known_crashes())) for row in pair]
        for registry, other in zip(pair, reversed(known), strict=True):
            registry.merge(other)


def whole(digest):
    """Return the traits of a request whose prompt has no parts."""
    return RequestTraits(digest)


def crash(gate, number, digest="poison"):
    """Send a request to a target that crashes under it; return if that was a trial."""
    trial = gate.begin(whole(digest), f"t{number}")
    gate.record_loss(LostCall(whole(digest), f"t{number}", "address", "1", trial))
    return trial


def quarantine(net, digest="poison"):
    return [crash(net.gates[0], number, digest) for number in range(3)]


def test_a_request_takes_three_targets_over_all_hosts():
    net = Net(3)
    assert [crash(net.gates[n], n) for n in range(3)] == [False, False, True]
    for gate in net.gates:
        refusal = gate.refusal(whole("poison"))
        assert refusal.outcome is RequestState.NOT_RUN
        assert refusal_status(refusal) == 503


def test_a_quarantined_request_is_not_invited_back():
    """Guards against a refusal that tells the caller to repeat what is never run."""
    net = Net(1)
    quarantine(net)
    assert net.gates[0].refusal(whole("poison")).retry_after_s is None


def test_copies_of_a_suspect_wait_for_its_trial():
    """Guards against copies at several hosts that crash a target each."""
    net = Net(2)
    crash(net.gates[0], 0)
    crash(net.gates[0], 1)
    assert net.gates[0].begin(whole("poison"), "t2")
    assert net.gates[1].refusal(whole("poison")).retry_after_s
    net.gates[0].end_trial(whole("poison"))
    assert net.gates[1].refusal(whole("poison")) is None


def test_copies_that_were_queued_are_held_back_before_they_are_sent():
    """Guards against copies that were admitted before the first crash was known."""
    net = Net(1)
    assert net.gates[0].refusal(whole("poison")) is None
    quarantine(net)
    with pytest.raises(HeldBack):
        net.gates[0].begin(whole("poison"), "t9")


def test_two_suspects_are_not_tried_on_one_target():
    """Guards against a crash that may have been caused by either of two suspects."""
    net = Net(2)
    for number in range(2):
        crash(net.gates[0], number)
        crash(net.gates[0], number, "letter")
    assert net.gates[0].begin(whole("poison"), "t5")
    with pytest.raises(HeldBack):
        net.gates[1].begin(whole("letter"), "t5")
    assert net.gates[1].begin(whole("letter"), "t6")


def test_those_beside_a_quarantined_request_run_and_are_cleared_everywhere():
    """Guards against innocent requests that stay suspected once the cause is known."""
    net = Net(2)
    for number in range(2):
        crash(net.gates[0], number)
        crash(net.gates[0], number, "letter")
    crash(net.gates[0], 2)
    assert net.gates[1].refusal(whole("letter")) is None
    assert net.gates[1].begin(whole("letter"), "t7")
    net.gates[1].record_completion(whole("letter"))
    for gate in net.gates:
        assert not gate.begin(whole("letter"), "t8")


def test_a_request_that_is_quarantined_takes_no_blame_for_others():
    """Guards against a second cause of the same crashes that goes on as if cleared."""
    net = Net(2)
    for number in range(2):
        crash(net.gates[0], number, "one")
        crash(net.gates[0], number, "other")
    crash(net.gates[0], 2, "one")
    assert crash(net.gates[1], 3, "other")
    assert net.gates[0].refusal(whole("other"))


def test_a_completed_run_clears_on_all_hosts():
    net = Net(2)
    crash(net.gates[0], 0, "letter")
    crash(net.gates[0], 1, "letter")
    net.gates[1].record_completion(whole("letter"))
    assert not net.gates[0].begin(whole("letter"), "t2")


def test_a_completed_run_of_an_unknown_request_tells_nobody():
    """Guards against a message for each request that is served."""
    sent = []
    gate = QuarantineGate(ManualClock(), sent.append, FakeEvidence())
    gate.record_completion(whole("letter"))
    assert sent == []


def test_a_lost_answer_of_a_live_target_is_no_crash():
    net = Net(1)
    net.evidence.verdict = LossVerdict.ALIVE
    for number in range(5):
        assert not crash(net.gates[0], number)
    assert len(net.evidence.waiting) == 5


def unclear_net(count):
    """Return hosts on which nothing shows for seconds whether a target has ended."""
    net = Net(count)
    net.evidence.verdict = LossVerdict.UNKNOWN
    return net


def test_while_nothing_shows_an_end_a_request_takes_three_targets_over_all_hosts():
    """Guards against a target that ends at each send until the first entry goes."""
    net = unclear_net(3)
    assert [crash(net.gates[n], n) for n in range(3)] == [False, False, True]
    for gate in net.gates:
        assert gate.refusal(whole("poison")).retry_after_s


def test_a_trial_lasts_until_its_verdict():
    """Guards against a trial whose lost answer lets the next copy through."""
    net = unclear_net(2)
    crash(net.gates[0], 0)
    crash(net.gates[0], 1)
    assert net.gates[0].begin(whole("poison"), "t2")
    net.clock.advance(5.0)
    call = LostCall(whole("poison"), "t2", "address", "1", True)
    assert net.gates[0].record_loss(call)
    net.clock.advance(9.0)
    assert net.gates[1].refusal(whole("poison")).retry_after_s
    net.gates[0].update_targets({})
    assert net.gates[1].refusal(whole("poison")).retry_after_s is None


def test_a_trial_at_a_target_that_runs_on_ends_at_once():
    """Guards against a request that waits for a verdict on a lost answer."""
    net = unclear_net(2)
    crash(net.gates[0], 0)
    crash(net.gates[0], 1)
    net.evidence.verdict = LossVerdict.ALIVE
    call = LostCall(whole("poison"), "t2", "address", "1", True)
    assert net.gates[0].begin(whole("poison"), "t2")
    assert not net.gates[0].record_loss(call)
    net.gates[0].end_trial(whole("poison"))
    assert net.gates[1].refusal(whole("poison")) is None


def test_a_part_that_others_share_waits_for_no_verdict():
    """Guards against one lost trial that holds back all with a part in common."""
    net = unclear_net(2)
    for number in range(3):
        traits = RequestTraits(f"d{number}", ("f1", "bad"))
        trial = net.gates[0].begin(traits, f"t{number}")
        net.gates[0].record_loss(LostCall(traits, f"t{number}", "a", "1", trial))
    assert net.gates[1].refusal(RequestTraits("d3", ("f1", "bad"))).retry_after_s
    assert net.gates[1].begin(RequestTraits("d4", ("f1",)), "t5")


def test_a_request_that_completes_is_free_of_crashes_that_nothing_confirms():
    """Guards against popular requests that wait for the entries of targets."""
    net = unclear_net(2)
    crash(net.gates[0], 0, "letter")
    crash(net.gates[1], 1, "letter")
    net.gates[0].record_completion(whole("letter"))
    for gate in net.gates:
        assert not gate.begin(whole("letter"), "t2")


def test_losses_at_one_target_make_no_suspect():
    """Guards against requests that are suspected for one target that loses answers."""
    net = unclear_net(1)
    assert [crash(net.gates[0], 0, "letter") for _ in range(9)] == [False] * 9


def test_losses_that_nothing_confirms_are_forgotten():
    """Guards against requests that are suspected long after two lost answers."""
    net = unclear_net(1)
    crash(net.gates[0], 0, "letter")
    crash(net.gates[0], 1, "letter")
    net.clock.advance(31.0)
    assert not net.gates[0].begin(whole("letter"), "t2")


def test_a_new_link_does_not_bring_back_losses_that_are_forgotten():
    """Guards against old lost answers that count again as a host starts."""
    net = unclear_net(2)
    crash(net.gates[0], 0, "letter")
    net.clock.advance(31.0)
    crash(net.gates[0], 1, "letter")
    net.gates.append(net.make_gate(2))
    net.link_up(1, 2)
    assert not net.gates[2].begin(whole("letter"), "t5")


def test_a_crash_that_is_confirmed_counts_once():
    """Guards against one end that counts as two, and makes suspects too early."""
    net = unclear_net(1)
    gate = net.gates[0]
    crash(gate, 0, "letter")
    net.clock.advance(11.0)
    gate.update_targets({})
    assert not gate.begin(whole("letter"), "t2")


def test_a_host_that_starts_learns_of_crashes_that_nothing_confirms_yet():
    """Guards against a new host that sends on what its peers hold."""
    net = unclear_net(2)
    for number in range(2):
        crash(net.gates[0], number)
    net.gates.append(net.make_gate(2))
    net.link_up(1, 2)
    assert net.gates[2].begin(whole("poison"), "t5")


def test_a_host_that_starts_learns_all_from_one_link():
    """Guards against hosts that start with no memory of what crashed the targets."""
    net = Net(2)
    quarantine(net)
    net.gates.append(net.make_gate(2))
    net.link_up(1, 2)
    assert net.gates[2].refusal(whole("poison")).retry_after_s is None


def test_a_host_that_was_cut_off_learns_both_crashes_and_clearings():
    """Guards against a link that comes back and brings old suspicions with it."""
    net = Net(2)
    crash(net.gates[0], 7, "letter")
    crash(net.gates[0], 8, "letter")
    net.clock.advance(1.0)
    net.cut = {1}
    net.gates[0].record_completion(whole("letter"))
    quarantine(net)
    net.cut = set()
    net.link_up(0, 1)
    assert not net.gates[1].begin(whole("letter"), "t5")
    assert not net.gates[0].begin(whole("letter"), "t6")
    assert net.gates[1].refusal(whole("poison"))


def test_a_peer_that_missed_a_clearing_brings_no_old_suspicion_back():
    """Guards against a suspicion that returns when the trust in the run has ended."""
    net = Net(2)
    crash(net.gates[0], 7, "letter")
    crash(net.gates[0], 8, "letter")
    net.clock.advance(1.0)
    net.cut = {1}
    net.gates[0].record_completion(whole("letter"))
    net.clock.advance(61.0)
    net.cut = set()
    net.link_up(0, 1)
    for gate in net.gates:
        assert not gate.begin(whole("letter"), "t5")


def test_what_two_parts_saw_counts_together():
    """Guards against crashes on both sides of a cut that are not added up."""
    net = Net(2)
    net.cut = {1}
    crash(net.gates[0], 0)
    crash(net.gates[1], 1)
    net.link_up(0, 1)
    net.cut = set()
    assert net.gates[0].begin(whole("poison"), "t2")
    assert net.gates[1].refusal(whole("poison")).retry_after_s


def test_what_is_known_already_is_not_news():
    """Guards against peers that forward the same crashes to each other forever."""
    net = Net(2)
    quarantine(net)
    known = net.gates[0].registry.known_crashes()
    assert net.gates[1].registry.merge(known) == NOTHING_KNOWN


def test_only_what_is_new_is_passed_on():
    """Guards against all that a peer knows being sent over each link of a fleet."""
    net = Net(2)
    quarantine(net)
    net.cut = {1}
    crash(net.gates[0], 7, "letter")
    known = net.gates[0].registry.known_crashes()
    new = net.gates[1].registry.merge(known)
    assert [row.trait for row in new.histories] == ["letter"]


def test_a_host_whose_trial_is_never_ended_holds_nobody_back_for_long():
    """Guards against a trial of a host that is gone."""
    net = Net(2)
    crash(net.gates[0], 0)
    crash(net.gates[0], 1)
    net.gates[0].begin(whole("poison"), "t2")
    net.clock.advance(11.0)
    assert net.gates[1].refusal(whole("poison")) is None


def test_events_pass_between_hosts_unchanged():
    for event in (
        Crash("e1", "t1", "poison", True, "7"),
        Cleared("e2", "poison"),
        PossibleCrash("e4", "t1", "poison", True, "7", ("f1",)),
        TrialBegan("e3", "poison", "t1"),
    ):
        assert decode(encode(event)) == event
