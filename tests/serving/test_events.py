"""Splitting of streams into complete events."""

import pytest

from godwitladder.engines.wire import MayHaveRun
from godwitladder.serving.events import EventReader


class Blocks:
    """A response without a length that arrives in the given blocks."""

    def __init__(self, *blocks):
        self.blocks = list(blocks)

    def read1(self, amount, decode_content):
        return self.blocks.pop(0) if self.blocks else b""


def test_events_that_arrive_in_pieces_are_yielded_complete():
    reader = EventReader(Blocks(b"id: 1\ndata", b": a\n\nid: 2\n", b"data: b\n\n"))
    assert list(reader) == [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"]
    assert (reader.take_count(), reader.last_id) == (2, "2")


def test_a_stream_that_ends_within_an_event_is_broken():
    """An engine crashes and its connection closes as at a regular end.

    The answer states no length, so only the partial event at its end reveals the
    crash.
    """
    reader = EventReader(Blocks(b"id: 1\ndata: a\n\n", b"id: 2\nda"))
    passed = []
    with pytest.raises(MayHaveRun):
        for block in reader:
            passed.append(block)
    assert passed == [b"id: 1\ndata: a\n\n"]


def test_a_lone_carriage_return_in_an_id_line_is_no_part_of_the_id():
    reader = EventReader(Blocks(b"id: 7\r\ndata: a\r\n\n\n"))
    list(reader)
    assert reader.last_id == "7"
