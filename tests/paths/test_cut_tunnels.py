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
from tests.paths.test_tunnels import PathHost, ask, make_pair, read_body

BODY = b"the answer of a target"
STEP = 3
"""Every third place is tried, since each needs a tunnel of its own."""
WAY_BYTES = 1_200
"""More than a gateway sends for the opening of a tunnel, an answer and its end."""


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def read_answer(host, address):
    """Return the body of an answer; None if the host finds that it is not whole."""
    try:
        connection = host.connect(address)
        with contextlib.closing(connection.http):
            return read_body(ask(connection))
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
    """Passes bytes to a host, and a number of bytes back; then the connection ends."""

    def __init__(self, stack, address):
        self.address_behind = address
        self.left = 0
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
        with contextlib.suppress(OSError):
            while block := near.recv(65_536):
                far.sendall(block)
            far.shutdown(socket.SHUT_RDWR)

    def pass_back(self, near, far):
        left = self.left
        with contextlib.suppress(OSError), near, far:
            while left and (block := far.recv(min(left, 65_536))):
                near.sendall(block)
                left -= len(block)
            if self.resets:
                near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTING_LINGER)
            near.shutdown(socket.SHUT_RDWR)


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
    for size in [*range(0, WAY_BYTES, 7), 1 << 20]:
        way.left, way.resets = size, rng.random() < 0.5
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
