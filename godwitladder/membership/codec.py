"""Typed peer messages and their CBOR encoding.

A message is a frozen dataclass registered with `peer_message`. It is encoded as an
array of its class name and an array of its fields in order. New fields are added
at the end, with a default, and messages with unknown names are ignored, so that
hosts of two versions can communicate.

Long messages, which list many requests or contain whole documents, are compressed:
on a slow link they would delay all messages behind them.

The type of every field is checked, and that a number is one and has 64 bits at most,
since a peer may have another version or be faulty. The checks are built once for each
dataclass: decoding messages is most of the processor time that a host spends on
coordination.
"""

import dataclasses
import enum
import functools
import math
import typing
import zlib
from collections.abc import Callable
from operator import attrgetter
from typing import Any

import cbor2

from godwitladder.findings import GodwitladderError
from godwitladder.process.memory import require_room
from godwitladder.tables import plain_type
from godwitladder.untrusted import MAX_INTEGER

COMPRESSED = "Compressed"
"""Replaces the class name in the encoding of a compressed message."""
MIN_COMPRESS_BYTES = 1_024
"""Minimum size of a message to compress; smaller ones aren't worth the time."""
MAX_DECOMPRESSED_BYTES = 16_777_216
"""Maximum decompressed size of a message, which bounds the memory that a faulty peer
can make this host use."""

MESSAGE_TYPES: dict[str, type] = {}

Reader = Callable[[Any], Any]
Writer = Callable[[Any], Any]

SCALARS = frozenset({int, float, str, bool, bytes})
INVALID_BYTES = (
    cbor2.CBORDecodeError,
    ValueError,
    TypeError,
    OverflowError,
    RecursionError,
    zlib.error,
)
"""What is raised for bytes that are no message."""


class InvalidMessage(GodwitladderError):
    """Bytes from a peer that are not a valid message."""


def peer_message(kind: type) -> type:
    """Register a dataclass as a peer message; a class decorator."""
    MESSAGE_TYPES[kind.__name__] = kind
    return kind


def encode(message: Any) -> bytes:
    """Return the CBOR encoding of ``message``."""
    kind = type(message)
    data = cbor2.dumps([kind.__name__, _dataclass_writer(kind)(message)])
    if len(data) < MIN_COMPRESS_BYTES:
        return data
    return cbor2.dumps([COMPRESSED, zlib.compress(data, zlib.Z_BEST_SPEED)])


def decode(data: bytes, max_bytes: int = MAX_DECOMPRESSED_BYTES) -> Any | None:
    """Return the message encoded in ``data``; None if its name is unknown.

    Parameters
    ----------
    max_bytes : int
        Maximum size of the message, also decompressed. Decoding takes up to a hundred
        times as much memory.

    Raises
    ------
    InvalidMessage
        The bytes are not a message or too many, or a field is missing or has the wrong
        type.
    """
    if len(data) > max_bytes:
        raise InvalidMessage(f"invalid message: longer than {max_bytes} bytes")
    require_room(len(data))
    try:
        name, fields = cbor2.loads(data)
        if name == COMPRESSED:
            data = _decompress(fields, max_bytes)
            require_room(len(data))
            name, fields = cbor2.loads(data)
        kind = MESSAGE_TYPES.get(name)
        return make_reader(kind)(fields) if kind else None
    except INVALID_BYTES as error:
        raise InvalidMessage(f"invalid message: {error}") from error


def _decompress(data: bytes, max_bytes: int) -> bytes:
    decompressor = zlib.decompressobj()
    decompressed = decompressor.decompress(data, max_bytes)
    if not decompressor.eof:
        raise ValueError(f"truncated, or longer than {max_bytes} bytes")
    return decompressed


