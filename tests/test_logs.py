"""Logging of a serving host is bounded and never blocks."""

import logging

from godwitladder.clock import Clock, ManualClock
from godwitladder.logs import BURST_LINES, LINES_PER_S, BoundedHandler, is_first_report
from godwitladder.serving.upstream import StreamTruncated


class RecordingHandler(logging.Handler):
    """Stores the records instead of writing them."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def make_record(exc_info=None):
    return logging.LogRecord("n", logging.INFO, "p", 1, "a line", (), exc_info)


def test_lines_beyond_the_rate_are_dropped_and_counted():
    """Guards against threads that block because nobody reads the log's pipe."""
    clock, target = ManualClock(), RecordingHandler()
    handler = BoundedHandler(target, clock)
    for _ in range(int(BURST_LINES) + 50):
        handler.emit(make_record())
    assert handler.dropped == 50
    clock.advance(1.0)
    for _ in range(int(LINES_PER_S) + 7):
        handler.emit(make_record())
    assert handler.dropped == 57
    handler.drain()
    assert len(target.records) == BURST_LINES + LINES_PER_S


def test_an_answer_that_was_broken_on_purpose_is_not_logged_twice():
    error = StreamTruncated("cut")
    assert not is_first_report(make_record((StreamTruncated, error, None)))
    assert is_first_report(make_record((ValueError, ValueError("x"), None)))
    assert is_first_report(make_record())


def test_lines_before_the_end_of_a_process_are_written():
    """Guards against an exit that loses the lines which explain it."""
    target = RecordingHandler()
    handler = BoundedHandler(target, Clock())
    for _ in range(50):
        handler.emit(make_record())
    handler.start()
    handler.wait_until_written(10.0)
    assert len(target.records) == 50


def test_a_reader_of_the_log_that_has_stopped_holds_up_no_exit():
    """Guards against a process that does not end because nobody reads its log."""
    handler = BoundedHandler(RecordingHandler(), Clock())
    handler.emit(make_record())
    handler.wait_until_written(0.1)
    assert handler.written == 0
