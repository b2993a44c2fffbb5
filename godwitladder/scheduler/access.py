"""State of one host in a pool: its allowances, its grants and its reports.

Pure: times are passed as arguments.
"""

import enum
from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass, field

from godwitladder.decisions.quotas import SpendingHistory
from godwitladder.decisions.types import Grant
from godwitladder.ids import HostId, RequestId, TargetName
from godwitladder.scheduler.exchange import (
    Allowance,
    Completion,
    GrantOffer,
    ThroughputSample,
)
from godwitladder.scheduler.pools import Pool

ALLOCATOR_TIMEOUT_S = 3.0
"""Time without an answer after which a host falls back to its fixed share. It is
longer than the lifetime of a grant: the allocator has then reclaimed the host's
grants and given the capacity to others before the host uses its share."""


UNANSWERED_S = 0.4
"""Time after which a host with waiting requests considers its allocator
unreachable: two answers are then missing. A network partition that drops packets
silently is detected only after 1.5 s, which would make the waiting requests late.
Until then hosts dispatch within their fixed shares, in addition to what the
allocator may have given to others, so a target may queue a few more requests for
about a second."""


WHOLE_S = 1.0
"""Interval between full reports, which also restore what an allocator missed."""
MOST_OUTSTANDING = 64
"""Maximum number of unanswered reports that a host tracks."""


class GrantFate(enum.Enum):
    """Outcome of a grant that this host received."""

    USED = "used"
    GIVEN_BACK = "given_back"
    LAPSED = "lapsed"


@dataclass(frozen=True)
class HeldGrant:
    """A grant and its expiry on the clock of this host."""

    grant: Grant
    until: float


@dataclass(frozen=True)
class DemandNews:
    """Waiting requests to list in a report.

    Attributes
    ----------
    lines : tuple of RequestId
        Requests to list.
    gone : tuple of RequestId
        Requests that the allocator may still list and that no longer wait.
    changes : bool
        Whether ``lines`` and ``gone`` are changes since the last report. If not,
        ``lines`` contains all requests.
    """

    lines: tuple[RequestId, ...]
    gone: tuple[RequestId, ...] = ()
    changes: bool = False


