"""Settings of one entry host, read from TOML and validated."""

import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

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
from godwitladder.untrusted import MAX_INTEGER

MIN_SECRET_CHARS = 16


def strong_secret(value: str) -> str | None:
    """Accept a secret too long to be guessed from one intercepted greeting."""
    if len(value) >= MIN_SECRET_CHARS:
        return None
    return f"must have at least {MIN_SECRET_CHARS} letters"


@dataclass(frozen=True)
class TlsSettings:
    """Certificate and private key of one listener, as paths of PEM files.

    Attributes
    ----------
    certificate, key : str
        The certificate chain and its private key.
    authority : str, default=""
        Authority that must have signed the certificate of the other side. If
        empty, a listener requests no client certificates, and a client trusts
        the authorities of the system.
    """

    certificate: str
    key: str
    authority: str = ""


@dataclass(frozen=True)
class ListenSettings:
    """Addresses of an entry host's three listeners, each as ``address:port``.

    Attributes
    ----------
    callers, operators, peers : str
        Where callers, operators and other hosts connect.
    callers_tls, operators_tls, peers_tls : TlsSettings or None
        TLS settings of each listener; None for no TLS.
    """

    callers: str = checked(ip_port)
    operators: str = checked(ip_port)
    peers: str = checked(ip_port)
    callers_tls: TlsSettings | None = None
    operators_tls: TlsSettings | None = None
    peers_tls: TlsSettings | None = None


@dataclass(frozen=True)
class PlatformSettings:
    """Addresses and limits of the platform's services.

    Attributes
    ----------
    log, hosts, weights : str
        URLs of the log, the host list and the weight store; empty ``weights``
        for no weight store.
    weight_reads_per_s : float
        Limit on reads of the weight store per second, for all hosts together.
        Must be the same on every host and slightly below the store's own limit.
    log_retention_s : float
        Minimum time for which the log keeps records, in seconds.
    config_stream : str
        Name of the log stream that holds the tickets.
    """

    log: str = checked(http_url)
    hosts: str = checked(http_url)
    weights: str = ""
    weight_reads_per_s: float = checked(positive, default=4.0)
    log_retention_s: float = checked(positive, default=86_400.0)
    config_stream: str = checked(not_empty, default="config")


@dataclass(frozen=True)
class PeerSettings:
    """How hosts discover and authenticate each other.

    Attributes
    ----------
    secret : str
        Secret shared by all hosts; signs the greeting of peers and request ids.
    seeds : tuple of str
        Addresses of peers to try before the host list is available.
    heartbeat_s : float
        Period of heartbeats, in seconds.
    timeout_s : float
        Time without a heartbeat after which a peer is considered gone, in
        seconds. Other peers relay heartbeats, which takes up to 4.6 periods
        among 48 hosts; the default of six periods leaves a margin.
    """

    secret: str = checked(strong_secret)
    seeds: tuple[str, ...] = checked(ip_ports, default=())
    heartbeat_s: float = checked(positive, default=0.5)
    timeout_s: float = checked(positive, default=3.0)


@dataclass(frozen=True)
class LimitSettings:
    """Limits of the HTTP listeners.

    Attributes
    ----------
    threads : int
        Number of threads that serve callers.
    connections : int
        Maximum number of open connections of a listener.
    body_bytes, header_bytes : int
        Maximum size of a request's body and of its headers, in bytes.
    key_bytes : int
        Maximum length of an idempotency key, in bytes.
    idle_s : float
        Time after which an idle connection is closed, in seconds.
    port_wait_s : float
        Time for which a port that is held is tried again, in seconds. The kernel keeps
        the port of a closed connection for 60 s.
    """

    threads: int = checked(positive, default=256)
    connections: int = checked(positive, default=1000)
    body_bytes: int = checked(positive, default=1_048_576)
    header_bytes: int = checked(positive, default=32_768)
    key_bytes: int = checked(positive, default=200)
    idle_s: float = checked(positive, default=120.0)
    port_wait_s: float = checked(positive, default=70.0)


