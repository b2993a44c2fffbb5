"""Records of a run and the checks of its guarantees.

This module has no side effects.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from soak.plan import PLANNED, STORE_KINDS, Fault, Kind

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the call has not run and will not run."""

DENIALS = frozenset({400, 401, 403, 404})
EVENTS = 5
CONTACT_S = 3.0
"""Seconds after the end of a fault in which its effects are excused."""
REVOKE_S = 5.0
DRAIN_S = 2.0
CONFIG_S = 2.0


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
    left : bool
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
    left: bool = False
    error: str = ""

    @property
    def may_repeat(self) -> bool:
        """Whether the call may run more than once."""
        return self.route in ("lookup", "resume")

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream."""
        return self.route in ("stream", "resume")

    def wanted(self) -> bytes:
        """Return the only correct body of the answer."""
        if self.streams:
            events = range(1, EVENTS + 1)
            return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in events)
        return b"answer of " + self.name.encode()


@dataclass(frozen=True)
class TargetRun:
    """A request that a target ran.

    Attributes
    ----------
    at : float
        Time in seconds since the start of the run.
    name : str
        Name of the call, as in `Attempt`.
    keys : bool
        Whether the request still carried the API key of the caller.
    """

    at: float
    target: str
    name: str
    workspace: str
    keys: bool


@dataclass
class History:
    """Everything that was observed in one run.

    Attributes
    ----------
    attempts : dict
        Calls by name.
    revoked : dict
        API key -> time at which a configuration without it was in the store.
    left : list of tuple
        Target, start and end of each time in which the store listed the target as
        draining or not at all.
    ended : list of str
        Hosts whose process exited by itself.
    findings : list of str
        Violations that were found during the run.
    """

    faults: list[Fault]
    attempts: dict[str, Attempt] = field(default_factory=dict)
    runs: list[TargetRun] = field(default_factory=list)
    revoked: dict[str, float] = field(default_factory=dict)
    left: list[tuple[str, float, float]] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)

    def check(self) -> list[str]:
        """Return a line for each violation of a guarantee."""
        parts = (
            self.findings,
            [f"the process of {host} ended by itself" for host in self.ended],
            self.run_twice(),
            self.run_though_refused(),
            self.wrong_answers(),
            self.unasked(),
            self.run_with_revoked_keys(),
            self.denied(),
            self.sent_to_leaving(),
            self.cut_by_planned_work(),
        )
        return [row for part in parts for row in part]

    def run_twice(self) -> list[str]:
        """Return calls that ran more than once though they must not."""
        counts = Counter(run.name for run in self.runs)
        return [
            f"{name} ({self.attempts[name].route}) ran {count} times"
            for name, count in counts.items()
            if count > 1 and name in self.attempts
            if not self.attempts[name].may_repeat
        ]

    def run_though_refused(self) -> list[str]:
        """Return calls that ran though their answer states that they had not."""
        ran = {run.name for run in self.runs}
        return [
            f"{row.name} ({row.route}) was answered {row.status} by {row.host} and ran"
            for row in self.attempts.values()
            if row.status in REFUSALS and row.name in ran and not row.may_repeat
        ]

    def wrong_answers(self) -> list[str]:
        """Return successful calls whose body or signature isn't that of the call."""
        rows = []
        for row in self.attempts.values():
            if row.status != 200 or row.body is None:
                continue
            if row.body != row.wanted() or not row.signature.endswith(row.name):
                rows.append(f"{row.name} ({row.route}) got {row.body[:60]!r}")
        return rows

    def unasked(self) -> list[str]:
        """Return runs without a call, for a wrong workspace, or with a caller's key."""
        return [
            f"{run.target} ran {run.name} for {run.workspace!r}, key: {run.keys}"
            for run in self.runs
            if run.name not in self.attempts or run.workspace != "w1" or run.keys
        ]

    def run_with_revoked_keys(self) -> list[str]:
        """Return runs of calls sent over `REVOKE_S` after their key was revoked."""
        rows = []
        for run in self.runs:
            attempt = self.attempts.get(run.name)
            since = self.revoked.get(attempt.key) if attempt else None
            if since is not None and attempt.sent > since + REVOKE_S:
                late_s = attempt.sent - since
                rows.append(f"{run.name} ran, its key revoked {late_s:.2f} s before")
        return rows

    def denied(self) -> list[str]:
        """Return denied calls whose key was valid throughout the run.

        All routes exist throughout the run.
        """
        return [
            f"{row.name} ({row.route}) was answered {row.status} by {row.host}"
            for row in self.attempts.values()
            if row.status in DENIALS and row.key not in self.revoked
        ]

    def sent_to_leaving(self) -> list[str]:
        """Return runs on targets that had left.

        They count only if both the call and the run came more than `DRAIN_S`
        later, and no fault kept the host from learning of it.
        """
        return [
            f"{run.target} ran {run.name} {run.at - since:.2f} s after it left"
            for run in self.runs
            for target, since, until in self.left
            if run.target == target and since + DRAIN_S < run.at < until
            if run.name in self.attempts
            if self.attempts[run.name].sent > since + DRAIN_S
            if self.is_calm(since, run.at, STORE_KINDS | HOST_FAULTS)
        ]

    def cut_by_planned_work(self) -> list[str]:
        """Return calls that failed while nothing but planned operations went on."""
        return [
            f"{row.name} ({row.route}) at {row.host} ended with {row.error}"
            for row in self.attempts.values()
            if row.error and not row.left and row.ended > 0
            if self.is_calm(row.sent, row.ended, frozenset(Kind) - PLANNED)
        ]

    def is_calm(self, begin: float, end: float, kinds: Iterable[Kind]) -> bool:
        """Return whether no fault of ``kinds`` went on between ``begin`` and ``end``.

        A fault that ended less than ``2 * CONTACT_S`` before ``begin`` counts too.
        """
        return not any(
            fault.kind in kinds
            and fault.at < end
            and fault.until + CONTACT_S > begin - CONTACT_S
            for fault in self.faults
        )


HOST_FAULTS = frozenset(
    {Kind.HOST_KILL, Kind.HOST_PAUSE, Kind.HOST_TERM, Kind.ALL_KILL}
    | {Kind.PEER_RESET, Kind.PEER_SILENT}
)
"""Faults after which a host needs time to learn what its peers know."""
