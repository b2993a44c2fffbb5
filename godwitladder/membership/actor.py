"""The actor that keeps the table of peers and spreads heartbeats.

Every heartbeat period a hub sends what it knows of who is live to a few other
hubs, and a heartbeat reaches all by way of others: one to every peer would make
each host's work grow with the zone. Hosts that are no hubs (`hubs`) send their
heartbeats to the hubs alone, more seldom, and are told of all others by one.
"""

import functools
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, replace

import pykka

from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation
from godwitladder.logs import part_logger
from godwitladder.membership.codec import encode
from godwitladder.membership.contacts import (
    ListedHost,
    choose_contacts,
    leaving_addresses,
)
from godwitladder.membership.hubs import choose_able, choose_hubs, teller_of
from godwitladder.membership.links import Link
from godwitladder.membership.members import SELDOM, Member, Members
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Directory, Heartbeat, LiveNews, Roster
from godwitladder.membership.telling import Teller
from godwitladder.scheduler.messages import HostsChanged, TargetsLeaving, Tick

log = part_logger("membership")

FORGET_S = 600.0
FANOUT = 4
"""Peers that are sent the news each period. With fewer, a live host's count could
stand still at some peer for longer than the timeout."""
HUB_BEATS = 2
"""Heartbeat periods between two heartbeats of a hub to hosts that are no hubs."""
HOST_BEATS = 4
"""The same for the heartbeats of hosts that are no hubs."""
DIAL_S = 30.0
"""A hub that is gone is dialled for so long: it may be cut off for a while."""
SETTLED_S = 5.0
"""Links beyond those to hubs are given up once all hubs were linked for so long."""
TOLD_S = 3.0
"""What a hub has told is believed for so long after the link to it was lost, until
another one tells; and on a host that has become a hub, until all others have made
their links to it."""
MEET_AGAIN_S = 2.0
"""Several peers name the same host at once; it is dialled for one of them."""
STRANGERS = 6
"""Hosts of a long list that are tried at once: with any one link come the rest."""
UNBOUNDED = 1 << 30


