"""Answers of targets that are malformed or without end are read within limits."""

import contextlib
import http.client
import itertools
import socket
import threading

import pytest
import urllib3

from godwitladder.engines import bounded_http
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.engines.wire import (
    AnswerShape,
    MalformedAnswer,
    MayHaveRun,
    connect,
    send,
)
from tests.engines.raw_target import RawTarget

IDLE_S = 5.0
MAX_BLOCKS = 200_000
LIMITS = AnswerLimits(
    line_bytes=1_000,
    header_count=20,
    header_bytes=4_000,
    interim_answers=3,
    body_bytes=100_000,
)
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
UNFRAMED = OK + b"Connection: close\r\n\r\n"
CHUNK = b"1000\r\n" + b"a" * 0x1000 + b"\r\n"
ENDLESS_HEADS = {
    "status_line": (b"HTTP/1.1 200 ", b"a", AnswerShape.HEAD),
    "header_line": (OK + b"X-Long: ", b"a", AnswerShape.HEAD),
    "short_header_lines": (OK, b"a: 1\r\n", AnswerShape.HEAD),
    "long_header_lines": (OK, b"a: " + b"1" * 900 + b"\r\n", AnswerShape.HEAD),
    "garbage_in_one_line": (b"", b"\x00\xff\x07", AnswerShape.HEAD),
    "garbage_in_lines": (b"", b"no status\r\n", AnswerShape.HEAD),
    "garbage_after_the_status": (OK, b"no header\r\n", AnswerShape.HEAD),
    "100_Continue": (b"", b"HTTP/1.1 100 Continue\r\n\r\n", AnswerShape.INTERIM),
    "103_Early_Hints": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
        AnswerShape.INTERIM,
    ),
}
ENDLESS_FRAMES = {
    "chunk_extension": (CHUNKED + b"5;", b"a=b;", AnswerShape.FRAMING),
    "chunk_size": (CHUNKED, b"0", AnswerShape.FRAMING),
    "extension_of_each_chunk": (
        CHUNKED,
        b"1;" + b"x" * 900 + b"\r\na\r\n",
        AnswerShape.FRAMING,
    ),
    "tiny_chunks": (CHUNKED, b"1\r\na\r\n", AnswerShape.FRAMING),
    "garbage_for_chunks": (CHUNKED, b"no chunk\r\n", AnswerShape.FRAMING),
    "chunks": (CHUNKED, CHUNK, AnswerShape.BODY),
    "unframed_body": (UNFRAMED, b"a" * 100, AnswerShape.BODY),
}
MALFORMED = {
    "another_protocol": (b"SSH-2.0-OpenSSH\r\n", AnswerShape.HEAD),
    "another_version": (b"HTTP/2 200\r\n\r\n", AnswerShape.HEAD),
    "no_status_code": (b"HTTP/1.1 fine\r\n\r\n", AnswerShape.HEAD),
    "no_colon": (OK + b"Content-Length\r\n\r\nbody", AnswerShape.HEAD),
    "bare_cr_before_a_length": (
        OK + b"X: 1\r\r\nContent-Length: 40\r\n\r\nbody",
        AnswerShape.HEAD,
    ),
    "bare_cr_after_a_line": (
        OK + b"X: 1\r\n\rContent-Length: 40\r\n\r\nbody",
        AnswerShape.HEAD,
    ),
    "bare_cr_before_chunks": (
        OK + b"X: 1\n\r\rTransfer-Encoding: chunked\n\n40\r\nbody",
        AnswerShape.HEAD,
    ),
    "bare_cr_and_bare_lf": (
        OK + b"X: \rContent-Length: 2\n\r\nbody\r\n\r\n",
        AnswerShape.HEAD,
    ),
    "length_within_a_value": (
        OK + b"X: 1\rContent-Length: 2\r\n\r\nbody",
        AnswerShape.HEAD,
    ),
    "folded_line": (
        OK + b"X-Folded: one\r\n two\r\nContent-Length: 4\r\n\r\nbody",
        AnswerShape.HEAD,
    ),
    "switching": (b"HTTP/1.1 101 Switching\r\n\r\n", AnswerShape.INTERIM),
    "negative_length": (OK + b"Content-Length: -5\r\n\r\nbody", AnswerShape.FRAMING),
    "garbled_length": (OK + b"Content-Length: ten\r\n\r\nbody", AnswerShape.FRAMING),
    "two_lengths": (
        OK + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
        AnswerShape.FRAMING,
    ),
    "long_length": (
        OK + b"Content-Length: " + b"9" * 900 + b"\r\n\r\nbody",
        AnswerShape.FRAMING,
    ),
    "other_encoding": (
        OK + b"Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        AnswerShape.FRAMING,
    ),
    "large_length": (OK + b"Content-Length: 100001\r\n\r\n", AnswerShape.BODY),
    "large_chunk": (CHUNKED + b"fffffffffffffff0\r\nbody", AnswerShape.BODY),
    "negative_chunk": (CHUNKED + b"-4\r\nbody\r\n0\r\n\r\n", AnswerShape.FRAMING),
    "chunk_without_an_end": (CHUNKED + b"4\r\nbody and more\r\n", AnswerShape.FRAMING),
}
CUT = {
    "nothing": b"",
    "status_line": b"HTTP/1.1 200 O",
    "header_line": OK + b"Content-Le",
    "headers": OK + b"Content-Length: 4\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\n",
    "length": OK + b"Content-Length: 40\r\n\r\nbody",
    "chunk_size": CHUNKED + b"4\r\nbody\r\n1",
    "no_last_chunk": CHUNKED + b"4\r\nbody\r\n",
    "chunk": CHUNKED + b"40\r\nbody",
    "after_a_chunk": CHUNKED + b"4\r\nbody",
}
READERS = {
    "whole": lambda response: response.read(decode_content=False),
    "blocks": lambda response: read_blocks(response.read),
    "arrived": lambda response: read_blocks(response.read1),
}


