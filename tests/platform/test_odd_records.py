"""Odd records in all topics of the store, before real hosts."""

import contextlib
import http.client
import itertools
import json
import random
import threading
import time
from pathlib import Path

import cbor2
import pytest

from godwitladder.platform import names
from review.common import fleet
from tests.odd_values import BYTES, KEYS, odd_json, odd_rows
from tests.process.deployment import Deployment, start_process, wait_until

HOSTS = 4
MEMORY_MB = 222
READY_S, FOLLOW_S = 30.0, 15.0
CHANGE_S = 0.3
BATCH = 64
"""Records between two reads of a host, few enough that it reads each of them."""
ENTRY = {
    "service": "core",
    "address": "127.0.0.1:9",
    "zone": "zone-a",
    "version": 1,
    "slots": 4,
    "state": "ready",
    "sequence": 1,
    "born": 1_700_000_000_000,
}
ORDER = {"service": "core", "target": 3, "durationS": 12}
STATUS = ORDER | {"state": "running", "order": 7}


def odd_records():
    """Return topic, key and value of odd records, each under a key of its own."""
    config = fleet.make_config(0, ["left-key"])
    numbers = itertools.count()
    for value in odd_rows(ENTRY):
        yield names.ENTRIES_TOPIC, f"odd-{next(numbers)}", value
    for value in odd_rows(ORDER):
        key = f"{names.ROLLOUT_PREFIX}odd-{next(numbers)}"
        yield names.CONFIG_TOPIC, key, value
    for value in odd_rows(config):
        yield names.CONFIG_TOPIC, names.CONFIG_KEY, value
    for value in odd_rows(STATUS):
        key = f"{names.ROLLOUT_PREFIX}odd-{next(numbers)}"
        yield names.STATUS_TOPIC, key, value
    for value in (*BYTES, *(b'["zone-a", %s]' % row for row in odd_json())):
        yield names.HOSTS_TOPIC, f"127.0.0.1:{9_000 + next(numbers) % 50_000}", value
    for value in (*BYTES, cbor2.dumps(["StreamBatch", [[[1]]]])):
        yield names.STREAMS_TOPIC, "", value
    topics = (names.ENTRIES_TOPIC, names.CONFIG_TOPIC, names.HOSTS_TOPIC)
    for topic, key in itertools.product((*topics, names.STATUS_TOPIC), KEYS):
        with contextlib.suppress(UnicodeEncodeError):
            key.encode()
            yield topic, key, json.dumps(ENTRY).encode()


class OddStore:
    """Writes odd records: all at once, some at a time, or one again and again."""

    def __init__(self, store):
        self.store = store
        self.records = list(odd_records())
        self.stopping = threading.Event()

    def put(self, records):
        for record in records:
            self.store.put(*record)

    def put_in_batches(self):
        for first in range(0, len(self.records), BATCH):
            self.put(self.records[first : first + BATCH])
            time.sleep(CHANGE_S)

    def keep_changing(self):
        while not self.stopping.wait(CHANGE_S):
            self.put(random.Random(1).sample(self.records, 4))


def status(host):
    connection = http.client.HTTPConnection("127.0.0.1", host.ports[2], timeout=5)
    with contextlib.closing(connection):
        try:
            connection.request("GET", "/v1/status")
            return json.loads(connection.getresponse().read())
        except (OSError, http.client.HTTPException):
            return {"targets": {}, "version": -1}


def call(host, number):
    connection = http.client.HTTPConnection("127.0.0.1", host.ports[0], timeout=10)
    headers = {
        "Host": "shop.example",
        names.ATTEMPT: f"{host.name}-{number}",
        names.DEADLINE_MS: "5000",
        "Authorization": "Bearer kept-key",
    }
    with contextlib.closing(connection):
        connection.request("POST", "/lookup/x", b"{}", headers)
        answer = connection.getresponse()
        return answer.status if answer.status == 200 else answer.read()


def resident_mb(host):
    text = Path(f"/proc/{host.process.pid}/status").read_text()
    line = next(row for row in text.splitlines() if row.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


@pytest.fixture
def deployment(tmp_path):
    running = Deployment(tmp_path, HOSTS, MEMORY_MB)
    running.start_processes()
    assert wait_until(lambda: all_ready(running), READY_S)
    yield running
    running.close()


def all_ready(running):
    return all(host.is_ready() for host in running.hosts)


def check_followed(running, name, version):
    """Check that hosts follow a target and a configuration that come now."""
    late = fleet.EngineProcess(running.store, name, "core")
    running.engines.append(late)
    config = json.dumps(fleet.make_config(version, ["left-key"])).encode()

    def is_followed():
        late.write()
        running.store.put(names.CONFIG_TOPIC, names.CONFIG_KEY, config)
        rows = [status(host) for host in running.hosts]
        return running.ended() or all(
            name in row["targets"] and row["version"] == version for row in rows
        )

    assert wait_until(is_followed, FOLLOW_S)
    answers = [call(host, f"{name}-{n}") for host in running.hosts for n in range(3)]
    assert answers == [200] * len(answers)
    assert running.ended() == [] and running.exit_lines() == []


def test_odd_records_of_all_topics_end_no_host(deployment):
    """Guards against one writer's records that end all hosts, or what they follow."""
    odd = OddStore(deployment.store)
    check_followed(deployment, "i-before", 2)
    odd.put_in_batches()
    check_followed(deployment, "i-beside", 3)
    odd.put(odd.records)
    check_followed(deployment, "i-after-all-at-once", 4)
    threading.Thread(target=odd.keep_changing, daemon=True).start()
    check_followed(deployment, "i-changing", 5)
    odd.stopping.set()
    for host in deployment.hosts:
        host.end()
        start_process(host)
    assert wait_until(lambda: all_ready(deployment), READY_S)
    check_followed(deployment, "i-restarted", 6)
    assert max(resident_mb(host) for host in deployment.hosts) < MEMORY_MB
