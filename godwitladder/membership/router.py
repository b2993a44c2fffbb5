"""Hands messages between hosts to the parts they are for, and passes some on."""

from collections.abc import Callable
from typing import Any

import pykka

from godwitladder.ids import HostId
from godwitladder.membership.links import Link
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Heartbeat, LiveNews, Roster
from godwitladder.scheduler.exchange import FloorReport, GrantOffer, PoolReport


class Router:
    """Knows which actor of this host takes which message.

    Parameters
    ----------
    host : HostId
        This host.

    Attributes
    ----------
    takers : dict
        Called with the link and a message, for what no actor takes.
    """

    def __init__(self, host: HostId) -> None:
        self.host = host
        self.mesh: Mesh | None = None
        self.actors: dict[type, tuple[pykka.ActorRef, ...]] = {}
        self.message_handlers: dict[type, Callable[[Link, Any], None]] = {}

    def connect(
        self,
        mesh: Mesh,
        membership: pykka.ActorRef,
        scheduler: pykka.ActorRef,
        allocator: pykka.ActorRef,
    ) -> None:
        """Set the parts, once all of them are there."""
        self.mesh = mesh
        self.actors = {
            Heartbeat: (membership,),
            LiveNews: (membership,),
            Roster: (membership,),
            GrantOffer: (scheduler,),
            PoolReport: (allocator,),
            FloorReport: (allocator,),
        }

    def add(self, actor: pykka.ActorRef, *kinds: type) -> None:
        """Let ``actor`` take messages of these kinds too."""
        for kind in kinds:
            self.actors[kind] = (*self.actors.get(kind, ()), actor)

    def send(self, host: HostId, message: Any) -> None:
        """Send ``message`` to ``host``, which may be this one.

        A message that can't be sent is lost, as on a link that breaks: all of
        them are repeated with newer contents.
        """
        if host == self.host:
            self._tell(message)
        elif self.mesh:
            self.mesh.send(host, message)

    def deliver(self, link: Link, message: Any) -> None:
        """Take in a message from ``link``."""
        if isinstance(message, GrantOffer) and message.host != self.host:
            self.send(message.host, message)
            return
        taker = self.message_handlers.get(type(message))
        if taker:
            taker(link, message)
        self._tell(message)

    def _tell(self, message: Any) -> None:
        for actor in self.actors.get(type(message), ()):
            actor.tell(message)
