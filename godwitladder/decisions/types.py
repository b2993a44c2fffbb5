"""What hosts and allocators tell each other, and what decisions are made of.

An allocator is the live host that hands out one pool's capacity. Hosts send
it their demand and their use; it answers with grants and sheds. Times that
cross between hosts are durations in seconds, since clocks are not shared.
"""

import enum
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitladder.decisions.allocator_state import AllocatorState
from godwitladder.decisions.policy import Policy
from godwitladder.decisions.precedence import Precedence
from godwitladder.decisions.quotas import TokenQuotas
from godwitladder.ids import (
    BodyDigest,
    HostId,
    RequestId,
    ServiceName,
    TargetName,
    WorkspaceName,
    Zone,
)


@dataclass(frozen=True, order=True)
class PoolName:
    """Targets of one zone that share services; named by the first of these."""

    zone: Zone
    service: ServiceName


@dataclass(frozen=True)
class RequestDemand:
    """One waiting request.

    Attributes
    ----------
    tier_rank : int
        0 matters most.
    prompt_tokens, predicted_tokens : int
        Prompt and expected output.
    time_to_deadline_s : float
        Seconds to its deadline when the line was sent.
    waited_s : float
        Seconds since its arrival when the line was sent.
    prefix : str
        Digest of the start of its prompt; empty for none.
    repeats : int
        How often the caller was refused with this request before.
    likely_tokens : int
        Output that is as often exceeded as not; 0 for ``predicted_tokens``,
        which is what is reserved.
    aim_s : float
        Seconds left, when the line was sent, for its first output to count as
        in time; infinite where no aim is set.
    start_within_s : float
        Seconds left, likewise, in which it has to start to be of use.
    charge : int
        Tokens that it counts for in its workspace's quota.
    place : str
        Availability zone of its host.
    gap_s : float
        Longest pause that its answer may have, in seconds; 0 for no bound.
    event_tokens : int
        Output tokens that come to its caller at once.
    body : BodyDigest
        By which its caller is known again; empty where bodies are alike.
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


@dataclass(frozen=True)
class TargetUse:
    """What one host has running on one target.

    Attributes
    ----------
    reserved_tokens : int
        Tokens of memory held by it.
    unread_tokens : int
        Prompt tokens of requests that have made no output yet.
    unread_requests : int
        How many these are.
    """

    target: TargetName
    running: int
    reserved_tokens: int
    pending_prefill_tokens: int = 0
    pending_prefill_requests: int = 0


@dataclass(frozen=True)
class Grant:
    """Leave to dispatch one request to one target before it lapses.

    Attributes
    ----------
    request : str
        The request it is meant for; empty for a standing grant, which any
        request that the target serves may use.
    tier_rank : int
        Rank of the request it was given for.
    valid_for_s : float
        Seconds it may be used after the sending of the report that it answers.
    """

    grant: str
    host: HostId
    target: TargetName
    request: RequestId
    tier_rank: int
    reserved_tokens: int
    valid_for_s: float


class ShedReason(enum.Enum):
    """Why an allocator gives a waiting request up."""

    OVERLOAD = "overload"
    DEADLINE = "deadline"
    QUOTA = "quota"


@dataclass(frozen=True)
class Shed:
    """An allocator gives a waiting request up; it is refused at once.

    Attributes
    ----------
    exact : bool
        Whether just this request is meant, and not the least important one
        that its host has by now.
    """

    host: HostId
    request: RequestId
    reason: ShedReason
    retry_after_s: float
    exact: bool = False


@dataclass
class TargetView:
    """What an allocator knows of one target.

    Attributes
    ----------
    used : int
        Requests running there as hosts say, plus grants not yet used.
    reserved_tokens : int
        Tokens of memory held by these.
    limit : int
        Requests it may run at once, as eased off while it is slow.
    unread_tokens : int
        Prompt tokens sent there of which no output has come yet.
    unread_s : float
        Seconds of such reading beyond which it gets no further prompt.
    unread_requests : int
        How many requests these tokens are of.
    first_s, read_s : float
        Seconds until a prompt's first output: for any, and for each token.
    place : str
        Availability zone that it stands in.
    prefill_tps, decode_tps : float
        Learned speeds: prompt tokens a second of the whole target, output
        tokens a second of one request.
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


@dataclass(slots=True)
class QueueEntry:
    """A waiting request as `allocate` weighs it.

    Attributes
    ----------
    slot_s : float
        Seconds that it will hold a slot of its service's fastest target.
    latest : float
        Time after which it can't start and still end by its deadline.
    safe : float
        Time until which it ends by its deadline even if it is long.
    aim : float
        Time after which its first output can't be in time any more.
    precedence, late_precedence : Precedence
        When it is served while it can be in time, and after that.
    pace : Pace
        Speeds that these were worked out from.
    """

    waiting: "Waiting"
    slot_s: float
    latest_start: float
    safe_start: float
    precedence: Precedence
    late_precedence: Precedence
    pace: "Pace"
    ttft_latest_start: float = float("inf")

    def precedence_at(self, now: float) -> Precedence:
        """Return its precedence at a time."""
        return (
            self.precedence if now <= self.ttft_latest_start else self.late_precedence
        )


class TokenTimes(NamedTuple):
    """Seconds for one prompt token and one output token."""

    prefill_s: float
    decode_s: float


@dataclass
class WaitingRequest:
    """A demand line at the allocator; times are of the allocator's clock.

    Attributes
    ----------
    avoided : frozenset of TargetName
        Targets that its host could not connect to a moment ago.
    entry : Entry or None
        Kept by `allocate` from run to run, which spares weighing each row
        in each; leave it alone.
    entitled : bool
        Whether it was within its workspace's quota when it came.
    counted : bool
        Whether `allocate` has seen it, in this report or an earlier one.
    asked : float
        When its caller first asked: before ``arrived`` if it has come back.
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

    def __post_init__(self) -> None:
        if self.first_arrived is None:
            self.first_arrived = self.arrived

    @property
    def is_retry(self) -> bool:
        """Whether its caller was sent away before, and has come back."""
        return self.first_arrived < self.arrived


@dataclass
class WorkspaceView:
    """A workspace's weight, bound on running requests (0: none), and use."""

    share: float = 1.0
    quota: int = 0
    running: int = 0


@dataclass
class PoolView:
    """Everything an allocator decides from.

    Attributes
    ----------
    floors : dict
        Highest rank number (the least important tier) that still waits at
        each other allocator within reach; -1 where nothing waits.
    shed_ranks : dict
        Lowest rank number (the most important tier) that each other
        allocator within reach has lately shed under overload.
    memory : AllocatorState
        What `allocate` remembers from run to run: hand the same one in.
    quotas : TokenQuotas
        What workspaces may have run, in tokens: likewise.
    behind_s : float
        Age of what is known here of the hosts' requests and targets.
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


@dataclass(frozen=True)
class Placement:
    """A waiting request and the target it goes to."""

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
    """What one run of `allocate` decided, in order.

    Attributes
    ----------
    spill : list of RequestId
        Requests that will not start here in time, the most important first:
        their hosts should ask another zone's allocator too.
    floor : int or None
        Highest rank number still waiting; told to other allocators.
    shed_rank : int or None
        Lowest rank number shed under overload in this run; told to other
        allocators, which then keep nothing below it.
    backlog_s : float
        Seconds until what waits now would have started.
    """

    placements: list[Placement] = field(default_factory=list)
    sheds: list[ShedDecision] = field(default_factory=list)
    spill: list[RequestId] = field(default_factory=list)
    floor: int | None = None
    shed_rank: int | None = None
    backlog_s: float = 0.0
