"""Answers whose heads or chunks are no HTTP, and valid ones that are rare."""

from dataclasses import dataclass

OK = b"HTTP/1.1 200 OK\r\n"
CODING = b"Transfer-Encoding: chunked\r\n"
CONTROL_BYTES = [0x00, 0x01, 0x07, 0x08, 0x0B, 0x0C, 0x1B, 0x1C, 0x1F, 0x7F]
NO_TOKEN_BYTES = b'\x00\x01\t\x0b\x1f "(),/;<=>?@[\\]{}\x7f\x80\x85\xa0\xff'
TOKEN_BYTES = b"!#$%&'*+-.^_`|~09AZaz"
FIRST_CHUNK_BYTES = 5
ODD_LINES = [
    b"From someone",
    b"From x: y",
    b" a: b",
    b"\ta: b",
    b" ",
    b" \t ",
    b" folded",
    b"no field",
    b": no name",
    b'{"a": 1}',
    b"<p>a: b</p>",
    b"[Name]: a",
    b"=: a",
    b"Na me: a",
    b"Name : a",
    b"Name\t: a",
    *(b"Na" + bytes([byte]) + b"me: a" for byte in NO_TOKEN_BYTES),
    *(b"Name: a" + bytes([byte]) + b"b" for byte in CONTROL_BYTES),
    *(b"Name: " + bytes([byte]) for byte in CONTROL_BYTES),
]
"""Lines that are no fields, or whose values hold control bytes."""
ODD_STATUS_LINES = [
    *(b"HTTP/1.1 200 O" + bytes([byte]) + b"K" for byte in CONTROL_BYTES),
    b"HTTP/1.1 200OK",
    b"HTTP/1.1 2_0 OK",
    b"HTTP/1.1 +20 OK",
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1\x0b200 OK",
    b"HTTP/1.1\xa0200 OK",
    b"HTTP/1.1 200\x0bOK",
    b"HTTP/1.1 200\x85OK",
    b"HTTP/1.1200 OK",
    b"HTTP/2 200 OK",
    b"HTTP/1 200 OK",
    b"HTTP/1.1x 200 OK",
    b"http/1.1 200 OK",
    b" HTTP/1.1 200 OK",
    b"200 OK",
]
ODD_CODINGS = [
    b" chunked\r\nContent-Length: %d",
    b" chunked\r\nContent-Length: none",
    b" chunked\r\nContent-Length:",
    b" chunked\r\nTransfer-Encoding: identity",
    b" identity\r\nTransfer-Encoding: chunked",
    b" chunked\r\nTransfer-Encoding: chunked",
    b" chunked, chunked",
    b" gzip, chunked",
    b" chunked, gzip",
    b" gzip",
    b" identity",
    b" chunked;a=b",
    b" xchunked",
    b" chunkedx",
    b" \x0bchunked",
    b" chunked\x0b",
    b" chunked\xa0",
    b" chun\r\n ked",
    b"",
]
"""Values of a coding, some with another field; ``%d`` is the size of the body."""
ODD_CHUNK_SIZES = [
    b"-0",
    b"+0",
    b"0_0",
    b"+%x",
    b"-%x",
    b"0x%x",
    b"0X%x",
    b"0_%x",
    b"\x0b%x",
    b"\x1c%x",
    b"%x\x0b",
    b"%x\x0c",
    b"\xa0%x",
    b"%x\xa0",
    b"%x\x00",
    b"%x %x",
    b"%x,",
    b"%xg",
    b"%x=1",
    b"%x;a\x00",
    b"%x;a\r",
    b"%x\r",
    b"",
    b" ",
    b";a=b",
    b'%x;a="b',
    b"%x;a=b c",
]
"""Lines before a chunk; ``%x`` is its size."""
ODD_CHUNK_ENDS = [b"XX", b"  ", b"\n\n", b"\r\r", b"\x00\x00", b"\rX", b"X\n", b"00"]
RARE_CHUNK_SIZES = [
    b"%X",
    b"0%x",
    b"0" * 40 + b"%x",
    b"%x;a",
    b"%x;a=b",
    b"%x ; a = b;c",
    b'%x;a="b; \\" c\xe9";d',
]


def with_head(*lines: bytes, body: bytes) -> bytes:
    """Return an answer with these lines in its head, each with its end."""
    return OK + b"".join(lines) + b"\r\n" + body


