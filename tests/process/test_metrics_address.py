"""The metrics of a host are where the deploy file says."""

import http.client
import os
import socket
import tomllib

import pytest

from review.common.fleet import ROOT
from tests.process.deployment import Deployment, fill_in, host_fields, wait_until

READY_S = 20.0
RANGES = ((7600, 7615), (7400, 7415), (7560, 7575))
HELD = "A port can't be bound yet; it is tried again"


def deployed_metrics():
    """Return the port and the path that the deploy file names."""
    deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
    port, _, path = deploy["roles"]["entry"]["metrics"].partition("/")
    return int(port), f"/{path}"


def own_ip(number):
    """Return a loopback address that no other test uses meanwhile."""
    return f"127.{os.getpid() % 200 + 20}.{number}.1"


def fetch(ip, port, path):
    """Return the status and the body; None if nobody answers."""
    connection = http.client.HTTPConnection(ip, port, timeout=5)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


@pytest.fixture
def start(tmp_path):
    """Return a function that starts a host with an IP and a range of ports."""
    deployments = []

    def start(ip, ports):
        deployment = Deployment(tmp_path, 1)
        deployments.append(deployment)
        (host,) = deployment.hosts
        fields = host_fields(host) | {"ip": ip, "portRange": list(ports)}
        host.path.write_text(fill_in(fields))
        deployment.start_processes()
        assert wait_until(host.is_ready, READY_S)
        return host

    yield start
    for deployment in deployments:
        deployment.close()


@pytest.mark.parametrize("ports", RANGES, ids=str)
def test_the_metrics_are_at_the_port_of_the_deploy_file(start, ports):
    """Guards against an incident of which nobody gets a figure."""
    ip = own_ip(ports[0] % 250)
    start(ip, ports)
    port, path = deployed_metrics()
    status, body = fetch(ip, port, path)
    assert status == 200
    assert "config_offset" in body
    assert fetch(ip, ports[1], "/v1/status")[0] == 200


def test_a_port_for_metrics_that_is_held_does_not_stop_the_host(start):
    """Guards against calls that are lost for the sake of metrics."""
    ip = own_ip(1)
    port, path = deployed_metrics()
    with socket.create_server((ip, port)):
        host = start(ip, RANGES[0])
        assert wait_until(lambda: HELD in host.log_path.read_text(), 10)
        assert fetch(ip, RANGES[0][1], path)[0] == 200
    assert wait_until(lambda: fetch(ip, port, path) is not None, 20)
    assert host.log_path.read_text().count(HELD) == 1
    assert host.process.poll() is None
