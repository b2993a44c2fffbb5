"""Tests of many links on one event loop: no peer may affect the links to others."""

import contextlib
import socket
import threading

import pytest

from godwitladder.clock import Clock
from godwitladder.membership.codec import encode
from godwitladder.membership.links import MAX_QUEUED_MESSAGES
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Heartbeat
from godwitladder.standins.ports import free_ports
from tests.fleet import SECRET, wait_until

RECONNECTING_HOSTS = 40


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def start_mesh(stack, name, seeds=(), address="", deliver=None):
    """Return a started mesh and a list of the hosts whose heartbeats it received."""
    received = []
    handler = deliver or (lambda link, message: received.append(message.host))
    address = address or f"127.0.0.1:{free_ports(1)[0]}"
    mesh = Mesh(name, address, SECRET, Clock(), handler, seeds)
    mesh.start()
    stack.callback(mesh.close)
    return mesh, received


def make_heartbeat(host):
    return Heartbeat(host, "a", "", 1, False, 0)


def linked(mesh, count):
    return lambda: len(mesh.current()) == count


def test_links_to_many_peers_share_one_thread(stack):
    hub, _ = start_mesh(stack, "hub")
    before = threading.active_count()
    peers = [start_mesh(stack, f"h{n}", [hub.address])[0] for n in range(10)]
    wait_until(linked(hub, 10), "all links")
    assert threading.active_count() == before + len(peers)


def test_a_peer_that_does_not_read_affects_no_other(stack):
    """A peer stops reading while its connection stays open.

    Its send queue grows up to a limit and then rejects messages. The next message
    to another peer arrives at once.
    """
    hub, _ = start_mesh(stack, "hub")
    gate = threading.Event()
    start_mesh(stack, "stuck", [hub.address], deliver=lambda *_: gate.wait(60))
    stack.callback(gate.set)
    _, received = start_mesh(stack, "good", [hub.address])
    wait_until(linked(hub, 2), "both links")
    large = encode(Heartbeat("hub", "a" * 50_000, "", 1, False, 0))
    (stuck,) = [link for link in hub.current() if link.peer == "stuck"]
    accepted = [stuck.send(large) for _ in range(3 * MAX_QUEUED_MESSAGES)]
    assert not all(accepted)
    assert len(stuck.outgoing) <= MAX_QUEUED_MESSAGES
    assert hub.send("good", make_heartbeat("hub"))
    wait_until(lambda: received == ["hub"], "the message to the other peer")


def test_invalid_bytes_close_only_their_own_link(stack):
    """A client of another protocol, or a faulty peer, connects and sends garbage."""
    hub, _ = start_mesh(stack, "hub")
    _, received = start_mesh(stack, "good", [hub.address])
    wait_until(linked(hub, 1), "the good link")
    host, _, port = hub.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as client:
        client.sendall(b"\x00\xff" * 100)
        while client.recv(4096):
            pass
    assert hub.send("good", make_heartbeat("hub"))
    wait_until(lambda: received == ["hub"], "the message")


@pytest.mark.parametrize("failing", ["hub", "near"])
def test_an_exception_in_a_message_handler_closes_only_its_link(stack, failing):
    """The message handler raises an unexpected exception.

    The link closes, the error is logged, and the event loop continues. The end
    that dialled makes a new link, even if the exception was its own.
    """

    def fail(link, message):
        raise ValueError("a fault")

    handlers = {failing: fail}
    hub, _ = start_mesh(stack, "hub", deliver=handlers.get("hub"))
    near, _ = start_mesh(stack, "near", [hub.address], deliver=handlers.get("near"))
    wait_until(lambda: hub.current() and near.current(), "the first link")
    (first,) = near.current()
    if failing == "hub":
        near.send("hub", make_heartbeat("near"))
    else:
        hub.send("near", make_heartbeat("hub"))
    wait_until(lambda: near.current() not in ([], [first]), "a new link")


def test_many_hosts_reconnect_at_once(stack):
    """All hosts have lost their hub and dial its successor at the same address.

    They connect at the same moment. Each of them soon has a link, and the hub
    still uses one thread for all links.
    """
    address = f"127.0.0.1:{free_ports(1)[0]}"
    with contextlib.ExitStack() as first:
        hub, _ = start_mesh(first, "hub", address=address)
        meshes = [
            start_mesh(stack, f"h{n}", [address])[0] for n in range(RECONNECTING_HOSTS)
        ]
        wait_until(linked(hub, RECONNECTING_HOSTS), "the first links")
    wait_until(lambda: not any(mesh.current() for mesh in meshes), "the loss")
    before = threading.active_count()
    hub, _ = start_mesh(stack, "hub", address=address)
    wait_until(linked(hub, RECONNECTING_HOSTS), "the links to the new hub")
    assert threading.active_count() == before + 1


def test_start_raises_if_the_address_is_in_use(stack):
    mesh, _ = start_mesh(stack, "h1")
    other = Mesh("h2", mesh.address, SECRET, Clock(), lambda *_: None)
    with pytest.raises(OSError, match="in use"):
        other.start()


def test_dialled_links_to_other_addresses_are_closed(stack):
    """A host closes only links that it dialled; the peers decide about the others."""
    near, _ = start_mesh(stack, "near")
    far, _ = start_mesh(stack, "far")
    kept, _ = start_mesh(stack, "kept")
    near.set_dial_addresses({far.address, kept.address})
    start_mesh(stack, "caller", [near.address])
    wait_until(linked(near, 3), "three links")
    near.set_dial_addresses({kept.address})
    near.close_dialled_except({kept.address})
    wait_until(lambda: sorted(near.links) == ["caller", "kept"], "the end of one")
