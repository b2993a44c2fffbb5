"""The configuration as a pure function of the log's records.

Every host replays the same records in the same order and so reaches the same
verdicts without coordination. Everything that a verdict depends on is part of
the ledger and of its snapshots, so a host that starts from a snapshot reaches
the same verdict on the next ticket as a host that replayed the whole log.
"""

import enum
import hashlib
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from godwitladder.configuration.model import ObjectKind, ObjectName, Versioned
from godwitladder.configuration.state import ConfigState
from godwitladder.configuration.tickets import Ticket, read_ticket
from godwitladder.configuration.validation import (
    Rejection,
    UniqueOwners,
    unique_values,
    validate_ticket,
)
from godwitladder.findings import Finding, GodwitladderError, InvalidInput
from godwitladder.fleets import UNKNOWN_FLEET, make_fleet_id
from godwitladder.ids import FleetId, Offset, TicketNumber

# One day of tickets at the largest supported size, so that the audit trail in
# memory reaches as far back as the records of a log with one day of retention.
MAX_AUDIT_ENTRIES = 2400
# Ten hours of tickets at the largest supported size. A ticket whose append was not
# acknowledged is sent again within minutes, so it is still recognized.
MAX_ACCEPTED_TICKETS = 1000
MAX_FINDINGS = 20
# Some months of removals at the largest supported size; the rows take a few
# megabytes.
MAX_REMOVED_ROWS = 10_000
# Magic bytes at the start of a snapshot. TOML allows no NUL, so no valid ticket
# starts with them.
SNAPSHOT_MAGIC = b"\x00godwitladder snapshot\n"


class MissingRecords(GodwitladderError):
    """Raised when records of the log would be skipped."""


