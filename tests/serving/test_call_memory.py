"""Accounting of the bytes held for answers under way."""

from hypothesis import given
from hypothesis import strategies as st

from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.serving.call_memory import (
    BLOCK_BYTES,
    RESERVED_BYTES,
    AnswerShare,
    CallMemory,
)

LIMITS = AnswerLimits(memory_mb=10.0, memory_share=0.1)
LARGE = 400_000


def test_what_is_held_leaves_room_for_calls_to_begin():
    """Guards against large answers that keep all other calls out."""
    memory = CallMemory(LIMITS)
    first, second = AnswerShare(memory), AnswerShare(memory)
    assert first.open() and first.hold(LARGE)
    assert second.open()
    assert not second.hold(LARGE)
    assert AnswerShare(memory).open()


def test_a_call_beyond_the_memory_is_not_begun():
    """Guards against calls that begin without memory for their answers."""
    memory = CallMemory(LIMITS)
    shares = [AnswerShare(memory) for _ in range(100)]
    opened = [share for share in shares if share.open()]
    assert len(opened) == memory.max_bytes // RESERVED_BYTES


def test_one_block_needs_no_more_than_the_reservation():
    """Guards against small answers that can't be held where memory is short."""
    memory = CallMemory(LIMITS)
    share = AnswerShare(memory)
    assert share.open()
    assert memory.take(memory.max_bytes - memory.used)
    assert share.hold(BLOCK_BYTES)
    assert not share.hold(BLOCK_BYTES + 1)


@given(st.lists(st.tuples(st.integers(0, 4), st.integers(-1, 600_000)), max_size=60))
def test_the_bytes_in_use_are_those_of_the_open_shares(steps):
    """Guards against memory that is lost, or given back twice."""
    memory = CallMemory(LIMITS)
    shares = [AnswerShare(memory) for _ in range(5)]
    for number, count in steps:
        share = shares[number]
        if count < 0:
            share.close()
        elif share.open():
            share.hold(count)
        assert memory.used == sum(
            row.extra + RESERVED_BYTES * row.is_open for row in shares
        )
        assert memory.used <= memory.max_bytes
    for share in shares:
        share.close()
    assert memory.used == 0
