"""Whether a ticket may be applied to the objects in force. Pure."""

import enum
from collections.abc import Iterator, Mapping
from typing import Any

from godwitladder.configuration.model import ObjectKind, ObjectName, Versioned
from godwitladder.configuration.tickets import Ticket
from godwitladder.findings import Finding, Findings


class Rejection(enum.Enum):
    """Why a ticket was rejected.

    INVALID: it can't be read. OUTDATED: an object it touches was written by
    a higher number. CONFLICT: its number stands for other content.
    INCONSISTENT: with it, objects would not fit together.
    """

    INVALID = "invalid"
    OUTDATED = "outdated"
    CONFLICT = "conflict"
    INCONSISTENT = "inconsistent"


def judge(
    objects: Mapping[ObjectName, Versioned], ticket: Ticket
) -> tuple[Rejection | None, tuple[Finding, ...]]:
    """Return why ``ticket`` must be rejected, or None, with all findings."""
    numbers = Findings()
    same = False
    for name in ticket.writes:
        held = objects.get(name)
        if held is not None and held.number >= ticket.number:
            same = same or held.number == ticket.number
            numbers.add(
                str(name),
                f"ticket {ticket.number} lost to ticket {held.number} of "
                f"{held.operator} at offset {held.offset}",
            )
    fit = Findings()
    after = _after(objects, ticket)
    _judge_references(after, ticket, fit)
    _judge_unique(after, fit)
    findings = tuple(numbers.rows + fit.rows)
    if same:
        return Rejection.CONFLICT, findings
    if numbers.rows:
        return Rejection.OUTDATED, findings
    return (Rejection.INCONSISTENT if fit.rows else None), findings


def _after(
    objects: Mapping[ObjectName, Versioned], ticket: Ticket
) -> dict[ObjectName, Any]:
    """Return the values in force if the ticket were applied."""
    after = {name: row.value for name, row in objects.items()} | ticket.writes
    return {name: value for name, value in after.items() if value is not None}


def _judge_references(
    after: Mapping[ObjectName, Any], ticket: Ticket, findings: Findings
) -> None:
    """Note references to objects that would not exist.

    Objects in force refer to nothing that is missing, so only what the
    ticket writes, and what refers to the objects it removes, is looked at.
    """
    removes = any(value is None for value in ticket.writes.values())
    for name in after if removes else ticket.writes:
        for other in _references(name, after[name]):
            if other not in after:
                findings.add(str(name), f"refers to {other}, which does not exist")


def _references(name: ObjectName, value: Any) -> Iterator[ObjectName]:
    if name.table == ObjectKind.WORKSPACE.value:
        yield ObjectName(ObjectKind.TIER.value, value.tier)
    if name.table == ObjectKind.TARGET.value:
        for service in value.services:
            yield ObjectName(ObjectKind.SERVICE.value, service)


def _judge_unique(after: Mapping[ObjectName, Any], findings: Findings) -> None:
    """Note bearer keys and addresses that two objects would hold.

    A key held by two workspaces would serve its callers in whichever tier
    comes last in a table. A target listed twice would be given twice the
    work that its slots allow.
    """
    holders: dict[tuple[str, str], ObjectName] = {}
    for name, value in after.items():
        for held in _unique_values(name, value):
            other = holders.setdefault(held, name)
            if other != name:
                findings.add(str(name), f"{held[0]} {held[1]} is also held by {other}")


def _unique_values(name: ObjectName, value: Any) -> Iterator[tuple[str, str]]:
    if name.table == ObjectKind.WORKSPACE.value:
        for digest in value.key_digests:
            yield "key digest", digest
    if name.table == ObjectKind.TARGET.value:
        yield "address", value.address
