"""The grammar of what frames an HTTP/1.1 answer, by RFC 9112 and RFC 9110.

Parsers of heads take almost any bytes: blanks in names, lines that are no fields, signs
in numbers. What they make of such bytes looks like a sound answer. So the bytes are
held to the grammar here, before any parser reads them.

Where the standard leaves a choice, a line may end with LF alone, the reason phrase and
the blank before it may be missing, and a length may be listed more than once. Folded
lines are refused.
"""

import re

from godwitladder.findings import GodwitladderError

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
TEXT = rb"[\t \x21-\x7e\x80-\xff]*+"
"""Blanks, printable bytes, and bytes above 127, whose meaning is not defined."""
FIELD = TOKEN + rb":" + TEXT
STATUS = rb"HTTP/1\.[0-9][ \t]+([0-9]{3})(?:[ \t]" + TEXT + rb")?"
STATUS_LINE = re.compile(STATUS + rb"\r?\n")
FIELD_LINE = re.compile(FIELD + rb"\r?\n")
FINAL_HEAD = re.compile(
    STATUS.replace(rb"([0-9]{3})", rb"[2-5][0-9]{2}")
    + rb"\r\n(?:"
    + FIELD
    + rb"(?<![\t ])\r\n)*+\r\n"
)
"""A final head as nearly all are: its lines end with CRLF, without blanks before."""
LENGTH_FIELD = re.compile(rb"\ncontent-length:([^\r\n]*)")
"""Such a field in a head in lower case."""
LENGTH = re.compile(rb"(?=[0-9])0*+([0-9]{0,18})")
BLANKS = b" \t"
MAX_QUOTED_BYTES = 80


class InvalidFraming(GodwitladderError):
    """A head states in no valid way how its body ends."""


def read_length(head: bytes) -> int | None:
    """Return the length that a head of valid lines states; None if it states none.

    Raises
    ------
    InvalidFraming
        It is no number, or there are several.
    """
    stated = [
        part
        for value in LENGTH_FIELD.findall(head.lower())
        for part in value.split(b",")
    ]
    lengths = {_read_number(part.strip(BLANKS)) for part in stated}
    if len(lengths) > 1:
        raise InvalidFraming(f"lengths {stated!r:.{MAX_QUOTED_BYTES}}")
    return lengths.pop() if lengths else None


def _read_number(text: bytes) -> int:
    match = LENGTH.fullmatch(text)
    if match is None:
        raise InvalidFraming(f"length {text[:MAX_QUOTED_BYTES]!r}")
    return int(match[1] or b"0")
