"""The actor that keeps the table of peers and sends this host's heartbeats."""

import functools
from collections.abc import Callable
from dataclasses import dataclass

import pykka

from godwitladder.clock import Clock
from godwitladder.ids import HostId, Incarnation, Zone
from godwitladder.membership.links import Mesh
from godwitladder.membership.members import Member, Members
from godwitladder.membership.messages import Heartbeat
from godwitladder.platform.hosts import ListedHost
from godwitladder.scheduler.messages import Tick

FORGET_S = 600.0


@dataclass(frozen=True)
class Listed:
    """The platform's host list, as last read."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True)
class ConfigMoved:
    """The configuration offset in force on this host."""

    offset: int


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

    def on_receive(self, message) -> None:
        """Take ``message`` in and publish a changed list."""
        self.take(message)
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
        self.mesh.broadcast(self.me)

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
        fields = {**self.me.__dict__, **changes}
        self.me = Heartbeat(**fields)
        self.mesh.broadcast(self.me)
