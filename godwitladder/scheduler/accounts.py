"""What an allocator counts against each host: use, allowances and grants.

Pure: times are handed in.
"""

import operator
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from godwitladder.decisions.types import Grant, RequestDemand, TargetUse
from godwitladder.ids import (
    HostId,
    Incarnation,
    RequestId,
    TargetName,
    WorkspaceName,
)
from godwitladder.scheduler.exchange import Allowance, PoolReport


class Counted(NamedTuple):
    """Requests and tokens that count against a target."""

    running: int = 0
    tokens: int = 0
    unread: int = 0
    unread_requests: int = 0

    def __add__(self, other: "Counted") -> "Counted":
        return Counted(*map(operator.add, self, other))


NOTHING = Counted()


def add_up(counts: Iterable[Mapping[TargetName, Counted]]) -> dict[TargetName, Counted]:
    """Return the sum for each target."""
    rows: dict[TargetName, list[Counted]] = {}
    for count in counts:
        for name, row in count.items():
            rows.setdefault(name, []).append(row)
    return {
        name: Counted(*map(sum, zip(*row, strict=True))) for name, row in rows.items()
    }


@dataclass(frozen=True)
class SentAllowances:
    """The allowances of one offer; they replace those of offers before it.

    Attributes
    ----------
    expires_s : float
        When they lapse, by the host's own clock.
    """

    number: int
    expires_s: float
    allowances: dict[TargetName, Allowance]


@dataclass(frozen=True)
class SentGrant:
    """One grant of one offer, for a request of ``workspace``."""

    number: int
    expires_s: float
    grant: Grant
    workspace: WorkspaceName
    prompt_tokens: int = 0


@dataclass
class HostAccount:
    """One process of one host, as an allocator knows it.

    What was sent counts until a report says that it was taken in, from then on
    that report's use holds whatever became of it, or until a report comes that
    was sent after it lapsed. A host that is silent keeps all that it was given:
    it may have used it in the moment before its connection was lost.

    Attributes
    ----------
    via : str
        The host that passes messages on; empty if there is a link.
    received, sent_s : int, float
        Number of the last report, and when the host sent it by its own clock.
    echoed : int
        Number of the last report that an offer has answered.
    heard, offered : float
        When it was taken in, and when the last offer was sent.
    next_number : int
        Number of the next offer.
    known_counted, known_running : dict or None
        Kept from one run to the next until anything that they are made of changes.
    """

    host: HostId
    incarnation: Incarnation
    via: HostId = HostId("")
    received: int = 0
    echoed: int = 0
    sent_s: float = 0.0
    heard: float = 0.0
    offered: float = float("-inf")
    next_number: int = 1
    uses: dict[TargetName, TargetUse] = field(default_factory=dict)
    workspaces: dict[WorkspaceName, int] = field(default_factory=dict)
    demands: dict[RequestId, RequestDemand] = field(default_factory=dict)
    more_waiting: int = 0
    avoided: frozenset[TargetName] = frozenset()
    allowances: deque[SentAllowances] = field(default_factory=deque)
    grants: dict[RequestId, SentGrant] = field(default_factory=dict)
    known_counted: dict[TargetName, Counted] | None = None
    known_running: dict[TargetName, Counted] | None = None

    def take(self, report: PoolReport, seen: int, now: float) -> bool:
        """Take in a report; return False for one that came out of order."""
        if report.number <= self.received:
            return False
        self.forget_counts()
        self.received = report.number
        self.sent_s = report.sent_s
        self.heard = now
        self.via = report.via
        self.uses = {use.target: use for use in report.uses}
        self.workspaces = {use.workspace: use.running for use in report.workspaces}
        self.more_waiting = sum(row.count for row in report.unlisted)
        self.avoided = frozenset(report.avoided)
        self._acknowledge(seen)
        self._lapse()
        self._take_lines(report)
        return True

    def note_grant(self, sent: SentGrant) -> None:
        """Count a grant that an offer brings."""
        self.grants[sent.grant.request] = sent
        self.forget_counts()

    def note_allowances(self, sent: SentAllowances) -> None:
        """Count the allowances of an offer."""
        self.allowances.append(sent)
        self.forget_counts()

    def forget_counts(self) -> None:
        """Let the counts be worked out anew."""
        self.known_counted = self.known_running = None

    def _take_lines(self, report: PoolReport) -> None:
        if not report.incremental:
            self.demands = {}
        for request in report.removed:
            self.demands.pop(request, None)
        for line in report.demands:
            # A line whose grant is still on its way must not be granted again:
            # the host would have two targets held for one request until both lapse.
            if line.request not in self.grants:
                self.demands[line.request] = line

    def _acknowledge(self, seen: int) -> None:
        while len(self.allowances) > 1 and self.allowances[1].number <= seen:
            self.allowances.popleft()
        for request, sent in list(self.grants.items()):
            if sent.number <= seen:
                del self.grants[request]

    def _lapse(self) -> None:
        while self.allowances and self.allowances[0].expires_s <= self.sent_s:
            self.allowances.popleft()
        for request, sent in list(self.grants.items()):
            if sent.expires_s <= self.sent_s:
                del self.grants[request]

    def counted(self) -> dict[TargetName, Counted]:
        """Return the most that the host may have on each target by now."""
        if self.known_counted is None:
            self.known_counted = self._count_most()
        return self.known_counted

    def running(self) -> dict[TargetName, Counted]:
        """Return what runs by the last report, or is granted by name."""
        if self.known_running is None:
            self.known_running = self._count_running()
        return self.known_running

    def _count_most(self) -> dict[TargetName, Counted]:
        most = {
            name: Counted(
                use.running,
                use.reserved_tokens,
                use.pending_prefill_tokens,
                use.pending_prefill_requests,
            )
            for name, use in self.uses.items()
        }
        for sent in self.allowances:
            for name, allowance in sent.allowances.items():
                held = most.get(name, NOTHING)
                most[name] = Counted(
                    max(held.running, allowance.running),
                    max(held.tokens, allowance.tokens),
                    held.unread,
                    held.unread_requests,
                )
        return self._add_granted(most)

    def _count_running(self) -> dict[TargetName, Counted]:
        known = {
            name: Counted(use.running, use.reserved_tokens)
            for name, use in self.uses.items()
        }
        return self._add_granted(known)

    def _add_granted(
        self, counts: dict[TargetName, Counted]
    ) -> dict[TargetName, Counted]:
        for sent in self.grants.values():
            grant = sent.grant
            held = counts.get(grant.target, NOTHING)
            counts[grant.target] = held + Counted(
                1, grant.reserved_tokens, sent.prompt_tokens, 1
            )
        return counts

    def workspace_running(self, name: WorkspaceName) -> int:
        """Return the requests of a workspace that run or are granted by name."""
        granted = sum(sent.workspace == name for sent in self.grants.values())
        return self.workspaces.get(name, 0) + granted

    def allowed(self) -> dict[TargetName, Allowance]:
        """Return the allowances of the last offer that has not lapsed."""
        return self.allowances[-1].allowances if self.allowances else {}

    def holds_allowances(self) -> bool:
        """Return whether the last offer allowed anything beyond what runs."""
        return bool(self.allowed())
