"""Rate limits that targets state, on hosts and allocators."""

from collections import Counter

import pytest

from godwitladder.clock import ManualClock
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.health.target_processes import KEEP_ABSENT_S
from godwitladder.decisions.limits.rate_limits import (
    FALLBACK_SHARE,
    MIN_RATE,
    NO_LIMIT,
    RESTATED_S,
    RateLimits,
)
from godwitladder.decisions.policy import ROUTED
from godwitladder.metrics import Metrics
from godwitladder.scheduler.access import FULL_REPORT_INTERVAL_S
from godwitladder.scheduler.actor import Scheduler
from godwitladder.scheduler.messages import NewConfig, RateLimitStated
from godwitladder.scheduler.reports import RATE_LIMITED_TEXT, make_report
from godwitladder.scheduler.systems import has_capacity
from godwitladder.scheduler.ticker import Ticker
from tests.decisions.pools import add, make_pool, make_target
from tests.scheduler.harness import START, make_config, make_tables
from tests.scheduler.limited import (
    HOSTS,
    STEP_S,
    TTFT_BUDGET_S,
    WINDOW_S,
    LimitedPool,
    allowed,
    with_generation,
)

LIMIT = 3.0
CONFIG = with_generation(make_config({"e0": 4}), "1")


@pytest.fixture
def scheduler():
    clock = ManualClock()
    tables = make_tables("h0", ("h0",), CONFIG)
    ticker = Ticker(clock, 1.0)
    return Scheduler(tables, clock, Metrics(), ticker, lambda host, report: None)


def test_a_rate_limit_and_its_end_are_each_logged_once(scheduler, caplog):
    caplog.set_level("INFO")
    for rate in (3.0, 3.0, NO_LIMIT, NO_LIMIT):
        scheduler.take(RateLimitStated("e0", "1", rate))
    assert caplog.text.count("A target states a rate limit") == 1
    assert caplog.text.count("A target's rate limit has ended") == 1


def test_an_answer_of_an_earlier_process_limits_nothing(scheduler):
    """Guards against a limit of a process that has ended, applied to its successor."""
    scheduler.take(RateLimitStated("e0", "0", 3.0))
    assert not scheduler.tables.rate_limits.limited


def test_a_restarted_target_has_no_rate_limit(scheduler):
    scheduler.take(RateLimitStated("e0", "1", 3.0))
    assert scheduler.tables.rate_limits.limited == {"e0"}
    scheduler.take(NewConfig(with_generation(CONFIG, "2")))
    assert not scheduler.tables.rate_limits.limited


def test_an_entry_that_lapses_for_a_while_keeps_the_rate_limit(scheduler):
    """Guards against a limit that is forgotten with an entry that comes back."""
    scheduler.take(RateLimitStated("e0", "1", 3.0))
    scheduler.take(NewConfig(ConfigState()))
    scheduler.take(NewConfig(CONFIG))
    assert scheduler.tables.rate_limits.limited == {"e0"}


def test_the_limits_of_targets_that_are_gone_are_forgotten():
    """Guards against a table that grows with each target that ever was."""
    limits = RateLimits()
    limits.observe("e0", "1", 3.0, 10.0, 10.0)
    limits.keep_generations({}, 10.0 + KEEP_ABSENT_S)
    assert limits.limited == {"e0"}
    limits.keep_generations({}, 10.1 + KEEP_ABSENT_S)
    assert not limits.rows
    assert not limits.limited


def test_an_older_statement_changes_nothing():
    limits = RateLimits()
    limits.observe("e0", "1", 3.0, 10.0, 10.0)
    assert not limits.observe("e0", "1", NO_LIMIT, 9.0, 10.0)
    assert limits.limited == {"e0"}


@pytest.mark.parametrize("standing", [False, True])
def test_hosts_together_keep_to_the_rate_that_one_was_told(standing):
    """Guards against hosts that each keep to a limit for all of them together."""
    pool = LimitedPool({"e0": 8}, standing=standing)
    pool.run(2.0)
    pool.state_limit("h1", LIMIT)
    told_at = pool.now + 1.0
    pool.run(12.0)
    assert LIMIT * WINDOW_S * 0.9 <= pool.most_sent(told_at) <= LIMIT * WINDOW_S + 2
    assert pool.harness.hosts["h2"].rate_limits.limited == {"e0"}


