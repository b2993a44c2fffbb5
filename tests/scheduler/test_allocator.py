"""Tests of the allocator actor, run without its thread."""

from dataclasses import replace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.decisions.limits.rate_limits import StatedLimit
from godwitladder.decisions.rendezvous import choose_host
from godwitladder.decisions.types import RequestDemand
from godwitladder.membership.router import Router
from godwitladder.scheduler.allocator import Allocator, AllocatorTables
from godwitladder.scheduler.exchange import (
    Completion,
    FloorReport,
    GrantOffer,
    PoolReport,
)
from godwitladder.scheduler.messages import (
    HostsChanged,
    NewConfig,
    TargetLoad,
    TargetsLeaving,
    Tick,
)
from godwitladder.scheduler.pools import pool_key
from godwitladder.scheduler.quotas import HOST_EXPIRY_S
from godwitladder.scheduler.role import WARM_UP_S
from tests.scheduler.harness import make_config

HOSTS = ("h0", "h1", "h2")
HUGE = 10**400
"""An integer that can't be converted to a float."""
DEMAND = RequestDemand("r", "advisers", "letters", 0, 10, 10, 60.0, 0.0)


def make_allocator(host: str, hosts=HOSTS):
    """Return the allocator actor of a host, its clock and the messages that it sent."""
    clock, sent = ManualClock(), []
    actor = Allocator(
        AllocatorTables(host, "a"),
        clock,
        lambda to, message: sent.append((to, message)),
    )
    actor.on_receive(NewConfig(make_config({"e0": 4})))
    actor.on_receive(HostsChanged(hosts, {"b": ("k0",)}))
    return actor, clock, sent


def pool_of(actor):
    (pool,) = actor.tables.pools
    return pool


def holder_of(actor, hosts=HOSTS):
    return choose_host(hosts, pool_key(pool_of(actor)))


def report(actor, host, **fields):
    return PoolReport(
        host, 1, pool_of(actor), 1, 5.0, 0, 0, demands=(DEMAND,), **fields
    )


def test_one_host_has_the_role_and_ends_it_when_it_leaves():
    actors = {host: make_allocator(host)[0] for host in HOSTS}
    (holder,) = [host for host, actor in actors.items() if actor.tables.roles]
    actor = actors[holder]
    assert holder == holder_of(actor)
    actor.on_receive(HostsChanged(tuple(set(HOSTS) - {holder}), {}))
    assert not actor.tables.roles


def test_a_report_from_another_zone_is_forwarded_once_and_answered_the_same_way():
    """A host of zone b is linked to a host of zone a that is not its allocator.

    That host forwards the report, and the offer returns through it. Guards
    against forwarding a report twice: two hosts that each take the other for the
    allocator would forward it to each other forever.
    """
    hosts = ("h0",)
    actor, _, sent = make_allocator("h1", hosts)
    actor.on_receive(report(actor, "k5"))
    ((to, forwarded),) = sent
    assert (to, forwarded.via) == ("h0", "h1")
    actor.on_receive(forwarded)
    assert len(sent) == 1

    holder, clock, sent = make_allocator("h0", hosts)
    for _ in range(4):
        clock.advance(0.5)
        holder.on_receive(Tick())
    holder.on_receive(forwarded)
    ((to, offer),) = sent
    assert (to, offer.host, len(offer.grants)) == ("h1", "k5", 1)


def test_an_offer_for_another_host_is_forwarded():
    class Mesh:
        sent: list = []

        def send(self, host, message):
            self.sent.append((host, message))

    router = Router("h1")
    router.mesh = Mesh()
    offer = GrantOffer("k5", 1, "h0", None, 1, 1, 1, 0.0)
    router.deliver(None, offer)
    assert router.mesh.sent == [("k5", offer)]


def test_floors_are_sent_to_other_zones_even_if_no_request_waits():
    """Guards against a zone that is idle and looks unreachable.

    No requests would spill to a zone without floor reports.
    """
    hosts = ("h0",)
    actor, clock, sent = make_allocator("h0", hosts)
    config = make_config({"e0": 4})
    other = make_config({"e1": 4}, zone="b")
    both = {**config.targets, **other.targets}
    config.targets.update(both)
    actor.on_receive(NewConfig(config))
    actor.on_receive(Tick())
    floors = [(to, row) for to, row in sent if isinstance(row, FloorReport)]
    assert [(to, row.to.zone, row.floor) for to, row in floors] == [("k0", "b", -1)]


def test_load_reports_reduce_the_slots_of_a_target_gradually():
    """Guards against one stale load report that stops all grants on a target.

    The target reports ten requests, of which the allocator knows none. Its slots
    are withdrawn over several reports, not at the first.
    """
    hosts = ("h0",)
    actor, clock, _ = make_allocator("h0", hosts)
    role = actor.tables.roles[pool_of(actor)]
    used = []
    for _ in range(8):
        actor.on_receive(TargetLoad("e0", 10))
        used.append(role.loads.external("e0"))
    assert used == sorted(used)
    assert used[0] <= 1 < used[-1]


