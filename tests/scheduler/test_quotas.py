"""Tokens of a workspace on a host that has no allocator."""

from dataclasses import replace

from godwitladder.clock import ManualClock
from godwitladder.configuration.model import (
    Service,
    ServiceKind,
    Target,
    Tier,
    Workspace,
)
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.quotas import (
    FRESH_SHARE,
    HISTORY_S,
    TokenQuotas,
    TokenRate,
    WorkspaceSpending,
)
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, Refusal
from godwitladder.scheduler.actor import Scheduler
from godwitladder.scheduler.messages import HostsChanged, Tick
from godwitladder.scheduler.quotas import UNSEEN_S, token_rates
from godwitladder.scheduler.reports import update_targets
from godwitladder.scheduler.rows import Dispatch, RequestRow, Tables
from godwitladder.scheduler.systems import add_request, run_systems
from godwitladder.scheduler.ticker import Ticker
from tests.scheduler.desk import Desk, make_role
from tests.scheduler.desk import make_tables as tables_of

CONFIG = ConfigState(
    tiers={"t": Tier(0)},
    workspaces={"w": Workspace("t", token_rate=1000.0, token_burst=1000.0)},
    services={"s": Service(ServiceKind.PLAIN, False)},
    targets={"e": Target("10.0.0.1:1", "a", ("s",), slots=100)},
)


def make_tables(hosts):
    tables = Tables("h1", "a", hosts=("h1",), config=CONFIG)
    tables.quotas.rates = token_rates(CONFIG)
    tables.seen.note(hosts, 0.0)
    update_targets(tables)
    return tables


def submit(tables, number, now=0.0):
    row = RequestRow(f"r{number}", f"r{number}", "w", "s", 0, 0, 0, now, now + 9, False)
    row.charge = 100
    add_request(tables, row)
    run_systems(tables, now)
    return row.decisions.get_nowait()


def test_a_host_that_is_cut_off_gives_out_its_part_alone():
    """Five hosts lose each other; a workspace asks all of them for all it can.

    Each gives out a fifth, and refuses the rest with the time to come back.
    """
    tables = make_tables(["h1", "h2", "h3", "h4", "h5"])
    submit(tables, 0)
    decided = [submit(tables, number, now=10.0) for number in range(1, 11)]
    refused = [row for row in decided if isinstance(row, Refusal)]
    assert len(decided) - len(refused) == 1000 / 5 / 100
    assert {row.reason for row in refused} == {Reason.QUOTA}
    assert all(row.retry_after_s > 0 for row in refused)


def test_hosts_that_are_gone_for_long_leave_their_part():
    tables = make_tables(["h1", "h2", "h3", "h4", "h5"])
    now = UNSEEN_S + 1
    tables.seen.note(["h1"], now)
    decided = [submit(tables, number, now) for number in range(10)]
    assert sum(isinstance(row, Refusal) for row in decided) < 9


def test_a_calm_minute_before_a_cut_changes_no_part():
    """Five hosts see each other for a minute; then a cut leaves one alone.

    Nothing changed in that minute, so nobody told of the hosts. The one that
    is left must still share the quotas with the four that it has just lost.
    """
    clock = ManualClock()
    tables = make_tables([])
    scheduler = Scheduler(
        tables, clock, Metrics(), Ticker(clock, 1.0), lambda host, report: None
    )
    scheduler.take(HostsChanged(("h1", "h2", "h3", "h4", "h5"), {}))
    clock.advance(2 * UNSEEN_S)
    scheduler.take(Tick())
    scheduler.take(HostsChanged(("h1",), {}))
    assert tables.seen.count_recent(clock.monotonic()) == 5


PAIR = ("h0", "h1")
SLOW = replace(
    CONFIG,
    workspaces={"w": Workspace("t", token_rate=10.0, token_burst=1000.0)},
)
SPENT_BY_EACH = 3


def make_pair(now):
    """Return two hosts that ask the allocator of the first one."""
    hosts = {host: tables_of(host, PAIR, SLOW) for host in PAIR}
    desk = Desk(SLOW, hosts, {"h0": make_role("h0", SLOW, now)})
    for host in PAIR:
        desk.point(host, "h0", now)
        desk.hosts[host].pools[desk.pool].history.known_s(now - 60.0)
    return desk


def ask(desk, host, number, now):
    """Let a host ask for one call of 100 tokens."""
    row = RequestRow(f"{host}-{number}", "", "w", "s", 0, 0, 0, now, now + 9, False)
    row.charge = 100
    add_request(desk.hosts[host], row)
    return row


