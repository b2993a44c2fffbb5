"""A host's copy of what the store holds: adopts what was read, and publishes views.

Versions decide which document is in force, places what is read next. What the store has
lost, as it came back from a copy, stays as this host knows it.
"""

import math
import threading
from collections.abc import Callable, Iterable

from godwitladder.clock import Clock
from godwitladder.discovery.batches import apply_batch, merge_copy
from godwitladder.discovery.messages import RawBatch
from godwitladder.discovery.places import Fit, Place
from godwitladder.discovery.recent_records import RecentRecords
from godwitladder.discovery.rewritten import RewrittenEntries
from godwitladder.discovery.rollout_tracker import RolloutTracker
from godwitladder.discovery.rollouts import held_back
from godwitladder.discovery.source import (
    NO_ERA,
    Batch,
    Record,
    Source,
    StoreUnavailable,
)
from godwitladder.discovery.store_view import StoreView
from godwitladder.discovery.targets import TargetTable
from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.routing.freshness import DocumentFreshness
from godwitladder.routing.model import RoutingDocument

log = component_logger("feed")

LOG_INTERVAL_S = 1.0
"""Shortest interval between two lines about what is not applied."""

OUTAGE_THRESHOLD_S = 2.2
"""Time without a successful read that counts as a store outage, during which entries of
live targets may have expired. A host that lacks news reads before that."""
EXPIRY_HEARTBEATS = 3
"""Heartbeats without which the store removes an entry."""
OUTAGE_MARGIN = 0.9
"""Part of the time in which no entry can expire that is allowed for."""


def outage_threshold_s(heartbeat_s: float) -> float:
    """Return the time without a successful read that counts as a store outage.

    Parameters
    ----------
    heartbeat_s : float
        Interval at which targets write their entries, in seconds. The last one may have
        been due as the outage began.
    """
    safe_s = (EXPIRY_HEARTBEATS - 1) * heartbeat_s
    return min(OUTAGE_THRESHOLD_S, OUTAGE_MARGIN * safe_s)


