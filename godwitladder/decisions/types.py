"""Data types of the scheduling decisions.

An allocator is the live host that hands out the capacity of one pool. Hosts
send it their demand and usage, and it answers with grants and sheds. Hosts
share no clock, so times in messages between hosts are durations in seconds.
"""

import enum
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitladder.decisions.allocator_state import AllocatorState
from godwitladder.decisions.limits.quotas import TokenQuotas
from godwitladder.decisions.placing.precedence import Precedence
from godwitladder.decisions.policy import Policy
from godwitladder.ids import (
    BodyDigest,
    HostId,
    Release,
    RequestId,
    RouteName,
    ServiceName,
    TargetName,
    WorkspaceName,
    Zone,
)


@dataclass(frozen=True, order=True)
class PoolName:
    """Name of a pool: the targets of one zone that share services.

    ``service`` is the first of the shared services.
    """

    zone: Zone
    service: ServiceName


@dataclass(frozen=True)
class RequestDemand:
    """What one waiting request needs, as reported by its host.

    Durations count from the time at which the host sent its report.

    Attributes
    ----------
    tier_rank : int
        Rank of its tier; 0 is the most important.
    prompt_tokens, predicted_tokens : int
        Prompt tokens, and the output tokens to reserve for it.
    time_to_deadline_s : float
        Seconds until its deadline.
    waited_s : float
        Seconds since its arrival.
    prefix : str
        Digest of the start of its prompt; empty for none.
    prior_refusals : int
        How often the caller has been refused with this request before.
    likely_tokens : int
        Predicted median of the output tokens; 0 to use ``predicted_tokens``.
    ttft_budget_s : float
        Seconds left until its first output is late (time to first token);
        infinite without such a bound.
    start_within_s : float
        Seconds within which it has to start to be of use.
    charge : int
        Tokens counted against its workspace's quota.
    availability_zone : str
        Availability zone of its host.
    gap_s : float
        Longest allowed pause in its output in seconds; 0 for no bound.
    event_tokens : int
        Output tokens in each event of its stream.
    release : Release
        Software version of the only targets that may run it; empty if any may.
    route : RouteName
        Its route, if a rollout of its service is under way.
    body : BodyDigest
        Digest by which a retry of the same caller is recognized; empty where
        different callers send equal bodies.
    """

    request: RequestId
    workspace: WorkspaceName
    service: ServiceName
    tier_rank: int
    prompt_tokens: int
    predicted_tokens: int
    time_to_deadline_s: float
    waited_s: float
    prefix: str = ""
    prior_refusals: int = 0
    likely_tokens: int = 0
    ttft_budget_s: float = float("inf")
    start_within_s: float = float("inf")
    charge: int = 0
    availability_zone: Zone = Zone("")
    body: BodyDigest = BodyDigest("")
    gap_s: float = 0.0
    event_tokens: int = 1
    release: Release = Release("")
    route: RouteName = RouteName("")

    @property
    def continues_stream(self) -> bool:
        """Whether it takes up a stream, of which its caller has a part already."""
        return bool(self.release)


@dataclass(frozen=True)
class TargetUse:
    """What one host runs on one target.

    Attributes
    ----------
    reserved_tokens : int
        Memory tokens that these requests hold.
    pending_prefill_tokens : int
        Prompt tokens of the requests without any output yet.
    pending_prefill_requests : int
        Number of the requests without any output yet.
    """

    target: TargetName
    running: int
    reserved_tokens: int
    pending_prefill_tokens: int = 0
    pending_prefill_requests: int = 0


@dataclass(frozen=True)
class Grant:
    """Permission to dispatch one request to one target for a limited time.

    Attributes
    ----------
    request : str
        Id of the request it is meant for; empty for a standing grant, which
        any request that the target serves may use.
    tier_rank : int
        Tier rank of the request it was issued for.
    valid_for_s : float
        Seconds for which it may be used, counted from the sending of the
        report that it answers.
    """

    grant: str
    host: HostId
    target: TargetName
    request: RequestId
    tier_rank: int
    reserved_tokens: int
    valid_for_s: float


