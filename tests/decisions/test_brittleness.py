"""How many requests targets get that fall over when they refuse too many."""

from godwitladder.decisions.health.brittleness import (
    GROWTH_INTERVAL_S,
    SETTLING_S,
    STATEMENT_MEMORY_S,
    BrittleStatements,
    BrittleTargets,
)


def test_a_target_gets_fewer_requests_after_a_refusal_and_more_with_time():
    """Guards against filling a brittle target again right after it was full."""
    targets = BrittleTargets()
    assert targets.limit("t", 8, 0.0) == 8
    targets.record_refusal("t", 8, 0.0)
    assert targets.limit("t", 8, 0.1) == 6
    assert targets.limit("t", 8, GROWTH_INTERVAL_S) == 7
    assert targets.limit("t", 8, 9 * GROWTH_INTERVAL_S) == 8


def test_refusals_of_one_moment_count_once():
    """Guards against idle targets after a burst of refusals with one cause."""
    targets = BrittleTargets()
    for at in (0.0, 0.1, SETTLING_S - 0.1):
        targets.record_refusal("t", 8, at)
    assert targets.limit("t", 8, SETTLING_S) == 6


def test_a_target_that_refuses_again_gets_still_fewer_and_never_none():
    """Guards against a target that falls over again as soon as it is back."""
    targets = BrittleTargets()
    for round_number in range(20):
        targets.record_refusal("t", 8, round_number * SETTLING_S)
    assert targets.limit("t", 8, 20 * SETTLING_S) == 1
    targets.forget("t")
    assert targets.limit("t", 8, 20 * SETTLING_S) == 8


def test_a_statement_holds_for_a_while():
    statements = BrittleStatements()
    assert statements.observe("t", 1.0)
    assert not statements.observe("t", 2.0)
    assert statements.includes("t", 2.0 + STATEMENT_MEMORY_S - 0.1)
    assert not statements.includes("t", 2.0 + STATEMENT_MEMORY_S)
    assert statements.observe("t", 2.0 + STATEMENT_MEMORY_S)
    statements.retain({"other"})
    assert statements.stated_at == {}


def test_a_process_under_a_new_name_starts_with_the_limit_of_the_last_refusal():
    """Guards against filling a target that is back after a fall as if it had room.

    Targets of a service are brittle alike, and a process that starts again mostly has
    a new name.
    """
    targets = BrittleTargets()
    targets.adopt("first")
    assert targets.limit("first", 8, 0.0) == 8
    targets.record_refusal("first", 8, 0.0)
    targets.forget("first")
    targets.adopt("second")
    assert targets.limit("second", 8, 0.1) == 6
    assert targets.limit("second", 8, 9 * GROWTH_INTERVAL_S) == 8
    assert targets.limit("third", 8, 0.1) == 8
