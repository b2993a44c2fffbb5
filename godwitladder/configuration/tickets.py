"""Change tickets: numbered, in TOML, with the whole new state of each object.

A ticket has ``number``, ``operator``, ``reason``, any of the tables
``tiers``, ``workspaces``, ``services`` and ``targets``, and ``remove``, a
list of ``table.name``.
"""

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any

from godwitladder.configuration.model import TYPES, ObjectKind, ObjectName
from godwitladder.findings import Findings
from godwitladder.ids import TicketNumber
from godwitladder.settings import parse_toml
from godwitladder.tables import MAX_JSON_INTEGER, read_table

# Bounds are constants and no settings: a verdict must be the same everywhere.
MAX_TICKET_BYTES = 1_048_576
NAME_CHARS = 200
HEAD = ("number", "operator", "reason", "remove")
TABLES = tuple(kind.value for kind in ObjectKind)


@dataclass(frozen=True)
class Ticket:
    """A ticket that was read without findings.

    Attributes
    ----------
    writes : dict
        New value for each object; None removes it.
    digest : str
        SHA-256 of the ticket's content, whatever its layout and comments.
    """

    number: TicketNumber
    operator: str
    reason: str
    writes: dict[ObjectName, Any] = field(hash=False)
    digest: str


def read_ticket(data: bytes, name: str = "ticket") -> Ticket:
    """Return the ticket in ``data``.

    Raises
    ------
    InvalidInput
        With every finding in the text.
    """
    findings = Findings()
    if len(data) > MAX_TICKET_BYTES:
        findings.add(name, f"has {len(data)} bytes, more than {MAX_TICKET_BYTES}")
        findings.raise_if_any()
    ticket = None
    raw = parse_toml(data, name, findings)
    try:
        ticket = _read(raw, name, findings) if raw is not None else None
    except RecursionError:
        # A dotted key of thousands of parts is sound TOML; see parse_toml.
        findings.add(name, "is nested too deeply")
    findings.raise_if_any()
    return ticket


def _read(raw: dict, name: str, findings: Findings) -> Ticket:
    for key in raw:
        if key not in HEAD + TABLES:
            findings.add_unknown(f"{name}: {key}", key, HEAD + TABLES)
    number = raw.get("number")
    whole = isinstance(number, int) and not isinstance(number, bool)
    if not whole or not 1 <= number <= MAX_JSON_INTEGER:
        text = f"must be a whole number from 1 to {MAX_JSON_INTEGER}"
        findings.add(f"{name}: number", text)
    for key in ("operator", "reason"):
        if not isinstance(raw.get(key), str) or not raw.get(key):
            findings.add(f"{name}: {key}", "must be a text that is not empty")
    writes = _read_writes(raw, name, findings)
    _read_removals(raw.get("remove", []), name, writes, findings)
    if not writes:
        findings.add(name, "touches no object")
    return Ticket(
        number, raw.get("operator", ""), raw.get("reason", ""), writes, _digest(raw)
    )


def _digest(raw: dict) -> str:
    content = json.dumps(raw, sort_keys=True, default=str)
    return hashlib.sha256(content.encode()).hexdigest()


def _read_writes(raw: dict, name: str, findings: Findings) -> dict[ObjectName, Any]:
    writes = {}
    for kind in ObjectKind:
        table = raw.get(kind.value, {})
        if not isinstance(table, dict):
            findings.add(f"{name}: {kind.value}", "expected a table of tables")
            continue
        for item, value in table.items():
            place = f"{name}: {kind.value}.{item}"
            if not item.isprintable() or not 0 < len(item) <= NAME_CHARS:
                findings.add(place, f"a name has 1 to {NAME_CHARS} printable letters")
            read = read_table(value, TYPES[kind], place, findings)
            writes[ObjectName(kind.value, item)] = read
    return writes


def _read_removals(
    raw: Any, name: str, writes: dict[ObjectName, Any], findings: Findings
) -> None:
    if not isinstance(raw, list):
        findings.add(f"{name}: remove", f"expected a list, found {raw!r}")
        return
    for index, item in enumerate(raw):
        place = f"{name}: remove[{index}]"
        table, _, object_name = str(item).partition(".")
        if table not in TABLES or not object_name:
            findings.add(place, f"{item!r} must be table.name")
        elif ObjectName(table, object_name) in writes:
            findings.add(place, f"{item!r} is also written by this ticket")
        else:
            writes[ObjectName(table, object_name)] = None
