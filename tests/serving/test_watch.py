"""Calls that the watcher aborts."""

import socket

from godwitladder.clock import ManualClock
from godwitladder.serving.call_watcher import AbortCause, CallWatcher, OpenCall


def make_call(gone=False, deadline=1010.0):
    withdrawn = []
    call = OpenCall(lambda: gone, deadline, lambda: withdrawn.append(1))
    return call, withdrawn


def watch_call(call, clock):
    watcher = CallWatcher(clock)
    watcher.add(call)
    watcher.check_calls()
    return watcher


def test_a_queued_call_is_withdrawn_when_its_caller_disconnects():
    call, withdrawn = make_call(gone=True)
    watch_call(call, ManualClock())
    assert call.cause is AbortCause.CALLER_GONE and withdrawn


def test_the_connection_is_shut_down_when_the_caller_disconnects():
    """The thread that serves the call blocks on the target's next byte."""
    ours, theirs = socket.socketpair()
    with ours, theirs:
        call, withdrawn = make_call(gone=True)
        call.attach(ours)
        watch_call(call, ManualClock())
        assert ours.recv(1) == b"" and not withdrawn


def test_a_queued_call_past_its_deadline_is_aborted_but_not_withdrawn():
    clock = ManualClock()
    call, withdrawn = make_call()
    watcher = watch_call(call, clock)
    assert call.cause is None
    clock.advance(10.0)
    watcher.check_calls()
    assert call.cause is AbortCause.TIMEOUT and not withdrawn


def test_a_connection_of_an_aborted_call_is_shut_down_at_once():
    ours, theirs = socket.socketpair()
    with ours, theirs:
        call, _ = make_call(gone=True)
        watch_call(call, ManualClock())
        call.attach(ours)
        assert ours.recv(1) == b""


def test_calls_that_have_ended_are_not_checked():
    call, _ = make_call(gone=True)
    watcher = CallWatcher(ManualClock())
    watcher.add(call)
    watcher.remove(call)
    watcher.check_calls()
    assert call.cause is None
