"""Lines of a host that serves: bounded, and nobody waits for them."""

import logging

from godwitladder.clock import ManualClock
from godwitladder.logs import BURST_LINES, LINES_PER_S, BoundedHandler, is_new
from godwitladder.serving.upstream import StreamTruncated


class Kept(logging.Handler):
    """Keeps what it is to write."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def make_record(exc_info=None):
    return logging.LogRecord("n", logging.INFO, "p", 1, "a line", (), exc_info)


def test_lines_beyond_the_rate_are_dropped_and_counted():
    """Nobody reads the pipe: no thread that logs may wait for it."""
    clock, kept = ManualClock(), Kept()
    handler = BoundedHandler(kept, clock)
    for _ in range(int(BURST_LINES) + 50):
        handler.emit(make_record())
    assert handler.dropped == 50
    clock.advance(1.0)
    for _ in range(int(LINES_PER_S) + 7):
        handler.emit(make_record())
    assert handler.dropped == 57
    handler.drain()
    assert len(kept.records) == BURST_LINES + LINES_PER_S


def test_an_answer_that_was_broken_on_purpose_is_not_logged_twice():
    error = StreamTruncated("cut")
    assert not is_new(make_record((StreamTruncated, error, None)))
    assert is_new(make_record((ValueError, ValueError("x"), None)))
    assert is_new(make_record())