class StoreCopy:
    """The newest document and the targets, as far as this host knows.

    Parameters
    ----------
    host : HostId
        This host.
    source : Source
        Decodes records.
    clock : Clock
        The host's clock.
    freshness : DocumentFreshness
        Notified of each confirmation that the document is the newest.
    publish : callable
        Called with a new `StoreView` after each change.

    Attributes
    ----------
    document_place, entry_place : Place
        Place of the next document or target record to read.
    document_record : Record or None
        Record of the document in force. The store may have lost it.
    newest_documents, newest_entries : dict of str to Record
        Newest record of each key.
    recent_documents, recent_entries : RecentRecords
        Those that changed lately.
    version : int
        Number of views so far.
    reachable : bool
        Whether the store answered when it was last asked.
    store_answered_at : float
        Time of its last answer to any host.
    outage_s : float
        Time without an answer that counts as an outage.
    is_unpublished : bool
        Whether a view waits until what was read of the store may be used.
    is_doubtful : bool
        Whether a turn failed since the last view, which may lack what it applied.
    tells_at : float or None
        Time at which this host tells others of a document that the store has lost,
        unless one of them does so before.
    """

    def __init__(
        self,
        host: HostId,
        source: Source,
        clock: Clock,
        freshness: DocumentFreshness,
        publish: Callable[[StoreView], None],
    ) -> None:
        self.host = host
        self.source = source
        self.clock = clock
        self.freshness = freshness
        self.publish = publish
        self.table = TargetTable()
        self.document = RoutingDocument()
        self.document_record: Record | None = None
        self.document_place = self.entry_place = Place()
        self.newest_documents: dict[str, Record] = {}
        self.newest_entries: dict[str, Record] = {}
        self.recent_documents = RecentRecords()
        self.recent_entries = RecentRecords()
        self.rewritten = RewrittenEntries()
        self.rollouts = RolloutTracker(source)
        self.version = 0
        self.reachable = False
        self.store_answered_at = clock.boottime()
        self.outage_s = OUTAGE_THRESHOLD_S
        self.is_unpublished = self.is_doubtful = False
        self.tells_at: float | None = None
        self.ignored_at = float("-inf")
        self.lock = threading.RLock()

    def trusts_store(self, now: float) -> bool:
        """Return whether what was read of the store may be used."""
        return True

    def tell_delay_s(self) -> float | None:
        """Return after how long to tell of a document that the store has lost.

        None if this host doesn't.
        """
        return None

    def record_store_failure(self, error: StoreUnavailable) -> None:
        """Record that the store did not answer."""
        if self.reachable:
            extra = {"error": str(error), "age_s": self.age_s()}
            log.warning("Store unavailable", extra=extra)
        self.reachable = False

    def record_store_answer(self) -> None:
        """Record that the store answered; after an outage, delay target removals."""
        now = self.clock.boottime()
        away_s = now - self.store_answered_at
        self.store_answered_at = now
        if away_s > self.outage_s:
            self.table.record_store_return(now)
            log.info(
                "Removals of targets wait after an outage of the store",
                extra={"away_s": round(away_s, 3), "outage_s": self.outage_s},
            )
        if not self.reachable:
            log.info("Store available", extra={"away_s": round(away_s, 3)})
        self.reachable = True

    def has_state(self) -> bool:
        """Return whether this host has any state from the store."""
        return self.document_place.offset >= 0

    def doubt_copy(self) -> None:
        """Have all records read anew: some may have been applied in part.

        Until they are and their view is published, nothing is confirmed, and no other
        host is told of this copy. The document in force stays.
        """
        with self.lock:
            self.is_doubtful = True
            self.document_place = Place(self.document_place.era)
            self.entry_place = Place(self.entry_place.era)

    def forget_state(self) -> None:
        """Forget what is known of another store, so that this one is read anew.

        The view that was published stays in force without being confirmed until then,
        so no key is accepted by it.
        """
        self.freshness.doubt()
        self.document, self.document_record = RoutingDocument(), None
        self.newest_documents, self.newest_entries = {}, {}
        self.recent_documents, self.recent_entries = RecentRecords(), RecentRecords()
        self.table, self.rewritten = TargetTable(), RewrittenEntries()
        self.rollouts.forget()
        self.document_place = self.entry_place = Place()
        self.tells_at = None

    def apply(
        self,
        documents: Batch,
        entries: Batch,
        began: float,
        reader: HostId | None = None,
    ) -> None:
        """Apply a read that started at ``began``.

        Versions decide which document is in force, places what is read next.

        Parameters
        ----------
        reader : HostId or None
            The peer that read it; None for this host.
        """
        fits = self.document_place.fit(documents), self.entry_place.fit(entries)
        if any(row is not Fit.APPLIES for row in fits):
            self.log_ignored([row.value for row in fits], documents, entries)
        if self.is_from_copy(documents):
            self.record_copy(documents)
        changed = self.apply_documents(documents, reader, began)
        if fits[0] is Fit.APPLIES:
            changed |= self.keep_documents(documents)
        if fits[1] is Fit.APPLIES:
            changed |= self.keep_entries(entries)
        if changed or self.is_doubtful:
            self.publish_view(began)
        # Only now: until the view is in force, keys are looked up in the one before.
        if fits[0] is Fit.APPLIES:
            self.freshness.confirm(began, reader)

    def keep_documents(self, documents: Batch) -> bool:
        """Keep the records of documents; return whether rollouts have changed."""
        self.document_place = self.document_place.after(documents)
        apply_batch(self.newest_documents, documents)
        self.recent_documents.apply(documents)
        self.keep_document_in_force()
        now, confirmed_at = self.clock.boottime(), self.freshness.confirmed_at
        return self.rollouts.apply(documents, now, confirmed_at)

    def keep_entries(self, entries: Batch) -> bool:
        """Keep the records of targets; return whether the targets have changed."""
        if entries.is_snapshot and self.is_other_era(entries):
            entries = merge_copy(entries, self.newest_entries, self.knows_better)
        self.entry_place = self.entry_place.after(entries)
        self.rewritten.record(entries, self.clock.boottime())
        apply_batch(self.newest_entries, entries)
        self.recent_entries.apply(entries)
        return self.apply_entries(entries)

    def is_other_era(self, entries: Batch) -> bool:
        """Return whether the offsets of ``entries`` don't count on from this place."""
        return self.entry_place.offset < 0 or entries.era > self.entry_place.era

    def knows_better(self, record: Record) -> bool:
        """Return whether a target's record in a copy tells nothing new."""
        entry = self.source.decode_entry(record)
        return entry is not None and self.table.knows_better(entry)

    def is_from_copy(self, batch: Batch) -> bool:
        """Return whether the store has come back from a copy since this host read."""
        knows_any = self.has_state() or self.is_doubtful
        return batch.era > self.document_place.era != NO_ERA and knows_any

    def record_copy(self, documents: Batch) -> None:
        """Record that the store has come back from a copy, which is ``documents``.

        Targets that it lacks are kept for the time in which they write again.
        """
        self.table.record_store_return(self.clock.boottime())
        self.rollouts.begin_era()
        self.rewritten.begin(self.clock.boottime())
        copied_version = self.newest_version(documents)
        log.info(
            "The store came back from a copy",
            extra={
                "era": documents.era,
                "before": vars(self.document_place),
                "next": documents.next,
                "version": self.document.version,
                "copied_version": copied_version,
            },
        )
        delay_s = self.tell_delay_s()
        if copied_version < self.document.version and delay_s is not None:
            self.tells_at = self.clock.boottime() + delay_s

    def newest_version(self, documents: Batch) -> int:
        """Return the highest version in a batch; -1 if it has no document."""
        decoded = map(self.source.decode_document, documents.records)
        return max((row.version for row in decoded if row is not None), default=-1)

    def keep_document_in_force(self) -> None:
        """Keep the document in force for hosts that start, if the store lost it."""
        record = self.document_record
        if record is not None:
            self.newest_documents[record.key] = record

    def log_ignored(
        self,
        reasons: Iterable[str],
        documents: Batch | RawBatch,
        entries: Batch | RawBatch,
    ) -> None:
        """Log what is not applied and why, at most one line a second."""
        now = self.clock.boottime()
        if now - self.ignored_at < LOG_INTERVAL_S:
            return
        self.ignored_at = now
        log.info(
            "Records not applied",
            extra={
                "reasons": sorted(set(reasons)),
                "era": documents.era,
                "documents": [documents.start, documents.next],
                "entries": [entries.start, entries.next],
                "places": [vars(self.document_place), vars(self.entry_place)],
                "version": self.document.version,
                "age_s": self.age_s(),
            },
        )

    def apply_documents(
        self,
        batch: Batch,
        reader: HostId | None = None,
        confirmed_at: float = -math.inf,
    ) -> bool:
        """Adopt the newest document, if it is newer than the current one.

        The version must never decrease: a snapshot, a peer that lags behind or a store
        that came back from a copy must not restore an older document.
        """
        changed = False
        for record in batch.records:
            document = self.source.decode_document(record)
            if document is not None and document.version >= self.document.version:
                self.tells_at = None
            if document is not None and document.version > self.document.version:
                self.log_change(document, reader or self.host, confirmed_at)
                self.document = document
                self.document_record = record
                changed = True
        return changed

    def log_change(
        self, document: RoutingDocument, reader: HostId, confirmed_at: float
    ) -> None:
        """Log a document that replaces the current one."""
        extra = {
            "version": document.version,
            "before": self.document.version,
            "read_by": reader,
            "age_s": self.age_s(confirmed_at),
            "routes": len(document.routes),
            "quotas": {
                name: [row.quota.rate, row.quota.burst]
                for name, row in document.workspaces.items()
            },
        }
        log.info("Routing document changed", extra=extra)

    def apply_entries(self, batch: Batch) -> bool:
        """Update the targets from a batch of entries."""
        now = self.clock.boottime()
        changed = False
        for record in batch.records:
            entry = self.source.decode_entry(record) if record.value else None
            if entry is not None:
                changed |= self.table.put(entry)
            else:
                changed |= self.table.remove(record.key, now)
        if batch.is_snapshot:
            keys = {record.key for record in batch.records if record.value}
            changed |= self.table.keep_only(keys, now)
        return changed

    def publish_view(self, confirmed_at: float = -math.inf) -> None:
        """Publish a new view of the current state, as soon as it may be used.

        Parameters
        ----------
        confirmed_at : float
            Time at which the state was the newest, if that is not recorded yet.
        """
        self.is_unpublished = not self.trusts_store(self.clock.boottime())
        if self.is_unpublished:
            return
        self.version += 1
        targets = tuple(self.table.entries.values())
        orders, superseded = self.rollouts.orders, self.rollouts.superseded
        unproved = held_back(orders, targets, superseded)
        log.info(
            "Store view published",
            extra={
                "version": self.version,
                "targets": len(targets),
                "leaving": [row.name for row in targets if row.leaving],
                "held_back": sorted(unproved),
                "age_s": self.age_s(confirmed_at),
            },
        )
        rollouts = self.rollouts.orders_to_try()
        self.publish(
            StoreView(self.version, self.document, targets, unproved, rollouts)
        )
        self.is_doubtful = False

    def age_s(self, confirmed_at: float = -math.inf) -> float:
        """Return the time since the state was last confirmed, in seconds.

        Parameters
        ----------
        confirmed_at : float
            A confirmation that is not recorded yet.
        """
        now = self.clock.boottime()
        return round(min(self.freshness.age_s(now), now - confirmed_at), 3)