def count_sent(rows):
    return sum(isinstance(row.decisions.get_nowait(), Dispatch) for row in rows)


def test_a_new_allocator_gives_out_what_the_old_one_had_left():
    """An allocator's host is lost in a calm moment; a workspace then sends its burst.

    Six calls of its ten were spent a moment ago, and hosts remember that. The
    new allocator lets the other four through. A book that starts a quarter
    full refused them although they were paid for; one that starts full would
    have let ten more through, which is more than the workspace may have.
    """
    now = 100.0
    desk = make_pair(now)
    rows = [ask(desk, host, n, now) for host in PAIR for n in range(SPENT_BY_EACH)]
    desk.settle(now)
    assert count_sent(rows) == 6
    desk.roles = {"h1": make_role("h1", SLOW, now + 1, term=2)}
    for host in PAIR:
        desk.point(host, "h1", now + 1)
    desk.reports.clear()
    rows = [ask(desk, "h1", n, now + 1) for n in range(10, 20)]
    desk.settle(now + 1)
    assert count_sent(rows) == 4


def test_processes_that_have_just_started_know_of_no_spending():
    """All hosts lose power at once, and the workspaces' burst was just spent.

    Nobody can tell. The new allocator gives out a quarter of it, not the burst
    anew.
    """
    book = TokenQuotas(rates=token_rates(CONFIG), expected_hosts=2)
    for host in PAIR:
        book.add_history(host, (), 0.5, now=10.0)
    spent = spend_all(book, 10.0)
    least = 1000.0 * FRESH_SHARE
    assert least <= spent <= least + 1000.0 * 0.5 / HISTORY_S


def spend_all(book, now):
    """Return the tokens that a book gives out at once, in calls of 10."""
    spent = 0
    while book.wait_s("w", 10, now) == 0:
        book.take("w", 10, now)
        spent += 10
    return spent


def test_a_cut_between_hosts_that_spent_unevenly_gives_the_burst_no_second_time():
    """One side of a cut has spent half of a burst; its allocator keeps its book.

    The other third of the hosts has spent nothing and has a new allocator, which
    can't know. Together they may give out a sixth more than the burst, which the
    promise allows, and not the other third on top.
    """
    rates = token_rates(SLOW)
    old = TokenQuotas(rates=rates)
    old.add_history("h0", (), float(HISTORY_S), now=10.0)
    for _ in range(50):
        old.take("w", 10, 10.0)
    old.share = 2 / 3
    new = TokenQuotas(rates=rates, share=1 / 3)
    new.add_history("h1", (), float(HISTORY_S), now=10.0)
    total = 500 + spend_all(old, 10.0) + spend_all(new, 10.0)
    assert 1000 <= total <= 1000 * 7 / 6 + 10


def test_what_was_spent_long_ago_has_come_in_again():
    """A host tells of spending of seconds ago, which the rate has made up for."""
    book = TokenQuotas(rates=token_rates(CONFIG))
    book.add_history(
        "h0", [WorkspaceSpending("w", (0, 0, 0, 900))], float(HISTORY_S), now=10.0
    )
    assert book.wait_s("w", 1000, 10.0) == 0
    book = TokenQuotas(rates=token_rates(CONFIG))
    book.add_history(
        "h0", [WorkspaceSpending("w", (4000, 0, 0, 0))], float(HISTORY_S), now=10.0
    )
    assert book.wait_s("w", 100, 10.0) > 1.0


def test_a_host_left_alone_twice_does_not_spend_a_full_bucket():
    """Its allocator is silent for a moment, answers for a minute, is silent again.

    In the minute the allocator let the workspace run all of its quota. A book that
    had filled up since the first silence would give the burst out once more.
    """
    book = TokenQuotas(rates={"w0": TokenRate(1000.0, 8000.0)})
    assert book.wait_s("w0", 2000, 0.0) == 0.0
    book.take("w0", 2000, 0.0)
    book.discard_stale_bucket("w0", answered_at=59.0)
    assert book.wait_s("w0", 2000, 60.0) == 0.0
    book.take("w0", 2000, 60.0)
    assert book.wait_s("w0", 2000, 60.1) > 1.0


def test_a_book_in_use_is_not_begun_anew():
    book = TokenQuotas(rates={"w0": TokenRate(1000.0, 8000.0)})
    book.take("w0", 2000, 10.0)
    book.discard_stale_bucket("w0", answered_at=9.5)
    assert "w0" in book.buckets
