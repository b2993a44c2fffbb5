"""Violations of each guarantee that the soak test checks are found."""

import pytest

from soak.plan import (
    COPY_KINDS,
    CUT_KINDS,
    ENDLESS_KINDS,
    STATEMENT_KINDS,
    Fault,
    FaultKind,
    draw_copies,
    draw_cuts,
    draw_endless,
    draw_faults,
    draw_statements,
)
from soak.records import Attempt, History, TargetArrival, TargetRun

FIRST_KINDS_OF_344 = ["revoke", "revoke", "host_term", "host_term"]


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
        ({"status": 500, "signature": ""}, "internal error of h0"),
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
    } == set(FaultKind) - STATEMENT_KINDS - CUT_KINDS - COPY_KINDS - ENDLESS_KINDS
    assert draw_copies(7, 12.0, 3) == draw_copies(7, 12.0, 3)
    assert {fault.kind for fault in draw_copies(7, 12.0, 3)} == COPY_KINDS


def test_a_seed_draws_all_answers_without_end():
    assert draw_endless(7, 12.0, 3) == draw_endless(7, 12.0, 3)
    assert {fault.kind for fault in draw_endless(7, 12.0, 3)} == ENDLESS_KINDS


def test_a_seed_draws_the_same_cuts_each_time():
    assert draw_cuts(7, 12.0, 4) == draw_cuts(7, 12.0, 4)
    assert draw_cuts(7, 12.0, 4) != draw_cuts(9, 12.0, 4)
    assert {fault.kind for fault in draw_cuts(7, 12.0, 4)} == CUT_KINDS


def test_a_seed_draws_the_same_statements_each_time():
    assert draw_statements(7, 12.0, 3) == draw_statements(7, 12.0, 3)
    assert draw_statements(7, 12.0, 3) != draw_statements(9, 12.0, 3)
    assert {
        fault.kind for seed in range(50) for fault in draw_statements(seed, 12.0, 3)
    } == STATEMENT_KINDS


def test_the_faults_of_seeds_that_failed_stay_as_they_were():
    """Guards against new kinds that change what an old seed draws."""
    kinds = [fault.kind.value for fault in draw_faults(344, 12.0, 14)[:4]]
    assert kinds == FIRST_KINDS_OF_344


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


def make_arrivals(times, faults=(), hosts=1, **statement):
    """Return a history in which e0 states something to each of its calls.

    The calls are answered 0.1 s after they arrive, by the hosts in turn.
    """
    history = History(list(faults), hosts=hosts)
    for number, at in enumerate(times):
        name, host = f"a{number}", f"h{number % hosts}"
        attempt = Attempt(name, host, "lookup", "k1", at - 0.01, at + 0.1, 200)
        attempt.body, attempt.signature = f"answer of {name}".encode(), f"signed-{name}"
        history.attempts[name] = attempt
        history.arrivals.append(TargetArrival(at, "e0", name, **statement))
    return history


def steps(begin, end, step):
    return [begin + step * count for count in range(round((end - begin) / step))]


def test_requests_beyond_a_rate_limit_are_found():
    (text,) = make_arrivals(steps(10.0, 18.0, 0.25), rate_limit=1.5).check()
    assert text == "e0 got 16 requests at a limit of 1.5"


def test_requests_of_many_hosts_are_counted_together():
    history = make_arrivals(steps(10.0, 18.0, 0.2), hosts=4, rate_limit=2.0)
    assert len(history.check()) == 1


@pytest.mark.parametrize(
    ("times", "rate"),
    [
        (steps(10.0, 18.0, 0.5), 2.0),
        (steps(10.0, 13.0, 0.05), 2.0),
        (steps(10.0, 18.0, 0.2), 0.0),
    ],
)
def test_requests_within_a_rate_limit_or_before_it_is_known_are_not(times, rate):
    assert make_arrivals(times, rate_limit=rate).check() == []


def test_a_host_that_was_never_told_is_not_held_to_a_limit():
    history = make_arrivals(steps(10.0, 18.0, 0.2), rate_limit=2.0)
    for attempt in history.attempts.values():
        attempt.status, attempt.error, attempt.abandoned = 0, "left", True
    assert history.check() == []


def test_a_host_that_was_restarted_is_excused():
    killed = Fault(14.0, FaultKind.HOST_KILL, 0, 1.0)
    times = steps(10.0, 18.0, 0.1)
    assert make_arrivals(times, [killed], rate_limit=2.0).check() == []
    other = Fault(14.0, FaultKind.HOST_KILL, 1, 1.0)
    assert make_arrivals(times, [other], hosts=2, rate_limit=2.0).check() != []


def test_requests_to_a_target_that_says_that_it_leaves_are_found():
    history = make_arrivals([10.0, 11.0, 12.0, 12.3], leaving=True)
    (text,) = history.check()
    assert text == "e0 got a3 though it leaves"


def test_another_process_of_a_target_that_left_gets_requests():
    history = make_arrivals([10.0, 11.0], leaving=True)
    later = make_arrivals([10.0, 11.0, 15.0, 16.0])
    history.attempts |= later.attempts
    history.arrivals += later.arrivals[2:]
    assert history.check() == []


def test_requests_to_a_target_that_asked_for_rest_are_found():
    history = make_arrivals([10.0, 10.4, 10.6, 11.0, 12.0], cooldown_s=2.5)
    (text,) = history.check()
    assert text == "e0 got 3 from h0 while it rested"


def test_few_requests_in_a_rest_or_those_of_other_hosts_are_not():
    assert make_arrivals([10.0, 10.4, 10.6, 12.0, 12.6], cooldown_s=2.5).check() == []
    times = [10.0, 10.1, 10.6, 10.7, 11.0, 11.1]
    assert make_arrivals(times, hosts=2, cooldown_s=2.5).check() == []
