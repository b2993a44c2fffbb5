"""Tracks which targets have written their entries since an era of the store began."""

from godwitladder.discovery.source import Batch
from godwitladder.discovery.targets import REMEMBERED_S


class RewrittenEntries:
    """Keys of the targets that have written since an era began.

    Other hosts may know some targets better than the store's copy, and wait until these
    write by themselves; so the reader tells of the first entry of each. Times are in
    seconds of the host's clock.

    Attributes
    ----------
    keys : set of str or None
        The keys; None if no era has begun lately.
    began : float
        Time at which this host learned of the era.
    """

    def __init__(self) -> None:
        self.keys: set[str] | None = None
        self.began = float("-inf")

    def begin(self, now: float) -> None:
        """Begin to track, as a new era has begun."""
        self.keys = set()
        self.began = now

    def record(self, entries: Batch, now: float) -> None:
        """Record the entries of a read that go on from the place before it."""
        if now - self.began > REMEMBERED_S:
            self.keys = None
        if self.keys is not None and not entries.is_snapshot:
            self.keys.update(record.key for record in entries.records)

    def first_of(self, keys: set[str]) -> set[str]:
        """Return those of ``keys`` that are written for the first time in the era."""
        return set() if self.keys is None else keys - self.keys
