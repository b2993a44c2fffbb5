"""Decisions of the quarantine table, without a network."""

from hypothesis import given
from hypothesis import strategies as st

from godwitladder.decisions.quarantine import (
    HOLD_S,
    MERGE_S,
    Quarantine,
    QuarantineStatus,
)


def test_second_crash_on_trial_quarantines_and_clears_bystanders():
    """Only the request that causes both crashes is quarantined.

    Three requests run on a target when it crashes. One of them crashes a
    second target in its trial, beside a new request. All others are cleared.
    """
    table = Quarantine()
    for digest in ("poison", "letter", "question"):
        table.record_crash("t1", digest, False, 1.0)
    assert table.status("letter", 1.0) is QuarantineStatus.SUSPECT
    table.record_crash("t2", "poison", True, 20.0)
    table.record_crash("t2", "fresh", False, 21.0)
    statuses = {
        digest: table.status(digest, 22.0)
        for digest in ("poison", "letter", "question", "fresh")
    }
    assert statuses.pop("poison") is QuarantineStatus.QUARANTINED
    assert set(statuses.values()) == {QuarantineStatus.CLEAR}


def test_bystander_that_is_reported_first_is_cleared_as_well():
    """Hosts may report one crash in any order; the result is the same."""
    table = Quarantine()
    table.record_crash("t1", "poison", False, 1.0)
    table.record_crash("t2", "fresh", False, 20.0)
    table.record_crash("t2", "poison", True, 20.0 + MERGE_S / 2)
    assert table.status("fresh", 26.0) is QuarantineStatus.CLEAR
    assert table.status("poison", 26.0) is QuarantineStatus.QUARANTINED


def test_quarantine_ends_and_can_be_lifted():
    """A quarantine lasts until it expires or is lifted."""
    table = Quarantine()
    table.record_crash("t1", "poison", True, 1.0)
    assert table.status("poison", HOLD_S) is QuarantineStatus.QUARANTINED
    assert table.status("poison", HOLD_S + 2) is QuarantineStatus.CLEAR
    table.lift("poison")
    assert table.status("poison", 2.0) is QuarantineStatus.CLEAR


@given(
    st.lists(st.sampled_from(["poison", "b", "c", "d"]), min_size=1, max_size=30),
    st.sets(st.sampled_from(["b", "c", "d"])),
)
def test_crashing_request_takes_two_targets_and_nobody_else_is_quarantined(
    order, beside
):
    """Only the crashing request is quarantined, in any order of requests.

    A simulated engine crashes on one request. The requests that ran beside it
    become suspects with it, run alone as trials, and are cleared.
    """
    table, crashes, now = Quarantine(), 0, 0.0
    for digest in order:
        now += MERGE_S + 1
        status = table.status(digest, now)
        if status is QuarantineStatus.QUARANTINED:
            assert digest == "poison"
            continue
        trial = status is QuarantineStatus.SUSPECT
        if digest != "poison":
            table.clear(digest)
            continue
        crashes += 1
        target = f"t{crashes}"
        table.record_crash(target, digest, trial, now)
        for other in beside:
            table.record_crash(target, other, False, now + 1)
    assert crashes == min(2, order.count("poison"))
