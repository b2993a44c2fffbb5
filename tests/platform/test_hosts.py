"""Hosts as real processes, with stand-ins for the platform's store and engines."""

import contextlib
import http.client
import json
import os
import signal
import subprocess
import sys
import threading
import time

import pytest

from godwitladder.standins.ports import free_ports
from godwitladder.standins.routed import start_engine, start_store
from soak.fleet import SETTINGS_TEMPLATE, HostLimits
from tests.fleet import wait_until
from tests.platform.test_adapter import ENTRY
from tests.serving.test_passing import ROUTES


def make_config(version, keys=("k1",), rate=0):
    return {
        "version": version,
        "routes": ROUTES,
        "services": [{"name": "core"}],
        "tenants": [{"name": "w1", "apiKeys": list(keys), "ratePerS": rate}],
    }


class Host:
    """The process of one host."""

    def __init__(self, stack, folder, name, store, seeds, more_settings=""):
        self.ports = free_ports(4)
        self.path = path = folder / f"{name}.toml"
        self.store_address = store.address
        text = SETTINGS_TEMPLATE.format(
            name=name,
            zone="a",
            ports=self.ports,
            store=store.address,
            seeds=json.dumps(seeds),
            **vars(HostLimits()),
        )
        path.write_text(text + more_settings)
        self.log_path = folder / f"{name}.log"
        log = stack.enter_context(self.log_path.open("wb"))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "godwitladder.platform"],
            env=os.environ | {"GODWITLADDER_NODE_FILE": str(path)},
            stdout=log,
            stderr=log,
        )
        stack.callback(self.process.wait)
        stack.callback(self.process.kill)

    @property
    def peer(self):
        return f"127.0.0.1:{self.ports[3]}"

    def name_store(self, store):
        """Name another store in the settings, and tell the process."""
        text = self.path.read_text()
        self.path.write_text(text.replace(self.store_address, store.address))
        self.store_address = store.address
        self.process.send_signal(signal.SIGHUP)

    def get(self, port, path, method="GET", headers=None, body=None):
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=10)
        with contextlib.closing(connection):
            connection.request(method, path, body, headers=headers or {})
            answer = connection.getresponse()
            return answer.status, dict(answer.getheaders()), answer.read()

    def ready(self):
        try:
            return self.get(self.ports[1], "/")[0] == 200
        except OSError:
            return False

    def status(self):
        return json.loads(self.get(self.ports[2], "/v1/status")[2])

    def shows_status(self):
        """Return whether the status page is there, which starts after readiness."""
        try:
            return bool(self.status())
        except OSError:
            return False

    def call(self, path, key="k1", attempt="a1", more_headers=None, body=None):
        headers = {
            "Host": "shop.example",
            "Godwitladder-Attempt-Id": attempt,
            "Godwitladder-Deadline-Ms": "5000",
            "Authorization": f"Bearer {key}",
        } | (more_headers or {})
        return self.get(self.ports[0], path, "POST", headers, body)


class Fleet:
    """A store, two engines and two hosts."""

    def __init__(self, stack, folder, more_settings=""):
        self.store = self.register_cleanup(stack, start_store())
        self.engines = {
            f"e{n}": self.register_cleanup(stack, start_engine()) for n in range(2)
        }
        self.store.standin.put_config(make_config(1))
        for name in self.engines:
            self.register_engine(name)
        first = Host(stack, folder, "h1", self.store, [], more_settings)
        second = Host(stack, folder, "h2", self.store, [first.peer], more_settings)
        self.hosts = [first, second]
        wait_until(lambda: all(host.ready() for host in self.hosts), "hosts")
        wait_until(self.joined, "one mesh")

    def register_cleanup(self, stack, server):
        stack.callback(server.server_close)
        stack.callback(server.shutdown)
        return server

    def register_engine(self, name, **more):
        address = self.engines[name].address
        entry = ENTRY | {"service": "core", "address": address, "slots": 2} | more
        self.store.standin.put("keyed.servers", name, json.dumps(entry).encode())

    def joined(self):
        statuses = [host.status() for host in self.hosts]
        return all(
            len(row["hosts"]) == 2 and len(row["targets"]) == 2 for row in statuses
        )


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Fleet(stack, tmp_path)


