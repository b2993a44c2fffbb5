"""What an answer of bytes is by the grammar of HTTP, read byte by byte.

It shares nothing with the code under test. Where the standard leaves a choice it takes
the one that `godwitladder.engines.head_grammar` names.
"""

import string
from dataclasses import dataclass

TOKEN = set((string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~").encode())
TEXT = {9, *range(0x20, 0x7F), *range(0x80, 0x100)}
DIGITS = set(string.digits.encode())
HEX_DIGITS = set(string.hexdigits.encode())
BLANKS = b" \t"
MAX_INTERIM_ANSWERS = 8
MAX_DIGITS = 18


class NoAnswer(Exception):
    """The bytes are no answer."""


@dataclass(frozen=True)
class Answer:
    """An answer, with its fields as names and values in order."""

    status: int
    fields: list[tuple[str, str]]
    body: bytes


def read_answer(data: bytes) -> Answer:
    """Return the answer to a request with GET, on a connection that then closes.

    Raises
    ------
    NoAnswer
        The bytes are none, or end too early.
    """
    for _ in range(MAX_INTERIM_ANSWERS + 1):
        line, data = cut_line(data)
        version, status = read_status(line)
        fields = []
        while True:
            line, data = cut_line(data)
            if not line:
                break
            fields.append(read_field(line))
        if status >= 200:
            return Answer(status, fields, read_body(version, status, fields, data))
    raise NoAnswer("too many interim answers")


def cut_line(data: bytes) -> tuple[bytes, bytes]:
    """Return the first line without its end, and what follows it."""
    line, end, rest = data.partition(b"\n")
    if not end:
        raise NoAnswer("no line end")
    line = line[:-1] if line[-1:] == b"\r" else line
    return line, rest


def read_status(line: bytes) -> tuple[int, int]:
    """Return the digit after ``HTTP/1.`` and the status."""
    version, rest = line[:8], line[8:]
    code = rest.lstrip(BLANKS)
    is_version = version[:7] == b"HTTP/1." and version[7:].isdigit()
    if not is_version or len(code) == len(rest):
        raise NoAnswer(f"version {version!r}")
    code, reason = code[:3], code[3:]
    if len(code) != 3 or not set(code) <= DIGITS:
        raise NoAnswer(f"status {code!r}")
    if reason[:1] not in (b"", b" ", b"\t") or not set(reason) <= TEXT:
        raise NoAnswer(f"reason {reason!r}")
    status = int(code)
    if not 100 <= status <= 599 or status == 101:
        raise NoAnswer(f"status {status}")
    return version[7] - ord("0"), status


def read_field(line: bytes) -> tuple[str, str]:
    """Return the name and the value of a field."""
    name, colon, value = line.partition(b":")
    if not colon or not name or not set(name) <= TOKEN or not set(value) <= TEXT:
        raise NoAnswer(f"field {line!r}")
    return name.decode("latin-1"), value.strip(BLANKS).decode("latin-1")


def read_body(
    version: int, status: int, fields: list[tuple[str, str]], data: bytes
) -> bytes:
    """Return the body that ``data`` begins with."""
    codings = [value for name, value in fields if name.lower() == "transfer-encoding"]
    stated = [value for name, value in fields if name.lower() == "content-length"]
    if codings and (stated or version == 0):
        raise NoAnswer("a coding and a length, or a coding of HTTP/1.0")
    if codings and [value.lower() for value in codings] != ["chunked"]:
        raise NoAnswer(f"codings {codings}")
    lengths = {
        part.strip(" \t").encode("latin-1")
        for value in stated
        for part in value.split(",")
    }
    numbers = {read_number(text) for text in lengths}
    if len(numbers) > 1:
        raise NoAnswer(f"lengths {lengths}")
    if status in (204, 304):
        return b""
    if codings:
        return read_chunks(data)
    if not numbers:
        return data
    length = numbers.pop()
    if len(data) < length:
        raise NoAnswer("the body is cut")
    return data[:length]


def read_number(text: bytes) -> int:
    """Return the number that digits stand for."""
    if not text or not set(text) <= DIGITS or len(text.lstrip(b"0")) > MAX_DIGITS:
        raise NoAnswer(f"length {text!r}")
    return int(text)


def read_chunks(data: bytes) -> bytes:
    """Return the body of chunks, up to the line of the last one."""
    body = b""
    while True:
        line, data = cut_line(data)
        size = read_size(line)
        if not size:
            return body
        body += data[:size]
        if data[size : size + 2] != b"\r\n":
            raise NoAnswer("no line end after a chunk")
        data = data[size + 2 :]


def read_size(line: bytes) -> int:
    """Return the size that a line before a chunk states."""
    digits = line[: next((i for i, x in enumerate(line) if x not in HEX_DIGITS), None)]
    if not digits:
        raise NoAnswer(f"size {line!r}")
    rest = line[len(digits) :]
    while rest.strip(BLANKS):
        rest = cut_extension(rest)
    return int(digits, 16)


def cut_extension(text: bytes) -> bytes:
    """Return what follows the extension that ``text`` begins with."""
    text = text.lstrip(BLANKS)
    if text[:1] != b";":
        raise NoAnswer(f"extension {text!r}")
    text = cut_token(text[1:].lstrip(BLANKS))
    value = text.lstrip(BLANKS)
    if value[:1] != b"=":
        return text
    value = value[1:].lstrip(BLANKS)
    return cut_quoted(value) if value[:1] == b'"' else cut_token(value)


def cut_token(text: bytes) -> bytes:
    """Return what follows the token that ``text`` begins with."""
    rest = text.lstrip(bytes(TOKEN))
    if len(rest) == len(text):
        raise NoAnswer(f"no token in {text!r}")
    return rest


def cut_quoted(text: bytes) -> bytes:
    """Return what follows the quoted string that ``text`` begins with."""
    place = 1
    while place < len(text) and text[place] in TEXT:
        if text[place] == ord('"'):
            return text[place + 1 :]
        if text[place] == ord("\\"):
            place += 1
            if text[place : place + 1] and text[place] not in TEXT:
                break
        place += 1
    raise NoAnswer(f"no quoted string in {text!r}")
