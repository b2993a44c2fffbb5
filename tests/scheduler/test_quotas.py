"""Tests of token quotas on hosts with and without an allocator."""

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
from godwitladder.decisions.limits.quotas import (
    FRESH_SHARE,
    LOWERED_AFTER_S,
    TokenQuotas,
    TokenRate,
)
from godwitladder.decisions.limits.spending import (
    HISTORY_S,
    RECORDED_S,
    Issuer,
    WorkspaceSpending,
)
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, Refusal
from godwitladder.scheduler.actor import Scheduler
from godwitladder.scheduler.exchange import NO_TERM, PoolReport
from godwitladder.scheduler.messages import HostsChanged, Tick
from godwitladder.scheduler.quotas import HOST_EXPIRY_S, token_rates
from godwitladder.scheduler.reports import make_report, needs_heartbeat, update_targets
from godwitladder.scheduler.rows import Dispatch, RequestRow, Tables
from godwitladder.scheduler.systems import add_request, run_systems
from godwitladder.scheduler.ticker import Ticker
from tests.scheduler.harness import AllocationHarness, add_history, make_role
from tests.scheduler.harness import make_tables as tables_of

CONFIG = ConfigState(
    tiers={"t": Tier(0)},
    workspaces={"w": Workspace("t", token_rate=1000.0, token_burst=1000.0)},
    services={"s": Service(ServiceKind.PLAIN, False)},
    targets={"e": Target("10.0.0.1:1", "a", ("s",), slots=100)},
)


def make_tables(hosts):
    tables = Tables("h1", "a", hosts=("h1",), config=CONFIG)
    tables.quotas.rates = token_rates(CONFIG)
    tables.seen_hosts.record_alive(hosts, 0.0)
    update_targets(tables)
    return tables


def submit(tables, number, now=0.0):
    row = RequestRow(f"r{number}", f"r{number}", "w", "s", 0, 0, 0, now, now + 9, False)
    row.charge = 100
    add_request(tables, row)
    run_systems(tables, now)
    return row.decisions.get_nowait()


def test_a_host_that_is_cut_off_grants_only_its_share():
    """Five hosts are partitioned, and a workspace sends each of them its full load.

    Each host grants a fifth of the quota, and refuses the rest with a retry time.
    """
    tables = make_tables(["h1", "h2", "h3", "h4", "h5"])
    submit(tables, 0)
    decided = [submit(tables, number, now=10.0) for number in range(1, 11)]
    refused = [row for row in decided if isinstance(row, Refusal)]
    assert len(decided) - len(refused) == 1000 / 5 / 100
    assert {row.reason for row in refused} == {Reason.QUOTA}
    assert all(row.retry_after_s > 0 for row in refused)


def test_the_share_of_hosts_that_ended_returns_to_the_others():
    tables = make_tables(["h1", "h2", "h3", "h4", "h5"])
    now = HOST_EXPIRY_S + 1
    tables.seen_hosts.record_alive(["h1"], now)
    decided = [submit(tables, number, now) for number in range(10)]
    assert sum(isinstance(row, Refusal) for row in decided) < 9


def test_an_idle_minute_before_a_partition_changes_no_share():
    """Guards against a whole quota on one host after a partition.

    Five hosts see each other for a minute without changes, so that no message
    about hosts is sent. Then one host is cut off. It must still share the quotas
    with the four that it has just lost.
    """
    clock = ManualClock()
    tables = make_tables([])
    scheduler = Scheduler(
        tables, clock, Metrics(), Ticker(clock, 1.0), lambda host, report: None
    )
    scheduler.take(HostsChanged(("h1", "h2", "h3", "h4", "h5"), {}))
    clock.advance(2 * HOST_EXPIRY_S)
    scheduler.take(Tick())
    scheduler.take(HostsChanged(("h1",), {}))
    assert tables.seen_hosts.count_recent(clock.monotonic()) == 5


