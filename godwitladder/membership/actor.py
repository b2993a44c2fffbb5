"""The actor that keeps the table of peers and spreads heartbeats.

Every heartbeat period a hub sends what it knows of who is live to a few other
hubs, and a heartbeat reaches all by way of others: one to every peer would make
each host's work grow with the zone. Hosts that are no hubs (`hubs`) send their
heartbeats to the hubs alone, more seldom, and are told of all others by one.
"""

import functools
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import pykka

from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation
from godwitladder.membership.codec import encode
from godwitladder.membership.contacts import (
    ListedHost,
    choose_contacts,
    leaving_addresses,
)
from godwitladder.membership.gossip import Gossip
from godwitladder.membership.links import Link
from godwitladder.membership.members import Member, Members, as_member
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Directory, Heartbeat, LiveNews, Roster
from godwitladder.membership.topology import UNBOUNDED, Topology
from godwitladder.scheduler.messages import HostsChanged, TargetsLeaving, Tick

FORGET_S = 600.0
"""A host that was silent for so long is dropped from the table."""


@dataclass(frozen=True)
class HostListRead:
    """The platform's host list, as last read."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True)
class ConfigChanged:
    """The configuration offset in force on this host, and its targets."""

    offset: int
    targets: frozenset[str] = frozenset()


@dataclass(frozen=True)
class LinkUp:
    """A link has come up; the peer is to be told who this host is."""

    link: Link


@dataclass(frozen=True)
class LinkDown:
    """A link has closed: its peer has ended, or the way to it is cut."""

    peer: HostId


@dataclass(frozen=True)
class Leave:
    """Announce that the host is leaving."""


class Membership(pykka.ThreadingActor):
    """Knows which hosts are live.

    Parameters
    ----------
    me : Heartbeat
        This host's own heartbeat.
    members : Members
        The table to keep.
    mesh : Mesh
        Links to send over.
    clock : Clock
        The host's clock.
    publish : callable
        Called with `HostsChanged` and `TargetsLeaving` when they change.
    mesh_hosts : int
        Up to so many hosts all are linked to all.
    """

    def __init__(
        self,
        me: Heartbeat,
        members: Members,
        mesh: Mesh,
        clock: Clock,
        publish: Callable[[HostsChanged | TargetsLeaving], None],
        mesh_hosts: int = UNBOUNDED,
    ) -> None:
        super().__init__()
        self.members = members
        self.mesh = mesh
        self.clock = clock
        self.publish = publish
        self.topology = Topology(me, members, mesh, clock, mesh_hosts)
        self.gossip = Gossip(members, mesh, self.topology, clock)
        self.published: HostsChanged | None = None
        self.shown: list[tuple[HostId, Incarnation]] = []
        self.leaving: frozenset[str] = frozenset()
        self.targets: frozenset[str] = frozenset()
        self.ran = clock.monotonic()

    def on_start(self) -> None:
        """Publish that this host is there, alone as yet."""
        self.show()

    def on_receive(self, message) -> None:
        """Take ``message`` in; publish a changed list once no other is at hand.

        When all hosts of a large region start, hundreds of messages come at
        once, and each list that is worked out grows with the hosts.
        """
        self.excuse_pause()
        self.take(message)
        at_hand = not self.actor_inbox.empty()
        if isinstance(message, Tick) or not (isinstance(message, LiveNews) or at_hand):
            self.show()

    def excuse_pause(self) -> None:
        """Notice that this process itself stood still."""
        now = self.clock.monotonic()
        pause_s = now - self.ran
        if pause_s > self.members.timeout_s / 2:
            self.members.excuse(pause_s)
            self.mesh.excuse(pause_s)
        self.ran = now

    def show(self) -> None:
        """Publish the live hosts if they have changed."""
        live = self.topology.live()
        shown = [(row.host, row.incarnation) for row in live]
        self.topology.update(live)
        changed = self.hosts_changed(live)
        if (changed, shown) != (self.published, self.shown):
            self.published, self.shown = changed, shown
            self.publish(changed)

    def hosts_changed(self, live: list[Member]) -> HostsChanged:
        """Return the live hosts that are not leaving, by zone.

        Of other zones only those with a link that is up: one that is known
        to live by others' news can pass nothing on.
        """
        topology = self.topology
        me = topology.me
        zones: dict[str, tuple[HostId, ...]] = {}
        for row in live:
            reached = row.zone == me.zone or row.host in self.mesh.links
            if reached and not row.leaving:
                zones[row.zone] = (*zones.get(row.zone, ()), row.host)
        mine = zones.pop(me.zone, ())
        if not me.leaving:
            mine = (*mine, me.host)
        hosts = tuple(sorted(mine))
        hubs = frozenset() if topology.is_mesh() else topology.hubs
        return HostsChanged(hosts, zones, topology.allocators(live, hosts), hubs)

    @functools.singledispatchmethod
    def take(self, message) -> None:
        """Take one message in."""
        raise TypeError(f"unknown message {message!r}")

    @take.register
    def _(self, message: Tick) -> None:
        self.members.forget(self.clock.monotonic(), FORGET_S)
        self.topology.tend()
        self.gossip.spread()

    @take.register
    def _(self, message: LinkUp) -> None:
        message.link.send(encode(self.topology.me))
        message.link.send(encode(self.gossip.roster()))

    @take.register
    def _(self, message: LinkDown) -> None:
        # Of a host that is no hub, one that is none either knows by a hub.
        if self.topology.is_hub() or message.peer in self.topology.hubs:
            self.members.suspect(message.peer, self.clock.monotonic())

    @take.register
    def _(self, message: LiveNews) -> None:
        now = self.clock.monotonic()
        rows = zip(message.hosts, message.incarnations, message.counts, strict=False)
        for host, incarnation, count in rows:
            self.members.record_gossip(host, incarnation, count, now)

    @take.register
    def _(self, message: Heartbeat) -> None:
        self.members.record_heartbeat(as_member(message, self.clock.monotonic()))

    @take.register
    def _(self, message: Roster) -> None:
        # A host that has just started learns of all others from its first
        # peer. With the platform's list alone it knew a part of them for up to
        # ten seconds, and chose other allocators than the rest.
        now = self.clock.monotonic()
        for row in message.members:
            if self.is_new(row):
                self.members.record_heartbeat(as_member(row, now))
        self.mesh.meet(self.contacts(self.topology.dial_named(message.members)))

    @take.register
    def _(self, message: Directory) -> None:
        self.gossip.take_directory(message)

    @take.register
    def _(self, message: HostListRead) -> None:
        if len(message.hosts) > self.topology.mesh_hosts:
            self.topology.dial_strangers(message.hosts, self.targets)
        else:
            self.topology.contacts = self.contacts(message.hosts)
            self.topology.tend()
        leaving = leaving_addresses(self.leaving, message.hosts)
        if leaving != self.leaving:
            self.leaving = leaving
            self.publish(TargetsLeaving(leaving))

    @take.register
    def _(self, message: ConfigChanged) -> None:
        self.targets = message.targets
        self._announce(config_offset=message.offset)

    @take.register
    def _(self, message: Leave) -> None:
        self._announce(leaving=True)

    def _announce(self, **changes) -> None:
        self.topology.change(**changes)
        self.mesh.broadcast(self.topology.me)

    def contacts(self, listed: Iterable[ListedHost]) -> set[str]:
        """Return which of the hosts in ``listed`` to hold a link to."""
        me = self.topology.me
        return choose_contacts(me.address, me.zone, listed, self.targets)

    def is_new(self, row: Heartbeat) -> bool:
        """Return whether nothing was heard yet of this process of a host."""
        held = self.members.rows.get(row.host)
        known = held is not None and held.incarnation >= row.incarnation
        return not known and row.host != self.topology.me.host
