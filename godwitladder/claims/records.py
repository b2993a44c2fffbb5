"""The records of the claims stream and their form in CBOR.

Each record is an array of a kind number and its fields. The notes on crashes go
into the same stream, so that every host that can claim knows them too. Digests
and nonces of claims travel and are kept as bytes, since a host holds every claim
of the window.
"""

from dataclasses import astuple, dataclass

import cbor2

from godwitladder.findings import GodwitladderError
from godwitladder.ids import BodyDigest, HostId, Incarnation, KeyDigest, StreamId
from godwitladder.quarantine.records import Cleared, Crash, CrashNote, Lifted

# 16 bytes of a digest make an accidental clash of two keys less likely than a
# failure of memory; 8 are enough to tell another body under the same key.
KEY_BYTES = 16
BODY_BYTES = 8


class BadRecord(GodwitladderError):
    """Bytes in the claims stream that are no record."""


@dataclass(frozen=True, slots=True)
class Claim:
    """A host wants to run the request with ``key``.

    Attributes
    ----------
    nonce : bytes
        Names this claim alone; it is also the id of the target's stream.
    dated : float
        Time in the caller's key, in seconds since the epoch; 0 for a key
        that tells none.
    """

    key: bytes
    nonce: bytes
    host: HostId
    incarnation: Incarnation
    body: bytes
    dated: float


@dataclass(frozen=True, slots=True)
class Release:
    """The claim with ``nonce`` was not dispatched and never will be."""

    key: bytes
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A claim recorded again before its first record is dropped.

    Attributes
    ----------
    offset, time : int, float
        Those of the claim's first record, which decide as before.
    """

    claim: Claim
    offset: int
    time: float


ClaimRecord = Claim | Release | Snapshot
StreamRecord = ClaimRecord | CrashNote
KINDS: dict[type, int] = {
    Claim: 1,
    Release: 2,
    Snapshot: 3,
    Crash: 4,
    Cleared: 5,
    Lifted: 6,
}
PLAIN_KINDS = {number: kind for kind, number in KINDS.items() if kind is not Snapshot}


def encode_record(record: StreamRecord) -> bytes:
    """Return ``record`` in CBOR."""
    return cbor2.dumps([KINDS[type(record)], *astuple(record)])


def decode_record(data: bytes) -> StreamRecord:
    """Return the record in ``data``.

    Raises
    ------
    BadRecord
        The bytes are none of the kinds of record.
    """
    try:
        kind, *fields = cbor2.loads(data)
        if kind in PLAIN_KINDS:
            return PLAIN_KINDS[kind](*fields)
        if kind == KINDS[Snapshot]:
            claim, offset, time = fields
            return Snapshot(Claim(*claim), offset, time)
    except (cbor2.CBORDecodeError, ValueError, TypeError) as error:
        raise BadRecord(f"not a claim record: {error}") from error
    raise BadRecord(f"unknown kind of claim record {kind!r}")


def key_bytes(key: KeyDigest) -> bytes:
    """Return the part of a key's digest that the stream carries."""
    return bytes.fromhex(key)[:KEY_BYTES]


def body_bytes(body: BodyDigest) -> bytes:
    """Return the part of a body's digest that the stream carries."""
    return bytes.fromhex(body)[:BODY_BYTES]


def nonce_bytes(stream: StreamId) -> bytes:
    """Return the nonce that stands for ``stream``."""
    return bytes.fromhex(stream)
