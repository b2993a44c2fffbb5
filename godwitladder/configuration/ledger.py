"""The configuration as a pure function of the log's records.

Every host replays the same records in the same order and so reaches the same
verdicts, without any agreement between hosts. All that a verdict depends on
is part of the ledger and of its snapshots, so that a host that starts from a
snapshot judges the next ticket as one that replayed everything.
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
    Holders,
    Rejection,
    judge,
    unique_values,
)
from godwitladder.findings import Finding, InvalidInput
from godwitladder.ids import Offset, TicketNumber

# A day of tickets at the target size, so that the trail in memory reaches as
# far back as the records of a log that keeps them for a day.
AUDIT_KEPT = 2400
# The answer to an append is lost and the ticket sent again within minutes;
# ten hours of tickets at the target size are ample to know it again.
ACCEPTED_KEPT = 1000
FINDINGS_KEPT = 20
# Some months of removals at the target size, in a few megabytes.
REMOVED_KEPT = 10_000
# Stands before a snapshot. TOML allows no NUL, so no ticket starts like this.
SNAPSHOT_MARK = b"\x00godwitladder snapshot\n"


class Verdict(enum.Enum):
    """What became of a ticket."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    REJECTED = "rejected"


@dataclass(frozen=True)
class AuditEntry:
    """One line of the audit trail.

    Attributes
    ----------
    time : float
        The log's own time of the record, in seconds since the epoch.
    findings : tuple of Finding
        Why it was rejected, the first ``FINDINGS_KEPT``.
    cause : Rejection or None
        The kind of the rejection.
    digest : str
        Digest of the ticket's content; empty where it could not be read.
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
    """An accepted ticket, remembered to know it again."""

    number: TicketNumber
    operator: str
    offset: Offset
    digest: str


@dataclass
class Ledger:
    """The state in force and the verdict on every ticket that led to it.

    Attributes
    ----------
    objects : dict
        Each object ever written, with the ticket that wrote it last. A
        removed object stays as a row with value None, so that an older
        ticket can't bring it back; the last ``REMOVED_KEPT`` of these do.
    floor : int
        Highest number of the removals no longer kept as rows. An object that
        has no row can only be written by a higher one.
    accepted : dict
        The last ``ACCEPTED_KEPT`` accepted tickets by number.
    audit : deque
        The last ``AUDIT_KEPT`` verdicts.
    next : int
        Offset of the first record not yet replayed.
    tail : str
        SHA-256 of the record before ``next``, by which a log that was
        restored from another copy is told from the one replayed.
    holders : dict
        Index of ``objects``: who holds each value that may be held once.
    """

    objects: dict[ObjectName, Versioned] = field(default_factory=dict)
    accepted: dict[TicketNumber, Accepted] = field(default_factory=dict)
    audit: deque[AuditEntry] = field(default_factory=lambda: deque(maxlen=AUDIT_KEPT))
    next: Offset = Offset(0)
    tail: str = ""
    floor: int = 0
    holders: Holders = field(default_factory=dict, compare=False)

    def __post_init__(self) -> None:
        for name, row in self.objects.items():
            self._hold(name, row.value)

    def table(self, kind: ObjectKind) -> Mapping[str, Any]:
        """Return the objects of ``kind`` in force, by name."""
        return {
            name.name: row.value
            for name, row in self.objects.items()
            if name.table == kind.value and row.value is not None
        }

    def replay(self, offset: Offset, time: float, data: bytes) -> AuditEntry | None:
        """Judge the record at ``offset``; return its audit entry, if it has one.

        A record below ``next`` was judged before and changes nothing, so
        that a duplicate delivery can't bring an older state back. A snapshot
        repeats what the records before it say, and changes nothing either.
        """
        if offset < self.next:
            return None
        self.next = Offset(offset + 1)
        self.tail = record_digest(data)
        if data.startswith(SNAPSHOT_MARK):
            return None
        entry = self._judge(offset, time, data)
        self.audit.append(entry)
        return entry

    def keep_newer(self, older: "Ledger") -> None:
        """Take from ``older`` the objects that a higher number wrote there.

        Between two states of one log there is none, whichever is the later.
        Only where records were lost from the log for good can there be one,
        and then the state in force must not go back.
        """
        for name, row in older.objects.items():
            held = self.objects.get(name)
            # Without a row it may have been removed, and its row dropped.
            if row.number > (held.number if held else self.floor):
                self._write(name, row)

    def _judge(self, offset: Offset, time: float, data: bytes) -> AuditEntry:
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
                error.findings[:FINDINGS_KEPT],
                Rejection.INVALID,
            )
        verdict, cause, findings = self.judge(ticket)
        if verdict is Verdict.ACCEPTED:
            self._apply(offset, ticket)
        return AuditEntry(
            offset,
            time,
            ticket.number,
            ticket.operator,
            ticket.reason,
            verdict,
            findings[:FINDINGS_KEPT],
            cause,
            ticket.digest,
        )

    def judge(
        self, ticket: Ticket
    ) -> tuple[Verdict, Rejection | None, tuple[Finding, ...]]:
        """Return the verdict that ``ticket`` would get as the next record."""
        same = self.accepted.get(ticket.number)
        # Asked before the objects' numbers: a ticket sent again after a lost
        # answer was accepted, even where a later one has since replaced some
        # of its objects. "Rejected" would be untrue to its operator.
        if same and same.digest == ticket.digest:
            return Verdict.REPEATED, None, ()
        if same:
            text = (
                f"{ticket.number} is taken: {same.operator} used it at offset "
                f"{same.offset} for other content"
            )
            return Verdict.REJECTED, Rejection.CONFLICT, (Finding("number", text),)
        cause, findings = judge(self.objects, self.holders, self.floor, ticket)
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
        while len(self.accepted) > ACCEPTED_KEPT:
            del self.accepted[next(iter(self.accepted))]
        if None in ticket.writes.values():
            self._drop_removed()

    def _drop_removed(self) -> None:
        """Bound the rows of removed objects, the lowest numbers first."""
        rows = [
            (row.number, name)
            for name, row in self.objects.items()
            if row.value is None
        ]
        for number, name in sorted(rows)[: max(0, len(rows) - REMOVED_KEPT)]:
            self.floor = max(self.floor, number)
            del self.objects[name]

    def _write(self, name: ObjectName, row: Versioned) -> None:
        old = self.objects.get(name)
        for held in unique_values(name, old and old.value):
            # Another object of the same ticket may have taken it over.
            if self.holders.get(held) == name:
                del self.holders[held]
        self.objects[name] = row
        self._hold(name, row.value)

    def _hold(self, name: ObjectName, value: Any) -> None:
        for held in unique_values(name, value):
            self.holders[held] = name


def record_digest(data: bytes) -> str:
    """Return the digest by which two copies of a record are compared."""
    return hashlib.sha256(data).hexdigest()


def make_state(ledger: Ledger) -> ConfigState:
    """Return the view of ``ledger`` as it stands."""
    workspaces = ledger.table(ObjectKind.WORKSPACE)
    keys = {
        digest: name
        for name, workspace in workspaces.items()
        for digest in workspace.key_digests
    }
    return ConfigState(
        offset=ledger.next,
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
