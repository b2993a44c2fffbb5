"""Parses TOML tables into dataclasses and reports every error found.

A dataclass is the schema of a table. The type of a field says which values are
accepted. Its metadata may hold ``check``, a function that takes the value and
returns an error message, or None if the value is valid.
"""

import dataclasses
import enum
import functools
import ipaddress
import math
import re
import typing
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from godwitladder.findings import Findings

T = TypeVar("T")
Check = Callable[[Any], str | None]
SHA256_PATTERN = re.compile("[0-9a-f]{64}")
# The largest integer that every JSON parser represents exactly.
MAX_JSON_INTEGER = 2**53 - 1
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5


def checked(check: Check, **kwargs: Any) -> Any:
    """Return a dataclass field whose value must pass ``check``."""
    return dataclasses.field(metadata={"check": check}, **kwargs)


def positive(value: float) -> str | None:
    """Accept finite numbers greater than zero."""
    return None if 0 < value < math.inf else f"{value!r} must be above zero and finite"


def not_negative(value: float) -> str | None:
    """Accept finite numbers greater than or equal to zero."""
    return (
        None if 0 <= value < math.inf else f"{value!r} must be finite and not negative"
    )


def share(value: float) -> str | None:
    """Accept numbers from 0 to 1, without 0."""
    return None if 0 < value <= 1 else f"{value!r} must be above 0 and at most 1"


def sha256_digest(value: str) -> str | None:
    """Accept a SHA-256 digest in lower-case hexadecimal."""
    if SHA256_PATTERN.fullmatch(value):
        return None
    return f"{value!r} must be a SHA-256: 64 digits of lower-case hex"


def sha256_digests(values: tuple[str, ...]) -> str | None:
    """Accept a list of SHA-256 digests in lower-case hexadecimal."""
    return _first_error(sha256_digest, values)


def _first_error(check: Check, values: tuple[str, ...]) -> str | None:
    errors = [check(value) for value in values if value is not None]
    return next((text for text in errors if text), None)


def http_url(value: str) -> str | None:
    """Accept a URL of ``http://`` or ``https://`` followed by an address."""
    if value.startswith(("http://", "https://")) and value.split("://")[1]:
        return None
    return f"{value!r} must start with http:// or https:// and name an address"


def not_empty(value: str) -> str | None:
    """Accept any non-empty string."""
    return None if value else "must not be empty"


def host_port(value: str) -> str | None:
    """Accept ``address:port`` with a port from 0 to 65535."""
    address, _, port = value.rpartition(":")
    if address and _is_port(port):
        return None
    return f"{value!r} must be address:port"


def _is_port(text: str) -> bool:
    # Converting a text of thousands of digits raises an exception.
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_PORT_DIGITS
    return is_number and int(text) <= MAX_PORT


def ip_port(value: str) -> str | None:
    """Accept an IP address and a port; IPv6 addresses are in brackets."""
    text = host_port(value)
    if text:
        return text
    try:
        ipaddress.ip_address(value.rpartition(":")[0].strip("[]"))
    except ValueError:
        return f"{value!r} must name an IP number"
    return None


def ip_ports(values: tuple[str, ...]) -> str | None:
    """Accept a list of IP addresses with ports."""
    return _first_error(ip_port, values)


def partial_ip_port(value: str) -> str | None:
    """Accept ``address:port`` of which the address, the port or both are left out."""
    address, _, port = value.rpartition(":")
    return ip_port(f"{address or '127.0.0.1'}:{port or 0}")


def read_table(raw: Any, kind: type[T], place: str, findings: Findings) -> T | None:
    """Return ``raw`` as an instance of ``kind``, or None if it is invalid.

    Parameters
    ----------
    raw : Any
        The table as parsed from TOML.
    kind : type
        The dataclass that is the schema of the table.
    place : str
        Location of the table in the input, for the findings.
    findings : Findings
        Receives a finding for each error in the table.

    Returns
    -------
    table : kind or None
        None if a finding was added.
    """
    if not isinstance(raw, Mapping):
        findings.add(place, f"expected a table, found {raw!r}")
        return None
    hints = _hints(kind)
    fields = _fields(kind)
    before = len(findings.items)
    for name in raw:
        if name not in fields:
            findings.add_unknown(_join_place(place, name), name, fields)
    values = {}
    for name, field in fields.items():
        field_place = _join_place(place, name)
        if name in raw:
            values[name] = _read_value(raw[name], hints[name], field_place, findings)
            _run_check(field, values[name], field_place, findings)
        elif _required(field):
            findings.add(field_place, "is missing")
    if len(findings.items) > before:
        return None
    return kind(**values)


