"""The objects that operators create: tiers, workspaces, services, targets."""

import enum
from dataclasses import dataclass
from typing import Any

from godwitladder.ids import ServiceName, TierName, Zone
from godwitladder.tables import (
    checked,
    host_port,
    not_negative,
    positive,
    sha256_digests,
)


class ServiceKind(enum.Enum):
    """How a service is spoken to."""

    MODEL = "model"
    PLAIN = "plain"


class TargetState(enum.Enum):
    """Whether a target takes new work."""

    ACTIVE = "active"
    LEAVING = "leaving"
    UNPROVED = "unproved"


class ObjectKind(enum.Enum):
    """The kinds of object, each the name of its table in a ticket."""

    TIER = "tiers"
    WORKSPACE = "workspaces"
    SERVICE = "services"
    TARGET = "targets"


@dataclass(frozen=True)
class Tier:
    """How much a request matters; rank 0 matters most."""

    rank: int = checked(not_negative)


@dataclass(frozen=True)
class Workspace:
    """A customer's workspace.

    Attributes
    ----------
    tier : str
        The tier of its requests, unless the caller lowers it.
    key_digests : tuple of str
        SHA-256 of each bearer key, in lower-case hex.
    share : float
        Weight in the fair share among workspaces of a tier.
    quota : int
        Requests that may run at once; 0 for no bound of its own.
    token_rate, token_burst : float
        Tokens that may be run a second, over all hosts, and beyond that at
        once; a rate of 0 for no bound.
    """

    tier: TierName
    key_digests: tuple[str, ...] = checked(sha256_digests, default=())
    share: float = checked(positive, default=1.0)
    quota: int = checked(not_negative, default=0)
    token_rate: float = checked(not_negative, default=0.0)
    token_burst: float = checked(not_negative, default=0.0)


@dataclass(frozen=True)
class Service:
    """Something that callers ask for by name.

    Attributes
    ----------
    idempotent : bool
        Whether running a request twice does no harm.
    timeout_s : float
        Deadline of a request that states none, in seconds from its arrival.
    max_output : int
        Output tokens that a caller may declare, for a model service.
    """

    kind: ServiceKind
    idempotent: bool
    timeout_s: float = checked(positive, default=60.0)
    max_output: int = checked(positive, default=4096)


@dataclass(frozen=True)
class Target:
    """An engine or a plain service's process.

    Attributes
    ----------
    zone : str
        Whose hosts share one queue for it.
    place : str
        The availability zone it stands in, where that is a part of ``zone``.
    slots : int
        Requests it runs at once.
    memory_tokens : int
        Tokens of context that fit its memory; 0 for a plain service.
    prefill_tps, decode_tps : float
        Tokens a second expected before any were measured.
    checks_fence : bool
        Whether it refuses orders with an old fencing number.
    model, adapters, role : str, tuple of str, str
        What it is ordered to have loaded and to be; all empty for a target
        that takes no orders.
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


TYPES: dict[ObjectKind, type] = {
    ObjectKind.TIER: Tier,
    ObjectKind.WORKSPACE: Workspace,
    ObjectKind.SERVICE: Service,
    ObjectKind.TARGET: Target,
}


@dataclass(frozen=True, order=True)
class ObjectName:
    """Names one object of the configuration."""

    table: str
    name: str

    def __str__(self) -> str:
        return f"{self.table}.{self.name}"


@dataclass(frozen=True)
class Versioned:
    """An object with the ticket that wrote it; ``value`` None means removed."""

    number: int
    operator: str
    offset: int
    digest: str
    value: Any
