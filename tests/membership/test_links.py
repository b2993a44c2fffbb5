"""Tests of links between hosts: silence, closing, and pauses of a process."""

import contextlib
from dataclasses import replace
from types import SimpleNamespace

import pytest

from godwitladder.clock import Clock, ManualClock
from godwitladder.daemon import PEER_DISCOVERY_TIMEOUT_S, EntryHost
from godwitladder.membership.actor import Leave, LinkUp, Membership
from godwitladder.membership.codec import encode
from godwitladder.membership.members import Members
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Heartbeat, Roster
from godwitladder.scheduler.messages import HostsChanged, Tick
from godwitladder.standins.ports import free_ports
from soak.proxy import Proxy
from tests.fleet import SECRET, wait_until

TIMEOUT_S = 3.0


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def start_mesh(stack, host, seeds=()):
    """Return a started mesh and a list of the hosts whose heartbeats it received."""
    received = []
    address = f"127.0.0.1:{free_ports(1)[0]}"
    deliver = lambda link, message: received.append(message.host)  # noqa: E731
    mesh = Mesh(host, address, SECRET, Clock(), deliver, seeds)
    mesh.start()
    stack.callback(mesh.close)
    return mesh, received


def make_heartbeat(host="h2"):
    return Heartbeat(host, "a", "", 1, False, 0)


def test_a_silent_link_is_replaced(stack):
    """A connection stays open but carries nothing, while new connections work.

    A device between the two hosts has lost its state. Writes still succeed, so
    only the silence reveals the fault. The host closes the link and dials again,
    and its messages arrive.
    """
    far, received = start_mesh(stack, "h1")
    relay = Proxy(far.address)
    stack.callback(relay.close)
    near, _ = start_mesh(stack, "h2", [relay.address])
    wait_until(lambda: near.current() and far.current(), "the first link")
    old = near.current()[0]
    relay.blackhole()
    near.send("h1", make_heartbeat())
    near.drop_silent(0.0)
    assert near.current() == []
    wait_until(lambda: near.current() not in ([], [old]), "a new link")
    wait_until(
        lambda: near.send("h1", make_heartbeat()) and "h2" in received, "a message"
    )


def test_an_invalid_message_of_a_peer_costs_that_message_alone(stack):
    """Guards against a value of one peer that takes its link, and all on it, away."""
    far, received = start_mesh(stack, "h1")
    near, _ = start_mesh(stack, "h2", [far.address])
    wait_until(lambda: near.current() and far.current(), "the link")
    link = near.current()[0]
    link.send(encode(replace(make_heartbeat(), incarnation=2**64)))
    link.send(b"no message")
    near.send("h1", make_heartbeat())
    wait_until(lambda: received == ["h2"], "the message after it")
    assert near.current() == [link]
    assert far.current()[0].invalid == 2


def test_a_peer_that_left_the_list_is_not_dialled_again(stack):
    """Addresses of hosts that have left are not dialled forever."""
    near, _ = start_mesh(stack, "h1")
    near.set_dial_addresses({"127.0.0.1:9"})
    wait_until(lambda: "127.0.0.1:9" in near.dials, "the dialling")
    near.set_dial_addresses(set())
    wait_until(lambda: not near.dials, "the dialling to end")


class RecordingMesh:
    """Records what membership sends, dials and excludes."""

    links: dict = {}

    def __init__(self) -> None:
        self.sent, self.excluded_s, self.dialled_once = [], 0.0, set()

    def current(self):
        return []

    def broadcast(self, message) -> None:
        self.sent.append(encode(message))

    def drop_silent(self, timeout_s) -> None:
        pass

    def dial_once(self, addresses) -> None:
        self.dialled_once |= addresses

    def set_dial_addresses(self, addresses, seeds=True) -> None:
        pass

    def exclude_pause(self, pause_s) -> None:
        self.excluded_s += pause_s


def make_membership():
    """Return the membership actor of h1, its clock and the messages it publishes."""
    clock, published = ManualClock(), []
    members = Members(TIMEOUT_S)
    me = Heartbeat("h1", "a", "", 1, False, 0)
    actor = Membership(me, members, RecordingMesh(), clock, published.append)
    actor.on_start()
    actor.on_receive(make_heartbeat("h2"))
    return actor, clock, published


def tick(actor, clock, seconds):
    clock.advance(seconds)
    actor.on_receive(Tick())


def test_a_pause_of_this_process_does_not_count_as_silence_of_peers():
    """A host does not take over all roles after a long pause of its process.

    Its peers' heartbeats are still queued. The peers count as dead only if no
    heartbeat arrives while the process is running.
    """
    actor, clock, published = make_membership()
    assert published[-1].hosts == ("h1", "h2")
    tick(actor, clock, 60.0)
    assert published[-1].hosts == ("h1", "h2")
    for _ in range(7):
        tick(actor, clock, 0.5)
    assert published[-1].hosts == ("h1",)


def test_a_started_host_learns_about_all_hosts_over_one_link(stack):
    """A host restarts with a link to one seed while the platform's list lags.

    Its requests must be placed by the allocator that all other hosts use. If it
    knew only some hosts, it would choose another allocator, and both would fill
    the same targets. Therefore its first peer names all hosts, and it dials them,
    including those with lower addresses, which don't know it yet.
    """
    meshes = {name: start_membership(stack, name) for name in ("h1", "h2")}
    seed, (_, far) = meshes["h1"][0].address, meshes["h2"]
    wait_until(lambda: meshes["h2"][0].server, "the second host")
    meshes["h2"][0].dial_once({seed})
    wait_until(lambda: far[-1].hosts == ("h1", "h2"), "the first two")
    third, published_third = start_membership(stack, "h3", [seed])
    wait_until(lambda: len(third.current()) == 2, "links to both")
    for published in (published_third, far, meshes["h1"][1]):
        wait_until(lambda rows=published: rows[-1].hosts == ("h1", "h2", "h3"), "all")


