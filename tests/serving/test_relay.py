"""A stream is passed on whole and in order, or its end is an explicit error."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from godwitladder.clock import ManualClock
from godwitladder.engines.engine import DONE, Chunk
from godwitladder.engines.wire import MayHaveRun, TargetRefused
from godwitladder.ids import StreamId
from godwitladder.outcomes import Reason, RequestState
from godwitladder.serving import relay
from godwitladder.serving.relay import RESUME_TRIES, AnswerTruncated, StreamFollower

MINE = StreamId("mine")
END = b'{"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}'
LENGTH = 12
WHOLE = [Chunk(MINE, index, b"{}") for index in range(LENGTH - 2)]
WHOLE += [Chunk(MINE, LENGTH - 2, END), Chunk(MINE, LENGTH - 1, DONE)]


class FakeClock(ManualClock):
    """Time that moves on by itself when anybody sleeps."""

    def sleep(self, seconds: float) -> None:
        self.now += seconds


class FakeConnection:
    """Yields what the script says, then breaks or ends."""

    def __init__(self, batches, breaks=False):
        self.batches = batches
        self.breaks = breaks

    def __iter__(self):
        yield from self.batches
        if self.breaks:
            raise MayHaveRun("connection reset")

    def close(self):
        pass


def follow(monkeypatch, resume, opened=None, deadline=1e9, clock=None):
    monkeypatch.setattr(relay, "resume_stream", resume)
    clock = clock or FakeClock()
    return StreamFollower("127.0.0.1:1", MINE, clock, deadline, opened)


def read(follower):
    return [chunk for chunks in follower for chunk in chunks]


faults = st.lists(
    st.one_of(
        st.just([]),
        st.lists(st.sampled_from(WHOLE), max_size=6),
        st.lists(st.sampled_from(WHOLE), max_size=6, unique=True),
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
def test_any_order_of_chunks_gives_the_whole_answer_or_an_error(plans):
    """The caller sees its own chunks once each and in order, or an error.

    Every connection repeats, swaps, loses and mixes in chunks at will, and
    then sends some of what was asked for. Against the naive sequence the only
    other end allowed is an explicit error after a sound beginning.
    """
    left = list(plans)

    def resume(address, stream, sequence, idle_s):
        if not left:
            raise TargetRefused(404, "unknown stream")
        batches, breaks, count = left.pop()
        return FakeConnection([*batches, WHOLE[sequence : sequence + count]], breaks)

    seen = []
    with pytest.MonkeyPatch.context() as patch:
        try:
            for chunks in follow(patch, resume):
                seen += chunks
        except AnswerTruncated:
            assert DONE not in [chunk.data for chunk in seen]
        else:
            assert seen == WHOLE
    assert seen == WHOLE[: len(seen)]


def test_breaks_with_progress_between_them_never_end_a_stream(monkeypatch):
    """A long answer gets through a network that breaks it again and again.

    Each connection yields one chunk and breaks. There are more breaks than
    tries, but only tries in vain count, so the caller has its answer.
    """

    def resume(address, stream, sequence, idle_s):
        return FakeConnection([[WHOLE[sequence]]], breaks=True)

    assert LENGTH > RESUME_TRIES
    assert read(follow(monkeypatch, resume)) == WHOLE


def test_a_lost_chunk_is_asked_for_again_at_the_next_heartbeat(monkeypatch):
    """A chunk that a live connection swallowed doesn't stop the answer.

    The connection goes on with later chunks and heartbeats, so it never
    looks idle. The first heartbeat after the gap makes the host resume.
    """
    asked = []

    def resume(address, stream, sequence, idle_s):
        asked.append(sequence)
        return FakeConnection([WHOLE[sequence:]])

    def beats():
        yield from (WHOLE[:3], WHOLE[4:6], [])
        raise AssertionError("a second heartbeat was waited for")

    endless = FakeConnection(beats())
    assert read(follow(monkeypatch, resume, opened=endless)) == WHOLE
    assert asked == [3]


def test_done_without_a_reason_to_finish_is_not_whole(monkeypatch):
    """An answer whose engine gave up must not end like a whole one.

    The engine drops the request and closes its stream tidily, with the usual
    end mark but no reason to finish. The caller gets an error in its place.
    """
    cut = [WHOLE[:4], [Chunk(MINE, 4, DONE)]]
    follower = follow(monkeypatch, None, opened=FakeConnection(cut))
    with pytest.raises(AnswerTruncated) as caught:
        read(follower)
    assert caught.value.refusal.outcome is RequestState.FAILED


def test_the_deadline_ends_a_stream_that_sends_only_heartbeats(monkeypatch):
    """An engine that is alive but makes nothing can't hold a caller for ever.

    Heartbeats come on time, so the connection never looks idle. The deadline
    is looked at with each of them, and the caller is told of it.
    """
    clock = FakeClock()

    def beats():
        while True:
            clock.now += 1.0
            assert clock.now < 2000
            yield []

    opened = FakeConnection(beats())
    follower = follow(monkeypatch, None, opened, clock.now + 10, clock)
    with pytest.raises(AnswerTruncated) as caught:
        read(follower)
    assert caught.value.refusal.reason is Reason.DEADLINE
    assert caught.value.refusal.outcome is RequestState.FAILED


def test_a_target_that_is_gone_ends_in_an_error(monkeypatch):
    """The caller of a dead engine is told that its request may have run."""

    def resume(address, stream, sequence, idle_s):
        raise MayHaveRun("no route")

    opened = FakeConnection([WHOLE[:3]], breaks=True)
    with pytest.raises(AnswerTruncated) as caught:
        read(follow(monkeypatch, resume, opened=opened))
    assert caught.value.refusal.outcome is RequestState.MAY_HAVE_RUN
