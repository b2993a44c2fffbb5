"""Real hosts that are cut off while a route and a key are added."""

import contextlib
import http.client
import time

import pytest

from soak.fleet import Fleet
from soak.proxy import Direction
from tests.fleet import wait_until

CONVERGED_S = 30.0
IN_FORCE_S = 2.0
"""Time within which a configuration is in force after its acknowledgement."""
OBSERVED_S = 3.5
"""Time for which keys are accepted after the last confirmation, nearly."""
CALM_S = 6.0
ROUTE = {
    "name": "added",
    "host": "shop.example",
    "pathPrefix": "/added/",
    "kind": "idempotent",
    "service": "core",
    "timeoutMs": 2000,
}


def call(host, path, key):
    """Return the status and headers of a call."""
    connection = http.client.HTTPConnection("127.0.0.1", host.ports[0], timeout=5.0)
    with contextlib.closing(connection):
        headers = {"Host": "shop.example", "Authorization": f"Bearer {key}"}
        headers["Godwitladder-Attempt-Id"] = f"{time.monotonic_ns():016x}"
        connection.request("GET", path, headers=headers)
        answer = connection.getresponse()
        answer.read()
        return answer.status, dict(answer.getheaders())


def hang(fleet, host):
    """Hold all that goes between a host and its peers and the store."""
    for path in (host.store_proxy, *fleet.paths_between_peers(host)):
        path.held.update(Direction)


def release(fleet, host):
    for path in (host.store_proxy, *fleet.paths_between_peers(host)):
        path.held.clear()


@pytest.mark.parametrize(
    ("path", "key", "refused"),
    [("/added/x", "k1", 404), ("/lookup/x", "k3", 401)],
    ids=["route", "key"],
)
def test_a_host_without_news_denies_no_route_or_key_that_was_added(
    tmp_path, path, key, refused
):
    """Guards against a refusal by a document that can't know of a later change."""
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, tmp_path, hosts=3, targets=1, has_peer_paths=True)
        assert fleet.wait_until_converged(CONVERGED_S)
        host = fleet.hosts[2]
        assert call(host, path, key)[0] == refused
        hang(fleet, host)
        fleet.version += 1
        config = fleet.make_config()
        config["routes"].append(ROUTE)
        config["tenants"][0]["apiKeys"].append("k3")
        fleet.store.standin.put_config(config)
        written_at = time.monotonic()
        statuses = []
        while time.monotonic() < written_at + OBSERVED_S:
            sent_at = time.monotonic()
            status, headers = call(host, path, key)
            if sent_at > written_at + IN_FORCE_S:
                statuses.append((status, "Retry-After" in headers))
        assert set(statuses) == {(503, True)}
        release(fleet, host)
        wait_until(lambda: call(host, path, key)[0] == 200, "the change")


@pytest.mark.parametrize("store_s", [0.0, 0.25])
def test_in_calm_unknown_routes_and_keys_are_denied_and_known_ones_served(
    tmp_path, store_s
):
    """Guards against refusals to come again where the document is the newest."""
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, tmp_path, hosts=3, targets=1)
        assert fleet.wait_until_converged(CONVERGED_S)
        fleet.store.standin.knobs.mute_s = store_s
        statuses = {404: set(), 401: set(), 200: set()}
        until = time.monotonic() + CALM_S
        while time.monotonic() < until:
            for host in fleet.hosts:
                statuses[404].add(call(host, "/added/x", "k1")[0])
                statuses[401].add(call(host, "/lookup/x", "k3")[0])
                statuses[200].add(call(host, "/lookup/x", "k1")[0])
    assert statuses == {404: {404}, 401: {401}, 200: {200}}