def read_blocks(read):
    """Return what ``read`` yields until its end, or until it is far too much."""
    blocks = iter(lambda: read(1_000, decode_content=False), b"")
    return b"".join(itertools.islice(blocks, MAX_BLOCKS))


def ask(target, read=READERS["whole"], limits=LIMITS, method="GET"):
    """Return status and body of the target's answer."""
    connection = connect(target.address, IDLE_S, limits=limits)
    with contextlib.closing(connection):
        response = send(connection, method, "/x", None, {"Host": "t"})
        return response.status, read(response)


def fail(target, read=READERS["whole"]):
    """Return the error with which reading the target's answer ends."""
    with pytest.raises(MalformedAnswer) as caught:
        ask(target, read)
    return caught.value


@pytest.mark.parametrize("name", ENDLESS_HEADS)
def test_a_head_without_end_is_malformed(name):
    """Guards against a call that reads a head until its deadline, or fails with 500."""
    first, repeated, shape = ENDLESS_HEADS[name]
    with RawTarget(first, repeated) as target:
        error = fail(target)
    assert error.shape is shape
    assert 0 < error.size <= LIMITS.header_bytes + LIMITS.line_bytes + 1


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("name", ENDLESS_FRAMES)
def test_a_body_without_end_is_malformed(name, reader):
    """Guards against a body that grows until the host runs out of memory."""
    first, repeated, shape = ENDLESS_FRAMES[name]
    with RawTarget(first, repeated) as target:
        error = fail(target, READERS[reader])
    assert error.shape is shape
    assert 0 < error.size <= 2 * LIMITS.body_bytes


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("name", MALFORMED)
def test_what_is_not_http_is_malformed(name, reader):
    """Guards against bytes that pass as an answer, and against errors of the parser."""
    first, shape = MALFORMED[name]
    with RawTarget(first) as target:
        assert fail(target, READERS[reader]).shape is shape


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("name", CUT)
def test_an_answer_that_is_cut_short_is_not_complete(name, reader):
    """Guards against a part of a head or of a body that looks complete."""
    with RawTarget(CUT[name], closes=True) as target:
        with pytest.raises((MayHaveRun, urllib3.exceptions.HTTPError)) as caught:
            ask(target, READERS[reader])
    assert not isinstance(caught.value, http.client.HTTPException)
    assert not isinstance(caught.value, MalformedAnswer)


ENDLESS = ENDLESS_HEADS | ENDLESS_FRAMES
# The end of an unframed body is that of its connection; who shut it down is checked
# by the caller.
SLOW = sorted(ENDLESS.keys() - {"unframed_body"})


@pytest.mark.parametrize("name", SLOW)
def test_an_answer_with_pauses_ends_with_its_connection(name):
    """Guards against a reader that goes on after its call was aborted."""
    first, repeated, _ = ENDLESS[name]
    with RawTarget(first, repeated, pause_s=0.02) as target:
        connection = connect(target.address, IDLE_S, limits=LIMITS)
        sock = connection.sock
        watcher = threading.Timer(0.3, sock.shutdown, [socket.SHUT_RDWR])
        watcher.start()
        try:
            with pytest.raises((MayHaveRun, urllib3.exceptions.HTTPError)) as caught:
                send(connection, "GET", "/x", None, {"Host": "t"}).read()
        finally:
            watcher.cancel()
            watcher.join()
            connection.close()
    assert not isinstance(caught.value, http.client.HTTPException)


@pytest.mark.parametrize("pause_s", [0.0, 0.02])
@pytest.mark.parametrize("reader", READERS)
def test_trailers_are_not_awaited(reader, pause_s):
    """Guards against trailers without end that hold a complete answer back."""
    first = CHUNKED + b"4\r\nbody\r\n0\r\n"
    with RawTarget(first, b"x-trailer: 1\r\n", pause_s) as target:
        assert ask(target, READERS[reader]) == (200, b"body")


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize(
    "answer",
    [
        OK + b"Content-Length: 4\r\n\r\nbody",
        OK + b"Content-Length: 4, 4\r\n\r\nbody",
        CHUNKED + b"2\r\nbo\r\n2;last=1\r\ndy\r\n0\r\n\r\n",
        CHUNKED + b"02 \r\nbo\r\n2\ndy\r\n0\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: <x>\r\n\r\n"
        + OK
        + b"Content-Length: 4\r\n\r\nbody",
        b"HTTP/1.0 200 OK\nContent-Length: 4\n\nbody",
    ],
)
def test_sound_answers_are_read_whole(answer, reader):
    """Guards against bounds that reject valid answers."""
    with RawTarget(answer, b"bytes after the answer") as target:
        assert ask(target, READERS[reader]) == (200, b"body")


