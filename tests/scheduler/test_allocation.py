"""Hosts and one allocator by hand, on a clock that the test moves."""

from dataclasses import replace

import pytest

from godwitladder.configuration.model import TargetState
from godwitladder.decisions.types import RequestDemand, Shed, ShedReason, TargetUse
from godwitladder.ids import HostId, Zone
from godwitladder.outcomes import Reason, RequestState
from godwitladder.scheduler.access import REACH_S
from godwitladder.scheduler.accounts import NOTHING, HostAccount
from godwitladder.scheduler.exchange import (
    GrantOffer,
    PoolReport,
)
from godwitladder.scheduler.messages import HostsChanged
from godwitladder.scheduler.reports import due_reports, take_offer, update_targets
from godwitladder.scheduler.role import HOST_TIMEOUT_S, OFFER_LIFETIME_S, WARM_UP_S
from godwitladder.scheduler.rows import Dispatch
from godwitladder.scheduler.systems import finish_request, run_systems
from tests.scheduler.desk import (
    START,
    decision,
    hosts_changed,
    make_config,
    make_desk,
    make_request,
    make_role,
    make_tables,
    run_for,
    settled,
    submit,
)


def test_an_unloaded_request_needs_no_message():
    """An idle pool's request is dispatched in the tick that takes it in.

    The host holds an allowance, and the report that tells of its use waits
    for the next heartbeat: what was allowed is counted already.
    """
    desk, now = settled({"e0": 8, "e1": 8})
    row = submit(desk.hosts["h1"], make_request("r", now))
    run_systems(desk.hosts["h1"], now)
    assert isinstance(decision(row), Dispatch)


def test_an_allowance_taken_back_counts_until_the_host_knows():
    """No target gets more than its slots while a taken-back allowance is out.

    h1 has more work than the pool; the allocator takes h0's allowance back,
    but h0 still reports without having read that, and then uses it. Had the
    slot been given to h1, five requests would run on four slots.
    """
    desk, now = settled({"e0": 4})
    rows = [submit(desk.hosts["h1"], make_request(f"r{n}", now)) for n in range(6)]
    for _ in range(6):
        now += 0.1
        for host in ("h0", "h1"):
            desk.tick(host, now)
            while desk.reports[host, "h0"]:
                desk.deliver_report(host, "h0", now)
        desk.decide("h0", now)
        while desk.offers["h1", "h0"]:
            desk.deliver_offer("h1", "h0", now)
    own = submit(desk.hosts["h0"], make_request("own", now))
    run_systems(desk.hosts["h0"], now)
    ran = [row for row in [own, *rows] if isinstance(decision(row), Dispatch)]
    assert own in ran
    assert len(ran) == 4


def test_a_new_allowance_fits_beside_all_that_others_may_have():
    """A host's allowance that was not yet replaced is not taken for free slots.

    Of eight slots h0 was allowed five and h1 uses three. h0 has finished all
    it ran, but has not read yet that it is allowed less, and may start five
    again. What runs leaves five slots free; none of them may go to h1.
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
    assert role.account("h0", START).counted().get("e0", NOTHING).running == 5
    role.take_report(report("h0", 2, 0), START + 1)
    role.take_report(report("h1", 2, 3), START + 1)
    role.run(hosts, START + 1)
    assert role.counted().get("e0", NOTHING).running == 8


def test_what_lapsed_counts_until_a_report_was_sent_after_it():
    """A report that was long on its way doesn't free what the host used since.

    The host sent it, used its allowance, and then lost its link. The report
    arrives after the allowance has lapsed, but was sent before.
    """
    desk, now = settled({"e0": 4})
    account = desk.roles["h0"].account("h1", now)
    assert account.counted().get("e0", NOTHING).running == 1
    expires_s = account.allowances[-1].expires_s
    late = PoolReport("h1", 1, desk.pool, 99, expires_s - 0.1, 1, 0)
    account.take(late, account.next_number - 1, now + OFFER_LIFETIME_S)
    assert account.counted().get("e0", NOTHING).running == 1
    account.take(replace(late, number=100, sent_s=expires_s), 0, now + OFFER_LIFETIME_S)
    assert account.counted().get("e0", NOTHING).running == 0


def test_a_report_out_of_order_is_not_taken_in():
    """A report that was passed on by a slower way doesn't undo a newer one."""
    account = HostAccount(HostId("h1"), 1)
    report = PoolReport("h1", 1, make_desk({"e0": 1}, ("h0",)).pool, 2, 1.0, 1, 0)
    assert account.take(replace(report, uses=(TargetUse("e0", 3, 0),)), 0, 1.0)
    assert not account.take(replace(report, number=1, sent_s=0.5), 0, 1.1)
    assert account.counted().get("e0", NOTHING).running == 3


