"""Settings of a host that serves routed calls, read from a TOML file."""

import json
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, fields, replace
from pathlib import Path
from typing import Any

from godwitladder.clock import Clock
from godwitladder.decisions.rollouts.progress import RolloutLimits
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.findings import Finding, Findings, InvalidInput
from godwitladder.ids import HostId, Zone
from godwitladder.logs import component_logger
from godwitladder.serving.call_memory import (
    BLOCK_BYTES,
    GROWTH_SHARE,
    RESERVED_BYTES,
)
from godwitladder.settings import LimitSettings, read_toml_file
from godwitladder.tables import (
    checked,
    drop_invalid,
    ip_port,
    ip_ports,
    not_empty,
    not_negative,
    partial_ip_port,
    positive,
    read_table,
    share,
)

log = component_logger("settings")

UNKNOWN_PLACE = "unknown"
"""Zone of a host that is told none."""
MILLISECONDS = "_ms"
SECONDS = "_s"
MILLISECONDS_PER_S = 1_000
TABLES_WITH_TIMES = ("bounds", "store")
START_WAIT_S = 2.0
"""Longest wait at a start for a settings file that is being written."""
START_RETRY_S = 0.05


@dataclass(frozen=True)
class RoutedListen:
    """Addresses that a host listens on, each ``address:port``.

    Attributes
    ----------
    callers, readiness, peers : str
        Where callers, the load balancer and other hosts connect.
    operators, metrics : str
        Where operators connect, and where the same is served besides if that is
        possible. Without an address that of ``peers`` is taken; without a port
        nothing is served.
    """

    callers: str = checked(ip_port)
    readiness: str = checked(ip_port)
    peers: str = checked(ip_port)
    operators: str = checked(partial_ip_port, default="")
    metrics: str = checked(partial_ip_port, default="")


@dataclass(frozen=True)
class StoreSettings:
    """Address of the platform's store, and what is known of its records.

    Attributes
    ----------
    entry_interval_s : float
        Time between two writes of a target's entry, in seconds; infinite if not known.
    """

    address: str = checked(ip_port)
    entry_interval_s: float = checked(positive, default=math.inf)


@dataclass(frozen=True)
class RoutedPeers:
    """Settings of the connections between hosts.

    Attributes
    ----------
    secret : str
        Secret shared by all hosts.
    seeds : tuple of str
        Peer addresses to try first; some may no longer be reachable.
    heartbeat_s, timeout_s : float
        Heartbeat interval, and the silence after which a peer counts as failed,
        in seconds. The default timeout is six intervals, because gaps of up to
        4.6 intervals occur between heartbeats. Callers of an availability zone
        that is cut off from its allocator wait for this time.
    """

    secret: str = checked(not_empty)
    seeds: tuple[str, ...] = checked(ip_ports, default=())
    heartbeat_s: float = checked(positive, default=0.25)
    timeout_s: float = checked(positive, default=1.5)


@dataclass(frozen=True)
class BoundSettings:
    """Limits that operators rely on.

    Attributes
    ----------
    revoke_s : float
        Seconds after which no host accepts a revoked key.
    change_s : float
        Seconds within which a change of the configuration is in force on all hosts.
    grace_s : float
        Seconds between the stop signal and the exit of the process.
    repeat_ratio, repeat_slack, repeat_window_s : float
        Retry budget of all hosts together in a window of so many seconds: a
        fraction of a service's requests, plus a fixed number of retries.
    quota_window_s, quota_slack : float
        Window in seconds in which a workspace's tokens are counted, and the
        tokens that it may use beyond its quota.
    exposure_share : float or None
        Share of its service's requests that a version on trial may get. None where
        versions are not tried: orders are then answered at once as rolled back.
    exposure_slack : float
        Requests that it may get beyond the share.
    rollback_s : float
        Seconds from the 50th bad answer of a version to the last request sent to it.
    """

    revoke_s: float = checked(positive, default=5.0)
    change_s: float = checked(positive, default=2.0)
    grace_s: float = checked(positive, default=8.0)
    repeat_ratio: float = checked(not_negative, default=0.2)
    repeat_slack: float = checked(not_negative, default=100.0)
    repeat_window_s: float = checked(positive, default=10.0)
    quota_window_s: float = checked(positive, default=8.0)
    quota_slack: float = checked(not_negative, default=0.0)
    exposure_share: float | None = checked(share, default=None)
    exposure_slack: float = checked(not_negative, default=50.0)
    rollback_s: float = checked(positive, default=5.0)

    @property
    def rollouts(self) -> RolloutLimits | None:
        """Bounds of rollouts; None where versions are not tried."""
        if self.exposure_share is None:
            return None
        slack = int(self.exposure_slack)
        return RolloutLimits(self.exposure_share, slack, self.rollback_s)