def test_hosts_serve_routed_calls_and_follow_the_store(fleet):
    """Guards against hosts that do not follow changes in the store.

    Both hosts must serve calls. After a change of keys, the old key must be refused
    and the new one accepted. A draining engine must get no new calls. Without the
    store, calls must be served until the document is too old for accepting keys,
    and again after the store is back.
    """
    one, two = fleet.hosts
    for number, host in enumerate([one, two, one, two]):
        status, headers, body = host.call("/charge/x", attempt=f"a{number}")
        assert (status, body) == (200, f"answer of a{number}".encode())
    assert one.call("/stream/x")[2].count(b"id: ") == 5
    assert one.call("/charge/x", key="no")[0] == 401

    fleet.store.standin.put_config(make_config(2, keys=("k2",)))
    wait_until(lambda: two.call("/charge/x")[0] == 401, "the key to go")
    wait_until(lambda: one.call("/charge/x", key="k2")[0] == 200, "the new key")

    fleet.register_engine("e0", state="draining")
    wait_until(lambda: all("leaving" in h.status()["targets"].values()
                           for h in fleet.hosts), "the engine to leave")  # fmt: skip
    before = len(fleet.engines["e0"].standin.runs)
    for _ in range(6):
        assert two.call("/charge/x", key="k2")[0] == 200
    assert len(fleet.engines["e0"].standin.runs) == before

    fleet.store.standin.knobs.status = 503
    assert one.call("/charge/x", key="k2")[0] == 200
    wait_until(lambda: one.call("/charge/x", key="k2")[0] == 503, "old keys")
    assert not one.ready()
    fleet.store.standin.knobs.status = 0
    wait_until(lambda: one.call("/charge/x", key="k2")[0] == 200, "the return")


def test_a_drain_finishes_open_calls(fleet):
    """Guards against calls that are cut off when SIGTERM stops their host.

    The signal arrives while an engine works on a call. The host must report that it
    is not ready, answer the call completely and exit with status 0, and the other
    host must continue to serve.
    """
    one, two = fleet.hosts
    for engine in fleet.engines.values():
        engine.standin.knobs.pause_s = 1.0
    answers = []
    caller = threading.Thread(target=lambda: answers.append(one.call("/charge/x")))
    caller.start()
    wait_until(lambda: any(e.standin.runs for e in fleet.engines.values()), "a run")
    one.process.send_signal(signal.SIGTERM)
    wait_until(lambda: not one.ready(), "the balancer's news")
    caller.join(10)
    assert answers[0][0] == 200
    assert one.process.wait(10) == 0
    assert two.call("/charge/x")[0] == 200


def test_a_drain_waits_for_a_call_longer_than_its_notice(fleet):
    """Guards against a drain that ends before the last open call.

    When SIGTERM arrives, an engine still needs four seconds for a call, longer than
    the load balancer needs to remove the host. The call must still be answered
    completely before the process exits.
    """
    one, _ = fleet.hosts
    for engine in fleet.engines.values():
        engine.standin.knobs.pause_s = 4.0
    answers = []
    caller = threading.Thread(target=lambda: answers.append(one.call("/charge/x")))
    caller.start()
    wait_until(lambda: any(e.standin.runs for e in fleet.engines.values()), "a run")
    one.process.send_signal(signal.SIGTERM)
    caller.join(10)
    assert answers[0][0] == 200
    assert one.process.wait(10) == 0


def test_calls_go_on_when_the_allocators_host_is_killed(fleet):
    """Guards against calls that stop when the allocator's host is killed.

    One of two hosts is killed, which may be the allocator. The links of the other
    break at once, so it must take over the role and continue to serve.
    """
    one, two = fleet.hosts
    one.process.kill()
    wait_until(lambda: two.status()["hosts"] == ["h2"], "the loss to be seen")
    wait_until(lambda: two.call("/charge/x")[0] == 200, "calls to go on")


MAX_IDLE_THREADS = 24


def test_a_host_has_few_threads_before_and_after_a_burst(fleet):
    """Guards against threads that stay after a burst of calls.

    Forty callers arrive at an idle host at once, more than it serves. All must be
    answered, those whose connection was closed unread as they try again, and the
    threads that served them must end: with hundreds of hosts on one machine, each
    can't keep a thread for every call that it might have to serve.
    """
    one, _ = fleet.hosts
    wait_until(lambda: count_threads(one) <= MAX_IDLE_THREADS, "a host at rest")
    for engine in fleet.engines.values():
        engine.standin.knobs.pause_s = 0.3
    answers = []
    callers = [
        threading.Thread(
            target=lambda n=n: answers.append(
                call_until_read(one, "/charge/x", f"b{n}")
            )
        )
        for n in range(40)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join(30)
    assert len(answers) == 40
    wait_until(lambda: count_threads(one) <= MAX_IDLE_THREADS, "the threads to end")


def call_until_read(host, path, attempt):
    """Call a host again while it is full and closes the connection unread."""
    while True:
        try:
            return host.call(path, attempt=attempt)
        except ConnectionResetError:
            time.sleep(0.05)


def count_threads(host):
    """Return the number of threads of a host's process."""
    return len(os.listdir(f"/proc/{host.process.pid}/task"))
