"""Accounts of what an allocator counts against each host.

An account contains the reported use of a host, its allowances and its grants.

Pure: times are passed in as arguments.
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


class Usage(NamedTuple):
    """Requests and tokens that count against a target.

    Attributes
    ----------
    running : int
        Number of requests.
    tokens : int
        Tokens of memory reserved for them.
    pending_prefill_tokens, pending_prefill_requests : int
        Prompt tokens of requests without any output yet, and the number of these
        requests.
    """

    running: int = 0
    tokens: int = 0
    pending_prefill_tokens: int = 0
    pending_prefill_requests: int = 0

    def __add__(self, other: "Usage") -> "Usage":
        return Usage(*map(operator.add, self, other))


NO_USAGE = Usage()


def sum_usage(counts: Iterable[Mapping[TargetName, Usage]]) -> dict[TargetName, Usage]:
    """Return the sum of all usages, by target."""
    rows: dict[TargetName, list[Usage]] = {}
    for count in counts:
        for name, row in count.items():
            rows.setdefault(name, []).append(row)
    return {
        name: Usage(*map(sum, zip(*row, strict=True))) for name, row in rows.items()
    }


@dataclass(frozen=True)
class SentAllowances:
    """Allowances of one offer, which replace those of earlier offers.

    Attributes
    ----------
    number : int
        Number of the offer.
    expires_s : float
        Expiry in seconds, on the clock of the host.
    allowances : dict
        The allowances by target.
    """

    number: int
    expires_s: float
    allowances: dict[TargetName, Allowance]


@dataclass(frozen=True)
class SentGrant:
    """One grant of an offer.

    Attributes
    ----------
    number : int
        Number of the offer.
    expires_s : float
        Expiry in seconds, on the clock of the host.
    workspace : WorkspaceName
        Workspace of the request.
    prompt_tokens : int
        Prompt tokens of the request.
    """

    number: int
    expires_s: float
    grant: Grant
    workspace: WorkspaceName
    prompt_tokens: int = 0


@dataclass
class HostAccount:
    """What an allocator knows of one process of a host.

    An offer counts until a report acknowledges it, since the use in that report
    then includes whatever became of the offer, or until a report arrives that was
    sent after the offer expired. A host that stops reporting keeps everything that
    it was given: it may have used it just before its connection was lost.

    Attributes
    ----------
    via : str
        Host that forwards messages; empty if there is a direct link.
    last_report, sent_s : int, float
        Number of the last report, and the time at which the host sent it, on its
        own clock.
    answered_report : int
        Number of the last report that an offer has answered.
    received_at, offered_at : float
        Times at which the last report was received and the last offer was sent.
    next_number : int
        Number of the next offer.
    more_waiting : int
        Number of waiting requests that are not listed in ``demands``.
    cooldowns : dict
        Time until which the host must send nothing to a target, by the clock of
        the allocator.
    limits_version : int
        Version of the rate limits that the host was last told.
    cached_max_usage, cached_usage : dict or None
        Results of `max_usage` and `current_usage`, kept between runs until
        anything that they are computed from changes.
    """

    host: HostId
    incarnation: Incarnation
    via: HostId = HostId("")
    last_report: int = 0
    answered_report: int = 0
    sent_s: float = 0.0
    received_at: float = 0.0
    offered_at: float = float("-inf")
    next_number: int = 1
    uses: dict[TargetName, TargetUse] = field(default_factory=dict)
    workspaces: dict[WorkspaceName, int] = field(default_factory=dict)
    demands: dict[RequestId, RequestDemand] = field(default_factory=dict)
    more_waiting: int = 0
    avoided: frozenset[TargetName] = frozenset()
    allowances: deque[SentAllowances] = field(default_factory=deque)
    grants: dict[RequestId, SentGrant] = field(default_factory=dict)
    cooldowns: dict[TargetName, float] = field(default_factory=dict)
    limits_version: int = 0
    cached_max_usage: dict[TargetName, Usage] | None = None
    cached_usage: dict[TargetName, Usage] | None = None

    def take(self, report: PoolReport, acked_offer: int, now: float) -> bool:
        """Process a report; return False if it arrived out of order."""
        if report.number <= self.last_report:
            return False
        self.clear_cached_usage()
        self.last_report = report.number
        self.sent_s = report.sent_s
        self.received_at = now
        self.via = report.via
        self.uses = {use.target: use for use in report.uses}
        self.workspaces = {use.workspace: use.running for use in report.workspaces}
        self.more_waiting = sum(row.count for row in report.unlisted)
        self.avoided = frozenset(report.avoided)
        if not report.incremental:
            self.cooldowns = {}
        self.cooldowns |= {row.target: now + row.cooldown_s for row in report.cooldowns}
        self._acknowledge(acked_offer)
        self._drop_expired()
        self._update_demands(report)
        return True

    def record_grant(self, sent: SentGrant) -> None:
        """Count a grant that was sent in an offer."""
        self.grants[sent.grant.request] = sent
        self.clear_cached_usage()

    def record_allowances(self, sent: SentAllowances) -> None:
        """Count the allowances that were sent in an offer."""
        self.allowances.append(sent)
        self.clear_cached_usage()

    def clear_cached_usage(self) -> None:
        """Discard the cached usages, so that they are computed again."""
        self.cached_max_usage = self.cached_usage = None

    def _update_demands(self, report: PoolReport) -> None:
        if not report.incremental:
            self.demands = {}
        for request in report.removed:
            self.demands.pop(request, None)
        for demand in report.demands:
            # A request whose grant is still in transit must not be granted again.
            # Its host would otherwise hold two targets for it until both expire.
            if demand.request not in self.grants:
                self.demands[demand.request] = demand

    def _acknowledge(self, acked_offer: int) -> None:
        while len(self.allowances) > 1 and self.allowances[1].number <= acked_offer:
            self.allowances.popleft()
        for request, sent in list(self.grants.items()):
            if sent.number <= acked_offer:
                del self.grants[request]

    def _drop_expired(self) -> None:
        while self.allowances and self.allowances[0].expires_s <= self.sent_s:
            self.allowances.popleft()
        for request, sent in list(self.grants.items()):
            if sent.expires_s <= self.sent_s:
                del self.grants[request]

    def max_usage(self) -> dict[TargetName, Usage]:
        """Return the maximum that the host may use by now, by target."""
        if self.cached_max_usage is None:
            self.cached_max_usage = self._compute_max_usage()
        return self.cached_max_usage

    def current_usage(self) -> dict[TargetName, Usage]:
        """Return the reported running requests plus the granted ones, by target."""
        if self.cached_usage is None:
            self.cached_usage = self._compute_usage()
        return self.cached_usage

    def _compute_max_usage(self) -> dict[TargetName, Usage]:
        most = {
            name: Usage(
                use.running,
                use.reserved_tokens,
                use.pending_prefill_tokens,
                use.pending_prefill_requests,
            )
            for name, use in self.uses.items()
        }
        for sent in self.allowances:
            for name, allowance in sent.allowances.items():
                held = most.get(name, NO_USAGE)
                most[name] = Usage(
                    max(held.running, allowance.running),
                    max(held.tokens, allowance.tokens),
                    held.pending_prefill_tokens,
                    held.pending_prefill_requests,
                )
        return self._add_grants(most)

    def _compute_usage(self) -> dict[TargetName, Usage]:
        usage = {
            name: Usage(use.running, use.reserved_tokens)
            for name, use in self.uses.items()
        }
        return self._add_grants(usage)

    def _add_grants(self, counts: dict[TargetName, Usage]) -> dict[TargetName, Usage]:
        for sent in self.grants.values():
            grant = sent.grant
            held = counts.get(grant.target, NO_USAGE)
            counts[grant.target] = held + Usage(
                1, grant.reserved_tokens, sent.prompt_tokens, 1
            )
        return counts

    def workspace_running(self, name: WorkspaceName) -> int:
        """Return the number of running and granted requests of a workspace."""
        granted = sum(sent.workspace == name for sent in self.grants.values())
        return self.workspaces.get(name, 0) + granted

    def allowed(self) -> dict[TargetName, Allowance]:
        """Return the allowances of the last offer, if it has not expired."""
        return self.allowances[-1].allowances if self.allowances else {}

    def holds_allowances(self) -> bool:
        """Return whether the last valid offer allows more than what runs."""
        return bool(self.allowed())
