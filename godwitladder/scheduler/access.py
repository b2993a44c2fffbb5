"""State of one host in a pool: its allowances, its grants and its reports.

Pure: times are passed as arguments.
"""

import enum
import math
from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from godwitladder.decisions.limits.spending import Issuer
from godwitladder.decisions.types import Grant
from godwitladder.ids import HostId, RequestId, TargetName
from godwitladder.scheduler.exchange import (
    Allowance,
    Completion,
    GrantOffer,
    ThroughputSample,
)
from godwitladder.scheduler.pools import Pool

if TYPE_CHECKING:
    from godwitladder.scheduler.messages import SlowdownStated

ALLOCATOR_TIMEOUT_S = 3.0
"""Time without an answer after which a host falls back to its fixed share. It is
longer than the lifetime of a grant: the allocator has then reclaimed the host's
grants and given the capacity to others before the host uses its share."""


ANSWER_TIMEOUT_S = 0.4
"""Time after which a host with waiting requests considers its allocator
unreachable: two answers are then missing. A network partition that drops packets
silently is detected only after 1.5 s, which would make the waiting requests late.
In the meantime hosts dispatch within their fixed shares, in addition to what the
allocator may have given to others, so a target may queue a few more requests for
about a second."""


SLOW_ANSWER_S = 0.25
"""Time by which an answer may exceed the least one before the allocator counts as
slow and is sent fewer reports. An allocator that keeps up answers within a fifth of a
second plus one tick of its own."""
LEAST_ANSWER_RISE_S = 0.001
"""Rise of the least time of an answer with each answer, so that one quick answer
does not count for good."""
FULL_REPORT_INTERVAL_S = 1.0
"""Interval between full reports, which also restore what an allocator missed."""
MAX_OUTSTANDING_REPORTS = 64
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
    expires_at: float


@dataclass(frozen=True)
class DemandUpdate:
    """Waiting requests to list in a report.

    Attributes
    ----------
    requests : tuple of RequestId
        Requests to list.
    removed : tuple of RequestId
        Requests that the allocator may still list and that no longer wait.
    incremental : bool
        Whether ``requests`` and ``removed`` are changes since the last report. If not,
        ``requests`` contains all of them.
    """

    requests: tuple[RequestId, ...]
    removed: tuple[RequestId, ...] = ()
    incremental: bool = False


