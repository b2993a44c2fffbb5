"""Streams whose callers have left, on a host that can start no thread."""

import threading
from types import SimpleNamespace

from godwitladder.outcomes import RequestState
from godwitladder.serving.answers import StreamedAnswer


class Follower:
    """A stream of three chunks."""

    def __init__(self):
        self.progress = SimpleNamespace(tokens=0, complete=False)

    def __iter__(self):
        for number in range(3):
            self.progress.tokens += 1
            self.progress.complete = number == 2
            yield []

    def close(self):
        """Nothing is held open."""


class Reporter:
    """Keeps what is reported to the scheduler."""

    def __init__(self):
        self.ended = False
        self.ends = []

    def report_progress(self, tokens):
        """Progress is of no interest here."""

    def report_end(self, state, tokens):
        self.ended = True
        self.ends.append((state, tokens))


def test_a_stream_that_is_left_is_followed_without_a_thread(monkeypatch):
    """Guards against a slot of a target that stays taken for a denied thread."""

    def deny(thread):
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(threading.Thread, "start", deny)
    reporter = Reporter()
    StreamedAnswer(Follower(), reporter, "r", lambda error: None).close()
    assert reporter.ends == [(RequestState.COMPLETED, 3)]
