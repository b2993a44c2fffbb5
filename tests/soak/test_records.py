"""Violations of each guarantee that the soak test checks are found."""

import pytest

from soak.plan import Fault, FaultKind, draw_faults
from soak.records import Attempt, History, TargetRun


def make_history(faults=(), **attempt):
    """Return a history with one fully answered call that ran once on e0.

    Keyword arguments replace attributes of the call.
    """
    row = Attempt("a", "h0", "charge", "k1", sent=10.0, ended=10.1)
    row.status, row.body, row.signature = 200, b"answer of a", "signed-a"
    for name, value in attempt.items():
        setattr(row, name, value)
    history = History(list(faults), {"a": row})
    history.runs.append(TargetRun(10.05, "e0", "a", "w1", False))
    return history


def test_a_complete_call_violates_nothing():
    assert make_history().check() == []


@pytest.mark.parametrize(
    ("attempt", "found"),
    [
        ({"status": 503, "body": b""}, "and ran"),
        ({"status": 429, "body": b""}, "and ran"),
        ({"body": b"answer of b"}, "got"),
        ({"body": b"answer of"}, "got"),
        ({"signature": "signed-b"}, "got"),
        ({"route": "stream", "body": b"id: 1\ndata: piece 1\n\n"}, "got"),
        ({"status": 0, "body": None, "error": "reset"}, "ended with"),
        ({"status": 401, "body": b""}, "answered 401"),
        ({"key": "gone", "sent": 16.0, "ended": 16.1}, "revoked"),
    ],
)
def test_what_a_caller_must_not_see_is_found(attempt, found):
    history = make_history(**attempt)
    history.revoked["gone"] = 10.0
    (text,) = history.check()
    assert found in text


@pytest.mark.parametrize(
    ("run", "found"),
    [
        (TargetRun(10.2, "e1", "a", "w1", False), "ran 2 times"),
        (TargetRun(10.2, "e1", "stranger", "w1", False), "for 'w1'"),
    ],
)
def test_what_a_target_must_not_run_is_found(run, found):
    history = make_history()
    history.runs.append(run)
    (text,) = history.check()
    assert found in text


@pytest.mark.parametrize(("workspace", "keys"), [("w2", False), ("w1", True)])
def test_a_wrong_workspace_or_a_key_passed_on_is_found(workspace, keys):
    history = make_history()
    history.runs = [TargetRun(10.05, "e0", "a", workspace, keys)]
    assert len(history.check()) == 1


def test_calls_to_a_target_that_left_are_found():
    history = make_history()
    history.departures.append(("e0", 5.0, 12.0))
    (text,) = history.check()
    assert "after it left" in text


def test_a_host_that_could_not_know_is_excused():
    """The store was down while the target left, so hosts couldn't learn of it."""
    history = make_history([Fault(4.0, FaultKind.STORE_DOWN, 0, 3.0)])
    history.departures.append(("e0", 5.0, 12.0))
    assert history.check() == []


def test_a_call_cut_by_a_fault_is_excused_and_one_cut_by_planned_work_is_not():
    cut = {"status": 0, "body": None, "error": "reset"}
    killed = [Fault(9.0, FaultKind.HOST_KILL, 0, 1.0)]
    assert make_history(killed, **cut).check() == []
    stopped = [Fault(9.0, FaultKind.HOST_TERM, 0, 1.0)]
    assert len(make_history(stopped, **cut).check()) == 1


def test_calls_that_may_repeat_may_run_twice():
    history = make_history(route="lookup")
    history.runs.append(TargetRun(10.2, "e1", "a", "w1", False))
    assert history.check() == []


def test_a_seed_draws_the_same_faults_each_time():
    assert draw_faults(7, 12.0, 8) == draw_faults(7, 12.0, 8)
    assert draw_faults(7, 12.0, 8) != draw_faults(9, 12.0, 8)
    assert {
        fault.kind for seed in range(200) for fault in draw_faults(seed, 12.0, 8)
    } == set(FaultKind)


def test_a_stranger_at_a_target_that_left_is_found():
    history = make_history()
    history.runs.append(TargetRun(10.2, "e0", "stranger", "w1", False))
    history.departures.append(("e0", 5.0, 10.0))
    history.departures.append(("e0", 10.1, 20.0))
    history.runs.append(TargetRun(15.0, "e0", "stranger", "w1", False))
    assert all(
        "stranger" in text or "after it left" in text for text in history.check()
    )
    assert sum("stranger" in text for text in history.check()) == 2
