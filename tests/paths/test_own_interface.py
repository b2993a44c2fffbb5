"""Calls of the product's own interface on a host without a path to their target."""

import contextlib

import pytest

from godwitladder.configuration.model import Service, ServiceKind, Target
from godwitladder.configuration.state import ConfigState
from godwitladder.outcomes import RequestState
from godwitladder.quarantine.watch import CrashWatch
from godwitladder.standins.engine import start_engine
from godwitladder.standins.service import start_service
from tests.paths.test_tunnels import make_pair
from tests.quarantine.test_watch import FakeClaims, FakeMesh, ManualClock, make_call
from tests.serving.app import App


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def start(stack, start_standin, **knobs):
    server = start_standin(**knobs)
    stack.callback(server.server_close)
    stack.callback(server.shutdown)
    return server


def use_tunnels(stack, app, address):
    """Make the host of ``app`` lose its path to ``address``, which a peer reaches."""
    near, far = make_pair(stack, address)
    app.app.dial = app.app.dispatcher.dial = near.connector.dial
    return near, far


@pytest.mark.parametrize("streamed", [False, True])
def test_a_model_s_answer_comes_through_another_host(stack, streamed):
    """Guards against refusing callers for want of their own host's path."""
    server = start(stack, start_engine, crash=lambda: None, decode_tps=400)
    app = App(stack, engine=server.address)
    _, far = use_tunnels(stack, app, server.address)
    answer = app.chat(stream=streamed)
    assert answer.status.startswith("200")
    assert b"finish_reason" in answer.read()
    assert len(server.standin.sequences) == 1
    app.wait_until_idle()


def test_a_plain_answer_comes_through_another_host(stack):
    server = start(stack, start_service)
    app = App(stack, service=server.address)
    use_tunnels(stack, app, server.address)
    answer = app.ask("POST", "/v1/services/lookup", b"x")
    assert answer.status.startswith("200")
    answer.read()


def test_a_path_that_is_reset_is_not_taken_for_a_crash(stack):
    """Guards against quarantining a request whose host lost its path to the target."""
    server = start(stack, start_service)
    near, _ = make_pair(stack, server.address)
    config = ConfigState(targets={"t1": Target(address=server.address)})
    watch = CrashWatch(
        None,
        lambda: config,
        FakeClaims(),
        FakeMesh(),
        ManualClock(),
        near.connector.dial,
    )
    call = make_call("letter", Service(ServiceKind.PLAIN, True))
    call.row.state = RequestState.DISPATCHED
    assert not watch._has_crashed(call)
