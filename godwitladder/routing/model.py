"""The routing document: routes, services, workspaces and limits on callers.

Operators write documents with increasing versions. Each document replaces the
previous one as a whole.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.ids import KeyDigest, RouteName, ServiceName, WorkspaceName


class RouteKind(enum.Enum):
    """The kind of a route's requests, which decides whether they may be retried."""

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
    """The route of requests with one host and path prefix.

    Attributes
    ----------
    host, prefix : str
        Host in lower case; the prefix begins and ends with a slash.
    kind : RouteKind
        Kind of the requests.
    splits : tuple of Split
        Services that share the requests; at least one.
    timeout_s : float
        Maximum time in seconds that a caller is kept waiting.
    ttft_budget_s : float
        Latency objective: seconds to the answer, or to the first event of a
        stream; 0 for none.
    gap_s : float
        Latency objective between two events of a stream, in seconds; 0 for none.
    max_attempts : int
        Maximum number of targets that one request may be sent to.
    rank : int
        Rank of the requests; 0 is the most important.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may be resumed at another target.
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
    """A service that routes refer to.

    Attributes
    ----------
    slots : int
        Requests that a target runs at once; 0 if the target itself states it.
    memory_tokens : int
        KV cache capacity of a model engine, in tokens; 0 for a plain service.
    event_tokens : int
        Output tokens in one event of a stream.
    health_path : str
        Path of the health check of its targets; empty if there is none.
    """

    name: ServiceName
    slots: int = 0
    memory_tokens: int = 0
    event_tokens: int = 1
    health_path: str = ""


@dataclass(frozen=True)
class TokenQuota:
    """Token quota of a workspace, over all hosts.

    Attributes
    ----------
    rate : float
        Tokens per second; 0 for no limit.
    burst : float
        Tokens that may be used at once beyond the rate.
    default_tokens : int
        Tokens charged for a request that states no token counts.
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
        Added to the weighted rank of the route; None counts as 0.
    """

    name: WorkspaceName
    key_digests: frozenset[KeyDigest] = frozenset()
    rank: int | None = None
    quota: TokenQuota = TokenQuota()


@dataclass(frozen=True)
class CallerLimits:
    """Limits on callers.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Maximum size of the headers and of the body of a request.
    idle_s : float
        Seconds after which an idle connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    idle_s: float = 15.0


@dataclass(frozen=True)
class RoutingDocument:
    """A routing document at one version.

    Attributes
    ----------
    version : int
        Version of the document; -1 if none is known yet.
    workspace_of : dict
        Maps the digest of each key to its workspace.
    named_services : frozenset of ServiceName
        Services that the document lists or to which a route leads.
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
        routed = {split.service for route in self.routes for split in route.splits}
        self.__dict__["named_services"] = frozenset(routed | set(self.services))

    @property
    def requires_keys(self) -> bool:
        """Return whether any requests need a key."""
        return bool(self.workspaces)

    def health_path(self, service: ServiceName) -> str:
        """Return the path of the health check of a service; empty if it has none."""
        row = self.services.get(service)
        return row.health_path if row else ""
