"""Links between hosts: silence, hanging up, and pauses of a process."""

import contextlib
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
    """Return a started mesh and the list of what it was sent."""
    got = []
    address = f"127.0.0.1:{free_ports(1)[0]}"
    deliver = lambda link, message: got.append(message.host)  # noqa: E731
    mesh = Mesh(host, address, SECRET, Clock(), deliver, seeds)
    mesh.start()
    stack.callback(mesh.close)
    return mesh, got


def beat(host="h2"):
    return Heartbeat(host, "a", "", 1, False, 0)


def test_a_link_that_went_silent_is_replaced_by_a_new_one(stack):
    """A connection stays open and carries nothing; new ones work.

    Something between the two hosts has lost track of it. Writes still
    succeed, so that only the silence shows it: the host drops it and dials
    again, and what it sends then arrives.
    """
    far, got = start_mesh(stack, "h1")
    relay = Proxy(far.address)
    stack.callback(relay.close)
    near, _ = start_mesh(stack, "h2", [relay.address])
    wait_until(lambda: near.current() and far.current(), "the first link")
    old = near.current()[0]
    relay.blackhole()
    near.send("h1", beat())
    near.drop_silent(0.0)
    assert near.current() == []
    wait_until(lambda: near.current() not in ([], [old]), "a new link")
    wait_until(lambda: near.send("h1", beat()) and "h2" in got, "a message")


def test_a_peer_that_left_the_list_is_not_dialled_again(stack):
    """Addresses of hosts that are gone are not dialled for ever."""
    near, _ = start_mesh(stack, "h1")
    near.keep({"127.0.0.1:9"})
    wait_until(lambda: "127.0.0.1:9" in near.dials, "the dialling")
    near.keep(set())
    wait_until(lambda: not near.dials, "the dialling to end")


class QuietMesh:
    """Takes what membership sends."""

    links: dict = {}

    def __init__(self) -> None:
        self.sent, self.excused, self.met = [], 0.0, set()

    def current(self):
        return []

    def broadcast(self, message) -> None:
        self.sent.append(encode(message))

    def drop_silent(self, timeout_s) -> None:
        pass

    def meet(self, addresses) -> None:
        self.met |= addresses

    def keep(self, addresses, seeds=True) -> None:
        pass

    def excuse(self, pause_s) -> None:
        self.excused += pause_s


def make_membership():
    """Return membership of h1, its clock and what it published."""
    clock, published = ManualClock(), []
    members = Members(TIMEOUT_S)
    me = Heartbeat("h1", "a", "", 1, False, 0)
    actor = Membership(me, members, QuietMesh(), clock, published.append)
    actor.on_start()
    actor.on_receive(beat("h2"))
    return actor, clock, published


def tick(actor, clock, seconds):
    clock.advance(seconds)
    actor.on_receive(Tick())


def test_a_pause_of_this_process_is_not_silence_of_its_peers():
    """A host that stood still for long doesn't take all roles when it wakes.

    The peers' heartbeats are still unread. Only when none come while it runs
    are they taken for dead.
    """
    actor, clock, published = make_membership()
    assert published[-1].hosts == ("h1", "h2")
    tick(actor, clock, 60.0)
    assert published[-1].hosts == ("h1", "h2")
    for _ in range(7):
        tick(actor, clock, 0.5)
    assert published[-1].hosts == ("h1",)


def test_a_host_that_has_just_started_knows_all_hosts_after_one_link(stack):
    """A host restarts, and is linked to one seed; the platform's list lags.

    Callers that it serves at once are placed by the allocator of all hosts:
    knowing a part of them, it would choose another one, and both would fill the
    same targets. So its first peer tells it of everyone, and it dials them,
    those with lower addresses too, which have not heard of it yet.
    """
    meshes = {name: start_membership(stack, name) for name in ("h1", "h2")}
    seed, (_, far) = meshes["h1"][0].address, meshes["h2"]
    wait_until(lambda: meshes["h2"][0].server, "the second host")
    meshes["h2"][0].meet({seed})
    wait_until(lambda: far[-1].hosts == ("h1", "h2"), "the first two")
    third, told = start_membership(stack, "h3", [seed])
    wait_until(lambda: len(third.current()) == 2, "links to both")
    for published in (told, far, meshes["h1"][1]):
        wait_until(lambda rows=published: rows[-1].hosts == ("h1", "h2", "h3"), "all")


