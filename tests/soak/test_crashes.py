"""A request that ends its targets is stopped, and those beside it are served."""

import contextlib
import itertools
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from godwitladder.standins.routed import Ending
from soak.crash_requests import POISON_BODY, Request, Trigger
from soak.crashes import (
    MAX_LATE_SENDS,
    POISON_INTERVAL_S,
    CrashRun,
    CrashRunSize,
    run_crash_seed,
    start_crash_fleet,
)
from soak.fleet import AddressAfterEnd, Aftermath, Host
from soak.host_faults import CONTACT_S, HostFault
from soak.proxy import CutMode
from tests.fleet import wait_until

RUNS = {
    "after_head": ("/stream/stream/x", Ending.AFTER_HEAD, HostFault.NONE),
    "mid_stream_and_cuts": ("/stream/stream/x", Ending.MID_STREAM, HostFault.CUT),
    "before_head_and_kills": ("/charge/x", Ending.BEFORE_HEAD, HostFault.KILL),
    "silent": ("/stream/stream/x", Ending.SILENT, HostFault.NONE),
}
RUNS_OF_PARTS = {
    "after_head": ("/stream/stream/x", Ending.AFTER_HEAD, HostFault.NONE, 1),
    "mid_stream_and_cuts": ("/resume/stream/x", Ending.MID_STREAM, HostFault.CUT, 1),
    "before_head_and_kills": ("/charge/x", Ending.BEFORE_HEAD, HostFault.KILL, 2),
}
"""Path, ending, fault, and number of workspaces that send the bad requests."""
RESTART_S = 3.0
HELD_BACK = 503
TRIES = 12
CALLERS = 8


@pytest.mark.parametrize("kind", RUNS)
def test_a_request_that_ends_its_targets_reaches_no_more(kind, tmp_path):
    """Guards against targets that end one by one under a request that is repeated."""
    path, ending, fault = RUNS[kind]
    size = CrashRunSize(
        hosts=4, targets=6, seconds=10.0, path=path, ending=ending, fault=fault
    )
    assert run_crash_seed(1, size, tmp_path).violations == []


@pytest.mark.parametrize("path", ["/stream/stream/x", "/charge/x"])
@pytest.mark.parametrize(
    "address",
    [AddressAfterEnd.CLOSES, AddressAfterEnd.HOLDS, AddressAfterEnd.TAKEN],
    ids=lambda address: address.value,
)
def test_targets_that_end_without_refusing_connections_are_few(address, path, tmp_path):
    """Guards against sends to further targets until the entries tell of the ends."""
    size = CrashRunSize(
        hosts=4,
        targets=10,
        callers=(4, 2),
        seconds=14.0,
        path=path,
        aftermath=Aftermath(address, RESTART_S, has_expiry=False),
    )
    assert run_crash_seed(1, size, tmp_path).violations == []


@pytest.mark.parametrize(
    ("deadline_s", "patience_s"), [(0.5, 5.0), (5.0, 0.3)], ids=["deadline", "caller"]
)
def test_targets_that_go_dark_under_calls_that_end_early_are_few(
    deadline_s, patience_s, tmp_path
):
    """Guards against targets that end one by one as nobody waits to see them end."""
    size = CrashRunSize(
        hosts=4,
        targets=10,
        callers=(4, 2),
        seconds=14.0,
        path="/lookup/x",
        ending=Ending.SILENT,
        aftermath=Aftermath(restart_s=4.0, has_expiry=False),
        deadline_s=deadline_s,
        patience_s=patience_s,
    )
    assert run_crash_seed(1, size, tmp_path).violations == []