def drop_invalid(
    raw: Mapping[str, Any], kind: type, place: str, findings: Findings
) -> dict[str, Any]:
    """Return ``raw`` without invalid values in the place of which a default can stand.

    Unknown names and invalid items of lists are left out too. An invalid value of a
    field without a default is kept, so that `read_table` reports it.

    Parameters
    ----------
    raw : Mapping
        The table as parsed from TOML.
    kind : type
        The dataclass that is the schema of the table.
    place : str
        Location of the table in the input, for the findings.
    findings : Findings
        Receives a finding for all that is left out.
    """
    hints, fields = _hints(kind), _fields(kind)
    kept = {}
    for name, value in raw.items():
        field_place = _join_place(place, name)
        if name not in fields:
            findings.add_unknown(field_place, name, fields)
            continue
        hint, field = plain_type(hints[name]), fields[name]
        if dataclasses.is_dataclass(hint) and isinstance(value, Mapping):
            kept[name] = drop_invalid(value, hint, field_place, findings)
            continue
        if typing.get_origin(hint) is tuple and isinstance(value, list):
            value = _drop_items(value, hints[name], field, field_place, findings)
        if _required(field) or _is_valid(
            value, hints[name], field, field_place, findings
        ):
            kept[name] = value
    return kept


def _drop_items(
    items: list, hint: Any, field: Any, place: str, findings: Findings
) -> list:
    return [
        item
        for index, item in enumerate(items)
        if _is_valid([item], hint, field, f"{place}[{index}]", findings)
    ]


def _is_valid(raw: Any, hint: Any, field: Any, place: str, findings: Findings) -> bool:
    before = len(findings.items)
    value = _read_value(raw, hint, place, findings)
    if len(findings.items) == before:
        _run_check(field, value, place, findings)
    return len(findings.items) == before


# Peer messages are read by this module too, many per second. Type hints are
# therefore resolved once per dataclass.
@functools.cache
def _hints(kind: type) -> dict[str, Any]:
    return typing.get_type_hints(kind)


@functools.cache
def _fields(kind: type) -> dict[str, dataclasses.Field]:
    return {field.name: field for field in dataclasses.fields(kind)}


def _join_place(place: str, name: str) -> str:
    return f"{place}{name}" if place.endswith(" ") else f"{place}.{name}"


def _required(field: dataclasses.Field) -> bool:
    missing = dataclasses.MISSING
    return field.default is missing and field.default_factory is missing


def _run_check(field: Any, value: Any, place: str, findings: Findings) -> None:
    check = field.metadata.get("check")
    text = check(value) if check and value is not None else None
    if text:
        findings.add(place, text)


def _read_value(raw: Any, hint: Any, place: str, findings: Findings) -> Any:
    # TOML has no null, but CBOR, which encodes messages and snapshots, does.
    if raw is None and type(None) in typing.get_args(hint):
        return None
    hint = plain_type(hint)
    if typing.get_origin(hint) is tuple:
        return _read_list(raw, typing.get_args(hint)[0], place, findings)
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _read_enum(raw, hint, place, findings)
    if dataclasses.is_dataclass(hint):
        return read_table(raw, hint, place, findings)
    if hint is float and isinstance(raw, int) and not isinstance(raw, bool):
        return _read_float(raw, place, findings)
    if hint is int and isinstance(raw, int) and abs(raw) > MAX_JSON_INTEGER:
        findings.add(place, f"is a larger number than {MAX_JSON_INTEGER}")
        return None
    if isinstance(raw, hint) and not (hint is int and isinstance(raw, bool)):
        return raw
    findings.add(place, f"expected {hint.__name__}, found {raw!r}")
    return None


def _read_float(raw: int, place: str, findings: Findings) -> float | None:
    try:
        return float(raw)
    except OverflowError:
        findings.add(place, "is too large a number")
        return None


@functools.cache
def plain_type(hint: Any) -> Any:
    """Return the type that a NewType or an Optional wraps."""
    while hasattr(hint, "__supertype__"):
        hint = hint.__supertype__
    options = [arg for arg in typing.get_args(hint) if arg is not type(None)]
    if type(None) in typing.get_args(hint) and len(options) == 1:
        return plain_type(options[0])
    return hint


def _read_list(raw: Any, item: Any, place: str, findings: Findings) -> tuple:
    if not isinstance(raw, list | tuple):
        findings.add(place, f"expected a list, found {raw!r}")
        return ()
    return tuple(
        _read_value(value, item, f"{place}[{index}]", findings)
        for index, value in enumerate(raw)
    )


def _read_enum(raw: Any, kind: type[enum.Enum], place: str, findings: Findings) -> Any:
    values = [member.value for member in kind]
    if raw in values:
        return kind(raw)
    findings.add(place, f"{raw!r} is none of {', '.join(map(repr, values))}")
    return None
