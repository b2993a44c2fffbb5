"""Reads which versions targets had before this host started.

A host that has just started knows which versions targets have now. If all hosts were
lost together, no other host knows more, and streams that began before would have to be
refused. The store still has the records in which targets described themselves.
"""

import math
import threading
from collections.abc import Callable

from godwitladder.clock import Clock
from godwitladder.decisions.placing.past_releases import (
    PastReleases,
    covered_time,
    records_needed,
)
from godwitladder.decisions.placing.stream_origins import StreamOrigin
from godwitladder.discovery.source import (
    Record,
    Source,
    StoreTrimmed,
    StoreUnavailable,
)
from godwitladder.logs import component_logger

log = component_logger("streams")

RETRY_S = 3.0
"""Time after a read that failed before the next one: calls wait for a read, and a store
that is silent takes a second to fail."""
MAX_READS = 4
"""Reads in a row, of a megabyte each."""


class EntryHistory:
    """Reads the records of entries once, when a call needs them.

    Parameters
    ----------
    source : Source
        The store.
    clock : Clock
        The host's clock.
    interval_s : float
        Time between two writes of a target, in seconds; infinite if not known.
    end_offset : callable
        Returns the offset up to which this host knows the entries; negative if it
        knows none.

    Attributes
    ----------
    is_read : bool
        Whether the records were read. Later ones tell nothing new, as the host has
        watched the entries since.
    reads_at : float
        Monotonic time in seconds from which the store may be read.
    """

    def __init__(
        self,
        source: Source,
        clock: Clock,
        interval_s: float,
        end_offset: Callable[[], int],
    ) -> None:
        self.source = source
        self.clock = clock
        self.interval_s = interval_s
        self.end_offset = end_offset
        self.is_read = False
        self.reads_at = -math.inf
        self.lock = threading.Lock()

    def read_once(self, targets: int, for_s: float) -> PastReleases | None:
        """Return what the records tell; None if they were read, or can't be now.

        Parameters
        ----------
        targets : int
            Number of targets now.
        for_s : float
            Time that should be covered, in seconds.
        """
        with self.lock:
            now = self.clock.monotonic()
            end = self.end_offset()
            if self.is_read or now < self.reads_at or end < 0:
                return None
            try:
                records = self.read_records(self.choose_start(end, targets, for_s), end)
            except StoreUnavailable as error:
                self.reads_at = self.clock.monotonic() + RETRY_S
                extra = {"error": str(error)}
                log.info("Former entries can't be read", extra=extra)
                return None
            self.is_read = True
            return self.make_past(records, now)

    def choose_start(self, end: int, targets: int, for_s: float) -> int:
        """Return the offset of the first record to read."""
        if not math.isfinite(self.interval_s):
            return 0
        return max(0, end - records_needed(targets, self.interval_s, for_s))

    def read_records(self, start: int, end: int) -> list[Record]:
        """Return the records from ``start`` on that the store has, up to ``end``.

        Raises
        ------
        StoreUnavailable
            The store did not answer, or more reads are needed than allowed.
        """
        records: list[Record] = []
        for _ in range(MAX_READS):
            try:
                batch = self.source.read_entries(start)
            except StoreTrimmed as error:
                # The oldest have expired.
                start = max(start, error.first_offset)
                continue
            records += batch.records
            start = batch.next
            if batch.is_whole or start >= end:
                return records
        raise StoreUnavailable(f"{MAX_READS} reads did not reach the offset {end}")

    def make_past(self, records: list[Record], now: float) -> PastReleases:
        """Return what ``records`` tell, and log it."""
        entries = [self.source.decode_entry(row) for row in records if row.value]
        known = [row for row in entries if row is not None]
        is_whole = bool(records) and records[0].offset == 0
        covered_s = covered_time([row.name for row in known], self.interval_s, is_whole)
        origins = frozenset(StreamOrigin(row.service, row.release) for row in known)
        extra = {
            "records": len(records),
            "versions": sorted(f"{row.service}/{row.release}" for row in origins)[:16],
            "covered_s": round(covered_s, 1) if math.isfinite(covered_s) else None,
        }
        log.info("Former entries were read", extra=extra)
        return PastReleases(origins, covered_s, now)
