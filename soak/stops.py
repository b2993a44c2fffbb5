"""Stops hosts beside other trouble, and checks that each call gets an answer.

Real hosts get SIGTERM while the store is silent, slow or away, while targets leave,
and while calls wait for a service without targets or for runs of any length. Callers
use connections that they have kept open.
"""

import contextlib
import enum
import http.client
import random
import signal
import sys
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import defopt

from godwitladder.platform import names
from soak.fleet import SERVICE, SHUTDOWN_GRACE_S, Fleet, Host, make_config
from soak.host_faults import HostFault, await_fleet, make_fleet
from soak.records import REFUSAL_STATUSES

ABSENT = "absent"
"""A service without targets."""
DEADLINE_S = 15.0
ROUTES = (
    ("charge", "non_idempotent", SERVICE),
    ("lookup", "idempotent", SERVICE),
    ("stream", "streaming", SERVICE),
    ("absent-charge", "non_idempotent", ABSENT),
    ("absent-lookup", "idempotent", ABSENT),
)
STREAM_EVENTS = 5
FIRST_CALL_S, LAST_CALL_S = -2.0, 7.4
"""When calls are sent, in seconds from the first SIGTERM."""
LATE_S = 3.0
"""Calls that are sent later are not excused by a target that is still at work."""
LAST_PART = 5 / 6
"""Part of the grace after which a target that is still at work is an excuse."""
LOSS_SLACK_S = 0.2
"""Time within which a connection may close under a call that is not passed on."""
QUICK_RUN_S = 0.01
LISTED_S = 2.0
"""Time in which hosts write their entries; a host without one has nothing to tell."""


class StoreState(enum.Enum):
    """What the store does around the stop: a knob of the stand-in and its value."""

    SOUND = ("status", 0)
    SILENT = ("mute_s", 6.0)
    SLOW = ("mute_s", 0.9)
    REFUSES = ("status", 503)


@dataclass(frozen=True)
class StopPlan:
    """What happens in a run; times are seconds from the first SIGTERM.

    Attributes
    ----------
    store_at : float
        When the store turns to ``store``.
    second_stop_at : float
        When a second host gets SIGTERM.
    hangup_at : float
        When the first host gets SIGHUP.
    second_signal_at : float
        When the first host gets SIGTERM once more.
    leaves_at : float
        When all targets begin to leave; infinite for never.
    run_s : tuple of float
        How long each target works on a call.
    """

    store: StoreState
    store_at: float
    second_stop_at: float
    hangup_at: float
    second_signal_at: float
    leaves_at: float
    run_s: tuple[float, ...]


def draw_plan(seed: int, targets: int) -> StopPlan:
    """Return what happens in the run of a seed."""
    rng = random.Random(f"{seed}-stops")
    return StopPlan(
        store=rng.choice(list(StoreState)),
        store_at=rng.uniform(-1.5, 1.5),
        second_stop_at=rng.uniform(-0.5, 2.5),
        hangup_at=rng.uniform(-0.5, 2.5),
        second_signal_at=rng.uniform(0.1, 4.0),
        leaves_at=rng.uniform(-2.0, 3.0) if rng.random() < 0.3 else float("inf"),
        run_s=tuple(rng.choice((0.1, 1.0, 3.0, 4.8, 9.0)) for _ in range(targets)),
    )


@dataclass
class StopCall:
    """A call as its caller observed it; times are seconds from the first SIGTERM."""

    name: str
    route: str
    host: str
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0
    is_whole: bool = False
    is_refused_connection: bool = False