def test_a_target_without_a_limit_takes_what_the_limited_one_does_not():
    pool = LimitedPool({"e0": 8, "e1": 8})
    pool.state_limit("h0", LIMIT)
    pool.run(10.0)
    assert pool.most_sent(START + 1.0) <= LIMIT * WINDOW_S + 2
    assert pool.most_sent(START + 1.0, "e1") > 200
    assert not pool.refused


def test_a_target_is_used_in_full_as_soon_as_its_limit_ends():
    """Guards against a target that idles after it has stopped to state a limit."""
    pool = LimitedPool({"e0": 8})
    pool.state_limit("h0", LIMIT)
    pool.run(6.0)
    pool.state_limit("h1", NO_LIMIT)
    ended_at = pool.now
    pool.run(1.0)
    sent = [call for call in pool.sent if call.at > ended_at]
    assert len(sent) >= 3 * 1.0 / STEP_S * 0.9


@pytest.mark.parametrize("rate", [0.0, 0.01])
def test_a_target_with_a_limit_near_zero_is_asked_again(rate):
    """Guards against a limit whose end is never seen since no request is sent."""
    pool = LimitedPool({"e0": 8})
    pool.state_limit("h0", rate)
    pool.run(20.0)
    assert 4 <= len(pool.sent) <= 6


@pytest.mark.parametrize("rate", [0.0, 0.5, 3.0, 10.0])
def test_hosts_without_an_allocator_share_a_limit(rate):
    """Guards against a first request of each of many hosts at the same time."""
    hosts = tuple(f"h{number}" for number in range(40))
    pool = LimitedPool({"e0": 80}, hosts=hosts)
    for host in hosts:
        pool.state_limit(host, rate)
    pool.run(8.0, calls_per_step=0)
    pool.cut_off = set(hosts)
    for tables in pool.harness.hosts.values():
        tables.seen_hosts.record_alive(hosts, pool.now)
        (access,) = tables.pools.values()
        access.set_allocator(None, pool.now)
    pool.run(10.0)
    shared = max(rate, MIN_RATE) * FALLBACK_SHARE
    assert 1 <= pool.most_sent(START) <= shared * WINDOW_S + max(1, shared) + 1


@pytest.mark.parametrize("rate", [0.0, 1.0, 3.0, 10.0, 40.0])
def test_a_silent_allocator_and_hosts_without_it_stay_within_the_bound(rate):
    """The allocator grants all to its own host while the others use their shares."""
    pool = LimitedPool({"e0": 80})
    for host in HOSTS:
        pool.state_limit(host, rate)
    pool.run(4.0)
    pool.cut_off = {"h1", "h2"}
    pool.run(10.0, calls_per_step=2)
    assert pool.most_sent(START) <= allowed(rate)


def test_a_new_allocator_keeps_to_the_limit_from_its_first_grant():
    """Guards against a burst at each change of the allocator."""
    pool = LimitedPool({"e0": 8}, holders=("h0", "h1"))
    pool.state_limit("h0", LIMIT)
    pool.run(6.0)
    for count in range(4):
        for host in HOSTS:
            pool.harness.set_allocator(host, ("h1", "h0")[count % 2], pool.now)
        pool.run(1.5)
    assert pool.most_sent(START + 1.0) <= allowed(LIMIT)


def test_an_allocator_that_sees_a_part_of_the_hosts_gives_out_that_part():
    """Guards against a whole limit on each side of a network partition."""
    pool = LimitedPool({"e0": 8})
    pool.harness.roles["h0"].rate_limits.share = 0.5
    pool.state_limit("h0", LIMIT)
    pool.run(10.0)
    assert pool.most_sent(START + 1.0) <= LIMIT * 0.5 * WINDOW_S + 2


