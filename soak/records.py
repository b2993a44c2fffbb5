"""Records of a run and the checks of its guarantees.

This module has no side effects.
"""

import itertools
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from soak.plan import (
    PLANNED_KINDS,
    STATEMENT_KINDS,
    STORE_KINDS,
    Fault,
    FaultKind,
)

REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the call has not run and will not run."""

DENIAL_STATUSES = frozenset({400, 401, 403, 404})
STREAM_EVENTS = 5
FAULT_EFFECT_S = 3.0
"""Margin in seconds after a fault and before a call in which the fault excuses it."""
MAX_REVOCATION_DELAY_S = 5.0
"""Seconds after a revocation in which calls with the key may still run."""
MAX_REMOVAL_DELAY_S = 2.0
"""Seconds after the departure of a target in which it may still be sent calls."""
CONFIG_S = 2.0
LIMIT_NOTICE_S = 3.0
"""Seconds after a target began to state a rate limit in which it isn't checked."""
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
"""A target may get so many times its limit in a window, and so many requests more."""
TOLD_S = 0.5
"""Seconds after an answer from which its host is held to what it states."""
MAX_REQUESTS_IN_REST = 2


@dataclass
class Attempt:
    """A call as its caller observed it.

    Attributes
    ----------
    sent, ended : float
        Times in seconds since the start of the run; ``ended`` is 0 while the call
        is open, and stays 0 if its connection couldn't be opened.
    status : int
        HTTP status, or 0 if no answer came.
    body : bytes or None
        Body, or None if the answer ended early.
    abandoned : bool
        Whether the caller gave up before it had the answer.
    error : str
        The exception that ended the call; empty if there was none.
    """

    name: str
    host: str
    route: str
    key: str
    sent: float
    ended: float = 0.0
    status: int = 0
    body: bytes | None = None
    signature: str = ""
    abandoned: bool = False
    error: str = ""

    @property
    def may_run_again(self) -> bool:
        """Whether the call may run more than once."""
        return self.route in ("lookup", "resume")

    @property
    def is_streaming(self) -> bool:
        """Whether the answer is a stream."""
        return self.route in ("stream", "resume")

    def expected_body(self) -> bytes:
        """Return the only correct body of the answer."""
        if self.is_streaming:
            events = range(1, STREAM_EVENTS + 1)
            return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in events)
        return b"answer of " + self.name.encode()


@dataclass(frozen=True)
class TargetRun:
    """A request that a target ran.

    Attributes
    ----------
    started_s : float
        Time in seconds since the start of the run.
    name : str
        Name of the call, as in `Attempt`.
    has_key : bool
        Whether the request still carried the API key of the caller.
    """

    started_s: float
    target: str
    name: str
    workspace: str
    has_key: bool


@dataclass(frozen=True)
class TargetArrival:
    """A request that reached a target, whether it ran or not.

    Attributes
    ----------
    at : float
        Time in seconds since the start of the run.
    name : str
        Name of the call, as in `Attempt`.
    rate_limit : float
        Rate limit that its answer stated, in requests per second; 0 for none.
    leaving : bool
        Whether its answer stated that the target leaves.
    cooldown_s : float
        Seconds of rest that its answer asked for; 0 for none.
    """

    at: float
    target: str
    name: str
    rate_limit: float = 0.0
    leaving: bool = False
    cooldown_s: float = 0.0


