"""The grammar of what frames an HTTP/1.1 answer, by RFC 9112 and RFC 9110.

Parsers of heads take almost any bytes: blanks in names, lines that are no fields, signs
in numbers. What they make of such bytes looks like a sound answer. So the bytes are
held to the grammar here, before any parser reads them.

Where the standard leaves a choice, a line may end with LF alone, the reason phrase and
the blank before it may be missing, a length may be listed more than once, and blanks
may follow a chunk size. Folded lines are refused.
"""

import re
from dataclasses import dataclass

from godwitladder.findings import GodwitladderError

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
TEXT = rb"[\t \x21-\x7e\x80-\xff]*+"
"""Blanks, printable bytes, and bytes above 127, whose meaning is not defined."""
QUOTED_STRING = (
    rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t \x21-\x7e\x80-\xff])*+"'
)
FIELD = TOKEN + rb":" + TEXT
STATUS = rb"HTTP/1\.[0-9][ \t]+([0-9]{3})(?:[ \t]" + TEXT + rb")?"
FINAL_STATUS = STATUS.replace(rb"([0-9]{3})", rb"[2-5][0-9]{2}")
EXTENSION = (
    rb"[ \t]*;[ \t]*"
    + TOKEN
    + rb"(?:[ \t]*=[ \t]*(?:"
    + TOKEN
    + rb"|"
    + QUOTED_STRING
    + rb"))?"
)

STATUS_LINE = re.compile(STATUS + rb"\r?\n")
FIELD_LINE = re.compile(FIELD + rb"\r?\n")
FINAL_HEAD = re.compile(FINAL_STATUS + rb"\r\n(?:" + FIELD + rb"(?<![\t ])\r\n)*+\r\n")
"""A final head as nearly all are: its lines end with CRLF, without blanks before."""
HEAD = re.compile(STATUS + rb"\r\n(?:" + FIELD + rb"\r\n)*+\r\n")
"""A head of which each line ends with CRLF."""
CHUNK_SIZE_LINE = re.compile(
    rb"(?=[0-9A-Fa-f])0*+([0-9A-Fa-f]{0,16})(?:" + EXTENSION + rb")*+[ \t]*\r?\n"
)
FRAMING_FIELD = re.compile(rb"\n(content-length|transfer-encoding):([^\r\n]*)")
"""Such a field in a head in lower case."""
LENGTH = re.compile(rb"(?=[0-9])0*+([0-9]{0,18})")
BLANKS = b" \t"
CODING = b"transfer-encoding"
CHUNKED = b"chunked"
MAX_QUOTED_BYTES = 80


class InvalidFraming(GodwitladderError):
    """A head states in no valid way how its body ends."""


@dataclass(frozen=True)
class Framing:
    """How an answer states the end of its body.

    Attributes
    ----------
    is_chunked : bool
        Whether it comes in chunks.
    length : int or None
        Its size in bytes; None if it comes in chunks or ends with its connection.
    """

    is_chunked: bool
    length: int | None


UNFRAMED = Framing(False, None)


def read_framing(head: bytes) -> Framing:
    """Return how the body after a head of valid lines ends.

    Raises
    ------
    InvalidFraming
        The length is no number or there are several, the coding is not that of chunks,
        or there is a length beside it.
    """
    fields = FRAMING_FIELD.findall(head.lower())
    if not fields:
        return UNFRAMED
    if any(name == CODING for name, _ in fields):
        return _read_coding(head, fields)
    stated = [part for _, value in fields for part in value.split(b",")]
    lengths = {_read_length(part.strip(BLANKS)) for part in stated}
    if len(lengths) > 1:
        raise InvalidFraming(f"lengths {stated!r:.{MAX_QUOTED_BYTES}}")
    return Framing(False, lengths.pop())


def _read_coding(head: bytes, fields: list[tuple[bytes, bytes]]) -> Framing:
    """Return the framing of a head whose fields name a coding."""
    values = [value.strip(BLANKS) for _, value in fields]
    if values != [CHUNKED]:
        raise InvalidFraming(f"coding and length {values!r:.{MAX_QUOTED_BYTES}}")
    if head.startswith(b"HTTP/1.0"):
        raise InvalidFraming("chunks in HTTP/1.0, which has none")
    return Framing(True, None)


def _read_length(text: bytes) -> int:
    match = LENGTH.fullmatch(text)
    if match is None:
        raise InvalidFraming(f"length {text[:MAX_QUOTED_BYTES]!r}")
    return int(match[1] or b"0")


def read_chunk_size(line: bytes) -> int | None:
    """Return the size that a line before a chunk states; None if it states none."""
    match = CHUNK_SIZE_LINE.fullmatch(line)
    return int(match[1] or b"0", 16) if match else None
