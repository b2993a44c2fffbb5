"""The actor that keeps the table of peers and spreads heartbeats.

Every heartbeat period a host sends what it knows of who is live to a few
peers, and a heartbeat reaches all by way of others. A heartbeat to every peer
would make each host's work grow with the zone: 6.5% of a core was measured
for 48 hosts, of which the whole control may use 3%.
"""

import functools
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

import pykka

from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation
from godwitladder.membership.codec import encode
from godwitladder.membership.contacts import (
    ListedHost,
    choose_contacts,
    leaving_addresses,
)
from godwitladder.membership.links import Link
from godwitladder.membership.members import Member, Members
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Heartbeat, LiveNews, Roster
from godwitladder.scheduler.messages import HostsChanged, TargetsLeaving, Tick

FORGET_S = 600.0
# With four peers a period, the longest gap between two advances of a live
# host's count at any of 48 hosts was 4.6 periods in 400 simulated ones; the
# timeout allows for six. With three it was 5.2.
FANOUT = 4


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
    """

    def __init__(
        self,
        me: Heartbeat,
        members: Members,
        mesh: Mesh,
        clock: Clock,
        publish: Callable[[HostsChanged | TargetsLeaving], None],
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
        return HostsChanged(tuple(sorted(mine)), zones)

    @functools.singledispatchmethod
    def take(self, message) -> None:
        """Take one message in."""
        raise TypeError(f"unknown message {message!r}")

    @take.register
    def _(self, message: Tick) -> None:
        self.members.forget(self.clock.monotonic(), FORGET_S)
        self.mesh.drop_silent(self.silence_s())
        self.me = replace(self.me, count=self.me.count + 1)
        self.spread_news()

    @take.register
    def _(self, message: LinkUp) -> None:
        message.link.send(encode(self.me))
        message.link.send(encode(self.roster()))

    @take.register
    def _(self, message: LinkDown) -> None:
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
        new = [row for row in message.members if self.is_new(row)]
        for row in new:
            self.members.hear(as_member(row, now))
        listed = [ListedHost(row.address, row.zone, row.leaving) for row in new]
        contacts = choose_contacts(self.me.address, self.me.zone, listed, self.targets)
        self.mesh.meet(contacts)

    @take.register
    def _(self, message: Listed) -> None:
        contacts = choose_contacts(
            self.me.address, self.me.zone, message.hosts, self.targets
        )
        self.mesh.keep(contacts)
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

    def roster(self) -> Roster:
        """Return the live hosts as they told of themselves."""
        live = self.members.live(self.clock.monotonic())
        return Roster(tuple(as_heartbeat(row) for row in live))

    def silence_s(self) -> float:
        """Return after which silence a link is taken for dead, in seconds.

        News takes the links in turns, so a link is silent for a whole round
        of them; the timeout, which is six periods, and two rounds are allowed.
        """
        rounds = len(self.mesh.links) / FANOUT
        return self.members.timeout_s * (1 + rounds / 3)

    def spread_news(self) -> None:
        """Send who is live to the next few peers, each link in its turn.

        The turns run through a shuffled list of all links, so that each link
        carries something from time to time and a silent one is noticed.
        """
        live = self.members.live(self.clock.monotonic())
        news = LiveNews(
            (self.me.host, *(row.host for row in live)),
            (self.me.incarnation, *(row.incarnation for row in live)),
            (self.me.count, *(row.count for row in live)),
        )
        data = encode(news)
        for _ in range(min(FANOUT, len(self.mesh.links))):
            if not self.turn:
                self.turn = self.mesh.current()
                random.shuffle(self.turn)
            if self.turn:
                self.turn.pop().send(data)
