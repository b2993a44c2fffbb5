"""Targets that fall silent for a moment, and what ends a silent connection."""

import contextlib
import socket
import time

import pytest

from tests.fleet import wait_until
from tests.paths.test_tunnels import (
    HEAD,
    PathHost,
    RawTarget,
    ask,
    make_pair,
    start_target,
)
from tests.serving.test_passing import Bench

SILENCE_S = 1.3


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


@pytest.mark.parametrize("path", ["/charge/x", "/stream/x", "/lookup/x"])
def test_a_call_outlasts_a_target_that_is_silent_for_a_second(stack, path):
    """Guards against ending, repeating or avoiding work at a sound target."""
    bench = Bench(stack, engines=2)
    for engine in bench.engines:
        engine.standin.knobs.pause_s = SILENCE_S
        engine.standin.knobs.events = 2
    answer = bench.call(path)
    assert (answer.status, answer.truncated) == (200, False)
    assert len(bench.runs()) == 1
    assert bench.scheduler.returned == []


def test_an_answer_through_a_tunnel_outlasts_a_silent_target(stack):
    """Guards against a gateway that ends what is silent for a second."""

    def serve(target, sock):
        time.sleep(SILENCE_S)
        sock.sendall(HEAD + b"first, ")
        time.sleep(SILENCE_S)
        sock.sendall(b"last")

    target = RawTarget(stack, serve)
    near, _ = make_pair(stack, target.address)
    assert ask(near.connect(target.address)).read() == b"first, last"


def user_timeout_ms(sock):
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def test_no_library_sets_a_user_timeout_on_connections_to_targets(stack):
    """Guards against a silent target's connection that ends by a hidden timeout.

    A TCP_USER_TIMEOUT also decides when keep-alive probes give up, whatever their
    count, so what a library sets would end calls that are still in time.
    """
    engine = start_target(stack)
    host = PathHost(stack, "h")
    host.know(engine.address)
    assert user_timeout_ms(host.connect(engine.address).http.sock) == 0
    host.lose_path(engine.address)
    host.connector.paths.lost[engine.address].tried_at = float("-inf")
    probe = host.connector.start_probe(engine.address)
    assert user_timeout_ms(probe) == 0
    probe.close()


def test_no_library_sets_a_user_timeout_between_hosts_and_behind_a_gateway(
    stack, monkeypatch
):
    """Guards against tunnels and links that end by a hidden timeout."""
    opened = []
    connect = socket.socket.connect

    def record(sock, address):
        opened.append(sock)
        return connect(sock, address)

    monkeypatch.setattr(socket.socket, "connect", record)
    engine = start_target(stack)
    near, far = make_pair(stack, engine.address)
    connection = near.connect(engine.address)
    near.mesh.dial_once({far.mesh.address})
    wait_until(near.mesh.current, "a link")
    assert connection.gateway == "far"
    open_socks = [sock for sock in opened if sock.fileno() >= 0]
    assert len(open_socks) >= 3
    assert [user_timeout_ms(sock) for sock in open_socks] == [0] * len(open_socks)
