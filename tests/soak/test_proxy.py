"""Tests of the faults of the proxy."""

import contextlib
import socket
import threading

import pytest

from soak.proxy import Direction, Proxy
from tests.fleet import wait_until


@pytest.fixture
def echo_proxy():
    """Return a proxy to an echo server, and a function that connects through it."""
    with contextlib.ExitStack() as stack:
        server = socket.create_server(("127.0.0.1", 0))
        stack.callback(server.close)
        threading.Thread(target=echo, args=(server,), daemon=True).start()
        proxy = Proxy(f"127.0.0.1:{server.getsockname()[1]}")
        stack.callback(proxy.close)
        host, _, port = proxy.address.rpartition(":")

        def connect():
            client = socket.create_connection((host, int(port)), timeout=10)
            return stack.enter_context(contextlib.closing(client))

        yield proxy, connect


def echo(server):
    with contextlib.suppress(OSError):
        while True:
            client, _ = server.accept()
            threading.Thread(target=send_back, args=(client,), daemon=True).start()


def send_back(client):
    with contextlib.suppress(OSError):
        while data := client.recv(100):
            client.sendall(data)


def test_bytes_pass_both_ways(echo_proxy):
    _, connect = echo_proxy
    client = connect()
    client.sendall(b"one")
    assert client.recv(100) == b"one"


def test_a_held_direction_passes_its_bytes_once_it_is_healed(echo_proxy):
    proxy, connect = echo_proxy
    client = connect()
    proxy.held.add(Direction.FROM_UPSTREAM)
    client.sendall(b"one")
    client.settimeout(0.2)
    with pytest.raises(TimeoutError):
        client.recv(100)
    proxy.heal()
    client.settimeout(10)
    assert client.recv(100) == b"one"


def test_blackholed_connections_carry_nothing_while_new_ones_work(echo_proxy):
    proxy, connect = echo_proxy
    client = connect()
    client.sendall(b"one")
    assert client.recv(100) == b"one"
    proxy.blackhole()
    client.sendall(b"two")
    client.settimeout(0.2)
    with pytest.raises(TimeoutError):
        client.recv(100)
    other = connect()
    other.sendall(b"three")
    assert other.recv(100) == b"three"


def test_a_reset_breaks_open_connections(echo_proxy):
    proxy, connect = echo_proxy
    client = connect()
    wait_until(lambda: proxy.connections, "the connection")
    proxy.reset()
    with pytest.raises(ConnectionResetError):
        client.recv(100)


def test_a_refusing_proxy_resets_new_connections(echo_proxy):
    proxy, connect = echo_proxy
    proxy.refusing = True
    with pytest.raises(OSError, match="reset"):
        connect().recv(100)


def test_a_proxy_whose_port_is_held_for_a_while_is_restored(echo_proxy):
    """Guards against a fault of the rig that never ends and passes for one of hosts."""
    proxy, connect = echo_proxy
    proxy.stop_listening()
    holder = socket.create_server(("127.0.0.1", proxy.port))
    threading.Timer(0.3, holder.close).start()
    proxy.restore()
    client = connect()
    client.sendall(b"one")
    assert client.recv(100) == b"one"
