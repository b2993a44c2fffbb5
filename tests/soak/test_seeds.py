"""Short runs of the soak test, and all seeds that have failed before."""

import dataclasses

import pytest

from soak.run import RunSize, run_seed

SHORT = RunSize(hosts=3, targets=2, callers=4, faults=6, seconds=6.0)

SHORT_WITH_STATEMENTS = RunSize(
    hosts=3, targets=3, callers=4, faults=4, statements=3, seconds=9.0
)

SEEDS = {
    0: "planned work only: no call may be cut",
    3: "kills, pauses and faults of the store",
}
"""Seeds that CI runs at a small size -> what they cover."""

STATEMENTS = {
    30: "a rate limit, a rest and a departure beside faults of hosts",
    56: "planned work only: no call may be cut",
}
"""Seeds in which targets state something about themselves -> what they cover."""

CUTS = {
    601: "hosts lose their paths to the targets beside faults of hosts",
    604: "the same beside planned work",
}
"""Seeds in which hosts lose their paths to the targets -> what they cover."""

COPIES = {
    800: "the store comes back from a copy beside planned work",
    803: "the same beside faults of hosts and of the store",
}
"""Seeds in which the store comes back from a copy -> what they cover."""

ENDLESS = {
    1000: "targets answer without end beside planned work",
    1001: "the same beside faults of hosts, of the store and of targets",
}
"""Seeds in which targets answer without end -> what they cover."""

FAILED = {
    1796269771: "a target that came back while the reader was paused stayed unknown",
    344: "SIGTERM while the host was loading ended it as a crash (-15)",
}
"""Seeds that have failed -> why. They run at the size at which they failed."""


FAILED_WITH_COPIES = {
    942: "in the soak a target wrote before a host read the copy, and never after",
}

FAILED_WITH_STATEMENTS = {
    412: "calls on kept connections are reset as all hosts stop at once",
    504: "beside load, a host reacted to neither SIGHUP nor SIGTERM",
    433: "a target went on refusing, as the soak restored another fault's knob",
}


FAILED_AT_USUAL_SIZE = {
    1513: "a target that had said that it leaves got calls",
}


@pytest.mark.parametrize("seed", SEEDS)
def test_no_guarantee_is_violated(seed, tmp_path):
    """No guarantee is violated while hosts, store and targets fail.

    Calls that must not run twice don't, refused calls have not run, every answer
    is complete and belongs to its call, revoked keys and removed targets are not
    used, and after the faults calls are answered again.
    """
    assert run_seed(seed, SHORT, tmp_path).violations == []


@pytest.mark.parametrize("seed", STATEMENTS)
def test_what_targets_state_is_kept_to(seed, tmp_path):
    """Rate limits, departures and rests hold while hosts and targets fail."""
    assert run_seed(seed, SHORT_WITH_STATEMENTS, tmp_path).violations == []


@pytest.mark.parametrize("seed", CUTS)
def test_cut_paths_violate_no_guarantee(seed, tmp_path):
    """All guarantees hold while hosts have no path of their own to the targets."""
    size = dataclasses.replace(SHORT, faults=3, cuts=4, seconds=9.0)
    assert run_seed(seed, size, tmp_path).violations == []


@pytest.mark.parametrize("seed", COPIES)
def test_copies_of_the_store_violate_no_guarantee(seed, tmp_path):
    """All guarantees hold while the store loses what it has acknowledged."""
    size = dataclasses.replace(SHORT, faults=3, copies=3, seconds=9.0)
    assert run_seed(seed, size, tmp_path).violations == []


@pytest.mark.parametrize("seed", ENDLESS)
def test_answers_without_end_violate_no_guarantee(seed, tmp_path):
    """All guarantees hold while targets send bodies, chunks and heads without end."""
    size = dataclasses.replace(SHORT, faults=3, endless=3, seconds=9.0)
    assert run_seed(seed, size, tmp_path).violations == []


@pytest.mark.parametrize("seed", FAILED)
def test_a_failed_seed_violates_no_guarantee(seed, tmp_path):
    """The seed gives the same faults at the same times as in the run that failed."""
    assert run_seed(seed, RunSize(faults=14), tmp_path).violations == []


@pytest.mark.parametrize("seed", FAILED_WITH_STATEMENTS)
def test_a_failed_seed_with_statements_violates_no_guarantee(seed, tmp_path):
    """As above, for seeds that failed in runs with ten faults and three statements."""
    size = RunSize(faults=10, statements=3)
    assert run_seed(seed, size, tmp_path).violations == []


@pytest.mark.parametrize("seed", FAILED_AT_USUAL_SIZE)
def test_a_failed_seed_of_the_usual_size_violates_no_guarantee(seed, tmp_path):
    """As above, for seeds that failed in runs of the size that is the default."""
    size = RunSize(statements=3)
    assert run_seed(seed, size, tmp_path).violations == []


@pytest.mark.parametrize("seed", FAILED_WITH_COPIES)
def test_a_failed_seed_with_copies_violates_no_guarantee(seed, tmp_path):
    """As above, for seeds that failed while the store came back from copies."""
    size = RunSize(faults=6, statements=3, copies=2)
    assert run_seed(seed, size, tmp_path).violations == []
