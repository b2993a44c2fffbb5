"""Ports for hosts that tests and the demonstration start on this machine."""

import random
import socket

LOWEST_PORT = 10_000
LOWEST_OUTGOING_PORT = 32_000
GUARD_ADDRESS = "127.0.0.2"
GUARDS: list[socket.socket] = []


def free_ports(count: int) -> list[int]:
    """Return ports that are free and stay so until a host listens on them.

    They are below the range from which the kernel takes ports for outgoing
    connections: one of those, taken while a host was starting, kept the host
    from listening now and then.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(LOWEST_PORT, LOWEST_OUTGOING_PORT)
        if reserve(port) and is_free(port):
            ports.append(port)
    return ports


def reserve(port: int) -> bool:
    """Keep ``port`` from being given out again; return whether that worked.

    The port is held at another loopback address for the life of the process.
    Two test runs at the same time would otherwise pick the same port before
    either's host listens, and one host would end at its start.
    """
    guard = socket.socket()
    try:
        guard.bind((GUARD_ADDRESS, port))
    except OSError:
        guard.close()
        return False
    GUARDS.append(guard)
    return True


def is_free(port: int) -> bool:
    """Return whether nothing listens on ``port``."""
    with socket.socket() as candidate:
        candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            candidate.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
