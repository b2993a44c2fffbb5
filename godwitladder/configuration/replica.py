"""State machine that keeps a host's ledger current with the log and its peers.

It does no I/O: the caller passes in pages, peers' states and log failures. The
current state never reverts to an older one, whatever the log returns later.
"""

import enum
from dataclasses import dataclass, field

from godwitladder.clients.log import Page, Record
from godwitladder.configuration.ledger import (
    SNAPSHOT_MAGIC,
    AuditEntry,
    Ledger,
    record_digest,
)
from godwitladder.configuration.snapshots import InvalidSnapshot, decode_snapshot
from godwitladder.ids import Offset


class Phase(enum.Enum):
    """Relation of a replica to the log.

    Attributes
    ----------
    FOLLOWING
        The replica replays each record.
    CHECKING
        The log was unavailable, or a peer's state was installed. The last
        replayed record is compared with the log before more are replayed.
    SEEKING
        Records expired before they were read, and the replica looks for a
        snapshot.
    FORKED
        The log no longer holds the records that were replayed from it.
    """

    FOLLOWING = "following"
    CHECKING = "checking"
    SEEKING = "seeking"
    FORKED = "forked"


@dataclass
class Replica:
    """A ledger and its position in the log.

    Attributes
    ----------
    ledger : Ledger
        The current state.
    phase : Phase
        Relation to the log.
    caught_up : bool
        Whether it has once reached the end of the log or installed a peer's
        state.
    seek_records : list of Record
        Records read while looking for a snapshot.
    seek_start : int
        Offset at which the search for a snapshot started.
    snapshot_time : float or None
        The log's timestamp of the newest snapshot read, in seconds since the
        epoch.
    snapshot_offset : int
        Offset of that snapshot, or of the first record replayed.
    first_time : float or None
        The log's timestamp of the first record replayed since the host's
        start, in seconds since the epoch.
    """

    ledger: Ledger = field(default_factory=Ledger)
    phase: Phase = Phase.FOLLOWING
    caught_up: bool = False
    seek_records: list[Record] = field(default_factory=list)
    seek_start: Offset = Offset(0)
    snapshot_time: float | None = None
    snapshot_offset: Offset = Offset(0)
    first_time: float | None = None

    def cursor(self) -> Offset:
        """Return the offset to read from next."""
        if self.phase is Phase.SEEKING:
            last = (
                self.seek_records[-1].offset + 1
                if self.seek_records
                else self.seek_start
            )
            return Offset(last)
        if self.phase in (Phase.CHECKING, Phase.FORKED):
            return Offset(max(0, self.ledger.next - 1))
        return self.ledger.next

    def record_read_failure(self) -> None:
        """Record that a read from the log failed."""
        # After an outage, the log may have been restored from an older copy. A
        # host that continued at its old offset would skip the records written
        # since the restore and disagree with hosts that start later.
        if self.phase is Phase.FOLLOWING:
            self.phase = Phase.CHECKING

    def process_page(self, page: Page) -> list[AuditEntry]:
        """Process a page read at `cursor` and return the new audit entries."""
        if self.phase is Phase.SEEKING:
            return self._seek_snapshot(page)
        if page.next < self.ledger.next:
            self.phase = Phase.FORKED
            return []
        if page.first > self.ledger.next:
            self._start_seeking(page.first)
            return self._seek_snapshot(page) if page.records else []
        if self.phase in (Phase.CHECKING, Phase.FORKED) and not self._matches_log(page):
            self.phase = Phase.FORKED
            return []
        self.phase = Phase.FOLLOWING
        entries = self._replay(page.records)
        self.caught_up = self.caught_up or self.ledger.next >= page.next
        return entries

    def install_state(self, data: bytes) -> bool:
        """Install a peer's state if it is ahead of this host's.

        A state is a function of the log up to its offset. A state at a higher
        offset is therefore the one that this host would reach by replaying the
        log, and a state at a lower offset is outdated.

        Returns
        -------
        bool
            Whether the state was installed.

        Raises
        ------
        InvalidSnapshot
            If ``data`` is not a valid snapshot.
        """
        ledger = decode_snapshot(data)
        # A host that has not caught up also installs a peer's state at offset 0.
        # Otherwise a host that starts during an outage of the log would never
        # become ready while the stream is still empty.
        if self.phase is Phase.FORKED or ledger.next < self.ledger.next:
            return False
        if ledger.next == self.ledger.next and self.caught_up:
            return False
        self._install(ledger)
        self.caught_up = True
        self.phase = Phase.CHECKING
        return True

    def needs_state(self, offset: int) -> bool:
        """Return whether this host needs the state of a peer at ``offset``."""
        if self.phase in (Phase.FOLLOWING, Phase.FORKED):
            return False
        return offset > self.ledger.next or not self.caught_up

    def _matches_log(self, page: Page) -> bool:
        """Return whether the log still holds the last replayed record."""
        last = self.ledger.next - 1
        for record in page.records:
            if record.offset == last:
                return record_digest(record.data) == self.ledger.tail
        # If nothing was replayed yet or the record has expired, there is nothing
        # to compare and no sign that the log was replaced.
        return last < 0 or page.first > last

    def _replay(self, records: tuple[Record, ...] | list[Record]) -> list[AuditEntry]:
        entries = []
        for record in records:
            if self.first_time is None:
                self.first_time = record.time
                self.snapshot_offset = record.offset
            if record.data.startswith(SNAPSHOT_MAGIC):
                self.snapshot_time = record.time
                self.snapshot_offset = record.offset
            entry = self.ledger.replay(record.offset, record.time, record.data)
            if entry:
                entries.append(entry)
        return entries

    def _start_seeking(self, first: Offset) -> None:
        self.phase = Phase.SEEKING
        self.seek_records = []
        self.seek_start = first

    def _seek_snapshot(self, page: Page) -> list[AuditEntry]:
        """Look for a snapshot for which all later records have been read.

        If the state of a snapshot ends before the first record read, the tickets
        in the gap would be missing for good, so such a snapshot is skipped.
        """
        if page.first > self.cursor():
            self._start_seeking(page.first)
        for index, record in enumerate(page.records):
            self.seek_records.append(record)
            if not record.data.startswith(SNAPSHOT_MAGIC):
                continue
            try:
                ledger = decode_snapshot(record.data)
            except InvalidSnapshot:
                continue
            if self.seek_start <= ledger.next <= record.offset:
                self._install(ledger)
                self.phase = Phase.FOLLOWING
                rest = self.seek_records + list(page.records[index + 1 :])
                self.seek_records = []
                entries = self._replay(rest)
                self.caught_up = self.caught_up or self.ledger.next >= page.next
                return entries
        return []

    def _install(self, ledger: Ledger) -> None:
        ledger.merge_newer(self.ledger)
        self.ledger = ledger
        self.seek_records = []
