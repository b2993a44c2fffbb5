"""Answers through a gateway, cut by the target or between the hosts."""

import contextlib
import random
import socket
import threading

import pytest
import urllib3

from godwitladder.engines.wire import MayHaveRun, NotSent
from godwitladder.ids import HostId, Zone
from godwitladder.membership.messages import Peer
from tests.engines.cut_target import (
    ABORTING_LINGER,
    Cut,
    CutTarget,
    Framing,
    draw_cuts,
    first_whole_size,
    make_answer,
)
from tests.fleet import wait_until
from tests.paths.test_tunnels import PathHost, ask, make_pair, read_body

BODY = b"the answer of a target"
STEP = 3
"""Every third place is tried, since each needs a tunnel of its own."""
NO_CUT = 1 << 30
MAX_UNSURE = 3
"""Calls that were cut after their last byte and before their answer."""
WAY_BYTES = 1_200
"""More than a gateway sends for the opening of a tunnel, an answer and its end."""


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def read_answer(host, address, sent=None):
    """Return the body of an answer; None if the host finds that it is not whole."""
    try:
        connection = host.connect(address)
        with contextlib.closing(connection.http):
            return read_body(ask(connection, "POST", sent))
    except (NotSent, MayHaveRun, urllib3.exceptions.HTTPError):
        return None


@pytest.mark.parametrize("framing", Framing)
def test_an_answer_that_a_target_cuts_behind_a_gateway_is_not_whole(stack, framing):
    """Guards against an end that looks in order behind a tunnel only."""
    answer = make_answer(framing, BODY)
    head_size = answer.index(b"\r\n\r\n") + 4
    whole_size = first_whole_size(framing, answer)
    for cut in draw_cuts(answer, seed=str(framing))[::STEP]:
        with CutTarget(answer, cut) as target, contextlib.ExitStack() as hosts:
            near, _ = make_pair(hosts, target.address)
            body = read_answer(near, target.address)
            assert target.requests, cut
        if body is None:
            continue
        may_end = framing is Framing.CLOSE and not cut.resets and cut.size >= head_size
        assert may_end or cut.size >= whole_size, (cut, body)
        assert body == (answer[head_size : cut.size] if may_end else BODY)


class CutWay:
    """Passes a number of bytes to a host, or back; then the connection ends."""

    def __init__(self, stack, address):
        self.address_behind = address
        self.left_on = self.left_back = NO_CUT
        self.resets = False
        self.server = socket.create_server(("127.0.0.1", 0))
        stack.callback(self.server.close)
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        with contextlib.suppress(OSError):
            while True:
                near, _ = self.server.accept()
                host, _, port = self.address_behind.rpartition(":")
                far = socket.create_connection((host, int(port)))
                args = (near, far)
                threading.Thread(target=self.pass_on, args=args, daemon=True).start()
                threading.Thread(target=self.pass_back, args=args, daemon=True).start()

    def pass_on(self, near, far):
        self.copy(near, far, self.left_on)

    def pass_back(self, near, far):
        self.copy(far, near, self.left_back)

    def copy(self, source, sink, left):
        with contextlib.suppress(OSError), sink, source:
            while left and (block := source.recv(min(left, 65_536))):
                sink.sendall(block)
                left -= len(block)
            if self.resets:
                sink.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTING_LINGER)
            for sock in (sink, source):
                sock.shutdown(socket.SHUT_RDWR)


def test_an_answer_is_not_whole_where_the_way_to_the_gateway_is_cut(stack):
    """Guards against a cut opening, message or end of a tunnel that passes for one."""
    rng = random.Random(1)
    answer = make_answer(Framing.CLOSE, BODY)
    whole = Cut(len(answer), resets=False, in_parts=True)
    target = stack.enter_context(CutTarget(answer, whole))
    far = PathHost(stack, "far")
    far.know(target.address)
    way = CutWay(stack, far.mesh.address)
    bodies = []
    for size in [*range(0, WAY_BYTES, 7), NO_CUT]:
        way.left_back, way.resets = size, rng.random() < 0.5
        with contextlib.ExitStack() as hosts:
            near = PathHost(hosts, "near")
            near.connector.set_peers([Peer(HostId("far"), way.address, Zone("a"))])
            near.know(target.address)
            near.lose_path(target.address)
            bodies.append(read_answer(near, target.address))
    assert set(bodies) == {None, BODY}
    first_whole = bodies.index(BODY)
    assert first_whole > 0
    assert target.requests > len(bodies) - first_whole


def test_a_call_of_which_a_part_reached_the_gateway_is_forgotten(stack):
    """Guards against a part of a call that runs, and a tunnel that stays open."""
    rng = random.Random(2)
    answer = make_answer(Framing.LENGTH, BODY)
    target = stack.enter_context(CutTarget(answer, None, sound=1_000))
    far = PathHost(stack, "far")
    far.know(target.address)
    way = CutWay(stack, far.mesh.address)
    bodies = []
    for size in [*range(0, WAY_BYTES, 11), NO_CUT]:
        way.left_on, way.resets = size, rng.random() < 0.5
        with contextlib.ExitStack() as hosts:
            near = PathHost(hosts, "near")
            near.connector.set_peers([Peer(HostId("far"), way.address, Zone("a"))])
            near.know(target.address)
            near.lose_path(target.address)
            bodies.append(read_answer(near, target.address, bytes(range(100))))
    wait_until(lambda: far.gateway.open_tunnels == 0, "the ends of all tunnels")
    assert set(bodies) == {None, BODY}
    # A call of which all but the answer has passed may have run.
    first_whole = bodies.index(BODY)
    assert first_whole > 0
    assert all(body == BODY for body in bodies[first_whole + MAX_UNSURE :])
    assert len(bodies) - first_whole <= target.requests
    assert target.requests <= len(bodies) - first_whole + MAX_UNSURE
