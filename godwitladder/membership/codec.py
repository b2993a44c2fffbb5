"""Typed peer messages and their form in CBOR.

A message is a frozen dataclass, registered with `peer_message`; on the wire
it is an array of its name and its fields. Unknown names are skipped, so that
hosts of two versions can stand side by side.
"""

import dataclasses
import enum
from typing import Any

import cbor2

from godwitladder.findings import Findings, GodwitladderError
from godwitladder.tables import read_table

KINDS: dict[str, type] = {}


class BadMessage(GodwitladderError):
    """Bytes from a peer that are no message."""


def peer_message(kind: type) -> type:
    """Register a dataclass as a message between hosts."""
    KINDS[kind.__name__] = kind
    return kind


def encode(message: Any) -> bytes:
    """Return ``message`` in CBOR."""
    return cbor2.dumps([type(message).__name__, to_plain(message)])


def to_plain(value: Any) -> Any:
    """Return ``value`` in the types that CBOR has.

    ``dataclasses.asdict`` would copy every leaf, and leave enums as they are.
    """
    if dataclasses.is_dataclass(value):
        names = type(value).__dataclass_fields__
        return {name: to_plain(getattr(value, name)) for name in names}
    if isinstance(value, tuple | list):
        return [to_plain(item) for item in value]
    if isinstance(value, enum.Enum):
        return value.value
    return value


def decode(data: bytes) -> Any | None:
    """Return the message in ``data``; None if its name is not known.

    Raises
    ------
    BadMessage
        The bytes are no message, or a field is missing or of a wrong type.
    """
    try:
        name, fields = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise BadMessage(f"not a message: {error}") from error
    kind = KINDS.get(name)
    if kind is None:
        return None
    findings = Findings()
    message = read_table(fields, kind, name, findings)
    if message is None:
        raise BadMessage("; ".join(str(row) for row in findings.rows))
    return message
