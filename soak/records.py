"""What callers saw, and the promises that it is held against. Pure."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from soak.plan import PLANNED, STORE_KINDS, Fault, Kind

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise that nothing ran and nothing will."""

DENIALS = frozenset({400, 401, 403, 404})
EVENTS = 5
CONTACT_S = 3.0
"""Faults excuse what happens up to so long after them."""
REVOKE_S = 5.0
DRAIN_S = 2.0
CONFIG_S = 2.0


@dataclass
class Attempt:
    """One call as its caller saw it; times are seconds of the run.

    Attributes
    ----------
    status : int
        0 where no answer came.
    body : bytes or None
        None where the answer ended early.
    left : bool
        Whether the caller gave up before it had the answer.
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
        """Whether targets may run it more than once."""
        return self.route in ("lookup", "resume")

    @property
    def streams(self) -> bool:
        """Whether the answer is a stream."""
        return self.route in ("stream", "resume")

    def wanted(self) -> bytes:
        """Return the only right body."""
        if self.streams:
            events = range(1, EVENTS + 1)
            return b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in events)
        return b"answer of " + self.name.encode()


@dataclass(frozen=True)
class TargetRun:
    """One request that a target ran."""

    at: float
    target: str
    name: str
    workspace: str
    keys: bool


@dataclass
class History:
    """All that was seen in one run.

    Attributes
    ----------
    revoked : dict
        When the store took the configuration without a key.
    left : list of tuple
        Targets, from when to when the store had them as leaving or gone.
    ended : list of str
        Hosts whose process ended by itself.
    """

    faults: list[Fault]
    attempts: dict[str, Attempt] = field(default_factory=dict)
    runs: list[TargetRun] = field(default_factory=list)
    revoked: dict[str, float] = field(default_factory=dict)
    left: list[tuple[str, float, float]] = field(default_factory=list)
    ended: list[str] = field(default_factory=list)
    findings: list[str] = field(default_factory=list)

    def check(self) -> list[str]:
        """Return every promise that was broken, with the place."""
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
        """Return calls that ran more than once and may not."""
        counts = Counter(run.name for run in self.runs)
        return [
            f"{name} ({self.attempts[name].route}) ran {count} times"
            for name, count in counts.items()
            if count > 1 and name in self.attempts
            if not self.attempts[name].may_repeat
        ]

    def run_though_refused(self) -> list[str]:
        """Return calls of which it was said that they had not run."""
        ran = {run.name for run in self.runs}
        return [
            f"{row.name} ({row.route}) was answered {row.status} by {row.host} and ran"
            for row in self.attempts.values()
            if row.status in REFUSALS and row.name in ran and not row.may_repeat
        ]

    def wrong_answers(self) -> list[str]:
        """Return successes that aren't the caller's own whole answer."""
        rows = []
        for row in self.attempts.values():
            if row.status != 200 or row.body is None:
                continue
            if row.body != row.wanted() or not row.signature.endswith(row.name):
                rows.append(f"{row.name} ({row.route}) got {row.body[:60]!r}")
        return rows

    def unasked(self) -> list[str]:
        """Return runs that nobody asked for, or of another workspace, or with a key."""
        return [
            f"{run.target} ran {run.name} for {run.workspace!r}, key: {run.keys}"
            for run in self.runs
            if run.name not in self.attempts or run.workspace != "w1" or run.keys
        ]

    def run_with_revoked_keys(self) -> list[str]:
        """Return runs of calls sent too long after their key was taken away."""
        rows = []
        for run in self.runs:
            attempt = self.attempts.get(run.name)
            since = self.revoked.get(attempt.key) if attempt else None
            if since is not None and attempt.sent > since + REVOKE_S:
                late_s = attempt.sent - since
                rows.append(f"{run.name} ran, its key revoked {late_s:.2f} s before")
        return rows

    def denied(self) -> list[str]:
        """Return calls whose key and route were there all the time, and denied."""
        return [
            f"{row.name} ({row.route}) was answered {row.status} by {row.host}"
            for row in self.attempts.values()
            if row.status in DENIALS and row.key not in self.revoked
        ]

    def sent_to_leaving(self) -> list[str]:
        """Return runs on targets that had left, by hosts that could know."""
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
        """Return calls without a whole answer where only planned work went on."""
        return [
            f"{row.name} ({row.route}) at {row.host} ended with {row.error}"
            for row in self.attempts.values()
            if row.error and not row.left and row.ended > 0
            if self.is_calm(row.sent, row.ended, frozenset(Kind) - PLANNED)
        ]

    def is_calm(self, begin: float, end: float, kinds: Iterable[Kind]) -> bool:
        """Return whether none of ``kinds`` went on, or had just ended."""
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
"""Faults after which a host needs a moment to hear what its peers know."""