@functools.cache
def _make_writer(hint: Any) -> Writer | None:
    """Return a function that converts a value for CBOR; None if none is needed."""
    optional = type(None) in typing.get_args(hint)
    hint = plain_type(hint)
    if typing.get_origin(hint) is tuple:
        inner = _make_writer(typing.get_args(hint)[0])
        write = inner and (lambda rows: [inner(row) for row in rows])
    elif dataclasses.is_dataclass(hint):
        write = _dataclass_writer(hint)
    elif issubclass(hint, enum.Enum):
        write = attrgetter("value")
    else:
        return None
    if not optional or write is None:
        return write
    return lambda value: None if value is None else write(value)


@functools.cache
def _dataclass_writer(kind: type) -> Writer:
    hints = typing.get_type_hints(kind)
    names = [field.name for field in dataclasses.fields(kind)]
    writers = [(index, _make_writer(hints[name])) for index, name in enumerate(names)]
    nested = [(index, write) for index, write in writers if write is not None]

    def write(value: Any) -> list:
        row = [getattr(value, name) for name in names]
        for index, write_item in nested:
            row[index] = write_item(row[index])
        return row

    return write


@functools.cache
def make_reader(hint: Any) -> Reader:
    """Return a function that checks and converts a decoded value to type ``hint``.

    Raises
    ------
    TypeError, ValueError
        From the returned function, if the value doesn't have that type.
    """
    if type(None) in typing.get_args(hint):
        inner = make_reader(plain_type(hint))
        return lambda value: None if value is None else inner(value)
    hint = plain_type(hint)
    if typing.get_origin(hint) is tuple:
        return _tuple_reader(typing.get_args(hint))
    if dataclasses.is_dataclass(hint):
        return _dataclass_reader(hint)
    if issubclass(hint, enum.Enum):
        return hint
    return _scalar_reader(hint)


def _dataclass_reader(kind: type) -> Reader:
    hints = typing.get_type_hints(kind)
    fields = dataclasses.fields(kind)
    readers = [make_reader(hints[field.name]) for field in fields]
    plain = [plain_type(hints[field.name]) for field in fields]
    scalars = [(index, hint) for index, hint in enumerate(plain) if hint in SCALARS]
    names = [field.name for field in fields]
    integers = [index for index, hint in enumerate(plain) if hint is int]
    floats = [index for index, hint in enumerate(plain) if hint is float]
    others = [
        (index, readers[index])
        for index, hint in enumerate(plain)
        if hint not in SCALARS
    ]

    def read(value: Any) -> Any:
        if type(value) is not list:
            raise TypeError(f"{kind.__name__} is not an array: {value!r}")
        # Fast path for messages of this version, which nearly all are: calling a
        # reader for each field would be most of the cost of decoding.
        if len(value) == len(fields) and all(
            [type(value[index]) is hint for index, hint in scalars]
        ):
            for index in integers:
                if not -MAX_INTEGER <= value[index] <= MAX_INTEGER:
                    raise ValueError(f"{names[index]} has more than 64 bits")
            for index in floats:
                if math.isnan(value[index]):
                    raise ValueError(f"{names[index]} is not a number")
            for index, reader in others:
                value[index] = reader(value[index])
            return kind(*value)
        # Additional fields of a later version are ignored. Missing fields have
        # defaults, or the call below raises TypeError.
        pairs = zip(readers, value, strict=False)
        return kind(*[reader(item) for reader, item in pairs])

    return read


def _tuple_reader(args: tuple) -> Reader:
    item = make_reader(args[0])

    def read(value: Any) -> tuple:
        if type(value) is not list:
            raise TypeError(f"expected an array, found {value!r}")
        return tuple([item(row) for row in value])

    return read


def _scalar_reader(kind: type) -> Reader:
    def read(value: Any) -> Any:
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            raise TypeError(f"expected {kind.__name__}, found {value!r}")
        if kind is int and abs(value) > MAX_INTEGER:
            raise ValueError("an integer has more than 64 bits")
        if kind is float and math.isnan(value):
            raise ValueError("a float is not a number")
        return value

    return read
