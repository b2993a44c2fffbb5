"""When the steps of a planned stop are due, and what they wait for."""

from types import SimpleNamespace

import pytest

from godwitladder.clock import ManualClock
from godwitladder.routing.daemon import RoutingHost
from godwitladder.routing.stop_schedule import INTAKE_S, make_stop_schedule


@pytest.mark.parametrize("grace_s", [0.2, 1.0, 3.0, 8.0, 30.0])
def test_all_steps_are_due_within_the_grace(grace_s):
    """Guards against a step that is due when the process has been killed."""
    schedule = make_stop_schedule(100.0, grace_s)
    assert 100.0 <= schedule.intake_ends <= 100.0 + INTAKE_S
    assert schedule.intake_ends <= 100.0 + grace_s
    assert 100.0 <= schedule.exit_at < 100.0 + grace_s


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