class ShedReason(enum.Enum):
    """Why an allocator sheds a waiting request."""

    OVERLOAD = "overload"
    DEADLINE = "deadline"
    QUOTA = "quota"


@dataclass(frozen=True)
class Shed:
    """Order to a host to refuse a waiting request at once.

    Attributes
    ----------
    exact : bool
        Whether exactly this request is to be refused, rather than the least
        important one that its host has by then.
    """

    host: HostId
    request: RequestId
    reason: ShedReason
    retry_after_s: float
    exact: bool = False


@dataclass
class TargetView:
    """What an allocator knows about one target.

    Attributes
    ----------
    used : int
        Requests running on it according to hosts, plus unused grants.
    reserved_tokens : int
        Memory tokens that these hold.
    limit : int
        Requests it may run at once; lowered while the target is throttled.
    pending_prefill_tokens : int
        Prompt tokens sent to it whose requests have no output yet.
    pending_prefill_requests : int
        Number of the requests to which these tokens belong.
    max_pending_prefill_s : float
        Seconds of pending prefill above which it gets no further prompt.
    first_s, read_s : float
        Seconds until the first output: a fixed part for every prompt, and a
        part for each prompt token.
    availability_zone : str
        Availability zone in which it runs.
    prefill_tps, decode_tps : float
        Learned speeds: prompt tokens per second of the whole target, and
        output tokens per second of one request.
    requests_per_s : float
        Rate limit that it states; infinite for none.
    available_requests : float
        Requests that it may get now within this limit.
    next_request_s : float
        Seconds until it may get a request; 0 if it may now.
    refuses : bool
        Whether it has asked any host to send nothing for a while.
    release : Release
        Version of its software; empty if not known.
    """

    name: TargetName
    services: frozenset[ServiceName]
    slots: int
    memory_tokens: int
    prefill_tps: float
    decode_tps: float
    used: int = 0
    reserved_tokens: int = 0
    limit: int = 0
    prefixes: set[str] = field(default_factory=set)
    pending_prefill_tokens: int = 0
    pending_prefill_requests: int = 0
    max_pending_prefill_s: float = float("inf")
    first_s: float = 0.0
    read_s: float = 0.0
    availability_zone: Zone = Zone("")
    requests_per_s: float = float("inf")
    available_requests: float = float("inf")
    next_request_s: float = 0.0
    refuses: bool = False
    release: Release = Release("")


@dataclass(slots=True)
class QueueEntry:
    """A waiting request with the values that `allocate` derives for it.

    Attributes
    ----------
    slot_s : float
        Seconds for which it will hold a slot of the fastest target of its
        service.
    latest_start : float
        Time after which it can't start and still end by its deadline.
    safe_start : float
        Latest start at which it ends by its deadline even if its output is
        long.
    ttft_latest_start : float
        Latest start at which its first output can still be in time.
    precedence, late_precedence : Precedence
        Its precedence while it can be in time, and after that.
    token_times : TokenTimes
        Seconds per token from which these values were computed.
    """

    waiting: "WaitingRequest"
    slot_s: float
    latest_start: float
    safe_start: float
    precedence: Precedence
    late_precedence: Precedence
    token_times: "TokenTimes"
    ttft_latest_start: float = float("inf")

    def precedence_at(self, now: float) -> Precedence:
        """Return its precedence at the time ``now``."""
        return (
            self.precedence if now <= self.ttft_latest_start else self.late_precedence
        )


class TokenTimes(NamedTuple):
    """Seconds for one prompt token and one output token."""

    prefill_s: float
    decode_s: float


