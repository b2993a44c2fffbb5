"""Ports for the hosts that tests and the demonstration start locally."""

import random
import socket

MIN_PORT = 10_000
EPHEMERAL_PORTS_START = 32_000
RESERVATION_ADDRESS = "127.0.0.2"
RESERVATIONS: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Return ``count`` ports that stay free until a host listens on them.

    The ports are below the ephemeral range. The kernel may assign a port of that
    range to an outgoing connection while a host is starting, so that the host
    cannot listen on it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(MIN_PORT, EPHEMERAL_PORTS_START)
        if reserve(port) and is_free(port):
            ports.append(port)
    return ports


def reserve(port: int) -> bool:
    """Reserve ``port`` across processes; return whether it was available.

    A socket stays bound to the port on another loopback address until the
    process exits. Otherwise two concurrent test runs could choose the same port
    before either host listens on it, and one of the hosts would fail to start.
    """
    reservation = socket.socket()
    try:
        reservation.bind((RESERVATION_ADDRESS, port))
    except OSError:
        reservation.close()
        return False
    RESERVATIONS.append(reservation)
    return True


def is_free(port: int) -> bool:
    """Return whether ``port`` can be bound on 127.0.0.1."""
    with socket.socket() as candidate:
        candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            candidate.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
