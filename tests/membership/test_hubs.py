"""Tests of a large region: links, hubs, and what each host knows about the others."""

import random

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from godwitladder.membership.actor import Leave
from godwitladder.membership.hubs import (
    MIN_HUBS,
    choose_allocator_candidates,
    choose_hubs,
)
from godwitladder.membership.members import Member
from godwitladder.membership.messages import ViewRequest
from godwitladder.membership.views import SETTLED_S
from godwitladder.scheduler.messages import Tick
from tests.membership.net import MESH_HOSTS, STEP_S, Net

ZONES = ("zone-a", "zone-b", "zone-c")
SETTLE_S = 10
SEED_OF_B = "zone-b-14"
# A derandomized test otherwise takes its seed from its own source, so that rewording
# it would draw other examples.
FAULTS_SEED = int(
    "3895087066837021880912004453394108563355533902884544592040"
    "8165788703450736987323134871232140288907757090116487649733"
)


def make_net(hosts_per_zone=15):
    net = Net(ZONES, hosts_per_zone)
    net.run(SETTLE_S)
    return net


def hosts_known(net, nodes=None):
    """Return the distinct sets of live hosts that ``nodes`` have published."""
    return {node.view().hosts for node in nodes or net.alive()}


def allocators(net, nodes=None):
    return {node.view().allocators for node in nodes or net.alive()}


def names(nodes):
    return tuple(sorted(node.name for node in nodes))


def member(host, zone="a", cores=1.0):
    return Member(
        host, "region", f"{host}:1", 1, 0.0, availability_zone=zone, cores=cores
    )


def test_hubs_are_the_strongest_hosts_of_each_availability_zone():
    rows = [
        member(f"{zone}{n}", zone, 1.0 + (n == 3)) for zone in "ab" for n in range(9)
    ]
    hubs = choose_hubs(rows, MESH_HOSTS)
    assert {"a3", "b3"} <= hubs
    assert len(hubs) >= MIN_HUBS
    assert {host[0] for host in hubs} == {"a", "b"}


def test_every_host_of_a_small_region_is_a_hub():
    rows = [member(f"h{n}") for n in range(MESH_HOSTS)]
    assert len(choose_hubs(rows, MESH_HOSTS)) == MESH_HOSTS


def test_weak_hosts_are_not_allocator_candidates():
    rows = [member("a", cores=0.5), member("b", cores=2.0), member("c", cores=1.9)]
    assert choose_allocator_candidates(rows) == {"b", "c"}


def test_hosts_that_start_together_discover_each_other_through_hubs():
    """Many hosts start at once and know only three seeds, which are not hubs.

    Within seconds, all hosts know each other and agree on the allocators, so that
    no target is granted twice. Only links to hubs remain; those to the seeds are
    closed.
    """
    net = make_net()
    assert hosts_known(net) == {names(net.nodes)}
    assert len(allocators(net)) == 1
    hubs = net.nodes[0].view().hubs
    assert len(hubs) == MIN_HUBS
    for node in net.nodes:
        linked = set(node.mesh.links)
        if node.name in hubs:
            assert len(linked) == len(net.nodes) - 1
        else:
            assert linked == hubs


def test_hosts_that_start_together_agree_before_they_compare_views():
    """Guards against seconds in which each host chooses its own allocators."""
    net = Net(ZONES, 15)
    net.run(SETTLED_S)
    assert hosts_known(net) == {names(net.nodes)}


def test_a_host_without_links_drops_what_a_hub_reported():
    """Guards against a host that waits for hosts that it can't reach."""
    net = make_net()
    hubs = net.nodes[0].view().hubs
    node = next(node for node in net.nodes if node.name not in hubs)
    node.mesh.links.clear()
    for _ in range(40):
        net.clock.advance(STEP_S)
        node.actor.on_receive(Tick())
    assert node.view().hosts == (node.name,)


def test_idle_hosts_send_little():
    """Without changes, hosts send only heartbeats: a few hundred bytes per second."""
    net = make_net()
    before = net.sent_bytes
    net.run(10)
    assert (net.sent_bytes - before) / 10 / len(net.nodes) < 2_000


def test_all_hosts_replace_a_failed_allocator_by_the_same_one():
    """The process of an allocator is killed, and its links close.

    All hosts agree on its replacement at once, without waiting for a timeout.
    They soon count one host less, so that its share of quotas goes to the others.
    """
    net = make_net()
    (first, *_) = net.nodes[0].view().allocators
    victim = next(node for node in net.nodes if node.name == first)
    net.kill(victim)
    assert all(first not in row for row in allocators(net))
    assert len(allocators(net)) == 1
    net.run(3)
    assert hosts_known(net) == {names(net.alive())}
    assert len(net.nodes[-1].view().hubs) == MIN_HUBS


def test_a_partitioned_zone_continues_alone_and_rejoins():
    """A network partition separates one zone from the others; no link closes.

    Within a few seconds, the hosts on each side know only each other and have
    their own allocators. After the partition, all agree on the same ones again.
    """
    net = make_net()
    net.cut_off("zone-b")
    net.run(6)
    inside = [node for node in net.nodes if node.zone == "zone-b"]
    outside = [node for node in net.nodes if node.zone != "zone-b"]
    for side in (inside, outside):
        assert hosts_known(net, side) == {names(side)}
        assert len(allocators(net, side)) == 1
        assert set(*allocators(net, side)) <= set(names(side))
    net.cuts.clear()
    net.run(SETTLE_S)
    assert hosts_known(net) == {names(net.nodes)}
    assert len(allocators(net)) == 1


