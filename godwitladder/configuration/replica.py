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
    make_origin,
    record_digest,
)
from godwitladder.configuration.snapshots import InvalidSnapshot, decode_snapshot
from godwitladder.fleets import are_apart
from godwitladder.ids import Offset
from godwitladder.logs import component_logger

log = component_logger("config")


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
class SnapshotSearch:
    """Records read in a row while looking for a snapshot.

    Attributes
    ----------
    start : int
        Offset of the first record read.
    records : list of Record
        All records read since, without a gap.
    """

    start: Offset
    records: list[Record] = field(default_factory=list)

    @property
    def next(self) -> Offset:
        """The offset to read from next."""
        return Offset(self.start + len(self.records))

    def read_state(self, record: Record) -> Ledger | None:
        """Return the state in the next record if all records after it were read.

        If the state ends before the first record read, the tickets in the gap
        would be missing for good.
        """
        if not record.data.startswith(SNAPSHOT_MAGIC):
            return None
        try:
            ledger = decode_snapshot(record.data)
        except InvalidSnapshot as error:
            log.warning(
                "A snapshot in the configuration log is invalid",
                extra={"offset": record.offset, "error": str(error)},
            )
            return None
        return ledger if self.start <= ledger.next <= record.offset else None


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
    search : SnapshotSearch or None
        What was read so far while looking for a snapshot; None in other phases.
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
    search: SnapshotSearch | None = None
    snapshot_time: float | None = None
    snapshot_offset: Offset = Offset(0)
    first_time: float | None = None

    def cursor(self) -> Offset:
        """Return the offset to read from next."""
        if self.search:
            return self.search.next
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
        if self.search:
            return self._continue_search(page)
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
        if are_apart(ledger.origin, self.ledger.origin):
            return False
        if self.phase is Phase.FORKED or ledger.next < self.ledger.next:
            return False
        if ledger.next == self.ledger.next and self.caught_up:
            return False
        self._install(ledger, Phase.CHECKING)
        self.caught_up = True
        return True

    def is_other_log(self, first: Record) -> bool:
        """Return whether the log's first record is not the one replayed here."""
        return are_apart(self.ledger.origin, make_origin(first.time, first.data))

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
        self.search = SnapshotSearch(first)

    def _continue_search(self, page: Page) -> list[AuditEntry]:
        # A log that ends before the records read so far was restored from an older
        # copy, and what it holds from now on doesn't follow on those records.
        if page.next < self.search.next:
            self.search = None
            self.phase = Phase.CHECKING
            return []
        return self._seek_snapshot(page)

    def _seek_snapshot(self, page: Page) -> list[AuditEntry]:
        """Look for a snapshot for which all later records have been read."""
        if page.first > self.search.next:
            self._start_seeking(page.first)
        search, found = self.search, None
        for record in page.records:
            found = found or search.read_state(record)
            search.records.append(record)
        if found is None:
            return []
        log.info(
            "Recovering from a snapshot in the configuration log",
            extra={
                "state_offset": found.next,
                "first_read": search.start,
                "next": search.next,
            },
        )
        self._install(found, Phase.FOLLOWING)
        entries = self._replay(search.records)
        self.caught_up = self.caught_up or self.ledger.next >= page.next
        return entries

    def _install(self, ledger: Ledger, phase: Phase) -> None:
        if not are_apart(ledger.origin, self.ledger.origin):
            ledger.merge_newer(self.ledger)
            ledger.origin = ledger.origin or self.ledger.origin
        self.ledger = ledger
        self.search = None
        self.phase = phase
