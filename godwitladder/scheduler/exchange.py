"""Messages between hosts and allocators.

A host sends each allocator reports that contain its demand (waiting requests),
its use (running requests) and its completions. Most reports are incremental:
they contain only the changes in demand. A full report follows at intervals, for
an allocator that is new or has missed a report. Demand and use are in the same
message because a request that leaves the demand appears in the use: a reader
that saw only one of the two would count it twice or not at all. For the same
reason the allocator answers with a single offer that contains allowances, grants
and sheds.

Hosts don't share a clock. A report is timestamped with the clock of its host, and
the expiry of an offer is given on that same clock, as a fixed time after the
report that it answers was sent. The allocator reclaims what it gave only when it
receives a report that was *sent* after the expiry and no longer includes it. It
therefore never reassigns capacity that a host may still use, no matter how long
either process was paused or a message was delayed.
"""

from dataclasses import dataclass

from godwitladder.decisions.health.departures import Departure
from godwitladder.decisions.limits.cooldowns import RemainingCooldown
from godwitladder.decisions.limits.rate_limits import StatedLimit
from godwitladder.decisions.limits.spending import WorkspaceSpending
from godwitladder.decisions.placing.stated_load import TargetSlowdown
from godwitladder.decisions.types import Grant, PoolName, RequestDemand, Shed, TargetUse
from godwitladder.decisions.waiting.admission import AdmissionShare
from godwitladder.ids import (
    HostId,
    Incarnation,
    RequestId,
    ServiceName,
    TargetName,
    WorkspaceName,
)
from godwitladder.membership.codec import peer_message
from godwitladder.rollouts.messages import (
    CondemnedVersion,
    OrderAge,
    ProvedVersion,
    VersionCounts,
)

NO_RANK = -1
NO_TERM = 0


@dataclass(frozen=True)
class TierCount:
    """Number of waiting requests of one tier that are not listed one by one."""

    tier_rank: int
    count: int


@dataclass(frozen=True)
class WorkspaceUse:
    """Number of running requests of one workspace that has a quota."""

    workspace: WorkspaceName
    running: int