def test_a_new_allocator_waits_for_the_hosts_of_its_zone():
    """After an allocator's death its targets are not filled a second time.

    h1 runs four requests on four slots. The new allocator hears of h0's
    demand first; it grants nothing before h1 has reported, or is silent for
    the warm-up.
    """
    config = make_config({"e0": 4})
    line = RequestDemand("r", "advisers", "letters", 0, 10, 10, 60.0, 0.0)
    role = make_role("h0", config, START)
    report = PoolReport("h0", 1, role.pool.name, 1, 0.0, 0, 0, demands=(line,))
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


def test_a_host_drops_what_an_earlier_allocator_gave():
    """A host that turns to a new allocator uses nothing of the old one's.

    Its first report to the new one tells of what runs only, and the new one
    hands out all the rest.
    """
    desk, now = settled({"e0": 4})
    desk.point("h1", "h9", now)
    row = submit(desk.hosts["h1"], make_request("r", now))
    run_systems(desk.hosts["h1"], now)
    assert decision(row) is None


def test_a_late_offer_of_another_process_of_the_host_is_ignored():
    """A host that restarted at the same address doesn't use its old grants."""
    desk, now = settled({"e0": 4})
    tables = desk.hosts["h1"]
    access = tables.pools[desk.pool]
    before = dict(access.allowances)
    offer = GrantOffer("h1", 0, "h0", desk.pool, 1, 99, 1, now + 9.0)
    take_offer(tables, offer, now)
    assert access.allowances == before


def test_a_host_without_an_allocator_goes_by_its_fixed_share():
    """Nothing is used unasked while the allocator may still count on it.

    The allocator falls silent; the host's allowance lapses, and for a while
    its request waits. Then it uses its half of the four slots, and no more.
    """
    desk, now = settled({"e0": 4})
    tables = desk.hosts["h1"]
    rows = [submit(tables, make_request(f"r{n}", now)) for n in range(4)]
    answered = tables.pools[desk.pool].answered
    for _ in range(24):
        now += 0.2
        desk.tick("h1", now)
        ran = sum(row.state is RequestState.DISPATCHED for row in rows)
        assert ran <= (1 if now - answered <= REACH_S else 2)
    assert ran == 2


def test_a_workspace_with_a_quota_always_asks():
    """A quota holds over all hosts, also when the pool is idle.

    Each host holds an allowance; if each used it for the same workspace, its
    quota of one would be broken without any of them knowing.
    """
    desk, now = settled({"e0": 8})
    bounded = desk.config.workspaces["bounded"]
    desk.config.workspaces["bounded"] = replace(bounded, quota=1)
    row = submit(desk.hosts["h1"], make_request("r", now, workspace="bounded"))
    run_systems(desk.hosts["h1"], now)
    assert row.state is RequestState.WAITING
    desk.settle(now)
    assert row.state is RequestState.DISPATCHED


@pytest.mark.parametrize("news", ["ticket", "list"])
def test_a_leaving_target_gets_no_grant(news):
    """The allocator gives nothing more on a target once it has the news."""
    desk, now = settled({"e0": 4, "e1": 4})
    role = desk.roles["h0"]
    config, leaving = desk.config, frozenset()
    if news == "list":
        leaving = frozenset({config.targets["e0"].address})
    else:
        gone = replace(config.targets["e0"], state=TargetState.LEAVING)
        config = replace(config, targets={**config.targets, "e0": gone})
    role.configure(role.pool, config, leaving)
    for name in range(8):
        submit(desk.hosts["h1"], make_request(f"r{name}", now))
    desk.tick("h1", now)
    desk.deliver_report("h1", "h0", now)
    for offer in role.run(("h0", "h1"), now):
        assert all(grant.target == "e1" for grant in offer.grants)
        assert all(allowance.target == "e1" for allowance in offer.allowances)