@pytest.mark.parametrize("leaving", [False, True])
def test_roles_are_notified_of_a_leaving_target(leaving):
    hosts = ("h0",)
    actor, clock, sent = make_allocator("h0", hosts)
    if leaving:
        addresses = [row.address for row in actor.tables.config.targets.values()]
        actor.on_receive(TargetsLeaving(frozenset(addresses)))
    clock.advance(2.0)
    actor.on_receive(report(actor, "h0"))
    assert sum(len(offer.grants) for _, offer in sent) == (0 if leaving else 1)


class BusyInbox:
    """A message queue that is never empty."""

    def empty(self) -> bool:
        return False

    def qsize(self) -> int:
        return 1


def test_an_allocator_decides_while_messages_keep_coming():
    """Guards against an allocator that never decides because its queue is never empty.

    Hosts send reports more and more often while their requests are not granted.
    """
    actor, clock, sent = make_allocator("h0", ("h0",))
    actor.actor_inbox = BusyInbox()
    for number in range(1, 40):
        clock.advance(0.05)
        row = PoolReport(
            "h0", 1, pool_of(actor), number, clock.monotonic(), 0, 0, demands=(DEMAND,)
        )
        actor.on_receive(row)
    granted = [row for _, row in sent if isinstance(row, GrantOffer) and row.grants]
    assert granted


def test_an_allocator_gives_out_the_part_of_a_limit_of_the_hosts_that_it_sees(caplog):
    """Guards against a whole limit on each side of a network partition."""
    caplog.set_level("INFO")
    actor, clock, _ = make_allocator(holder_of(make_allocator("h0")[0]))
    limit = StatedLimit("e0", "", 3.0, 0.0)
    actor.on_receive(report(actor, "h0", rate_limits=(limit,)))
    actor.on_receive(Tick())
    (role,) = actor.tables.roles.values()
    assert role.rate_limits.requests_per_s("e0") == 3.0
    assert caplog.text.count("Current rate limits of targets") == 1
    clock.advance(1.0)
    actor.on_receive(HostsChanged((actor.tables.host,), {}))
    (role,) = actor.tables.roles.values()
    actor.on_receive(Tick())
    assert role.rate_limits.requests_per_s("e0") == 1.0
    clock.advance(HOST_EXPIRY_S)
    actor.on_receive(Tick())
    assert role.rate_limits.requests_per_s("e0") == 3.0
    assert caplog.text.count("Current rate limits of targets") == 1


def test_an_allocator_forgets_the_limit_of_a_target_that_has_restarted():
    actor, _, _ = make_allocator(holder_of(make_allocator("h0")[0]))
    limit = StatedLimit("e0", "", 3.0, 0.0)
    actor.on_receive(report(actor, "h0", rate_limits=(limit,)))
    (role,) = actor.tables.roles.values()
    assert role.rate_limits.limited == {"e0"}
    actor.on_receive(NewConfig(make_config({"e0": 4}, generation="2")))
    assert not role.rate_limits.limited


def test_an_allocator_that_stood_still_warms_up_again():
    """Guards against granting what others have granted during a pause."""
    hosts = ("h0",)
    holder, clock, sent = make_allocator("h0", hosts)
    clock.advance(2.0)
    holder.on_receive(report(holder, "k5"))
    assert not sent
    clock.advance(WARM_UP_S)
    holder.on_receive(Tick())
    assert len(sent) == 1


def test_terms_of_two_pools_on_one_allocator_differ():
    """Guards against grants of one pool that count as those of the other."""
    actor, _, _ = make_allocator("h0", ("h0",))
    assert actor.next_term() < actor.next_term()


@pytest.mark.parametrize(
    "odd",
    [
        {"demands": (replace(DEMAND, prompt_tokens=HUGE),)},
        {"completions": (Completion("e0", "w", "letters", HUGE, HUGE, 0.1, 0.2),)},
    ],
    ids=["as it runs", "as it takes the report"],
)
def test_a_role_that_fails_begins_anew_and_its_pool_is_served(odd):
    """Guards against a report that ends the allocator, and the process with it."""
    actor, clock, sent = make_allocator(holder_of(make_allocator("h0")[0]))
    clock.advance(WARM_UP_S)
    (role,) = actor.tables.roles.values()
    actor.on_receive(replace(report(actor, "h0"), **odd))
    actor.on_receive(Tick())
    assert actor.restarts == 1
    (successor,) = actor.tables.roles.values()
    assert successor.term > role.term
    clock.advance(WARM_UP_S)
    sent.clear()
    actor.on_receive(replace(report(actor, "h0"), number=2))
    actor.on_receive(Tick())
    offers = [message for _, message in sent if isinstance(message, GrantOffer)]
    assert [grant.request for grant in offers[0].grants] == ["r"]


def test_an_error_of_what_roles_share_is_not_passed_over(monkeypatch):
    """Guards against rollouts that go on in a state that nobody knows."""
    actor, clock, _ = make_allocator(holder_of(make_allocator("h0")[0]))
    clock.advance(WARM_UP_S)

    def fail(*args):
        raise ValueError("rollouts")

    monkeypatch.setattr(actor.tables.rollouts, "take_report", fail)
    with pytest.raises(ValueError, match="rollouts"):
        actor.on_receive(report(actor, "h0"))
    assert actor.restarts == 0