@dataclass
class History:
    """Everything that was observed in one run.

    Attributes
    ----------
    attempts : dict
        Calls by name.
    revoked : dict
        API key -> time at which a configuration without it was in the store.
    departures : list of tuple
        Target, start and end of each time in which the store listed the target as
        draining or not at all.
    arrivals : list of TargetArrival
        Requests that reached the targets, in order of time.
    exited_hosts : list of str
        Hosts whose process exited by itself.
    findings : list of str
        Violations that were found during the run.
    hosts : int
        Number of hosts.
    """

    faults: list[Fault]
    attempts: dict[str, Attempt] = field(default_factory=dict)
    runs: list[TargetRun] = field(default_factory=list)
    revoked: dict[str, float] = field(default_factory=dict)
    departures: list[tuple[str, float, float]] = field(default_factory=list)
    arrivals: list[TargetArrival] = field(default_factory=list)
    exited_hosts: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)
    hosts: int = 1

    def check(self) -> list[str]:
        """Return a line for each violation of a guarantee."""
        parts = (
            self.findings,
            [f"the process of {host} ended by itself" for host in self.exited_hosts],
            self.duplicate_runs(),
            self.runs_after_refusal(),
            self.wrong_answers(),
            self.errors_of_hosts(),
            self.unexpected_runs(),
            self.runs_with_revoked_keys(),
            self.wrongly_denied(),
            self.runs_on_departed_targets(),
            self.interrupted_by_planned_operations(),
            self.sent_beyond_rate_limits(),
            self.sent_to_leaving_targets(),
            self.sent_during_cooldowns(),
        )
        return [row for part in parts for row in part]

    def duplicate_runs(self) -> list[str]:
        """Return calls that ran more than once though they must not."""
        counts = Counter(run.name for run in self.runs)
        return [
            f"{name} ({self.attempts[name].route}) ran {count} times"
            for name, count in counts.items()
            if count > 1 and name in self.attempts
            if not self.attempts[name].may_run_again
        ]

    def runs_after_refusal(self) -> list[str]:
        """Return calls that ran though their answer states that they had not."""
        ran = {run.name for run in self.runs}
        return [
            f"{row.name} ({row.route}) was answered {row.status} by {row.host} and ran"
            for row in self.attempts.values()
            if row.status in REFUSAL_STATUSES
            and row.name in ran
            and not row.may_run_again
        ]

    def wrong_answers(self) -> list[str]:
        """Return successful calls whose body or signature isn't that of the call."""
        rows = []
        for row in self.attempts.values():
            if row.status != 200 or row.body is None:
                continue
            if row.body != row.expected_body() or not row.signature.endswith(row.name):
                rows.append(f"{row.name} ({row.route}) got {row.body[:60]!r}")
        return rows

    def errors_of_hosts(self) -> list[str]:
        """Return calls with an internal error of a host, which bears no signature."""
        return [
            f"{row.name} ({row.route}) got an internal error of {row.host}"
            for row in self.attempts.values()
            if row.status == 500 and not row.signature
        ]

    def unexpected_runs(self) -> list[str]:
        """Return runs without a call, for a wrong workspace, or with a caller's key."""
        return [
            f"{run.target} ran {run.name} for {run.workspace!r}, key: {run.has_key}"
            for run in self.runs
            if run.name not in self.attempts or run.workspace != "w1" or run.has_key
        ]

    def runs_with_revoked_keys(self) -> list[str]:
        """Return runs of calls that were sent too long after their key was revoked."""
        rows = []
        for run in self.runs:
            attempt = self.attempts.get(run.name)
            since = self.revoked.get(attempt.key) if attempt else None
            if since is not None and attempt.sent > since + MAX_REVOCATION_DELAY_S:
                late_s = attempt.sent - since
                rows.append(f"{run.name} ran, its key revoked {late_s:.2f} s before")
        return rows

    def wrongly_denied(self) -> list[str]:
        """Return denied calls whose key was valid throughout the run.

        All routes exist throughout the run.
        """
        return [
            f"{row.name} ({row.route}) was answered {row.status} by {row.host}"
            for row in self.attempts.values()
            if row.status in DENIAL_STATUSES and row.key not in self.revoked
        ]

    def runs_on_departed_targets(self) -> list[str]:
        """Return runs on targets that had left.

        They count only if the call and the run both came more than
        `MAX_REMOVAL_DELAY_S` later, and no fault kept the host from learning of it.
        """
        return [
            f"{run.target} ran {run.name} {run.started_s - since:.2f} s after it left"
            for run in self.runs
            for target, since, until in self.departures
            if run.target == target
            and since + MAX_REMOVAL_DELAY_S < run.started_s < until
            if run.name in self.attempts
            if self.attempts[run.name].sent > since + MAX_REMOVAL_DELAY_S
            if self.has_no_fault(since, run.started_s, STORE_KINDS | STALE_HOST_KINDS)
        ]

    def interrupted_by_planned_operations(self) -> list[str]:
        """Return calls that failed while nothing but planned operations went on."""
        return [
            f"{row.name} ({row.route}) at {row.host} ended with {row.error}"
            for row in self.attempts.values()
            if row.error and not row.abandoned and row.ended > 0
            if self.has_no_fault(
                row.sent,
                row.ended,
                frozenset(FaultKind) - PLANNED_KINDS - STATEMENT_KINDS,
            )
        ]

    def arrivals_by_target(self) -> dict[str, list[TargetArrival]]:
        """Return the arrivals of known calls at each target, in order of time."""
        rows: dict[str, list[TargetArrival]] = {}
        for arrival in sorted(self.arrivals, key=lambda row: row.at):
            if arrival.name in self.attempts:
                rows.setdefault(arrival.target, []).append(arrival)
        return rows

    def sent_beyond_rate_limits(self) -> list[str]:
        """Return the windows in which a target got more than its limit allows.

        Only requests of hosts that were told count. A host that was killed, paused or
        cut off since the target began to state its limit is excused.
        """
        rows = []
        for target, arrivals in self.arrivals_by_target().items():
            for period in split_periods(arrivals, lambda row: row.rate_limit > 0):
                counted = self.arrivals_of_told_hosts(period)
                begin = period[0].at + LIMIT_NOTICE_S
                most = most_in_window([row.at for row in counted if row.at > begin])
                rate = max(row.rate_limit for row in period)
                allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * rate + LIMIT_SLACK
                if most > allowed:
                    rows.append(f"{target} got {most} requests at a limit of {rate}")
        return rows

    def arrivals_of_told_hosts(
        self, period: list[TargetArrival]
    ) -> list[TargetArrival]:
        """Return the arrivals from hosts that were told earlier in ``period``."""
        told: dict[str, float] = {}
        counted = []
        for arrival in period:
            attempt = self.attempts[arrival.name]
            told_at = told.get(attempt.host)
            if told_at is not None and arrival.at > told_at + TOLD_S:
                if self.is_undisturbed(attempt.host, period[0].at, arrival.at):
                    counted.append(arrival)
            if attempt.status and not attempt.abandoned:
                told[attempt.host] = min(attempt.ended, told.get(attempt.host, 1e9))
        return counted

    def sent_to_leaving_targets(self) -> list[str]:
        """Return calls that reached a target that had told their host that it leaves.

        They count only if the caller sent them more than `MAX_REMOVAL_DELAY_S` later,
        and the host was not restarted or paused since.
        """
        rows = []
        for target, arrivals in self.arrivals_by_target().items():
            for period in split_periods(arrivals, lambda row: row.leaving):
                for arrival in self.arrivals_of_told_hosts(period):
                    sent = self.attempts[arrival.name].sent
                    if sent > self.told_at(period, arrival) + MAX_REMOVAL_DELAY_S:
                        rows.append(f"{target} got {arrival.name} though it leaves")
        return rows

    def told_at(self, period: list[TargetArrival], arrival: TargetArrival) -> float:
        """Return when the host of ``arrival`` had the first answer of ``period``."""
        host = self.attempts[arrival.name].host
        attempts = [self.attempts[row.name] for row in period]
        return min(
            row.ended
            for row in attempts
            if row.host == host and row.status and not row.abandoned
        )

    def sent_during_cooldowns(self) -> list[str]:
        """Return the cooldowns in which a target got too much from the host."""
        rows = []
        for target, arrivals in self.arrivals_by_target().items():
            for asked in arrivals:
                if not asked.cooldown_s:
                    continue
                host = self.attempts[asked.name].host
                begin, end = asked.at + TOLD_S, asked.at + asked.cooldown_s
                count = sum(
                    begin < row.at < end and self.attempts[row.name].host == host
                    for row in arrivals
                )
                undisturbed = self.is_undisturbed(host, asked.at, end)
                if count > MAX_REQUESTS_IN_REST and undisturbed:
                    rows.append(f"{target} got {count} from {host} while it rested")
        return rows

    def is_undisturbed(self, host: str, begin: float, end: float) -> bool:
        """Return whether no fault of ``host`` went on between ``begin`` and ``end``."""
        return not any(
            fault.kind in STALE_HOST_KINDS
            and (fault.kind is FaultKind.ALL_KILL or self.host_of(fault) == host)
            and fault.start_s < end
            and fault.end_s + FAULT_EFFECT_S > begin
            for fault in self.faults
        )

    def host_of(self, fault: Fault) -> str:
        """Return the name of the host that a fault affects."""
        return f"h{fault.affected_index % self.hosts}"

    def has_no_fault(
        self, begin: float, end: float, kinds: Iterable[FaultKind]
    ) -> bool:
        """Return whether no fault of ``kinds`` went on between ``begin`` and ``end``.

        A fault that ended less than ``2 * FAULT_EFFECT_S`` before ``begin`` counts too.
        """
        return not any(
            fault.kind in kinds
            and fault.start_s < end
            and fault.end_s + FAULT_EFFECT_S > begin - FAULT_EFFECT_S
            for fault in self.faults
        )


def split_periods(
    arrivals: list[TargetArrival], states: Callable[[TargetArrival], bool]
) -> list[list[TargetArrival]]:
    """Return the runs of consecutive arrivals whose answers state something."""
    groups = itertools.groupby(arrivals, key=states)
    return [list(rows) for stated, rows in groups if stated]


def most_in_window(times: list[float]) -> int:
    """Return the largest number of sorted ``times`` within `LIMIT_WINDOW_S`."""
    most = first = 0
    for last, at in enumerate(times):
        while at - times[first] >= LIMIT_WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


STALE_HOST_KINDS = frozenset(
    {FaultKind.HOST_KILL, FaultKind.HOST_PAUSE, FaultKind.HOST_TERM, FaultKind.ALL_KILL}
    | {FaultKind.PEER_RESET, FaultKind.PEER_SILENT}
)
"""Faults after which a host needs time to learn what its peers know."""