PAIR = ("h0", "h1")
SLOW = replace(
    CONFIG,
    workspaces={"w": Workspace("t", token_rate=10.0, token_burst=1000.0)},
)
SPENT_BY_EACH = 3


def make_pair(now):
    """Return two hosts that report to the allocator on the first one."""
    hosts = {host: tables_of(host, PAIR, SLOW) for host in PAIR}
    harness = AllocationHarness(SLOW, hosts, {"h0": make_role("h0", SLOW, now)})
    for host in PAIR:
        harness.set_allocator(host, "h0", now)
        harness.hosts[host].spending.covered_s(now - 60.0)
    return harness


def ask(harness, host, number, now):
    """Add a request of 100 tokens to a host."""
    row = RequestRow(f"{host}-{number}", "", "w", "s", 0, 0, 0, now, now + 9, False)
    row.charge = 100
    add_request(harness.hosts[host], row)
    return row


def count_sent(rows):
    return sum(isinstance(row.decisions.get_nowait(), Dispatch) for row in rows)


def test_a_new_allocator_grants_what_the_old_one_had_left():
    """Guards against a new allocator that ignores what was spent under the old one.

    The host of an allocator fails while the pool is idle, and a workspace then
    sends its burst. Six calls of its ten were spent a moment ago, which hosts
    remember. The new allocator admits the other four. Starting with a quarter of
    the burst would refuse calls within the quota; starting with the full burst
    would admit ten more, which exceeds the quota.
    """
    now = 100.0
    harness = make_pair(now)
    rows = [ask(harness, host, n, now) for host in PAIR for n in range(SPENT_BY_EACH)]
    harness.settle(now)
    assert count_sent(rows) == 6
    harness.roles = {"h1": make_role("h1", SLOW, now + 1, term=2)}
    for host in PAIR:
        harness.set_allocator(host, "h1", now + 1)
    harness.reports.clear()
    rows = [ask(harness, "h1", n, now + 1) for n in range(10, 20)]
    harness.settle(now + 1)
    assert count_sent(rows) == 4


def test_processes_that_have_just_started_grant_a_part_of_the_burst():
    """Guards against granting a whole burst again after all hosts have restarted.

    All hosts lose power at once, just after the burst was spent, so that the
    spending is unknown. The new allocator grants a quarter of the burst.
    """
    quotas = TokenQuotas(rates=token_rates(CONFIG), expected_hosts=2)
    for host in PAIR:
        add_history(quotas, host, (), 0.5, now=10.0)
    spent = spend_all(quotas, 10.0)
    least = 1000.0 * FRESH_SHARE
    assert least <= spent <= least + 1000.0 * 0.5 / HISTORY_S


def spend_all(quotas, now):
    """Return the tokens that are granted at once, in calls of 10."""
    spent = 0
    while quotas.wait_s("w", 10, now) == 0:
        quotas.take("w", 10, now)
        spent += 10
    return spent


def test_a_partition_after_uneven_spending_does_not_grant_the_burst_twice():
    """Guards against two allocators that together grant most of a burst twice.

    On one side of a partition, two thirds of the hosts have spent half of a burst,
    and their allocator keeps its quotas. The other third has spent nothing, and its
    new allocator can't know of the spending. Together they may grant a sixth more
    than the burst, which the quota guarantee allows, but not a whole third more.
    """
    rates = token_rates(SLOW)
    old = TokenQuotas(rates=rates)
    add_history(old, "h0", (), float(HISTORY_S), now=10.0)
    for _ in range(50):
        old.take("w", 10, 10.0)
    old.share = 2 / 3
    new = TokenQuotas(rates=rates, share=1 / 3)
    add_history(new, "h1", (), float(HISTORY_S), now=10.0)
    total = 500 + spend_all(old, 10.0) + spend_all(new, 10.0)
    assert 1000 <= total <= 1000 * 7 / 6 + 10


