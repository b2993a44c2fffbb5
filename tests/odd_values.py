"""Odd values that other programs may send, as seeded tables."""

import json
from collections.abc import Iterator

MARK = "@@MARK@@"
PORTS = ["0", "65536", "-1", "9" * 5_000, "\u0661\u0662", "\u00b2", " 80", "8_0", ""]
TEXTS = [
    "",
    "\ud800",
    "\0",
    "a\r\nb: c",
    "\ufeff",
    "\u0661\u0662",
    "nan",
    "9" * 5_000,
    "x" * 257,
    *(f"127.0.0.1:{port}" for port in PORTS),
]
NUMBERS = [
    "9" * 400,
    "9" * 5_000,
    "1e999",
    "-1e999",
    "NaN",
    "Infinity",
    "-Infinity",
    "-1",
    "-0",
    "0",
    "1e308",
    str(2**63),
    str(2**64),
]
TYPES = ["true", "null", "[]", "{}", "[[]]", '[{"a": 1}]']
DEPTHS = [100, 2_000, 20_000]
BYTES = [
    b"",
    b"\0",
    b"\xff\xfe",
    b"\xef\xbb\xbf{}",
    "{}".encode("utf-16"),
    b"null",
    b"[",
    b'{"a":',
    b"x" * 200_000,
    b'"' + b"x" * 200_000 + b'"',
]
"""Values that are no object at all."""
KEYS = ["", "a" * 255, "\0", "\ud800", "a\nb", "\u00b2", "rollout/", "rollout/\0"]


def odd_json() -> list[bytes]:
    """Return odd values of one field, as JSON."""
    texts = [json.dumps(text).encode() for text in TEXTS]
    plain = [text.encode() for text in (*NUMBERS, *TYPES)]
    lists = [b"[" * depth + b"]" * depth for depth in DEPTHS]
    tables = [b'{"a":' * depth + b"1" + b"}" * depth for depth in DEPTHS]
    return [*texts, *plain, *lists, *tables, b'"\xed\xa0\x80"', b'"\xff"']


def odd_rows(row: dict) -> Iterator[bytes]:
    """Return ``row`` with each field in turn odd, missing or there twice."""
    mark = json.dumps(MARK).encode()
    for name in row:
        text = json.dumps(row | {name: MARK}).encode()
        yield from (text.replace(mark, value) for value in odd_json())
        yield json.dumps({key: row[key] for key in row if key != name}).encode()
        yield b'{"%s": [], %s' % (name.encode(), json.dumps(row).encode()[1:])
    yield text.replace(mark, b"[" * 120_000 + b"]" * 120_000)
    yield json.dumps(row | {"extra": [[{}]]}).encode()
    yield from BYTES
