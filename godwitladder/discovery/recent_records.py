"""Records that a host applied lately, to send a peer just those that it lacks."""

from godwitladder.discovery.batches import snapshot_at
from godwitladder.discovery.places import Place
from godwitladder.discovery.source import Batch, Record

MAX_RECENT_RECORDS = 512


class RecentRecords:
    """The newest record of each key that changed lately, deletions included.

    Attributes
    ----------
    records : dict of str to Record
        By key, in the order in which they were applied.
    first : int
        Offset from which on no change is missing.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.first = 0

    def apply(self, batch: Batch) -> None:
        """Add the records of a batch that was applied; a snapshot replaces all."""
        if batch.is_snapshot:
            self.records.clear()
            self.first = batch.next
            return
        for record in batch.records:
            self.records.pop(record.key, None)
            self.records[record.key] = record
        while len(self.records) > MAX_RECENT_RECORDS:
            oldest = self.records.pop(next(iter(self.records)))
            self.first = max(self.first, oldest.offset + 1)

    def has_all_since(self, offset: int) -> bool:
        """Return whether all changes from ``offset`` on are here."""
        return offset >= self.first

    def since(self, offset: int) -> tuple[Record, ...]:
        """Return the changes from ``offset`` on."""
        return tuple(row for row in self.records.values() if row.offset >= offset)


def missing_batch(
    known: Place, place: Place, recent: RecentRecords, newest: dict[str, Record]
) -> Batch:
    """Return what a host at ``known`` lacks of a topic, as known at ``place``.

    It is a snapshot if changes of that time are no longer here, or the host has records
    of another era.

    Parameters
    ----------
    recent, newest
        Recent records, and the newest of each key, as known at ``place``.
    """
    if known.era != place.era or not recent.has_all_since(known.offset):
        return snapshot_at(place, tuple(newest.values()))
    start = min(known.offset, place.offset)
    return Batch(start, place.offset, recent.since(known.offset), place.era)
