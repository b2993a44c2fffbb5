"""Settings of one entry host, read from TOML and checked as a whole."""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from godwitladder.findings import Findings
from godwitladder.ids import HostId, Zone
from godwitladder.tables import (
    checked,
    http_url,
    ip_port,
    ip_ports,
    not_empty,
    positive,
    read_table,
    sha256_digest,
    sha256_digests,
)

SECRET_CHARS = 16


def long_enough(value: str) -> str | None:
    """Accept a secret that can't be guessed from one greeting."""
    if len(value) >= SECRET_CHARS:
        return None
    return f"must have at least {SECRET_CHARS} letters"


@dataclass(frozen=True)
class TlsSettings:
    """Certificate and key of one listener, as paths of PEM files."""

    certificate: str
    key: str
    authority: str = ""


@dataclass(frozen=True)
class ListenSettings:
    """The three listeners of an entry host, each ``address:port``."""

    callers: str = checked(ip_port)
    operators: str = checked(ip_port)
    peers: str = checked(ip_port)
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
    weight_reads_per_s : float
        Reads of the weight store that all hosts together may make, a little
        below its own limit; the same on every host.
    log_retention_s : float
        How long the log keeps records at least, in seconds.
    config_stream : str
        Stream of the log that holds the tickets.
    """

    log: str = checked(http_url)
    hosts: str = checked(http_url)
    weights: str = ""
    weight_reads_per_s: float = checked(positive, default=4.0)
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

    secret: str = checked(long_enough)
    seeds: tuple[str, ...] = checked(ip_ports, default=())
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
class OperatorSettings:
    """An operator's name, as in tickets, and the SHA-256 of the token."""

    name: str = checked(not_empty)
    digest: str = checked(sha256_digest)


@dataclass(frozen=True)
class Settings:
    """Everything one entry host is told at its start.

    Attributes
    ----------
    operators : tuple of OperatorSettings
        Who may submit tickets, each under the own name only.
    zones : tuple of str
        The availability zones there are, to find a misspelt one; optional.
    operator_token_digests : tuple of str
        SHA-256 of tokens without a name, which may sign for any operator.
        What they submit stands in the audit trail under the name that the
        ticket gives, unproved; meant for trials.
    """

    host: HostId = checked(not_empty)
    zone: Zone = checked(not_empty)
    listen: ListenSettings
    platform: PlatformSettings
    peers: PeerSettings
    limits: LimitSettings = field(default_factory=LimitSettings)
    claims: ClaimSettings = field(default_factory=ClaimSettings)
    scheduler: SchedulerSettings = field(default_factory=SchedulerSettings)
    operators: tuple[OperatorSettings, ...] = ()
    zones: tuple[Zone, ...] = ()
    operator_token_digests: tuple[str, ...] = checked(sha256_digests, default=())


def read_settings(path: Path) -> Settings:
    """Return the settings in ``path``.

    Raises
    ------
    InvalidInput
        With every finding in the file.
    """
    findings = Findings()
    settings = None
    raw = read_toml_file(path, findings)
    if raw is not None:
        settings = read_table(raw, Settings, f"{path}: ", findings)
    if settings is not None:
        _check_whole(settings, f"{path}: ", findings)
    findings.raise_if_any()
    return settings


def read_toml_file(path: Path, findings: Findings) -> dict | None:
    """Return the TOML in a file, or None with a finding."""
    try:
        data = path.read_bytes()
    except OSError as error:
        findings.add(str(path), f"can't be read: {error.strerror}")
        return None
    return parse_toml(data, str(path), findings)


def _check_whole(settings: Settings, place: str, findings: Findings) -> None:
    """Note what is sound by itself but not together with the rest."""
    if settings.zones and settings.zone not in settings.zones:
        findings.add_unknown(f"{place}zone", settings.zone, settings.zones)
    if not settings.operators and not settings.operator_token_digests:
        findings.add(f"{place}operators", "at least one is needed to submit tickets")
    peers = settings.peers
    if peers.timeout_s < 2 * peers.heartbeat_s:
        text = "must be at least twice heartbeat_s, or one lost heartbeat ends a peer"
        findings.add(f"{place}peers.timeout_s", text)
    _check_operators(settings.operators, place, findings)
    _check_ports(settings.listen, place, findings)
    for name in ("callers_tls", "operators_tls", "peers_tls"):
        _check_tls(getattr(settings.listen, name), f"{place}listen.{name}", findings)


def _check_operators(
    operators: tuple[OperatorSettings, ...], place: str, findings: Findings
) -> None:
    held: dict[str, str] = {}
    for index, row in enumerate(operators):
        other = held.setdefault(row.digest, row.name)
        if other != row.name:
            text = f"{row.name!r} and {other!r} have the same token"
            findings.add(f"{place}operators[{index}].digest", text)


def _check_ports(listen: ListenSettings, place: str, findings: Findings) -> None:
    held: dict[str, str] = {}
    for name in ("callers", "operators", "peers"):
        address = getattr(listen, name)
        port = address.rpartition(":")[2]
        other = held.setdefault(port, name)
        if other != name and int(port):
            text = f"port {port} is also that of listen.{other}"
            findings.add(f"{place}listen.{name}", text)


def _check_tls(tls: TlsSettings | None, place: str, findings: Findings) -> None:
    if tls is None:
        return
    for name in ("certificate", "key", "authority"):
        path = getattr(tls, name)
        if path and not Path(path).is_file():
            findings.add(f"{place}.{name}", f"there is no file {path!r}")


def parse_toml(data: bytes, name: str, findings: Findings) -> dict | None:
    """Return ``data`` as TOML, or None with a finding."""
    try:
        return tomllib.loads(data.decode())
    # Deep nesting ends in RecursionError, and a number of thousands of digits
    # in a plain ValueError. Unless both are caught here, one such record in
    # the log would end the replay on every host at once, and for good.
    except (ValueError, RecursionError) as error:
        findings.add(name, f"is not TOML: {error}")
        return None
