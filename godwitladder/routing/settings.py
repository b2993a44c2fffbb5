"""Settings of a host that serves routed calls, read from a TOML file."""

import math
from dataclasses import dataclass, field
from pathlib import Path

from godwitladder.decisions.rollouts.progress import RolloutLimits
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.findings import Findings
from godwitladder.ids import HostId, Zone
from godwitladder.serving.call_memory import (
    BLOCK_BYTES,
    GROWTH_SHARE,
    RESERVED_BYTES,
)
from godwitladder.settings import LimitSettings, read_toml_file
from godwitladder.tables import (
    checked,
    ip_port,
    ip_ports,
    not_empty,
    not_negative,
    positive,
    read_table,
    share,
)


@dataclass(frozen=True)
class RoutedListen:
    """Addresses that a host listens on, each ``address:port``."""

    callers: str = checked(ip_port)
    readiness: str = checked(ip_port)
    operators: str = checked(ip_port)
    peers: str = checked(ip_port)


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
    region : str
        Region of the host. The hosts of a region share their view of its targets.
    answers : AnswerLimits
        Limits on answers of targets.
    first_start : bool
        Whether the whole system starts for the first time. No caller is waiting
        then, so the host may start more slowly to save calls to the store.
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
    raw = read_toml_file(path, findings)
    settings = None
    if raw is not None:
        settings = read_table(raw, RoutedSettings, f"{path}: ", findings)
    if settings is not None:
        check_answers(settings, f"{path}: answers", findings)
    findings.raise_if_any()
    return settings
