"""Routes peer messages to the components that handle them, or to other hosts."""

import inspect
from collections.abc import Callable
from typing import Any

import pykka

from godwitladder.ids import HostId
from godwitladder.membership.actor import Membership
from godwitladder.membership.codec import MESSAGE_TYPES
from godwitladder.membership.links import Link
from godwitladder.membership.mesh import Mesh
from godwitladder.scheduler.exchange import FloorReport, GrantOffer, PoolReport


class Router:
    """Delivers each peer message to the actors and handlers of its type.

    Parameters
    ----------
    host : HostId
        This host.

    Attributes
    ----------
    actors : dict
        The actors that receive the messages of each type.
    message_handlers : dict
        A function for each message type that needs the link as well; called with
        the link and the message.
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
        """Set the mesh and the actors, once they have been created."""
        self.mesh = mesh
        self.actors = {
            GrantOffer: (scheduler,),
            PoolReport: (allocator,),
            FloorReport: (allocator,),
        }
        self.add(membership, *handled_messages(Membership))

    def add(self, actor: pykka.ActorRef, *kinds: type) -> None:
        """Register ``actor`` as a further receiver of messages of these types."""
        for kind in kinds:
            self.actors[kind] = (*self.actors.get(kind, ()), actor)

    def send(self, host: HostId, message: Any) -> None:
        """Send ``message`` to ``host``, which may be this one.

        A message that can't be sent is lost, as it would be on a link that closes.
        All messages are repeated with newer contents.
        """
        if host == self.host:
            self._tell(message)
        elif self.mesh:
            self.mesh.send(host, message)

    def deliver(self, link: Link, message: Any) -> None:
        """Deliver a message from ``link``; forward a grant offer for another host."""
        if isinstance(message, GrantOffer) and message.host != self.host:
            self.send(message.host, message)
            return
        handler = self.message_handlers.get(type(message))
        if handler:
            handler(link, message)
        self._tell(message)

    def _tell(self, message: Any) -> None:
        for actor in self.actors.get(type(message), ()):
            actor.tell(message)


def handled_messages(kind: type[pykka.Actor]) -> list[type]:
    """Return the peer messages that the ``handle`` method of an actor accepts.

    A list beside the handlers could lack one, and that message would be dropped by
    every host without a sign.
    """
    handlers = inspect.getattr_static(kind, "handle").dispatcher.registry
    return [message for message in MESSAGE_TYPES.values() if message in handlers]