def add_fields(answer: bytes, fields: bytes) -> bytes:
    """Return ``answer`` with lines after the first line of its final head."""
    start = max(0, answer.rfind(b"HTTP/1.1 200"))
    end = answer.index(b"\n", start) + 1
    return answer[:end] + fields + answer[end:]


@dataclass(frozen=True)
class OddAnswers:
    """Answers with the same body of 10 bytes or more; each ends with its connection.

    Each method returns answers by what is odd about them.
    """

    body: bytes

    @property
    def length(self) -> bytes:
        """The line that states the length."""
        return b"Content-Length: %d\r\n" % len(self.body)

    @property
    def chunks(self) -> bytes:
        """The body in chunks."""
        return self.make_chunks(b"%x", b"\r\n")

    def make_chunks(self, size_line: bytes, end: bytes) -> bytes:
        """Return the body in chunks, of which the second begins and ends so."""
        first, second = self.body[:FIRST_CHUNK_BYTES], self.body[FIRST_CHUNK_BYTES:]
        for form in (b"%x", b"%X"):
            size_line = size_line.replace(form, form % len(second))
        rest = size_line + b"\r\n" + second + end + b"0\r\n\r\n"
        return b"%x\r\n" % FIRST_CHUNK_BYTES + first + b"\r\n" + rest

    def broken_lines(self) -> dict[str, bytes]:
        """Return answers with a line that is no field, beside a length and without."""
        rows = {}
        for line in ODD_LINES:
            name, line = repr(line), line + b"\r\n"
            heads = {
                "before a length": (line, self.length),
                "after a length": (self.length, line),
                "without a length": (b"X: 1\r\n", line),
            }
            for place, lines in heads.items():
                rows[f"{name} {place}"] = with_head(*lines, body=self.body)
        return rows

    def broken_status_lines(self) -> dict[str, bytes]:
        """Return answers with a status line that is none."""
        rest = b"\r\n" + self.length + b"\r\n" + self.body
        return {repr(line): line + rest for line in ODD_STATUS_LINES}

    def broken_lengths(self) -> dict[str, bytes]:
        """Return answers that state their length in no valid way."""
        size = b"%d" % len(self.body)
        values = [
            b" -0",
            b" +0",
            b" 0_0",
            b" +" + size,
            b" " + size[:1] + b"_" + size[1:],
            b" -" + size,
            b" " + size + b";",
            b" " + size + b" " + size,
            b" " + size + b", 5",
            b" " + size + b",",
            b" ," + size,
            b" 0x%x" % len(self.body),
            b" " + size + b".0",
            b" 1e1",
            b"",
            b"  \t",
            b" \x1f5",
            b" 5\r\n 1",
            b" 5\r\n ",
            b" " + size + b"\r\n ",
            b" " + size + b"\r\nContent-Length: 5",
            b" " + size + b"\r\nContent-Length: ",
            b" 5\r\nContent-Length: -" + size,
            *(b" %c%b" % (byte, size) for byte in (*CONTROL_BYTES, 0x85, 0xA0)),
            *(b" %b%c" % (size, byte) for byte in (*CONTROL_BYTES, 0x85, 0xA0, 0xB2)),
            b" " + b"9" * 30,
        ]
        return {
            f"length {value!r}": with_head(
                b"Content-Length:" + value + b"\r\n", body=self.body
            )
            for value in values
        }

    def broken_codings(self) -> dict[str, bytes]:
        """Return answers in chunks that don't say so, or say more."""
        rows = {
            f"coding {value!r}": with_head(
                b"Transfer-Encoding:"
                + value.replace(b"%d", b"%d" % len(self.body))
                + b"\r\n",
                body=self.chunks,
            )
            for value in ODD_CODINGS
        }
        return rows | {
            "length before a coding": with_head(self.length, CODING, body=self.chunks),
            "coding of HTTP/1.0": with_head(CODING, body=self.chunks).replace(
                b"/1.1", b"/1.0"
            ),
            "control byte in the name of a coding": with_head(
                b"Transfer\x1fEncoding: chunked\r\n", body=self.chunks
            ),
            "semicolon in the name of a coding": with_head(
                b"T;ansfer-Encoding: chunked\r\n", body=self.chunks
            ),
        }

    def broken_chunk_sizes(self) -> dict[str, bytes]:
        """Return answers with a chunk that states no size."""
        return self.in_chunks(ODD_CHUNK_SIZES)

    def broken_chunk_ends(self) -> dict[str, bytes]:
        """Return answers with a chunk that no line end follows."""
        return {
            f"end {end!r}": with_head(CODING, body=self.make_chunks(b"%x", end))
            for end in ODD_CHUNK_ENDS
        }

    def in_chunks(self, size_lines: list[bytes]) -> dict[str, bytes]:
        """Return answers in chunks, one for each line before a chunk."""
        return {
            f"size {line!r}": with_head(CODING, body=self.make_chunks(line, b"\r\n"))
            for line in size_lines
        }

    def broken_heads(self) -> dict[str, bytes]:
        """Return all answers whose heads are none."""
        return (
            self.broken_lines()
            | self.broken_status_lines()
            | self.broken_lengths()
            | self.broken_codings()
        )

    def broken(self) -> dict[str, bytes]:
        """Return all answers that are none."""
        return (
            self.broken_heads() | self.broken_chunk_sizes() | self.broken_chunk_ends()
        )

    def rare(self) -> dict[str, bytes]:
        """Return valid answers that are rare."""
        return self.rare_fields() | self.rare_heads() | self.in_chunks(RARE_CHUNK_SIZES)

    def rare_fields(self) -> dict[str, bytes]:
        """Return valid answers with rare fields."""
        size, length = b"%d" % len(self.body), self.length
        rows = {
            "no blank before a length": [b"Content-Length:" + size + b"\r\n"],
            "blanks around a length": [b"Content-Length: \t " + size + b" \t \r\n"],
            "zeros before a length": [b"Content-Length: " + b"0" * 40 + size + b"\r\n"],
            "lower case": [length.lower()],
            "upper case": [length.upper()],
            "a line that ends with LF": [b"X: 1\n", length],
            "empty values": [b"Name:\r\n", b"Other: \r\n", b"Third:\t\r\n", length],
            "colons and tabs in a value": [b"Name: a:\tb: c\r\n", length],
            "bytes above 127 in a value": [
                b"Name: \x80\x85\xa0\xc3\xa9\xff\r\n",
                length,
            ],
            "all bytes of names": [TOKEN_BYTES + b": 1\r\n", length],
            "a field twice": [b"Name: 1\r\n", b"name: 2\r\n", length],
            "names that begin as those of framing": [
                b"Content-Length-Hint: -0\r\n",
                b"Transfer-Encodings: gzip\r\n",
                length,
            ],
            "names of framing in values": [
                b"Name: content-length: 5\r\n",
                b"Vary: Transfer-Encoding\r\n",
                length,
            ],
        }
        return {name: with_head(*lines, body=self.body) for name, lines in rows.items()}

    def rare_heads(self) -> dict[str, bytes]:
        """Return valid answers with rare status lines, line ends and codings."""
        plain = with_head(self.length, body=self.body)
        head = with_head(self.length, body=b"")
        return {
            "HTTP/1.0": plain.replace(b"/1.1", b"/1.0"),
            "no reason": plain.replace(b" OK", b" "),
            "no blank after the status": plain.replace(b" OK", b""),
            "odd reason": plain.replace(b"OK", b"O\tK \xe9"),
            "lines that end with LF": head.replace(b"\r\n", b"\n") + self.body,
            "interim answers": b"HTTP/1.1 100 Continue\r\n\r\n"
            + b"HTTP/1.1 103\r\nLink: <a>\r\n\r\n"
            + plain,
            "chunks": with_head(CODING, body=self.chunks),
            "blanks around a coding": with_head(
                b"Transfer-Encoding: \t chunked \t\r\n", body=self.chunks
            ),
            "coding in upper case": with_head(CODING.upper(), body=self.chunks),
        }

    def unframed(self) -> dict[str, bytes]:
        """Return valid answers whose end only their connection tells."""
        return {
            "no length": with_head(b"X: 1\r\n", body=self.body),
            "no fields": with_head(body=self.body),
        }


BODY = b"id: 1\ndata: ab\n\n"
"""Both a plain body and a whole event."""
ANSWERS = OddAnswers(BODY)
BROKEN = ANSWERS.broken()
VALID = ANSWERS.rare() | ANSWERS.unframed()
