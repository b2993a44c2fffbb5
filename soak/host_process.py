"""Runs a host whose connections to some addresses lead through its own proxies.

All hosts of a fleet know the same addresses of the targets. With a proxy for each
host and target, the paths of one host can be cut while those of the others stay.
"""

import json
import os
import runpy
import socket
import sys
from collections.abc import Callable

MODULE = "godwitladder.platform"
"""Module that is run unless the first argument names another one."""
VARIABLE = "SOAK_PROXIES"
"""Environment variable with a JSON object of proxies by address, ``address:port``."""


def redirect(connect: Callable, proxies: dict[tuple, tuple]) -> Callable:
    """Return the method ``connect`` of sockets, leading through ``proxies``."""

    def connect_redirected(sock: socket.socket, address: tuple):
        return connect(sock, proxies.get(address, address))

    return connect_redirected


def parse_address(text: str) -> tuple[str, int]:
    """Return the socket address in ``address:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def main() -> None:
    """Run the host, with the arguments that follow the module's name."""
    rows = json.loads(os.environ.get(VARIABLE, "{}"))
    proxies = {parse_address(row): parse_address(rows[row]) for row in rows}
    socket.socket.connect = redirect(socket.socket.connect, proxies)
    socket.socket.connect_ex = redirect(socket.socket.connect_ex, proxies)
    module, *arguments = sys.argv[1:] or [MODULE]
    sys.argv[1:] = arguments
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
