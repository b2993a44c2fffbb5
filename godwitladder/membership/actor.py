"""The actor that keeps the table of peers and spreads heartbeats.

Every heartbeat period a host sends what it knows of who is live to a few
peers, and a heartbeat reaches all by way of others. A heartbeat to every peer
would make each host's work grow with the zone: 6.5% of a core was measured
for 48 hosts, of which the whole control may use 3%.
"""

import dataclasses
import functools
import random
from collections.abc import Callable
from dataclasses import dataclass

import pykka

from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation, Zone
from godwitladder.membership.codec import encode
from godwitladder.membership.links import Link, Mesh
from godwitladder.membership.members import Member, Members
from godwitladder.membership.messages import Heartbeat, LiveNews
from godwitladder.platform.hosts import ListedHost
from godwitladder.scheduler.messages import Tick

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
    """The configuration offset in force on this host."""

    offset: int


@dataclass(frozen=True)
class LinkUp:
    """A link has come up; the peer is to be told who this host is."""

    link: Link


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
        Called with the live members whenever that list changes.
    """

    def __init__(
        self,
        me: Heartbeat,
        members: Members,
        mesh: Mesh,
        clock: Clock,
        publish: Callable[[list[Member]], None],
    ) -> None:
        super().__init__()
        self.me = me
        self.members = members
        self.mesh = mesh
        self.clock = clock
        self.publish = publish
        self.published: list[tuple[HostId, Incarnation, bool]] = []
        self.turn: list[Link] = []

    def on_receive(self, message) -> None:
        """Take ``message`` in; publish a changed list."""
        self.take(message)
        if not isinstance(message, LiveNews):
            self.publish_changes()

    def publish_changes(self) -> None:
        """Publish the live members if the list has changed."""
        live = self.members.live(self.clock.monotonic())
        shown = [(row.host, row.incarnation, row.leaving) for row in live]
        if shown != self.published:
            self.published = shown
            self.publish(live)

    @functools.singledispatchmethod
    def take(self, message) -> None:
        """Take one message in."""
        raise TypeError(f"unknown message {message!r}")

    @take.register
    def _(self, message: Tick) -> None:
        self.members.forget(self.clock.monotonic(), FORGET_S)
        self.me = dataclasses.replace(self.me, count=self.me.count + 1)
        self.spread_news()

    @take.register
    def _(self, message: LinkUp) -> None:
        message.link.send(self.me)

    @take.register
    def _(self, message: LiveNews) -> None:
        now = self.clock.monotonic()
        rows = zip(message.hosts, message.incarnations, message.counts, strict=False)
        for host, incarnation, count in rows:
            self.members.hear_of(host, incarnation, count, now)

    @take.register
    def _(self, message: Heartbeat) -> None:
        self.members.hear(
            Member(
                message.host,
                Zone(message.zone),
                message.address,
                message.incarnation,
                self.clock.monotonic(),
                message.leaving,
                message.config_offset,
                message.count,
            )
        )

    @take.register
    def _(self, message: Listed) -> None:
        for listed in message.hosts:
            self.mesh.dial(listed.address)

    @take.register
    def _(self, message: ConfigMoved) -> None:
        self._announce(config_offset=message.offset)

    @take.register
    def _(self, message: Leave) -> None:
        self._announce(leaving=True)

    def _announce(self, **changes) -> None:
        self.me = dataclasses.replace(self.me, **changes)
        self.mesh.broadcast(self.me)

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
                self.turn.pop().send_bytes(data)