def test_tokens_spent_long_ago_have_been_refilled():
    """Tokens that were spent seconds ago have been refilled at the token rate."""
    quotas = TokenQuotas(rates=token_rates(CONFIG))
    add_history(
        quotas,
        "h0",
        [WorkspaceSpending("w", (0, 0, 0, 900))],
        float(HISTORY_S),
        now=10.0,
    )
    assert quotas.wait_s("w", 1000, 10.0) == 0
    quotas = TokenQuotas(rates=token_rates(CONFIG))
    add_history(
        quotas,
        "h0",
        [WorkspaceSpending("w", (4000, 0, 0, 0))],
        float(HISTORY_S),
        now=10.0,
    )
    assert quotas.wait_s("w", 100, 10.0) > 1.0


def test_a_host_that_loses_its_allocator_twice_does_not_spend_a_full_bucket():
    """Guards against a second burst when an allocator stops answering twice.

    The allocator stops answering for a moment, answers for a minute, and stops
    again. In that minute it granted the workspace its whole quota. If the host's own
    bucket had refilled since the first time, it would grant the burst once more.
    """
    quotas = TokenQuotas(rates={"w0": TokenRate(1000.0, 8000.0)})
    assert quotas.wait_s("w0", 2000, 0.0) == 0.0
    quotas.take("w0", 2000, 0.0)
    quotas.discard_stale_bucket("w0", answered_at=59.0)
    assert quotas.wait_s("w0", 2000, 60.0) == 0.0
    quotas.take("w0", 2000, 60.0)
    assert quotas.wait_s("w0", 2000, 60.1) > 1.0


def test_a_bucket_in_use_is_not_reset():
    quotas = TokenQuotas(rates={"w0": TokenRate(1000.0, 8000.0)})
    quotas.take("w0", 2000, 10.0)
    quotas.discard_stale_bucket("w0", answered_at=9.5)
    assert "w0" in quotas.buckets


def test_shares_that_are_smaller_than_a_request_add_up():
    """Guards against hosts that each overdraw their share, or never use it.

    Ten hosts hear nothing of their allocator, and their full buckets of 100 tokens
    are asked for 400. About as many are taken as all buckets hold.
    """
    hosts = 10
    taken = 0
    for number in range(hosts):
        quotas = TokenQuotas(rates=token_rates(CONFIG), share=1 / hosts)
        quotas.spend_share("w", 400, 0.0, 0.0)
        waited = quotas.spend_share("w", 400, 60.0, (number + 0.5) / hosts)
        taken += 0 if waited else 400
    assert 600 <= taken <= 1400


def test_a_host_tells_at_once_what_it_spent_by_itself():
    """Guards against an allocator that doesn't learn of spending without grants."""
    tables = make_tables(["h1"])
    assert isinstance(submit(tables, 0, now=10.0), Dispatch)
    (access,) = tables.pools.values()
    access.holder = "h2"
    access.full_report_at = access.spending_listed_at = 10.0
    report = make_report(tables, access, 10.0)
    assert report.lists_spending
    assert [(row.workspace, row.tokens) for row in report.spent] == [("w", (100,))]


def test_a_quota_that_was_just_used_up_begins_with_nothing():
    """Guards against a part of the burst for each allocator that is new."""
    quotas = TokenQuotas(rates=token_rates(CONFIG))
    spent = [WorkspaceSpending("w", (0, 0, 100), used_up=True)]
    add_history(quotas, "h0", spent, float(HISTORY_S), now=10.0)
    assert quotas.wait_s("w", 10, 10.0) > 0
    assert quotas.wait_s("w", 500, 11.0) == 0


def test_hosts_that_are_lost_have_spent_their_share_before_it_is_noticed():
    """Guards against a quota that both sides give out until a cut is noticed."""
    quotas = TokenQuotas(rates=token_rates(CONFIG))
    add_history(quotas, "h0", (), float(HISTORY_S), now=10.0)
    rate = quotas.rates["w"]
    assert quotas.available("w", rate, 10.0) == 1000
    quotas.set_share(0.5, 10.0)
    assert quotas.available("w", rate, 10.0) < 1000 * 0.5