@pytest.mark.parametrize("kind", RUNS_OF_PARTS)
def test_a_part_of_prompts_that_ends_targets_reaches_no_more(kind, tmp_path):
    """Guards against targets that end under requests of which no two are alike."""
    path, ending, fault, workspaces = RUNS_OF_PARTS[kind]
    size = CrashRunSize(
        hosts=4,
        targets=6,
        callers=(4, 4),
        before_s=4.0,
        seconds=18.0,
        trigger=Trigger.PART,
        workspaces=workspaces,
        path=path,
        ending=ending,
        fault=fault,
    )
    outcome = run_crash_seed(1, size, tmp_path)
    assert outcome.violations == []
    # Too few first tries in the end would leave the floor unchecked.
    assert fault is not HostFault.NONE or None not in outcome.first_tries.values()


@pytest.fixture
def run(tmp_path):
    """A run whose requests the test sends by itself."""
    size = CrashRunSize(
        hosts=3,
        targets=6,
        path="/charge/x",
        ending=Ending.BEFORE_HEAD,
        fault=HostFault.CUT,
    )
    with contextlib.ExitStack() as stack:
        run = CrashRun(1, size, start_crash_fleet(stack, tmp_path, size))
        run.prepare_targets()
        yield run


def send_poison_request(run, host, number):
    """Send the poison request to a host and return the status."""
    return run.call(host, "/charge/x", Request(POISON_BODY), f"g{number}")[0]


def send_until_held_back(run, host):
    """Send the poison request to a host until it is held back there."""
    for number in range(TRIES):
        if send_poison_request(run, host, number) == HELD_BACK:
            return
    raise AssertionError("the request was not held back")


def count_endings(run):
    """Return how often targets have ended."""
    return sum(len(row.server.standin.endings) for row in run.fleet.targets)


@pytest.mark.parametrize("path", ["/charge/x", "/stream/stream/x"])
def test_a_target_that_breaks_calls_gets_no_more_than_its_share(path, tmp_path):
    """Guards against a target that fails calls faster than others serve them."""
    size = CrashRunSize(
        hosts=3,
        targets=4,
        path=path,
        ending=Ending.BEFORE_HEAD,
        aftermath=Aftermath(AddressAfterEnd.CLOSES, RESTART_S, has_expiry=False),
    )
    with contextlib.ExitStack() as stack:
        run = CrashRun(1, size, start_crash_fleet(stack, tmp_path, size))
        run.prepare_targets()
        run.fleet.targets[0].end(size.ending, run.fleet.write_entry)
        statuses = call_for(run, 0.8 * RESTART_S)
    lost = sum(status not in (200, HELD_BACK) for status in statuses)
    assert len(statuses) > CALLERS
    assert lost / len(statuses) <= 1 / size.targets


def call_for(run, seconds):
    """Return the statuses of calls to any host, as callers get them one by one."""
    until = time.monotonic() + seconds

    def call(caller):
        statuses = []
        while time.monotonic() < until:
            name = f"c{caller}-{len(statuses)}"
            host = run.fleet.hosts[len(statuses) % len(run.fleet.hosts)]
            request = Request(name.encode())
            statuses.append(run.call(host, run.size.path, request, name)[0])
        return statuses

    with ThreadPoolExecutor(CALLERS) as pool:
        return [status for rows in pool.map(call, range(CALLERS)) for status in rows]


def test_a_host_that_starts_knows_which_requests_end_targets(run):
    """Guards against hosts that start with no memory of what ended the targets."""
    first, second, newcomer = run.fleet.hosts
    send_until_held_back(run, first)
    newcomer.kill()
    newcomer.start()
    assert run.fleet.wait_until_converged(30.0)
    before = count_endings(run)
    assert send_poison_request(run, newcomer, "-late") == HELD_BACK
    assert count_endings(run) == before


def test_a_host_that_was_cut_off_learns_which_requests_end_targets(run):
    """Guards against hosts that missed the news while their links were down."""
    first, second, cut_off = run.fleet.hosts
    for path in run.fleet.paths_between_peers(cut_off):
        path.cut(CutMode.RESET)
    wait_until(lambda: len(first.status().get("hosts", ())) == 2, "the cut")
    send_until_held_back(run, first)
    for path in run.fleet.paths_between_peers(cut_off):
        path.restore()
    assert run.fleet.wait_until_converged(30.0)
    before = count_endings(run)
    assert send_poison_request(run, cut_off, "-late") == HELD_BACK
    assert count_endings(run) == before


