"""Answers of targets of which a part is missing, as their callers see them."""

import contextlib
import itertools

import pytest

from godwitladder.engines.engine import open_stream
from godwitladder.engines.wire import MayHaveRun
from godwitladder.ids import StreamId
from godwitladder.platform import names
from godwitladder.serving.relay import StreamProgress
from tests.engines.cut_target import (
    CutTarget,
    Framing,
    draw_cuts,
    first_whole_size,
    make_answer,
)
from tests.serving.odd_targets import OddTarget
from tests.serving.test_endless_answers import OddBench, is_broken

HTTP_OK = 200
TIMEOUT_S = 5.0
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


EVENTS = b"".join(b"id: %d\ndata: event %d\n\n" % (n, n) for n in range(1, 4))
EVENT_END = b"\n\n"
SIGNED = f"{names.ATTEMPT}: a1\r\n{names.SIGNATURE}: s\r\n".encode()
ANSWERS = {
    "/charge/x": (b"Content-Type: text/plain\r\n", BODY),
    "/lookup/x": (b"Content-Type: text/plain\r\n", BODY),
    "/stream/stream/x": (b"Content-Type: text/event-stream\r\n", EVENTS),
    "/resume/stream/x": (b"Content-Type: text/event-stream\r\n", EVENTS),
}


@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("path", ANSWERS)
def test_no_part_of_an_answer_is_told_whole(stack, path, framing):
    """Guards against a success whose body, or whose last events, are missing."""
    kind, body = ANSWERS[path]
    answer = make_answer(framing, body, SIGNED + kind)
    head_size = answer.index(b"\r\n\r\n") + 4
    whole_size = first_whole_size(framing, answer)
    bench = OddBench(stack)
    for cut in draw_cuts(answer, seed=f"{path}{framing}"):
        with CutTarget(answer, cut) as target:
            bench.scheduler.addresses = [target.address]
            # No request crashes two targets, and is held back from a third.
            got = bench.call(path, body=b"%d" % cut.size)
        assert target.requests, cut
        if got.truncated or got.status != HTTP_OK:
            continue
        # An answer without length or chunks ends with its connection, unless reset.
        may_end = framing is Framing.CLOSE and not cut.resets and cut.size >= head_size
        sent = answer[head_size : cut.size] if may_end else body
        assert may_end or cut.size >= whole_size, (cut, got.body)
        assert got.body == sent, cut
        assert body is BODY or not sent or sent.endswith(EVENT_END)


CHUNKS = [b'{"n": 1}', b'{"finish_reason": "stop"}', b"[DONE]"]
ENGINE_EVENTS = b"".join(
    b"id: s1:%d\ndata: %b\n\n" % (number, data) for number, data in enumerate(CHUNKS)
)


@pytest.mark.parametrize("framing", Framing)
def test_a_cut_stream_of_a_model_engine_is_not_complete(framing):
    """Guards against an answer that is told complete before its last event."""
    answer = make_answer(framing, ENGINE_EVENTS)
    end_of_last = answer.rindex(EVENT_END, 0, answer.rindex(b"DONE") + 8) + 2
    for cut in draw_cuts(answer, seed=str(framing)):
        progress, received = StreamProgress(), []
        with CutTarget(answer, cut) as target, contextlib.suppress(MayHaveRun):
            opened = open_stream(target.address, StreamId("s1"), b"{}", TIMEOUT_S)
            with contextlib.closing(opened):
                for chunk in itertools.chain.from_iterable(opened):
                    received.append(chunk.data)
                    progress.add(chunk)
        assert received == CHUNKS[: len(received)], cut
        assert not progress.complete or cut.size >= end_of_last, cut
