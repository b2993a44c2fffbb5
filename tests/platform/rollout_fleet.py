"""Hosts as real processes, with engines of two versions and callers."""

import contextlib
import http.client
import itertools
import json
import threading
import time
from collections import Counter

from godwitladder.platform import names
from godwitladder.standins.routed import start_engine, start_store
from tests.fleet import wait_until
from tests.platform.test_adapter import ENTRY
from tests.platform.test_hosts import Host, make_config

BOUNDS = """
[bounds]
exposure_share = 0.2
exposure_slack = 50
rollback_s = 5.0
"""
CALLERS = 8
PAUSE_S = 0.05


class RolloutFleet:
    """A store, two engines of each of two versions, two hosts and callers."""

    def __init__(self, stack, folder, bounds=BOUNDS):
        self.stack = stack
        self.store = self.keep(start_store())
        self.engines = {name: self.keep(start_engine()) for name in ("o1", "o2")}
        self.store.standin.put_config(make_config(1))
        for name in self.engines:
            self.register(name, version=1)
        first = Host(stack, folder, "h1", self.store, [], bounds)
        second = Host(stack, folder, "h2", self.store, [first.peer], bounds)
        self.hosts = [first, second]
        self.statuses = Counter()
        self.ended = threading.Event()
        stack.callback(self.ended.set)
        wait_until(lambda: all(host.ready() for host in self.hosts), "hosts")
        wait_until(lambda: self.sees(2), "one mesh")

    def keep(self, server):
        self.stack.callback(server.server_close)
        self.stack.callback(server.shutdown)
        return server

    def register(self, name, version):
        entry = ENTRY | {"service": "core", "address": self.engines[name].address}
        entry |= {"slots": 16, "version": version}
        self.store.standin.put("keyed.servers", name, json.dumps(entry).encode())

    def sees(self, targets):
        rows = [host.status() for host in self.hosts]
        return all(
            len(row["hosts"]) == 2 and len(row["targets"]) == targets for row in rows
        )

    def start_new_version(self, **knobs):
        for name in ("n1", "n2"):
            self.engines[name] = self.keep(start_engine())
            for knob, value in knobs.items():
                setattr(self.engines[name].standin.knobs, knob, value)
            self.register(name, version=2)

    def order(self, duration_s, version=2):
        row = {"service": "core", "target": version, "durationS": duration_s}
        value = json.dumps(row).encode()
        self.store.standin.put(names.CONFIG_TOPIC, "rollout/core", value)

    def start_callers(self, path="/lookup/x"):
        numbers = itertools.count()
        for number in range(CALLERS):
            args = (self.hosts[number % 2], path, numbers)
            thread = threading.Thread(target=self.call_on, args=args, daemon=True)
            thread.start()

    def call_on(self, host, path, numbers):
        while not self.ended.is_set():
            with contextlib.suppress(OSError, http.client.HTTPException):
                status = host.call(path, attempt=f"a{next(numbers)}")[0]
                self.statuses[status] += 1
            time.sleep(PAUSE_S)

    def states(self):
        records = list(self.store.standin.topics[names.STATUS_TOPIC].records)
        return [json.loads(value)["state"] for _, value in records]

    def runs(self, prefix):
        rows = [row.standin for name, row in self.engines.items() if name[0] == prefix]
        return sorted(run.at for row in rows for run in row.runs)
