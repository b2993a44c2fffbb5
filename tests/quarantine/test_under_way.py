"""Calls under way at targets that go dark."""

from dataclasses import dataclass

from godwitladder.quarantine.evidence import LostCall, TargetPresence
from godwitladder.quarantine.traits import RequestTraits
from godwitladder.quarantine.under_way import MIN_SILENCE_S, CallsUnderWay

PRESENT = {"t1": TargetPresence("1", False)}
LEAVING = {"t1": TargetPresence("1", True)}
REPLACED = {"t1": TargetPresence("2", False)}
LOST = LostCall(RequestTraits("letter"), "t1", "address", "1", False)


@dataclass(eq=False)
class Call:
    """A call whose target has been silent for ``silent_s``."""

    silent_s: float = MIN_SILENCE_S

    def lost_call(self):
        return LOST

    def silence_s(self):
        return self.silent_s


def make_calls(*calls):
    table = CallsUnderWay()
    for call in calls:
        table.begin(call)
    return table


def test_a_silent_target_without_an_entry_may_have_ended():
    """Guards against targets that go dark one by one until deadlines pass."""
    for gone in ({}, REPLACED):
        calls = make_calls(Call())
        assert calls.take_silent(PRESENT) == []
        assert calls.take_silent(gone) == [LOST]
        assert calls.take_silent(gone) == []


def test_a_target_that_answers_without_an_entry_has_not_ended():
    """Guards against targets that serve on after their entry and count as crashed."""
    call = Call(0.0)
    calls = make_calls(call)
    assert calls.take_silent({}) == []
    call.silent_s = MIN_SILENCE_S
    assert calls.take_silent({}) == [LOST]


def test_a_target_that_left_may_be_silent():
    """Guards against calls that count as poison when a target is taken away."""
    calls = make_calls(Call())
    assert calls.take_silent(LEAVING) == []
    assert calls.take_silent({}) == []


def test_a_call_that_has_ended_is_not_under_way():
    """Guards against a table of all calls that ever were."""
    call = Call()
    calls = make_calls(call)
    calls.end(call)
    calls.end(call)
    assert calls.take_silent({}) == []
    assert not calls.calls
