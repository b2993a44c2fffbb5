"""Settings of a host that serves routed calls, read from TOML."""

from dataclasses import dataclass, field
from pathlib import Path

from godwitladder.findings import Findings
from godwitladder.ids import HostId, Zone
from godwitladder.settings import LimitSettings, read_toml_file
from godwitladder.tables import (
    checked,
    ip_port,
    ip_ports,
    not_empty,
    not_negative,
    positive,
    read_table,
)


@dataclass(frozen=True)
class RoutedListen:
    """The listeners of a host, each ``address:port``."""

    callers: str = checked(ip_port)
    readiness: str = checked(ip_port)
    operators: str = checked(ip_port)
    peers: str = checked(ip_port)


@dataclass(frozen=True)
class StoreSettings:
    """Where the platform's store is."""

    address: str = checked(ip_port)


@dataclass(frozen=True)
class RoutedPeers:
    """How hosts find each other.

    Attributes
    ----------
    secret : str
        Shared by all hosts.
    seeds : tuple of str
        Peer addresses to try first; some may be gone.
    heartbeat_s, timeout_s : float
        Period of heartbeats, and silence after which a peer counts as gone: six
        periods, as the longest gap that was seen between two was 4.6. Callers
        of a zone that is cut off from its allocator wait for so long.
    """

    secret: str = checked(not_empty)
    seeds: tuple[str, ...] = checked(ip_ports, default=())
    heartbeat_s: float = checked(positive, default=0.25)
    timeout_s: float = checked(positive, default=1.5)


@dataclass(frozen=True)
class BoundSettings:
    """What operators are promised; seconds, tokens and parts.

    Attributes
    ----------
    revoke_s : float
        After which a key that was taken away is used by no host.
    grace_s : float
        Between the request to stop and the end of the process.
    repeat_ratio, repeat_slack, repeat_window_s : float
        Repeats that all hosts may make in a window: a part of the requests of
        a service, and a number beside that.
    quota_window_s, quota_slack : float
        Window in which a workspace's tokens are counted, and tokens beyond
        the quota that it may hold.
    """

    revoke_s: float = checked(positive, default=5.0)
    grace_s: float = checked(positive, default=8.0)
    repeat_ratio: float = checked(not_negative, default=0.2)
    repeat_slack: float = checked(not_negative, default=100.0)
    repeat_window_s: float = checked(positive, default=10.0)
    quota_window_s: float = checked(positive, default=8.0)
    quota_slack: float = checked(not_negative, default=0.0)


@dataclass(frozen=True)
class ProcessorSettings:
    """How much processor the host has.

    Attributes
    ----------
    share : float
        Part of a core.
    speed : float
        How fast that core is, against one of usual speed.
    """

    share: float = checked(positive, default=1.0)
    speed: float = checked(positive, default=1.0)

    @property
    def cores(self) -> float:
        """Processor in cores of usual speed."""
        return self.share * self.speed


@dataclass(frozen=True)
class RoutedSettings:
    """Everything a host that serves routed calls is told at its start.

    Attributes
    ----------
    region : str
        Hosts of one region share their view of the targets in it.
    first_start : bool
        Whether the whole system starts for the first time: no caller waits yet,
        and the host may take its time to spare calls of the store.
    """

    host: HostId = checked(not_empty)
    zone: Zone = checked(not_empty)
    region: str = checked(not_empty)
    listen: RoutedListen
    store: StoreSettings
    peers: RoutedPeers
    bounds: BoundSettings = field(default_factory=BoundSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    processor: ProcessorSettings = field(default_factory=ProcessorSettings)
    first_start: bool = False


def read_routed_settings(path: Path) -> RoutedSettings:
    """Return the settings in ``path``.

    Raises
    ------
    InvalidInput
        With every finding in the file.
    """
    findings = Findings()
    raw = read_toml_file(path, findings)
    settings = None
    if raw is not None:
        settings = read_table(raw, RoutedSettings, f"{path}: ", findings)
    findings.raise_if_any()
    return settings
