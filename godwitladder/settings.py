"""Settings of one entry host, read from TOML and checked as a whole."""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from godwitladder.findings import Findings
from godwitladder.ids import HostId, Zone
from godwitladder.tables import (
    checked,
    host_port,
    http_url,
    not_empty,
    positive,
    read_table,
)


@dataclass(frozen=True)
class TlsSettings:
    """Certificate and key of one listener, as paths of PEM files."""

    certificate: str
    key: str
    authority: str = ""


@dataclass(frozen=True)
class ListenSettings:
    """The three listeners of an entry host, each ``address:port``."""

    callers: str = checked(host_port)
    operators: str = checked(host_port)
    peers: str = checked(host_port)
    callers_tls: TlsSettings | None = None
    operators_tls: TlsSettings | None = None
    peers_tls: TlsSettings | None = None


@dataclass(frozen=True)
class PlatformSettings:
    """Where the platform's services are.

    Attributes
    ----------
    log, hosts, weights : str
        URLs of the log, the host list and the weight store.
    log_retention_s : float
        How long the log keeps records at least, in seconds.
    config_stream : str
        Stream of the log that holds the tickets.
    """

    log: str = checked(http_url)
    hosts: str = checked(http_url)
    weights: str = ""
    log_retention_s: float = checked(positive, default=86_400.0)
    config_stream: str = checked(not_empty, default="config")


@dataclass(frozen=True)
class PeerSettings:
    """How hosts of the system find and trust each other.

    Attributes
    ----------
    secret : str
        Shared by all hosts; signs the peers' greeting and request ids.
    seeds : tuple of str
        Peer addresses to try before the host list answers.
    heartbeat_s, timeout_s : float
        Period of heartbeats, and silence after which a peer counts as gone.
        Heartbeats travel by way of other peers, which takes up to 4.6 periods
        among 48 hosts; six periods leave a margin.
    """

    secret: str
    seeds: tuple[str, ...] = ()
    heartbeat_s: float = checked(positive, default=0.5)
    timeout_s: float = checked(positive, default=3.0)


@dataclass(frozen=True)
class LimitSettings:
    """Bounds on what callers may send; sizes in bytes, times in seconds."""

    threads: int = checked(positive, default=256)
    connections: int = checked(positive, default=1000)
    body_bytes: int = checked(positive, default=1_048_576)
    header_bytes: int = checked(positive, default=32_768)
    key_bytes: int = checked(positive, default=200)
    idle_s: float = checked(positive, default=120.0)


@dataclass(frozen=True)
class ClaimSettings:
    """How claims of idempotency keys are batched and kept, in seconds.

    Attributes
    ----------
    window_s : float
        How long a key is known after its claim.
    retention_s : float
        How long the platform keeps a record; claims are recorded again at
        half of it.
    batch_s : float
        How long claims gather for one append.
    patience_s : float
        Longest wait of a request for its claim.
    """

    window_s: float = checked(positive, default=86_400.0)
    retention_s: float = checked(positive, default=86_400.0)
    batch_s: float = checked(positive, default=0.005)
    patience_s: float = checked(positive, default=3.0)


@dataclass(frozen=True)
class SchedulerSettings:
    """Pace of the scheduler, in seconds."""

    idle_tick_s: float = checked(positive, default=0.25)


@dataclass(frozen=True)
class Settings:
    """Everything one entry host is told at its start."""

    host: HostId
    zone: Zone
    operator_token_digests: tuple[str, ...]
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    limits: LimitSettings = field(default_factory=LimitSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    scheduler: SchedulerSettings = field(default_factory=SchedulerSettings)


def read_settings(path: Path) -> Settings:
    """Return the settings in ``path``.

    Raises
    ------
    InvalidInput
        With every finding in the file.
    """
    findings = Findings()
    raw = load_toml(path.read_bytes(), str(path), findings)
    settings = read_table(raw, Settings, f"{path}: ", findings) if raw else None
    findings.raise_if_any()
    return settings


def load_toml(data: bytes, name: str, findings: Findings) -> dict | None:
    """Return ``data`` as TOML, or None with a finding."""
    try:
        return tomllib.loads(data.decode())
    # Deep nesting ends in RecursionError, and a number of thousands of digits
    # in a plain ValueError. Unless both are caught here, one such record in
    # the log would end the replay on every host at once, and for good.
    except (ValueError, RecursionError) as error:
        findings.add(name, f"is not TOML: {error}")
        return None
