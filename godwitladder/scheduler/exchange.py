"""What hosts and allocators send each other.

A host sends each allocator one report, which holds its demand, its use, and
what it has completed. Of the demand most reports tell only what has changed, and
one in a while tells all, for an allocator that is new or has missed something.
Use and demand are in one message, since a request that leaves the demand
appears in the use, and a reader that saw only one of the two would count it
twice or not at all. The allocator answers with an offer, which likewise holds
allowances, grants and sheds.

Hosts share no clock. A report is stamped by its host's own clock, and an
offer says on that same clock when it lapses: so many seconds after the sending
of the report that it answers. The allocator frees what it gave only when a
report *sent* after that moment has come, which no longer holds it. So it never
gives out what a host may still use, however long either end was paused or a
message was on its way.
"""

from dataclasses import dataclass

from godwitladder.decisions.admission import AdmissionShare
from godwitladder.decisions.quotas import WorkspaceSpending
from godwitladder.decisions.types import Grant, PoolName, RequestDemand, Shed, TargetUse
from godwitladder.ids import (
    HostId,
    Incarnation,
    RequestId,
    ServiceName,
    TargetName,
    WorkspaceName,
)
from godwitladder.membership.codec import peer_message

NO_RANK = -1


@dataclass(frozen=True)
class TierCount:
    """Waiting requests of one tier that have no line of their own."""

    tier_rank: int
    count: int


@dataclass(frozen=True)
class WorkspaceUse:
    """Running requests of one workspace with a quota."""

    workspace: WorkspaceName
    running: int


@dataclass(frozen=True)
class Completion:
    """One request that came to its end; times from its dispatch on.

    Attributes
    ----------
    first_token_s : float
        0 where it is not known.
    """

    target: TargetName
    workspace: WorkspaceName
    service: ServiceName
    prompt_tokens: int
    output_tokens: int
    first_token_s: float
    total_s: float


@dataclass(frozen=True)
class ThroughputSample:
    """Work that a target has done, or should have done by now.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Prompts read and tokens produced, over all requests of the host.
    taken_s : float
        Seconds that the requests took for it, added up.
    open : bool
        Whether the work is not done yet; then the tokens are what the
        requests wait for, and only a ``taken_s`` that is too long says anything.
    """

    target: TargetName
    prompt_tokens: int
    output_tokens: int
    taken_s: float
    in_progress: bool = False


@dataclass(frozen=True)
class Allowance:
    """How much a host may have on a target without asking for each request.

    A bound on what runs, not a number of grants to be used up: it can be
    renewed while a report is on its way without being counted twice.

    Attributes
    ----------
    running : int
        Requests of the host on the target, those now running included.
    tokens : int
        Tokens of memory that these may hold.
    """

    target: TargetName
    running: int
    tokens: int


@peer_message
@dataclass(frozen=True)
class PoolReport:
    """What one host wants from and has in one pool.

    Attributes
    ----------
    number : int
        Counts the host's reports on this pool.
    sent_s : float
        When it was sent, by the host's own clock; only differences count.
    term, seen : int
        The allocator's term, and the last of its offers taken in.
    uses : tuple of TargetUse
        Requests running, and grants held for requests that can't go yet.
    lines : tuple of RequestDemand
        The first requests in the host's order; if the report tells of changes,
        those of them that the reports before it did not hold.
    rest : tuple of TierCount
        Those without a line.
    stretches : tuple of Stretch
        How fast targets were since the last report: at most two for each.
    avoided : tuple of TargetName
        Targets that this host could not connect to a moment ago.
    spent : tuple of Spent
        Tokens that workspaces spent by this host, for an allocator that has
        not answered yet and may be new.
    known_s : float
        For how many seconds back ``spent`` misses nothing.
    via : str
        The host that passed the report on; empty if none did.
    changes : bool
        Whether ``lines`` and ``gone`` are what has changed since the last report.
    gone : tuple of RequestId
        Requests that have no line any more.
    """

    host: HostId
    incarnation: Incarnation
    pool: PoolName
    number: int
    sent_s: float
    term: int
    acked_offer: int
    uses: tuple[TargetUse, ...] = ()
    workspaces: tuple[WorkspaceUse, ...] = ()
    demands: tuple[RequestDemand, ...] = ()
    unlisted: tuple[TierCount, ...] = ()
    avoided: tuple[TargetName, ...] = ()
    completions: tuple[Completion, ...] = ()
    throughput_samples: tuple[ThroughputSample, ...] = ()
    spent: tuple[WorkspaceSpending, ...] = ()
    known_s: float = 0.0
    via: HostId = HostId("")
    incremental: bool = False
    removed: tuple[RequestId, ...] = ()


@peer_message
@dataclass(frozen=True)
class GrantOffer:
    """What an allocator gives one host; its allowances replace earlier ones.

    Attributes
    ----------
    term : int
        Drawn by the allocator when it took the role; a higher one is newer.
    number : int
        Counts the allocator's offers to this host.
    echo : int
        Number of the last report it took in from this host.
    expires_s : float
        When all of this lapses, by the clock of the host it is for.
    urgent : bool
        Whether the host is to report at once, since something was taken back.
    spill : tuple of RequestId
        Requests that should be asked for in other zones too.
    via : str
        The host that passed on the report which this answers; empty if none did.
    shares : tuple of AdmissionShare
        Workspaces of whose calls only a part is to be asked for.
    """

    host: HostId
    incarnation: Incarnation
    allocator: HostId
    pool: PoolName
    term: int
    number: int
    acked_report: int
    expires_s: float
    report_now: bool = False
    allowances: tuple[Allowance, ...] = ()
    grants: tuple[Grant, ...] = ()
    sheds: tuple[Shed, ...] = ()
    spill: tuple[RequestId, ...] = ()
    via: HostId = HostId("")
    shares: tuple[AdmissionShare, ...] = ()


@peer_message
@dataclass(frozen=True)
class FloorReport:
    """What tiers one allocator keeps and sheds, for those of other zones.

    Attributes
    ----------
    pool, to : PoolName
        The pool it is about, and the pool whose allocator it is for.
    floor : int
        Highest rank number still waiting, or NO_RANK.
    shed_rank : int
        Lowest rank number lately shed under overload, or NO_RANK.
    """

    pool: PoolName
    to: PoolName
    floor: int
    shed_rank: int
    via: HostId = HostId("")
