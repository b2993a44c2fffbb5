"""What this host knows of requests that crash targets, from itself and from peers."""

import functools
import threading

from godwitladder.clock import Clock
from godwitladder.decisions.quarantine import (
    Quarantine,
    QuarantinePolicy,
    QuarantineStatus,
    Trials,
)
from godwitladder.ids import BodyDigest, TargetName
from godwitladder.logs import component_logger
from godwitladder.quarantine.records import (
    Cleared,
    Crash,
    KnownClearing,
    KnownCrashes,
    KnownHistory,
    Lifted,
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
    """Table of suspects and quarantined requests, which any thread may use.

    Parameters
    ----------
    clock : Clock
        The host's clock.
    policy : QuarantinePolicy
        When a request is suspected, and for how long.

    Attributes
    ----------
    seen : dict
        Ids of the latest events that were applied, in order of arrival.
    trials : Trials
        Trials that run, on any host.
    source : str
        Where the event that is being applied came from.
    """

    def __init__(self, clock: Clock, policy: QuarantinePolicy = OWN_POLICY) -> None:
        self.clock = clock
        self.table = Quarantine(policy)
        self.trials = Trials(MAX_TRIAL_S)
        self.seen: dict[str, None] = {}
        self.source = ""
        self.lock = threading.Lock()

    def status(self, digest: BodyDigest) -> QuarantineStatus:
        """Return the quarantine status of the request with ``digest``."""
        with self.lock:
            return self.table.status(digest, self.clock.monotonic())

    def is_known(self, digest: BodyDigest) -> bool:
        """Return whether a request has been part of any crash."""
        return self.table.is_known(digest)

    def remaining_quarantines(self) -> dict[BodyDigest, float]:
        """Return the remaining time of each quarantine in seconds, by digest."""
        with self.lock:
            return self.table.remaining_quarantines(self.clock.monotonic())

    def refuses(self, digest: BodyDigest) -> bool:
        """Return whether a request must not run now, and prolong its quarantine."""
        now = self.clock.monotonic()
        with self.lock:
            status = self.table.status(digest, now)
            if status is not QuarantineStatus.QUARANTINED:
                return False
            is_due = self.table.is_retrial_due(digest, now)
            if is_due and not self.trials.is_running(digest, now):
                return False
            self.table.renew(digest, now)
            return True

    def may_try(self, digest: BodyDigest, target: TargetName | None = None) -> bool:
        """Return whether a suspect may be tried now, at ``target`` if that is given."""
        now = self.clock.monotonic()
        with self.lock:
            if self.trials.is_running(digest, now):
                return False
            return target is None or not self.trials.is_used(target, now)

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
        before = self.table.status(event.digest, at)
        self.table.record_crash(
            event.target, event.digest, event.trial, at, event.generation
        )
        self.trials.end(event.digest)
        history = self.table.histories.get(event.digest)
        after = self.table.status(event.digest, at)
        extra = {
            "body": event.digest[:8],
            "target": event.target,
            "trial": event.trial,
            "from": self.source,
            "crashes": len(history.crashes) if history else 0,
            "status": after.value,
        }
        log.info("A target crashed under a request", extra=extra)
        if after is not before and after is QuarantineStatus.QUARANTINED:
            log.warning("A request is quarantined", extra=extra)

    @_apply.register
    def _(self, event: Cleared, at: float) -> None:
        self.table.clear(event.digest, at)
        self.trials.end(event.digest)
        extra = {"body": event.digest[:8], "from": self.source}
        log.info("A request is cleared", extra=extra)

    @_apply.register
    def _(self, event: Lifted, at: float) -> None:
        self.table.lift(event.digest, at)
        extra = {"body": event.digest[:8], "operator": event.operator}
        log.info("A quarantine was lifted", extra=extra)

    @_apply.register
    def _(self, event: TrialBegan, at: float) -> None:
        self.table.count_retrial(event.digest)
        self.trials.begin(event.digest, event.target, at)
        extra = {
            "body": event.digest[:8],
            "target": event.target,
            "from": self.source,
        }
        log.info("A request is on trial", extra=extra)

    @_apply.register
    def _(self, event: TrialEnded, at: float) -> None:
        self.trials.end(event.digest)
        extra = {"body": event.digest[:8], "from": self.source}
        log.info("A trial has ended without a verdict", extra=extra)

    def known_crashes(self) -> KnownCrashes:
        """Return all that this host knows, for a peer."""
        now = self.clock.monotonic()
        with self.lock:
            self.table.remove_expired(now)
            histories = sorted(
                self.table.histories.items(), key=lambda row: -row[1].last_at
            )
            cleared = sorted(self.table.cleared.items(), key=lambda row: -row[1])
            return KnownCrashes(
                tuple(
                    KnownHistory(
                        digest,
                        tuple(crash.process for crash in row.crashes),
                        now - row.last_at,
                        max(0.0, row.quarantined_until - now),
                        row.retrials,
                    )
                    for digest, row in histories[:MAX_KNOWN_ROWS]
                ),
                tuple(
                    KnownClearing(digest, now - at)
                    for digest, at in cleared[:MAX_KNOWN_ROWS]
                ),
            )

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
                "crashed": [row.digest[:8] for row in rows[:MAX_LOGGED_ROWS]],
                "cleared": [row.digest[:8] for row in cleared[:MAX_LOGGED_ROWS]],
            }
            log.info("Learned of crashes from a peer", extra=extra)
        return new

    def _merge_clearing(self, row: KnownClearing, now: float) -> bool:
        at = now - row.age_s
        if self.table.cleared.get(row.digest, float("-inf")) >= at:
            return False
        history = self.table.histories.get(row.digest)
        if history is None or history.last_at > at:
            return False
        self.table.clear(row.digest, at)
        return True

    def _merge_history(self, row: KnownHistory, now: float) -> bool:
        quarantined_until = now + row.quarantined_s if row.quarantined_s else 0.0
        return self.table.restore(
            row.digest,
            row.processes,
            now - row.age_s,
            quarantined_until,
            row.retrials,
        )
