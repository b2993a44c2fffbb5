"""Encoding of a ledger's whole state as one log record or peer message.

Records of the log expire. A snapshot appended before they do lets a host that
starts later reach the same state as a full replay. The format is CBOR,
compressed with zlib, after magic bytes with which no ticket can start.
"""

import dataclasses
import enum
import zlib
from collections import deque
from dataclasses import dataclass
from typing import Any

import cbor2

from godwitladder.configuration.ledger import (
    MAX_AUDIT_ENTRIES,
    SNAPSHOT_MAGIC,
    Accepted,
    AuditEntry,
    Ledger,
)
from godwitladder.configuration.model import (
    TYPES,
    ObjectKind,
    ObjectName,
    Versioned,
)
from godwitladder.findings import Findings, GodwitladderError
from godwitladder.fleets import UNKNOWN_FLEET
from godwitladder.ids import FleetId, Offset
from godwitladder.tables import read_table

# Limits the memory that decompressing a damaged record can take. A state at the
# largest supported size takes a few megabytes.
MAX_UNPACKED_BYTES = 67_108_864


class InvalidSnapshot(GodwitladderError):
    """Raised for data that is not a valid snapshot."""


@dataclass(frozen=True)
class ObjectRow:
    """Name of an object in a snapshot and the ticket that last wrote it."""

    table: str
    name: str
    number: int
    operator: str
    offset: int
    digest: str


@dataclass(frozen=True)
class SnapshotHead:
    """Scalar fields of a ledger in a snapshot."""

    next: int
    tail: str
    floor: int = 0


def encode_snapshot(ledger: Ledger) -> bytes:
    """Return ``ledger`` encoded as a snapshot."""
    body = {
        "head": dataclasses.asdict(
            SnapshotHead(ledger.next, ledger.tail, ledger.floor)
        ),
        "objects": [_encode_object(name, row) for name, row in ledger.objects.items()],
        "accepted": [dataclasses.asdict(row) for row in ledger.accepted.values()],
        "audit": [dataclasses.asdict(row) for row in ledger.audit],
        # Beside the head, in which earlier versions accept no further field.
        "origin": ledger.origin,
    }
    return SNAPSHOT_MAGIC + zlib.compress(cbor2.dumps(body, default=_encode_enum))


def decode_snapshot(data: bytes) -> Ledger:
    """Return the ledger encoded in ``data``.

    Raises
    ------
    InvalidSnapshot
        If the data is damaged or in a format that this version does not know.
    """
    body = _unpack(data)
    findings = Findings()
    try:
        head = _read(body["head"], SnapshotHead, findings)
        objects = [_decode_object(row, findings) for row in body["objects"]]
        accepted = [_read(row, Accepted, findings) for row in body["accepted"]]
        audit = [_read(row, AuditEntry, findings) for row in body["audit"]]
        origin = body.get("origin", UNKNOWN_FLEET)
        if not isinstance(origin, str):
            findings.add("origin", f"is no text: {type(origin).__name__}")
        findings.raise_if_any()
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        GodwitladderError,
    ) as error:
        raise InvalidSnapshot(f"invalid snapshot: {error!r}") from error
    return Ledger(
        objects=dict(objects),
        accepted={row.number: row for row in accepted},
        audit=deque(audit, maxlen=MAX_AUDIT_ENTRIES),
        next=Offset(head.next),
        tail=head.tail,
        floor=head.floor,
        origin=FleetId(origin),
    )


def _unpack(data: bytes) -> Any:
    if not data.startswith(SNAPSHOT_MAGIC):
        raise InvalidSnapshot("the magic bytes at the start of a snapshot are missing")
    reader = zlib.decompressobj()
    try:
        payload = reader.decompress(data[len(SNAPSHOT_MAGIC) :], MAX_UNPACKED_BYTES)
        return cbor2.loads(payload)
    except (zlib.error, cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise InvalidSnapshot(f"invalid snapshot: {error!r}") from error


def _encode_object(name: ObjectName, row: Versioned) -> list:
    head = ObjectRow(
        name.table, name.name, row.number, row.operator, row.offset, row.digest
    )
    value = None if row.value is None else dataclasses.asdict(row.value)
    return [dataclasses.asdict(head), value]


def _decode_object(raw: list, findings: Findings) -> tuple[ObjectName, Versioned]:
    head, value = raw
    row = _read(head, ObjectRow, findings)
    if value is not None:
        kind = TYPES[ObjectKind(row.table)]
        value = read_table(value, kind, f"{row.table}.{row.name}", findings)
    versioned = Versioned(row.number, row.operator, row.offset, row.digest, value)
    return ObjectName(row.table, row.name), versioned


def _read(raw: Any, kind: type, findings: Findings) -> Any:
    value = read_table(raw, kind, kind.__name__, findings)
    if value is None:
        findings.raise_if_any()
    return value


def _encode_enum(encoder: Any, value: Any) -> None:
    if not isinstance(value, enum.Enum):
        raise TypeError(f"cannot encode {value!r} in a snapshot")
    encoder.encode(value.value)
