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
    """All a host tells of itself; sent when a link comes up or it changes.

    Attributes
    ----------
    place : Zone
        Its availability zone, where ``zone`` names a whole region.
    cores : float
        How much processor it has, in cores of usual speed.
    """

    host: HostId
    zone: Zone
    address: str
    incarnation: Incarnation
    leaving: bool
    config_offset: int
    count: int = 0
    availability_zone: Zone = Zone("")
    cores: float = 0.0


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
    """Live hosts and where they listen, told once when a link comes up.

    All of them where every host is a hub, else the hubs.
    """

    members: tuple[Heartbeat, ...]


@peer_message
@dataclass(frozen=True)
class Directory:
    """What a hub reports of all live hosts to a host that is none.

    The first one on a link is whole; those after it hold what has changed.

    Attributes
    ----------
    members : tuple of Heartbeat
        Live hosts as they told of themselves; those that are new or have
        changed, if the message is not whole.
    gone : tuple of HostId
        Hosts that are live no more.
    """

    publisher: HostId
    whole: bool
    members: tuple[Heartbeat, ...]
    gone: tuple[HostId, ...] = ()