@dataclass(frozen=True)
class Listed:
    """The platform's host list, as last read."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True)
class ConfigMoved:
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


def as_member(row: Heartbeat, now: float) -> Member:
    """Return a heartbeat as a row of the table, heard at ``now``."""
    return Member(
        row.host,
        row.zone,
        row.address,
        row.incarnation,
        now,
        row.leaving,
        row.config_offset,
        row.count,
        row.place,
        row.cores,
    )


def as_heartbeat(row: Member) -> Heartbeat:
    """Return what ``row`` last told of itself."""
    return Heartbeat(
        row.host,
        row.zone,
        row.address,
        row.incarnation,
        row.leaving,
        row.config_offset,
        row.count,
        row.place,
        row.cores,
    )


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

    Attributes
    ----------
    hubs : frozenset of HostId
        The hubs of this host's zone, as far as this host knows.
    hubs_seen : dict
        When each address was last that of a hub.
    contacts : set of str
        Addresses that the platform's list asks to hold links to.
    met : dict
        When each address that a peer named was last dialled.
    teller : HostId
        The hub that tells this host of all others; empty if none did.
    told_at : float
        When what it told was last known to hold.
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
        self.me = me
        self.members = members
        self.mesh = mesh
        self.clock = clock
        self.publish = publish
        self.published: HostsChanged | None = None
        self.shown: list[tuple[HostId, Incarnation]] = []
        self.leaving: frozenset[str] = frozenset()
        self.targets: frozenset[str] = frozenset()
        self.ran = clock.monotonic()
        self.turn: list[Link] = []
        self.mesh_hosts = mesh_hosts
        self.hubs: frozenset[HostId] = frozenset((me.host,))
        self.hubs_seen: dict[str, float] = {}
        self.hubs_told: frozenset[HostId] = frozenset()
        self.unsettled = clock.monotonic()
        self.contacts: set[str] = set()
        self.met: dict[str, float] = {}
        self.teller = HostId("")
        self.told_at = float("-inf")
        self.telling = Teller(me.host)

    def on_start(self) -> None:
        """Publish that this host is there, alone as yet."""
        self.show()

    def on_receive(self, message) -> None:
        """Take ``message`` in; publish a changed list."""
        self.excuse_pause()
        self.take(message)
        if not isinstance(message, LiveNews):
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
        live = self.members.live(self.clock.monotonic())
        shown = [(row.host, row.incarnation) for row in live]
        self.choose_hubs(live)
        changed = self.hosts_changed(live)
        if (changed, shown) != (self.published, self.shown):
            self.published, self.shown = changed, shown
            self.publish(changed)

    def hosts_changed(self, live: list[Member]) -> HostsChanged:
        """Return the live hosts that are not leaving, by zone.

        Of other zones only those with a link that is up: one that is known
        to live by others' news can pass nothing on.
        """
        zones: dict[str, tuple[HostId, ...]] = {}
        for row in live:
            reached = row.zone == self.me.zone or row.host in self.mesh.links
            if reached and not row.leaving:
                zones[row.zone] = (*zones.get(row.zone, ()), row.host)
        mine = zones.pop(self.me.zone, ())
        if not self.me.leaving:
            mine = (*mine, self.me.host)
        hosts = tuple(sorted(mine))
        hubs = frozenset() if self.is_mesh() else self.hubs
        return HostsChanged(hosts, zones, self.allocators(live, hosts), hubs)

    def allocators(
        self, live: list[Member], hosts: tuple[HostId, ...]
    ) -> tuple[HostId, ...] | None:
        """Return the hosts that may be allocators; None if all may."""
        rows = [row for row in self.at_home(live) if row.host in self.hubs]
        if not self.is_mesh():
            # A hub without a link could be sent no report. Another one passes
            # reports on, if it is the allocator for the rest.
            near = (*self.mesh.links, self.me.host)
            rows = [row for row in rows if row.host in near]
        able = choose_able(rows)
        return None if able == set(hosts) else tuple(sorted(able))

    def at_home(self, live: list[Member]) -> list[Member]:
        """Return the hosts of this zone that are not leaving, this one too."""
        mine = as_member(self.me, self.clock.monotonic())
        rows = (*live, mine)
        return [row for row in rows if row.zone == self.me.zone and not row.leaving]

    def choose_hubs(self, live: list[Member]) -> None:
        """Work out which hosts are hubs now."""
        rows = self.at_home(live)
        hubs = choose_hubs(rows, self.mesh_hosts)
        if hubs != self.hubs:
            self.hubs = hubs
            self.unsettled = self.clock.monotonic()
            if not self.is_mesh():
                log.info("Hubs have changed", extra={"hubs": sorted(hubs)})
        others = frozenset(row.host for row in rows) - hubs
        self.members.seldom = others

    def is_mesh(self) -> bool:
        """Return whether every host is a hub, as far as this one knows."""
        return not self.members.seldom

    def is_hub(self) -> bool:
        """Return whether this host is a hub."""
        return self.me.host in self.hubs

    @functools.singledispatchmethod
    def take(self, message) -> None:
        """Take one message in."""
        raise TypeError(f"unknown message {message!r}")

    @take.register
    def _(self, message: Tick) -> None:
        now = self.clock.monotonic()
        self.members.forget(now, FORGET_S)
        self.met = {row: at for row, at in self.met.items() if now - at < MEET_AGAIN_S}
        self.mesh.drop_silent(self.silence_s())
        self.me = replace(self.me, count=self.me.count + 1)
        self.spread_news()
        self.tend_links()
        self.name_hubs()
        self.tell_others()

    @take.register
    def _(self, message: LinkUp) -> None:
        message.link.send(encode(self.me))
        message.link.send(encode(self.roster()))

    @take.register
    def _(self, message: LinkDown) -> None:
        # Of a host that is no hub, one that is none either knows by a hub.
        if self.is_hub() or message.peer in self.hubs:
            self.members.suspect(message.peer, self.clock.monotonic())

    @take.register
    def _(self, message: LiveNews) -> None:
        now = self.clock.monotonic()
        rows = zip(message.hosts, message.incarnations, message.counts, strict=False)
        for host, incarnation, count in rows:
            self.members.hear_of(host, incarnation, count, now)

    @take.register
    def _(self, message: Heartbeat) -> None:
        self.members.hear(as_member(message, self.clock.monotonic()))

    @take.register
    def _(self, message: Roster) -> None:
        # A host that has just started learns of all others from its first
        # peer. With the platform's list alone it knew a part of them for up to
        # ten seconds, and chose other allocators than the rest.
        now = self.clock.monotonic()
        for row in message.members:
            if self.is_new(row):
                self.members.hear(as_member(row, now))
        unmet = [row for row in message.members if self.is_unmet(row, now)]
        listed = [ListedHost(row.address, row.zone, row.leaving) for row in unmet]
        contacts = choose_contacts(self.me.address, self.me.zone, listed, self.targets)
        self.met |= dict.fromkeys(contacts, now)
        self.mesh.meet(contacts)

    @take.register
    def _(self, message: Directory) -> None:
        now = self.clock.monotonic()
        told = {row.host for row in message.members} - {self.me.host}
        if message.whole:
            self.teller = message.teller
            self.members.told = told
        elif message.teller == self.teller:
            self.members.told |= told
            for host in message.gone:
                self.members.suspect(host, now)
        else:
            return
        self.told_at = now
        for row in message.members:
            if row.host != self.me.host:
                self.members.hear(as_member(row, now))

    @take.register
    def _(self, message: Listed) -> None:
        if len(message.hosts) > self.mesh_hosts:
            self.meet_strangers(message.hosts)
        else:
            self.contacts = choose_contacts(
                self.me.address, self.me.zone, message.hosts, self.targets
            )
            self.tend_links()
        leaving = leaving_addresses(self.leaving, message.hosts)
        if leaving != self.leaving:
            self.leaving = leaving
            self.publish(TargetsLeaving(leaving))

    @take.register
    def _(self, message: ConfigMoved) -> None:
        self.targets = message.targets
        self._announce(config_offset=message.offset)

    @take.register
    def _(self, message: Leave) -> None:
        self._announce(leaving=True)

    def _announce(self, **changes) -> None:
        self.me = replace(self.me, **changes)
        self.mesh.broadcast(self.me)

    def is_new(self, row: Heartbeat) -> bool:
        """Return whether nothing was heard yet of this process of a host."""
        held = self.members.rows.get(row.host)
        known = held is not None and held.incarnation >= row.incarnation
        return not known and row.host != self.me.host

    def is_unmet(self, row: Heartbeat, now: float) -> bool:
        """Return whether a host is to be dialled, since there is no link to it."""
        held = self.members.rows.get(row.host)
        ended = held is not None and held.incarnation > row.incarnation
        tried = now - self.met.get(row.address, float("-inf")) < MEET_AGAIN_S
        linked = row.host in (*self.mesh.links, self.me.host)
        return not (ended or tried or linked)

    def roster(self) -> Roster:
        """Return the live hubs as they told of themselves."""
        live = self.members.live(self.clock.monotonic())
        return Roster(
            tuple(
                as_heartbeat(row) for row in live if row.host not in self.members.seldom
            )
        )

    def silence_s(self) -> float:
        """Return after which silence a link is taken for dead, in seconds.

        News takes the links of hubs in turns, so a link is silent for a whole
        round of them; the timeout, which is six periods, and two rounds are
        allowed.
        """
        timeout_s = self.members.timeout_s
        if not self.is_mesh():
            return timeout_s * (SELDOM if self.is_hub() else 1)
        rounds = len(self.mesh.links) / FANOUT
        return timeout_s * (1 + rounds / 3)

    def spread_news(self) -> None:
        """Send who is live to the next few hubs, each link in its turn.

        The turns run through a shuffled list of their links, so that each link
        carries something from time to time and a silent one is noticed.
        """
        if not self.is_mesh():
            self.beat()
        if not self.is_hub():
            return
        live = self.members.live(self.clock.monotonic())
        rows = [row for row in live if row.host not in self.members.seldom]
        data = encode(self.live_news(rows))
        links = self.links_of_hubs()
        for _ in range(min(FANOUT, len(links))):
            if not self.turn:
                self.turn = links
                random.shuffle(self.turn)
            self.turn.pop().send(data)

    def beat(self) -> None:
        """Send this host's own heartbeat over the links that carry no news."""
        if self.me.count % (HUB_BEATS if self.is_hub() else HOST_BEATS):
            return
        links = self.mesh.current()
        if self.is_hub():
            links = [link for link in links if link.peer not in self.hubs]
        self.mesh.spread(links, encode(self.live_news(())))

    def live_news(self, rows: Collection[Member]) -> LiveNews:
        """Return the news that this host and those in ``rows`` are live."""
        return LiveNews(
            (self.me.host, *(row.host for row in rows)),
            (self.me.incarnation, *(row.incarnation for row in rows)),
            (self.me.count, *(row.count for row in rows)),
        )

    def links_of_hubs(self) -> list[Link]:
        """Return the links that news goes over."""
        links = self.mesh.current()
        if self.is_mesh():
            return links
        return [link for link in links if link.peer in self.hubs]

    def tend_links(self) -> None:
        """Dial the hubs, and give up links that nothing goes over."""
        now = self.clock.monotonic()
        for row in self.at_home(self.members.live(now)):
            if row.host in self.hubs and row.host != self.me.host:
                self.hubs_seen[row.address] = now
        living = {row.address for row in self.at_home(self.members.live(now))}
        for address, at in list(self.hubs_seen.items()):
            if now - at > DIAL_S or (at < now and address in living):
                del self.hubs_seen[address]
        if self.is_hub():
            # Of two hubs the one with the lower address dials, as both want it.
            wanted = {*self.contacts, *self.hubs_seen}
            self.mesh.keep({row for row in wanted if row > self.me.address})
            return
        unlinked = self.hubs - set(self.mesh.links)
        if unlinked:
            self.unsettled = now
        self.mesh.keep(set(self.hubs_seen), seeds=bool(unlinked))
        if now - self.unsettled > SETTLED_S:
            current = {row for row, at in self.hubs_seen.items() if at == now}
            self.mesh.release(current)

    def name_hubs(self) -> None:
        """Tell all peers the hubs, if these have changed.

        Hosts that start together know only the seeds, and were told of no hubs
        while those knew as few hosts as they did themselves.
        """
        if not self.is_mesh() and self.hubs != self.hubs_told:
            self.hubs_told = self.hubs
            self.mesh.broadcast(self.roster())

    def tell_others(self) -> None:
        """Tell those hosts that are this hub's to tell who is live."""
        now = self.clock.monotonic()
        self.doubt_told(now)
        if not self.is_hub():
            return
        live = self.members.live(now)
        hubs = [row.host for row in self.at_home(live) if row.host in self.hubs]
        links = [
            link
            for link in self.mesh.current()
            if link.peer in self.members.seldom
            and teller_of(link.peer, hubs) == self.me.host
        ]
        mine = as_member(self.me, now)
        self.telling.tell([as_heartbeat(row) for row in (*live, mine)], links)

    def doubt_told(self, now: float) -> None:
        """Forget what a hub has told that can no longer tell, or need not.

        Beyond a cut a host would believe for ever in all that it was told, and
        wait for hubs that are out of its reach.
        """
        if self.teller in self.mesh.links and not self.is_hub():
            self.told_at = now
        elif now - self.told_at > TOLD_S:
            self.members.told.clear()

    def meet_strangers(self, listed: Collection[ListedHost]) -> None:
        """Dial a few hosts that this one doesn't know of.

        After a cut, two parts of a fleet may each have hubs of their own and
        know nothing of the other part: one link joins them again.
        """
        live = self.members.live(self.clock.monotonic())
        known = {row.address for row in live} | {self.me.address} | self.targets
        strangers = [row.address for row in listed if row.address not in known]
        self.mesh.meet(set(random.sample(strangers, min(STRANGERS, len(strangers)))))
