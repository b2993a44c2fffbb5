"""The configuration as a pure function of the log's records.

Every host replays the same records in the same order and so reaches the same
verdicts, without any agreement between hosts.
"""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from godwitladder.configuration.model import ObjectKind, ObjectName, Versioned
from godwitladder.configuration.tickets import Ticket, read_ticket
from godwitladder.findings import Finding, Findings, InvalidInput
from godwitladder.ids import Offset


class Verdict(enum.Enum):
    """What became of a ticket."""

    ACCEPTED = "accepted"
    REPEATED = "repeated"
    REJECTED = "rejected"


@dataclass(frozen=True)
class AuditEntry:
    """One line of the audit trail; ``time`` is seconds since the epoch."""

    offset: Offset
    time: float
    number: int
    operator: str
    reason: str
    verdict: Verdict
    findings: tuple[Finding, ...]


@dataclass
class Ledger:
    """The state in force and the verdict on every ticket that led to it.

    Attributes
    ----------
    objects : dict
        Each object ever written, with the ticket that wrote it last. A
        removed object stays as a row with value None, so that an older
        ticket can't bring it back.
    next : int
        Offset of the first record not yet replayed.
    """

    objects: dict[ObjectName, Versioned] = field(default_factory=dict)
    audit: list[AuditEntry] = field(default_factory=list)
    next: Offset = Offset(0)

    def table(self, kind: ObjectKind) -> Mapping[str, Any]:
        """Return the objects of ``kind`` in force, by name."""
        return {
            name.name: row.value
            for name, row in self.objects.items()
            if name.table == kind.value and row.value is not None
        }

    def replay(self, offset: Offset, time: float, data: bytes) -> AuditEntry | None:
        """Judge the record at ``offset``; return its audit entry.

        A record below ``next`` was judged before and changes nothing, so
        that a duplicate delivery can't bring an older state back.
        """
        if offset < self.next:
            return None
        self.next = Offset(offset + 1)
        entry = self._judge(offset, time, data)
        self.audit.append(entry)
        return entry

    def _judge(self, offset: Offset, time: float, data: bytes) -> AuditEntry:
        try:
            ticket = read_ticket(data)
        except InvalidInput as error:
            return AuditEntry(offset, time, 0, "", "", Verdict.REJECTED, error.findings)
        verdict, findings = judge(self.objects, ticket)
        if verdict is Verdict.ACCEPTED:
            self._apply(offset, ticket)
        return AuditEntry(
            offset,
            time,
            ticket.number,
            ticket.operator,
            ticket.reason,
            verdict,
            findings,
        )

    def _apply(self, offset: Offset, ticket: Ticket) -> None:
        for name, value in ticket.writes.items():
            self.objects[name] = Versioned(
                ticket.number, ticket.operator, offset, ticket.digest, value
            )


def judge(
    objects: Mapping[ObjectName, Versioned], ticket: Ticket
) -> tuple[Verdict, tuple[Finding, ...]]:
    """Return the verdict on ``ticket`` given the objects in force."""
    held = [objects[name] for name in ticket.writes if name in objects]
    if len(held) == len(ticket.writes) and all(
        row.number == ticket.number and row.digest == ticket.digest for row in held
    ):
        return Verdict.REPEATED, ()
    findings = Findings()
    for name in ticket.writes:
        _judge_number(name, objects.get(name), ticket, findings)
    _judge_references(objects, ticket, findings)
    if findings.rows:
        return Verdict.REJECTED, tuple(findings.rows)
    return Verdict.ACCEPTED, ()


def _judge_number(
    name: ObjectName, held: Versioned | None, ticket: Ticket, findings: Findings
) -> None:
    if held is None or held.number < ticket.number:
        return
    findings.add(
        str(name),
        f"ticket {ticket.number} lost to ticket {held.number} of "
        f"{held.operator} at offset {held.offset}",
    )


def _judge_references(
    objects: Mapping[ObjectName, Versioned], ticket: Ticket, findings: Findings
) -> None:
    """Note references to objects that would not exist with the ticket."""
    after = {name: row.value for name, row in objects.items()} | ticket.writes
    for name, value in after.items():
        if value is None:
            continue
        for target in _references(name, value):
            if after.get(target) is None:
                findings.add(str(name), f"refers to {target}, which does not exist")


def _references(name: ObjectName, value: Any) -> list[ObjectName]:
    if name.table == ObjectKind.WORKSPACE.value:
        return [ObjectName(ObjectKind.TIER.value, value.tier)]
    if name.table == ObjectKind.TARGET.value:
        table = ObjectKind.SERVICE.value
        return [ObjectName(table, service) for service in value.services]
    return []
