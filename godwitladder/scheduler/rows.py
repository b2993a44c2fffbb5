"""Tables of one host and their rows."""

import enum
import math
import queue
from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.configuration.model import Target
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.health.brittleness import BrittleStatements
from godwitladder.decisions.health.departures import Departures
from godwitladder.decisions.limits.cooldowns import Cooldowns
from godwitladder.decisions.limits.quotas import TokenQuotas
from godwitladder.decisions.limits.rate_limits import RateLimits
from godwitladder.decisions.limits.spending import SpendingHistory
from godwitladder.decisions.prompts.prediction import OutputPredictor
from godwitladder.decisions.types import PoolName
from godwitladder.findings import GodwitladderError
from godwitladder.ids import (
    BodyDigest,
    HostId,
    Incarnation,
    KeyDigest,
    Release,
    RequestId,
    RouteName,
    ServiceName,
    StreamId,
    TargetName,
    WorkspaceName,
    Zone,
)
from godwitladder.outcomes import TRANSITIONS, Refusal, RequestState
from godwitladder.rollouts.counts import HostRollouts
from godwitladder.scheduler.access import PoolAccess
from godwitladder.scheduler.gate import AdmissionGate
from godwitladder.scheduler.quotas import SeenHosts


class IllegalTransition(GodwitladderError):
    """Raised if a request can't change from its current state to the requested one."""


class ClaimState(enum.Enum):
    """Whether the key of a request has to be claimed before its dispatch."""

    NOT_NEEDED = "not_needed"
    NEEDED = "needed"
    WON = "won"


@dataclass(frozen=True)
class Dispatch:
    """Permission to send one request to one target once.

    Attributes
    ----------
    generation : str
        Distinguishes the target's process from earlier ones of the same name.
    granted_by : str
        Allocator and term that granted it, or `OWN_SHARE`. For the log only.
    release : str
        Version of the target's software; empty if not known.
    """

    request: RequestId
    stream: StreamId
    target: TargetName
    address: str
    generation: str = ""
    granted_by: str = ""
    release: Release = Release("")


@dataclass
class RequestRow:
    """State of one request from its arrival to its end.

    Attributes
    ----------
    tier_rank : int
        0 is the most important tier.
    prompt_tokens, declared_tokens, predicted_tokens, produced_tokens : int
        Length of the prompt, and declared, predicted and produced output. The
        predicted output is what is reserved.
    likely_tokens : int
        Predicted median of the output.
    held_tokens : int
        Tokens reserved on the target since the dispatch.
    arrived, deadline, dispatched, first_token, last_output_at : float
        Times in seconds on the monotonic clock of this host, 0 if not reached yet.
        ``last_output_at`` is the time of the most recent output.
    queued : bool
        Whether the request is in the queue of the tables.
    ttft_deadline : float
        First output deadline; 0 if it is the deadline of the request.
    start_by : float
        Latest time at which a dispatch is still useful to the caller.
    gap_s : float
        Maximum pause between two outputs, in seconds; 0 for no limit.
    event_tokens : int
        Number of output tokens that the caller receives in one event.
    charge : int
        Number of tokens charged to the quota of the workspace.
    release : Release
        Software version of the only targets that may run it, as its stream began
        there; empty if any may.
    route : RouteName
        Route of the call; empty if it has none.
    order : tuple
        Sort key of the queue: tier, then deadline.
    spilled : bool
        Whether the request is also reported to other zones.
    claim : ClaimState
        Whether the key has been claimed.
    key : KeyDigest or None
        Digest of workspace, service and the caller's idempotency key.
    body : BodyDigest
        Digest of the body, which identifies a request that crashes targets.
    prefix : str
        Digest of the start of the prompt, for placement on targets that have it in
        their cache.
    decisions : queue
        Queue on which the thread of the caller waits for a decision.
    """

    request: RequestId
    stream: StreamId
    workspace: WorkspaceName
    service: ServiceName
    tier_rank: int
    prompt_tokens: int
    declared_tokens: int
    arrived: float
    deadline: float
    idempotent: bool
    key: KeyDigest | None = None
    claim: ClaimState = ClaimState.NOT_NEEDED
    body: BodyDigest = BodyDigest("")
    prefix: str = ""
    ttft_deadline: float = 0.0
    start_by: float = math.inf
    gap_s: float = 0.0
    event_tokens: int = 1
    charge: int = 0
    release: Release = Release("")
    route: RouteName = RouteName("")
    predicted_tokens: int = 0
    likely_tokens: int = 0
    produced_tokens: int = 0
    state: RequestState = RequestState.WAITING
    target: TargetName | None = None
    dispatched: float = 0.0
    first_token: float = 0.0
    last_output_at: float = 0.0
    held_tokens: int = 0
    spilled: bool = False
    queued: bool = False
    decisions: "queue.SimpleQueue[Dispatch | Refusal]" = field(
        default_factory=queue.SimpleQueue, repr=False
    )

    def __post_init__(self) -> None:
        self.order = (self.tier_rank, self.deadline)

    @property
    def reserved_tokens(self) -> int:
        """Estimated number of tokens of a target's memory that the request needs."""
        expected = self.predicted_tokens or self.declared_tokens
        return self.prompt_tokens + max(expected, self.produced_tokens)

    def change(self, state: RequestState) -> None:
        """Change to ``state``.

        Raises
        ------
        IllegalTransition
            If the current state doesn't permit it, or if the request is to be
            dispatched without the claim that it needs.
        """
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransition(
                f"{self.request} can't change from {self.state} to {state}"
            )
        # Checked here for all ways to a dispatch: without the claim, two hosts
        # could run the same request.
        unclaimed = self.claim is ClaimState.NEEDED
        if state is RequestState.DISPATCHED and unclaimed:
            raise IllegalTransition(f"{self.request} has not claimed its key")
        self.state = state


