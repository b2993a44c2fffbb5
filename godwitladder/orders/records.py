"""Records of the orders stream and their CBOR encoding."""

import dataclasses
from dataclasses import dataclass
from typing import Any

import cbor2

from godwitladder.findings import Findings, GodwitladderError
from godwitladder.ids import Nonce, TargetName
from godwitladder.tables import checked, not_negative, positive, read_table


class BadRecord(GodwitladderError):
    """Bytes in the orders stream could not be decoded as a record."""


@dataclass(frozen=True)
class Lease:
    """A process's request to be the only issuer of orders to a target.

    Attributes
    ----------
    holder : str
        Host and incarnation of the process.
    nonce : str
        Unique id of this record, by which its writer finds it in the stream
        even if the response to the append was lost.
    version : int
        Number of the ticket whose state the order will carry.
    lease_s : float
        Requested duration in seconds of log time.
    """

    target: TargetName
    holder: str
    nonce: Nonce
    version: int = checked(not_negative)
    lease_s: float = checked(positive)


@dataclass(frozen=True)
class WeightRead:
    """A process's request to read the weight store once."""

    holder: str
    nonce: Nonce


KINDS: dict[str, type] = {kind.__name__: kind for kind in (Lease, WeightRead)}
OrderRecord = Lease | WeightRead


def encode_record(record: OrderRecord) -> bytes:
    """Encode ``record`` as CBOR."""
    return cbor2.dumps([type(record).__name__, dataclasses.asdict(record)])


def decode_record(data: bytes) -> OrderRecord:
    """Decode a record from ``data``.

    Raises
    ------
    BadRecord
        If ``data`` is not a record of a known kind with valid fields.
    """
    try:
        name, fields = cbor2.loads(data)
        kind = KINDS[name]
    except (cbor2.CBORDecodeError, ValueError, TypeError, KeyError) as error:
        raise BadRecord(f"invalid order record: {error!r}") from error
    findings = Findings()
    record: Any = read_table(fields, kind, name, findings)
    if record is None:
        raise BadRecord("; ".join(str(row) for row in findings.items))
    return record
