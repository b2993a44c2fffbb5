"""The actor that keeps the table of peers and sends this host's heartbeats."""

import functools
from collections.abc import Callable
from dataclasses import dataclass, replace

import pykka

from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation
from godwitladder.membership.contacts import choose_contacts, leaving_addresses
from godwitladder.membership.links import Mesh
from godwitladder.membership.members import Member, Members
from godwitladder.membership.messages import Heartbeat
from godwitladder.platform.hosts import ListedHost
from godwitladder.scheduler.messages import HostsChanged, TargetsLeaving, Tick

FORGET_S = 600.0


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

    def on_start(self) -> None:
        """Publish that this host is there, alone as yet."""
        self.show()

    def on_receive(self, message) -> None:
        """Take ``message`` in and publish a changed list."""
        self.excuse_pause()
        self.take(message)
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
        """Return the live hosts that are not leaving, by zone."""
        zones: dict[str, tuple[HostId, ...]] = {}
        for row in live:
            if not row.leaving:
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
        self.mesh.drop_silent(self.members.timeout_s)
        self.mesh.broadcast(self.me)

    @take.register
    def _(self, message: Heartbeat) -> None:
        self.members.hear(
            Member(
                message.host,
                message.zone,
                message.address,
                message.incarnation,
                self.clock.monotonic(),
                message.leaving,
                message.config_offset,
            )
        )

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
