"""Real hosts whose store holds configurations that no operator can mean."""

import contextlib
import json
import time

import pytest

from godwitladder.platform import names
from tests.fleet import wait_until
from tests.platform.test_hosts import Fleet, Host, make_config

IN_FORCE_S = 2.0
HIGH = 1_000_000


def invalid_documents():
    """Return documents with high versions, each with one thing wrong."""
    whole = make_config(HIGH)
    opened = [row | {"public": "false"} for row in whole["routes"]]
    unlisted = [row | {"service": "gone"} for row in whole["routes"]]
    yield {"version": HIGH}
    yield whole | {"routes": None}
    yield whole | {"version": 2**63 - 1}
    yield whole | {"version": HIGH + 0.5}
    yield whole | {"routes": opened}
    yield whole | {"routes": unlisted}
    yield whole | {"tenants": [{"name": "w1", "apiKeys": "k1"}]}
    yield whole | {"routes": [*whole["routes"], whole["routes"][0]]}


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, tmp_path)
        fleet.stack, fleet.folder = stack, tmp_path
        yield fleet


def put(fleet, document):
    value = json.dumps(document).encode()
    fleet.store.standin.put(names.CONFIG_TOPIC, names.CONFIG_KEY, value)


def versions(fleet):
    return [host.status()["version"] for host in fleet.hosts]


def test_invalid_documents_change_nothing_and_hold_up_no_valid_one(fleet):
    """Guards against an invalid configuration in force, and against all later ones.

    Callers got 404 on all routes, were let in without a key, or never got a change.
    """
    version = 1
    for document in invalid_documents():
        put(fleet, document)
        until = time.monotonic() + 1.0
        while time.monotonic() < until:
            assert versions(fleet) == [version] * 2
            assert all(host.call("/charge/x")[0] == 200 for host in fleet.hosts)
            assert all(host.call("/charge/x", key="")[0] == 401 for host in fleet.hosts)
            time.sleep(0.1)
        shown = [host.status()["refused_document"] for host in fleet.hosts]
        assert all(row and row["error"] for row in shown), shown
        version += 1
        put(fleet, make_config(version))
        due = time.monotonic() + IN_FORCE_S
        while versions(fleet) != [version] * 2:
            assert time.monotonic() < due
            time.sleep(0.05)
        wait_until(lambda: all(host.status()["refused_document"] is None
                               for host in fleet.hosts), "a clean status")  # fmt: skip
    for host in fleet.hosts:
        text = host.log_path.read_text()
        assert text.count("A routing document is refused") == version - 1


def test_hosts_that_all_start_anew_use_the_newest_valid_document(fleet):
    """Guards against a fleet without a configuration after all its hosts were lost."""
    put(fleet, make_config(2))
    wait_until(lambda: versions(fleet) == [2, 2], "version 2")
    for document in invalid_documents():
        put(fleet, document)
    for host in fleet.hosts:
        host.process.kill()
        host.process.wait()
    first = Host(fleet.stack, fleet.folder, "n1", fleet.store, [])
    second = Host(fleet.stack, fleet.folder, "n2", fleet.store, [first.peer])
    fleet.hosts = [first, second]
    wait_until(lambda: all(host.ready() for host in fleet.hosts), "new hosts")
    assert versions(fleet) == [2, 2]
    assert all(host.call("/charge/x")[0] == 200 for host in fleet.hosts)


def test_a_document_without_workspaces_opens_all_routes(fleet):
    """Guards against a valid change that is refused: no workspaces, no keys."""
    config = make_config(2)
    del config["tenants"]
    put(fleet, config)
    wait_until(lambda: versions(fleet) == [2, 2], "version 2")
    assert all(host.call("/charge/x", key="")[0] == 200 for host in fleet.hosts)