@dataclass(frozen=True)
class ProcessorSettings:
    """Processor capacity of the host.

    Attributes
    ----------
    share : float
        Number of cores, which may be a fraction.
    speed : float
        Speed of a core relative to a reference core.
    """

    share: float = checked(positive, default=1.0)
    speed: float = checked(positive, default=1.0)

    @property
    def cores(self) -> float:
        """Processor capacity in reference cores."""
        return self.share * self.speed


@dataclass(frozen=True)
class RoutedSettings:
    """All settings of a host that serves routed calls.

    Attributes
    ----------
    host : HostId
        Name of the host; by default its address for peers.
    zone : Zone
        Availability zone of the host; by default its region.
    region : str
        Region of the host; by default that of its zone. The hosts of a region share
        their view of its targets.
    regions : dict
        The region of each zone.
    answers : AnswerLimits
        Limits on answers of targets.
    first_start : bool
        Whether the whole system starts for the first time. No caller is waiting
        then, so the host may start more slowly to save calls to the store.
    """

    listen: RoutedListen
    store: StoreSettings
    peers: RoutedPeers
    host: HostId = checked(not_empty, default=HostId(""))
    zone: Zone = checked(not_empty, default=Zone(""))
    region: str = checked(not_empty, default="")
    regions: dict = field(default_factory=dict)
    bounds: BoundSettings = field(default_factory=BoundSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    processor: ProcessorSettings = field(default_factory=ProcessorSettings)
    answers: AnswerLimits = field(default_factory=AnswerLimits)
    first_start: bool = False


def check_answers(settings: RoutedSettings, place: str, findings: Findings) -> None:
    """Check that the limits on answers agree with each other and with the threads."""
    answers, threads = settings.answers, settings.limits.threads
    if answers.memory_share >= 1:
        findings.add(f"{place}.memory_share", "must be below 1")
    if answers.held_bytes > answers.body_bytes:
        findings.add(f"{place}.held_bytes", "must not be above body_bytes")
    needed = threads * (RESERVED_BYTES + BLOCK_BYTES)
    allowed = int(answers.memory_bytes * GROWTH_SHARE)
    if needed > allowed:
        text = (
            f"{threads} threads need {needed} bytes for their answers, and half of the "
            f"share is {allowed}"
        )
        findings.add(f"{place}.memory_share", text)


def read_routed_settings(path: Path) -> RoutedSettings:
    """Return the settings in ``path``.

    Raises
    ------
    InvalidInput
        The file is invalid; the error lists every finding.
    """
    findings = Findings()
    raw = read_raw_settings(path, findings)
    settings = None
    if raw is not None:
        settings = read_table(raw, RoutedSettings, f"{path}: ", findings)
    if settings is not None:
        check_answers(settings, f"{path}: answers", findings)
    findings.raise_if_any()
    return name_places(settings)


def wait_for_settings(path: Path, clock: Clock) -> RoutedSettings:
    """Return the settings for a start, once their file is there as a whole.

    Raises
    ------
    InvalidInput
        The host can't start with what is in the file after `START_WAIT_S`.
    """
    until = clock.monotonic() + START_WAIT_S
    while True:
        try:
            return read_start_settings(path)
        except InvalidInput:
            if clock.monotonic() >= until:
                raise
        clock.sleep(START_RETRY_S)


def read_start_settings(path: Path) -> RoutedSettings:
    """Return the settings in ``path`` with which a host can start.

    For an invalid value its default is used, with a line in the log. All hosts get
    their settings from one source: if one odd value ended a start, no host would run.

    Raises
    ------
    InvalidInput
        The file can't be read, or lacks an address that the host needs.
    """
    settings, ignored = read_usable_settings(path)
    log_ignored(ignored)
    return settings


def read_changed_settings(
    path: Path, accepted: Collection[Finding], bounds: BoundSettings
) -> RoutedSettings:
    """Return the settings of a running host whose file has changed.

    Parameters
    ----------
    path : Path
        The settings file.
    accepted : collection of Finding
        What was invalid when the host started. A default is used for it already.
    bounds : BoundSettings
        The bounds in force; one that the file no longer states stays.

    Raises
    ------
    InvalidInput
        The file is invalid beyond what was accepted; the error lists every finding.
    """
    settings, ignored = read_usable_settings(path)
    new = tuple(row for row in ignored if row not in accepted)
    if new:
        raise InvalidInput(new)
    return keep_bounds(settings, path, bounds)


def keep_bounds(
    settings: RoutedSettings, path: Path, former: BoundSettings
) -> RoutedSettings:
    """Return ``settings`` with the former bounds where ``path`` states none.

    Operators rely on the bounds in force, and a default may be looser.
    """
    raw = read_raw_settings(path, Findings()) or {}
    stated = raw.get("bounds", {})
    kept = {
        row.name: getattr(former, row.name)
        for row in fields(BoundSettings)
        if row.name not in stated
    }
    return replace(settings, bounds=replace(settings.bounds, **kept))


def find_ignored(path: Path) -> tuple[Finding, ...]:
    """Return the invalid values in ``path`` for which a start uses the default."""
    try:
        return read_usable_settings(path)[1]
    except InvalidInput:
        # The file has changed since the start, and will be refused as a whole.
        return ()


def log_ignored(ignored: Iterable[Finding]) -> None:
    """Log each value that is not used."""
    for finding in ignored:
        log.warning(
            "An invalid setting is not used",
            extra={"place": finding.place, "error": finding.text},
        )


def read_usable_settings(path: Path) -> tuple[RoutedSettings, tuple[Finding, ...]]:
    """Return the settings in ``path``, and the invalid values that were left out.

    Raises
    ------
    InvalidInput
        The file can't be read, or lacks an address that the host needs.
    """
    findings, ignored = Findings(), Findings()
    raw = read_raw_settings(path, findings)
    findings.raise_if_any()
    place = f"{path}: "
    kept = drop_invalid(raw, RoutedSettings, place, ignored)
    settings = read_table(kept, RoutedSettings, place, findings)
    if settings is None:
        raise InvalidInput((*findings.items, *ignored.items))
    settings = fit_threads(name_places(settings), f"{place}answers", ignored)
    return settings, tuple(ignored.items)


def read_raw_settings(path: Path, findings: Findings) -> dict | None:
    """Return the parsed file with times in seconds and seeds as a list."""
    raw = read_toml_file(path, findings)
    if raw is None:
        return None
    for table in TABLES_WITH_TIMES:
        if isinstance(raw.get(table), dict):
            rows = raw[table].items()
            raw[table] = dict(in_seconds(name, value) for name, value in rows)
    if isinstance(raw.get("peers"), dict):
        decode_seeds(raw["peers"])
    return raw


def in_seconds(name: str, value: Any) -> tuple[str, Any]:
    """Return a setting in milliseconds as one in seconds, and any other as it is."""
    if not name.endswith(MILLISECONDS):
        return name, value
    name = name.removesuffix(MILLISECONDS) + SECONDS
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    try:
        return name, value / MILLISECONDS_PER_S if is_number else value
    except OverflowError:
        # No number of seconds: the check of the setting refuses it.
        return name, value


def decode_seeds(peers: dict) -> None:
    """Replace seeds that are given as a JSON text, of which nothing means none."""
    text = peers.get("seeds")
    if not isinstance(text, str):
        return
    try:
        peers["seeds"] = json.loads(text or "null")
    except (ValueError, RecursionError):
        # The text stays, and is reported as no list.
        return
    if peers["seeds"] is None:
        del peers["seeds"]


def name_places(settings: RoutedSettings) -> RoutedSettings:
    """Return the settings with the defaults of names, places and addresses."""
    listen = settings.listen
    region = settings.region
    if not region:
        found = settings.regions.get(settings.zone)
        region = found if isinstance(found, str) else ""
    zone = settings.zone or Zone(region or UNKNOWN_PLACE)
    operators = complete_address(listen.operators, listen.peers)
    metrics = complete_address(listen.metrics, listen.peers)
    return replace(
        settings,
        host=settings.host or HostId(listen.peers),
        zone=zone,
        region=region or str(zone),
        listen=replace(listen, operators=operators, metrics=metrics),
    )


def complete_address(partial: str, own: str) -> str:
    """Return ``partial`` with the IP of ``own`` if it has none; empty without a port.

    Parameters
    ----------
    partial : str
        An ``address:port`` of which either may be left out.
    own : str
        Another address of this host.
    """
    address, _, port = partial.rpartition(":")
    return f"{address or own.rpartition(':')[0]}:{port}" if port else ""


def fit_threads(
    settings: RoutedSettings, place: str, ignored: Findings
) -> RoutedSettings:
    """Return settings whose limits on answers agree with each other and the memory."""
    before = len(ignored.items)
    check_answers(settings, place, ignored)
    if len(ignored.items) == before:
        return settings
    answers, default = settings.answers, AnswerLimits()
    if answers.memory_share >= 1:
        answers = replace(answers, memory_share=default.memory_share)
    if answers.held_bytes > answers.body_bytes:
        answers = replace(answers, held_bytes=answers.body_bytes)
    held = int(answers.memory_bytes * GROWTH_SHARE) // (RESERVED_BYTES + BLOCK_BYTES)
    threads = max(1, min(settings.limits.threads, held))
    limits = replace(settings.limits, threads=threads)
    return replace(settings, answers=answers, limits=limits)