@dataclass
class TargetRow:
    """State of one target, and the use that this host makes of it.

    Attributes
    ----------
    pending_prefill_tokens, pending_prefill_requests : int
        Prompt tokens and number of the requests on the target that have produced
        no output yet.
    avoided_until : float
        Time until which this host sends nothing to the target.
    accepts_requests : bool
        Whether the target accepts requests. Set to False when it doesn't accept
        one, and to True when it completes one.
    is_unreached : bool
        Whether the last attempt to connect to the target failed, on all ways.
    """

    name: TargetName
    target: Target
    running: int = 0
    reserved_tokens: int = 0
    pending_prefill_tokens: int = 0
    pending_prefill_requests: int = 0
    avoided_until: float = 0.0
    accepts_requests: bool = True
    is_unreached: bool = False

    def log_fields(self) -> dict[str, str]:
        """Return the log fields that identify the target."""
        return {"target": self.name, "address": self.target.address}


@dataclass
class Tables:
    """All tables of one host.

    Attributes
    ----------
    hosts : tuple of HostId
        Live hosts of this zone that are not leaving.
    allocator_candidates : tuple of HostId or None
        Hosts of this zone that may be allocators; None if all may.
    linked : dict
        Live hosts of each other zone to which this host has a link.
    leaving : frozenset of str
        Addresses that the platform's list shows as leaving.
    pools : dict
        State of this host in each pool; the pools of its own zone come first.
    by_service : dict
        Pools of each service, in the same order.
    pool_of : dict
        Pool of each target.
    queue : list of RequestRow
        Waiting requests in dispatch order; see `systems.waiting_order`.
    unreported : list of RequestId
        Requests queued since the last reports were made.
    availability_zone : str
        Availability zone of this host; empty unless it is a part of ``zone``.
    quotas : TokenQuotas
        Token quotas that this host enforces while it has no allocator.
    spending : SpendingHistory
        Tokens that workspaces have spent through this host, in all pools.
    seen_hosts : SeenHosts
        Hosts with which it shares the quotas then.
    rate_limits : RateLimits
        Rate limits that targets have stated.
    departures : Departures
        Targets that have stated that they are leaving.
    cooldowns : Cooldowns
        Cooldowns that targets have requested of this host.
    brittle : BrittleStatements
        Targets that have stated that they are brittle.
    gate : AdmissionGate
        Admission shares received from allocators. May be called by any thread.
    has_standing_grants : bool
        Whether hosts get standing grants while no request waits.
    early_fallback : bool
        Whether this host uses its fixed share of targets in its availability zone
        as soon as an answer of its allocator is overdue, in addition to what the
        allocator may have given to others.
    rollouts : HostRollouts
        Versions on trial and their answers. May be called by any thread.
    """

    host: HostId = HostId("")
    zone: Zone = Zone("")
    incarnation: Incarnation = Incarnation(0)
    config: ConfigState = field(default_factory=ConfigState)
    waiting: dict[RequestId, RequestRow] = field(default_factory=dict)
    running: dict[RequestId, RequestRow] = field(default_factory=dict)
    targets: dict[TargetName, TargetRow] = field(default_factory=dict)
    pools: dict[PoolName, PoolAccess] = field(default_factory=dict)
    by_service: dict[ServiceName, list[PoolAccess]] = field(default_factory=dict)
    pool_of: dict[TargetName, PoolAccess] = field(default_factory=dict)
    unreported: list[RequestId] = field(default_factory=list)
    queue: list[RequestRow] = field(default_factory=list)
    hosts: tuple[HostId, ...] = ()
    allocator_candidates: tuple[HostId, ...] | None = None
    linked: Mapping[Zone, tuple[HostId, ...]] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    predictor: OutputPredictor = field(default_factory=OutputPredictor)
    stopping: bool = False
    availability_zone: Zone = Zone("")
    quotas: TokenQuotas = field(default_factory=TokenQuotas)
    spending: SpendingHistory = field(default_factory=SpendingHistory)
    seen_hosts: SeenHosts = field(default_factory=SeenHosts)
    rate_limits: RateLimits = field(default_factory=RateLimits)
    departures: Departures = field(default_factory=Departures)
    cooldowns: Cooldowns = field(default_factory=Cooldowns)
    brittle: BrittleStatements = field(default_factory=BrittleStatements)
    gate: AdmissionGate = field(default_factory=AdmissionGate)
    has_standing_grants: bool = True
    early_fallback: bool = False
    rollouts: HostRollouts = field(default_factory=HostRollouts)

    @property
    def allocators(self) -> tuple[HostId, ...]:
        """Hosts of this zone that may be allocators."""
        return (
            self.hosts
            if self.allocator_candidates is None
            else self.allocator_candidates
        )
