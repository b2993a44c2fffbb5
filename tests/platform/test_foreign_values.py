"""Values of other writers and callers before real hosts: none of them ends one."""

import contextlib
import json
import socket

import pytest

from godwitladder.platform import names
from tests.fleet import wait_until
from tests.platform.test_adapter import ENTRY
from tests.platform.test_hosts import Fleet, make_config

HUGE = "9" * 400
UNREADABLE = b"\xed\xa0\x80"
LONG_PORT = f"127.0.0.1:{'9' * 5_000}"


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Fleet(stack, tmp_path)


def entry_bytes(**changes):
    return json.dumps(ENTRY | changes).encode()


def call_all(fleet, name, headers=None):
    """Call each host once, and return the statuses of the answers."""
    return [
        host.call("/charge/x", attempt=f"{name}-{number}", more_headers=headers)[0]
        for number, host in enumerate(fleet.hosts)
    ]


def all_live(fleet):
    return all(host.process.poll() is None for host in fleet.hosts)


def wait_until_read(fleet, version):
    """Wait until all hosts have read what is in the store, by a later version."""
    fleet.store.standin.put_config(make_config(version))
    wait_until(
        lambda: (
            not all_live(fleet)
            or all(host.status()["version"] == version for host in fleet.hosts)
        ),
        f"version {version}",
    )


@pytest.mark.parametrize(
    "value",
    [
        entry_bytes(service="SERVICE").replace(b"SERVICE", UNREADABLE),
        entry_bytes(service="\ud800"),
        entry_bytes(service="core", zone="\ud800"),
        entry_bytes(service="core", slots=10**400),
        entry_bytes(service="core", address=LONG_PORT),
    ],
    ids=["bytes", "surrogate", "zone", "slots", "port"],
)
def test_an_entry_of_another_writer_ends_no_host(fleet, value):
    """Guards against hosts that end, and end again, by one entry in the store."""
    fleet.store.standin.put(names.ENTRIES_TOPIC, "another", value)
    wait_until_read(fleet, 2)
    assert call_all(fleet, "after") == [200, 200]
    assert all_live(fleet)


@pytest.mark.parametrize("value", [f"{HUGE},8", f"8,{HUGE}", f"{'9' * 5_000},8"])
def test_token_counts_of_a_caller_end_no_host(fleet, value):
    """Guards against one header of one caller that ends the whole fleet."""
    odd = {names.TOKENS: value, names.PREFIX: f"a:{HUGE},b:{HUGE}"}
    assert set(call_all(fleet, "odd", odd)) <= {200, 429, 503}
    assert call_all(fleet, "after") == [200, 200]
    assert all_live(fleet)


def test_a_length_that_is_no_number_of_bytes_ends_no_host(fleet):
    """Guards against a length of thousands of digits that ends the listener."""
    for host in fleet.hosts:
        with socket.create_connection(("127.0.0.1", host.ports[0]), 5) as connection:
            head = f"POST /charge/x HTTP/1.1\r\nContent-Length: {'9' * 5_000}\r\n\r\n"
            connection.sendall(head.encode())
            with contextlib.suppress(ConnectionResetError):
                connection.recv(64)
    assert call_all(fleet, "after") == [200, 200]
    assert all_live(fleet)
