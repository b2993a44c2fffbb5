"""Decisions of the quarantine table, without a network."""

from hypothesis import given
from hypothesis import strategies as st

from godwitladder.decisions.health import quarantine
from godwitladder.decisions.health.quarantine import (
    HOLD_S,
    MERGE_S,
    Quarantine,
    QuarantinePolicy,
    QuarantineStatus,
)
from godwitladder.decisions.health.suspect_trials import Trials


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


PATIENT = QuarantinePolicy(
    free_crashes=1, quarantine_s=3600.0, retrial_delays_s=(5.0, 30.0)
)


def make_suspect(table, digest, now=1.0):
    """Let two targets crash under a request."""
    table.record_crash("t1", digest, False, now, "1")
    table.record_crash("t2", digest, False, now + 1, "1")


def test_one_crash_beside_another_request_holds_nobody_back():
    """Guards against all that ran on a crashed target waiting for trials."""
    table = Quarantine(PATIENT)
    table.record_crash("t1", "letter", False, 1.0, "1")
    assert table.status("letter", 1.0) is QuarantineStatus.CLEAR
    table.record_crash("t2", "letter", False, 2.0, "1")
    assert table.status("letter", 2.0) is QuarantineStatus.SUSPECT


def test_a_completed_copy_clears_a_popular_request():
    """Guards against a popular request that is held back for what another did."""
    table = Quarantine(PATIENT)
    make_suspect(table, "popular")
    table.clear("popular", 3.0)
    table.record_crash("t3", "popular", False, 4.0, "1")
    assert table.status("popular", 4.0) is QuarantineStatus.CLEAR


def test_a_target_that_is_back_under_its_name_counts_again():
    """Guards against two crashes of one name that count as one."""
    table = Quarantine(PATIENT)
    table.record_crash("t1", "poison", False, 1.0, "1")
    table.record_crash("t1", "poison", False, 4.0, "2")
    assert table.status("poison", 4.0) is QuarantineStatus.SUSPECT


def test_a_quarantine_lasts_while_the_request_is_repeated():
    """Guards against a request that crashes more targets each time it is forgotten."""
    table = Quarantine(PATIENT)
    table.record_crash("t1", "poison", True, 0.0)
    for now in range(0, 20_000, 3_000):
        assert table.status("poison", now) is QuarantineStatus.QUARANTINED
        table.renew("poison", now)


def test_a_request_whose_trial_met_another_crash_is_tried_again():
    """Guards against an innocent request that stays quarantined."""
    table = Quarantine(PATIENT)
    table.record_crash("t1", "letter", True, 0.0)
    assert not table.is_retrial_due("letter", 4.9)
    assert table.is_retrial_due("letter", 5.0)
    table.count_retrial("letter")
    table.clear("letter", 6.0)
    assert table.status("letter", 6.0) is QuarantineStatus.CLEAR


def test_a_quarantined_request_is_tried_again_only_twice():
    """Guards against a crashing request that reaches targets again and again."""
    table = Quarantine(PATIENT)
    table.record_crash("t1", "poison", True, 0.0)
    trials, now = 0, 0.0
    while now < 3_000:
        now += 1.0
        if table.is_retrial_due("poison", now):
            trials += 1
            table.count_retrial("poison")
            table.record_crash(f"t{now}", "poison", True, now)
    assert trials == 2


def test_targets_and_requests_have_one_trial_at_a_time():
    """Guards against two suspects on one target, whose crash would show nothing."""
    trials = Trials(10.0)
    trials.begin("letter", "t1", 0.0)
    assert trials.is_running("letter", 1.0)
    assert trials.is_used("t1", 1.0)
    assert not trials.is_used("t2", 1.0)
    assert not trials.is_running("letter", 10.0)
    trials.end("letter")
    assert not trials.is_used("t1", 1.0)


def test_the_table_is_bounded(monkeypatch):
    """Guards against a table that grows with each request that was ever lost."""
    monkeypatch.setattr(quarantine, "MAX_SUSPECTS", 10)
    table = Quarantine(PATIENT)
    for number in range(20):
        table.record_crash(f"t{number}", f"r{number}", False, 1.0)
    assert len(table.histories) == 10
    table.record_crash("t1", "late", False, 1.0 + HOLD_S)
    assert list(table.histories) == ["late"]


def test_a_full_table_makes_room_for_the_next_suspect(monkeypatch):
    """Guards against a caller that fills the table, so that the next one goes on."""
    monkeypatch.setattr(quarantine, "MAX_SUSPECTS", 10)
    table = Quarantine(PATIENT)
    table.record_crash("t0", "held", True, 1.0)
    for number in range(20):
        table.record_crash(f"t{number}", f"r{number}", False, 2.0)
    make_suspect(table, "poison", 3.0)
    assert table.status("poison", 4.0) is QuarantineStatus.SUSPECT
    assert table.status("held", 4.0) is QuarantineStatus.QUARANTINED


def test_trials_of_two_causes_do_not_blame_what_they_share():
    """Guards against a shared part that is held although each trial had a cause."""
    table = Quarantine(QuarantinePolicy(explains_crashes=False))
    for number, cause in enumerate(("bad1", "bad2")):
        blamed = ("shared", cause)
        table.record_crash(
            f"t{number}", f"d{number}", True, 1.0, others=blamed, blamed=blamed
        )
    assert table.is_retrial_due("shared", 1.0, frozenset({"shared"}))