@dataclass
class PoolAccess:
    """State of this host in one pool.

    Attributes
    ----------
    home : bool
        Whether the pool is in the zone of this host.
    allocator : HostId or None
        Host that receives the reports; None if no host is known.
    holder : HostId or None
        Allocator that sent the offers in use; None before the first offer.
    term : int
        Term of ``holder``.
    seen : int
        Number of the last offer received from ``holder``.
    number : int
        Number of the last report sent.
    answered : float
        Time of the last offer, or of the first report after a pause in reporting
        if that is later.
    echoed : int
        Number of the last report that an offer has acknowledged.
    unanswered : tuple of int and float
        Number and time of the first report since ``echoed`` that requested
        grants; the number is 0 if there is none.
    silent_since : float or None
        Time since which the allocator counts as silent; None if it answers.
    dirty : bool
        Whether a change should be reported to the allocator immediately.
    reported : float
        Time of the last report.
    outstanding : deque of tuple of int and float
        Number and time of each unanswered report that requested grants, oldest
        first.
    allowances : dict
        Allowance on each target, from the last offer.
    allowances_expire_at : float
        Expiry of the allowances.
    grants : dict
        Unused grants by request.
    completions : list of Completion
        Requests completed since the last report.
    throughput_samples : dict
        Samples since the last report, by target and by whether they include a
        prefill.
    asked : dict
        Requests for which grants are requested, each with the number of the first
        report that listed it.
    told : set of RequestId
        Requests that the allocator lists, as far as this host knows.
    settled : set of RequestId
        Requests that it has granted or shed since the last report.
    told_whole : float
        Time of the last full report.
    fates : Counter
        Number of grants by outcome since the metrics were last updated.
    history : SpendingHistory
        Tokens that workspaces have spent through this host.
    """

    pool: Pool
    is_local: bool
    allocator: HostId | None = None
    holder: HostId | None = None
    term: int = 0
    seen: int = 0
    number: int = 0
    answered_at: float = 0.0
    echoed: int = 0
    unanswered: tuple[int, float] = (0, 0.0)
    silent_since: float | None = None
    dirty: bool = True
    reported: float = float("-inf")
    outstanding: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=MOST_OUTSTANDING)
    )
    allowances: dict[TargetName, Allowance] = field(default_factory=dict)
    allowances_expire_at: float = 0.0
    grants: dict[RequestId, HeldGrant] = field(default_factory=dict)
    completions: list[Completion] = field(default_factory=list)
    throughput_samples: dict[tuple[TargetName, bool], ThroughputSample] = field(
        default_factory=dict
    )
    asked: dict[RequestId, int] = field(default_factory=dict)
    told: set[RequestId] = field(default_factory=set)
    settled: set[RequestId] = field(default_factory=set)
    told_whole: float = float("-inf")
    fates: Counter[GrantFate] = field(default_factory=Counter)
    history: SpendingHistory = field(default_factory=SpendingHistory)

    def set_allocator(self, allocator: HostId | None, now: float) -> None:
        """Send reports to ``allocator`` from now on.

        Grants and allowances of another allocator are dropped: the reports must
        tell the new one about everything that this host can still use.
        """
        if allocator == self.allocator:
            return
        self.allocator = allocator
        self.answered_at = now
        self.unanswered = (0, 0.0)
        self.outstanding.clear()
        self.dirty = True
        self.drop()

    def drop(self) -> None:
        """Drop all grants and allowances."""
        self.holder, self.term, self.seen = None, 0, 0
        self.allowances = {}
        self.grants = {}
        self.told_whole = float("-inf")

    def take(self, offer: GrantOffer, now: float) -> bool:
        """Apply an offer.

        Returns
        -------
        bool
            False if the offer is outdated, or is not from the allocator that
            this host reports to.
        """
        if self.is_local and self.allocator not in (offer.allocator, offer.via):
            return False
        if (offer.allocator, offer.term) != (self.holder, self.term):
            self.drop()
            self.holder, self.term = offer.allocator, offer.term
        if offer.number <= self.seen:
            return False
        self.seen = offer.number
        self.answered_at = now
        self.echoed = max(self.echoed, offer.acked_report)
        if self.echoed >= self.unanswered[0]:
            self.unanswered = (0, 0.0)
        while self.outstanding and self.outstanding[0][0] <= self.echoed:
            self.outstanding.popleft()
        self.allowances = {row.target: row for row in offer.allowances}
        self.allowances_expire_at = offer.expires_s
        for grant in offer.grants:
            self.grants[grant.request] = HeldGrant(grant, offer.expires_s)
        self.dirty |= offer.report_now or bool(offer.grants)
        # The allocator no longer lists these, whatever happens to them here.
        self.settled.update(grant.request for grant in offer.grants)
        self.settled.update(shed.request for shed in offer.sheds)
        return True

    def next_number(self, now: float) -> int:
        """Return the number of the report to send now, and mark it as sent."""
        if now - self.reported > ALLOCATOR_TIMEOUT_S:
            self.answered_at = now
        self.number += 1
        self.reported = now
        self.dirty = False
        return self.number

    def lapse(self, now: float) -> None:
        """Drop expired grants and allowances.

        A grant that was delayed in transit, or received after a pause of this
        process, is void: the allocator expects that a report sent after the
        expiry no longer includes it, and gives the slot to another host.
        """
        if self.allowances_expire_at <= now:
            self.allowances = {}
        for request, held in list(self.grants.items()):
            if held.until <= now:
                del self.grants[request]
                self.dirty = True
                self.fates[GrantFate.LAPSED] += 1

    def is_cut_off(self, now: float) -> bool:
        """Return whether no allocator can be reached.

        An allocator that has received no report for a while has no reason to
        answer, so its silence doesn't count.
        """
        silent = now - self.answered_at > ALLOCATOR_TIMEOUT_S
        asking = now - self.reported <= ALLOCATOR_TIMEOUT_S
        return self.allocator is None or (silent and asking)

    def tell(self, requests: Collection[RequestId], now: float) -> DemandNews:
        """Record that a report covers ``requests``, and return what it must list."""
        known = self.told | self.settled
        held = self.told - self.settled
        lines = tuple(request for request in requests if request not in held)
        self.told, self.settled = set(requests), set()
        if now - self.told_whole >= WHOLE_S:
            self.told_whole = now
            return DemandNews(tuple(requests))
        gone = tuple(sorted(known - self.told))
        return DemandNews(lines, gone, changes=True)

    def note_asked(self, now: float) -> None:
        """Record that a report is sent that requests grants for ``asked``."""
        if not self.asked:
            # All requests have been granted or shed, so no answer is expected.
            self.outstanding.clear()
            self.unanswered = (0, 0.0)
            return
        self.outstanding.append((self.number, now))
        if not self.unanswered[0]:
            self.unanswered = (self.number, now)

    def behind_s(self, now: float) -> float:
        """Return the age of the oldest unanswered report, in seconds."""
        return now - self.outstanding[0][1] if self.outstanding else 0.0

    def is_unanswered(self, now: float) -> bool:
        """Return whether the allocator's answer to a report is overdue."""
        number, asked_at = self.unanswered
        return number > 0 and now - asked_at > UNANSWERED_S

    def answers(self, request: RequestId) -> bool:
        """Return whether the allocator has answered a report that lists ``request``."""
        return request in self.asked and self.echoed >= self.asked[request]
