"""Allocation between hosts and one allocator, with a manually driven clock."""

from dataclasses import replace

import pytest

from godwitladder.configuration.model import TargetState
from godwitladder.decisions.types import RequestDemand, Shed, ShedReason, TargetUse
from godwitladder.ids import HostId, Zone
from godwitladder.outcomes import Reason, RequestState
from godwitladder.scheduler.access import ALLOCATOR_TIMEOUT_S
from godwitladder.scheduler.accounts import NO_USAGE, HostAccount
from godwitladder.scheduler.exchange import (
    GrantOffer,
    PoolReport,
)
from godwitladder.scheduler.messages import HostsChanged
from godwitladder.scheduler.reports import due_reports, take_offer, update_targets
from godwitladder.scheduler.role import HOST_TIMEOUT_S, OFFER_LIFETIME_S, WARM_UP_S
from godwitladder.scheduler.rows import Dispatch
from godwitladder.scheduler.systems import finish_request, run_systems
from tests.scheduler.harness import (
    START,
    decision,
    make_config,
    make_harness,
    make_request,
    make_role,
    make_settled_harness,
    make_tables,
    run_for,
    set_live_hosts,
    submit,
)


def test_an_unloaded_request_needs_no_message():
    """A request to an idle pool is dispatched in the tick in which it arrives.

    The host has an allowance. The report of its use can wait for the next
    heartbeat, since the allocator counts the allowance already.
    """
    harness, now = make_settled_harness({"e0": 8, "e1": 8})
    row = submit(harness.hosts["h1"], make_request("r", now))
    run_systems(harness.hosts["h1"], now)
    assert isinstance(decision(row), Dispatch)


def test_a_withdrawn_allowance_counts_until_the_host_acknowledges_it():
    """Guards against granting the slot of a withdrawn allowance too early.

    h1 has more requests than the pool has slots, and the allocator withdraws the
    allowance of h0. h0 keeps reporting without having received that, and then
    uses the allowance. If h1 had got the slot, five requests would run on four
    slots.
    """
    harness, now = make_settled_harness({"e0": 4})
    rows = [submit(harness.hosts["h1"], make_request(f"r{n}", now)) for n in range(6)]
    for _ in range(6):
        now += 0.1
        for host in ("h0", "h1"):
            harness.tick(host, now)
            while harness.reports[host, "h0"]:
                harness.deliver_report(host, "h0", now)
        harness.decide("h0", now)
        while harness.offers["h1", "h0"]:
            harness.deliver_offer("h1", "h0", now)
    own = submit(harness.hosts["h0"], make_request("own", now))
    run_systems(harness.hosts["h0"], now)
    ran = [row for row in [own, *rows] if isinstance(decision(row), Dispatch)]
    assert own in ran
    assert len(ran) == 4


def test_a_new_allowance_fits_beside_the_maximum_usage_of_other_hosts():
    """Guards against treating an allowance that was not yet replaced as free slots.

    Of eight slots, h0 has an allowance of five and h1 uses three. h0 has
    finished all its requests but has not received its lower allowance, and may
    start five again. Five slots are idle, and none of them may go to h1.
    """
    role, hosts = make_role("h0", make_config({"e0": 8}), START), ("h0", "h1")

    def report(host, number, running):
        use = TargetUse("e0", running, 0)
        sent_s = START + number
        return PoolReport(
            host, 1, role.pool.name, number, sent_s, 1, 0, uses=(use,) * (running > 0)
        )

    role.take_report(report("h0", 1, 4), START)
    role.take_report(report("h1", 1, 0), START)
    role.run(hosts, START)
    assert role.account("h0", START).max_usage().get("e0", NO_USAGE).running == 5
    role.take_report(report("h0", 2, 0), START + 1)
    role.take_report(report("h1", 2, 3), START + 1)
    role.run(hosts, START + 1)
    assert role.max_usage().get("e0", NO_USAGE).running == 8


def test_an_expired_allowance_counts_until_a_later_report_was_sent():
    """Guards against a delayed report that frees what the host has used since.

    The host sent the report, used its allowance and then lost its link. The
    report arrives after the allowance has expired, but was sent before.
    """
    harness, now = make_settled_harness({"e0": 4})
    account = harness.roles["h0"].account("h1", now)
    assert account.max_usage().get("e0", NO_USAGE).running == 1
    expires_s = account.allowances[-1].expires_s
    late = PoolReport("h1", 1, harness.pool, 99, expires_s - 0.1, 1, 0)
    account.take(late, account.next_number - 1, now + OFFER_LIFETIME_S)
    assert account.max_usage().get("e0", NO_USAGE).running == 1
    account.take(replace(late, number=100, sent_s=expires_s), 0, now + OFFER_LIFETIME_S)
    assert account.max_usage().get("e0", NO_USAGE).running == 0


