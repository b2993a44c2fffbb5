"""Messages by which hosts establish links and tell which hosts are live."""

from dataclasses import dataclass

from godwitladder.fleets import check_fleet_id
from godwitladder.ids import FleetId, HostId, Incarnation, Zone
from godwitladder.membership.codec import peer_message
from godwitladder.tables import host_port


@peer_message
@dataclass(frozen=True)
class Hello:
    """First message on a link: the sender's identity, and a challenge to the peer.

    Attributes
    ----------
    address : str
        Where the sender listens for peers, ``address:port``.
    challenge : bytes
        Random bytes that the peer's `Proof` must digest.
    fleet : FleetId or None
        The sender's fleet, empty if it does not know it yet; None from hosts that
        can't tell.
    """

    host: HostId
    address: str
    challenge: bytes
    fleet: FleetId | None = None

    def __post_init__(self) -> None:
        check_fleet_id(self.fleet)


@peer_message
@dataclass(frozen=True)
class Proof:
    """Response to a challenge: its keyed digest under the shared secret."""

    digest: bytes


@peer_message
@dataclass(frozen=True)
class Heartbeat:
    """The state of a host, sent when a link comes up or the state changes.

    Attributes
    ----------
    address : str
        Where the host listens for peers, ``address:port``.
    config_offset : int
        Offset of the configuration that it has applied.
    count : int
        Number of the host's last heartbeat period.
    availability_zone : Zone
        Its availability zone if ``zone`` names a whole region, else empty.
    cores : float
        Its processor capacity, in cores of standard speed.
    is_gateway : bool
        Whether it opens tunnels for other hosts. A host of a version that doesn't
        would take the connection of a tunnel for a link.
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
    is_gateway: bool = False

    def __post_init__(self) -> None:
        # A host that names no address is not dialled.
        problem = self.address and host_port(self.address)
        if problem:
            raise ValueError(problem)


@dataclass(frozen=True)
class Peer:
    """Where another live host is that opens tunnels.

    Attributes
    ----------
    address : str
        Where the host listens for peers, ``address:port``.
    availability_zone : Zone
        Its availability zone if its zone is a whole region, else empty.
    """

    host: HostId
    address: str
    availability_zone: Zone = Zone("")


@peer_message
@dataclass(frozen=True)
class LiveNews:
    """Heartbeat counts of the sender and of hosts that it considers live.

    The tuples are parallel, and begin with the sender.

    Attributes
    ----------
    counts : tuple of int
        Number of the last known heartbeat of each host.
    view : int
        Digest of all live hosts of the zone that the sender knows; 0 if not given.
    """

    hosts: tuple[HostId, ...]
    incarnations: tuple[Incarnation, ...]
    counts: tuple[int, ...]
    view: int = 0

    def __post_init__(self) -> None:
        lengths = len(self.hosts), len(self.incarnations), len(self.counts)
        if not self.hosts or len(set(lengths)) > 1:
            raise ValueError(f"the tuples are not parallel: {lengths}")


@peer_message
@dataclass(frozen=True)
class ViewRequest:
    """Request for all live hosts that the receiver knows.

    Attributes
    ----------
    is_hub : bool
        Whether the sender takes itself for a hub. The answer to a hub is a `Roster`,
        which only adds hosts, and to any other host a `Directory`.
    """

    host: HostId
    is_hub: bool


@peer_message
@dataclass(frozen=True)
class Roster:
    """Live hosts and their addresses, sent when a link comes up or hubs change.

    It contains all hosts if every host is a hub, else only the hubs.
    """

    members: tuple[Heartbeat, ...]


@peer_message
@dataclass(frozen=True)
class Directory:
    """A hub's report of the live hosts to a host that is not a hub.

    The first report on a link is complete; later ones contain only changes.

    Attributes
    ----------
    publisher : HostId
        The hub that sends the report.
    complete : bool
        Whether the report is complete.
    members : tuple of Heartbeat
        Heartbeats of all live hosts or, if the report is not complete, of those
        that are new or have changed.
    removed : tuple of HostId
        Hosts that are no longer live.
    """

    publisher: HostId
    complete: bool
    members: tuple[Heartbeat, ...]
    removed: tuple[HostId, ...] = ()