@dataclass
class StopHistory:
    """What was observed in a run.

    Attributes
    ----------
    stopped : dict
        When each stopped host got SIGTERM.
    exits : dict
        Exit status of each, and when it ended.
    runs : dict
        When a target began to run a call, by the call's name, each time.
    run_s : dict
        How long the first run of a call takes.
    """

    calls: list[StopCall] = field(default_factory=list)
    stopped: dict[str, float] = field(default_factory=dict)
    exits: dict[str, tuple[int | None, float]] = field(default_factory=dict)
    runs: dict[str, list[float]] = field(default_factory=dict)
    run_s: dict[str, float] = field(default_factory=dict)

    def check(self) -> list[str]:
        """Return a line for each violation of a guarantee."""
        rows = [
            f"{host} ended with {status} {ended - self.stopped[host]:.2f} s after"
            for host, (status, ended) in self.exits.items()
            if status != 0 or ended - self.stopped[host] > SHUTDOWN_GRACE_S
        ]
        for call in self.calls:
            fault = self.fault_of(call)
            if fault:
                rows.append(f"{fault}: {call}, runs {self.runs.get(call.name)}")
        return rows

    def fault_of(self, call: StopCall) -> str:
        """Return what is wrong with a call; empty if nothing is."""
        runs = self.runs.get(call.name, [])
        if call.status in REFUSAL_STATUSES and runs:
            return "refused, and has run"
        if len(runs) > 1 and call.route != "lookup":
            return "ran more than once"
        if call.is_whole or call.is_refused_connection:
            return ""
        if not runs:
            lasted_s = call.ended - call.sent
            return "closed without an answer" if lasted_s > LOSS_SLACK_S else ""
        return "" if self.is_excused(call) else "passed on and cut"

    def is_excused(self, call: StopCall) -> bool:
        """Return whether its time was over, or its target at work near the end."""
        if call.ended - call.sent >= DEADLINE_S:
            return True
        signalled = self.stopped.get(call.host, float("inf"))
        at_work_until = self.runs[call.name][-1] + self.run_s[call.name]
        return (
            call.sent - signalled <= LATE_S
            and at_work_until >= signalled + SHUTDOWN_GRACE_S * LAST_PART
        )


class FleetWithAbsentService(Fleet):
    """Hosts before a service with targets and one without."""

    def make_config(self) -> dict:
        """Return the configuration document."""
        config = make_config(self.version, self.keys)
        first = config["routes"][0]
        config["routes"] = [
            first
            | {
                "name": name,
                "pathPrefix": f"/{name}/",
                "kind": kind,
                "service": service,
                "timeoutMs": DEADLINE_S * 1000,
                "maxAttempts": 2 if kind == "idempotent" else 1,
            }
            for name, kind, service in ROUTES
        ]
        config["services"].append({"name": ABSENT})
        return config


class StopCaller(threading.Thread):
    """Makes one call on a connection that it has used before."""

    def __init__(self, run: "StopRun", number: int) -> None:
        super().__init__(daemon=True)
        rng = random.Random(f"{run.seed}-stops-{number}")
        self.run_of = run
        self.host: Host = rng.choice(run.fleet.hosts)
        self.at = rng.uniform(FIRST_CALL_S, LAST_CALL_S)
        route = rng.choice(ROUTES)[0]
        self.call = StopCall(f"s{run.seed}-{number}", route, self.host.name)
        self.connection = http.client.HTTPConnection(
            self.host.caller_address, timeout=DEADLINE_S + 1.0
        )

    def use_before(self) -> None:
        """Make a quick call, after which the connection stays open."""
        self.ask("lookup", f"{self.call.name}-before")

    def run(self) -> None:
        """Make the call at its time."""
        clock = self.run_of.clock
        time.sleep(max(0.0, self.at - clock()))
        self.call.sent = clock()
        try:
            self.call.status = self.ask(self.call.route, self.call.name)
            self.call.is_whole = True
        except ConnectionRefusedError:
            self.call.is_refused_connection = True
        except (OSError, http.client.HTTPException):
            self.call.is_whole = False
        self.call.ended = clock()

    def ask(self, route: str, name: str) -> int:
        """Make a call and return the status of its whole answer."""
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: name,
            names.DEADLINE_MS: str(int(DEADLINE_S * 1000)),
            "Authorization": "Bearer k1",
        }
        path = f"/{route}/{'stream/' if route == 'stream' else ''}x"
        self.connection.request("POST", path, name.encode(), headers)
        self.call.sent = max(self.call.sent, self.run_of.clock())
        answer = self.connection.getresponse()
        answer.read()
        return answer.status


