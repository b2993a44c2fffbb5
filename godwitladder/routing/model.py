"""A whole routing document: routes, services, workspaces and bounds.

An operator writes documents, each with a version above the last one's. A
document replaces the one before it as a whole.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.ids import KeyDigest, RouteName, ServiceName, WorkspaceName


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True)
class Split:
    """A service and its share of a route's requests, by weight."""

    service: ServiceName
    weight: float


@dataclass(frozen=True)
class Route:
    """Where requests with one host and path prefix go.

    Attributes
    ----------
    host, prefix : str
        Host in lower case; the prefix begins and ends with a slash.
    splits : tuple of Split
        At least one.
    timeout_s : float
        Longest time a caller is kept waiting, in seconds.
    aim_s : float
        Seconds to the answer, or to a stream's first event, that count as
        in time.
    gap_s : float
        Longest pause between events that counts as in time; 0 for none.
    max_attempts : int
        Targets that one request may be sent to.
    rank : int
        0 matters most.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may go on at another target.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    splits: tuple[Split, ...]
    timeout_s: float
    ttft_budget_s: float
    max_attempts: int
    rank: int
    public: bool = False
    resumable: bool = False
    gap_s: float = 0.0


@dataclass(frozen=True)
class RoutedService:
    """A service that routes lead to.

    Attributes
    ----------
    slots : int
        Requests that a target runs at once; 0 where the target tells.
    memory_tokens : int
        Tokens that fit a model engine's memory; 0 for a plain service.
    event_tokens : int
        Output tokens in one event of a stream.
    """

    name: ServiceName
    slots: int = 0
    memory_tokens: int = 0
    event_tokens: int = 1


@dataclass(frozen=True)
class TokenQuota:
    """Tokens a workspace may have run, over all hosts.

    Attributes
    ----------
    rate : float
        Tokens a second; 0 for no bound.
    burst : float
        Tokens beyond the rate at once.
    plain_tokens : int
        What a request counts for that states no tokens.
    """

    rate: float = 0.0
    burst: float = 0.0
    default_tokens: int = 1


@dataclass(frozen=True)
class RoutedWorkspace:
    """A workspace with the digests of its keys.

    Attributes
    ----------
    rank : int or None
        Goes before the route's rank; None where the route's alone counts.
    """

    name: WorkspaceName
    key_digests: frozenset[KeyDigest] = frozenset()
    rank: int | None = None
    quota: TokenQuota = TokenQuota()


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send: bytes, and idle seconds of a connection."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_s: float = 15.0


@dataclass(frozen=True)
class RoutingDocument:
    """Everything in force at one version.

    Attributes
    ----------
    workspace_of : dict
        Workspace for each digest of a key.
    """

    version: int = -1
    routes: tuple[Route, ...] = ()
    services: Mapping[ServiceName, RoutedService] = field(default_factory=dict)
    workspaces: Mapping[WorkspaceName, RoutedWorkspace] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()

    def __post_init__(self) -> None:
        self.__dict__["workspace_of"] = {
            digest: workspace
            for workspace in self.workspaces.values()
            for digest in workspace.key_digests
        }

    @property
    def requires_keys(self) -> bool:
        """Return whether requests need a key at all."""
        return bool(self.workspaces)
