"""The actor that tracks which peers are live and gossips about them.

In every heartbeat period, a hub sends the heartbeat counts that it knows to a few
other hubs, which pass them on. Sending a heartbeat to every peer instead would
make the work of each host grow with the size of the zone. Hosts that are not hubs
(see `hubs`) send heartbeats only to hubs, and less often; one hub reports all
other hosts to them.
"""

import functools
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import pykka

from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation
from godwitladder.logs import component_logger
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
from godwitladder.membership.messages import (
    Directory,
    Heartbeat,
    LiveNews,
    Peer,
    Roster,
    ViewRequest,
)
from godwitladder.membership.topology import UNBOUNDED, Topology
from godwitladder.scheduler.messages import HostsChanged, TargetsLeaving, Tick

log = component_logger("membership")

MEMBER_RETENTION_S = 600.0
"""Time after which a silent host is removed from the table."""


@dataclass(frozen=True)
class HostListRead:
    """The platform's host list has been read."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True)
class ConfigChanged:
    """The configuration that this host has applied: its offset and its targets."""

    offset: int
    targets: frozenset[str] = frozenset()


@dataclass(frozen=True)
class LinkUp:
    """A link is up; this host introduces itself to the peer."""

    link: Link


@dataclass(frozen=True)
class LinkDown:
    """A link is closed: its peer has exited or is unreachable."""

    peer: HostId


@dataclass(frozen=True)
class Leave:
    """Request to announce that this host is leaving."""


class Membership(pykka.ThreadingActor):
    """Actor that tracks the live hosts and publishes changes.

    Parameters
    ----------
    me : Heartbeat
        This host's own heartbeat.
    members : Members
        The table of peers to maintain.
    mesh : Mesh
        Links to send messages over.
    clock : Clock
        The host's clock.
    publish : callable
        Called with `HostsChanged` or `TargetsLeaving` when its content changes.
    max_mesh_hosts : int
        Largest number of hosts that form a full mesh, without separate hubs.
    """

    def __init__(
        self,
        me: Heartbeat,
        members: Members,
        mesh: Mesh,
        clock: Clock,
        publish: Callable[[HostsChanged | TargetsLeaving], None],
        max_mesh_hosts: int = UNBOUNDED,
    ) -> None:
        super().__init__()
        self.members = members
        self.mesh = mesh
        self.clock = clock
        self.publish = publish
        self.topology = Topology(me, members, mesh, clock, max_mesh_hosts)
        self.gossip = Gossip(members, mesh, self.topology, clock)
        self.published: HostsChanged | None = None
        self.published_incarnations: list[tuple[HostId, Incarnation]] = []
        self.leaving: frozenset[str] = frozenset()
        self.targets: frozenset[str] = frozenset()
        self.last_run_at = clock.monotonic()

    def on_start(self) -> None:
        """Publish the initial list, which holds only this host."""
        self.publish_changes()

    def on_receive(self, message) -> None:
        """Handle ``message``, and publish a changed list if the inbox is empty.

        When all hosts of a large region start, hundreds of messages arrive at
        once, and the cost of computing the list grows with the number of hosts.
        A tick always publishes; `LiveNews` leaves it to the next tick.
        """
        self.detect_pause()
        self.handle(message)
        pending = not self.actor_inbox.empty()
        if isinstance(message, Tick) or not (isinstance(message, LiveNews) or pending):
            self.publish_changes()

    def detect_pause(self) -> None:
        """Detect a pause of this process, and exclude it from peers' silence."""
        now = self.clock.monotonic()
        pause_s = now - self.last_run_at
        if pause_s > self.members.timeout_s / 2:
            self.members.exclude_pause(pause_s)
            self.mesh.exclude_pause(pause_s)
        self.last_run_at = now

    def publish_changes(self) -> None:
        """Publish the live hosts if they or their incarnations have changed."""
        live = self.topology.live()
        incarnations = [(row.host, row.incarnation) for row in live]
        self.topology.update_hubs(live)
        changed = self.make_hosts_changed(live)
        if (changed, incarnations) != (self.published, self.published_incarnations):
            self.published, self.published_incarnations = changed, incarnations
            self.gossip.views.update(self.topology.zone_hosts(live))
            self.publish(changed)

    def make_hosts_changed(self, live: list[Member]) -> HostsChanged:
        """Return the live hosts that are not leaving, by zone.

        Hosts of other zones are included only if this host has a link to them,
        since requests can't be forwarded to a host known only from gossip.
        """
        topology = self.topology
        me = topology.me
        zones: dict[str, list[HostId]] = {}
        for row in live:
            reachable = row.zone == me.zone or row.host in self.mesh.links
            if reachable and not row.leaving:
                zones.setdefault(row.zone, []).append(row.host)
        mine = zones.pop(me.zone, [])
        if not me.leaving:
            mine.append(me.host)
        hosts = tuple(sorted(mine))
        others = {zone: tuple(row) for zone, row in zones.items()}
        hubs = frozenset() if topology.is_mesh() else topology.hubs
        peers = tuple(
            Peer(row.host, row.address, row.availability_zone or row.zone)
            for row in live
            if row.is_gateway
            and not row.leaving
            and (row.zone == me.zone or row.host in self.mesh.links)
        )
        return HostsChanged(
            hosts, others, topology.allocator_candidates(live, hosts), hubs, peers
        )

    @functools.singledispatchmethod
    def handle(self, message) -> None:
        """Handle one message."""
        raise TypeError(f"unknown message {message!r}")

    @handle.register
    def _(self, message: Tick) -> None:
        self.members.forget(self.clock.monotonic(), MEMBER_RETENTION_S)
        self.topology.maintain_links()
        self.gossip.views.retain(self.mesh.links)
        self.gossip.send_due()

    @handle.register
    def _(self, message: LinkUp) -> None:
        message.link.send(encode(self.topology.me))
        message.link.send(encode(self.gossip.make_roster()))

    @handle.register
    def _(self, message: LinkDown) -> None:
        # A host that is not a hub learns about other such hosts from a hub, so a
        # link between the two says nothing about whether the peer is live.
        if self.topology.is_hub() or message.peer in self.topology.hubs:
            self.members.suspect(message.peer, self.clock.monotonic())

    @handle.register
    def _(self, message: LiveNews) -> None:
        now = self.clock.monotonic()
        rows = zip(message.hosts, message.incarnations, message.counts, strict=False)
        for host, incarnation, count in rows:
            self.members.record_gossip(host, incarnation, count, now)
        if self.gossip.is_request_due(message):
            self.request_view(message.hosts[0])

    @handle.register
    def _(self, message: Heartbeat) -> None:
        self.members.record_heartbeat(as_member(message, self.clock.monotonic()))

    @handle.register
    def _(self, message: Roster) -> None:
        # A host that has just started learns about all others from its first
        # peer. The platform's list lags by up to ten seconds; a host that relied
        # on it alone would know only some hosts and choose other allocators than
        # the rest.
        now = self.clock.monotonic()
        for row in message.members:
            if self.is_new(row):
                self.members.record_heartbeat(as_member(row, now))
        self.mesh.dial_once(
            self.contacts(self.topology.select_hosts_to_dial(message.members))
        )

    @handle.register
    def _(self, message: Directory) -> None:
        self.gossip.handle_directory(message)

    @handle.register
    def _(self, message: ViewRequest) -> None:
        self.send(message.host, self.gossip.make_view(message))

    @handle.register
    def _(self, message: HostListRead) -> None:
        if len(message.hosts) > self.topology.max_mesh_hosts:
            self.topology.dial_unknown_hosts(message.hosts, self.targets)
        else:
            self.topology.contacts = self.contacts(message.hosts)
            self.topology.maintain_links()
        leaving = leaving_addresses(self.leaving, message.hosts)
        if leaving != self.leaving:
            self.leaving = leaving
            self.publish(TargetsLeaving(leaving))

    @handle.register
    def _(self, message: ConfigChanged) -> None:
        self.targets = message.targets
        self._announce(config_offset=message.offset)

    @handle.register
    def _(self, message: Leave) -> None:
        self._announce(leaving=True)

    def request_view(self, peer: HostId) -> None:
        """Request the live hosts that a peer knows and this host may not."""
        log.info(
            "A peer knows other live hosts, requesting them",
            extra={"peer": peer, "known": len(self.published_incarnations)},
        )
        topology = self.topology
        self.send(peer, ViewRequest(topology.me.host, topology.is_hub()))

    def send(self, host: HostId, message: ViewRequest | Directory | Roster) -> None:
        """Send ``message`` if there is a link; a lost one is requested again."""
        link = self.mesh.links.get(host)
        if link:
            link.send(encode(message))

    def _announce(self, **changes) -> None:
        self.topology.update_heartbeat(**changes)
        self.mesh.broadcast(self.topology.me)

    def contacts(self, listed: Iterable[ListedHost]) -> set[str]:
        """Return the addresses in ``listed`` that this host maintains links to."""
        me = self.topology.me
        return choose_contacts(me.address, me.zone, listed, self.targets)

    def is_new(self, row: Heartbeat) -> bool:
        """Return whether ``row`` is of a peer process that is not known yet."""
        entry = self.members.rows.get(row.host)
        known = entry is not None and entry.incarnation >= row.incarnation
        return not known and row.host != self.topology.me.host
