"""Answers to the opening of connections between hosts whose heads are no HTTP.

The library of these connections reads their heads by itself.
"""

import contextlib
import dataclasses
import threading

import pytest

from godwitladder.paths.messages import TunnelRequest
from godwitladder.paths.tunnels import TunnelFailed
from tests.engines.odd_heads import ODD_LINES, ODD_STATUS_LINES, TOKEN_BYTES
from tests.fleet import wait_until
from tests.paths.test_cut_tunnels import NO_CUT, CutWay
from tests.paths.test_tunnels import PathHost, make_pair, start_target

TIMEOUT_S = 5.0
HEAD_END = b"\r\n\r\n"
READ_BYTES = 65_536
SWITCHING = b"HTTP/1.1 101 Switching Protocols"
BROKEN_STATUS_LINES = [
    line.replace(b"200", b"101") for line in ODD_STATUS_LINES if b"200" in line
]
RARE_LINES = [
    b"X: \x80\xff",
    b"X: a\tb",
    b"X:",
    b"X: 1 \t",
    TOKEN_BYTES + b": 1",
]


class ChangingWay(CutWay):
    """Leads to a host, and changes the heads with which it answers.

    Attributes
    ----------
    status_line : bytes
        Status line in place of that of the host.
    line : bytes
        Line that is put after it; empty for none.
    """

    def __init__(self, stack, address):
        self.status_line, self.line = SWITCHING, b""
        super().__init__(stack, address)

    def pass_back(self, near, far):
        head = b""
        with contextlib.suppress(OSError):
            while HEAD_END not in head and (block := far.recv(READ_BYTES)):
                head += block
            _, _, rest = head.partition(b"\r\n")
            line = self.line + b"\r\n" if self.line else b""
            near.sendall(self.status_line + b"\r\n" + line + rest)
        self.copy(far, near, NO_CUT)


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


@pytest.fixture
def way(stack):
    """Return the way from a host to a gateway, and what opens a tunnel on it."""
    target = start_target(stack)
    near, far = make_pair(stack, target.address)
    way = ChangingWay(stack, far.mesh.address)
    gateway = dataclasses.replace(far.as_peer(), address=way.address)
    request = TunnelRequest(target.address, TIMEOUT_S)
    return way, lambda: near.tunnels.open(gateway, request, TIMEOUT_S)


def test_a_tunnel_with_a_broken_head_is_not_opened(way):
    """Guards against a connection to something that is no host."""
    way, open_tunnel = way
    for line in ODD_LINES:
        way.line = line
        with pytest.raises(TunnelFailed):
            pytest.fail(f"{line} was taken: {open_tunnel()}")
    way.line = b""
    for way.status_line in BROKEN_STATUS_LINES:
        with pytest.raises(TunnelFailed):
            pytest.fail(f"{way.status_line} was taken: {open_tunnel()}")


def test_a_tunnel_with_a_rare_head_is_opened(way):
    way, open_tunnel = way
    for way.line in (b"", *RARE_LINES):
        open_tunnel().close()


def test_hosts_link_once_the_heads_are_sound(stack):
    """Guards against a host that gives a peer up after an answer that is none."""
    near, far = PathHost(stack, "near"), PathHost(stack, "far")
    way = ChangingWay(stack, far.mesh.address)
    way.line = ODD_LINES[0]
    dialled = threading.Event()
    pass_back = way.pass_back

    def note(*ends):
        pass_back(*ends)
        dialled.set()

    way.pass_back = note
    near.mesh.set_dial_addresses({way.address})
    assert dialled.wait(TIMEOUT_S)
    assert near.mesh.current() == []
    way.line = b""
    wait_until(lambda: near.mesh.current(), "the link")