@pytest.mark.parametrize("reader", READERS)
def test_an_unframed_answer_ends_with_its_connection(reader):
    with RawTarget(UNFRAMED + b"body", closes=True) as target:
        assert ask(target, READERS[reader]) == (200, b"body")


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("blank", [b"\n\n", b"\n\r\n", b"\r\n\n"])
def test_a_body_begins_after_the_first_blank_line(blank, reader):
    """Guards against a body that looks complete without its first part."""
    body = b"first part\r\n\r\nsecond part"
    answer = b"HTTP/1.1 200 OK\r\nConnection: close" + blank + body
    with RawTarget(answer, closes=True) as target:
        assert ask(target, READERS[reader]) == (200, body)


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_an_answer_without_a_body_is_complete(status):
    with RawTarget(b"HTTP/1.1 " + status + b"\r\n\r\n") as target:
        assert ask(target)[1] == b""


@pytest.mark.parametrize("reader", READERS)
@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_an_answer_without_a_body_is_complete_where_it_names_chunks(status, reader):
    """Guards against a wait for chunks that never come."""
    head = b"HTTP/1.1 " + status + b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    with RawTarget(head) as target:
        assert ask(target, READERS[reader])[1] == b""


@pytest.mark.parametrize("code", [b"600", b"601", b"999"])
@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"])
def test_a_status_above_those_of_the_protocol_is_no_answer(code, line_end):
    """Guards against an answer of a target in trouble that no caller understands."""
    head = b"HTTP/1.1 " + code + b" Odd" + line_end + b"Content-Length: 2" + line_end
    with RawTarget(head + line_end + b"ok") as target:
        assert fail(target).shape is AnswerShape.HEAD


@pytest.mark.parametrize(
    "code", [b"000", b"020", b"099", b"100", b"199", b"20", b"2000"]
)
def test_a_status_below_those_of_final_answers_is_no_answer(code):
    """Guards against a status such as 000 that a caller gets for an answer."""
    head = b"HTTP/1.1 " + code + b" Odd\r\nContent-Length: 2\r\n\r\n"
    with (
        RawTarget(head + b"ok", closes=True) as target,
        pytest.raises((MalformedAnswer, MayHaveRun)),
    ):
        ask(target)


@pytest.mark.parametrize("code", [b"200", b"299", b"404", b"503", b"599"])
def test_statuses_of_the_protocol_are_passed_on(code):
    with RawTarget(
        b"HTTP/1.1 " + code + b" Odd\r\nContent-Length: 2\r\n\r\nok"
    ) as target:
        assert ask(target) == (int(code), b"ok")


def test_the_length_of_an_answer_to_head_is_no_body():
    with RawTarget(OK + b"Content-Length: 100001\r\n\r\n") as target:
        assert ask(target, method="HEAD") == (200, b"")


def test_as_many_headers_as_allowed_are_read():
    lines = b"".join(b"x-%d: 1\r\n" % number for number in range(150))
    limits = AnswerLimits(header_count=150)
    with RawTarget(OK + lines + b"\r\n", closes=True) as target:
        assert ask(target, limits=limits) == (200, b"")
    with RawTarget(OK + lines + b"x: 1\r\n\r\n", closes=True) as target:
        with pytest.raises(MalformedAnswer):
            ask(target, limits=limits)


def test_small_chunks_without_end_are_paced(monkeypatch):
    """Guards against a target whose small chunks use a core until the deadline."""
    rests = []
    monkeypatch.setattr(bounded_http.CLOCK, "sleep", rests.append)
    chunk = b"14\r\n" + b"a" * 20 + b"\r\n"
    with RawTarget(CHUNKED, chunk) as target:
        with pytest.raises(MalformedAnswer):
            ask(target, limits=AnswerLimits(body_bytes=200_000))
    assert sum(rests) > 2.0


def test_an_error_of_the_http_library_is_none_of_the_host():
    """Guards against an error that is no error of the call, and a 500 for it."""
    with RawTarget(OK) as target:
        connection = connect(target.address, IDLE_S)
        connection.request("GET", "/x")
        # The library refuses a second request before the first answer.
        with pytest.raises(MayHaveRun):
            send(connection, "GET", "/x", None, {})


def test_few_small_chunks_are_not_paced(monkeypatch):
    monkeypatch.setattr(bounded_http.CLOCK, "sleep", None)
    chunks = (b"14\r\n" + b"a" * 20 + b"\r\n") * 2_000
    with RawTarget(CHUNKED + chunks + b"0\r\n") as target:
        assert ask(target)[1] == b"a" * 40_000
