"""Tests of what an allocator knows of the spending of workspaces."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitladder.decisions.limits.spending import (
    HISTORY_S,
    RECORDED_S,
    Issuer,
    SpendingHistory,
    SpendingLedger,
    WorkspaceSpending,
)

CAPACITY, REFILL = 1000.0, 100.0
OWN, OTHER = Issuer("h1", 1), Issuer("h2", 7)
H3, H4 = ("h3", 1), ("h4", 1)


def left(ledger, now, capacity=CAPACITY):
    return ledger.account("w").available(now, capacity, REFILL)


def tell(ledger, process, history, now):
    """Let a host tell what it spent by the grants of others."""
    rows = history.recent_spending(now, OWN)
    ledger.replace_told(process, rows, now, now, {OWN})


def test_a_report_that_is_repeated_counts_once():
    """Guards against refusing requests within a quota after a repeated report."""
    ledger, history = SpendingLedger(), SpendingHistory()
    history.record_spending("w", 600, 20.0, OTHER)
    for now in (20.0, 20.1, 20.1, 20.9, 21.6):
        tell(ledger, H3, history, now)
    assert left(ledger, 21.6) == pytest.approx(1000 - 600 + 160, abs=REFILL)


def test_what_the_ledger_granted_itself_is_not_counted_again():
    """Guards against counting a grant at its allocator and again at its host."""
    ledger, history = SpendingLedger(), SpendingHistory()
    ledger.record_grant("w", 600, 20.0)
    history.record_spending("w", 600, 20.0, OWN)
    ledger.replace_told(H3, history.recent_spending(20.5), 20.5, 20.5, {OWN})
    assert left(ledger, 20.5) == pytest.approx(450, abs=REFILL)


def test_grants_of_an_earlier_term_count():
    """Guards against a burst for each term of an allocator that restarts."""
    history = SpendingHistory()
    history.record_spending("w", 600, 20.0, OWN)
    rows = history.recent_spending(20.5)
    ledger = SpendingLedger()
    ledger.replace_told(H3, rows, 20.5, 20.5, {Issuer("h1", 2)})
    assert left(ledger, 20.5) == pytest.approx(450, abs=REFILL)


def test_late_news_count_when_the_tokens_were_spent():
    """Guards against losing what a bucket gained since spending that is heard late."""
    ledger = SpendingLedger()
    assert left(ledger, 20.0) == CAPACITY
    rows = [WorkspaceSpending("w", (0, 0, 0, 0, 400))]
    ledger.replace_told(H3, rows, 20.0, 20.0)
    assert left(ledger, 20.0) == pytest.approx(900, abs=REFILL)


def test_tokens_count_until_they_have_left_the_window():
    """Guards against tokens that leave the account up to a second too early."""
    ledger, history = SpendingLedger(), SpendingHistory()
    history.record_spending("w", 900, 20.99, OTHER)
    tell(ledger, H3, history, 21.0)
    tell(ledger, H3, history, 28.9)
    newest, *_, oldest = history.recent_spending(28.9)[0].tokens
    assert (newest, oldest) == (0, 900)
    ledger.record_grant("w", 900, 21.2)
    # 800 tokens have been gained at most since the first 900 were spent.
    assert left(ledger, 28.9) <= CAPACITY + REFILL * HISTORY_S - 1800 + REFILL


def test_two_hosts_add_up_and_a_replaced_process_still_counts():
    ledger, history = SpendingLedger(), SpendingHistory()
    history.record_spending("w", 200, 20.0, OTHER)
    for process in (H3, H4, ("h3", 2)):
        tell(ledger, process, history, 20.0)
    assert left(ledger, 20.0) == pytest.approx(400, abs=REFILL)


def test_a_lowered_quota_is_not_overdrawn_by_what_the_higher_one_allowed():
    """Guards against refusing for seconds because a quota was lowered."""
    ledger = SpendingLedger()
    left(ledger, 20.0)
    ledger.record_grant("w", 900, 20.0)
    assert left(ledger, 20.1, capacity=50.0) == pytest.approx(50, abs=REFILL)


def test_a_ledger_drops_what_is_old():
    ledger, history = SpendingLedger(), SpendingHistory()
    history.record_spending("w", 900, 20.0, OTHER)
    tell(ledger, H3, history, 20.5)
    ledger.replace_totals(H3, history.recent_spending(20.5), 20.5, 1)
    left(ledger, 20.5)
    history.refused_at["w"] = 20.0
    now = 20.5 + RECORDED_S + 1
    ledger.drop_old(now)
    assert not ledger.told
    assert not ledger.totals
    assert not ledger.accounts
    assert not history.recent_spending(now)
    assert not history.refused_at
    assert not history.totals


def test_growth_is_what_a_host_in_touch_has_spent_since_it_last_told():
    """Guards against two pools that each give out one side's share of a quota."""
    ledger, history = SpendingLedger(), SpendingHistory()
    grown = []
    for now, tokens in ((20.0, 50), (20.5, 30), (20.5, 0), (30.0, 70), (30.2, 10)):
        history.record_spending("w", tokens, now, OTHER)
        rows = history.recent_spending(now, OWN)
        grown.append(ledger.replace_totals(H3, rows, now, OWN.term)["w"])
    assert grown == [0, 30, 0, 0, 10]


def test_a_new_term_is_not_charged_with_what_the_one_before_granted():
    """Guards against refusing a workspace for seconds after a restart."""
    ledger, history = SpendingLedger(), SpendingHistory()
    history.record_spending("w", 5000, 20.0, OWN)
    before = history.recent_spending(20.2, OWN)
    after = history.recent_spending(20.4, Issuer("h1", 2))
    ledger.replace_totals(H3, before, 20.2, OWN.term)
    assert not ledger.replace_totals(H3, after, 20.4, 2)


@given(seed=st.integers(0, 10_000))
def test_no_order_of_reports_grants_more_than_the_quota(seed):
    """Guards against spending that is missed as reports are late, lost or repeated.

    Hosts spend by themselves at any time, and their reports come now and then. The
    ledger grants all that is left. No window has more than a bucket and what it
    gained, beside the most that was not known yet at any time.
    """
    draw = random.Random(seed)
    ledger, spent = SpendingLedger(), []
    histories = {H3: SpendingHistory(), H4: SpendingHistory()}
    untold, unknown = {H3: 0, H4: 0}, 0
    now = 20.0
    for _ in range(80):
        now += draw.choice((0.05, 0.3, 0.7))
        process = draw.choice((H3, H4))
        if draw.random() < 0.4:
            tokens = draw.randint(1, 80)
            histories[process].record_spending("w", tokens, now, OTHER)
            spent.append((now, tokens))
            untold[process] += tokens
        unknown = max(unknown, sum(untold.values()))
        if draw.random() < 0.7:
            tell(ledger, process, histories[process], now)
            untold[process] = 0
        granted = int(left(ledger, now))
        if granted > 0:
            ledger.record_grant("w", granted, now)
            spent.append((now, granted))
    for end, _ in spent:
        window = sum(tokens for at, tokens in spent if end - HISTORY_S < at <= end)
        assert window <= CAPACITY + REFILL * HISTORY_S + unknown
