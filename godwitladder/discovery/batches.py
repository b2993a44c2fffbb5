"""Operations on batches of records, and their conversion to peer messages.

The functions do no I/O. An incremental batch starts at an offset and can be applied
only by a host that has all earlier records; a snapshot can be applied by any host.
"""

from godwitladder.discovery.messages import RawBatch, RawRecord
from godwitladder.discovery.source import Batch, Record


def drop_known(batch: Batch, offset: int) -> Batch:
    """Return ``batch`` without the records below ``offset``.

    Those arrived from another host while the batch was being read, and that host
    broadcast them to every host. A snapshot is returned unchanged.
    """
    if batch.is_snapshot or offset <= batch.start:
        return batch
    kept = tuple(record for record in batch.records if record.offset >= offset)
    return Batch(min(offset, batch.next), batch.next, kept, batch.era)


def apply_batch(newest: dict[str, Record], batch: Batch) -> None:
    """Apply ``batch`` to ``newest``, the current records by key, in place."""
    if batch.is_snapshot:
        newest.clear()
    for record in batch.records:
        if record.value:
            newest[record.key] = record
        else:
            newest.pop(record.key, None)


def is_contiguous(batch: RawBatch, next_offset: int) -> bool:
    """Return whether ``batch`` can be applied without skipping a record.

    Parameters
    ----------
    next_offset : int
        Offset of the first record that the receiving host does not have.
    """
    return batch.start < 0 or 0 <= batch.start <= next_offset


def encode_batch(batch: Batch) -> RawBatch:
    """Convert ``batch`` to the form sent to other hosts."""
    rows = (RawRecord(row.offset, row.key, row.value) for row in batch.records)
    return RawBatch(batch.start, batch.next, tuple(rows), batch.era)


def decode_batch(raw: RawBatch) -> Batch:
    """Convert a batch received from another host."""
    rows = (Record(row.offset, row.key, row.value) for row in raw.records)
    return Batch(raw.start, raw.next, tuple(rows), raw.era)
