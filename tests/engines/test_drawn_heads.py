"""Answers drawn from the grammar of HTTP, of which a few bytes are changed."""

import http.client
import io

from hypothesis import given, settings
from hypothesis import strategies as st

from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.engines.bounded_http import BoundedResponse
from godwitladder.engines.errors import MalformedAnswer
from tests.engines.answer_oracle import Answer, NoAnswer, read_answer

MAX_CHANGES = 3
EXAMPLES = 2_000
BODY = b"0123456789abcdef"
AT_ONCE = 8_192
LIMITS = AnswerLimits(body_bytes=1_000_000)
TOKEN_CHARS = "!#$%&'*+-.^_`|~09AZaz"
tokens = st.text(TOKEN_CHARS, min_size=1, max_size=6)
blanks = st.sampled_from(["", " ", "\t", "  ", " \t "])
values = st.text(
    st.sampled_from('\t !"(),/:;<=>?@[\\]{}~09AZaz\x80\x85\xa0\xe9\xff'), max_size=8
)
others = st.tuples(tokens, values)
names = st.sampled_from(["Content-Length", "content-length", "CONTENT-LENGTH"])
lengths = st.tuples(names, st.sampled_from(["16", "16", "0", "5", "016", "5, 5"]))
coding_names = st.sampled_from(["Transfer-Encoding", "transfer-encoding"])
codings = st.tuples(coding_names, st.sampled_from(["chunked", "chunked", "Chunked"]))
line_ends = st.sampled_from(["\r\n", "\r\n", "\r\n", "\n"])
reasons = st.sampled_from(["", " ", " OK", " Not \t\xe9"])
statuses = st.sampled_from([200, 200, 200, 204, 304, 404, 503, 599])
extensions = st.sampled_from(["", "", ";a", " ; a=b", ';a="b\\" c"', ";a;b=\t1 "])
replacements = st.one_of(
    st.sampled_from(b'\x00\t\n\x0b\r\x1f -+_:;="0x,\x7f\x85\xa0'), st.integers(0, 255)
)


@st.composite
def chunked_bodies(draw):
    """Draw the body in chunks."""
    cut = draw(st.integers(1, len(BODY) - 1))
    parts = []
    for part in (BODY[:cut], BODY[cut:]):
        line = f"{len(part):{draw(st.sampled_from(['x', 'X', '03x']))}}"
        line += draw(extensions) + draw(line_ends)
        parts.append(line.encode() + part + b"\r\n")
    return b"".join(parts) + b"0" + draw(extensions).encode() + b"\r\n\r\n"


@st.composite
def valid_answers(draw):
    """Draw a valid answer with a length, in chunks, or with neither."""
    is_chunked = draw(st.booleans())
    framing = codings if is_chunked else st.one_of(lengths, lengths, others)
    fields = draw(st.permutations([draw(framing), *draw(st.lists(others, max_size=3))]))
    version = "1" if is_chunked else draw(st.sampled_from("01"))
    end = draw(line_ends)
    lines = [f"HTTP/1.{version} {draw(statuses)}{draw(reasons)}"]
    for name, value in fields:
        lines.append(f"{name}:{draw(blanks)}{value}{draw(blanks)}")
    head = end.join([*lines, "", ""]).encode("latin-1")
    return head + (draw(chunked_bodies()) if is_chunked else BODY)


@st.composite
def changed_answers(draw):
    """Draw a valid answer of which a few bytes are changed, put in or left out."""
    data = bytearray(draw(valid_answers()))
    for _ in range(draw(st.integers(0, MAX_CHANGES))):
        place = draw(st.integers(0, max(0, len(data) - 1)))
        change = draw(st.sampled_from(["replace", "insert", "delete"]))
        if change == "insert":
            data.insert(place, draw(replacements))
        elif data and change == "replace":
            data[place] = draw(replacements)
        elif data:
            del data[place]
    return bytes(data)


class Arriving(io.RawIOBase):
    """Bytes that arrive a few at a time, and their end."""

    def __init__(self, data, step):
        super().__init__()
        self.data, self.step = data, step

    def readable(self):
        return True

    def readinto(self, buffer):
        size = min(self.step, len(buffer))
        part, self.data = self.data[:size], self.data[size:]
        buffer[: len(part)] = part
        return len(part)


class Socket:
    """A connection on which an answer arrives."""

    def __init__(self, data, step):
        self.data, self.step = data, step

    def makefile(self, *args, **options):
        return io.BufferedReader(Arriving(self.data, self.step))


def read(data, step=AT_ONCE):
    """Return the answer that the code under test reads; None if it reads none."""
    response = BoundedResponse(Socket(data, step), method="GET", limits=LIMITS)
    try:
        response.begin()
        fields = response.headers.items()
        body = b"".join(iter(lambda: response.read1(AT_ONCE), b""))
    except (MalformedAnswer, http.client.HTTPException):
        return None
    # The library leaves it to its user to find that a stated length is not reached.
    return None if response.length else Answer(response.status, fields, body)


def expect(data):
    """Return the answer that the bytes are; None if they are none."""
    try:
        return read_answer(data)
    except NoAnswer:
        return None


@settings(max_examples=EXAMPLES, deadline=None)
@given(changed_answers())
def test_bytes_are_read_as_the_answer_that_they_are_or_as_none(data):
    """Guards against bytes that a lenient parser makes another answer of, or one."""
    assert read(data) == expect(data)


@settings(max_examples=EXAMPLES // 4, deadline=None)
@given(changed_answers(), st.integers(1, 9))
def test_bytes_that_arrive_in_parts_are_read_alike(data, step):
    """Guards against a way of reading that only whole heads, or parts, take."""
    assert read(data, step) == read(data)


@settings(max_examples=EXAMPLES // 4, deadline=None)
@given(valid_answers())
def test_valid_answers_are_read(data):
    """Guards against a grammar that is stricter than HTTP."""
    answer = read(data)
    assert answer is not None
    assert answer == expect(data)
