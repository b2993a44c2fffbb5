"""Entry hosts that meet hosts of another fleet, or whose log is another one."""

import time
from collections import defaultdict

from godwitladder.standins.platform import Stream
from tests.fleet import make_fleet, wait_until

OBSERVED_S = 4.0
"""Twice the lag after which a host requests the state of a peer that is ahead."""
TICKETS = 6


def offsets(hosts, fleet):
    return [fleet.operator_get(host, "/v1/status")["config_offset"] for host in hosts]


def peers(hosts, fleet):
    rows = [fleet.operator_get(host, "/v1/status")["peers"] for host in hosts]
    return [set(row) for row in rows]


def configure(fleet, count, engine):
    """Submit tickets, each of which renames the reason only."""
    fleet.add_engine(engine)
    for number in range(1, count + 1):
        fleet.configure(fleet.ticket(number))


def test_entry_hosts_take_no_state_of_another_fleet(fleet, tmp_path):
    """Guards against the tickets of another fleet, whose hosts have the same secret."""
    ours = [fleet.add_host("h1", "a"), fleet.add_host("h2", "a")]
    fleet.wait_ready()
    configure(fleet, 1, "ours")
    before = offsets(ours, fleet)
    (tmp_path / "other").mkdir()
    theirs = make_fleet(tmp_path / "other", fleet.stack)
    theirs.add_host("h8", "a")
    theirs.wait_ready()
    configure(theirs, TICKETS, "theirs")
    theirs.hosts.append(ours[0])
    stranger = theirs.add_host("h9", "a")
    wait_until(lambda: theirs.ready(stranger), "the stranger")
    until = time.monotonic() + OBSERVED_S
    while time.monotonic() < until:
        assert offsets(ours, fleet) == before
        time.sleep(0.1)
    assert [set(fleet.operator_get(h, "/v1/status")["targets"]) for h in ours] == [
        {"ours"}
    ] * 2
    assert peers(ours, fleet) == [{"h2"}, {"h1"}]


def test_entry_hosts_follow_a_log_that_is_another_one(fleet):
    """Guards against hosts that keep the tickets of a former log for good."""
    former = fleet.add_host("h1", "a")
    fleet.wait_ready()
    configure(fleet, TICKETS, "former")
    fleet.platform.standin.streams = defaultdict(Stream)
    fleet.engines.clear()
    fleet.add_engine("new")
    fleet.add_host("h2", "a")
    fleet.add_host("h3", "a")
    fleet.wait_ready()
    answer = fleet.submit(fleet.ticket(), fleet.hosts[1])
    assert answer.status == 202
    for host in fleet.hosts:
        wait_until(
            lambda host=host: set(
                fleet.operator_get(host, "/v1/status")["targets"]
            ) == {"new"},
            f"{host.name} to follow the new log",
        )  # fmt: skip
    time.sleep(OBSERVED_S)
    assert offsets(fleet.hosts, fleet) == [1] * 3
    wait_until(lambda: fleet.ready(former), "the former host")
    wait_until(lambda: peers([former], fleet) == [{"h2", "h3"}], "links")
