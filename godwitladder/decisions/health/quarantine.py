"""Quarantines requests that crash the targets that run them.

A request may crash every target that runs it, while its caller retries it under a new
key each time. Or one part of prompts does so, in requests of which no two are alike.
Without a quarantine they take down the pool target by target, together with everything
else that runs there.

What may be the cause is a *trait*: a request as a whole, or a part of its prompt. After
a crash nothing shows which trait of which request on the target was the cause. A trait
that has been part of some crashes in a row is a suspect, and requests with it run only
on trial. One that runs to its end, on trial or not, clears all its traits: they do not
crash what runs them. A request whose target crashes during its trial has its suspects
quarantined.

If these are several, not all are to blame: bad and sound requests may share parts. A
request with only some of them is tried at once. It clears what it has, or shows that
the others were not the cause.

A trial may end with a crash that something else caused. A quarantined trait may
therefore be tried again, a few times and ever later.

Pure: times are passed in, in seconds.
"""

import enum
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from godwitladder.decisions.health.crashes import (
    CrashHistory,
    CrashRecord,
    TargetProcess,
)
from godwitladder.ids import TargetName, TraitId

# Hosts notice the same crash at different times. The last one does so when its
# attempts to resume a stream have failed, some seconds later.
MERGE_S = 10.0
# Callers retry for minutes. A corrected body has another digest. When the fault was
# fixed in the engine, an operator lifts the quarantine, or it expires.
HOLD_S = 600.0
MAX_SUSPECTS = 10_000
EXPIRY_INTERVAL_S = 1.0


