"""Batches of records: how they follow each other, and how hosts tell of them.

Pure. A batch of changes begins at an offset and is of use only to whoever knows
all before it; a snapshot is of use to anybody.
"""

from godwitladder.discovery.messages import RawBatch, RawRecord
from godwitladder.discovery.source import Batch, Record


def since(batch: Batch, offset: int) -> Batch:
    """Return ``batch`` without what other hosts told while it was read.

    Whoever told it has told all.
    """
    if batch.whole or offset <= batch.start:
        return batch
    kept = tuple(record for record in batch.records if record.offset >= offset)
    return Batch(min(offset, batch.next), batch.next, kept)


def keep_newest(newest: dict[str, Record], batch: Batch) -> None:
    """Bring ``newest``, the records in force by key, in line with ``batch``."""
    if batch.whole:
        newest.clear()
    for record in batch.records:
        if record.value:
            newest[record.key] = record
        else:
            newest.pop(record.key, None)


def fits(batch: RawBatch, following: int) -> bool:
    """Return whether ``batch`` leaves no gap for a host that knows all before.

    Parameters
    ----------
    following : int
        Offset of the first record that the host does not know.
    """
    return batch.start < 0 or 0 <= batch.start <= following


def raw_batch(batch: Batch) -> RawBatch:
    """Return ``batch`` as it goes to other hosts."""
    rows = (RawRecord(row.offset, row.key, row.value) for row in batch.records)
    return RawBatch(batch.start, batch.next, tuple(rows))


def read_batch(raw: RawBatch) -> Batch:
    """Return the batch that another host has told of."""
    rows = (Record(row.offset, row.key, row.value) for row in raw.records)
    return Batch(raw.start, raw.next, tuple(rows))
