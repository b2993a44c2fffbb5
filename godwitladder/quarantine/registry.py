"""What this host knows of requests that crash targets, from itself and from peers."""

import functools
import threading
from collections.abc import Iterable, Sequence

from godwitladder.clock import Clock
from godwitladder.decisions.health.crashes import (
    CrashHistory,
    CrashRecord,
    TargetProcess,
)
from godwitladder.decisions.health.quarantine import (
    Quarantine,
    QuarantinePolicy,
    QuarantineStatus,
)
from godwitladder.decisions.health.suspect_trials import Trials
from godwitladder.ids import TargetName, TraitId
from godwitladder.logs import component_logger
from godwitladder.quarantine.completions import CompletionMemory
from godwitladder.quarantine.records import (
    Cleared,
    Crash,
    KnownClearing,
    KnownCrashes,
    KnownHistory,
    Lifted,
    PossibleCrash,
    QuarantineEvent,
    TrialBegan,
    TrialEnded,
)

log = component_logger("quarantine")

OWN_POLICY = QuarantinePolicy()
"""Policy of the product's own interface: the log lets one suspect run at a time."""
MAX_SEEN_EVENTS = 10_000
MAX_TRIAL_S = 10.0
"""Time after which a trial counts as ended: its host may be gone."""
MAX_LOGGED_ROWS = 8
NOTHING_KNOWN = KnownCrashes()
MAX_KNOWN_ROWS = 500
"""Limit on the rows of each kind that are sent over a new link, the newest ones."""