@dataclass(frozen=True)
class ClaimSettings:
    """Timing of claims of idempotency keys, in seconds.

    Attributes
    ----------
    window_s : float
        Time after its claim for which a key is remembered.
    retention_s : float
        Time for which the platform keeps a record. Claims are recorded again
        after half of it.
    batch_s : float
        Time for which claims are collected into one append to the log.
    patience_s : float
        Maximum time that a request waits for its claim.
    """

    window_s: float = checked(positive, default=86_400.0)
    retention_s: float = checked(positive, default=86_400.0)
    batch_s: float = checked(positive, default=0.005)
    patience_s: float = checked(positive, default=3.0)


@dataclass(frozen=True)
class SchedulerSettings:
    """Timing of the scheduler.

    Attributes
    ----------
    idle_tick_s : float
        Maximum time between two ticks of the scheduler, in seconds.
    """

    idle_tick_s: float = checked(positive, default=0.25)


@dataclass(frozen=True)
class OperatorSettings:
    """Name of an operator, as used in tickets, and SHA-256 digest of the token."""

    name: str = checked(not_empty)
    digest: str = checked(sha256_digest)


@dataclass(frozen=True)
class Settings:
    """All settings of one entry host.

    Attributes
    ----------
    operators : tuple of OperatorSettings
        Operators who may submit tickets, each only under their own name.
    zones : tuple of str
        All availability zones, used to detect a misspelt ``zone``; optional.
    operator_token_digests : tuple of str
        SHA-256 digests of tokens that are not tied to a name and may submit
        tickets for any operator. The audit trail shows such a ticket under the
        operator name in the ticket, which is not verified. Intended for trials.
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
    """Read and validate the settings in the TOML file ``path``.

    Parameters
    ----------
    path : Path
        The TOML file.

    Returns
    -------
    settings : Settings
        The validated settings.

    Raises
    ------
    InvalidInput
        If the file can't be read or has errors; lists all findings.
    """
    findings = Findings()
    settings = None
    raw = read_toml_file(path, findings)
    if raw is not None:
        settings = read_table(raw, Settings, f"{path}: ", findings)
    if settings is not None:
        _check_consistency(settings, f"{path}: ", findings)
    findings.raise_if_any()
    return settings


def read_toml_file(path: Path, findings: Findings) -> dict | None:
    """Return the parsed TOML file ``path``, or add a finding and return None."""
    try:
        data = path.read_bytes()
    except OSError as error:
        findings.add(str(path), f"can't be read: {error.strerror}")
        return None
    return parse_toml(data, str(path), findings)


def _check_consistency(settings: Settings, place: str, findings: Findings) -> None:
    """Add findings for settings that are valid alone but not in combination."""
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
    seen: dict[str, str] = {}
    for index, row in enumerate(operators):
        other = seen.setdefault(row.digest, row.name)
        if other != row.name:
            text = f"{row.name!r} and {other!r} have the same token"
            findings.add(f"{place}operators[{index}].digest", text)


def _check_ports(listen: ListenSettings, place: str, findings: Findings) -> None:
    seen: dict[str, str] = {}
    for name in ("callers", "operators", "peers"):
        address = getattr(listen, name)
        port = address.rpartition(":")[2]
        other = seen.setdefault(port, name)
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
    """Return ``data`` parsed as TOML, or add a finding and return None."""
    try:
        table = tomllib.loads(data.decode())
        check_integers(table)
        return table
    # Deep nesting raises RecursionError, and a number with thousands of digits
    # raises a plain ValueError. If either were not caught, one such record in
    # the log would permanently stop the replay on every host.
    except (ValueError, RecursionError) as error:
        findings.add(name, f"is not TOML: {error}")
        return None


def check_integers(value: Any) -> None:
    """Check that all integers in a parsed value have at most 64 bits.

    A longer one may be read in another base and can't be written in decimal, not even
    for an error message.

    Raises
    ------
    ValueError
        One of them is longer.
    """
    if isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, list):
        for item in value:
            check_integers(item)
    elif isinstance(value, int) and abs(value) > MAX_INTEGER:
        raise ValueError("an integer has more than 64 bits")
