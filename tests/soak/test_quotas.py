"""Runs with quotas, and that the check of quotas finds what breaks them."""

import pytest

from soak.quota_records import Quota, QuotaHistory, TokenRun
from soak.quotas import QuotaRunSize, draw_quota_faults, run_quota_seed

SHORT = QuotaRunSize(hosts=3, targets=2, callers=8, faults=3, seconds=16.0)
SEEDS = {1: "an allocator is disturbed while two pools share the quotas"}
"""Seeds that CI runs at a small size -> what they cover."""

FAILED = {
    2: "two pools heard of each other's grants too late",
    100: "beside a cut, two pools each gave out their side's share of a quota",
}
"""Seeds that have failed -> why. They run at the size at which they failed."""

SLACK = 100.0
QUOTA = Quota(0.0, 10.0, 10.0)
ALLOWED = (10 * 8 + 10) * 1.1 + SLACK


def make_history(runs, quotas=(QUOTA,)):
    """Return a history of one workspace that ran tokens at some times."""
    rows = [TokenRun(at, "w", tokens) for at, tokens in runs]
    return QuotaHistory(SLACK, {"w": list(quotas)}, rows)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_quota_is_exceeded(seed, tmp_path):
    """Guards against quotas that several parts hand out side by side."""
    assert run_quota_seed(seed, SHORT, tmp_path).violations == []


@pytest.mark.parametrize("seed", FAILED)
def test_a_failed_seed_exceeds_no_quota(seed, tmp_path):
    """The seed gives the same faults at the same times as in the run that failed."""
    assert run_quota_seed(seed, QuotaRunSize(), tmp_path).violations == []


def test_a_window_with_more_than_the_quota_is_found():
    (text,) = make_history([(1.0, 150), (8.9, 60)]).check()
    assert "ran 210 tokens" in text


def test_what_two_windows_ran_is_not_added_up():
    assert make_history([(1.0, 150), (9.1, 60)]).check() == []


def test_all_that_is_allowed_may_run():
    assert make_history([(1.0, int(ALLOWED))]).check() == []


def test_a_lowered_quota_binds_a_window_after_its_notice():
    """Guards against a check that blames hosts before they can know of a quota."""
    lowered = Quota(1.0, 1.0, 1.0)
    runs = [(18.9, 150)]
    assert make_history(runs, (QUOTA, lowered)).check() == []
    late = [(19.1, 150)]
    assert make_history(late, (QUOTA, lowered)).check() != []


def test_a_seed_always_draws_the_same_faults():
    assert draw_quota_faults(2, 30.0, 6) == draw_quota_faults(2, 30.0, 6)
    kinds = [row.kind.value for row in draw_quota_faults(2, 30.0, 6)]
    assert kinds == ["kill", "kill", "change", "slow", "pause", "slow"]
