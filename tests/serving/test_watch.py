"""Calls that are ended from outside."""

import socket

from godwitladder.clock import ManualClock
from godwitladder.serving.call_watcher import CallWatcher, Cause, OpenCall


def make_call(gone=False, until=1010.0):
    withdrawn = []
    call = OpenCall(lambda: gone, until, lambda: withdrawn.append(1))
    return call, withdrawn


def watch_call(call, clock):
    watch = CallWatcher(clock)
    watch.add(call)
    watch.look()
    return watch


def test_a_caller_that_left_takes_a_waiting_call_back():
    call, withdrawn = make_call(gone=True)
    watch_call(call, ManualClock())
    assert call.cause is Cause.CALLER_GONE and withdrawn


def test_a_caller_that_left_breaks_the_connection_to_the_target():
    """The thread that serves the call waits for the target's next byte."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        call, withdrawn = make_call(gone=True)
        call.attach(ours)
        watch_call(call, ManualClock())
        assert ours.recv(1) == b"" and not withdrawn


def test_time_that_is_up_breaks_it_too_and_leaves_a_waiting_call():
    clock = ManualClock()
    call, withdrawn = make_call()
    watch = watch_call(call, clock)
    assert call.cause is None
    clock.advance(10.0)
    watch.look()
    assert call.cause is Cause.TIMEOUT and not withdrawn


def test_a_connection_that_comes_too_late_is_broken_at_once():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        call, _ = make_call(gone=True)
        watch_call(call, ManualClock())
        call.attach(ours)
        assert ours.recv(1) == b""


def test_calls_that_have_ended_are_not_looked_at():
    call, _ = make_call(gone=True)
    watch = CallWatcher(ManualClock())
    watch.add(call)
    watch.remove(call)
    watch.look()
    assert call.cause is None
