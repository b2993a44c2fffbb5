"""Answers of plain services that stop before their end."""

import time

import pytest

from godwitladder.clock import Clock
from godwitladder.engines.engine import open_stream
from godwitladder.engines.service import call_service
from godwitladder.engines.wire import MayHaveRun, TargetRefused
from tests.serving.odd_targets import OddTarget, head, repeat

LONG_S = 60.0
DEADLINE_S = 3.0


def send_one_byte_late():
    """Yield a head, one byte shortly before the deadline, then nothing more."""
    yield head("Content-Length: 9")
    time.sleep(0.8 * DEADLINE_S)
    yield b"x"
    time.sleep(LONG_S)


def test_an_answer_that_stops_late_ends_at_the_deadline():
    """Guards against a call that is held for up to twice its time."""
    target = OddTarget(send_one_byte_late)
    clock = Clock()
    began = clock.monotonic()
    deadline = began + DEADLINE_S
    with pytest.raises(MayHaveRun):
        call_service(target.address, "charge", "c1", b"", "text/plain", clock, deadline)
    assert clock.monotonic() - began < 1.6 * DEADLINE_S
    target.close()


def test_a_refusal_without_end_is_read_in_part():
    """Guards against the text of a refusal that fills the memory of the host."""
    refusal = head("Content-Type: text/plain", status=503)
    target = OddTarget(lambda: repeat(refusal, b"x" * 65_536))
    with pytest.raises(TargetRefused) as caught:
        open_stream(target.address, "s1", b"{}", LONG_S)
    assert len(str(caught.value)) < 300
    target.close()


def test_a_whole_answer_that_closes_its_connection_is_complete():
    """Guards against a lost answer where the target keeps no connection open."""
    answer = head("Content-Length: 2", "Connection: close") + b"ok"
    target = OddTarget(lambda: iter([answer]))
    clock = Clock()
    deadline = clock.monotonic() + DEADLINE_S
    answer = call_service(
        target.address, "charge", "c1", b"", "text/plain", clock, deadline
    )
    assert (answer.status, answer.body) == (200, b"ok")
    target.close()
