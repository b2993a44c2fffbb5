"""When the steps of a planned stop are due, and what they wait for."""

from types import SimpleNamespace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.routing.daemon import RoutingHost
from godwitladder.routing.stop_schedule import (
    ANSWER_RESERVE_S,
    INTAKE_S,
    make_stop_schedule,
)
from godwitladder.serving.call_watcher import CallWatcher


@pytest.mark.parametrize("grace_s", [0.2, 1.0, 3.0, 8.0, 30.0])
def test_all_steps_are_due_within_the_grace(grace_s):
    """Guards against a step that is due when the process has been killed."""
    schedule = make_stop_schedule(100.0, grace_s)
    assert 100.0 <= schedule.intake_ends <= 100.0 + INTAKE_S
    assert schedule.intake_ends <= 100.0 + grace_s
    calls = schedule.calls
    assert 100.0 <= calls.sends_end <= calls.calls_end <= schedule.exit_at
    assert schedule.exit_at < 100.0 + grace_s


def test_what_is_sent_at_last_has_time_to_end():
    """Guards against calls that are sent only to be cut, at the usual grace."""
    schedule = make_stop_schedule(100.0, 8.0)
    calls = schedule.calls
    assert schedule.intake_ends <= calls.sends_end <= calls.calls_end - 2.0
    assert schedule.exit_at - calls.calls_end >= ANSWER_RESERVE_S - 1e-6


class SlowToTell:
    """Peers that are told of a stop at once, and would answer much later."""

    def __init__(self):
        self.told = []

    def tell(self, message):
        self.told.append(message)

    def ask(self, message):
        raise AssertionError(f"the stop waits for an answer to {message!r}")


def test_a_stop_waits_for_no_peer_and_no_store():
    """Guards against a stop that takes calls in while it waits for others."""
    signalled, slept = 99.0, []
    host = SimpleNamespace(
        clock=ManualClock(100.0),
        stop_requested=signalled,
        sleep_until=slept.append,
        settings=SimpleNamespace(bounds=SimpleNamespace(grace_s=8.0)),
        app=SimpleNamespace(open_calls=0, refusing=False),
        membership=SlowToTell(),
        watch=CallWatcher(ManualClock()),
        gateway=SimpleNamespace(is_stopping=False),
        caller_server=SimpleNamespace(closing=False),
        has_open_calls=lambda: False,
        wait_until_idle=lambda *_: None,
        close_connections=lambda *_: None,
    )
    RoutingHost.drain(host)
    assert slept == [signalled + INTAKE_S]
    assert host.app.refusing and host.gateway.is_stopping
    assert len(host.membership.told) == 1