@dataclass
class WaitingRequest:
    """A request that waits at the allocator; times are by the allocator's clock.

    Attributes
    ----------
    avoided : frozenset of TargetName
        Targets to which its host recently failed to connect.
    cooldowns : dict
        End of each cooldown of a target for its host.
    ttft_deadline : float
        First output deadline; infinite for no bound.
    start_by : float
        Time by which it has to start to be of use.
    first_arrived : float
        Arrival of the caller's first attempt: before ``arrived`` for a retry.
    within_quota : bool
        Whether it was within its workspace's quota when it arrived.
    counted : bool
        Whether `allocate` has seen it, in this report or an earlier one.
    entry : QueueEntry or None
        Cache of `allocate`, which reuses it in later runs instead of deriving
        it again; not to be changed by others.
    """

    host: HostId
    demand: RequestDemand
    deadline: float
    arrived: float
    avoided: frozenset[TargetName] = frozenset()
    ttft_deadline: float = float("inf")
    start_by: float = float("inf")
    first_arrived: float | None = None
    within_quota: bool = True
    counted: bool = False
    entry: QueueEntry | None = field(default=None, compare=False, repr=False)
    cooldowns: dict[TargetName, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        if self.first_arrived is None:
            self.first_arrived = self.arrived

    def excluded_targets(self, now: float) -> Collection[TargetName]:
        """Return the targets to which its host can't or must not send it now."""
        if not self.cooldowns:
            return self.avoided
        cooling_down = {name for name, until in self.cooldowns.items() if until > now}
        return self.avoided | cooling_down

    @property
    def is_retry(self) -> bool:
        """Whether its caller was refused before and has retried."""
        return self.first_arrived < self.arrived


@dataclass
class WorkspaceView:
    """A workspace's weight, its limit on running requests, and their number.

    A ``quota`` of 0 means no limit.
    """

    share: float = 1.0
    quota: int = 0
    running: int = 0


@dataclass
class PoolView:
    """Everything from which an allocator decides.

    Attributes
    ----------
    floors : dict
        Highest rank number (the least important tier) that still waits at
        each other reachable allocator; -1 where nothing waits.
    shed_ranks : dict
        Lowest rank number (the most important tier) that each other reachable
        allocator has recently shed because of overload.
    state : AllocatorState
        State that `allocate` keeps between runs; pass the same object in.
    quotas : TokenQuotas
        Token quotas of the workspaces; pass the same object in.
    staleness_s : float
        Age in seconds of what is known about hosts' requests and targets.
    trial_targets : dict
        Targets of versions on trial. `allocate` does not use them.
    cutover_excluded : frozenset of TargetName
        Targets of the old version during a cutover. Only requests that can run at
        no other version use them.
    """

    waiting: dict[RequestId, WaitingRequest] = field(default_factory=dict)
    targets: dict[TargetName, TargetView] = field(default_factory=dict)
    workspaces: dict[WorkspaceName, WorkspaceView] = field(default_factory=dict)
    floors: dict[PoolName, int] = field(default_factory=dict)
    shed_ranks: dict[PoolName, int] = field(default_factory=dict)
    state: AllocatorState = field(default_factory=AllocatorState)
    quotas: TokenQuotas = field(default_factory=TokenQuotas)
    policy: Policy = Policy()
    staleness_s: float = 0.0
    trial_targets: dict[TargetName, TargetView] = field(default_factory=dict)
    cutover_excluded: frozenset[TargetName] = frozenset()


@dataclass(frozen=True)
class Placement:
    """A waiting request and the target on which it is placed."""

    request: RequestId
    target: TargetName
    reserved_tokens: int


@dataclass(frozen=True)
class ShedDecision:
    """A waiting request that is shed."""

    request: RequestId
    reason: ShedReason
    retry_after_s: float


@dataclass
class Allocation:
    """Decisions of one run of `allocate`, in their order.

    Attributes
    ----------
    spill : list of RequestId
        Requests that will not start here in time, the most important first;
        their hosts should ask another zone's allocator too.
    floor : int or None
        Highest rank number still waiting; sent to other allocators.
    shed_rank : int or None
        Lowest rank number shed because of overload in this run; sent to other
        allocators, which then keep nothing below that tier.
    backlog_s : float
        Seconds until all that waits now would have started.
    """

    placements: list[Placement] = field(default_factory=list)
    sheds: list[ShedDecision] = field(default_factory=list)
    spill: list[RequestId] = field(default_factory=list)
    floor: int | None = None
    shed_rank: int | None = None
    backlog_s: float = 0.0
