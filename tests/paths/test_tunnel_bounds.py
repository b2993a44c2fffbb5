"""What a faulty host may make another one hold or wait for through a tunnel."""

import asyncio
import contextlib
import math

import pytest
from websockets.exceptions import ConnectionClosed

from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.engines.wire import AnswerShape, MalformedAnswer, send
from godwitladder.membership.codec import decode, encode
from godwitladder.paths import gateway as gateway_module
from godwitladder.paths.gateway import MAX_TUNNEL_S, tunnel_life_s
from godwitladder.paths.messages import TunnelOutcome, TunnelRequest
from godwitladder.paths.tunnels import TunnelFailed
from tests.engines.raw_target import RawTarget
from tests.fleet import wait_until
from tests.paths.test_tunnels import PathHost, make_pair, start_target

TIMEOUT_S = 10.0
MESSAGE_TOO_BIG = 1009


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


@pytest.mark.parametrize("is_direct", [True, False])
def test_a_connector_reads_within_its_limits(stack, is_direct):
    """Guards against settings that only some of the connections keep to."""
    body = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n" + b"a" * 100
    target = stack.enter_context(RawTarget(body))
    near, far = make_pair(stack, target.address)
    host = far if is_direct else near
    host.connector.limits = AnswerLimits(body_bytes=99)
    connection = host.connect(target.address)
    assert connection.gateway == ("" if is_direct else "far")
    with pytest.raises(MalformedAnswer, match="more than 99"):
        send(connection.http, "GET", "/x", None, {"Host": "t"})


@pytest.mark.parametrize("asked_s", [math.inf, -1.0, 1e12])
def test_a_tunnel_ends_whatever_life_its_host_asks_for(stack, monkeypatch, asked_s):
    """Guards against tunnels that hold places of a gateway for ever."""
    monkeypatch.setattr(gateway_module, "MAX_TUNNEL_S", 0.3)
    engine = start_target(stack)
    near, far = make_pair(stack, engine.address)
    request = TunnelRequest(engine.address, asked_s)
    stack.enter_context(near.tunnels.open(far.as_peer(), request, TIMEOUT_S))
    wait_until(lambda: far.gateway.open_tunnels == 0, "the end of the tunnel")


def test_a_tunnel_whose_life_is_no_number_is_not_opened(stack):
    """Guards against tunnels that hold places of a gateway for ever."""
    engine = start_target(stack)
    near, far = make_pair(stack, engine.address)
    request = TunnelRequest(engine.address, math.nan)
    with pytest.raises(TunnelFailed):
        near.tunnels.open(far.as_peer(), request, TIMEOUT_S)
    assert far.gateway.open_tunnels == 0
    assert 0 <= tunnel_life_s(request) <= MAX_TUNNEL_S


async def send_long_message(mesh, gateway, target):
    """Send a message that no tunnel has; return the code with which it is closed."""
    connection = await mesh.open_tunnel_connection(gateway)
    await connection.send(encode(TunnelRequest(target, TIMEOUT_S)))
    assert decode(await connection.recv()).outcome is TunnelOutcome.OPEN
    await connection.send(b"a" * 1_000_000)
    try:
        async with asyncio.timeout(TIMEOUT_S):
            await connection.recv()
    except ConnectionClosed as error:
        return error.rcvd.code if error.rcvd else None
    return None


def test_a_gateway_takes_no_long_messages(stack):
    """Guards against messages of megabytes that a gateway holds for a slow target."""
    engine = start_target(stack)
    near, far = make_pair(stack, engine.address)
    sending = send_long_message(near.mesh, far.mesh.address, engine.address)
    future = asyncio.run_coroutine_threadsafe(sending, near.mesh.loop)
    assert future.result(TIMEOUT_S) == MESSAGE_TOO_BIG


def test_a_host_takes_no_long_messages_of_a_gateway(stack):
    """Guards against messages of megabytes that a host holds for a slow caller."""
    near, far = PathHost(stack, "near"), PathHost(stack, "far")
    codes = []

    async def serve(connection, origin):
        await connection.send(b"a" * 1_000_000)
        await connection.wait_closed()
        codes.append(connection.close_code)

    far.mesh.serve_tunnel = serve

    async def receive():
        connection = await near.mesh.open_tunnel_connection(far.mesh.address)
        with pytest.raises(ConnectionClosed):
            async with asyncio.timeout(TIMEOUT_S):
                await connection.recv()

    future = asyncio.run_coroutine_threadsafe(receive(), near.mesh.loop)
    future.result(TIMEOUT_S)
    wait_until(lambda: codes == [MESSAGE_TOO_BIG], "the end of the tunnel")


def test_a_malformed_answer_through_a_tunnel_is_found(stack):
    """Guards against an answer without bounds where the direct path is lost."""
    endless = (b"", b"HTTP/1.1 100 Continue\r\n\r\n")
    target = stack.enter_context(RawTarget(*endless))
    near, _ = make_pair(stack, target.address)
    connection = near.connect(target.address)
    assert connection.gateway == "far"
    with pytest.raises(MalformedAnswer) as caught:
        send(connection.http, "GET", "/x", None, {"Host": "t"})
    assert caught.value.shape is AnswerShape.INTERIM