@dataclass
class PoolAccess:
    """State of this host in one pool.

    Attributes
    ----------
    is_local : bool
        Whether the pool is in the zone of this host.
    allocator : HostId or None
        Host that receives the reports; None if no host is known.
    holder : HostId or None
        Allocator that sent the offers in use; None before the first offer.
    term : int
        Term of ``holder``.
    last_offer : int
        Number of the last offer received from ``holder``.
    last_report : int
        Number of the last report sent.
    answered_at : float
        Time of the last offer, or of the first report after a pause in reporting
        if that is later.
    acked_report : int
        Number of the last report that an offer has acknowledged.
    first_unanswered : tuple of int and float
        Number and time of the first report since ``acked_report`` that requested
        grants; the number is 0 if there is none.
    silent_since : float or None
        Time since which the allocator counts as silent; None if it answers.
    dirty : bool
        Whether a change should be reported to the allocator immediately.
    reported_at : float
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
    requested : dict
        Requests for which grants are requested, each with the number of the first
        report that listed it.
    listed : set of RequestId
        Requests that the allocator lists, as far as this host knows.
    decided : set of RequestId
        Requests that it has granted or shed since the last report.
    full_report_at : float
        Time of the last full report.
    least_answer_s : float
        About the least time in which the allocator has answered a report, in seconds.
    fates : Counter
        Number of grants by outcome since the metrics were last updated.
    changed_targets : set of TargetName
        Targets that have stated something new to this host since the last report.
    brittle_refusals : set of TargetName
        Brittle targets that have refused a request since the last report.
    counts_listed_at : float
        Time of the last report that listed the answers of versions.
    slowdowns : dict
        What targets have stated since the last report of how long work takes.
    spent_alone : bool
        Whether this host has spent tokens without a grant since it last listed them.
    spending_listed_at : float
        Time of the last report that listed what workspaces have spent.
    own_tokens : int
        Tokens of quotas that this host has spent without grants, since it last
        logged them.
    """

    pool: Pool
    is_local: bool
    allocator: HostId | None = None
    holder: HostId | None = None
    term: int = 0
    last_offer: int = 0
    last_report: int = 0
    answered_at: float = 0.0
    acked_report: int = 0
    first_unanswered: tuple[int, float] = (0, 0.0)
    silent_since: float | None = None
    dirty: bool = True
    reported_at: float = float("-inf")
    outstanding: deque[tuple[int, float]] = field(
        default_factory=lambda: deque(maxlen=MAX_OUTSTANDING_REPORTS)
    )
    allowances: dict[TargetName, Allowance] = field(default_factory=dict)
    allowances_expire_at: float = 0.0
    grants: dict[RequestId, HeldGrant] = field(default_factory=dict)
    completions: list[Completion] = field(default_factory=list)
    throughput_samples: dict[tuple[TargetName, bool], ThroughputSample] = field(
        default_factory=dict
    )
    requested: dict[RequestId, int] = field(default_factory=dict)
    listed: set[RequestId] = field(default_factory=set)
    decided: set[RequestId] = field(default_factory=set)
    full_report_at: float = float("-inf")
    least_answer_s: float = math.inf
    fates: Counter[GrantFate] = field(default_factory=Counter)
    changed_targets: set[TargetName] = field(default_factory=set)
    brittle_refusals: set[TargetName] = field(default_factory=set)
    counts_listed_at: float = float("-inf")
    slowdowns: dict[TargetName, "SlowdownStated"] = field(default_factory=dict)
    spent_alone: bool = False
    spending_listed_at: float = float("-inf")
    own_tokens: int = 0

    @property
    def issuer(self) -> Issuer | None:
        """Allocator whose offers are in use, in its term; None before the first."""
        return None if self.holder is None else Issuer(self.holder, self.term)

    def set_allocator(self, allocator: HostId | None, now: float) -> None:
        """Send reports to ``allocator`` from now on.

        Grants and allowances of another allocator are dropped: the reports must
        tell the new one about everything that this host can still use.
        """
        if allocator == self.allocator:
            return
        self.allocator = allocator
        self.answered_at = now
        self.first_unanswered = (0, 0.0)
        self.outstanding.clear()
        self.dirty = True
        self.drop()

    def drop(self) -> None:
        """Drop all grants and allowances."""
        self.holder, self.term, self.last_offer = None, 0, 0
        self.allowances = {}
        self.grants = {}
        self.full_report_at = float("-inf")

    def apply_offer(self, offer: GrantOffer, now: float) -> bool:
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
        if offer.number <= self.last_offer:
            return False
        self.last_offer = offer.number
        self.answered_at = now
        self.acked_report = max(self.acked_report, offer.acked_report)
        if self.acked_report >= self.first_unanswered[0]:
            self.first_unanswered = (0, 0.0)
        self.record_answer(now)
        self.allowances = {row.target: row for row in offer.allowances}
        self.allowances_expire_at = offer.expires_s
        for grant in offer.grants:
            self.grants[grant.request] = HeldGrant(grant, offer.expires_s)
        self.dirty |= offer.report_now or bool(offer.grants)
        # The allocator no longer lists these, whatever happens to them here.
        self.decided.update(grant.request for grant in offer.grants)
        self.decided.update(shed.request for shed in offer.sheds)
        return True

    def record_answer(self, now: float) -> None:
        """Record that the reports up to `acked_report` have been answered."""
        answer_s = math.inf
        while self.outstanding and self.outstanding[0][0] <= self.acked_report:
            answer_s = now - self.outstanding.popleft()[1]
        self.least_answer_s = min(answer_s, self.least_answer_s + LEAST_ANSWER_RISE_S)

    def is_slow(self, now: float) -> bool:
        """Return whether reports queue up on the way to the allocator.

        On a long way every answer is late, and fewer reports would not hasten it.
        """
        age_s = self.oldest_report_age_s(now)
        return age_s > self.least_answer_s + SLOW_ANSWER_S

    def next_number(self, now: float) -> int:
        """Return the number of the report to send now, and mark it as sent."""
        if now - self.reported_at > ALLOCATOR_TIMEOUT_S:
            self.answered_at = now
        self.last_report += 1
        self.reported_at = now
        self.dirty = False
        return self.last_report

    def expire(self, now: float) -> None:
        """Drop expired grants and allowances.

        A grant that was delayed in transit, or received after a pause of this
        process, is void: the allocator expects that a report sent after the
        expiry no longer includes it, and gives the slot to another host.
        """
        if self.allowances_expire_at <= now:
            self.allowances = {}
        for request, held in list(self.grants.items()):
            if held.expires_at <= now:
                del self.grants[request]
                self.dirty = True
                self.fates[GrantFate.LAPSED] += 1

    def is_cut_off(self, now: float) -> bool:
        """Return whether no allocator can be reached.

        An allocator that has received no report for a while has no reason to
        answer, so its silence doesn't count.
        """
        silent = now - self.answered_at > ALLOCATOR_TIMEOUT_S
        is_reporting = now - self.reported_at <= ALLOCATOR_TIMEOUT_S
        return self.allocator is None or (silent and is_reporting)

    def record_listed(
        self, requests: Collection[RequestId], now: float
    ) -> DemandUpdate:
        """Record that a report covers ``requests``, and return what it must list."""
        known = self.listed | self.decided
        held = self.listed - self.decided
        added = tuple(request for request in requests if request not in held)
        self.listed, self.decided = set(requests), set()
        if now - self.full_report_at >= FULL_REPORT_INTERVAL_S:
            self.full_report_at = now
            return DemandUpdate(tuple(requests))
        removed = tuple(sorted(known - self.listed))
        return DemandUpdate(added, removed, incremental=True)

    def record_requested(self, now: float) -> None:
        """Record that a report is sent that requests grants for ``requested``."""
        if not self.requested:
            # All requests have been granted or shed, so no answer is expected.
            self.outstanding.clear()
            self.first_unanswered = (0, 0.0)
            return
        self.outstanding.append((self.last_report, now))
        if not self.first_unanswered[0]:
            self.first_unanswered = (self.last_report, now)

    def oldest_report_age_s(self, now: float) -> float:
        """Return the age of the oldest unanswered report, in seconds."""
        return now - self.outstanding[0][1] if self.outstanding else 0.0

    def is_answer_overdue(self, now: float) -> bool:
        """Return whether the allocator's answer to a report is overdue."""
        number, reported_at = self.first_unanswered
        return number > 0 and now - reported_at > ANSWER_TIMEOUT_S

    def has_answered(self, request: RequestId) -> bool:
        """Return whether the allocator has answered a report that lists ``request``."""
        return (
            request in self.requested and self.acked_report >= self.requested[request]
        )
