"""The grammar of heads by itself, without the parsers that read after it."""

import pytest

from godwitladder.engines.head_grammar import (
    Framing,
    InvalidFraming,
    read_chunk_size,
    read_framing,
)

OK = b"HTTP/1.1 200 OK\r\n"


@pytest.mark.parametrize(
    ("fields", "framing"),
    [
        (b"", Framing(False, None)),
        (b"Content-Length: 0\r\n", Framing(False, 0)),
        (b"Content-Length:016\r\n", Framing(False, 16)),
        (b"Content-Length: 4, 4\r\n", Framing(False, 4)),
        (b"Content-Length: 4\r\ncontent-length: 04\r\n", Framing(False, 4)),
        (b"TRANSFER-ENCODING: Chunked\r\n", Framing(True, None)),
    ],
)
def test_a_valid_framing_is_read(fields, framing):
    assert read_framing(OK + fields + b"\r\n") == framing


@pytest.mark.parametrize(
    "fields",
    [
        b"Content-Length: 4, 5\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Content-Length: 4\r\nContent-Length:\r\n",
        b"Content-Length: -0\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
    ],
)
def test_a_framing_that_can_be_read_in_two_ways_is_none(fields):
    """Guards against a body of another length than the target meant."""
    with pytest.raises(InvalidFraming):
        read_framing(OK + fields + b"\r\n")


@pytest.mark.parametrize(
    ("line", "size"),
    [
        (b"0\r\n", 0),
        (b"1F4\r\n", 0x1F4),
        (b"1f4\n", 0x1F4),
        (b"1f4;a=b\r\n", 0x1F4),
        (b"f" * 16 + b"\r\n", 2**64 - 1),
        (b"f" * 17 + b"\r\n", None),
        (b"1f4", None),
        (b"-0\r\n", None),
        (b"\r\n", None),
    ],
)
def test_a_chunk_size_is_digits_alone(line, size):
    assert read_chunk_size(line) == size
