"""Entry hosts beside a record of the log whose fields have other types."""

import time

import cbor2
import pytest

from godwitladder.clients.log import CLAIM_STREAM, CONFIG_STREAM, LogClient

WATCH_S = 4.0
ODD = {
    "release with a list as its key": [2, [1], b"n"],
    "claim with a list as its key": [1, [1], b"n", "h", 1, b"b", 0.0],
    "claim with a text as its time": [1, b"k", b"n", "h", 1, b"b", "x"],
    "snapshot with a text as its time": [3, [b"k", b"n", "h", 1, b"b", 0.0], 0, "x"],
    "crash with a list as its target": [4, [1], [1], [1], [1], [1], [1], [1]],
    "cleared with lists": [5, [1], [1], [1], [1]],
}


@pytest.mark.parametrize("name", ODD)
def test_an_odd_record_of_claims_ends_no_entry_host(fleet, name):
    """Guards against one record that ends all hosts, and again after each restart."""
    hosts = [fleet.add_host("host-a1", "a"), fleet.add_host("host-b1", "b")]
    fleet.wait_ready()
    log = LogClient(f"http://{fleet.platform.address}", "a")
    log.append(CLAIM_STREAM, [cbor2.dumps(ODD[name])])
    time.sleep(WATCH_S)
    assert [host.process.poll() for host in hosts] == [None, None]
    assert all(fleet.ready(host) for host in hosts)


DIGITS = "f" * 5_000
HEAD = "number = 1\noperator = 'o'\nreason = 'r'\n"
TICKETS = {
    "a hexadecimal number": f"number = 0x{DIGITS}\noperator = 'o'\nreason = 'r'\n",
    "a hexadecimal removal": f"{HEAD}remove = 0x{DIGITS}\n",
}


@pytest.mark.parametrize("name", TICKETS)
def test_a_ticket_with_a_long_number_ends_no_entry_host(fleet, name):
    """Guards against an integer that TOML reads and nothing can write as digits."""
    hosts = [fleet.add_host("host-a1", "a"), fleet.add_host("host-b1", "b")]
    fleet.wait_ready()
    log = LogClient(f"http://{fleet.platform.address}", "a")
    log.append(CONFIG_STREAM, [TICKETS[name].encode()])
    time.sleep(WATCH_S)
    assert [host.process.poll() for host in hosts] == [None, None]