def test_a_zone_that_is_cut_off_loses_its_hubs_too():
    """The hubs of a zone are killed at the moment a partition separates it.

    Its other hosts know all hosts from hubs that are unreachable now. They find
    each other through the remaining seed and continue on their own. If they kept
    the reports of the hubs, they would wait forever for unreachable allocators.
    """
    net = make_net()
    hubs = net.nodes[0].view().hubs
    net.cut_off("zone-b")
    for node in net.nodes:
        if node.zone == "zone-b" and node.name in hubs - {SEED_OF_B}:
            net.kill(node)
    net.run(SETTLE_S)
    inside = [node for node in net.alive() if node.zone == "zone-b"]
    assert hosts_known(net, inside) == {names(inside)}
    assert len(allocators(net, inside)) == 1
    net.cuts.clear()
    net.run(SETTLE_S)
    assert hosts_known(net) == {names(net.alive())}


def test_hosts_of_a_cut_zone_pass_no_reports_to_each_other():
    """Guards against dead hosts that two hosts report to each other for good."""
    # The order in which hubs send gossip is random, and in this one it happens.
    random.seed(34)
    test_a_zone_that_is_cut_off_loses_its_hubs_too()


def test_a_host_answers_with_what_it_has_heard_itself():
    """Guards against reports that are passed from host to host."""
    net = make_net()
    hubs = net.nodes[0].view().hubs
    node = next(node for node in net.nodes if node.name not in hubs)
    answer = node.actor.gossip.make_view(ViewRequest("any", is_hub=False))
    assert {row.host for row in answer.members} == hubs | {node.name}


@pytest.mark.parametrize("away_s", [0.5, 40])
def test_all_hosts_are_killed_at_once_and_restarted(away_s):
    """All processes are killed at the same moment and restart without any state.

    They find each other through the seeds as at the first start, and no host
    treats a process that has exited as live for long.
    """
    net = make_net()
    for node in net.nodes:
        net.kill(node)
    net.run(away_s)
    for node in net.nodes:
        net.restart(node)
        node.mesh.set_dial_addresses(set())
    net.run(SETTLE_S)
    assert hosts_known(net) == {names(net.nodes)}
    assert len(allocators(net)) == 1
    rows = net.nodes[0].actor.members.rows.values()
    assert all(row.incarnation > 1 for row in rows)


def test_the_failure_of_a_host_that_is_not_a_hub_reaches_all_hosts():
    """Hubs detect that its link has closed and report this to the other hosts."""
    net = make_net()
    hubs = net.nodes[0].view().hubs
    victim = next(node for node in net.nodes if node.name not in hubs)
    net.kill(victim)
    net.run(1)
    assert hosts_known(net) == {names(net.alive())}
    net.restart(victim)
    victim.mesh.set_dial_addresses(set())
    net.run(SETTLE_S)
    assert hosts_known(net) == {names(net.nodes)}


def test_a_leaving_hub_is_replaced():
    """A hub announces that it is leaving; other hosts replace it before it exits."""
    net = make_net()
    (first, *_) = net.nodes[0].view().allocators
    hub = next(node for node in net.nodes if node.name == first)
    hub.actor.on_receive(Leave())
    net.run(2)
    assert all(first not in row for row in allocators(net))
    assert len(allocators(net)) == 1
    assert first not in net.nodes[-1].view().hosts


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["kill", "restart", "cut", "heal", "kill_all", "run"]),
        st.integers(0, 999),
    ),
    max_size=8,
)


@seed(FAULTS_SEED)
@settings(max_examples=12, deadline=None, derandomize=True)
@given(STEPS)
def test_after_any_series_of_faults_all_hosts_agree_again(steps):
    """Hosts are killed and restarted, and partitions start and end, in any order.

    Half a second passes between two faults. Within seconds after the last one, the
    live hosts know only each other and agree on the allocators.
    """
    check_agreement_after(steps)


def test_hosts_agree_again_after_some_are_killed_and_the_others_restarted():
    """After some hosts were killed and all others restarted, their views must agree."""
    check_agreement_after(
        [
            ("kill", 802),
            ("restart", 843),
            ("kill_all", 43),
            ("run", 551),
            ("kill", 566),
            ("heal", 709),
            ("kill", 538),
            ("kill_all", 23),
        ]
    )


@pytest.mark.parametrize(
    "steps",
    [
        [("cut", 272), ("kill", 922)],
        [
            ("run", 362),
            ("kill_all", 732),
            ("kill", 106),
            ("cut", 278),
            ("cut", 257),
            ("cut", 727),
        ],
    ],
)
def test_hosts_look_again_at_rows_that_no_news_comes_for(steps):
    """Guards against views that stay apart, as messages tell of changes alone."""
    check_agreement_after(steps)


def check_agreement_after(steps):
    net = make_net(hosts_per_zone=5)
    for kind, number in steps:
        apply(net, kind, number)
        net.run(0.5)
    net.cuts.clear()
    net.run(1.5 * SETTLE_S)
    assert hosts_known(net) <= {names(net.alive())}
    assert len(allocators(net)) <= 1


def apply(net, kind, number):
    node = net.nodes[number % len(net.nodes)]
    if kind == "kill" and node.alive:
        net.kill(node)
    elif kind == "restart" and not node.alive:
        net.restart(node)
    elif kind == "cut":
        net.cut_off(ZONES[number % len(ZONES)])
    elif kind == "heal":
        net.cuts.clear()
    elif kind == "kill_all":
        for row in net.alive():
            net.kill(row)
            net.restart(row)
    elif kind == "run":
        net.run(number / 100)
