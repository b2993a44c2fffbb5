"""Objects that operators configure: tiers, workspaces, services and targets."""

import enum
from dataclasses import dataclass
from typing import Any

from godwitladder.ids import Release, ServiceName, TierName, Zone
from godwitladder.tables import (
    checked,
    host_port,
    not_negative,
    positive,
    sha256_digests,
)


class ServiceKind(enum.Enum):
    """Protocol of a service."""

    MODEL = "model"
    PLAIN = "plain"


class TargetState(enum.Enum):
    """Whether a target may be given new work."""

    ACTIVE = "active"
    LEAVING = "leaving"
    UNPROVED = "unproved"


class ObjectKind(enum.Enum):
    """Kinds of objects; each value is the name of the table in a ticket."""

    TIER = "tiers"
    WORKSPACE = "workspaces"
    SERVICE = "services"
    TARGET = "targets"


@dataclass(frozen=True)
class Tier:
    """Priority class of requests; rank 0 is the highest priority."""

    rank: int = checked(not_negative)


@dataclass(frozen=True)
class Workspace:
    """A customer's workspace.

    Attributes
    ----------
    tier : str
        Default tier of its requests; a caller may choose a lower one.
    key_digests : tuple of str
        SHA-256 of each bearer key, in lower-case hex.
    share : float
        Weight in fair sharing among the workspaces of a tier.
    quota : int
        Maximum number of concurrent requests; 0 for no limit of its own.
    token_rate : float
        Token quota over all hosts, in tokens per second; 0 for no limit.
    token_burst : float
        Tokens that may be used at once beyond the rate.
    """

    tier: TierName
    key_digests: tuple[str, ...] = checked(sha256_digests, default=())
    share: float = checked(positive, default=1.0)
    quota: int = checked(not_negative, default=0)
    token_rate: float = checked(not_negative, default=0.0)
    token_burst: float = checked(not_negative, default=0.0)


@dataclass(frozen=True)
class Service:
    """A service that callers address by name.

    Attributes
    ----------
    kind : ServiceKind
        Protocol of the service.
    idempotent : bool
        Whether a request may safely run twice.
    timeout_s : float
        Default deadline of a request, in seconds from its arrival.
    max_output : int
        Maximum number of output tokens that a caller may declare; applies to
        model services.
    """

    kind: ServiceKind
    idempotent: bool
    timeout_s: float = checked(positive, default=60.0)
    max_output: int = checked(positive, default=4096)


@dataclass(frozen=True)
class Target:
    """An inference engine or a process of a plain service.

    Attributes
    ----------
    address : str
        Host and port.
    zone : str
        Zone whose hosts share one queue for this target.
    services : tuple of str
        Names of the services that it runs.
    slots : int
        Maximum number of requests that it runs concurrently.
    memory_tokens : int
        Context tokens that fit in its memory; 0 for a plain service.
    prefill_tps, decode_tps : float
        Assumed speed in tokens per second until one is measured.
    checks_fence : bool
        Whether it rejects orders with an outdated fencing number.
    state : TargetState
        Whether it may be given new work.
    model : str
        Model that it is ordered to load; empty if it takes no orders.
    adapters : tuple of str
        Adapters that it is ordered to load; empty if it takes no orders.
    role : str
        Role that it is ordered to assume; empty if it takes no orders.
    place : str
        Its availability zone, if that is only a part of ``zone``.
    release : str
        Version of its software; empty if not known.
    """

    address: str = checked(host_port)
    zone: Zone = Zone("")
    services: tuple[ServiceName, ...] = ()
    slots: int = checked(positive, default=8)
    memory_tokens: int = checked(not_negative, default=0)
    prefill_tps: float = checked(positive, default=4000.0)
    decode_tps: float = checked(positive, default=40.0)
    generation: str = ""
    checks_fence: bool = False
    state: TargetState = TargetState.ACTIVE
    model: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""
    place: Zone = Zone("")
    release: Release = Release("")


TYPES: dict[ObjectKind, type] = {
    ObjectKind.TIER: Tier,
    ObjectKind.WORKSPACE: Workspace,
    ObjectKind.SERVICE: Service,
    ObjectKind.TARGET: Target,
}


@dataclass(frozen=True, order=True)
class ObjectName:
    """Identifies an object by the names of its table and itself."""

    table: str
    name: str

    def __str__(self) -> str:
        return f"{self.table}.{self.name}"


@dataclass(frozen=True)
class Versioned:
    """An object and the ticket that last wrote it; ``value`` is None if removed."""

    number: int
    operator: str
    offset: int
    digest: str
    value: Any
