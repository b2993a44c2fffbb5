"""Composes what a host tells its peers of the store: reads, and what a peer lacks."""

import math
from dataclasses import replace

from godwitladder.discovery.batches import (
    count_bytes,
    drop_known,
    encode_batch,
    snapshot_at,
)
from godwitladder.discovery.messages import FeedNews, KnownState
from godwitladder.discovery.places import Place
from godwitladder.discovery.recent_records import missing_batch
from godwitladder.discovery.source import Batch, Record
from godwitladder.discovery.store_copy import StoreCopy
from godwitladder.process.memory import require_room

MIN_GAIN_S = 0.05
"""Least time by which a peer's state must be younger to be worth an answer."""


def make_read_news(copy: StoreCopy, documents: Batch, entries: Batch) -> FeedNews:
    """Return the news of a read, before it is applied to ``copy``."""
    documents = drop_known(with_document_in_force(copy, documents), copy.document_place)
    entries = drop_known(drop_unchanged(copy, entries), copy.entry_place)
    require_room(count_bytes(documents.records) + count_bytes(entries.records))
    return FeedNews(copy.host, 0.0, encode_batch(documents), encode_batch(entries))


def make_full_news(copy: StoreCopy) -> FeedNews:
    """Return the full state of this host, which must have some."""
    return make_state_news(
        copy,
        snapshot_at(copy.document_place, tuple(copy.newest_documents.values())),
        snapshot_at(copy.entry_place, tuple(copy.newest_entries.values())),
    )


def make_missing_news(copy: StoreCopy, known: KnownState) -> FeedNews:
    """Return what a peer lacks of the state of this host, which must have some."""
    return make_state_news(
        copy,
        missing_batch(
            Place(known.era, known.documents),
            copy.document_place,
            copy.recent_documents,
            copy.newest_documents,
        ),
        missing_batch(
            Place(known.era, known.entries),
            copy.entry_place,
            copy.recent_entries,
            copy.newest_entries,
        ),
    )


def make_document_news(copy: StoreCopy) -> FeedNews:
    """Return news of the document in force, which the store has lost."""
    documents, entries = copy.document_place, copy.entry_place
    record = copy.document_record
    return make_state_news(
        copy,
        Batch(documents.offset, documents.offset, (record,), documents.era),
        Batch(entries.offset, entries.offset, (), entries.era),
    )


def make_state_news(copy: StoreCopy, documents: Batch, entries: Batch) -> FeedNews:
    """Return news of what this host knows, as old as its last confirmation."""
    require_room(count_bytes(documents.records) + count_bytes(entries.records))
    now = copy.clock.boottime()
    return FeedNews(
        copy.host,
        copy.freshness.age_s(now),
        encode_batch(documents),
        encode_batch(entries),
        copy.document.version,
        sent_s=now,
    )


def describe_state(copy: StoreCopy) -> KnownState:
    """Return what this host has, for a peer that may have more."""
    places = copy.document_place, copy.entry_place
    era = copy.document_place.era
    documents, entries = (row.offset if row.era == era else -1 for row in places)
    age_s = copy.freshness.age_s(copy.clock.boottime())
    return KnownState(era, documents, entries, age_s)


def knows_more(copy: StoreCopy, known: KnownState) -> bool:
    """Return whether this host's state is newer than that of a peer."""
    age_s = copy.freshness.age_s(copy.clock.boottime())
    if not math.isfinite(age_s) or copy.document_place.era < known.era:
        return False
    is_ahead = copy.document_place.offset > known.documents
    return is_ahead or age_s + MIN_GAIN_S < known.age_s


def with_document_in_force(copy: StoreCopy, documents: Batch) -> Batch:
    """Return a snapshot with the document in force in place of an older one."""
    record = copy.document_record
    if record is None or not documents.is_snapshot:
        return documents
    if copy.newest_version(documents) >= copy.document.version:
        return documents
    others = tuple(row for row in documents.records if row.key != record.key)
    return replace(documents, records=(*others, record))


def drop_unchanged(copy: StoreCopy, entries: Batch) -> Batch:
    """Return ``entries`` without the heartbeats that change nothing.

    Each target writes its entry once a second; broadcasting all of these would make up
    most of the traffic between availability zones.

    A target that was removed and added again within the batch is included, although its
    entry equals the one that this host has. While this host was paused, another one may
    have read the removal alone, and would otherwise never learn of the target again.
    For the same reason the first entry of each target in an era is included: other
    hosts may know better than the store's copy, and wait for it.
    """
    if entries.is_snapshot:
        return entries
    newest = {record.key: record for record in entries.records}
    changed = {record.key for record in entries.records if is_change(copy, record)}
    changed |= copy.rewritten.first_of(newest.keys())
    kept = tuple(record for key, record in newest.items() if key in changed)
    return replace(entries, records=kept)


def is_change(copy: StoreCopy, record: Record) -> bool:
    """Return whether a record differs from the entry that this host has."""
    entry = copy.source.decode_entry(record) if record.value else None
    held = copy.table.entries.get(record.key)
    return entry is None or entry != held or record.key in copy.table.pending_removals
