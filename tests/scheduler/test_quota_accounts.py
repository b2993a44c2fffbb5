"""Tests that a workspace gets its quota once, whoever hands it out."""

import pytest

from godwitladder.decisions.limits.quotas import TokenRate
from tests.scheduler.quota_fleet import Load, QuotaFleet

HOSTS = 15
SMALL = TokenRate(62_606.0, 62_606.0)
LARGE = TokenRate(226_878.0, 226_878.0)
RATES = pytest.mark.parametrize("rate", [SMALL, LARGE], ids=["small", "large"])
SEEDS = pytest.mark.parametrize("seed", [1, 2])
ORDERS_PER_TOKEN = 56 / 62_606


def make_load(rate, times, with_orders=False):
    """Return the load of a workspace that asks for some times its quota."""
    orders = times / 7 * rate.rate * ORDERS_PER_TOKEN if with_orders else 0.0
    return Load(times * rate.rate, orders_per_s=orders)


def nothing(fleet):
    """Let no caller ask for anything."""


@RATES
@SEEDS
def test_an_allocator_that_was_away_does_not_spend_a_bucket_that_refilled(rate, seed):
    """Guards against a second burst as an allocator comes back from a pause."""
    fleet, load = QuotaFleet(HOSTS, rate, seed), make_load(rate, 7)
    fleet.play(10, load)
    fleet.pause(fleet.allocator_of(), 4.5)
    fleet.play(15, load)
    assert fleet.worst_ratio() <= 1


@RATES
def test_pools_do_not_each_grant_a_whole_quota(rate):
    """Guards against two allocators that each keep the whole quota of a workspace."""
    fleet = QuotaFleet(HOSTS, rate, seed=1)
    fleet.play(12, nothing)
    fleet.play(12, make_load(rate, 7, with_orders=True))
    assert fleet.worst_ratio() <= 1


@SEEDS
def test_hosts_without_an_answer_do_not_each_overdraw_their_share(seed):
    """Guards against one large request on each host while the allocator is silent."""
    fleet, load = QuotaFleet(96, SMALL, seed), make_load(SMALL, 7)
    fleet.play(10, load)
    for host in fleet.names:
        fleet.late_s[host] = 30.0
    fleet.play(10, load)
    assert fleet.worst_ratio() <= 1


def test_hosts_without_an_answer_serve_a_workspace_within_its_quota():
    """Guards against refusing all that comes while the allocator is silent."""
    fleet, load = QuotaFleet(HOSTS, LARGE, seed=1), make_load(LARGE, 0.5)
    silent_s, played_s = 1.2, 6.0
    fleet.play(10, load)
    since, asked = fleet.now, fleet.asked["w"]
    fleet.pause(fleet.allocator_of(), silent_s)
    fleet.play(played_s, load)
    served = fleet.ran(since) / (fleet.asked["w"] - asked)
    assert served > 1 - silent_s / played_s


@SEEDS
def test_both_sides_of_a_partition_do_not_begin_with_a_burst(seed):
    """Guards against a new bucket for a workspace that has just used up its quota."""
    fleet, load = QuotaFleet(HOSTS, LARGE, seed), make_load(LARGE, 7, with_orders=True)
    fleet.play(10, load)
    holder = fleet.allocator_of()
    fleet.cut([holder, *[name for name in fleet.names if name != holder][:5]])
    fleet.play(4.5, load)
    fleet.cut([])
    fleet.play(8, load)
    assert fleet.worst_ratio() <= 1


def test_a_restarted_allocator_serves_a_workspace_within_its_quota():
    """Guards against a debt of what the term before has granted."""
    fleet, load = QuotaFleet(HOSTS, LARGE, seed=1), make_load(LARGE, 0.7, True)
    fleet.play(10, load)
    fleet.restart(fleet.allocator_of())
    fleet.play(2, load)
    since, asked = fleet.now, fleet.asked["w"]
    fleet.play(6, load)
    assert fleet.ran(since) >= 0.9 * (fleet.asked["w"] - asked)


@pytest.mark.parametrize("apart", [1, 5])
def test_both_sides_of_a_partition_serve_a_workspace_within_its_quota(apart):
    """Guards against keeping a quota by refusing what each side's share holds."""
    fleet, load = QuotaFleet(HOSTS, LARGE, seed=1), make_load(LARGE, 0.5, True)
    fleet.play(10, load)
    holder = fleet.allocator_of()
    fleet.cut([holder, *[name for name in fleet.names if name != holder][: apart - 1]])
    fleet.play(2.5, load)
    since, asked = fleet.now, fleet.asked["w"]
    fleet.play(5, load)
    during = fleet.ran(since) / (fleet.asked["w"] - asked)
    fleet.cut([])
    fleet.play(1, load)
    since, asked = fleet.now, fleet.asked["w"]
    fleet.play(5, load)
    after = fleet.ran(since) / (fleet.asked["w"] - asked)
    assert after >= 0.95
    assert during >= 0.9
