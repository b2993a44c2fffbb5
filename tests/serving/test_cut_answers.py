"""Answers of targets of which a part is missing, as their callers see them."""

import contextlib

import pytest

from tests.serving.odd_targets import OddTarget
from tests.serving.test_endless_answers import OddBench, is_broken

BODY = b"first part\r\n\r\nsecond part"
LF_ENDS = {
    "lf": b"HTTP/1.1 200 OK\r\nConnection: close\n\n" + BODY,
    "lf and crlf": b"HTTP/1.1 200 OK\r\nConnection: close\n\r\n" + BODY,
    "crlf and lf": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\n" + BODY,
}
"""Whole answers of whose heads a line ends with LF."""
CR_ENDS = {
    "before crlf": b"HTTP/1.1 200 OK\r\nX: 1\r\r\nContent-Length: 99\r\n\r\n" + BODY,
    "after crlf": b"HTTP/1.1 200 OK\r\nX: 1\r\n\rContent-Length: 99\r\n\r\n" + BODY,
    "for crlf": b"HTTP/1.1 200 OK\r\nX: 1\rContent-Length: 10\r\n\r\n" + BODY,
}
"""Answers of whose heads a line ends with CR."""


@pytest.fixture
def stack():
    with contextlib.ExitStack() as stack:
        yield stack


@pytest.mark.parametrize("name", LF_ENDS)
def test_a_body_begins_after_the_first_blank_line(stack, name):
    """Guards against a success without the first part of its body."""
    bench = OddBench(stack, OddTarget(lambda: iter([LF_ENDS[name]])))
    answer = bench.call("/charge/x")
    assert not is_broken(answer)
    assert answer.body == BODY


@pytest.mark.parametrize("name", CR_ENDS)
def test_a_head_with_a_bare_cr_is_no_success(stack, name):
    """Guards against a success whose length was lost with a part of its head."""
    bench = OddBench(stack, OddTarget(lambda: iter([CR_ENDS[name]])))
    assert is_broken(bench.call("/charge/x"))
