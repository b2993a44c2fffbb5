"""Hosts that start while their ports are held or their addresses are missing."""

import contextlib
import signal
import socket
import threading
import time

import pytest

from tests import fleet as entry_hosts
from tests.process.deployment import Deployment, start_process, wait_until
from tests.process.exit_lines import read_exit_line

HELD_S = 2.0
READY_S = 30.0
GRACE_S = 8.0
EXIT_S = 10.0
"""Longest time from a signal to the end of a process that serves nobody."""
LISTENERS = {"callers": 0, "readiness": 1, "operators": 2, "peers": 3}
"""Place of each listener's port in the ports of a host."""
MISSING_IP = "192.0.2.1"
"""Address reserved for documentation, which no machine has."""


@contextlib.contextmanager
def deployment(folder, hosts):
    """Yield hosts that have not been started, and end them."""
    with contextlib.closing(Deployment(folder, hosts)) as fleet:
        yield fleet


def hold(host, listener):
    """Return a socket that listens on a port of the host, as a former process does."""
    return socket.create_server(("127.0.0.1", host.ports[LISTENERS[listener]]))


def limit_wait(host, wait_s):
    """Change the time for which a host waits for its ports."""
    text = host.path.read_text()
    bounds = text.replace("grace_s = 8", "grace_s = 0.1")
    host.path.write_text(
        bounds.replace("[limits]\n", f"[limits]\nport_wait_s = {wait_s}\n")
    )


def all_ready(fleet):
    return lambda: all(host.is_ready() for host in fleet.hosts)


def logged(host, text):
    return lambda: text in host.log_path.read_text()


def accepts(host, listener):
    """Return whether a listener of the host takes connections."""
    return accepts_at(host.ports[LISTENERS[listener]])


def accepts_at(port):
    """Return whether a port of this machine takes connections."""
    with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port)):
        return True
    return False


@pytest.mark.parametrize("listener", LISTENERS)
def test_a_port_that_is_held_for_a_while_delays_a_start(tmp_path, listener):
    """Guards against a process that ends since a former one still has its port."""
    with deployment(tmp_path, 2) as fleet:
        holder = hold(fleet.hosts[0], listener)
        threading.Timer(HELD_S, holder.close).start()
        fleet.start_processes()
        time.sleep(HELD_S)
        assert fleet.ended() == []
        assert wait_until(all_ready(fleet), READY_S)
        assert wait_until(lambda: accepts(fleet.hosts[0], listener), READY_S)
        assert fleet.ended() == []


def test_hosts_start_while_their_former_processes_drain(tmp_path):
    """Guards against new processes that end as long as the former ones drain."""
    with deployment(tmp_path, 2) as fleet:
        fleet.start_processes()
        assert wait_until(all_ready(fleet), READY_S)
        former = [host.process for host in fleet.hosts]
        for host in fleet.hosts:
            host.process.send_signal(signal.SIGTERM)
            start_process(host)
        try:
            assert [row.wait(GRACE_S + EXIT_S) for row in former] == [0, 0]
            assert wait_until(all_ready(fleet), READY_S)
            assert fleet.ended() == []
        finally:
            for row in former:
                row.kill()


@pytest.mark.parametrize("listener", LISTENERS)
def test_a_host_that_waits_for_a_port_is_stopped_by_a_signal(tmp_path, listener):
    """Guards against a wait for a port that signals end too late, or as a failure."""
    with deployment(tmp_path, 1) as fleet:
        (host,) = fleet.hosts
        with contextlib.closing(hold(host, listener)):
            fleet.start_processes()
            assert wait_until(logged(host, "A port can't be bound yet"), READY_S)
            host.signal(signal.SIGHUP)
            assert wait_until(logged(host, "The settings were reloaded"), READY_S)
            host.signal(signal.SIGTERM)
            assert host.process.wait(GRACE_S + EXIT_S) == 0
        assert fleet.exit_lines() == []


