"""Records of the orders stream, in CBOR."""

import dataclasses
from dataclasses import dataclass
from typing import Any

import cbor2

from godwitladder.findings import Findings, GodwitladderError
from godwitladder.ids import Nonce, TargetName
from godwitladder.tables import checked, not_negative, positive, read_table


class BadRecord(GodwitladderError):
    """Bytes that are no record of this stream."""


@dataclass(frozen=True)
class Lease:
    """A process wants to be the one issuer of orders to a target.

    Attributes
    ----------
    holder : str
        Host and incarnation.
    nonce : str
        Names this record, so that its writer finds it without an answer.
    version : int
        Number of the ticket whose state the order will carry.
    lease_s : float
        How long it is asked for, in seconds by the log's time.
    """

    target: TargetName
    holder: str
    nonce: Nonce
    version: int = checked(not_negative)
    lease_s: float = checked(positive)


@dataclass(frozen=True)
class WeightRead:
    """A process wants to read the weight store once."""

    holder: str
    nonce: Nonce


KINDS: dict[str, type] = {kind.__name__: kind for kind in (Lease, WeightRead)}
OrderRecord = Lease | WeightRead


def encode_record(record: OrderRecord) -> bytes:
    """Return ``record`` in CBOR."""
    return cbor2.dumps([type(record).__name__, dataclasses.asdict(record)])


def decode_record(data: bytes) -> OrderRecord:
    """Return the record in ``data``.

    Raises
    ------
    BadRecord
        It is of no form that is known.
    """
    try:
        name, fields = cbor2.loads(data)
        kind = KINDS[name]
    except (cbor2.CBORDecodeError, ValueError, TypeError, KeyError) as error:
        raise BadRecord(f"not a record: {error!r}") from error
    findings = Findings()
    record: Any = read_table(fields, kind, name, findings)
    if record is None:
        raise BadRecord("; ".join(str(row) for row in findings.items))
    return record
