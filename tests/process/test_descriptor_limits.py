"""Hosts with few file descriptors, or with none left."""

import contextlib
import errno
import re
import resource
import select
import socket
import time

import pytest
from waitress import wasyncore

from godwitladder.clock import ManualClock
from godwitladder.engines import wire
from godwitladder.engines.wire import NoConnection, NoDescriptor
from godwitladder.metrics import Metrics
from godwitladder.paths.connector import Connector
from godwitladder.process import descriptors
from godwitladder.process.descriptors import is_shortage, share_descriptors
from godwitladder.serving import listener
from godwitladder.settings import LimitSettings
from tests.process.burst import Burst
from tests.process.deployment import Deployment, limit, wait_until

SERVICE_S = 1.0
BURST = 300
READY_TIMEOUT_S = 20
HELD_S = 2.0
MAX_LINES = 200
SHORTAGE_S = 2.0


@pytest.fixture
def make_deployment(tmp_path):
    with contextlib.ExitStack() as stack:

        def make(service_s=SERVICE_S):
            deployment = Deployment(tmp_path, 1)
            stack.callback(deployment.close)
            for engine in deployment.engines:
                engine.slots = BURST
                engine.engine.knobs.pause_s = service_s
            return deployment

        yield make


def wait_ready(deployment):
    ready = wait_until(
        lambda: bool(deployment.ended()) or deployment.hosts[0].is_ready(),
        READY_TIMEOUT_S,
    )
    assert deployment.ended() == [], deployment.exit_lines()
    assert ready


def count_lines(deployment, text):
    return deployment.hosts[0].log_path.read_text().count(text)


@pytest.mark.parametrize("count", [64, 100, 256])
def test_a_host_with_few_descriptors_serves_what_it_can(make_deployment, count):
    """Guards against callers that take all descriptors of a host.

    It could reach no target, and would believe that the targets are at fault.
    """
    deployment = make_deployment()
    deployment.start_processes(limit(resource.RLIMIT_NOFILE, count))
    wait_ready(deployment)
    address = ("127.0.0.1", deployment.hosts[0].ports[0])
    counts = Burst(address, BURST).wait(15)
    assert deployment.ended() == [], deployment.exit_lines()
    assert counts[200] >= 1, counts
    assert counts[504] == counts["open"] == 0, counts
    assert count_lines(deployment, "direct path to a target is lost") == 0
    assert count_lines(deployment, "No descriptor is left") == 0
    assert Burst(address, 5, name="after").wait(10)[200] == 5


def test_connections_that_are_only_held_keep_a_host_ready(make_deployment):
    """Guards against a loop that turns without a pause when it can't accept."""
    deployment = make_deployment()
    deployment.start_processes(limit(resource.RLIMIT_NOFILE, 100))
    wait_ready(deployment)
    (host,) = deployment.hosts
    with contextlib.ExitStack() as stack:
        for _ in range(150):
            sock = socket.create_connection(("127.0.0.1", host.ports[0]), timeout=5)
            stack.callback(sock.close)
        time.sleep(HELD_S)
        assert host.is_ready()
    text = host.log_path.read_text()
    assert len(text.splitlines()) < MAX_LINES
    assert not re.search(r'"no_descriptor": [1-9]', text)


def test_a_host_whose_last_descriptor_is_taken_recovers(make_deployment):
    """Guards against a host that loses its listeners, or spins, without descriptors."""
    deployment = make_deployment(service_s=0.02)
    deployment.start_processes()
    wait_ready(deployment)
    (host,) = deployment.hosts
    pid = host.process.pid
    limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
    address = ("127.0.0.1", host.ports[0])
    assert Burst(address, 5, name="before").wait(10)[200] == 5
    resource.prlimit(pid, resource.RLIMIT_NOFILE, (8, limits[1]))
    burst = Burst(address, 20, name="without")
    time.sleep(SHORTAGE_S)
    assert deployment.ended() == [], deployment.exit_lines()
    assert len(host.log_path.read_text().splitlines()) < MAX_LINES
    resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
    counts = burst.wait(10)
    assert counts["open"] == 0, counts
    wait_ready(deployment)
    assert Burst(address, 5, name="after").wait(10)[200] == 5


def test_descriptors_are_shared_between_callers_and_targets(monkeypatch):
    """Guards against limits of the settings that the process can't keep."""
    shares = []
    for count in (None, 4_096, 1_570, 256, 64, 8):
        monkeypatch.setattr(descriptors, "soft_limit", lambda kind, count=count: count)
        shares.append((count, *share_descriptors(600, 160)))
    for count, connections, calls in shares:
        assert min(connections, calls) >= 1
        assert count is None or connections + calls < count
    assert [row[1:] for row in shares[:3]] == [(600, 160)] * 3


def test_a_missing_descriptor_is_told_from_a_target_out_of_reach(monkeypatch):
    """Guards against targets that are avoided for a lack of descriptors here."""

    def take_last(*args, **kwargs):
        raise OSError(errno.EMFILE, "Too many open files")

    connector = Connector(ManualClock(), Metrics(), "zone-a")
    with monkeypatch.context() as without:
        without.setattr(socket, "socket", take_last)
        with pytest.raises(NoDescriptor) as raised:
            connector.connect("127.0.0.1:9", 1.0, 1.0)
    assert is_shortage(raised.value)
    assert not connector.is_lost("127.0.0.1:9")
    with pytest.raises(NoConnection) as raised:
        wire.connect("127.0.0.1:9", 1.0)
    assert not is_shortage(raised.value)


@pytest.mark.parametrize("error", [MemoryError, ValueError])
def test_an_error_of_a_new_connection_leaves_the_listener_open(error):
    """Guards against a host that stays ready and accepts no caller any more."""
    server = listener.make_listener(
        lambda environ, start_response: [], "127.0.0.1:0", LimitSettings(), 1
    )

    def fail(*args, **kwargs):
        raise error

    server.channel_class = fail
    with contextlib.closing(server):
        address = server.socket.getsockname()
        with contextlib.closing(socket.create_connection(address, timeout=5)):
            wasyncore.readwrite(server, select.POLLIN)
        assert server.socket.fileno() in server._map
        assert not server.readable()
