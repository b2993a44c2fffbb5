"""A simulated network of many hosts in memory, on a clock that the test advances."""

from collections import deque

from godwitladder.clock import ManualClock
from godwitladder.membership.actor import LinkDown, LinkUp, Membership
from godwitladder.membership.codec import decode, encode
from godwitladder.membership.members import Members
from godwitladder.membership.messages import Heartbeat
from godwitladder.membership.router import Router
from godwitladder.scheduler.messages import HostsChanged, Tick

STEP_S = 0.25
TIMEOUT_S = 1.5
MESH_HOSTS = 12
SEEDS = 3


class NetLink:
    """One end of a connection between two hosts."""

    def __init__(self, net, owner, peer, dialled):
        self.net, self.owner, self.node = net, owner, peer
        self.peer, self.address = peer.name, peer.address
        self.dialled = dialled
        self.last_heard = net.clock.monotonic()
        self.far = None

    def send(self, data):
        self.net.sent_bytes += len(data)
        self.net.wire.append((self, data))
        return True

    def close(self):
        self.net.close(self)


class NetMesh:
    """Replaces `godwitladder.membership.mesh.Mesh` of one host."""

    def __init__(self, net, node):
        self.net, self.node = net, node
        self.links = {}
        self.dial_addresses = set(net.seeds) - {node.address}

    def current(self):
        return list(self.links.values())

    def broadcast(self, message):
        self.multicast(self.current(), encode(message))

    def multicast(self, links, data):
        for link in links:
            link.send(data)

    def set_dial_addresses(self, addresses, seeds=True):
        wanted = addresses | set(self.net.seeds) if seeds else set(addresses)
        self.dial_addresses = wanted - {self.node.address}

    def dial_once(self, addresses):
        for address in addresses:
            self.net.dial(self.node, address)

    def close_dialled_except(self, addresses):
        for link in self.current():
            if link.dialled and link.address not in addresses:
                link.close()

    def drop_silent(self, timeout_s):
        for link in self.current():
            if self.net.clock.monotonic() - link.last_heard > timeout_s:
                self.net.forget(link)

    def exclude_pause(self, pause_s):
        for link in self.current():
            link.last_heard += pause_s


class Idle:
    """An actor that gets no message from the membership of other hosts."""


class Node:
    """A simulated host with its membership actor."""

    def __init__(self, net, number, zone, cores, incarnation):
        self.net = net
        self.name = f"{zone}-{number}"
        self.address = f"10.{ord(zone[-1])}.0.{number}:1"
        self.zone, self.cores = zone, cores
        self.start(incarnation)

    def start(self, incarnation):
        self.alive = True
        self.incarnation = incarnation
        self.published = []
        self.mesh = NetMesh(self.net, self)
        me = Heartbeat(
            self.name,
            "region",
            self.address,
            incarnation,
            False,
            0,
            availability_zone=self.zone,
            cores=self.cores,
        )
        self.actor = Membership(
            me,
            Members(TIMEOUT_S),
            self.mesh,
            self.net.clock,
            self.published.append,
            MESH_HOSTS,
        )
        self.actor.on_start()
        self.router = Router(self.name)
        self.router.connect(self.mesh, self, Idle(), Idle())

    def tell(self, message):
        """Receive a message from the router, as the actor's reference does."""
        self.actor.on_receive(message)

    def view(self) -> HostsChanged:
        return self.published[-1]


class Net:
    """Simulated hosts, the links between them, and network partitions."""

    def __init__(self, zones, hosts_per_zone, strong_per_zone=1):
        self.clock = ManualClock()
        self.wire = deque()
        self.cuts = set()
        self.sent_bytes = 0
        self.seeds = ()
        self.incarnation = 1
        self.nodes = [
            Node(self, number, zone, 2.0 if number < strong_per_zone else 0.5, 1)
            for zone in zones
            for number in range(hosts_per_zone)
        ]
        last = [
            node for node in self.nodes if node.name.endswith(f"-{hosts_per_zone - 1}")
        ]
        self.seeds = tuple(node.address for node in last[:SEEDS])
        for node in self.nodes:
            node.mesh.set_dial_addresses(set())

    def alive(self):
        return [node for node in self.nodes if node.alive]

    def is_cut(self, one, other):
        return frozenset((one.zone, other.zone)) in self.cuts

    def cut_off(self, zone):
        """Partition ``zone`` from all other availability zones."""
        others = {node.zone for node in self.nodes} - {zone}
        self.cuts |= {frozenset((zone, other)) for other in others}

    def dial(self, node, address):
        far = next((row for row in self.nodes if row.address == address), None)
        if far is None or not far.alive or far is node or self.is_cut(node, far):
            return
        if far.name in node.mesh.links:
            return
        near, away = NetLink(self, node, far, True), NetLink(self, far, node, False)
        near.far, away.far = away, near
        for link in (near, away):
            old = link.owner.mesh.links.get(link.peer)
            if old:
                self.forget(old)
            link.owner.mesh.links[link.peer] = link
            link.owner.actor.on_receive(LinkUp(link))

    def forget(self, link):
        """Remove one end of a connection and notify its host."""
        if link.owner.mesh.links.get(link.peer) is link:
            del link.owner.mesh.links[link.peer]
            if link.owner.alive:
                link.owner.actor.on_receive(LinkDown(link.peer))

    def close(self, link):
        self.forget(link)
        if not self.is_cut(link.owner, link.node):
            self.forget(link.far)

    def kill(self, node):
        """Kill the process of a host, which closes its links at once."""
        node.alive = False
        for link in node.mesh.current():
            self.close(link)

    def restart(self, node):
        self.incarnation += 1
        node.start(self.incarnation)
        node.mesh.set_dial_addresses(set())

    def run(self, seconds):
        for _ in range(int(seconds / STEP_S)):
            self.step()

    def step(self):
        self.clock.advance(STEP_S)
        for node in self.alive():
            for address in sorted(node.mesh.dial_addresses):
                self.dial(node, address)
        self.pump()
        for node in self.alive():
            node.actor.on_receive(Tick())
        self.pump()

    def pump(self):
        while self.wire:
            link, data = self.wire.popleft()
            far = link.far
            up = far.owner.mesh.links.get(far.peer) is far
            if not up or not far.owner.alive or self.is_cut(link.owner, far.owner):
                continue
            far.last_heard = self.clock.monotonic()
            far.owner.router.deliver(far, decode(data))