def two_zones(now=START):
    """Return the tables of a host of zone a with targets in zones a and b."""
    config = make_config({"e0": 1})
    other = replace(config.targets["e0"], zone=Zone("b"), address="10.0.1.0:1")
    config = replace(config, targets={**config.targets, "e1": other})
    tables = make_tables("h0", ("h0",), config)
    hosts_changed(tables, HostsChanged(("h0",), {"b": ("k0",)}), now)
    update_targets(tables)
    return tables


def shed(tables, request, now, number, grants=()):
    """Let the home allocator give ``request`` up."""
    home = next(access for access in tables.pools.values() if access.home)
    order = Shed("h0", request, ShedReason.OVERLOAD, 3.0)
    offer = GrantOffer(
        "h0", 1, "h0", home.pool.name, 1, number, 0, now + 1, sheds=(order,)
    )
    take_offer(tables, offer, now)


def test_work_spills_to_other_zones_before_it_is_shed():
    """A request is refused at home only after the other zone had no room.

    The home allocator gives it up at once. The host asks zone b first, and
    refuses the request when b has answered without a grant.
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
    assert [line.request for line in report.demands] == ["r"]
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


def test_a_lower_tier_is_shed_before_the_one_named():
    """A shed order made from an older report falls on the lowest tier here.

    The allocator names an urgent request; meanwhile a normal one has come.
    """
    tables, now = make_tables("h0", ("h0",), make_config({"e0": 1})), START
    first = submit(tables, make_request("first", now, 0))
    later = submit(tables, make_request("later", now, 1))
    shed(tables, "first", now, 1)
    assert first.state is RequestState.WAITING
    assert later.state is RequestState.NOT_RUN


def test_the_last_of_a_long_queue_is_seen_by_the_allocator():
    """Of a thousand waiting requests the least important has a line."""
    tables, now = make_tables("h0", ("h0",), make_config({"e0": 1})), START
    for index in range(1000):
        submit(tables, make_request(f"r{index}", now, 0, 50.0 + index))
    submit(tables, make_request("least", now, 1))
    ((_, report),) = due_reports(tables, now)
    assert len(report.demands) == 32
    assert report.demands[-1].request == "least"
    assert sum(row.count for row in report.unlisted) == 969


def test_use_and_completions_reach_the_allocator():
    """What a target did is learned from, and its slot is free again at once."""
    desk, now = settled({"e0": 2})
    row = submit(desk.hosts["h1"], make_request("r", now))
    desk.settle(now)
    now += 2.0
    assert desk.roles["h0"].running().get("e0", NOTHING).running == 1
    row.first_token, row.produced_tokens = now - 1.0, 10
    finish_request(desk.hosts["h1"], row, RequestState.COMPLETED, now)
    desk.tick("h1", now)
    desk.deliver_report("h1", "h0", now)
    assert desk.roles["h0"].running().get("e0", NOTHING).running == 0
    speeds = desk.roles["h0"].speeds
    assert speeds.learned["e0"] != speeds.configured["e0"]


def test_a_host_that_was_forgotten_is_answered_as_before():
    """A host's first request after a quiet time is granted in one round trip.

    Hosts of other zones report only while they use a pool, and the allocator
    forgets them. When it then numbered its offers from one again, the host
    took them for late ones, and its request waited for seconds.
    """
    desk, now = settled({"e0": 1})
    now = run_for(desk, now, 5.0, lambda now: None)
    now += HOST_TIMEOUT_S + 1.0
    desk.tick("h0", now)
    desk.decide("h0", now)
    row = submit(desk.hosts["h1"], make_request("r", now))
    desk.tick("h1", now)
    while desk.reports["h1", "h0"]:
        desk.deliver_report("h1", "h0", now)
    desk.decide("h0", now)
    while desk.offers["h1", "h0"]:
        desk.deliver_offer("h1", "h0", now)
    run_systems(desk.hosts["h1"], now)
    assert row.state is RequestState.DISPATCHED
