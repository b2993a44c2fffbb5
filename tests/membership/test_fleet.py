"""Tests of which peers a host links to: fleets, and hosts of an earlier version."""

import contextlib
import time
from dataclasses import replace

import pytest

from godwitladder.clock import Clock
from godwitladder.fleets import are_apart
from godwitladder.membership import codec, links
from godwitladder.membership.fleet import Admission, FleetNamed, Refusal
from godwitladder.membership.links import HandshakeFailed
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Hello
from godwitladder.standins.ports import free_ports
from tests.fleet import SECRET, wait_until

SETTLED_S = 1.5
"""Longer than the interval between dials."""


@pytest.fixture
def stack():
    with contextlib.ExitStack() as owned:
        yield owned


def make_mesh(stack, host, fleet, seeds=(), address=None):
    address = address or f"127.0.0.1:{free_ports(1)[0]}"
    mesh = Mesh(host, address, SECRET, Clock(), lambda link, message: None, seeds)
    mesh.deliver = mesh.receive_fleet
    mesh.refusals = []
    mesh.admission.on_refusal = mesh.refusals.append
    mesh.admission.fleet = fleet
    mesh.start()
    stack.callback(mesh.close)
    return mesh


def peers(mesh):
    return {link.peer for link in mesh.current()}


@pytest.mark.parametrize(("one", "other"), [("x", "x"), ("", "x"), ("x", ""), ("", "")])
def test_hosts_of_one_fleet_or_of_an_unknown_one_are_linked(stack, one, other):
    """Guards against a check that shuts out a host that has not read the store."""
    far = make_mesh(stack, "h1", one)
    near = make_mesh(stack, "h2", other, [far.address])
    wait_until(lambda: peers(far) == {"h2"} and peers(near) == {"h1"}, "a link")
    assert not far.refusals


def test_a_host_of_another_fleet_is_refused_by_either_end(stack):
    """Guards against a link to a host that has the same secret."""
    far = make_mesh(stack, "h1", "x")
    near = make_mesh(stack, "h2", "y", [far.address])
    wait_until(lambda: far.refusals and near.refusals, "a refusal")
    time.sleep(SETTLED_S)
    assert not far.current() and not near.current()
    assert {*far.refusals, *near.refusals} == {Refusal.OTHER_FLEET}


def test_no_tunnel_leads_through_a_host_of_another_fleet(stack):
    """Guards against calls that reach the targets of another fleet."""
    far = make_mesh(stack, "h1", "x")
    near = make_mesh(stack, "h2", "y")
    far.serve_tunnel = lambda connection, host: connection.wait_closed()
    links.asyncio.run_coroutine_threadsafe(
        refuse_tunnel(near, far.address), near.loop
    ).result(5.0)


async def refuse_tunnel(mesh, address):
    with pytest.raises(HandshakeFailed):
        await mesh.open_tunnel_connection(address)


@pytest.mark.parametrize("named", [True, False])
def test_hosts_that_learn_to_be_of_other_fleets_part(stack, named):
    """Guards against a link that was made before the fleets were known."""
    far = make_mesh(stack, "h1", "x" if named else "")
    near = make_mesh(stack, "h2", "", [far.address])
    wait_until(lambda: peers(far) == {"h2"}, "a link")
    far.enter_fleet("x")
    near.enter_fleet("y")
    wait_until(lambda: far.refusals or near.refusals, "a refusal")
    time.sleep(SETTLED_S)
    assert not far.current() and not near.current()


def test_hosts_that_learn_to_be_of_one_fleet_keep_their_link(stack):
    """Guards against a fleet that falls apart while its hosts read the store."""
    far = make_mesh(stack, "h1", "")
    near = make_mesh(stack, "h2", "", [far.address])
    wait_until(lambda: peers(far) == {"h2"} and peers(near) == {"h1"}, "a link")
    before = near.current()[0]
    far.enter_fleet("x")
    near.enter_fleet("x")
    wait_until(lambda: far.current()[0].fleet == "x", "the name")
    assert near.current()[0] is before
    assert not far.refusals


def greet_as_former_version(monkeypatch, host):
    """Have the greeting of a host lack what its version does not know."""

    def encode(message):
        if isinstance(message, Hello) and message.host == host:
            message = replace(message, fleet=None)
        return codec.encode(message)

    monkeypatch.setattr(links, "encode", encode)


@pytest.mark.parametrize("is_named", [True, False])
def test_a_host_of_an_earlier_version_is_let_in_where_it_is_expected(
    stack, monkeypatch, is_named
):
    """Guards against an update that splits a fleet, and against any former host."""
    former_address = f"127.0.0.1:{free_ports(1)[0]}"
    greet_as_former_version(monkeypatch, "former")
    new = make_mesh(stack, "new", "x")
    if is_named:
        new.known_addresses = frozenset((former_address,))
    former = make_mesh(stack, "former", "", [new.address], former_address)
    if is_named:
        wait_until(lambda: peers(new) == {"former"}, "a link")
        assert new.current()[0].fleet is None
        return
    wait_until(lambda: Refusal.UNEXPECTED in new.refusals, "a refusal")
    time.sleep(SETTLED_S)
    assert not new.current() and not former.current()


def test_a_host_dials_one_of_an_earlier_version_that_its_settings_name(
    stack, monkeypatch
):
    """Guards against an updated host that stays alone among former ones."""
    greet_as_former_version(monkeypatch, "former")
    former = make_mesh(stack, "former", "")
    new = make_mesh(stack, "new", "x", [former.address])
    wait_until(lambda: peers(new) == {"former"} and peers(former) == {"new"}, "a link")


def test_refusals_of_one_address_are_logged_now_and_then(caplog):
    """Guards against a stranger that dials each second and fills the log."""
    admission = Admission(lambda address: False)
    admission.fleet = "x"
    hello = Hello("h9" * 10_000, "127.0.0.1:9" * 10_000, b"", "y")
    with caplog.at_level("WARNING"):
        for _ in range(100):
            admission.record_refusal(hello, Refusal.OTHER_FLEET)
    assert len(caplog.records) == 7
    for number in range(1_000):
        hello = Hello("h9", f"127.0.0.1:{number}", b"", "y")
        admission.record_refusal(hello, Refusal.OTHER_FLEET)
    assert len(admission.refused) <= 256
    assert max(map(len, admission.refused)) <= 64
    assert max(len(str(vars(row))) for row in caplog.records) < 2_000


@pytest.mark.parametrize(
    "make", [FleetNamed, lambda fleet: Hello("h", "a", b"", fleet)]
)
def test_an_identity_has_a_bounded_length(make):
    """Guards against a name that each greeting of the fleet would repeat."""
    data = codec.encode(make("y" * 64))
    assert codec.decode(data).fleet == "y" * 64
    with pytest.raises(ValueError, match="an identity"):
        make("y" * 65)


def test_only_two_names_that_differ_tell_fleets_apart():
    assert are_apart("x", "y")
    assert not any(are_apart(*row) for row in [("x", "x"), ("", "y"), ("x", None)])
