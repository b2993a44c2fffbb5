"""End-to-end tests with entry hosts in processes of their own."""

import json

from tests.fleet import Fleet, wait_until


def start_small_fleet(fleet: Fleet) -> None:
    fleet.add_engine("engine-a1", decode_tps=400)
    fleet.add_service("app-a1")
    fleet.add_host("host-a1", "a")
    fleet.add_host("host-a2", "a")
    fleet.add_host("host-b1", "b")
    fleet.wait_ready()
    fleet.configure()


def test_requests_are_served_end_to_end(fleet):
    start_small_fleet(fleet)

    completion = fleet.chat(fleet.hosts[0], "Which size fits?")
    assert completion.status == 200, completion.data
    answer = json.loads(completion.data)
    assert answer["choices"][0]["finish_reason"] == "stop"
    assert len(answer["choices"][0]["message"]["content"].split()) == 10

    streamed = fleet.chat(fleet.hosts[1], "A long letter", stream=True)
    assert streamed.status == 200
    assert streamed.data.rstrip().endswith(b"data: [DONE]")
    request_id = streamed.headers["Request-Id"]

    again = fleet.http.request(
        "GET",
        f"http://{fleet.hosts[2].callers}/v1/requests/{request_id}",
        headers={"Authorization": "Bearer adviser-key"},
    )
    keep_alive = b": waiting\n\n"
    assert again.data.replace(keep_alive, b"") == streamed.data.replace(keep_alive, b"")

    plain = fleet.call(fleet.hosts[2], "lookup", b"order 7")
    assert plain.status == 200
    assert json.loads(plain.data)["ran"] == 1
    assert [row["runs"] for row in fleet.run_records(fleet.engines["engine-a1"])] == [
        1,
        1,
    ]


def test_hosts_find_each_other(fleet):
    """Each host gets a link to every other host of its zone.

    Guards against hosts that don't find each other: each would allocate all slots
    of the targets, which callers would only notice once the targets are overloaded.
    """
    for name in ("host-a1", "host-a2", "host-a3"):
        fleet.add_host(name, "a")
    fleet.wait_ready()
    for host in fleet.hosts:
        wait_until(lambda host=host: peer_links(fleet, host) == 2, "two links")


def peer_links(fleet: Fleet, host) -> int:
    answer = fleet.http.request("GET", f"http://{host.operators}/metrics")
    rows = [row.split() for row in answer.data.decode().splitlines()]
    return next((int(row[1]) for row in rows if row[0].endswith("peer_links")), 0)
