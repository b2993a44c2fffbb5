"""Tunnels to targets through another host, in one process."""

import contextlib
import errno
import logging
import socket
import struct
import threading
import time

import pytest

from godwitladder.clock import Clock
from godwitladder.daemon import CONNECT_TIMEOUTS
from godwitladder.decisions.placing.paths import Gateways
from godwitladder.engines.wire import MayHaveRun, NoConnection, NotSent, send
from godwitladder.ids import HostId, Zone
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Peer
from godwitladder.metrics import Metrics
from godwitladder.paths import gateway as gateway_module
from godwitladder.paths.connector import (
    Connector,
    ConnectTimeouts,
    UntriedGateways,
)
from godwitladder.paths.gateway import Gateway
from godwitladder.paths.messages import TunnelOutcome, TunnelRequest
from godwitladder.paths.tunnels import TunnelRefused, Tunnels
from godwitladder.serving.upstream import read_block
from godwitladder.standins.ports import free_ports
from godwitladder.standins.routed import start_engine
from tests.fleet import SECRET, wait_until

TIMEOUT_S = 5.0
RESET = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"
UNREAD_BYTES = 1 << 27
PAUSED_BYTES = 1 << 25
PAUSE_S = 4.0
LONG_LIFE_S = 60.0
"""Time that a tunnel may live, so that only what is tested can end it."""
SETTLED_S = 0.3


class PathHost:
    """A host's connector and gateway, with a mesh of its own."""

    def __init__(self, stack, name, peers=()):
        self.name = name
        address = f"127.0.0.1:{free_ports(1)[0]}"
        self.mesh = Mesh(name, address, SECRET, Clock(), lambda link, message: None)
        self.tunnels = Tunnels(self.mesh)
        self.connector = Connector(Clock(), Metrics(), Zone("a"), self.tunnels)
        self.gateway = Gateway(self.connector, lambda count: None)
        self.mesh.serve_tunnel = self.gateway.serve
        self.mesh.start()
        self.connector.set_peers([peer.as_peer() for peer in peers])
        stack.callback(self.mesh.close)

    def as_peer(self):
        return Peer(HostId(self.name), self.mesh.address, Zone("a"))

    def know(self, *addresses):
        self.connector.set_places({row: Zone("a") for row in addresses})
        self.gateway.set_targets(addresses)

    def lose_path(self, address):
        """Lose the direct path to ``address`` for longer than a test lasts."""
        self.connector.record_failed(address, OSError("cut"))
        self.connector.paths.lost[address].tried_at = float("inf")

    def connect(self, address, left_s=TIMEOUT_S):
        return self.connector.connect(address, TIMEOUT_S, left_s)


class RawTarget:
    """A target that speaks bytes: it runs ``serve`` for each connection."""

    def __init__(self, stack, serve):
        self.server = socket.create_server(("127.0.0.1", 0))
        stack.callback(self.server.close)
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.serve = serve
        self.ended = threading.Event()
        self.sent = 0
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        with contextlib.suppress(OSError):
            sock, _ = self.server.accept()
            with sock:
                sock.recv(65_536)
                self.serve(self, sock)
        self.ended.set()


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def read_body(response):
    """Return a body that is read to its end."""
    return b"".join(iter(lambda: read_block(response), b""))


def make_pair(stack, address):
    """Return an entry host without a path to a target, and one that has it."""
    far = PathHost(stack, "far")
    near = PathHost(stack, "near", [far])
    for host in (near, far):
        host.know(address)
    near.lose_path(address)
    return near, far


def ask(connection, method="GET", body=None):
    return send(connection.http, method, "/x", body, {"Host": "t"})


def start_target(stack):
    engine = start_engine()
    stack.callback(engine.server_close)
    stack.callback(engine.shutdown)
    return engine


def test_a_request_and_its_answer_pass_a_tunnel_unchanged(stack):
    engine = start_target(stack)
    near, _ = make_pair(stack, engine.address)
    connection = near.connect(engine.address)
    body = bytes(range(256)) * 20_000
    response = send(
        connection.http, "POST", "/a?b=%41", body, {"godwitladder-attempt-id": "a1"}
    )
    assert read_body(response) == b"answer of a1"
    (run,) = engine.standin.runs
    assert (run.path, run.body) == ("/a?b=%41", body)
    assert connection.gateway == "far"