def lose_all(run, stop):
    """Stop all hosts together, and start them again."""
    hosts = run.fleet.hosts
    with ThreadPoolExecutor(len(hosts)) as pool:
        list(pool.map(stop, hosts))
    for host in hosts:
        host.start()
    assert run.fleet.wait_until_converged(30.0)


def send_for(run, seconds, name):
    """Send the poison request to one host after the other."""
    until = time.monotonic() + seconds
    for number, host in enumerate(itertools.cycle(run.fleet.hosts)):
        if time.monotonic() >= until:
            return
        send_poison_request(run, host, f"{name}-{number}")
        time.sleep(POISON_INTERVAL_S)


def count_late_sends(run):
    """Return how often the poison request came when three ends had to be known."""
    endings = sorted(
        at for row in run.fleet.targets for at in row.server.standin.endings
    )
    arrivals = [
        row.at
        for target in run.fleet.targets
        for row in target.server.standin.arrivals
        if row.attempt.startswith("g")
    ]
    return sum(at > endings[2] + CONTACT_S for at in arrivals)


@pytest.mark.parametrize(
    ("stop", "losses"),
    [(Host.kill, 1), (Host.terminate, 1), (Host.kill, 2)],
    ids=["killed", "terminated", "killed_twice"],
)
def test_hosts_that_are_all_lost_know_which_requests_end_targets(run, stop, losses):
    """Guards against a request that ends targets anew each time all hosts are lost."""
    send_until_held_back(run, run.fleet.hosts[0])
    send_for(run, 2.0, "before")
    for number in range(losses):
        lose_all(run, stop)
        send_for(run, 9.0, f"after-{number}")
    assert count_late_sends(run) <= MAX_LATE_SENDS


def test_hosts_that_are_lost_right_after_a_crash_know_of_it(run):
    """Guards against a record that comes too late for a loss of all hosts."""
    host = run.fleet.hosts[0]
    wait_until(
        lambda: (
            send_poison_request(run, host, f"{time.monotonic()}") is not None
            and count_endings(run) >= 3
        ),
        "three ends",
    )
    lose_all(run, Host.kill)
    # From here on each further send counts.
    time.sleep(CONTACT_S)
    send_for(run, 9.0, "after")
    assert count_late_sends(run) <= MAX_LATE_SENDS


def test_a_request_that_runs_again_is_served_after_all_hosts_are_lost(run):
    """Guards against a record that holds back a request which ends nothing any more."""
    send_until_held_back(run, run.fleet.hosts[0])
    for target in run.fleet.targets:
        target.knobs.ends_on = b""
    lose_all(run, Host.kill)
    wait_until(
        lambda: (
            send_poison_request(run, run.fleet.hosts[0], f"{time.monotonic()}") == 200
        ),
        "a trial",
    )
    lose_all(run, Host.kill)
    for number, host in enumerate(run.fleet.hosts):
        assert send_poison_request(run, host, f"-cleared-{number}") == 200


def test_a_sound_request_that_slow_targets_run_out_of_time_is_served_later(run):
    """Guards against a hold for callers who gave up while targets were slow."""
    for target in run.fleet.targets:
        target.knobs.ends_on = b""
        target.knobs.pause_s = 4.0
    request, hosts = Request(b"the same body"), run.fleet.hosts
    with ThreadPoolExecutor(16) as pool:
        for number in range(20):
            host = hosts[number % len(hosts)]
            pool.submit(run.call, host, "/lookup/x", request, f"s{number}", 1.5)
            time.sleep(POISON_INTERVAL_S)
    for target in run.fleet.targets:
        target.knobs.pause_s = 0.02
    statuses = [
        run.call(hosts[number % len(hosts)], "/lookup/x", request, f"f{number}")[0]
        for number in range(20)
    ]
    assert statuses == [200] * 20