class StopRun:
    """A run on a fleet that has started."""

    def __init__(self, seed: int, fleet: Fleet, callers: int) -> None:
        self.seed = seed
        self.fleet = fleet
        self.plan = draw_plan(seed, len(fleet.targets))
        self.zero = time.monotonic()
        self.history = StopHistory()
        self.callers = [StopCaller(self, number) for number in range(callers)]

    def clock(self) -> float:
        """Return the seconds since the first SIGTERM."""
        return time.monotonic() - self.zero

    def run(self) -> StopHistory:
        """Play the run and return what was observed."""
        time.sleep(LISTED_S)
        for target in self.fleet.targets:
            target.knobs.pause_s = QUICK_RUN_S
        for caller in self.callers:
            caller.use_before()
        for target, run_s in zip(self.fleet.targets, self.plan.run_s, strict=True):
            target.knobs.pause_s = run_s
        self.zero = time.monotonic() - FIRST_CALL_S
        for caller in self.callers:
            caller.start()
        self.act()
        for caller in self.callers:
            caller.join()
        self.record_runs()
        self.history.calls = [caller.call for caller in self.callers]
        return self.history

    def act(self) -> None:
        """Do what the plan says, and wait until the stopped hosts have ended."""
        plan, (first, second) = self.plan, self.fleet.hosts[:2]
        knob, value = plan.store.value
        knobs = self.fleet.store.standin.knobs
        steps = [
            (plan.store_at, lambda: setattr(knobs, knob, value)),
            (0.0, lambda: self.stop(first)),
            (plan.second_stop_at, lambda: self.stop(second)),
            (plan.hangup_at, lambda: first.send_signal(signal.SIGHUP)),
            (plan.second_signal_at, lambda: first.send_signal(signal.SIGTERM)),
            (plan.leaves_at, self.let_targets_leave),
        ]
        threads = []
        for at, step in sorted(steps, key=lambda row: row[0]):
            if at < float("inf"):
                time.sleep(max(0.0, at - self.clock()))
                threads.append(threading.Thread(target=step, daemon=True))
                threads[-1].start()
        for thread in threads:
            thread.join()

    def stop(self, host: Host) -> None:
        """Stop a host gracefully, and record its exit."""
        self.history.stopped[host.name] = self.clock()
        status = host.terminate()
        self.history.exits[host.name] = (status, self.clock())

    def let_targets_leave(self) -> None:
        """Mark all targets as leaving; they serve on."""
        for target in self.fleet.targets:
            self.fleet.write_entry(target, "draining")

    def record_runs(self) -> None:
        """Record when targets began to run the calls."""
        routes = {caller.call.name: caller.call.route for caller in self.callers}
        for target, run_s in zip(self.fleet.targets, self.plan.run_s, strict=True):
            for run in target.server.standin.runs:
                name = run.headers.get(names.ATTEMPT.lower(), "")
                if name in routes:
                    events = STREAM_EVENTS if routes[name] == "stream" else 1
                    self.history.runs.setdefault(name, []).append(run.at - self.zero)
                    self.history.run_s[name] = run_s * events


def run_stop_seed(
    seed: int, hosts: int = 3, callers: int = 24, folder: Path | None = None
) -> StopHistory:
    """Run one seed; settings and logs of the hosts go to ``folder``."""
    with contextlib.ExitStack() as stack:
        fleet = make_fleet(
            stack, folder, hosts, 2, HostFault.NONE, kind=FleetWithAbsentService
        )
        return StopRun(seed, await_fleet(fleet), callers).run()


def main(
    *,
    first: int = 1,
    count: int = 1,
    jobs: int = 1,
    hosts: int = 3,
    callers: int = 24,
    logs: str = "",
) -> None:
    """Run seeds, and exit with status 1 if any guarantee was violated.

    Parameters
    ----------
    first : int
        First seed.
    count : int
        Number of consecutive seeds.
    jobs : int
        Number of seeds that run concurrently.
    hosts : int
        Number of host processes per run, of which two are stopped.
    callers : int
        Number of calls per run.
    logs : str
        Directory for the logs of the hosts, with one subdirectory per seed.
    """
    seeds = range(first, first + count)

    def run_one_seed(seed: int) -> list[str]:
        folder = Path(logs) / str(seed) if logs else None
        history = run_stop_seed(seed, hosts, callers, folder)
        violations = history.check()
        statuses = Counter(call.status for call in history.calls)
        rows = dict(sorted(statuses.items()))
        print(f"seed {seed}: statuses {rows}, {len(violations)} broken", flush=True)
        for text in violations[:10]:
            print(f"  {text}", flush=True)
        return violations

    with ThreadPoolExecutor(jobs) as pool:
        outcomes = list(pool.map(run_one_seed, seeds))
    broken = [seed for seed, rows in zip(seeds, outcomes, strict=True) if rows]
    print(f"{count} seeds, {len(broken)} broken: {broken}", flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    defopt.run(main)