def test_events_pass_a_tunnel_as_the_target_makes_them(stack):
    """Guards against a gateway that gathers the events of a stream.

    The target makes the second event only after the first one has arrived.
    """
    arrived = threading.Event()

    def serve(target, sock):
        sock.sendall(HEAD + b"id: 1\n\n")
        assert arrived.wait(TIMEOUT_S)
        sock.sendall(b"id: 2\n\n")

    target = RawTarget(stack, serve)
    near, _ = make_pair(stack, target.address)
    response = ask(near.connect(target.address))
    assert response.read1() == b"id: 1\n\n"
    arrived.set()
    assert response.read1() == b"id: 2\n\n"


def test_an_answer_without_a_length_ends_with_the_target_s_connection(stack):
    target = RawTarget(stack, lambda target, sock: sock.sendall(HEAD + b"whole"))
    near, _ = make_pair(stack, target.address)
    assert read_body(ask(near.connect(target.address))) == b"whole"


def test_an_answer_that_is_reset_behind_the_gateway_does_not_look_whole(stack):
    """Guards against passing the target's reset on as an end in order."""

    def serve(target, sock):
        sock.sendall(HEAD + b"a part")
        assert target.arrived.wait(TIMEOUT_S)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    target = RawTarget(stack, serve)
    target.arrived = threading.Event()
    near, _ = make_pair(stack, target.address)
    connection = near.connect(target.address)
    response = ask(connection)
    assert response.read1() == b"a part"
    target.arrived.set()
    with pytest.raises(MayHaveRun):
        read_body(response)


def test_an_answer_does_not_look_whole_when_the_gateway_goes_away(stack):
    """Guards against taking the end of the gateway for the end of the answer.

    A server that goes away closes its connections in order, as it does after the
    target's own end.
    """
    waiting = threading.Event()

    def serve(target, sock):
        sock.sendall(HEAD + b"a part")
        waiting.wait(TIMEOUT_S)

    target = RawTarget(stack, serve)
    near, far = make_pair(stack, target.address)
    connection = near.connect(target.address)
    response = ask(connection)
    assert response.read1() == b"a part"
    far.mesh.post(far.mesh.listener.close)
    with pytest.raises(MayHaveRun):
        read_body(response)
    assert connection.is_broken
    waiting.set()


def test_a_call_that_is_aborted_leaves_the_target_at_once(stack):
    """Guards against work that goes on behind a gateway for a caller that left."""
    closed = threading.Event()

    def serve(target, sock):
        if not sock.recv(1):
            closed.set()

    target = RawTarget(stack, serve)
    near, far = make_pair(stack, target.address)
    connection = near.connect(target.address)
    connection.http.request("GET", "/x")
    wait_until(lambda: far.gateway.open_tunnels == 1, "the tunnel")
    connection.http.sock.shutdown(socket.SHUT_RDWR)
    assert closed.wait(TIMEOUT_S)
    wait_until(lambda: far.gateway.open_tunnels == 0, "the tunnel to end")


def test_a_tunnel_ends_with_the_time_of_its_call(stack):
    """Guards against work for a call whose own host is gone or frozen."""
    closed = threading.Event()

    def serve(target, sock):
        if not sock.recv(1):
            closed.set()

    target = RawTarget(stack, serve)
    near, _ = make_pair(stack, target.address)
    near.connect(target.address, left_s=0.3).http.request("GET", "/x")
    assert closed.wait(TIMEOUT_S)


def test_a_slow_reader_stops_the_target(stack):
    """Guards against an answer that piles up on the hosts for a slow caller."""

    def serve(target, sock):
        sock.settimeout(1.0)
        block = bytes(1 << 16)
        with contextlib.suppress(TimeoutError):
            while target.sent < UNREAD_BYTES:
                target.sent += sock.send(block)

    target = RawTarget(stack, serve)
    near, _ = make_pair(stack, target.address)
    connection = near.connect(target.address)
    connection.http.request("GET", "/x")
    wait_until(target.ended.is_set, "the target to stop")
    assert target.sent < UNREAD_BYTES


def test_a_caller_that_pauses_gets_its_whole_answer(stack):
    """Guards against taking a gateway for silent while its data waits to be read."""
    whole = bytes(PAUSED_BYTES)
    target = RawTarget(stack, lambda target, sock: sock.sendall(HEAD + whole))
    near, _ = make_pair(stack, target.address)
    response = ask(near.connect(target.address, LONG_LIFE_S))
    time.sleep(PAUSE_S)
    assert len(read_body(response)) == len(whole)


