"""Operations on batches of records, and their conversion to peer messages.

The functions do no I/O. An incremental batch starts at an offset and can be applied
only by a host that has all earlier records; a snapshot can be applied by any host.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import replace

from godwitladder.discovery.messages import RawBatch, RawRecord
from godwitladder.discovery.places import Place
from godwitladder.discovery.source import Batch, Record


def drop_known(batch: Batch, place: Place) -> Batch:
    """Return ``batch`` without the records before ``place``.

    Those arrived from another host while the batch was being read, and that host
    broadcast them to every host. A snapshot is returned unchanged, and so is a batch of
    another era, in which the offset of ``place`` says nothing.
    """
    if batch.is_snapshot or batch.era != place.era or place.offset <= batch.start:
        return batch
    kept = tuple(record for record in batch.records if record.offset >= place.offset)
    return Batch(min(place.offset, batch.next), batch.next, kept, batch.era)


def join(first: Batch, second: Batch) -> Batch:
    """Return a batch and the one that continues it as one."""
    records = (*first.records, *second.records)
    return replace(second, start=first.start, records=records)


def snapshot_at(place: Place, records: tuple[Record, ...]) -> Batch:
    """Return the records of all keys as known at ``place``."""
    return Batch(-1, place.offset, records, place.era)


def count_bytes(records: Iterable[Record]) -> int:
    """Return the length of all keys and values, in characters and bytes."""
    return sum(len(row.key) + len(row.value or b"") for row in records)


def apply_batch(newest: dict[str, Record], batch: Batch) -> None:
    """Apply ``batch`` to ``newest``, the current records by key, in place."""
    if batch.is_snapshot:
        newest.clear()
    for record in batch.records:
        if record.value:
            newest[record.key] = record
        else:
            newest.pop(record.key, None)


def merge_copy(
    copy: Batch, newest: Mapping[str, Record], is_known: Callable[[Record], bool]
) -> Batch:
    """Return the snapshot of an older copy, with what is known better in place of it.

    Parameters
    ----------
    copy : Batch
        All records of a store that has come back from a copy.
    newest : mapping
        Records of which this host knows, by key.
    is_known : callable
        Whether a record of the copy tells nothing new. If its key is not in ``newest``,
        it has been deleted since.
    """
    kept = (
        newest.get(record.key) if is_known(record) else record
        for record in copy.records
    )
    return replace(copy, records=tuple(row for row in kept if row is not None))


def encode_batch(batch: Batch) -> RawBatch:
    """Convert ``batch`` to the form sent to other hosts."""
    rows = (RawRecord(row.offset, row.key, row.value) for row in batch.records)
    return RawBatch(batch.start, batch.next, tuple(rows), batch.era)


def decode_batch(raw: RawBatch) -> Batch:
    """Convert a batch received from another host."""
    rows = (Record(row.offset, row.key, row.value) for row in raw.records)
    return Batch(raw.start, raw.next, tuple(rows), raw.era)
