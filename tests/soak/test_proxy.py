"""The proxy does to connections what it is told."""

import contextlib
import socket
import threading

import pytest

from soak.proxy import Proxy, Way
from tests.fleet import wait_until


@pytest.fixture
def pair():
    """Return a proxy before an echo, and a way to connect through it."""
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


def test_bytes_pass_both_ways(pair):
    _, connect = pair
    client = connect()
    client.sendall(b"one")
    assert client.recv(100) == b"one"


def test_a_held_direction_passes_its_bytes_once_it_is_healed(pair):
    proxy, connect = pair
    client = connect()
    proxy.held.add(Way.FROM)
    client.sendall(b"one")
    client.settimeout(0.2)
    with pytest.raises(TimeoutError):
        client.recv(100)
    proxy.heal()
    client.settimeout(10)
    assert client.recv(100) == b"one"


def test_silenced_connections_carry_nothing_while_new_ones_work(pair):
    proxy, connect = pair
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


def test_a_reset_breaks_open_connections(pair):
    proxy, connect = pair
    client = connect()
    wait_until(lambda: proxy.connections, "the connection")
    proxy.reset()
    with pytest.raises(ConnectionResetError):
        client.recv(100)


def test_a_refusing_proxy_resets_new_connections(pair):
    proxy, connect = pair
    proxy.refusing = True
    with pytest.raises(OSError, match="reset"):
        connect().recv(100)
