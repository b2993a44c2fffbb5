"""Answers of targets without a length or chunks, which end with their connection."""

import contextlib
import json

import pytest

from tests.serving.test_passing import Bench

EVENTS = 5


@pytest.fixture
def bench():
    """An application before two targets whose answers have no length."""
    with contextlib.ExitStack() as stack:
        bench = Bench(stack, engines=2)
        for engine in bench.engines:
            engine.standin.knobs.framed = False
        yield bench


def test_an_answer_without_a_length_is_passed_on_whole(bench):
    answer = bench.call("/charge/x")
    assert answer.status == 200
    assert answer.body == b"answer of a1"
    assert answer.headers["Content-Length"] == str(len(answer.body))


def test_a_stream_without_chunks_is_passed_on_whole(bench):
    answer = bench.call("/stream/stream/x")
    assert not answer.truncated
    assert answer.body.count(b"id: ") == EVENTS


@pytest.mark.parametrize("sent", [0, 5])
def test_an_answer_that_is_reset_is_no_success(bench, sent):
    """Guards against a part of an answer that looks complete to its caller."""
    bench.engines[0].standin.knobs.resets_after = sent
    answer = bench.call("/charge/x")
    assert answer.status == 502
    assert json.loads(answer.body)["outcome"] == "may_have_run"


def test_an_idempotent_call_whose_answer_is_reset_is_sent_once_more(bench):
    bench.engines[0].standin.knobs.resets_after = 5
    answer = bench.call("/lookup/x")
    assert answer.status == 200
    assert answer.body == b"answer of a1"


def test_a_stream_that_ends_inside_an_event_is_truncated(bench):
    """Guards against a stream that looks complete without its last events."""
    bench.engines[0].standin.knobs.cut_after = 2
    answer = bench.call("/stream/stream/x")
    assert answer.truncated
    assert answer.body.count(b"id: ") == 2
    assert answer.body.endswith(b"\n\n")


def test_a_stream_that_is_reset_between_events_is_truncated(bench):
    """Guards against a reset that is taken for the end of the answer."""
    bench.engines[0].standin.knobs.resets_after = 2
    answer = bench.call("/stream/stream/x")
    assert answer.truncated
    assert answer.body.count(b"id: ") == 2


@pytest.mark.parametrize("knob", ["cut_after", "resets_after"])
def test_a_stream_that_is_broken_off_is_resumed_where_it_may_be(bench, knob):
    """Guards against events that are missing or come twice."""
    setattr(bench.engines[0].standin.knobs, knob, 2)
    answer = bench.call("/resume/stream/x")
    ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
    assert ids == [b"id: %d" % number for number in range(1, EVENTS + 1)]
    assert not answer.truncated