def test_a_report_out_of_order_is_ignored():
    """Guards against a report on a slower path that overwrites a newer one."""
    account = HostAccount(HostId("h1"), 1)
    report = PoolReport("h1", 1, make_harness({"e0": 1}, ("h0",)).pool, 2, 1.0, 1, 0)
    assert account.take(replace(report, uses=(TargetUse("e0", 3, 0),)), 0, 1.0)
    assert not account.take(replace(report, number=1, sent_s=0.5), 0, 1.1)
    assert account.max_usage().get("e0", NO_USAGE).running == 3


def test_a_new_allocator_waits_for_the_hosts_of_its_zone():
    """Guards against filling targets a second time after an allocator has failed.

    h1 runs four requests on four slots. The new allocator receives the demand of
    h0 first. It grants nothing until h1 has reported or the warm-up is over.
    """
    config = make_config({"e0": 4})
    demand = RequestDemand("r", "advisers", "letters", 0, 10, 10, 60.0, 0.0)
    role = make_role("h0", config, START)
    report = PoolReport("h0", 1, role.pool.name, 1, 0.0, 0, 0, demands=(demand,))
    role.take_report(report, START)
    assert role.run(("h0", "h1"), START) == []
    used = PoolReport(
        "h1", 1, role.pool.name, 1, 0.0, 0, 0, uses=(TargetUse("e0", 4, 80),)
    )
    role.take_report(used, START)
    assert not any(offer.grants for offer in role.run(("h0", "h1"), START))

    silent = make_role("h0", config, START)
    silent.take_report(report, START)
    assert any(offer.grants for offer in silent.run(("h0", "h1"), START + WARM_UP_S))


def test_a_host_drops_the_allowances_of_its_former_allocator():
    """Guards against using an allowance of the former allocator.

    The first report to a new allocator contains only running requests, and the
    new allocator grants all remaining capacity.
    """
    harness, now = make_settled_harness({"e0": 4})
    harness.set_allocator("h1", "h9", now)
    row = submit(harness.hosts["h1"], make_request("r", now))
    run_systems(harness.hosts["h1"], now)
    assert decision(row) is None


def test_a_late_offer_of_another_process_of_the_host_is_ignored():
    """Guards against a restarted host that uses grants of its former process."""
    harness, now = make_settled_harness({"e0": 4})
    tables = harness.hosts["h1"]
    access = tables.pools[harness.pool]
    before = dict(access.allowances)
    offer = GrantOffer("h1", 0, "h0", harness.pool, 1, 99, 1, now + 9.0)
    take_offer(tables, offer, now)
    assert access.allowances == before


def test_a_host_without_an_allocator_uses_its_fixed_share():
    """Guards against using the fixed share while the allocator may still grant it.

    The allocator stops answering. The allowance of the host expires, and its
    other requests wait for a while. Then the host uses its half of the four
    slots, and no more.
    """
    harness, now = make_settled_harness({"e0": 4})
    tables = harness.hosts["h1"]
    rows = [submit(tables, make_request(f"r{n}", now)) for n in range(4)]
    answered = tables.pools[harness.pool].answered_at
    for _ in range(24):
        now += 0.2
        harness.tick("h1", now)
        ran = sum(row.state is RequestState.DISPATCHED for row in rows)
        assert ran <= (1 if now - answered <= ALLOCATOR_TIMEOUT_S else 2)
    assert ran == 2


def test_a_workspace_with_a_quota_always_asks():
    """Guards against exceeding a quota through allowances in an idle pool.

    A quota applies to all hosts together. Each host has an allowance. If each used
    it for the same workspace, its quota of one would be exceeded without any host
    noticing.
    """
    harness, now = make_settled_harness({"e0": 8})
    bounded = harness.config.workspaces["bounded"]
    harness.config.workspaces["bounded"] = replace(bounded, quota=1)
    row = submit(harness.hosts["h1"], make_request("r", now, workspace="bounded"))
    run_systems(harness.hosts["h1"], now)
    assert row.state is RequestState.WAITING
    harness.settle(now)
    assert row.state is RequestState.DISPATCHED


@pytest.mark.parametrize("news", ["ticket", "list"])
def test_a_leaving_target_gets_no_grant(news):
    """The allocator grants nothing on a target once it knows that the target leaves."""
    harness, now = make_settled_harness({"e0": 4, "e1": 4})
    role = harness.roles["h0"]
    config, leaving = harness.config, frozenset()
    if news == "list":
        leaving = frozenset({config.targets["e0"].address})
    else:
        gone = replace(config.targets["e0"], state=TargetState.LEAVING)
        config = replace(config, targets={**config.targets, "e0": gone})
    role.configure(role.pool, config, leaving)
    for name in range(8):
        submit(harness.hosts["h1"], make_request(f"r{name}", now))
    harness.tick("h1", now)
    harness.deliver_report("h1", "h0", now)
    for offer in role.run(("h0", "h1"), now):
        assert all(grant.target == "e1" for grant in offer.grants)
        assert all(allowance.target == "e1" for allowance in offer.allowances)