class QuarantineStatus(enum.Enum):
    """Quarantine status of a trait, or of a request with it.

    Attributes
    ----------
    CLEAR
        The request may run.
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
    """How much a trait may crash, and for how long that is remembered.

    Attributes
    ----------
    free_crashes : int
        Number of crashes in a row that a trait may be part of before it is a suspect.
    trusted_crashes : int
        The same for a trait that has completed in the last ``trust_s`` seconds. A
        popular one runs on each target that crashes, and may be part of several
        crashes between two completed runs.
    explains_crashes : bool
        Whether a quarantined trait explains its crashes, so that the others are no
        longer suspected for them. Where several requests that crash targets may run at
        once, one of them would take the blame for the others.
    unconfirmed_s : float
        Seconds for which a crash counts that may have been a lost answer alone; 0 if
        it never does.
    suspicion_s, quarantine_s : float
        Seconds from a trait's last crash, and from its last refusal if it is
        quarantined, after which it is forgotten.
    retrial_delays_s : tuple of float
        Seconds from the last crash of a quarantined trait to each further trial.
    """

    free_crashes: int = 0
    trusted_crashes: int = 0
    trust_s: float = 0.0
    explains_crashes: bool = True
    unconfirmed_s: float = 0.0
    suspicion_s: float = HOLD_S
    quarantine_s: float = HOLD_S
    retrial_delays_s: tuple[float, ...] = ()


@dataclass
class Quarantine:
    """Suspects and quarantined traits.

    Attributes
    ----------
    crashes : dict
        Last crash of each process of a target.
    histories : dict
        The crashes of each trait that has been part of any, by its last crash.
    cleared : dict
        Time at which each trait was last cleared.
    expire_at : float
        Time from which expired entries are removed again.
    """

    policy: QuarantinePolicy = field(default_factory=QuarantinePolicy)
    crashes: dict[TargetProcess, CrashRecord] = field(default_factory=dict)
    histories: dict[TraitId, CrashHistory] = field(default_factory=dict)
    cleared: dict[TraitId, float] = field(default_factory=dict)
    expire_at: float = 0.0

    def record_crash(
        self,
        target: TargetName,
        trait: TraitId,
        trial: bool,
        now: float,
        generation: str = "",
        others: Collection[TraitId] = (),
        blamed: Collection[TraitId] = (),
    ) -> None:
        """Record that ``target`` crashed while it ran a request.

        Parameters
        ----------
        trait : TraitId
            The request as a whole.
        trial : bool
            Whether the request ran on trial.
        generation : str
            Generation of the target's process; empty if it is not known.
        others : collection of TraitId
            The request's other traits.
        blamed : collection of TraitId
            Those to quarantine for a crash on trial; by default ``trait``.
        """
        process = TargetProcess(target, generation)
        if not self._record((trait, *others), process, now, is_confirmed=True):
            return
        if trial:
            self._quarantine(blamed or (trait,), now)
            return
        for row in (trait, *others):
            history = self.histories.get(row)
            if history is not None and history.quarantined_until:
                self._hold(row, history, now)

    def record_unconfirmed(
        self, process: TargetProcess, traits: Iterable[TraitId], now: float
    ) -> None:
        """Record that answers of a process were lost, which may have been a crash.

        Proof takes seconds where a process ends without refusing connections. If
        nothing counted until then, a request could crash a target each time that it
        is sent.
        """
        self._record(traits, process, now, is_confirmed=False)

    def to_blame(
        self,
        traits: Sequence[TraitId],
        target: TargetName,
        generation: str,
        now: float,
    ) -> tuple[TraitId, ...]:
        """Return which of a request's traits may have crashed the target of its trial.

        That is those that are quarantined, or else the suspects, this crash included.

        Parameters
        ----------
        traits : sequence of TraitId
            The traits of the request, first the request as a whole.
        target, generation : str
            The target's process.
        """
        quarantined = self.with_status(traits, QuarantineStatus.QUARANTINED, now)
        if quarantined:
            return quarantined
        process = TargetProcess(target, generation)
        suspects = tuple(
            trait
            for trait in traits
            if self._count_crashes(trait, process, now) > self._max_crashes(trait, now)
        )
        return suspects or tuple(traits[:1])

    def clear(self, trait: TraitId, now: float = 0.0) -> None:
        """Clear a trait of a request that has run to completion."""
        history = self.histories.pop(trait, None)
        if history is None:
            return
        self.cleared[trait] = now
        for crash in history.crashes:
            crash.traits.discard(trait)
        # The cause is one of the others that were blamed with it.
        for other in history.blamed & self.histories.keys():
            self.histories[other].blamed -= {trait}

    def record_completion(self, trait: TraitId, at: float) -> None:
        """Record that a request with ``trait`` completed at ``at``.

        That may be longer ago than the last crash, which then still counts.
        """
        history = self.histories.get(trait)
        if history is None or history.last_at <= at:
            self.clear(trait, at)
            return
        self.cleared[trait] = max(at, self.cleared.get(trait, float("-inf")))

    def lift(self, trait: TraitId, now: float = 0.0) -> None:
        """End a quarantine or a suspicion."""
        self.clear(trait, now)

    def with_status(
        self, traits: Iterable[TraitId], status: QuarantineStatus, now: float
    ) -> tuple[TraitId, ...]:
        """Return those of ``traits`` that have a status."""
        return tuple(row for row in traits if self.status(row, now) is status)

    def status(self, trait: TraitId, now: float) -> QuarantineStatus:
        """Return the quarantine status of ``trait``."""
        history = self.histories.get(trait)
        if history is None:
            return QuarantineStatus.CLEAR
        if history.quarantined_until > now:
            return QuarantineStatus.QUARANTINED
        if history.quarantined_until:
            return QuarantineStatus.CLEAR
        is_recent = now - history.last_at < self.policy.suspicion_s
        crashes = self._counted_crashes(history, now)
        if is_recent and len(crashes) > self._max_crashes(trait, now):
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def is_known(self, trait: TraitId) -> bool:
        """Return whether ``trait`` has been part of any crash; any thread may call."""
        return trait in self.histories

    def is_trusted(self, trait: TraitId, now: float) -> bool:
        """Return whether ``trait`` is known to have completed of late."""
        return now - self.cleared.get(trait, float("-inf")) < self.policy.trust_s

    def is_retrial_due(
        self, trait: TraitId, now: float, beside: frozenset[TraitId] = frozenset()
    ) -> bool:
        """Return whether a quarantined trait may be tried once more.

        Parameters
        ----------
        beside : frozenset of TraitId
            All quarantined traits of the request to try. If they are fewer than were
            blamed together, the trial shows more than the last one did.
        """
        history = self.histories[trait]
        if beside and beside < history.blamed:
            return True
        delays = self.policy.retrial_delays_s
        if history.retrials >= len(delays):
            return False
        return now - history.last_at >= delays[history.retrials]

    def count_retrial(self, trait: TraitId) -> None:
        """Count a trial of a trait if it is quarantined."""
        history = self.histories.get(trait)
        if history is not None and history.quarantined_until:
            history.retrials += 1

    def renew(self, trait: TraitId, now: float) -> None:
        """Prolong the quarantine of a trait for which a request was refused.

        A caller who repeats it forever would otherwise get through each time that the
        quarantine ends.
        """
        history = self.histories.get(trait)
        if history is not None and history.quarantined_until:
            history.quarantined_until = now + self.policy.quarantine_s

    def remaining_quarantines(self, now: float) -> dict[TraitId, float]:
        """Return the remaining time of each quarantine in seconds."""
        return {
            trait: history.quarantined_until - now
            for trait, history in self.histories.items()
            if history.quarantined_until > now
        }

    def restore(
        self,
        trait: TraitId,
        processes: Iterable[TargetProcess],
        last_at: float,
        quarantined_until: float,
        retrials: int,
        blamed: Collection[TraitId] = (),
        unconfirmed: Collection[TargetProcess] = (),
    ) -> bool:
        """Add what another host knows of a trait; return whether any of it is new.

        Parameters
        ----------
        processes, unconfirmed : collection of TargetProcess
            Those that crashed, and those that may have.
        """
        if self.cleared.get(trait, float("-inf")) >= last_at:
            return False
        history = self._history(trait, last_at)
        before = len(history.crashes), history.quarantined_until, history.retrials
        for process in (*processes, *unconfirmed):
            is_confirmed = process not in unconfirmed
            crash = self.crashes.get(process)
            if crash is None:
                crash = CrashRecord(process, last_at, is_confirmed=is_confirmed)
                self.crashes[process] = crash
            crash.is_confirmed |= is_confirmed
            if not crash.cause:
                self._add_crash(trait, history, crash, last_at)
        if quarantined_until:
            history.retrials = max(history.retrials, retrials)
            if not history.quarantined_until:
                self._quarantine((trait,), last_at)
                history.blamed = frozenset(blamed) or history.blamed
            history.quarantined_until = max(
                history.quarantined_until, quarantined_until
            )
        elif not history.crashes and not history.quarantined_until:
            del self.histories[trait]
            return False
        is_new = len(history.crashes) != before[0] or history.retrials != before[2]
        return is_new or bool(history.quarantined_until) != bool(before[1])

    def remove_expired(self, now: float) -> None:
        """Remove expired entries, which bounds the size of the tables."""
        self.expire_at = now + EXPIRY_INTERVAL_S
        self.histories = {
            trait: history
            for trait, history in self.histories.items()
            if max(history.last_at + self.policy.suspicion_s, history.quarantined_until)
            > now
        }
        for table in (self.crashes, self.cleared):
            for key in list(table):
                row = table[key]
                at = row.at if isinstance(row, CrashRecord) else row
                if now - at >= self.policy.suspicion_s:
                    del table[key]

    def _record(
        self,
        traits: Iterable[TraitId],
        process: TargetProcess,
        now: float,
        is_confirmed: bool,
    ) -> bool:
        """Add a crash to ``traits``; return False if it is explained already.

        A request on trial is then known to have caused it. The others on the target
        only ran beside it.
        """
        if now >= self.expire_at:
            self.remove_expired(now)
        crash = self._crash_record(process, now, is_confirmed)
        crash.is_confirmed |= is_confirmed
        if crash.cause:
            return False
        for trait in traits:
            self._add_crash(trait, self._history(trait, now), crash, now)
        return True

    def _history(self, trait: TraitId, now: float) -> CrashHistory:
        """Return the history of a trait, a new one if needed."""
        history = self.histories.get(trait)
        if history is None:
            self._make_room()
            history = self.histories[trait] = CrashHistory(now)
        return history

    def _make_room(self) -> None:
        """Forget the history that had no crash for longest, if there are too many.

        If new ones were left out instead, a caller could fill the table with traits
        of its own, and keep the next one that crashes targets from being known.
        """
        if len(self.histories) < MAX_SUSPECTS:
            return
        oldest = next(iter(self.histories))
        for trait, history in self.histories.items():
            if not history.quarantined_until:
                oldest = trait
                break
        for crash in self.histories.pop(oldest).crashes:
            crash.traits.discard(oldest)

    def _crash_record(
        self, process: TargetProcess, now: float, is_confirmed: bool
    ) -> CrashRecord:
        """Return the record of the process's current crash, or create one.

        One that is not confirmed may be so much later.
        """
        crash = self.crashes.get(process)
        if crash is None or (crash.is_confirmed and now - crash.at > MERGE_S):
            crash = CrashRecord(process, now, is_confirmed=is_confirmed)
            self.crashes[process] = crash
        return crash

    def _add_crash(
        self,
        trait: TraitId,
        history: CrashHistory,
        crash: CrashRecord,
        now: float,
    ) -> None:
        """Add a crash to a trait's history, which becomes the newest."""
        history.last_at = max(history.last_at, now)
        self.histories[trait] = self.histories.pop(trait)
        if crash not in history.crashes:
            history.crashes.append(crash)
            crash.traits.add(trait)

    def _counted_crashes(self, history: CrashHistory, now: float) -> list[CrashRecord]:
        """Return the crashes that count, some of which nothing has confirmed yet."""
        possible = history.possible_crashes(now, self.policy.unconfirmed_s)
        return history.confirmed_crashes() + possible

    def _count_crashes(self, trait: TraitId, process: TargetProcess, now: float) -> int:
        """Return the number of a trait's crashes, that of ``process`` included."""
        history = self.histories.get(trait)
        crashes = self._counted_crashes(history, now) if history else []
        return len({process, *(crash.process for crash in crashes)})

    def _max_crashes(self, trait: TraitId, now: float) -> int:
        """Return the number of crashes that a trait may be part of."""
        if self.is_trusted(trait, now):
            return self.policy.trusted_crashes
        return self.policy.free_crashes

    def _quarantine(self, traits: Collection[TraitId], now: float) -> None:
        """Quarantine ``traits``, one of which has crashed the target of its trial.

        A trial of fewer traits than were blamed together shows more than the last one
        did. One of others may have had another cause: what both have in common need
        not be to blame.
        """
        for trait in traits:
            history = self._history(trait, now)
            if not history.blamed or history.blamed.issuperset(traits):
                history.blamed = frozenset(traits)
            self._hold(trait, history, now)

    def _hold(self, trait: TraitId, history: CrashHistory, now: float) -> None:
        """Begin or prolong a quarantine; clear others of the crashes it explains."""
        history.quarantined_until = now + self.policy.quarantine_s
        if not self.policy.explains_crashes:
            return
        for crash in history.crashes:
            crash.cause = trait
            for other in crash.traits - {trait}:
                self._remove_crash(other, crash)
            crash.traits = {trait}

    def _remove_crash(self, trait: TraitId, crash: CrashRecord) -> None:
        """Remove a crash that another trait explains from a trait's history."""
        history = self.histories.get(trait)
        if history is None or crash not in history.crashes:
            return
        history.crashes.remove(crash)
        if not history.crashes and not history.quarantined_until:
            del self.histories[trait]