def start_membership(stack, name, seeds=()):
    """Return the running mesh of a host with its membership, and what that told."""
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


def test_a_roster_tells_nothing_new_of_known_hosts():
    """A peer that lags names a host by a process that has ended since.

    The host has restarted, and this one has heard its newer process already.
    Taking the older one in would let callers wait for a process that is gone.
    """
    actor, _, published = make_membership()
    actor.on_receive(Heartbeat("h2", "a", "10.0.0.2:1", 5, False, 0))
    old = Heartbeat("h2", "a", "10.0.0.9:1", 4, False, 0)
    actor.on_receive(Roster((old, Heartbeat("h1", "a", "10.0.0.8:1", 9, False, 0))))
    assert actor.members.rows["h2"].incarnation == 5
    assert actor.mesh.met == set()
    actor.on_receive(Roster((Heartbeat("h3", "a", "10.0.0.3:1", 1, False, 0),)))
    assert published[-1].hosts == ("h1", "h2", "h3")
    assert actor.mesh.met == {"10.0.0.3:1"}


def test_a_leaving_host_hands_its_roles_over():
    """Neither a host that leaves nor its peers count it among the allocators."""
    actor, clock, published = make_membership()
    actor.on_receive(Leave())
    assert published[-1] == HostsChanged(("h2",), {})
    leaving = Heartbeat("h2", "a", "", 1, True, 0)
    actor.on_receive(leaving)
    assert published[-1] == HostsChanged((), {})


def test_a_peer_whose_clock_was_set_back_is_live_again():
    """A host restarts with an earlier clock and so with a lower incarnation.

    It is refused while the newer one may be there, and taken in once that
    one has been silent for the timeout.
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
    """Callers sent to a host that knows nobody would overrun the targets.

    It would take itself for the allocator. If all its seeds are gone it
    serves alone after a while, as a host that is cut off must.
    """
    clock = ManualClock()
    mesh = SimpleNamespace(seeds=seeds, current=lambda: links)
    host = SimpleNamespace(clock=clock, started=clock.monotonic(), mesh=mesh)
    clock.advance(waited_s)
    assert EntryHost.peer_discovery_done(host) is ready


def make_mesh(stack, name, seeds=()):
    """Return a mesh that runs, and the peers whose links it told of as closed."""
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


def test_a_mesh_that_stops_tells_nobody_of_closed_links():
    """A host ends as planned, and its actors have stopped before its links close.

    Its peer hears of the closed link at once. On the host itself, nobody is
    left who could be told: the thread of each link failed with an error.
    """
    with contextlib.ExitStack() as stack:
        one, told_one = make_mesh(stack, "h1")
        two, told_two = make_mesh(stack, "h2", [one.address])
        wait_until(lambda: one.links and two.links, "the link")
        one.close()
        wait_until(lambda: not one.links and told_two == ["h1"], "the end")
    assert told_one == []


def test_a_roster_does_not_bring_a_silent_host_back():
    """A host has died, and a peer that has not noticed yet names it.

    Its last word is known here already, so the name is no sign of life. Taken
    for one, each new link would keep the dead host among the allocators.
    """
    actor, clock, published = make_membership()
    for _ in range(8):
        tick(actor, clock, 0.5)
    assert published[-1].hosts == ("h1",)
    actor.on_receive(Roster((beat("h2"),)))
    assert published[-1].hosts == ("h1",)
