"""What hosts tell each other about themselves."""

from dataclasses import dataclass

from godwitladder.ids import HostId, Incarnation, Zone
from godwitladder.membership.codec import peer_message


@peer_message
@dataclass(frozen=True)
class Hello:
    """First message on a link: who speaks, and a challenge to the other.

    Attributes
    ----------
    address : str
        Where the speaker listens, ``address:port``.
    """

    host: HostId
    address: str
    challenge: bytes


@peer_message
@dataclass(frozen=True)
class Proof:
    """Answer to a challenge: its digest under the shared secret."""

    digest: bytes


@peer_message
@dataclass(frozen=True)
class Heartbeat:
    """All a host tells of itself; sent when a link comes up or it changes."""

    host: HostId
    zone: Zone
    address: str
    incarnation: Incarnation
    leaving: bool
    config_offset: int
    count: int = 0


@peer_message
@dataclass(frozen=True)
class LiveNews:
    """Which hosts the sender knows as live; the tuples run in parallel.

    Attributes
    ----------
    counts : tuple of int
        Number of the last heartbeat known of each host.
    """

    hosts: tuple[HostId, ...]
    incarnations: tuple[Incarnation, ...]
    counts: tuple[int, ...]


@peer_message
@dataclass(frozen=True)
class Roster:
    """The live hosts and where they listen, told once when a link comes up."""

    members: tuple[Heartbeat, ...]
