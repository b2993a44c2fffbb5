"""Records of the claims stream and their CBOR encoding.

Each record is an array of a kind number and its fields. Crash events go into
the same stream, so that every host that can claim a key also knows them.
Digests and nonces of claims are sent and stored as bytes to save memory, since
a host keeps every claim of the retention window.
"""

from dataclasses import astuple, dataclass, fields

import cbor2

from godwitladder.findings import GodwitladderError
from godwitladder.ids import BodyDigest, HostId, Incarnation, KeyDigest, StreamId
from godwitladder.membership.codec import INVALID_BYTES, make_reader
from godwitladder.quarantine.records import Cleared, Crash, CrashEvent, Lifted

# With 16 bytes, a digest collision of two keys is less likely than a memory
# failure. 8 bytes suffice to detect a different body under the same key.
KEY_BYTES = 16
BODY_BYTES = 8


class BadRecord(GodwitladderError):
    """Bytes in the claims stream could not be decoded as a record."""


@dataclass(frozen=True, slots=True)
class Claim:
    """A host's claim to run the request with ``key``.

    Attributes
    ----------
    nonce : bytes
        Unique identifier of this claim. Also the id of the stream on the
        target.
    key_time_s : float
        Timestamp in the caller's key, in seconds since the epoch; 0 for a key
        without a timestamp.
    """

    key: bytes
    nonce: bytes
    host: HostId
    incarnation: Incarnation
    body: bytes
    key_time_s: float


@dataclass(frozen=True, slots=True)
class Release:
    """Releases the claim ``nonce``, which was not and will not be dispatched."""

    key: bytes
    nonce: bytes


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A copy of a claim, appended before the log drops its first record.

    Attributes
    ----------
    offset, time : int, float
        Offset and log time of the claim's first record. They still determine
        the order of the claims and when this one expires.
    """

    claim: Claim
    offset: int
    time: float


ClaimRecord = Claim | Release | Snapshot
StreamRecord = ClaimRecord | CrashEvent
KINDS: dict[type, int] = {
    Claim: 1,
    Release: 2,
    Snapshot: 3,
    Crash: 4,
    Cleared: 5,
    Lifted: 6,
}
READERS = {number: make_reader(kind) for kind, number in KINDS.items()}


def encode_record(record: StreamRecord) -> bytes:
    """Encode ``record`` as CBOR.

    Fields at the end of a crash event that have their defaults are left out, so that
    hosts of an older version can read the record.
    """
    values = list(astuple(record))
    if isinstance(record, CrashEvent):
        defaults = [field.default for field in fields(record)]
        while values[-1] == defaults[len(values) - 1]:
            del values[-1]
    return cbor2.dumps([KINDS[type(record)], *values])


def decode_record(data: bytes) -> StreamRecord:
    """Decode a record from ``data``.

    Raises
    ------
    BadRecord
        If ``data`` is not a record of a known kind.
    """
    try:
        kind, *values = cbor2.loads(data)
        if kind in READERS:
            return READERS[kind](values)
    except INVALID_BYTES as error:
        raise BadRecord(f"invalid claim record: {error}") from error
    raise BadRecord(f"unknown claim record kind {kind!r:.40}")


def key_bytes(key: KeyDigest) -> bytes:
    """Return the prefix of a key's digest that is stored in the stream."""
    return bytes.fromhex(key)[:KEY_BYTES]


def body_bytes(body: BodyDigest) -> bytes:
    """Return the prefix of a body's digest that is stored in the stream."""
    return bytes.fromhex(body)[:BODY_BYTES]


def nonce_bytes(stream: StreamId) -> bytes:
    """Return the claim nonce that corresponds to ``stream``."""
    return bytes.fromhex(stream)
