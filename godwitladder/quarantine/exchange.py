"""How hosts tell each other which routed calls crash targets."""

from typing import get_args

from godwitladder.ids import HostId
from godwitladder.membership.codec import encode
from godwitladder.membership.hubs import choose_publisher
from godwitladder.membership.links import Link
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.router import Router
from godwitladder.quarantine.gate import QuarantineGate
from godwitladder.quarantine.records import KnownCrashes, QuarantineEvent
from godwitladder.quarantine.registry import NOTHING_KNOWN


class CrashExchange:
    """Receives what peers know of crashes, and forwards it where it is not known.

    Parameters
    ----------
    host : HostId
        This host.
    gate : QuarantineGate
        What this host knows.
    mesh : Mesh
        Links to the peers.

    Attributes
    ----------
    hubs : frozenset of HostId
        Hosts to which all others are linked; empty in a full mesh.
    """

    def __init__(self, host: HostId, gate: QuarantineGate, mesh: Mesh) -> None:
        self.host = host
        self.gate = gate
        self.mesh = mesh
        self.hubs: frozenset[HostId] = frozenset()

    def handle_messages(self, router: Router) -> None:
        """Receive the messages of peers from now on."""
        for kind in get_args(QuarantineEvent):
            router.message_handlers[kind] = self.receive_event
        router.message_handlers[KnownCrashes] = self.receive_known

    def tell_all(self, link: Link) -> None:
        """Tell a peer all that is known, over a new link.

        A host that starts or was cut off would send requests that crash targets to
        further ones.
        """
        known = self.gate.registry.known_crashes()
        if known != NOTHING_KNOWN:
            link.send(encode(known))

    def receive_event(self, link: Link, event: QuarantineEvent) -> None:
        """Apply a peer's event, and forward it to hosts that have not received it.

        The host that sent it is linked to the hubs only. The hub that is that host's
        publisher forwards the event to the hosts that are no hubs.
        """
        if not self.gate.receive(event, link.peer):
            return
        hubs = self.hubs
        if link.peer in hubs or choose_publisher(link.peer, hubs) != self.host:
            return
        rest = [row for row in self.mesh.current() if row.peer not in hubs]
        self.mesh.multicast([row for row in rest if row is not link], encode(event))

    def receive_known(self, link: Link, known: KnownCrashes) -> None:
        """Add what a peer knows, and forward what of it is new.

        The peer may have been cut off from all other hosts until now. Each host
        forwards a row once: if all that a peer knows were forwarded, a fleet whose
        parts meet again would send it over each of its links.
        """
        new = self.gate.registry.merge(known, link.peer)
        if new != NOTHING_KNOWN:
            others = [row for row in self.mesh.current() if row is not link]
            self.mesh.multicast(others, encode(new))
