"""The rows of one host's tables."""

import enum
import math
import queue
from collections.abc import Mapping
from dataclasses import dataclass, field

from godwitladder.configuration.model import Target
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.prediction import OutputPredictor
from godwitladder.decisions.quotas import TokenQuotas
from godwitladder.decisions.types import PoolName
from godwitladder.findings import GodwitladderError
from godwitladder.ids import (
    BodyDigest,
    HostId,
    Incarnation,
    KeyDigest,
    RequestId,
    ServiceName,
    StreamId,
    TargetName,
    WorkspaceName,
    Zone,
)
from godwitladder.outcomes import TRANSITIONS, Refusal, RequestState
from godwitladder.scheduler.access import PoolAccess
from godwitladder.scheduler.gate import AdmissionGate
from godwitladder.scheduler.quotas import SeenHosts


class IllegalTransition(GodwitladderError):
    """A request was to change into a state that its own does not allow."""


class ClaimState(enum.Enum):
    """Whether a request's key must be claimed before its dispatch."""

    NOT_NEEDED = "not_needed"
    NEEDED = "needed"
    WON = "won"


@dataclass(frozen=True)
class Dispatch:
    """Leave to write one request to one target, once."""

    request: RequestId
    stream: StreamId
    target: TargetName
    address: str


@dataclass
class RequestRow:
    """One request from its arrival to its end.

    Attributes
    ----------
    tier_rank : int
        0 matters most.
    prompt_tokens, declared_tokens, predicted_tokens, produced_tokens : int
        Length of the prompt; output declared, predicted and seen so far.
    likely_tokens : int
        Output that is as often exceeded as not; the predicted one is reserved.
    held_tokens : int
        Tokens counted against its target since it was dispatched.
    arrived, deadline, dispatched, first_token, progressed : float
        Monotonic seconds of this host's clock; 0 for not yet. The last one is
        when more output was last heard of.
    queued : bool
        Whether the table's queue holds it.
    aim : float
        Until when its first output counts as in time; 0 for its deadline.
    start_by : float
        Until when it has to be dispatched to be of use to its caller.
    gap_s : float
        Longest pause that its answer may have, in seconds; 0 for no bound.
    event_tokens : int
        Output tokens that come to its caller at once.
    charge : int
        Tokens that it counts for in its workspace's quota.
    order : tuple
        Where it stands among the waiting ones: by tier, then by deadline.
    spilled : bool
        Whether other zones are asked for it too.
    claim : ClaimState
        Whether its key is claimed.
    key : KeyDigest or None
        Digest of workspace, service and the caller's idempotency key.
    body : BodyDigest
        Digest of the body, by which a crashing request is known again.
    prefix : str
        Digest of the start of the prompt, for placement near its cache.
    decisions : queue
        Where the thread that serves the caller waits for what to do.
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
    predicted_tokens: int = 0
    likely_tokens: int = 0
    produced_tokens: int = 0
    state: RequestState = RequestState.WAITING
    target: TargetName | None = None
    dispatched: float = 0.0
    first_token: float = 0.0
    progressed: float = 0.0
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
        """Tokens of a target's memory that it is taken to need."""
        expected = self.predicted_tokens or self.declared_tokens
        return self.prompt_tokens + max(expected, self.produced_tokens)

    def change(self, state: RequestState) -> None:
        """Go to ``state``, if the current one allows it."""
        if state not in TRANSITIONS[self.state]:
            raise IllegalTransition(f"{self.request}: {self.state} to {state}")
        # Whatever path leads to a dispatch, one without the claim that it
        # needs would let two hosts run the same order.
        unclaimed = self.claim is ClaimState.NEEDED
        if state is RequestState.DISPATCHED and unclaimed:
            raise IllegalTransition(f"{self.request} has not claimed its key")
        self.state = state


@dataclass
class TargetRow:
    """What this host knows of, and runs on, one target.

    Attributes
    ----------
    unread_tokens, unread_requests : int
        Prompt tokens of requests there that have made no output yet, and
        how many these are.
    answers : bool
        False from a request that it did not take until one that it completed.
    """

    name: TargetName
    target: Target
    running: int = 0
    reserved_tokens: int = 0
    unread_tokens: int = 0
    unread_requests: int = 0
    avoided_until: float = 0.0
    answers: bool = True


@dataclass
class Tables:
    """All tables of one host.

    Attributes
    ----------
    hosts : tuple of HostId
        Live hosts of this zone that are not leaving.
    able : tuple of HostId or None
        Those of them that may be allocators; None if all may.
    linked : dict
        Live hosts of each other zone that this host has a link to.
    leaving : frozenset of str
        Addresses that the platform's list shows as leaving.
    pools : dict
        This host's side of every pool, those of its own zone first.
    by_service : dict
        The pools of each service, in the same order.
    pool_of : dict
        The pool of each target.
    queue : list of RequestRow
        The waiting requests in order; see `systems.waiting_order`.
    fresh : list of RequestId
        Requests that began to wait since the last reports were made.
    place : str
        The availability zone of this host, where that is a part of ``zone``.
    quotas : TokenQuotas
        What workspaces may have run by this host while it has no allocator.
    seen : SeenHosts
        The hosts that such a book shares the quotas with.
    gate : AdmissionGate
        Which calls are worth asking for; any thread may ask it.
    standing : bool
        Whether allocators allow some requests unasked while nothing waits.
    early_fallback : bool
        Whether this host uses its fixed share of near targets as soon as its
        allocator misses to answer, beside what that may have given others.
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
    fresh: list[RequestId] = field(default_factory=list)
    queue: list[RequestRow] = field(default_factory=list)
    hosts: tuple[HostId, ...] = ()
    allocator_candidates: tuple[HostId, ...] | None = None
    linked: Mapping[Zone, tuple[HostId, ...]] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    predictor: OutputPredictor = field(default_factory=OutputPredictor)
    stopping: bool = False
    availability_zone: Zone = Zone("")
    quotas: TokenQuotas = field(default_factory=TokenQuotas)
    seen: SeenHosts = field(default_factory=SeenHosts)
    gate: AdmissionGate = field(default_factory=AdmissionGate)
    standing: bool = True
    early_fallback: bool = False

    @property
    def allocators(self) -> tuple[HostId, ...]:
        """Hosts of this zone that may be allocators."""
        return (
            self.hosts
            if self.allocator_candidates is None
            else self.allocator_candidates
        )
