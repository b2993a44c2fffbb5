"""Which peers belong to this host's fleet.

All fleets of all users may have the same secret, ports and host names. Without an
identity of its own, a host of another fleet that dials one host of this one would tell
all of them its configuration, and get their callers' requests.

The identity is a random name that the fleet's store keeps. A host that has not read it
yet, since the store is away, names none and is let in: it has nothing to tell but what
its peers told it, and leaves once it learns that it belongs elsewhere. A host of an
earlier version can't name one. It is let in at an address that this host's settings,
store or members name.
"""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from godwitladder.fleets import UNKNOWN_FLEET, are_apart, check_fleet_id
from godwitladder.ids import FleetId
from godwitladder.logs import component_logger
from godwitladder.membership.codec import peer_message
from godwitladder.membership.messages import Hello

log = component_logger("peers")

MAX_LOGGED_CHARS = 64
MAX_COUNTED_PEERS = 256
"""Refused addresses that are counted, to log each now and then."""


class Refusal(enum.Enum):
    """Why a peer is not linked to.

    Attributes
    ----------
    OTHER_FLEET
        It belongs to another fleet.
    UNEXPECTED
        It has an earlier version, and nothing names its address.
    """

    OTHER_FLEET = "other_fleet"
    UNEXPECTED = "unexpected_address"


@peer_message
@dataclass(frozen=True)
class FleetNamed:
    """The sender has learned its fleet after the link was made."""

    fleet: FleetId

    def __post_init__(self) -> None:
        check_fleet_id(self.fleet)


class Admission:
    """Decides which peers this host links to.

    Parameters
    ----------
    is_named : callable
        Returns whether the settings, the store or members name an address.

    Attributes
    ----------
    fleet : FleetId
        This host's fleet.
    on_refusal : callable
        Called with each refusal.
    refused : dict
        Number of refusals of each address.
    """

    def __init__(self, is_named: Callable[[str], bool]) -> None:
        self.is_named = is_named
        self.fleet = UNKNOWN_FLEET
        self.on_refusal: Callable[[Refusal], None] = lambda refusal: None
        self.refused: dict[str, int] = {}

    def find_refusal(self, hello: Hello, accepted: bool) -> Refusal | None:
        """Return why a peer is refused; None if it is not.

        Parameters
        ----------
        accepted : bool
            Whether the peer has dialled this host.
        """
        if are_apart(self.fleet, hello.fleet):
            return Refusal.OTHER_FLEET
        if hello.fleet is None and accepted and not self.is_named(hello.address):
            return Refusal.UNEXPECTED
        return None

    def record_refusal(self, hello: Hello, refusal: Refusal) -> None:
        """Report a refusal; log the first, second, fourth and so on of an address."""
        if len(self.refused) >= MAX_COUNTED_PEERS:
            self.refused.clear()
        # Whoever connects may have sent it, and of any length.
        address = hello.address[:MAX_LOGGED_CHARS]
        count = self.refused[address] = self.refused.get(address, 0) + 1
        if count.bit_count() == 1:
            extra = {
                "peer": hello.host[:MAX_LOGGED_CHARS],
                "address": address,
                "reason": refusal.value,
                "fleet": self.fleet,
                "peer_fleet": hello.fleet,
                "refusals": count,
            }
            log.warning("Refused a peer", extra=extra)
        self.on_refusal(refusal)