def test_grants_of_other_pools_are_taken_from_this_side_of_a_partition():
    """Guards against pools that each give out their side's share of a quota."""
    quotas = TokenQuotas(rates=token_rates(CONFIG), share=0.5)
    process, rate = ("h0", 1), quotas.rates["w"]
    quotas.record_coverage("h0", float(HISTORY_S))
    for now, total in ((10.0, 0), (18.0, 0), (18.2, 300)):
        spent = [WorkspaceSpending("w", (total,), total=total)]
        quotas.take_spending(process, spent, now, now, 1)
        left = quotas.available("w", rate, now)
    assert 200 <= left < 350


def test_a_share_does_not_refill_while_an_allocator_answers():
    """Guards against a full bucket on each host as an allocator is silent again."""
    quotas = TokenQuotas(rates={"w0": TokenRate(1000.0, 8000.0)}, share=0.5)
    assert quotas.spend_share("w0", 900, 10.0, 0.0) == 0.0
    quotas.ledger.used_up_at["w0"] = 15.0
    quotas.resume_share("w0", 14.9, 15.0)
    assert quotas.spend_share("w0", 900, 15.0, 0.0) > 0.0


def test_a_quota_that_is_lowered_again_applies_a_window_later():
    """Guards against refusing for a quota that no host is bound by yet."""
    quotas = TokenQuotas()
    for now, tokens in ((0.0, 900.0), (10.0, 600.0), (30.0, 300.0)):
        quotas.rates = {"w": TokenRate(tokens, tokens)}
        quotas.apply_rates(now)
    assert quotas.rate_of("w", 30.0) == TokenRate(600.0, 600.0)
    assert quotas.rate_of("w", 30.0 + LOWERED_AFTER_S) == TokenRate(300.0, 300.0)


def test_spending_without_a_quota_is_not_reported():
    """Guards against reports for workspaces that no allocator limits."""
    tables = make_tables(["h1"])
    tables.config = replace(CONFIG, workspaces={"w": Workspace("t")})
    tables.quotas.rates = {}
    assert isinstance(submit(tables, 0, now=10.0), Dispatch)
    assert tables.spending.recent_spending(10.0) == ()


def test_a_host_without_requests_tells_a_pool_what_it_spends_elsewhere():
    """Guards against a pool that never hears of the grants of another."""
    tables = make_tables(["h1"])
    tables.has_standing_grants = False
    (access,) = tables.pools.values()
    access.holder = "h2"
    assert not needs_heartbeat(tables, access, 10.0)
    tables.spending.record_spending("w", 100, 10.0, Issuer("h3", 1))
    assert needs_heartbeat(tables, access, 10.0)
    assert not needs_heartbeat(tables, access, 10.0 + RECORDED_S + 1)


def test_a_host_knows_that_a_quota_was_just_used_up():
    """Guards against new buckets for a quota that an allocator refused for."""
    now = 100.0
    harness = make_pair(now)
    for number in range(20):
        ask(harness, "h0", number, now)
    harness.settle(now)
    spending = harness.hosts["h0"].spending
    assert spending.is_used_up("w", now + 1.0)
    assert all(row.used_up for row in spending.recent_spending(now + 1.0))
    assert not spending.is_used_up("w", now + 10.0)


def test_a_list_without_the_grants_of_an_earlier_term_is_not_complete():
    """Guards against a full bucket for a role that ends and begins again."""
    role = make_role("h0", SLOW, 10.0, term=2)
    for host, term in (("h1", 1), ("h2", 2), ("h3", NO_TERM)):
        report = PoolReport(host, 1, role.pool.name, 1, 5.0, term, 0, covered_s=60.0)
        role.take_report(report, 10.0)
    assert set(role.quotas.coverage) == {"h2", "h3"}