class QuarantineRegistry:
    """Table of suspects and quarantined traits, which any thread may use.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    policy : QuarantinePolicy
        When a trait is suspected, and for how long.

    Attributes
    ----------
    seen : dict
        Ids of the latest events that were applied, in order of arrival.
    trials : Trials
        Trials that run, on any host.
    completions : CompletionMemory
        What has completed on this host.
    source : str
        Where the event that is being applied came from.
    """

    def __init__(self, clock: Clock, policy: QuarantinePolicy = OWN_POLICY) -> None:
        self.clock = clock
        self.table = Quarantine(policy)
        self.trials = Trials(MAX_TRIAL_S)
        self.completions = CompletionMemory()
        self.seen: dict[str, None] = {}
        self.source = ""
        self.lock = threading.Lock()

    def status(self, traits: Iterable[TraitId]) -> QuarantineStatus:
        """Return the quarantine status of a request with ``traits``."""
        now = self.clock.monotonic()
        with self.lock:
            found = {self.table.status(trait, now) for trait in traits}
        for status in (QuarantineStatus.QUARANTINED, QuarantineStatus.SUSPECT):
            if status in found:
                return status
        return QuarantineStatus.CLEAR

    def is_known(self, traits: Iterable[TraitId]) -> bool:
        """Return whether a request's traits have been part of any crash."""
        return any(self.table.is_known(trait) for trait in traits)

    def held_traits(self, traits: Iterable[TraitId]) -> tuple[TraitId, ...]:
        """Return the traits for which a request is held back, or runs on trial only."""
        now = self.clock.monotonic()
        with self.lock:
            return self._held_traits(traits, now)

    def _held_traits(self, traits: Iterable[TraitId], now: float) -> tuple:
        clear = QuarantineStatus.CLEAR
        return tuple(row for row in traits if self.table.status(row, now) is not clear)

    def to_blame(
        self, traits: Sequence[TraitId], target: TargetName, generation: str
    ) -> tuple[TraitId, ...]:
        """Return which traits may have crashed the target of a trial."""
        now = self.clock.monotonic()
        with self.lock:
            return self.table.to_blame(traits, target, generation, now)

    def remaining_quarantines(self) -> dict[TraitId, float]:
        """Return the remaining time of each quarantine in seconds, by trait."""
        with self.lock:
            return self.table.remaining_quarantines(self.clock.monotonic())

    def refuses(self, traits: Iterable[TraitId]) -> bool:
        """Return whether a request must not run now, and prolong its quarantine."""
        now = self.clock.monotonic()
        with self.lock:
            held = self.table.with_status(traits, QuarantineStatus.QUARANTINED, now)
            if not held:
                return False
            beside = frozenset(held)
            is_due = all(self.table.is_retrial_due(row, now, beside) for row in held)
            if is_due and not self.trials.must_wait(held, now):
                return False
            for trait in held:
                self.table.renew(trait, now)
            return True

    def may_try(
        self, traits: Iterable[TraitId], target: TargetName | None = None
    ) -> bool:
        """Return whether a suspect may be tried now, at ``target`` if that is given."""
        now = self.clock.monotonic()
        with self.lock:
            if self.trials.must_wait(self._held_traits(traits, now), now):
                return False
            return target is None or not self.trials.is_used(target, now)

    def record_completion(self, traits: Sequence[TraitId]) -> tuple[TraitId, ...]:
        """Record that a request has completed here; return what peers should know.

        That is each trait that is held or on trial, or that has crashed and was not
        cleared of late. If peers were told of each run, a popular one would cost a
        message each time.
        """
        now = self.clock.monotonic()
        with self.lock:
            self.completions.record(traits, now)
            if not self.table.histories and not self.trials.rows:
                return ()
            return tuple(trait for trait in traits if self._is_news(trait, now))

    def _is_news(self, trait: TraitId, now: float) -> bool:
        if trait in self.trials.rows:
            return True
        history = self.table.histories.get(trait)
        if history is None:
            return False
        is_recent = self.table.is_trusted(trait, now + self.table.policy.trust_s / 2)
        return bool(
            history.quarantined_until
            or len(history.crashes) > self.table.policy.free_crashes
            or not is_recent
        )

    def past_completions(
        self, traits: Iterable[TraitId]
    ) -> tuple[tuple[TraitId, ...], float]:
        """Return which suspects have completed here of late, and their greatest age.

        Only those that are not known to have done so anywhere.
        """
        now = self.clock.monotonic()
        trust_s = self.table.policy.trust_s
        with self.lock:
            suspects = self.table.with_status(traits, QuarantineStatus.SUSPECT, now)
            ages = {
                trait: now - self.completions.last(trait)
                for trait in suspects
                if not self.table.is_trusted(trait, now)
            }
        found = {trait: age_s for trait, age_s in ages.items() if age_s < trust_s}
        return tuple(found), max(found.values(), default=0.0)

    def apply(
        self, event: QuarantineEvent, age_s: float = 0.0, source: str = ""
    ) -> bool:
        """Apply an event; return False if it was applied before.

        Parameters
        ----------
        age_s : float
            Age of the event in seconds.
        source : str
            Peer that it came from, for the log; empty for this host or the log.
        """
        with self.lock:
            if event.report in self.seen:
                return False
            self.seen[event.report] = None
            if len(self.seen) > MAX_SEEN_EVENTS:
                del self.seen[next(iter(self.seen))]
            self.source = source
            self._apply(event, self.clock.monotonic() - age_s)
            return True

    @functools.singledispatchmethod
    def _apply(self, event: QuarantineEvent, at: float) -> None:
        raise TypeError(f"unknown event {event!r}")

    @_apply.register
    def _(self, event: Crash, at: float) -> None:
        traits = (TraitId(event.digest), *event.parts)
        before = self._held_traits(traits, at)
        self.table.record_crash(
            event.target,
            event.digest,
            event.trial,
            at,
            event.generation,
            event.parts,
            event.blamed,
        )
        if event.trial:
            self._end_trials(traits, TraitId(event.digest))
        extra = self._crash_fields(event, at)
        log.info("A target crashed under a request", extra=extra)
        if event.trial and extra["quarantined"]:
            extra["held_before"] = before[:MAX_LOGGED_ROWS]
            log.warning("Traits of a request are quarantined", extra=extra)

    @_apply.register
    def _(self, event: PossibleCrash, at: float) -> None:
        request = TraitId(event.digest)
        traits = (request, *event.parts)
        process = TargetProcess(event.target, event.generation)
        self.table.record_unconfirmed(process, traits, at)
        if event.trial:
            for trait in traits:
                self.trials.lose(trait, at, request)
        extra = self._crash_fields(event, at)
        log.info("A target may have crashed under a request", extra=extra)

    def _crash_fields(self, event: Crash | PossibleCrash, at: float) -> dict:
        """Return the log fields of a crash, with what holds after it."""
        traits = (TraitId(event.digest), *event.parts)
        histories = [self.table.histories.get(trait) for trait in traits]
        quarantined = self.table.with_status(traits, QuarantineStatus.QUARANTINED, at)
        return {
            "body": event.digest[:8],
            "target": event.target,
            "trial": event.trial,
            "from": self.source,
            "crashes": max(len(row.crashes) if row else 0 for row in histories),
            "held": self._held_traits(traits, at)[:MAX_LOGGED_ROWS],
            "quarantined": quarantined[:MAX_LOGGED_ROWS],
        }

    @_apply.register
    def _(self, event: Cleared, at: float) -> None:
        traits = event.traits or (TraitId(event.digest),)
        known = [trait for trait in traits if self.table.is_known(trait)]
        for trait in traits:
            if event.age_s:
                self.table.record_completion(trait, at - event.age_s)
                continue
            self.table.clear(trait, at)
            self.trials.end(trait)
        extra = {
            "body": event.digest[:8],
            "from": self.source,
            "cleared": known[:MAX_LOGGED_ROWS],
            "age_s": round(event.age_s, 3),
        }
        log.info("A request is cleared", extra=extra)

    @_apply.register
    def _(self, event: Lifted, at: float) -> None:
        self.table.lift(TraitId(event.digest), at)
        extra = {"body": event.digest[:8], "operator": event.operator}
        log.info("A quarantine was lifted", extra=extra)

    @_apply.register
    def _(self, event: TrialBegan, at: float) -> None:
        traits = event.traits or (TraitId(event.digest),)
        request = TraitId(event.digest)
        for trait in traits:
            self.table.count_retrial(trait)
            self.trials.begin(trait, event.target, at, request, traits)
        extra = {
            "body": event.digest[:8],
            "target": event.target,
            "from": self.source,
            "held": traits[:MAX_LOGGED_ROWS],
        }
        log.info("A request is on trial", extra=extra)

    @_apply.register
    def _(self, event: TrialEnded, at: float) -> None:
        request = TraitId(event.digest)
        self._end_trials(event.traits or (request,), request)
        extra = {"body": event.digest[:8], "from": self.source}
        log.info("A trial has ended without a verdict", extra=extra)

    def _end_trials(self, traits: Iterable[TraitId], request: TraitId) -> None:
        for trait in traits:
            self.trials.end(trait, request)

    def known_crashes(self) -> KnownCrashes:
        """Return all that this host knows, for a peer."""
        now = self.clock.monotonic()
        with self.lock:
            self.table.remove_expired(now)
            # The quarantined ones first: a host that starts has to know them.
            histories = sorted(
                self.table.histories.items(),
                key=lambda row: (not row[1].quarantined_until, -row[1].last_at),
            )
            cleared = sorted(self.table.cleared.items(), key=lambda row: -row[1])
            return KnownCrashes(
                tuple(
                    self._known_history(trait, row, now)
                    for trait, row in histories[:MAX_KNOWN_ROWS]
                ),
                tuple(
                    KnownClearing(trait, now - at)
                    for trait, at in cleared[:MAX_KNOWN_ROWS]
                ),
            )

    def held_histories(
        self, traits: Iterable[TraitId] | None = None
    ) -> dict[TraitId, KnownHistory]:
        """Return what is known of those of ``traits`` that are held; all by default."""
        now = self.clock.monotonic()
        with self.lock:
            histories = self.table.histories
            held = self._held_traits(
                tuple(histories if traits is None else traits), now
            )
            return {
                trait: self._known_history(trait, histories[trait], now)
                for trait in held
            }

    def _known_history(
        self, trait: TraitId, row: CrashHistory, now: float
    ) -> KnownHistory:
        possible = row.possible_crashes(now, self.table.policy.unconfirmed_s)
        return KnownHistory(
            trait,
            processes_of(row.confirmed_crashes()),
            now - row.last_at,
            max(0.0, row.quarantined_until - now),
            row.retrials,
            tuple(row.blamed),
            processes_of(possible),
        )

    def is_cleared_since(self, trait: TraitId, age_s: float) -> bool:
        """Return whether ``trait`` was cleared in the last ``age_s`` seconds."""
        with self.lock:
            at = self.table.cleared.get(trait, float("-inf"))
        return self.clock.monotonic() - at <= age_s

    def merge(self, known: KnownCrashes, source: str = "") -> KnownCrashes:
        """Add what a peer knows; return what of it was new.

        ``source`` is the peer, for the log.
        """
        now = self.clock.monotonic()
        with self.lock:
            cleared = [row for row in known.cleared if self._merge_clearing(row, now)]
            rows = [row for row in known.histories if self._merge_history(row, now)]
        new = KnownCrashes(tuple(rows), tuple(cleared))
        if new != NOTHING_KNOWN:
            extra = {
                "from": source,
                "crashed": [row.trait[:8] for row in rows[:MAX_LOGGED_ROWS]],
                "cleared": [row.trait[:8] for row in cleared[:MAX_LOGGED_ROWS]],
            }
            log.info("Learned of crashes from a peer", extra=extra)
        return new

    def _merge_clearing(self, row: KnownClearing, now: float) -> bool:
        at = now - row.age_s
        if self.table.cleared.get(row.trait, float("-inf")) >= at:
            return False
        history = self.table.histories.get(row.trait)
        if history is None or history.last_at > at:
            return False
        self.table.clear(row.trait, at)
        return True

    def _merge_history(self, row: KnownHistory, now: float) -> bool:
        quarantined_until = now + row.quarantined_s if row.quarantined_s else 0.0
        return self.table.restore(
            row.trait,
            row.processes,
            now - row.age_s,
            quarantined_until,
            row.retrials,
            row.blamed,
            row.unconfirmed,
        )


def processes_of(crashes: Iterable[CrashRecord]) -> tuple[TargetProcess, ...]:
    """Return the processes that crashed."""
    return tuple(crash.process for crash in crashes)
