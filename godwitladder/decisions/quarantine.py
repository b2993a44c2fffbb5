"""Quarantines requests that crash the targets that run them.

A request may crash every target that runs it, while its caller retries it under a new
key each time. Without a quarantine it takes down the pool target by target, together
with everything else that runs there.

After a crash nothing shows which of the requests that ran on the target was the cause.
A request that has been part of some crashes in a row is a suspect, and runs only on
trial. One that runs to its end, on trial or not, is cleared: it does not crash what
runs it. A request whose target crashes during its trial is quarantined, and the
crashes that it was part of are explained by it, so that those that ran beside it are
no longer suspected for them.

A trial may end with a crash that something else caused. A quarantined request may
therefore be tried again, a few times and ever later.

Pure: times are passed in, in seconds.
"""

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from godwitladder.ids import BodyDigest, TargetName

# Hosts notice the same crash at different times. The last one does so when its
# attempts to resume a stream have failed, some seconds later.
MERGE_S = 10.0
# Callers retry for minutes. A corrected body has another digest. When the fault was
# fixed in the engine, an operator lifts the quarantine, or it expires.
HOLD_S = 600.0
MAX_SUSPECTS = 10_000


class QuarantineStatus(enum.Enum):
    """Quarantine status of a request.

    Attributes
    ----------
    CLEAR
        It may run.
    SUSPECT
        It may run only on trial.
    QUARANTINED
        It must not run.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclass(frozen=True)
class QuarantinePolicy:
    """How much a request may crash, and for how long that is remembered.

    Attributes
    ----------
    free_crashes : int
        Number of crashes in a row that a request may be part of before it is a suspect.
    suspicion_s, quarantine_s : float
        Seconds from a request's last crash, and from its last refusal if it is
        quarantined, after which it is forgotten.
    retrial_delays_s : tuple of float
        Seconds from the last crash of a quarantined request to each further trial.
    """

    free_crashes: int = 0
    suspicion_s: float = HOLD_S
    quarantine_s: float = HOLD_S
    retrial_delays_s: tuple[float, ...] = ()


@dataclass(frozen=True)
class TargetProcess:
    """A process of a target; the generation is empty if it is not known."""

    target: TargetName
    generation: str = ""


@dataclass(eq=False)
class CrashRecord:
    """One crash of one target, as reported by any number of hosts.

    Attributes
    ----------
    at : float
        Time of the first report.
    digests : set
        Suspects of this crash.
    cause : BodyDigest or None
        The request on trial that was found to be the cause.
    """

    process: TargetProcess
    at: float
    digests: set[BodyDigest] = field(default_factory=set)
    cause: BodyDigest | None = None


@dataclass
class CrashHistory:
    """The crashes of one request since it was last cleared.

    Attributes
    ----------
    last_at : float
        Time of the last crash.
    crashes : list of CrashRecord
        Those that no other request explains.
    quarantined_until : float
        End of its quarantine; 0 if it is not quarantined.
    retrials : int
        Number of trials since it was quarantined.
    """

    last_at: float
    crashes: list[CrashRecord] = field(default_factory=list)
    quarantined_until: float = 0.0
    retrials: int = 0


@dataclass
class Quarantine:
    """Suspects and quarantined requests.

    Attributes
    ----------
    crashes : dict
        Last crash of each process of a target.
    histories : dict
        The crashes of each request that has been part of any.
    cleared : dict
        Time at which each request was last cleared.
    """

    policy: QuarantinePolicy = field(default_factory=QuarantinePolicy)
    crashes: dict[TargetProcess, CrashRecord] = field(default_factory=dict)
    histories: dict[BodyDigest, CrashHistory] = field(default_factory=dict)
    cleared: dict[BodyDigest, float] = field(default_factory=dict)

    def record_crash(
        self,
        target: TargetName,
        digest: BodyDigest,
        trial: bool,
        now: float,
        generation: str = "",
    ) -> None:
        """Record that ``target`` crashed while it ran ``digest``.

        Parameters
        ----------
        trial : bool
            Whether the request ran on trial.
        generation : str
            Generation of the target's process; empty if it is not known.
        """
        self.remove_expired(now)
        crash = self._crash_record(TargetProcess(target, generation), now)
        if crash.cause:
            # A request on trial is known to have caused this crash. The others on
            # the target only ran beside it.
            return
        history = self._history(digest, now)
        self._add_crash(digest, history, crash, now)
        if trial or history.quarantined_until:
            self._quarantine(digest, history, now)

    def clear(self, digest: BodyDigest, now: float = 0.0) -> None:
        """Clear a request that has run to completion."""
        history = self.histories.pop(digest, None)
        if history is None:
            return
        self.cleared[digest] = now
        for crash in history.crashes:
            crash.digests.discard(digest)

    def lift(self, digest: BodyDigest, now: float = 0.0) -> None:
        """End a quarantine or a suspicion."""
        self.clear(digest, now)

    def status(self, digest: BodyDigest, now: float) -> QuarantineStatus:
        """Return the quarantine status of ``digest``."""
        history = self.histories.get(digest)
        if history is None:
            return QuarantineStatus.CLEAR
        if history.quarantined_until > now:
            return QuarantineStatus.QUARANTINED
        if history.quarantined_until:
            return QuarantineStatus.CLEAR
        is_recent = now - history.last_at < self.policy.suspicion_s
        if is_recent and len(history.crashes) > self.policy.free_crashes:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def is_known(self, digest: BodyDigest) -> bool:
        """Return whether ``digest`` has been part of any crash; any thread may call."""
        return digest in self.histories

    def is_retrial_due(self, digest: BodyDigest, now: float) -> bool:
        """Return whether a quarantined request may be tried once more."""
        history = self.histories[digest]
        delays = self.policy.retrial_delays_s
        if history.retrials >= len(delays):
            return False
        return now - history.last_at >= delays[history.retrials]

    def count_retrial(self, digest: BodyDigest) -> None:
        """Count a trial of a request if it is quarantined."""
        history = self.histories.get(digest)
        if history is not None and history.quarantined_until:
            history.retrials += 1

    def renew(self, digest: BodyDigest, now: float) -> None:
        """Prolong the quarantine of a request that was refused for it.

        A caller who repeats it forever would otherwise get through each time that the
        quarantine ends.
        """
        history = self.histories.get(digest)
        if history is not None and history.quarantined_until:
            history.quarantined_until = now + self.policy.quarantine_s

    def remaining_quarantines(self, now: float) -> dict[BodyDigest, float]:
        """Return the remaining time of each quarantine in seconds."""
        return {
            digest: history.quarantined_until - now
            for digest, history in self.histories.items()
            if history.quarantined_until > now
        }

    def restore(
        self,
        digest: BodyDigest,
        processes: Iterable[TargetProcess],
        last_at: float,
        quarantined_until: float,
        retrials: int,
    ) -> bool:
        """Add what another host knows of a request; return whether any of it is new."""
        if self.cleared.get(digest, float("-inf")) >= last_at:
            return False
        history = self._history(digest, last_at)
        before = len(history.crashes), history.quarantined_until, history.retrials
        for process in processes:
            crash = self.crashes.get(process)
            if crash is None:
                crash = self.crashes[process] = CrashRecord(process, last_at)
            if not crash.cause:
                self._add_crash(digest, history, crash, last_at)
        if quarantined_until:
            history.retrials = max(history.retrials, retrials)
            if not history.quarantined_until:
                self._quarantine(digest, history, last_at)
            history.quarantined_until = max(
                history.quarantined_until, quarantined_until
            )
        elif not history.crashes and not history.quarantined_until:
            del self.histories[digest]
            return False
        is_new = len(history.crashes) != before[0] or history.retrials != before[2]
        return is_new or bool(history.quarantined_until) != bool(before[1])

    def remove_expired(self, now: float) -> None:
        """Remove expired entries, which bounds the size of the tables."""
        self.histories = {
            digest: history
            for digest, history in self.histories.items()
            if max(history.last_at + self.policy.suspicion_s, history.quarantined_until)
            > now
        }
        for table in (self.crashes, self.cleared):
            for key in list(table):
                row = table[key]
                at = row.at if isinstance(row, CrashRecord) else row
                if now - at >= self.policy.suspicion_s:
                    del table[key]

    def _history(self, digest: BodyDigest, now: float) -> CrashHistory:
        """Return the history of a request, a new one if needed."""
        history = self.histories.get(digest)
        if history is None:
            self._make_room()
            history = self.histories[digest] = CrashHistory(now)
        return history

    def _make_room(self) -> None:
        """Forget the history that had no crash for longest, if there are too many.

        If new ones were left out instead, a caller could fill the table with requests
        of its own, and keep the next one that crashes targets from being known.
        """
        if len(self.histories) < MAX_SUSPECTS:
            return
        oldest = next(iter(self.histories))
        for digest, history in self.histories.items():
            if not history.quarantined_until:
                oldest = digest
                break
        for crash in self.histories.pop(oldest).crashes:
            crash.digests.discard(oldest)

    def _crash_record(self, process: TargetProcess, now: float) -> CrashRecord:
        """Return the record of the process's current crash, or create one."""
        crash = self.crashes.get(process)
        if crash is None or now - crash.at > MERGE_S:
            crash = self.crashes[process] = CrashRecord(process, now)
        return crash

    def _add_crash(
        self,
        digest: BodyDigest,
        history: CrashHistory,
        crash: CrashRecord,
        now: float,
    ) -> None:
        """Add a crash to a request's history, which becomes the newest."""
        history.last_at = max(history.last_at, now)
        self.histories[digest] = self.histories.pop(digest)
        if crash not in history.crashes:
            history.crashes.append(crash)
            crash.digests.add(digest)

    def _quarantine(
        self, digest: BodyDigest, history: CrashHistory, now: float
    ) -> None:
        """Quarantine ``digest``, and clear the others of the crashes it explains."""
        history.quarantined_until = now + self.policy.quarantine_s
        for crash in history.crashes:
            crash.cause = digest
            for other in crash.digests - {digest}:
                self._remove_crash(other, crash)
            crash.digests = {digest}

    def _remove_crash(self, digest: BodyDigest, crash: CrashRecord) -> None:
        """Remove a crash that another request explains from a request's history."""
        history = self.histories.get(digest)
        if history is None or crash not in history.crashes:
            return
        history.crashes.remove(crash)
        if not history.crashes and not history.quarantined_until:
            del self.histories[digest]


@dataclass
class Trial:
    """A suspect that runs.

    Attributes
    ----------
    until : float
        Time after which the trial counts as ended, as its host may be gone.
    """

    target: TargetName
    until: float


@dataclass
class Trials:
    """Trials of suspects, at most one for each request and each target.

    With two on one target, a crash would not show which of them was the cause.
    """

    max_trial_s: float
    rows: dict[BodyDigest, Trial] = field(default_factory=dict)

    def begin(self, digest: BodyDigest, target: TargetName, now: float) -> None:
        """Record that a trial begins."""
        self.rows[digest] = Trial(target, now + self.max_trial_s)

    def end(self, digest: BodyDigest) -> None:
        """Record that a trial has ended."""
        self.rows.pop(digest, None)

    def is_running(self, digest: BodyDigest, now: float) -> bool:
        """Return whether a request is on trial."""
        trial = self.rows.get(digest)
        return trial is not None and trial.until > now

    def is_used(self, target: TargetName, now: float) -> bool:
        """Return whether any request is on trial at a target."""
        return any(row.target == target and row.until > now for row in self._rows())

    def _rows(self) -> Sequence[Trial]:
        return tuple(self.rows.values())