def start_membership(stack, name, seeds=()):
    """Return the running mesh of a host, and what its membership actor publishes."""
    published = []
    members = Members(TIMEOUT_S)
    clock = Clock()
    address = f"127.0.0.1:{free_ports(1)[0]}"
    actors = []
    mesh = Mesh(
        name,
        address,
        SECRET,
        clock,
        lambda link, message: actors[0].tell(message),
        seeds,
        lambda link: actors[0].tell(LinkUp(link)),
    )
    me = Heartbeat(name, "a", address, 1, False, 0)
    actors.append(Membership.start(me, members, mesh, clock, published.append))
    stack.callback(actors[0].stop)
    mesh.start()
    stack.callback(mesh.close)
    return mesh, published


def test_a_roster_does_not_replace_known_hosts():
    """A peer with outdated state names a process that has exited since.

    The host of that process has restarted, and its new process is already known
    here. Recording the old process would let callers wait for it.
    """
    actor, _, published = make_membership()
    actor.on_receive(Heartbeat("h2", "a", "10.0.0.2:1", 5, False, 0))
    old = Heartbeat("h2", "a", "10.0.0.9:1", 4, False, 0)
    actor.on_receive(Roster((old, Heartbeat("h1", "a", "10.0.0.8:1", 9, False, 0))))
    assert actor.members.rows["h2"].incarnation == 5
    assert actor.mesh.dialled_once == set()
    actor.on_receive(Roster((Heartbeat("h3", "a", "10.0.0.3:1", 1, False, 0),)))
    assert published[-1].hosts == ("h1", "h2", "h3")
    assert actor.mesh.dialled_once == {"10.0.0.3:1"}


def test_a_leaving_host_is_not_an_allocator():
    """A leaving host is an allocator neither for itself nor for its peers."""
    actor, clock, published = make_membership()
    actor.on_receive(Leave())
    assert published[-1] == HostsChanged(("h2",), {})
    leaving = Heartbeat("h2", "a", "", 1, True, 0)
    actor.on_receive(leaving)
    assert published[-1] == HostsChanged((), {})


def test_a_peer_whose_clock_was_set_back_is_live_again():
    """A host restarts with its clock set back, and so with a lower incarnation.

    Its heartbeats are rejected while the process with the higher incarnation may
    still be live, and accepted once that one has been silent for the timeout.
    """
    actor, clock, published = make_membership()
    actor.on_receive(Heartbeat("h2", "a", "", 0, False, 0))
    assert actor.members.rows["h2"].incarnation == 1
    for _ in range(8):
        tick(actor, clock, 0.5)
    actor.on_receive(Heartbeat("h2", "a", "", 0, False, 0))
    assert published[-1].hosts == ("h1", "h2")


@pytest.mark.parametrize(
    ("seeds", "links", "waited_s", "ready"),
    [
        ({"a"}, [], 0.0, False),
        ({"a"}, ["link"], 0.0, True),
        (set(), [], 0.0, True),
        ({"a"}, [], PEER_DISCOVERY_TIMEOUT_S + 0.1, True),
    ],
)
def test_a_host_is_not_ready_before_it_knows_a_peer(seeds, links, waited_s, ready):
    """A host without peers would overload the targets if it received requests.

    It would consider itself the allocator. If none of its seeds can be reached,
    it serves alone after a timeout, as a partitioned host must.
    """
    clock = ManualClock()
    mesh = SimpleNamespace(seeds=seeds, current=lambda: links)
    host = SimpleNamespace(clock=clock, started=clock.monotonic(), mesh=mesh)
    clock.advance(waited_s)
    assert EntryHost.peer_discovery_done(host) is ready


def make_mesh(stack, name, seeds=()):
    """Return a running mesh, and the peers whose links it reports as closed."""
    closed = []
    address = f"127.0.0.1:{free_ports(1)[0]}"
    mesh = Mesh(
        name,
        address,
        SECRET,
        Clock(),
        lambda link, message: None,
        seeds,
        on_link_down=closed.append,
    )
    mesh.start()
    stack.callback(mesh.close)
    return mesh, closed


def test_a_stopping_mesh_does_not_report_closed_links():
    """A host shuts down; its actors stop before its links close.

    Its peer is notified of the closed link at once. On the host itself no actor is
    left to notify: guards against an error in each link that still tries to.
    """
    with contextlib.ExitStack() as stack:
        one, closed_one = make_mesh(stack, "h1")
        two, closed_two = make_mesh(stack, "h2", [one.address])
        wait_until(lambda: one.links and two.links, "the link")
        one.close()
        wait_until(lambda: not one.links and closed_two == ["h1"], "the end")
    assert closed_one == []


def test_a_roster_does_not_restore_a_silent_host():
    """A host has failed, and a peer that has not detected this yet names it.

    Its last heartbeat is already known here, so the entry does not show that it is
    live. Otherwise each new link would keep the failed host among the allocators.
    """
    actor, clock, published = make_membership()
    for _ in range(8):
        tick(actor, clock, 0.5)
    assert published[-1].hosts == ("h1",)
    actor.on_receive(Roster((make_heartbeat("h2"),)))
    assert published[-1].hosts == ("h1",)


def test_only_hosts_that_open_tunnels_are_gateways():
    """Guards against a host of an older version that takes a tunnel for a link."""
    actor, _, published = make_membership()
    actor.on_receive(Heartbeat("h3", "a", "h3:1", 1, False, 0, is_gateway=True))
    assert published[-1].hosts == ("h1", "h2", "h3")
    assert [peer.host for peer in published[-1].peers] == ["h3"]
