"""Tests of links between hosts over TLS."""

import contextlib

import trustme

from godwitladder.clock import Clock
from godwitladder.membership.mesh import Mesh
from godwitladder.membership.messages import Heartbeat
from godwitladder.settings import TlsSettings
from godwitladder.standins.ports import free_ports
from tests.fleet import wait_until


def make_tls(folder, authority, name: str) -> TlsSettings:
    """Write a host's certificate and return its TLS settings."""
    issued = authority.issue_cert("127.0.0.1")
    path, root = folder / f"{name}.pem", folder / f"{name}-root.pem"
    issued.private_key_and_cert_chain_pem.write_to_path(path)
    authority.cert_pem.write_to_path(root)
    return TlsSettings(str(path), str(path), str(root))


class CountingClock(Clock):
    """Counts the sleeps between dials."""

    def __init__(self) -> None:
        self.pauses = 0

    async def async_sleep(self, seconds):
        self.pauses += 1
        await super().async_sleep(seconds)


def make_mesh(stack, name: str, port: int, tls, seeds: list, received: list) -> Mesh:
    mesh = Mesh(
        name,
        f"127.0.0.1:{port}",
        "secret",
        CountingClock(),
        lambda link, message: received.append((name, message.host)),
        [f"127.0.0.1:{seed}" for seed in seeds],
        tls=tls,
    )
    mesh.start()
    stack.callback(mesh.close)
    return mesh


def test_only_peers_with_a_certificate_of_the_authority_get_a_link(tmp_path):
    """A process with the secret but without a trusted certificate gets no link.

    Two hosts with certificates of one authority exchange messages. A third host
    has the secret and a certificate of another authority. Its TLS handshake fails
    before that of the link, and dialling again does not help.
    """
    ours, other = trustme.CA(), trustme.CA()
    ports = sorted(free_ports(3))
    received: list = []
    with contextlib.ExitStack() as stack:
        tls = {
            name: make_tls(tmp_path, authority, name)
            for name, authority in (
                ("outsider", other),
                ("first", ours),
                ("second", ours),
            )
        }
        second = make_mesh(stack, "second", ports[2], tls["second"], [], received)
        first = make_mesh(stack, "first", ports[1], tls["first"], ports[2:], received)
        outsider = make_mesh(
            stack, "outsider", ports[0], tls["outsider"], ports[1:], received
        )
        wait_until(lambda: first.current() and second.current(), "a link")
        for mesh in (first, second):
            heartbeat = Heartbeat(mesh.host, "a", mesh.address, 1, False, 0)
            mesh.broadcast(heartbeat)
        wait_until(lambda: len(received) >= 2, "both heartbeats")
        assert sorted(received) == [("first", "second"), ("second", "first")]
        wait_until(lambda: outsider.clock.pauses > 2, "both dials to fail")
        assert not outsider.current()
