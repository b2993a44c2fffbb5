"""Hosts as real processes, whose targets and store cut their answers."""

import contextlib
import random
import socket
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.engines.cut_target import ABORTING_LINGER
from tests.fleet import wait_until
from tests.platform.test_hosts import Fleet, Host, make_config
from tests.serving.odd_targets import (
    CHUNKED,
    LAST_CHUNK,
    STREAM,
    OddTarget,
    chunk,
    head,
    name_request,
)

HOSTS = 4
CALLS = 240
SENDERS = 4
STORE_CUT_S = 3.0
"""Time for which all answers of the store are cut: less than keys are believed for."""
EVENT = b"id: 1\ndata: cut\n\n"
ANSWERS = [
    head("Content-Length: 9") + b"some body",
    head(CHUNKED) + chunk(b"some ") + chunk(b"body") + LAST_CHUNK,
    head(STREAM, CHUNKED) + chunk(EVENT) + chunk(EVENT) + LAST_CHUNK,
    head(STREAM, "Content-Length: 34") + 2 * EVENT,
]
PATHS = ["/charge/x", "/lookup/x", "/stream/x"]
WHOLE_BODIES = {b"some body", 2 * EVENT}
MIN_CUT = 20
TARGETS = 6


class CuttingTarget(OddTarget):
    """A target that cuts half of its answers at a random byte, and closes or resets."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.cut_answers = 0
        super().__init__(script=None)

    def send(self, sock, attempt):
        whole = name_request(self.random.choice(ANSWERS), attempt)
        if self.random.random() < 0.5:
            sock.sendall(whole)
            return
        self.cut_answers += 1
        # The last chunk is whole without the line end after it.
        sock.sendall(whole[: self.random.randrange(len(whole) - 4)])
        if self.random.random() < 0.5:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORTING_LINGER)


class CutFleet(Fleet):
    """A store, two sound targets, and four hosts."""

    def __init__(self, stack, folder):
        super().__init__(stack, folder)
        seeds = [self.hosts[0].peer]
        for number in range(len(self.hosts), HOSTS):
            host = Host(stack, folder, f"h{number + 1}", self.store, seeds)
            self.hosts.append(host)
        wait_until(lambda: all(host.ready() for host in self.hosts), "hosts")
        wait_until(self.know_all, "one mesh")

    def replace_targets(self, targets):
        """Replace all targets by others."""
        for name in self.engines:
            self.store.standin.put("keyed.servers", name, b"")
        self.engines = targets
        for name in targets:
            self.register_engine(name)
        wait_until(self.know_all, "the other targets")

    def know_all(self):
        """Return whether all hosts know of each other and of all targets."""
        return all(
            len(row["hosts"]) == HOSTS and set(row["targets"]) == set(self.engines)
            for row in (host.status() for host in self.hosts)
        )


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield CutFleet(stack, tmp_path)


def is_ok(answer):
    """Return whether an answer is a success."""
    return answer[0] == 200


def call_all(fleet, count, first=0):
    """Return the path, attempt and answer of calls to all hosts; None if broken."""

    def send(number):
        path, attempt = PATHS[number % len(PATHS)], f"a{number}"
        host = fleet.hosts[number % len(fleet.hosts)]
        answer = None
        with contextlib.suppress(Exception):
            answer = host.call(path, attempt=attempt, body=attempt.encode())
        return path, attempt, answer

    with ThreadPoolExecutor(SENDERS) as senders:
        return list(senders.map(send, range(first, first + count)))


def test_callers_of_hosts_whose_targets_cut_answers_see_no_short_success(fleet):
    """Guards against a part of an answer that a caller takes for all of it."""
    with contextlib.ExitStack() as stack:
        targets = {f"c{number}": CuttingTarget(number) for number in range(TARGETS)}
        for target in targets.values():
            stack.callback(target.close)
        fleet.replace_targets(targets)
        results = call_all(fleet, CALLS)
    bodies = Counter(answer[2] for _, _, answer in results if answer and is_ok(answer))
    assert set(bodies) == WHOLE_BODIES
    assert sum(target.cut_answers for target in targets.values()) >= MIN_CUT
    assert all(host.process.poll() is None for host in fleet.hosts)


def test_hosts_keep_all_targets_while_the_store_cuts_its_answers(fleet):
    """Guards against a part of a read that drops targets or confirms a document."""
    store = fleet.store.standin
    store.knobs.cuts = True
    ends_at = time.monotonic() + STORE_CUT_S
    number = 0
    while time.monotonic() < ends_at:
        results = call_all(fleet, 2 * HOSTS, number)
        number += len(results)
        assert all(answer and is_ok(answer) for _, _, answer in results), results
        assert fleet.know_all()
    assert store.cut_answers > 0
    store.put_config(make_config(2, keys=("k2",)))
    wait_until(lambda: fleet.hosts[0].call("/charge/x")[0] != 200, "no old document")
    assert fleet.know_all()
    store.knobs.cuts = False
    for host in fleet.hosts:
        wait_until(lambda: host.call("/charge/x", key="k2")[0] == 200, "the return")  # noqa: B023
    assert fleet.know_all()
