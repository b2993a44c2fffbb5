"""A stream is passed on completely and in order, or ends in an explicit error."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitladder.clock import ManualClock
from godwitladder.engines.engine import DONE, Chunk
from godwitladder.engines.wire import MayHaveRun, TargetRefused
from godwitladder.ids import StreamId
from godwitladder.outcomes import Reason, RequestState
from godwitladder.serving import relay
from godwitladder.serving.relay import (
    MAX_RESUME_ATTEMPTS,
    AnswerTruncated,
    StreamFollower,
)

STREAM_ID = StreamId("mine")
FINISH_DATA = b'{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}'
LENGTH = 12
ALL_CHUNKS = [Chunk(STREAM_ID, index, b"{}") for index in range(LENGTH - 2)]
ALL_CHUNKS += [
    Chunk(STREAM_ID, LENGTH - 2, FINISH_DATA),
    Chunk(STREAM_ID, LENGTH - 1, DONE),
]


class FakeClock(ManualClock):
    """A clock that advances when it is asked to sleep."""

    def sleep(self, seconds: float) -> None:
        self.now += seconds


class FakeConnection:
    """Yields the given batches, then breaks or ends."""

    def __init__(self, batches, breaks=False):
        self.batches = batches
        self.breaks = breaks

    def __iter__(self):
        yield from self.batches
        if self.breaks:
            raise MayHaveRun("connection reset")

    def close(self):
        pass


def make_follower(monkeypatch, resume, opened=None, deadline=1e9, clock=None):
    monkeypatch.setattr(relay, "resume_stream", resume)
    clock = clock or FakeClock()
    return StreamFollower("127.0.0.1:1", STREAM_ID, clock, deadline, opened)


def read_all(follower):
    return [chunk for chunks in follower for chunk in chunks]


faults = st.lists(
    st.one_of(
        st.just([]),
        st.lists(st.sampled_from(ALL_CHUNKS), max_size=6),
        st.lists(st.sampled_from(ALL_CHUNKS), max_size=6, unique=True),
        st.builds(
            lambda number: [Chunk(StreamId("other"), number, b"x")], st.integers(0, 12)
        ),
    ),
    max_size=6,
)
connections = st.lists(
    st.tuples(faults, st.booleans(), st.integers(0, LENGTH)), max_size=12
)


@given(connections)
def test_any_order_of_chunks_gives_the_complete_answer_or_an_error(plans):
    """The caller gets its own chunks once each and in order, or an error.

    Each connection repeats, reorders, drops and mixes in chunks, and then sends
    some of the requested ones. Compared with the plain sequence, the only other
    result allowed is an explicit error after a correct beginning.
    """
    remaining = list(plans)

    def resume(address, stream, sequence, idle_s, dial):
        if not remaining:
            raise TargetRefused(404, "unknown stream")
        batches, breaks, count = remaining.pop()
        return FakeConnection(
            [*batches, ALL_CHUNKS[sequence : sequence + count]], breaks
        )

    seen = []
    with pytest.MonkeyPatch.context() as patch:
        try:
            for chunks in make_follower(patch, resume):
                seen += chunks
        except AnswerTruncated:
            assert DONE not in [chunk.data for chunk in seen]
        else:
            assert seen == ALL_CHUNKS
    assert seen == ALL_CHUNKS[: len(seen)]


def test_breaks_with_progress_between_them_never_end_a_stream(monkeypatch):
    """Connections that break after each new chunk don't use up the attempts.

    Each connection yields one chunk and breaks. There are more breaks than resume
    attempts, but only attempts without a new chunk count.
    """

    def resume(address, stream, sequence, idle_s, dial):
        return FakeConnection([[ALL_CHUNKS[sequence]]], breaks=True)

    assert LENGTH > MAX_RESUME_ATTEMPTS
    assert read_all(make_follower(monkeypatch, resume)) == ALL_CHUNKS


def test_a_lost_chunk_is_requested_again_at_the_next_heartbeat(monkeypatch):
    """A chunk that is lost on a live connection doesn't block the answer.

    The connection goes on with later chunks and heartbeats, so it never counts as
    idle. The first heartbeat after the gap makes the host resume the stream.
    """
    requested = []

    def resume(address, stream, sequence, idle_s, dial):
        requested.append(sequence)
        return FakeConnection([ALL_CHUNKS[sequence:]])

    def heartbeats():
        yield from (ALL_CHUNKS[:3], ALL_CHUNKS[4:6], [])
        raise AssertionError("the follower waited for a second heartbeat")

    endless = FakeConnection(heartbeats())
    assert read_all(make_follower(monkeypatch, resume, opened=endless)) == ALL_CHUNKS
    assert requested == [3]


def test_done_without_a_finish_reason_is_an_error(monkeypatch):
    """A truncated answer must not end like a complete one.

    An engine that drops a request closes its stream with the usual end marker but
    without a finish reason. The caller gets an error instead of the end marker.
    """
    cut = [ALL_CHUNKS[:4], [Chunk(STREAM_ID, 4, DONE)]]
    follower = make_follower(monkeypatch, None, opened=FakeConnection(cut))
    with pytest.raises(AnswerTruncated) as caught:
        read_all(follower)
    assert caught.value.refusal.outcome is RequestState.FAILED


def test_the_deadline_ends_a_stream_that_sends_only_heartbeats(monkeypatch):
    """An engine that sends heartbeats but no output can't block a caller forever.

    Its connection never counts as idle. The deadline is therefore checked with
    each heartbeat, and the caller gets an error that names it.
    """
    clock = FakeClock()

    def heartbeats():
        while True:
            clock.now += 1.0
            assert clock.now < 2000
            yield []

    opened = FakeConnection(heartbeats())
    follower = make_follower(monkeypatch, None, opened, clock.now + 10, clock)
    with pytest.raises(AnswerTruncated) as caught:
        read_all(follower)
    assert caught.value.refusal.reason is Reason.DEADLINE
    assert caught.value.refusal.outcome is RequestState.FAILED


def test_a_failed_target_ends_in_an_error(monkeypatch):
    """If the engine fails, the caller learns that its request may have run."""

    def resume(address, stream, sequence, idle_s, dial):
        raise MayHaveRun("no route")

    opened = FakeConnection([ALL_CHUNKS[:3]], breaks=True)
    with pytest.raises(AnswerTruncated) as caught:
        read_all(make_follower(monkeypatch, resume, opened=opened))
    assert caught.value.refusal.outcome is RequestState.MAY_HAVE_RUN
