"""Typed peer messages and their form in CBOR.

A message is a frozen dataclass, registered with `peer_message`; on the wire
it is an array of its name and of its fields in their order. A field that is
added later goes last and has a default, and unknown names are skipped, so
that hosts of two versions understand each other.

A long message, which holds whole documents, is compressed: a host with a slow
link would be held up for seconds by each of them.

Every field is checked for its type, since a peer may be of another version
or in error. The checks are put together once for each dataclass: what a host
spends on control is mostly the reading of messages.
"""

import dataclasses
import enum
import functools
import typing
import zlib
from collections.abc import Callable
from operator import attrgetter
from typing import Any

import cbor2

from godwitladder.findings import GodwitladderError
from godwitladder.tables import plain_type

COMPRESSED = "Compressed"
"""In place of the name of a message that is compressed."""
LONG_BYTES = 8_192
"""Shorter messages are not worth the time that compressing takes."""
MOST_BYTES = 16_777_216
"""Of a message that was compressed: whatever a peer sends, memory is bounded."""

KINDS: dict[str, type] = {}

Reader = Callable[[Any], Any]
Writer = Callable[[Any], Any]

SCALARS = frozenset({int, float, str, bool, bytes})


class InvalidMessage(GodwitladderError):
    """Bytes from a peer that are no message."""


def peer_message(kind: type) -> type:
    """Register a dataclass as a message between hosts."""
    KINDS[kind.__name__] = kind
    return kind


def encode(message: Any) -> bytes:
    """Return ``message`` in CBOR."""
    kind = type(message)
    data = cbor2.dumps([kind.__name__, _dataclass_writer(kind)(message)])
    if len(data) < LONG_BYTES:
        return data
    return cbor2.dumps([COMPRESSED, zlib.compress(data, zlib.Z_BEST_SPEED)])


def decode(data: bytes) -> Any | None:
    """Return the message in ``data``; None if its name is not known.

    Raises
    ------
    InvalidMessage
        The bytes are no message, or a field is missing or of a wrong type.
    """
    try:
        name, fields = cbor2.loads(data)
        if name == COMPRESSED:
            name, fields = cbor2.loads(_expand(fields))
        kind = KINDS.get(name)
        return make_reader(kind)(fields) if kind else None
    except (cbor2.CBORDecodeError, ValueError, TypeError, zlib.error) as error:
        raise InvalidMessage(f"not a message: {error}") from error


def _expand(data: bytes) -> bytes:
    expander = zlib.decompressobj()
    expanded = expander.decompress(data, MOST_BYTES)
    if not expander.eof:
        raise ValueError(f"more than {MOST_BYTES} bytes, or cut off")
    return expanded


@functools.cache
def _make_writer(hint: Any) -> Writer | None:
    """Return what turns a value into plain ones; None if it is plain already."""
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
    writers = [(place, _make_writer(hints[name])) for place, name in enumerate(names)]
    nested = [(place, write) for place, write in writers if write is not None]

    def write(value: Any) -> list:
        row = [getattr(value, name) for name in names]
        for place, write_item in nested:
            row[place] = write_item(row[place])
        return row

    return write


@functools.cache
def make_reader(hint: Any) -> Reader:
    """Return a function that checks a decoded value against ``hint``.

    Raises
    ------
    TypeError, ValueError
        From the function that is returned: the value is not of that type.
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
    scalars = [(place, hint) for place, hint in enumerate(plain) if hint in SCALARS]
    others = [
        (place, readers[place])
        for place, hint in enumerate(plain)
        if hint not in SCALARS
    ]

    def read(value: Any) -> Any:
        if type(value) is not list:
            raise TypeError(f"{kind.__name__} is no array: {value!r}")
        # Nearly all messages are of this version, and a call for each field of
        # each line is most of what reading one costs.
        if len(value) == len(fields) and all(
            [type(value[place]) is hint for place, hint in scalars]
        ):
            for place, reader in others:
                value[place] = reader(value[place])
            return kind(*value)
        # Fields of a later version are passed over; missing ones have
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
        if type(value) is kind:
            return value
        if kind is float and type(value) is int:
            return float(value)
        raise TypeError(f"expected {kind.__name__}, found {value!r}")

    return read
