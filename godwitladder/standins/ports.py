"""Ports for hosts that tests and the demonstration start on this machine."""

import random
import socket

LOWEST_PORT = 10_000
LOWEST_OUTGOING_PORT = 32_000
ISSUED: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return ports that are free and stay so until a host listens on them.

    They are below the range from which the kernel takes ports for outgoing
    connections: one of those, taken while a host was starting, kept the host
    from listening now and then.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.randrange(LOWEST_PORT, LOWEST_OUTGOING_PORT)
        if port not in ISSUED and is_free(port):
            ISSUED.add(port)
            ports.append(port)
    return ports


def is_free(port: int) -> bool:
    """Return whether nothing listens on ``port``."""
    with socket.socket() as candidate:
        candidate.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            candidate.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
