"""Table of the targets registered in the platform's store.

The table reads no clock: callers pass the time.
"""

from dataclasses import dataclass, field

from godwitladder.ids import Release, ServiceName, TargetName, Zone

REMOVAL_DELAY_S = 2.0
"""How long after a store outage an expired entry is kept. Targets rewrite entries that
expired during the outage within 2 s of its end; removing the entries at once would
leave no targets for that time and refuse every request although all targets work."""


REMEMBERED_S = 60.0
"""How long a removed target is remembered; a store's copy is some seconds old."""


@dataclass(frozen=True)
class TargetEntry:
    """Entry in which a target describes itself.

    Attributes
    ----------
    started_ms : int
        Start time of the target's process, in milliseconds. A process restarted
        under the same name has no state from the previous one.
    leaving : bool
        Whether the target accepts no new calls.
    release : Release
        Version of the target's software; empty if not given.
    """

    name: TargetName
    service: ServiceName
    address: str
    zone: Zone
    slots: int
    started_ms: int = 0
    leaving: bool = False
    release: Release = Release("")


@dataclass(frozen=True)
class RemovedTarget:
    """Start time of the process of a removed target, and when it was removed."""

    started_ms: int
    at: float


@dataclass
class TargetTable:
    """Current target entries, and the removals that are still delayed.

    Attributes
    ----------
    pending_removals : dict
        Time at which each entry missing from the store is removed, by target name.
    store_returned_at : float
        Time at which the store last became available again.
    removed : dict
        Targets that were removed lately, by name.
    """

    entries: dict[TargetName, TargetEntry] = field(default_factory=dict)
    pending_removals: dict[TargetName, float] = field(default_factory=dict)
    store_returned_at: float = float("-inf")
    removed: dict[TargetName, RemovedTarget] = field(default_factory=dict)

    def record_store_return(self, now: float) -> None:
        """Record that the store answers again after an outage."""
        self.store_returned_at = now

    def put(self, entry: TargetEntry) -> bool:
        """Add or update an entry; return whether the table changed."""
        self.pending_removals.pop(entry.name, None)
        self.removed.pop(entry.name, None)
        changed = self.entries.get(entry.name) != entry
        self.entries[entry.name] = entry
        return changed

    def remove(self, name: TargetName, now: float) -> bool:
        """Remove an entry; return whether the table changed.

        Shortly after a store outage the removal is delayed, unless the target had
        announced that it leaves.
        """
        row = self.entries.get(name)
        if row is None or name in self.pending_removals:
            return False
        if now - self.store_returned_at < REMOVAL_DELAY_S and not row.leaving:
            self.pending_removals[name] = self.store_returned_at + REMOVAL_DELAY_S
            return False
        self.drop(name, now)
        return True

    def drop(self, name: TargetName, now: float) -> None:
        """Remove an entry at once, and remember it for a while."""
        row = self.entries.pop(name)
        self.removed[name] = RemovedTarget(row.started_ms, now)
        for other, gone in list(self.removed.items()):
            if now - gone.at > REMEMBERED_S:
                del self.removed[other]

    def knows_better(self, entry: TargetEntry) -> bool:
        """Return whether an entry in an older copy of the store tells nothing new.

        A target that has left since, or has said that it leaves, would get calls again
        that are lost with it. It is used again once it writes by itself.
        """
        held = self.entries.get(entry.name)
        if held is None:
            gone = self.removed.get(entry.name)
            return gone is not None and entry.started_ms <= gone.started_ms
        if entry.started_ms != held.started_ms:
            return entry.started_ms < held.started_ms
        return held.leaving or not entry.leaving

    def keep_only(self, names: set[TargetName], now: float) -> bool:
        """Remove entries not in ``names``; return whether the table changed."""
        gone = [name for name in self.entries if name not in names]
        return any([self.remove(name, now) for name in gone])

    def expire(self, now: float) -> bool:
        """Apply the delayed removals that are due; return whether there were any."""
        due = [name for name, until in self.pending_removals.items() if until <= now]
        for name in due:
            del self.pending_removals[name]
            if name in self.entries:
                self.drop(name, now)
        return bool(due)
