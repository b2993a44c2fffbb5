"""Hosts that stop answer each call, whatever the store and the targets do."""

import pytest

from soak.fleet import SHUTDOWN_GRACE_S
from soak.stops import StopCall, StopHistory, run_stop_seed

SEEDS = {
    2: "runs that outlast the stop, calls without a target",
    8: "a store that answers late, and calls that are taken in late",
}
"""Seeds that CI runs -> what they cover; both were broken by an earlier drain."""


@pytest.mark.parametrize("seed", SEEDS)
def test_no_call_is_cut_by_a_stop(seed, tmp_path):
    """Guards against calls that a stopping host takes in and cuts, or never answers."""
    assert run_stop_seed(seed, folder=tmp_path).check() == []


def make_history(runs=(), run_s=1.0, **call):
    """Return the history of one call at a host that got SIGTERM at 0."""
    row = StopCall("a", call.pop("route", "charge"), "h0", **call)
    runs_of = {"a": list(runs)} if runs else {}
    return StopHistory([row], {"h0": 0.0}, {}, runs_of, {"a": run_s})


@pytest.mark.parametrize(
    "history",
    [
        make_history(sent=1.0, ended=7.5),
        make_history(sent=3.2, ended=7.5, runs=[3.2], run_s=5.0),
        make_history(sent=1.0, ended=7.5, runs=[1.0], run_s=5.0),
        make_history(sent=1.0, ended=2.0, status=503, is_whole=True, runs=[1.0]),
        make_history(sent=1.0, ended=2.0, status=200, is_whole=True, runs=[1.0, 1.5]),
    ],
    ids=["unanswered", "late_and_cut", "done_and_cut", "refused", "twice"],
)
def test_a_broken_promise_is_found(history):
    assert len(history.check()) == 1


@pytest.mark.parametrize(
    "history",
    [
        make_history(sent=7.4, ended=7.5),
        make_history(sent=2.9, ended=7.5, runs=[2.9], run_s=5.0),
        make_history(sent=1.0, ended=5.0, status=503, is_whole=True),
        make_history(sent=8.0, ended=8.0, is_refused_connection=True),
        make_history(sent=-9.0, ended=6.0, runs=[-9.0], run_s=30.0),
    ],
    ids=["crossing", "still_at_work", "refused", "closed", "deadline"],
)
def test_what_is_allowed_is_not_found(history):
    assert history.check() == []


def test_a_host_that_is_killed_at_the_end_is_found():
    late = {"h0": (0, SHUTDOWN_GRACE_S + 0.5), "h1": (None, 10.0)}
    history = StopHistory([], {"h0": 0.0, "h1": 0.0}, late)
    assert len(history.check()) == 2