def test_the_other_ports_serve_while_one_is_awaited(tmp_path):
    """Guards against a host that gives no sign of life while it waits for a port."""
    with deployment(tmp_path, 1) as fleet:
        (host,) = fleet.hosts
        with contextlib.closing(hold(host, "callers")):
            fleet.start_processes()
            for listener in ("readiness", "operators", "peers"):
                assert wait_until(lambda name=listener: accepts(host, name), READY_S)
            # Long enough for a host to become ready that finds no peer.
            time.sleep(4.0)
            assert not host.is_ready()
        assert wait_until(host.is_ready, READY_S)


@pytest.mark.parametrize("listener", ["callers", "readiness", "peers"])
def test_a_port_that_stays_held_is_named_by_the_last_line(tmp_path, listener):
    """Guards against a host that waits for ever, or ends without naming the port."""
    with deployment(tmp_path, 1) as fleet:
        (host,) = fleet.hosts
        limit_wait(host, 0.5)
        address = f"127.0.0.1:{host.ports[LISTENERS[listener]]}"
        with contextlib.closing(hold(host, listener)):
            fleet.start_processes()
            assert host.process.wait(READY_S) == 70
        line = read_exit_line(host.log_path.read_bytes())
        assert line["failed_part"] == f"listener {listener}"
        assert address in line["error"]
        assert "Address already in use" in line["error"]


def test_a_host_serves_without_its_operators_port(tmp_path):
    """Guards against a host that drops its callers as nobody can ask for its status."""
    with deployment(tmp_path, 1) as fleet:
        (host,) = fleet.hosts
        limit_wait(host, 0.5)
        with contextlib.closing(hold(host, "operators")):
            fleet.start_processes()
            assert wait_until(host.is_ready, READY_S)
            time.sleep(2.0)
            assert host.is_ready()
        assert wait_until(lambda: accepts(host, "operators"), READY_S)


def test_an_address_that_the_machine_lacks_is_awaited(tmp_path):
    """Guards against hosts that end as their network interface comes up late."""
    with deployment(tmp_path, 1) as fleet:
        (host,) = fleet.hosts
        limit_wait(host, 0.5)
        address = f"{MISSING_IP}:{host.ports[0]}"
        text = host.path.read_text()
        own = f"127.0.0.1:{host.ports[0]}"
        host.path.write_text(text.replace(own, address))
        fleet.start_processes()
        assert host.process.wait(READY_S) == 70
        assert logged(host, "A port can't be bound yet")()
        line = read_exit_line(host.log_path.read_bytes())
        assert line["failed_part"] == "listener callers"
        assert address in line["error"]


@pytest.mark.parametrize("listener", ["callers", "operators", "peers"])
def test_an_entry_host_waits_for_its_ports(fleet, monkeypatch, listener):
    """Guards against an entry host that ends since a former one has its port."""
    ports = entry_hosts.free_ports(3)
    monkeypatch.setattr(entry_hosts, "free_ports", lambda count: list(ports))
    place = ["callers", "operators", "peers"].index(listener)
    with contextlib.closing(socket.create_server(("127.0.0.1", ports[place]))):
        host = fleet.add_host("host-a1", "a")
        log = fleet.folder / "host-a1.log"
        text = "A port can't be bound yet"
        assert wait_until(lambda: text in log.read_text(), READY_S)
        time.sleep(1.0)
        assert host.process.poll() is None
        assert listener != "callers" or not fleet.ready(host)
    fleet.wait_ready()


def test_an_entry_host_that_waits_for_a_port_is_stopped_by_a_signal(fleet, monkeypatch):
    """Guards against an entry host that can't be stopped before it serves."""
    ports = entry_hosts.free_ports(3)
    monkeypatch.setattr(entry_hosts, "free_ports", lambda count: list(ports))
    with contextlib.closing(socket.create_server(("127.0.0.1", ports[0]))):
        host = fleet.add_host("host-a1", "a")
        assert wait_until(lambda: accepts_at(ports[1]), READY_S)
        host.send(signal.SIGTERM)
        assert host.process.wait(EXIT_S) == 0
