"""Callers of hosts that have lost their paths to the targets, on real hosts."""

import contextlib
import http.client
import json
import signal
import threading
import time
from collections import Counter

import pytest

from godwitladder.decisions.rendezvous import choose_host
from soak.fleet import Fleet, make_config
from soak.proxy import CutMode
from tests.fleet import wait_until

POOL = "r/core"
CALLERS = 2
SETTLED_S = 1.0
OBSERVED_S = 3.0


class Caller(threading.Thread):
    """Calls one host again and again; each call is a first attempt."""

    def __init__(self, host, path, until):
        super().__init__(daemon=True)
        self.host, self.path, self.until = host, path, until
        self.answers = []
        self.start()

    def run(self):
        number = 0
        while time.monotonic() < self.until:
            number += 1
            attempt = f"{self.host.name}-{self.ident}-{number}"
            self.answers.append(call(self.host, self.path, attempt))
            time.sleep(0.02)


def call(host, path, attempt, timeout=6):
    """Return the status and body of the answer; status 0 if there is none."""
    headers = {
        "Host": "shop.example",
        "Godwitladder-Attempt-Id": attempt,
        "Godwitladder-Deadline-Ms": "5000",
        "Authorization": "Bearer k1",
    }
    connection = http.client.HTTPConnection("127.0.0.1", host.ports[0], timeout=timeout)
    with contextlib.closing(connection):
        try:
            connection.request("POST", path, headers=headers)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""


def make_fleet(stack, folder, hosts=3, zones="ab"):
    fleet = Fleet(stack, folder, hosts, 2, zones=zones, has_own_paths=True)
    assert fleet.wait_until_converged(20.0)
    return fleet


def count_runs(fleet):
    """Return how often each attempt ran at the targets."""
    runs = [run for target in fleet.targets for run in target.server.standin.runs]
    return Counter(run.headers["godwitladder-attempt-id"] for run in runs)


def served_shares(hosts, path):
    """Return the share of calls that each host serves, by its name."""
    until = time.monotonic() + OBSERVED_S
    callers = [Caller(host, path, until) for host in hosts for _ in range(CALLERS)]
    for caller in callers:
        caller.join()
    shares = {}
    for host in hosts:
        answers = [
            row for caller in callers if caller.host is host for row in caller.answers
        ]
        shares[host.name] = sum(status == 200 for status, _ in answers) / len(answers)
    return shares


@pytest.mark.parametrize("mode", CutMode)
@pytest.mark.parametrize("path", ["/charge/x", "/stream/x"])
def test_callers_of_a_host_without_paths_are_served_as_others_are(tmp_path, mode, path):
    """Guards against serving a caller only if its own host reaches a target."""
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path)
        fleet.hosts[0].cut_paths(mode)
        time.sleep(SETTLED_S)
        shares = served_shares(fleet.hosts, path)
        assert min(shares.values()) > 0.9, shares
        assert max(count_runs(fleet).values()) == 1


@pytest.mark.parametrize("cut", [(0, 1), (0, 2), (0, 1, 2)])
def test_a_host_that_has_paths_serves_callers_of_all_others(tmp_path, cut):
    """Guards against a cut of one, most or all hosts of a zone, again and again."""
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path, hosts=4)
        for _ in range(2):
            for number in cut:
                fleet.hosts[number].cut_paths(CutMode.HANG)
            time.sleep(SETTLED_S)
            shares = served_shares(fleet.hosts, "/lookup/x")
            assert min(shares.values()) > 0.9, shares
            for number in cut:
                fleet.hosts[number].restore_paths()
            time.sleep(SETTLED_S)
            shares = served_shares(fleet.hosts, "/lookup/x")
            assert min(shares.values()) > 0.95, shares


RATE, BURST, WINDOW_S = 5, 5, 4.0


def test_a_quota_counts_calls_that_go_through_another_host_once(tmp_path):
    """Guards against a quota that a detour widens, or that counts a call twice."""
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path)
        fleet.version += 1
        config = make_config(fleet.version, fleet.keys)
        config["tenants"][0] |= {"ratePerS": RATE, "burst": BURST}
        fleet.store.standin.put_config(config)
        assert fleet.wait_until_converged(10.0)
        fleet.hosts[0].cut_paths(CutMode.HANG)
        time.sleep(SETTLED_S + WINDOW_S)
        began = time.monotonic()
        until = began + 2 * WINDOW_S
        callers = [Caller(fleet.hosts[0], "/lookup/x", until) for _ in range(4)]
        for caller in callers:
            caller.join()
        runs = [run for row in fleet.targets for run in row.server.standin.runs]
        asked = sum(len(caller.answers) for caller in callers)
        count = sum(began <= run.at < until for run in runs)
        allowed = RATE * 2 * WINDOW_S + BURST
        assert asked > 2 * allowed
        assert allowed / 2 < count <= allowed * 1.1