class Verdict(enum.Enum):
    """Outcome of a ticket."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    REJECTED = "rejected"


@dataclass(frozen=True)
class AuditEntry:
    """One entry of the audit trail: a ticket and its verdict.

    Attributes
    ----------
    offset : int
        Offset of the ticket's record in the log.
    time : float
        The log's timestamp of the record, in seconds since the epoch.
    number : int
        The ticket's number; 0 if it could not be read.
    operator, reason : str
        As given in the ticket; empty if it could not be read.
    verdict : Verdict
        Outcome of the ticket.
    findings : tuple of Finding
        Why it was rejected; at most the first ``MAX_FINDINGS``.
    cause : Rejection or None
        Kind of the rejection; None if it was not rejected.
    digest : str
        Digest of the ticket's content; empty if it could not be read.
    """

    offset: Offset
    time: float
    number: int
    operator: str
    reason: str
    verdict: Verdict
    findings: tuple[Finding, ...] = ()
    cause: Rejection | None = None
    digest: str = ""


@dataclass(frozen=True)
class Accepted:
    """An accepted ticket, kept to recognize it when it is sent again."""

    number: TicketNumber
    operator: str
    offset: Offset
    digest: str


@dataclass
class Ledger:
    """The current objects and the verdicts on the tickets that led to them.

    Attributes
    ----------
    objects : dict
        Row of each object, with the ticket that wrote it last. A removed
        object keeps a row with value None, so that an older ticket can't
        restore it. At most ``MAX_REMOVED_ROWS`` such rows are kept, those with
        the highest ticket numbers.
    accepted : dict
        The last ``MAX_ACCEPTED_TICKETS`` accepted tickets by number.
    audit : deque
        The last ``MAX_AUDIT_ENTRIES`` audit entries.
    next : int
        Offset of the first record not yet replayed.
    tail : str
        SHA-256 of the record before ``next``, to detect that the log was
        restored from another copy; empty before the first record.
    floor : int
        Highest ticket number among the removals whose rows were deleted. An
        object without a row can only be written by a higher number.
    origin : FleetId
        Identity of the log, by its first record; empty if it is not known.
    unique_owners : dict
        Index of ``objects``: the owner of each value that must be unique.
    """

    objects: dict[ObjectName, Versioned] = field(default_factory=dict)
    accepted: dict[TicketNumber, Accepted] = field(default_factory=dict)
    audit: deque[AuditEntry] = field(
        default_factory=lambda: deque(maxlen=MAX_AUDIT_ENTRIES)
    )
    next: Offset = Offset(0)
    tail: str = ""
    floor: int = 0
    origin: FleetId = UNKNOWN_FLEET
    unique_owners: UniqueOwners = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        for name, row in self.objects.items():
            self._index_unique_values(name, row.value)

    def table(self, kind: ObjectKind) -> Mapping[str, Any]:
        """Return the current objects of ``kind`` by name, without removed ones."""
        return {
            name.name: row.value
            for name, row in self.objects.items()
            if name.table == kind.value and row.value is not None
        }

    def replay(self, offset: Offset, time: float, data: bytes) -> AuditEntry | None:
        """Apply the record at ``offset``.

        A record below ``next`` was replayed before and is ignored, so that a
        duplicate delivery can't restore an older state. A snapshot only repeats
        the effect of the records before it and changes no object.

        Returns
        -------
        AuditEntry or None
            The ticket's audit entry; None for a snapshot or an old record.

        Raises
        ------
        MissingRecords
            If the record does not follow the last one. Its tickets would be
            missing here for good, and nothing else would tell.
        """
        if offset < self.next:
            return None
        if offset > self.next:
            raise MissingRecords(f"record {offset} was read in place of {self.next}")
        if offset == 0:
            self.origin = make_origin(time, data)
        self.next = Offset(offset + 1)
        self.tail = record_digest(data)
        if data.startswith(SNAPSHOT_MAGIC):
            return None
        entry = self._evaluate_record(offset, time, data)
        self.audit.append(entry)
        return entry

    def merge_newer(self, older: "Ledger") -> None:
        """Copy the objects from ``older`` that have a higher ticket number there.

        Two states of the same log never differ in this way, whichever is the
        later. A difference means that the log lost records for good, and then
        the current state must not revert to older objects.
        """
        for name, row in older.objects.items():
            current = self.objects.get(name)
            # An object without a row may have been removed and its row deleted.
            if row.number > (current.number if current else self.floor):
                self._write(name, row)

    def _evaluate_record(self, offset: Offset, time: float, data: bytes) -> AuditEntry:
        try:
            ticket = read_ticket(data)
        except InvalidInput as error:
            return AuditEntry(
                offset,
                time,
                0,
                "",
                "",
                Verdict.REJECTED,
                error.findings[:MAX_FINDINGS],
                Rejection.INVALID,
            )
        verdict, cause, findings = self.evaluate(ticket)
        if verdict is Verdict.ACCEPTED:
            self._apply(offset, ticket)
        return AuditEntry(
            offset,
            time,
            ticket.number,
            ticket.operator,
            ticket.reason,
            verdict,
            findings[:MAX_FINDINGS],
            cause,
            ticket.digest,
        )

    def evaluate(
        self, ticket: Ticket
    ) -> tuple[Verdict, Rejection | None, tuple[Finding, ...]]:
        """Return the verdict that ``ticket`` would get as the next record.

        Returns
        -------
        verdict : Verdict
            Outcome of the ticket.
        cause : Rejection or None
            Kind of the rejection; None if it is not rejected.
        findings : tuple of Finding
            Why it is rejected.
        """
        previous = self.accepted.get(ticket.number)
        # This check precedes the comparison of the objects' ticket numbers. A
        # ticket that is sent again after a lost acknowledgement was accepted, even
        # if a later ticket has since replaced some of its objects, so reporting it
        # as rejected would be wrong.
        if previous and previous.digest == ticket.digest:
            return Verdict.REPEATED, None, ()
        if previous:
            text = (
                f"{ticket.number} is taken: {previous.operator} used it at offset "
                f"{previous.offset} for other content"
            )
            return Verdict.REJECTED, Rejection.CONFLICT, (Finding("number", text),)
        cause, findings = validate_ticket(
            self.objects, self.unique_owners, self.floor, ticket
        )
        verdict = Verdict.ACCEPTED if cause is None else Verdict.REJECTED
        return verdict, cause, findings

    def _apply(self, offset: Offset, ticket: Ticket) -> None:
        for name, value in ticket.writes.items():
            row = Versioned(
                ticket.number, ticket.operator, offset, ticket.digest, value
            )
            self._write(name, row)
        self.accepted[ticket.number] = Accepted(
            ticket.number, ticket.operator, offset, ticket.digest
        )
        while len(self.accepted) > MAX_ACCEPTED_TICKETS:
            del self.accepted[next(iter(self.accepted))]
        if None in ticket.writes.values():
            self._prune_removed()

    def _prune_removed(self) -> None:
        """Delete excess rows of removed objects, lowest ticket numbers first."""
        rows = [
            (row.number, name)
            for name, row in self.objects.items()
            if row.value is None
        ]
        for number, name in sorted(rows)[: max(0, len(rows) - MAX_REMOVED_ROWS)]:
            self.floor = max(self.floor, number)
            del self.objects[name]

    def _write(self, name: ObjectName, row: Versioned) -> None:
        old = self.objects.get(name)
        for unique in unique_values(name, old and old.value):
            # Another object in the same ticket may own the value by now.
            if self.unique_owners.get(unique) == name:
                del self.unique_owners[unique]
        self.objects[name] = row
        self._index_unique_values(name, row.value)

    def _index_unique_values(self, name: ObjectName, value: Any) -> None:
        for unique in unique_values(name, value):
            self.unique_owners[unique] = name


def record_digest(data: bytes) -> str:
    """Return the SHA-256 hex digest used to compare copies of a record."""
    return hashlib.sha256(data).hexdigest()


def make_origin(time: float, data: bytes) -> FleetId:
    """Return the identity of a log whose first record is given.

    The log's timestamp tells two logs apart that begin with the same ticket.
    """
    return make_fleet_id(repr(time).encode() + b"\0" + data)


def make_state(ledger: Ledger) -> ConfigState:
    """Return an immutable view of the current objects of ``ledger``."""
    workspaces = ledger.table(ObjectKind.WORKSPACE)
    keys = {
        digest: name
        for name, workspace in workspaces.items()
        for digest in workspace.key_digests
    }
    return ConfigState(
        offset=ledger.next,
        origin=ledger.origin,
        tiers=ledger.table(ObjectKind.TIER),
        workspaces=workspaces,
        services=ledger.table(ObjectKind.SERVICE),
        targets=ledger.table(ObjectKind.TARGET),
        keys=keys,
        target_ticket_numbers={
            name.name: row.number
            for name, row in ledger.objects.items()
            if name.table == ObjectKind.TARGET.value
        },
    )