def test_calls_beyond_the_limit_are_refused_at_once_with_the_cause():
    """Guards against calls that wait in vain for targets that take no more."""
    pool = LimitedPool({"e0": 8})
    pool.state_limit("h0", 1.0)
    pool.run(10.0)
    pool.refused.clear()
    pool.run(5.0)
    assert len(pool.refused) > 250
    assert {row.refusal.detail for row in pool.refused} == {RATE_LIMITED_TEXT}
    assert all(row.refusal.retry_after_s > 0 for row in pool.refused)
    waited = sorted(row.waited_s for row in pool.refused)
    assert waited[len(waited) * 9 // 10] <= TTFT_BUDGET_S


def test_each_rank_gets_its_part_of_a_limit():
    """Guards against a rank that starves while its targets are limited."""
    pool = LimitedPool({"e0": 8})
    pool.state_limit("h0", 10.0)
    pool.run(20.0)
    ranks = Counter(call.rank for call in pool.sent)
    assert ranks[1] >= 0.4 * ranks[0]


def test_a_change_is_in_the_next_report():
    """Guards against a second in which the allocator grants as before."""
    pool = LimitedPool({"e0": 8})
    tables = pool.harness.hosts["h1"]
    (access,) = tables.pools.values()
    make_report(tables, access, pool.now)
    pool.state_limit("h1", LIMIT)
    (statement,) = make_report(tables, access, pool.now + 0.1).rate_limits
    assert (statement.target, statement.requests_per_s) == ("e0", LIMIT)
    assert make_report(tables, access, pool.now + 0.2).rate_limits == ()
    assert len(make_report(tables, access, pool.now + 1.2).rate_limits) == 1


def test_an_allowance_that_is_still_held_sends_nothing_to_a_limited_target():
    """Guards against one short request after the other within an allowance."""
    pool = LimitedPool({"e0": 8}, standing=True)
    pool.run(2.0, calls_per_step=0)
    tables = pool.harness.hosts["h1"]
    (access,) = tables.pools.values()
    assert access.allowances["e0"].running > 0
    pool.state_limit("h1", LIMIT)
    assert not has_capacity(tables, "letters", pool.now)


def test_no_allowance_is_offered_on_a_limited_target():
    pool = LimitedPool({"e0": 8, "e1": 8}, standing=True)
    pool.state_limit("h1", LIMIT)
    pool.run(3.0, calls_per_step=0)
    for tables in pool.harness.hosts.values():
        (access,) = tables.pools.values()
        assert set(access.allowances) == {"e1"}


def test_a_call_goes_to_a_slow_target_while_the_fast_one_takes_no_more():
    """Guards against calls that wait for a target which admits them too late."""
    fast = make_target("fast", first_s=0.1, requests_per_s=0.5)
    fast.available_requests, fast.next_request_s = 0, 2.0
    pool = make_pool(fast, make_target("slow", first_s=2.0))
    pool.policy = ROUTED
    add(pool, "r1")
    pool.waiting["r1"].ttft_deadline = 1.0
    (placement,) = allocate(pool, 0.0).placements
    assert placement.target == "slow"


def test_an_allocator_that_answers_is_not_told_again_what_it_knows():
    """Guards against reports that repeat a limit from each of hundreds of hosts."""
    pool = LimitedPool({"e0": 8})
    pool.run(1.0)
    pool.state_limit("h1", LIMIT)
    pool.run(0.5)
    tables = pool.harness.hosts["h2"]
    (access,) = tables.pools.values()
    assert tables.rate_limits.limited == {"e0"}
    later = pool.now + RESTATED_S + FULL_REPORT_INTERVAL_S
    report = make_report(tables, access, later)
    assert not report.incremental
    assert report.rate_limits == ()
    access.drop()
    assert len(make_report(tables, access, later + 0.1).rate_limits) == 1


def test_a_queue_beyond_the_limit_is_told_when_the_limit_has_worked_it_off():
    """Guards against callers told to come back at once to targets that take no more.

    Forty calls of a tenth of a second wait for a target with eight free slots, which
    takes one call per second.
    """
    target = make_target(limit=8, requests_per_s=1.0, prefill_tps=5e4, decode_tps=1e3)
    target.available_requests, target.next_request_s = 0, 1.0
    pool = make_pool(target)
    pool.policy = ROUTED
    pool.state.typical_s = 0.1
    for number in range(40):
        add(pool, f"r{number}", deadline=60.0)
        pool.waiting[f"r{number}"].ttft_deadline = 5.0
    sheds = allocate(pool, 0.0).sheds
    assert len(sheds) >= 30
    assert all(shed.retry_after_s >= 5.0 for shed in sheds)


def test_a_statement_of_a_restarted_target_replaces_that_of_its_earlier_process():
    """Guards against a limit that is dropped with the earlier process."""
    limits = RateLimits()
    limits.observe("e0", "1", 3.0, 10.0, 10.0)
    assert limits.observe("e0", "2", 5.0, 11.0, 11.0)
    limits.keep_generations({"e0": "2"}, 12.0)
    assert limits.requests_per_s("e0") == 5.0
