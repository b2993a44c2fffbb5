"""One host's side of a pool: what it may use there, and what it reports.

Pure: times are handed in.
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
"""Silence of an allocator after which a host goes by its fixed share. Longer
than a grant lives, so that the allocator has stopped counting the host's
grants, and has given the capacity to others, before the host helps itself."""


UNANSWERED_S = 0.4
"""Time after which a host with requests waiting takes its allocator for out of
reach: two answers are missing. A silent cut is known for one after 1.5 s only, and
what waits for so long is late. What hosts take meanwhile is within their fixed
shares, beside what the allocator may have given others: for a second a target
queues a few more."""


WHOLE_S = 1.0
"""Between two reports that tell an allocator all, also what it has missed."""
MOST_OUTSTANDING = 64
"""Unanswered reports that a host remembers."""


class GrantFate(enum.Enum):
    """What became of a grant that this host was given."""

    USED = "used"
    GIVEN_BACK = "given_back"
    LAPSED = "lapsed"


@dataclass(frozen=True)
class HeldGrant:
    """A grant and the time at which it lapses here."""

    grant: Grant
    until: float


@dataclass(frozen=True)
class DemandNews:
    """What a report tells of the requests that wait.

    Attributes
    ----------
    lines : tuple of RequestId
        Those that need a line.
    gone : tuple of RequestId
        Those that the allocator may know of and that wait no longer.
    changes : bool
        Whether that is what has changed; else the lines are all there are.
    """

    lines: tuple[RequestId, ...]
    gone: tuple[RequestId, ...] = ()
    changes: bool = False


@dataclass
class PoolAccess:
    """What this host knows of and holds in one pool.

    Attributes
    ----------
    home : bool
        Whether the pool is in this host's own zone.
    allocator : HostId or None
        Whom to report to; None where no host is known.
    answered : float
        When the last offer came, or asking began.
    echoed : int
        Number of the last report that an offer has answered.
    unanswered : tuple of int and float
        Number and time of the first report since then that asked for requests;
        0 for none.
    silent_since : float or None
        Since when the allocator is taken for silent; None while it is not.
    dirty : bool
        Whether something has changed that the allocator should know at once.
    reported : float
        When the last report was sent.
    outstanding : deque of tuple of int and float
        Number and time of each report that asked for requests and is not
        answered yet, the oldest first.
    told : set of RequestId
        Requests of which the allocator holds a line, as far as this host knows.
    settled : set of RequestId
        Requests that it has granted or shed since the last report.
    told_whole : float
        When it was last told of all requests.
    fates : Counter
        Grants by what became of them, since they were last counted.
    history : SpendingHistory
        Tokens of workspaces that were spent here.
    """

    pool: Pool
    is_local: bool
    allocator: HostId | None = None
    holder: HostId | None = None
    term: int = 0
    last_offer: int = 0
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
        """Report to ``allocator`` from now on.

        What another one gave is dropped: the new one must be able to count
        on hearing of everything that this host can still use.
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
        """Give up everything held."""
        self.holder, self.term, self.last_offer = None, 0, 0
        self.allowances = {}
        self.grants = {}
        self.told_whole = float("-inf")

    def take(self, offer: GrantOffer, now: float) -> bool:
        """Take in an offer; return False for one that is late or foreign."""
        if self.is_local and self.allocator not in (offer.allocator, offer.via):
            return False
        if (offer.allocator, offer.term) != (self.holder, self.term):
            self.drop()
            self.holder, self.term = offer.allocator, offer.term
        if offer.number <= self.last_offer:
            return False
        self.last_offer = offer.number
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
        # The allocator has dropped their lines, whatever becomes of them here.
        self.settled.update(grant.request for grant in offer.grants)
        self.settled.update(shed.request for shed in offer.sheds)
        return True

    def next_number(self, now: float) -> int:
        """Return the number of a report that is sent now."""
        if now - self.reported > ALLOCATOR_TIMEOUT_S:
            self.answered_at = now
        self.number += 1
        self.reported = now
        self.dirty = False
        return self.number

    def lapse(self, now: float) -> None:
        """Drop what may no longer be used.

        A grant that was held up on its way, or taken in after a pause of this
        process, is void: the allocator takes it that a report sent from now
        on leaves it out, and gives the slot to another host.
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

        One that was not asked for a while has had no reason to answer.
        """
        silent = now - self.answered_at > ALLOCATOR_TIMEOUT_S
        asking = now - self.reported <= ALLOCATOR_TIMEOUT_S
        return self.allocator is None or (silent and asking)

    def tell(self, requests: Collection[RequestId], now: float) -> DemandNews:
        """Note that a report tells of ``requests``, and return what it has to hold."""
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
        """A report is sent that asks for the requests in ``asked``."""
        if not self.asked:
            # What was asked for is settled, and nobody owes an answer.
            self.outstanding.clear()
            self.unanswered = (0, 0.0)
            return
        self.outstanding.append((self.number, now))
        if not self.unanswered[0]:
            self.unanswered = (self.number, now)

    def behind_s(self, now: float) -> float:
        """Return for how long the oldest unanswered report has been on its way."""
        return now - self.outstanding[0][1] if self.outstanding else 0.0

    def is_unanswered(self, now: float) -> bool:
        """Return whether the allocator has missed to answer for a moment."""
        number, asked_at = self.unanswered
        return number > 0 and now - asked_at > UNANSWERED_S

    def answers(self, request: RequestId) -> bool:
        """Return whether the allocator has answered a report of ``request``."""
        return request in self.asked and self.echoed >= self.asked[request]