@dataclass(frozen=True)
class Completion:
    """A completed request.

    Attributes
    ----------
    first_token_s : float
        Seconds from dispatch to the first token; 0 if unknown.
    total_s : float
        Seconds from dispatch to the end of the request.
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
    """Work of a target and the time that it took.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Prompt tokens processed and output tokens produced, summed over all
        requests of the host.
    taken_s : float
        Seconds that the work took, summed over the requests.
    in_progress : bool
        Whether the work is unfinished. The tokens are then those that the
        requests are waiting for, and ``taken_s`` is a lower bound: it shows that
        the target is slow if it is too long, and nothing otherwise.
    """

    target: TargetName
    prompt_tokens: int
    output_tokens: int
    taken_s: float
    in_progress: bool = False


@dataclass(frozen=True)
class Allowance:
    """Capacity of a target that a host may use without asking for each request.

    An allowance limits what runs concurrently; it is not a number of grants to
    be used up. It can therefore be renewed while a report is in transit without
    being counted twice.

    Attributes
    ----------
    running : int
        Maximum number of requests of the host on the target, including those
        that are running now.
    tokens : int
        Maximum number of tokens of memory that these requests may reserve.
    """

    target: TargetName
    running: int
    tokens: int


@peer_message
@dataclass(frozen=True)
class PoolReport:
    """Demand and use of one host in one pool.

    Attributes
    ----------
    number : int
        Sequence number of the host's reports on this pool.
    sent_s : float
        Time of sending in seconds, on the clock of the host. Only differences
        between such times are meaningful.
    term, acked_offer : int
        Term of the allocator, and number of the last offer received from it; `NO_TERM`
        and 0 if it has not answered yet.
    uses : tuple of TargetUse
        Running requests, and grants held for requests that can't be dispatched
        yet.
    workspaces : tuple of WorkspaceUse
        Running requests of the workspaces that have a quota.
    demands : tuple of RequestDemand
        Waiting requests that are listed one by one: the first and the last ones
        in the dispatch order of the host. An incremental report contains only
        those that previous reports did not.
    unlisted : tuple of TierCount
        Number of all other waiting requests, by tier.
    avoided : tuple of TargetName
        Targets to which the host recently failed to connect.
    completions : tuple of Completion
        Requests completed since the last report.
    throughput_samples : tuple of ThroughputSample
        Speed of targets since the last report: for each target at most two samples
        of finished work and one of work in progress.
    spent : tuple of WorkspaceSpending
        Tokens that workspaces spent through this host, except by the grants of the
        allocator that the report goes to.
    covered_s : float
        Number of past seconds for which ``spent`` is complete.
    via : str
        Host that forwarded the report; empty if it came directly.
    incremental : bool
        Whether ``demands`` and ``removed`` are changes since the last report. If
        not, ``demands`` replaces all earlier ones.
    removed : tuple of RequestId
        Requests that are no longer listed.
    rate_limits : tuple of StatedLimit
        Rate limits of targets: in a full report all that were stated just now, or all
        that the host knows if the allocator has not answered it; otherwise those that
        have changed.
    departures : tuple of Departure
        Targets that have stated that they leave: all that the host knows in a full
        report, and otherwise new ones.
    cooldowns : tuple of RemainingCooldown
        Targets that want no requests from the host for a while: all in a full report,
        and otherwise new ones.
    brittle_refusals : tuple of TargetName
        Brittle targets that have refused a request of the host since its last report.
    lists_spending : bool
        Whether ``spent`` is the whole list, which replaces earlier ones. It is in full
        reports, in those before the first answer of an allocator, in others a few
        times per second, and in the next one after spending without a grant.
    version_counts : tuple of VersionCounts
        Answers of the versions of services with a rollout: all in a full report, and
        otherwise those that have changed.
    order_ages : tuple of OrderAge
        Ages of rollouts, in full reports.
    condemned : tuple of CondemnedVersion
    proved : tuple of ProvedVersion
        Outcomes of rollouts that the host knows, in full reports.
    slowdowns : tuple of TargetSlowdown
        How long work takes on targets that have stated it since the last report.
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
    covered_s: float = 0.0
    via: HostId = HostId("")
    incremental: bool = False
    removed: tuple[RequestId, ...] = ()
    rate_limits: tuple[StatedLimit, ...] = ()
    departures: tuple[Departure, ...] = ()
    cooldowns: tuple[RemainingCooldown, ...] = ()
    brittle_refusals: tuple[TargetName, ...] = ()
    lists_spending: bool = False
    version_counts: tuple[VersionCounts, ...] = ()
    order_ages: tuple[OrderAge, ...] = ()
    condemned: tuple[CondemnedVersion, ...] = ()
    proved: tuple[ProvedVersion, ...] = ()
    slowdowns: tuple[TargetSlowdown, ...] = ()


@peer_message
@dataclass(frozen=True)
class GrantOffer:
    """Decisions of an allocator for one host.

    Attributes
    ----------
    term : int
        Chosen by the allocator when it took the role; a higher term is newer.
    number : int
        Sequence number of the allocator's offers to this host.
    acked_report : int
        Number of the last report received from this host.
    expires_s : float
        Expiry of the offer in seconds, on the clock of the receiving host.
    report_now : bool
        Whether the host is to report immediately because an allowance was
        withdrawn.
    allowances : tuple of Allowance
        Replace the allowances of all earlier offers.
    grants : tuple of Grant
        Requests that may be dispatched, each to one target.
    sheds : tuple of Shed
        Requests that are shed.
    spill : tuple of RequestId
        Requests that should also be reported to other zones.
    via : str
        Host that forwarded the report which this offer answers; empty if the
        report came directly.
    shares : tuple of AdmissionShare
        Workspaces for which hosts report only a share of the calls.
    rate_limits : tuple of StatedLimit
        All rate limits that the allocator knows, if they have changed since the
        last offer to this host.
    condemned : tuple of CondemnedVersion
        Versions that get nothing more.
    proved : tuple of ProvedVersion
        Versions that have replaced the old one.
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
    rate_limits: tuple[StatedLimit, ...] = ()
    condemned: tuple[CondemnedVersion, ...] = ()
    proved: tuple[ProvedVersion, ...] = ()


@peer_message
@dataclass(frozen=True)
class FloorReport:
    """Tiers that an allocator keeps and sheds, for allocators of other zones.

    Attributes
    ----------
    pool, to : PoolName
        The pool described, and the pool whose allocator receives the report.
    floor : int
        Highest rank number still waiting, which is the least important tier, or
        NO_RANK.
    shed_rank : int
        Lowest rank number recently shed under overload, or NO_RANK.
    via : str
        Host that forwarded the report; empty if it came directly.
    """

    pool: PoolName
    to: PoolName
    floor: int
    shed_rank: int
    via: HostId = HostId("")