def test_a_reset_of_the_target_counts_against_the_target_not_the_tunnel(stack):
    """Guards against a request that crashes targets and is never held back.

    Losses are counted only if the way to the target is not to blame for them.
    """

    def serve(target, sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    target = RawTarget(stack, serve)
    near, _ = make_pair(stack, target.address)
    connection = near.connect(target.address)
    with pytest.raises(MayHaveRun):
        ask(connection)
    time.sleep(SETTLED_S)
    assert not connection.is_broken


def test_a_gateway_without_a_path_opens_no_tunnel_through_a_third_host(stack):
    """Guards against chains and loops of tunnels."""
    engine = start_target(stack)
    third = PathHost(stack, "third")
    far = PathHost(stack, "far", [third])
    near = PathHost(stack, "near", [far])
    for host in (near, far, third):
        host.know(engine.address)
    near.lose_path(engine.address)
    far.lose_path(engine.address)
    with pytest.raises(NotSent):
        near.connect(engine.address)
    near.connector.set_peers([far.as_peer(), third.as_peer()])
    near.connector.paths.lost[engine.address].next_round_at = 0.0
    assert near.connect(engine.address).gateway == "third"


def test_a_gateway_names_what_it_does_not_reach(stack):
    """Guards against asking a host that is cut off for one target after the other."""
    addresses = [start_target(stack).address for _ in range(2)]
    far = PathHost(stack, "far")
    near = PathHost(stack, "near", [far])
    for host in (near, far):
        host.know(*addresses)
        for address in addresses:
            host.lose_path(address)
    with pytest.raises(NotSent):
        near.connect(addresses[0])
    assert not near.connector.choose_gateways(addresses[1])


def refusal_of(host, gateway, address):
    request = TunnelRequest(address, TIMEOUT_S)
    with pytest.raises(TunnelRefused) as error:
        host.tunnels.open(gateway.as_peer(), request, TIMEOUT_S)
    return error.value.answer.outcome


def test_a_gateway_leads_to_known_targets_only(stack):
    """Guards against hosts as a way to any address that they reach."""
    near, far = make_pair(stack, start_target(stack).address)
    stranger = start_target(stack).address
    assert refusal_of(near, far, stranger) is TunnelOutcome.UNKNOWN_TARGET


def test_a_gateway_that_is_full_or_stops_opens_no_tunnel(stack, monkeypatch):
    """Guards against starving the gateway's own callers, and against cut calls."""
    engine = start_target(stack)
    near, far = make_pair(stack, engine.address)
    monkeypatch.setattr(gateway_module, "MAX_TUNNELS", 1)
    held = near.connect(engine.address)
    assert refusal_of(near, far, engine.address) is TunnelOutcome.FULL
    held.http.close()
    wait_until(lambda: far.gateway.open_tunnels == 0, "the tunnel to end")
    far.gateway.is_stopping = True
    assert refusal_of(near, far, engine.address) is TunnelOutcome.STOPPING


def test_a_full_gateway_does_not_delay_the_next_request_for_a_target(
    stack, monkeypatch
):
    """Guards against taking a gateway without room for a target without a path."""
    engine = start_target(stack)
    near, far = make_pair(stack, engine.address)
    monkeypatch.setattr(gateway_module, "MAX_TUNNELS", 0)
    with pytest.raises(NotSent):
        near.connect(engine.address)
    monkeypatch.undo()
    near.connector.gateways = Gateways()
    assert near.connect(engine.address).gateway == "far"


def test_only_hosts_of_the_fleet_get_a_tunnel(stack):
    """Guards against a tunnel for anyone who reaches the peers' listener."""
    engine = start_target(stack)
    near, _ = make_pair(stack, engine.address)
    near.mesh.secret = "another"
    with pytest.raises(NotSent):
        near.connect(engine.address)
    assert engine.standin.arrivals == []


def test_a_gateway_that_does_not_answer_is_not_asked_again_at_once(stack):
    """Guards against each call waiting for a gateway that is frozen."""
    engine = start_target(stack)
    near, far = make_pair(stack, engine.address)
    frozen = threading.Event()
    far.mesh.post(frozen.wait, TIMEOUT_S)
    with pytest.raises(NotSent):
        near.connect(engine.address)
    assert not near.connector.choose_gateways(engine.address)
    frozen.set()


def test_a_path_that_is_back_is_used_at_once(stack):
    """Guards against tunnels that stay in use though the direct path is back."""
    engine = start_target(stack)
    near, _ = make_pair(stack, engine.address)
    near.connector.paths.lost[engine.address].tried_at = float("-inf")
    wait_until(lambda: near.connect(engine.address).gateway == "", "the direct path")
    assert not near.connector.is_lost(engine.address)


def test_a_host_without_peers_waits_longer_for_its_only_path(stack):
    engine = start_target(stack)
    alone = PathHost(stack, "alone")
    alone.know(engine.address)
    alone.lose_path(engine.address)
    assert alone.connect(engine.address).gateway == ""


def test_a_target_that_nobody_reaches_is_asked_for_less_and_less(stack):
    """Guards against all hosts asking each other again and again for a dead target."""
    address = f"127.0.0.1:{free_ports(1)[0]}"
    near, far = make_pair(stack, address)
    asked = []
    refusal = far.gateway.refusal
    far.gateway.refusal = lambda request: asked.append(request) or refusal(request)
    for _ in range(5):
        near.connector.gateways = Gateways()
        with pytest.raises(NotSent):
            near.connect(address)
    assert len(asked) == 1
    assert near.connector.paths.lost[address].round_interval_s > 1.0


@pytest.mark.parametrize("timeouts", [ConnectTimeouts(), CONNECT_TIMEOUTS])
def test_a_gateway_may_say_that_it_has_no_path(timeouts):
    """Guards against taking a gateway that still tries its path for one that fails."""
    assert timeouts.tunnel_s > 2 * timeouts.before_tunnel_s
    assert timeouts.round_s >= timeouts.tunnel_s


def test_no_gateway_is_asked_after_the_time_of_a_round(stack):
    """Guards against a slot that is held while one gateway after the other fails."""
    engine = start_target(stack)
    near, _ = make_pair(stack, engine.address)
    asked = []

    def ask_slowly(gateway, request):
        asked.append(gateway)
        time.sleep(near.connector.timeouts.round_s + 0.1)

    near.connector.ask_gateway = ask_slowly
    near.connector.set_peers([Peer(HostId(f"h{n}"), "") for n in range(3)])
    with pytest.raises(NotSent):
        near.connect(engine.address)
    assert len(asked) == 1


def test_a_round_that_failed_says_whether_other_gateways_are_left(stack):
    """Guards against taking gateways that fail for a target that is not reached."""
    engine = start_target(stack)
    near, far = make_pair(stack, engine.address)
    asked = []

    def ask_slowly(gateway, request):
        asked.append(gateway.host)
        time.sleep(near.connector.timeouts.round_s + 0.1)
        near.connector.record_broken(gateway.host)

    ask, near.connector.ask_gateway = near.connector.ask_gateway, ask_slowly
    near.connector.set_peers([Peer(HostId("h1"), "")])
    with pytest.raises(NoConnection) as alone:
        near.connect(engine.address)
    assert alone.type is NoConnection
    near.connector.gateways = Gateways()
    near.connector.set_peers([Peer(HostId("h1"), ""), Peer(HostId("h2"), "")])
    with pytest.raises(UntriedGateways):
        near.connect(engine.address)
    near.connector.ask_gateway = ask
    near.connector.set_peers([Peer(HostId(asked[-1]), ""), far.as_peer()])
    assert near.connect(engine.address).gateway == "far"


def test_a_host_without_descriptors_reports_that_nothing_was_sent(stack, monkeypatch):
    """Guards against a call that fails as lost because its host had no descriptor."""
    engine = start_target(stack)
    near, _ = make_pair(stack, engine.address)
    near.connector.paths.lost[engine.address].tried_at = float("-inf")
    near.connector.open_tunnel = lambda address, left_s: None

    def fail(*args):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(socket, "socket", fail)
    with pytest.raises(NotSent):
        near.connect(engine.address)
    monkeypatch.undo()


def test_a_connection_through_another_host_is_logged(stack, caplog):
    """Guards against calls of the own interface whose way no line tells."""
    caplog.set_level(logging.INFO)
    engine = start_target(stack)
    near, _ = make_pair(stack, engine.address)
    near.connector.dial(engine.address, TIMEOUT_S).close()
    lines = [row for row in caplog.records if "leads through" in row.message]
    assert [(row.address, row.gateway) for row in lines] == [(engine.address, "far")]