def test_a_stated_limit_holds_for_calls_through_other_hosts(tmp_path):
    """Guards against a detour that hides what targets state in their answers."""
    limit = 2.0
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path)
        fleet.hosts[0].cut_paths(CutMode.HANG)
        until = time.monotonic() + SETTLED_S + 3.0 + WINDOW_S
        callers = [Caller(host, "/lookup/x", until) for host in fleet.hosts * 2]
        time.sleep(SETTLED_S)
        for target in fleet.targets:
            target.knobs.rate_limit = limit
        for caller in callers:
            caller.join()
        for target in fleet.targets:
            arrivals = target.server.standin.arrivals
            late = [row.at for row in arrivals if row.at > until - WINDOW_S]
            assert 0 < len(late) <= 1.5 * limit * WINDOW_S + 5


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGSTOP, signal.SIGKILL])
def test_a_host_may_stop_freeze_or_end_while_others_call_through_it(tmp_path, number):
    """Guards against calls that hang or run twice as the host on their way goes.

    Planned stops interrupt no call. After a freeze or a kill, what may be repeated
    goes another way, and what may not is sent once.
    """
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path, hosts=4)
        first, gateway = fleet.hosts[0], fleet.hosts[2]
        first.cut_paths(CutMode.HANG)
        for target in fleet.targets:
            target.knobs.pause_s = 0.2
        time.sleep(SETTLED_S)
        until = time.monotonic() + 6.0
        paths = ("/resume/x", "/lookup/x", "/charge/x")
        callers = [Caller(first, path, until) for path in paths * 2]
        time.sleep(SETTLED_S)
        gateway.stopping = True
        gateway.send_signal(number)
        for caller in callers:
            caller.join()
        for caller in callers:
            statuses = Counter(status for status, _ in caller.answers)
            allowed = {200} if number == signal.SIGTERM else {200, 502, 503}
            assert set(statuses) <= allowed, (caller.path, statuses)
            assert statuses[200] > 0.8 * statuses.total(), (caller.path, statuses)
        charged = [
            run.headers["godwitladder-attempt-id"]
            for target in fleet.targets
            for run in target.server.standin.runs
            if run.path == "/charge/x"
        ]
        assert max(Counter(charged).values()) == 1
        gateway.send_signal(signal.SIGCONT)


def test_callers_are_told_that_no_path_leads_to_a_target(tmp_path):
    """Guards against another reason in refusals while no host reaches a target."""
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path)
        for host in fleet.hosts:
            host.cut_paths(CutMode.RESET)
        time.sleep(SETTLED_S)
        status, body = call(fleet.hosts[0], "/charge/x", "a1")
        problem = json.loads(body)
        assert (status, problem["reason"]) == (503, "no_target")
        assert problem["outcome"] == "not_run"
        assert count_runs(fleet) == {}


def test_a_planned_stop_waits_for_a_long_call_of_another_host(tmp_path):
    """Guards against a gateway that ends while a call that leads through it runs."""
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path, hosts=2)
        first, gateway = fleet.hosts
        first.cut_paths(CutMode.HANG)
        for target in fleet.targets:
            target.knobs.pause_s = 0.8
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(call(first, "/stream/x", "a1", timeout=20))
        )
        caller.start()
        wait_until(lambda: count_runs(fleet), "the call to run")
        assert gateway.terminate() == 0
        caller.join()
        ((status, body),) = answers
        assert (status, body.count(b"id: ")) == (200, 5)


def test_an_allocator_without_paths_serves_its_callers_and_grants_to_others(tmp_path):
    """Guards against an allocator that takes its own lost paths for lost targets."""
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path)
        names = [host.name for host in fleet.hosts]
        allocator = fleet.hosts[names.index(choose_host(names, POOL))]
        allocator.cut_paths(CutMode.HANG)
        time.sleep(SETTLED_S)
        shares = served_shares(fleet.hosts, "/lookup/x")
        assert min(shares.values()) > 0.9, shares


@pytest.mark.parametrize("mode", CutMode)
def test_paths_that_are_lost_and_back_in_quick_turns_cost_no_call(tmp_path, mode):
    """Guards against calls lost to a path that flaps, or with one target of two."""
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path)
        host = fleet.hosts[0]
        until = time.monotonic() + OBSERVED_S
        callers = [Caller(host, "/lookup/x", until) for _ in range(CALLERS)]
        paths = list(host.paths.values())
        while time.monotonic() < until:
            paths[0].cut(mode)
            time.sleep(0.3)
            paths[0].restore()
            time.sleep(0.2)
        for caller in callers:
            caller.join()
        statuses = Counter(status for row in callers for status, _ in row.answers)
        assert statuses[200] > 0.9 * statuses.total(), statuses


def test_a_limit_stated_through_a_tunnel_alone_is_kept(tmp_path):
    """Guards against a statement that is read from direct connections only."""
    limit = 2.0
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(stack, tmp_path)
        fleet.hosts[0].cut_paths(CutMode.HANG)
        until = time.monotonic() + SETTLED_S + 3.0 + WINDOW_S
        callers = [Caller(fleet.hosts[0], "/lookup/x", until) for _ in range(4)]
        time.sleep(SETTLED_S)
        for target in fleet.targets:
            target.knobs.rate_limit = limit
        for caller in callers:
            caller.join()
        for target in fleet.targets:
            arrivals = target.server.standin.arrivals
            late = [row.at for row in arrivals if row.at > until - WINDOW_S]
            assert 0 < len(late) <= 1.5 * limit * WINDOW_S + 5