def two_zones(now=START):
    """Return the tables of a host of zone a with targets in zones a and b."""
    config = make_config({"e0": 1})
    other = replace(config.targets["e0"], zone=Zone("b"), address="10.0.1.0:1")
    config = replace(config, targets={**config.targets, "e1": other})
    tables = make_tables("h0", ("h0",), config)
    set_live_hosts(tables, HostsChanged(("h0",), {"b": ("k0",)}), now)
    update_targets(tables)
    return tables


def shed(tables, request, now, number, grants=()):
    """Deliver a shed of ``request`` from the allocator of the host's own zone."""
    home = next(access for access in tables.pools.values() if access.is_local)
    order = Shed("h0", request, ShedReason.OVERLOAD, 3.0)
    offer = GrantOffer(
        "h0", 1, "h0", home.pool.name, 1, number, 0, now + 1, sheds=(order,)
    )
    take_offer(tables, offer, now)


def test_work_spills_to_other_zones_before_it_is_shed():
    """A request is shed only after the other zone had no capacity either.

    The allocator of the own zone sheds it at once. The host asks zone b first,
    and refuses the request once b has answered without a grant.
    """
    tables, now = two_zones(), START
    row = submit(tables, make_request("r", now))
    due_reports(tables, now)
    shed(tables, "r", now, 1)
    assert row.state is RequestState.WAITING
    now += 0.1
    ((to, report),) = [
        (to, report) for to, report in due_reports(tables, now) if to == "k0"
    ]
    assert [demand.request for demand in report.demands] == ["r"]
    shed(tables, "r", now, 2)
    assert row.state is RequestState.WAITING
    answer = GrantOffer(
        "h0", 1, "k0", report.pool, 5, 1, report.number, report.sent_s + 1
    )
    take_offer(tables, answer, now)
    shed(tables, "r", now, 3)
    assert row.state is RequestState.NOT_RUN
    refusal = decision(row)
    assert (refusal.reason, refusal.retry_after_s) == (Reason.SHED, 3.0)


def test_a_lower_tier_is_shed_before_the_specified_one():
    """A shed that was decided on an older report applies to the host's lowest tier.

    The allocator sheds an urgent request. A normal one has arrived since.
    """
    tables, now = make_tables("h0", ("h0",), make_config({"e0": 1})), START
    first = submit(tables, make_request("first", now, 0))
    later = submit(tables, make_request("later", now, 1))
    shed(tables, "first", now, 1)
    assert first.state is RequestState.WAITING
    assert later.state is RequestState.NOT_RUN


def test_the_end_of_a_long_queue_is_reported():
    """Of a thousand waiting requests the least important one is listed."""
    tables, now = make_tables("h0", ("h0",), make_config({"e0": 1})), START
    for index in range(1000):
        submit(tables, make_request(f"r{index}", now, 0, 50.0 + index))
    submit(tables, make_request("least", now, 1))
    ((_, report),) = due_reports(tables, now)
    assert len(report.demands) == 32
    assert report.demands[-1].request == "least"
    assert sum(row.count for row in report.unlisted) == 969


def test_use_and_completions_are_reported():
    """A completion updates the learned speed and frees the slot at once."""
    harness, now = make_settled_harness({"e0": 2})
    row = submit(harness.hosts["h1"], make_request("r", now))
    harness.settle(now)
    now += 2.0
    assert harness.roles["h0"].current_usage().get("e0", NO_USAGE).running == 1
    row.first_token, row.produced_tokens = now - 1.0, 10
    finish_request(harness.hosts["h1"], row, RequestState.COMPLETED, now)
    harness.tick("h1", now)
    harness.deliver_report("h1", "h0", now)
    assert harness.roles["h0"].current_usage().get("e0", NO_USAGE).running == 0
    speeds = harness.roles["h0"].speeds
    assert speeds.learned["e0"] != speeds.configured["e0"]


def test_a_host_that_was_forgotten_is_answered_as_before():
    """Guards against a first request after an idle time that waits for seconds.

    Hosts of other zones report only while they use a pool, and the allocator
    drops their accounts. If it then numbered its offers from one again, the host
    would discard them as outdated. The request has to be granted in one round
    trip.
    """
    harness, now = make_settled_harness({"e0": 1})
    now = run_for(harness, now, 5.0, lambda now: None)
    now += HOST_TIMEOUT_S + 1.0
    harness.tick("h0", now)
    harness.decide("h0", now)
    row = submit(harness.hosts["h1"], make_request("r", now))
    harness.tick("h1", now)
    while harness.reports["h1", "h0"]:
        harness.deliver_report("h1", "h0", now)
    harness.decide("h0", now)
    while harness.offers["h1", "h0"]:
        harness.deliver_offer("h1", "h0", now)
    run_systems(harness.hosts["h1"], now)
    assert row.state is RequestState.DISPATCHED
