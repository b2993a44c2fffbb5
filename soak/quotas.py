"""Runs seeds with quotas: one workspace far beyond its own, another within.

Real hosts hand out the quotas while the hosts that are allocators are paused, killed,
slowed and cut off from their peers, and while quotas change. What the targets ran is
checked against the quotas.
"""

import contextlib
import enum
import http.client
import json
import random
import signal
import sys
import tempfile
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import defopt

from godwitladder.explain import parse_log_line
from godwitladder.platform import names
from soak.fleet import SERVICE, Fleet, Host, make_config
from soak.proxy import CutMode
from soak.quota_records import Quota, QuotaHistory, TokenRun
from soak.run import RECOVERY_TIMEOUT_S, START_TIMEOUT_S

SIDE = "side"
PATHS = ("/lookup/x", "/side/x")
SIDE_FRACTION = 0.3
RATE, BURST = 2_000.0, 2_000.0
QUOTA_SLACK = 2_000.0
FLOOD, MODEST = "flood", "modest"
LOAD = {FLOOD: 6.0, MODEST: 0.4}
"""What each workspace asks for, as a multiple of its quota."""
MEAN_TOKENS, MAX_TOKENS, SPREAD = 400, 3_000, 1.0
CALL_TIMEOUT_S = 3.0
SLOW_STOP_S, SLOW_RUN_S = 0.15, 0.05
LAST_START_FRACTION = 0.7
FAULT_DURATION_S = (0.5, 5.0)
STARTED, ENDED = "allocator: Allocator role started", "allocator: Allocator role ended"


class QuotaFaultKind(enum.Enum):
    """What happens to an allocator, or to the quotas."""

    PAUSE = "pause"
    KILL = "kill"
    SLOW = "slow"
    CUT = "cut"
    CHANGE = "change"


@dataclass(frozen=True)
class QuotaFault:
    """A fault of one allocator, or a change of the quotas.

    Attributes
    ----------
    affected_index : int
        Index of the allocator among the hosts that are one, modulo their number.
    """

    start_s: float
    kind: QuotaFaultKind
    affected_index: int
    duration_s: float


@dataclass(frozen=True)
class QuotaRunSize:
    """Size of a run: numbers of its parts, and its duration in seconds."""

    hosts: int = 4
    targets: int = 4
    callers: int = 12
    faults: int = 6
    seconds: float = 30.0


@dataclass(frozen=True)
class QuotaOutcome:
    """Result of a run.

    Attributes
    ----------
    worst : dict
        Worst window of each workspace, as a share of what is allowed.
    served : dict
        Share of the calls of each workspace that its quota did not refuse.
    """

    seed: int
    runs: int
    worst: dict[str, float]
    served: dict[str, float]
    violations: list[str]


def draw_quota_faults(seed: int, seconds: float, count: int) -> list[QuotaFault]:
    """Return the faults of a run in order of their start; they may overlap."""
    rng = random.Random(f"{seed}-quotas")
    kinds = list(QuotaFaultKind)
    faults = [
        QuotaFault(
            rng.uniform(2.0, seconds * LAST_START_FRACTION),
            rng.choice(kinds),
            rng.randrange(100),
            rng.uniform(*FAULT_DURATION_S),
        )
        for _ in range(count)
    ]
    return sorted(faults, key=lambda fault: fault.start_s)


class FleetWithQuotas(Fleet):
    """Hosts before two services, with two workspaces that have a quota."""

    quota = Quota(0.0, RATE, BURST)

    def make_config(self) -> dict:
        """Return the configuration document with the quota in force."""
        config = make_config(self.version, self.keys)
        lookup = next(row for row in config["routes"] if row["name"] == "lookup")
        side = lookup | {"name": "side", "pathPrefix": "/side/", "service": SIDE}
        config["routes"].append(side)
        config["services"].append({"name": SIDE})
        config["tenants"] += [
            {
                "name": name,
                "apiKeys": [f"key of {name}"],
                "ratePerS": self.quota.rate,
                "burst": self.quota.burst,
            }
            for name in LOAD
        ]
        return config

    def allocators(self) -> list[Host]:
        """Return the hosts that are allocators by their own lines, or else all."""
        rows = [host for host in self.hosts if open_roles(Path(host.log.name))]
        return rows or self.hosts


def open_roles(log: Path) -> set[str]:
    """Return the pools for which the log of a host tells a role that goes on."""
    pools: set[str] = set()
    for row in map(parse_log_line, log.read_text(errors="replace").splitlines()):
        if row.get("message") == STARTED:
            pools.add(str(row["pool"]))
        elif row.get("message") == ENDED:
            pools.discard(str(row["pool"]))
    return pools


class QuotaCaller(threading.Thread):
    """Thread whose calls ask for a part of what a workspace asks for."""

    def __init__(self, number: int, workspace: str, calls_per_s: float, run) -> None:
        super().__init__(daemon=True)
        self.rng = random.Random(f"{run.seed}-{workspace}-{number}")
        self.name_prefix = f"{workspace}-{number}"
        self.workspace = workspace
        self.interval_s = 1.0 / calls_per_s
        self.run_of_seed = run

    def run(self) -> None:
        """Send calls until the run is over, whatever Retry-After says."""
        run, count = self.run_of_seed, 0
        at = run.clock() + self.rng.random() * self.interval_s
        while not run.stop_event.wait(max(0.0, at - run.clock())):
            count += 1
            self.send(f"{self.name_prefix}-{count}")
            at += self.interval_s

    def send(self, name: str) -> None:
        """Send one call to a random host, and record whether its quota refused it."""
        history = self.run_of_seed.history
        history.asked[self.workspace].append(self.run_of_seed.clock())
        host = self.rng.choice(self.run_of_seed.fleet.hosts)
        path = PATHS[self.rng.random() < SIDE_FRACTION]
        size = self.rng.lognormvariate(-(SPREAD**2) / 2, SPREAD) * MEAN_TOKENS
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: name,
            names.DEADLINE_MS: str(int(CALL_TIMEOUT_S * 1000)),
            names.TOKENS: f"{max(1, min(MAX_TOKENS, int(size)))},0",
            "Authorization": f"Bearer key of {self.workspace}",
        }
        connection = http.client.HTTPConnection(
            host.caller_address, timeout=CALL_TIMEOUT_S
        )
        with (
            contextlib.closing(connection),
            contextlib.suppress(OSError, http.client.HTTPException),
        ):
            connection.request("POST", path, b"x", headers)
            answer = connection.getresponse()
            answer.read()
            if answer.status == 429:
                history.refused[self.workspace].append(self.run_of_seed.clock())


class QuotaRun:
    """A run on a fleet that has started."""

    def __init__(self, seed: int, size: QuotaRunSize, fleet: FleetWithQuotas) -> None:
        self.seed = seed
        self.size = size
        self.fleet = fleet
        self.started_at = time.monotonic()
        self.faults = draw_quota_faults(seed, size.seconds, size.faults)
        self.history = QuotaHistory(QUOTA_SLACK, {name: [fleet.quota] for name in LOAD})
        self.history.asked = {name: [] for name in LOAD}
        self.history.refused = {name: [] for name in LOAD}
        self.stop_event = threading.Event()
        self.lock = threading.Lock()
        self.reserved: set[str] = set()

    def clock(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.started_at

    def run(self) -> QuotaOutcome:
        """Send calls and inject the faults, then check what the targets ran."""
        callers = [
            QuotaCaller(number, name, self.calls_per_s(name), self)
            for name in LOAD
            for number in range(self.size.callers)
        ]
        for caller in callers:
            caller.start()
        faults = [self.start_fault(fault) for fault in self.faults]
        for thread in faults:
            thread.join()
        time.sleep(max(0.0, self.size.seconds - self.clock()))
        self.stop_event.set()
        for caller in callers:
            caller.join()
        if not self.fleet.wait_until_converged(RECOVERY_TIMEOUT_S):
            self.history.findings.append("the fleet did not recover")
        self.record_runs()
        return self.outcome()

    def calls_per_s(self, workspace: str) -> float:
        """Return the calls per second of one caller of a workspace."""
        return LOAD[workspace] * RATE / MEAN_TOKENS / self.size.callers

    def start_fault(self, fault: QuotaFault) -> threading.Thread:
        """Start a fault at its time, in a thread of its own."""
        time.sleep(max(0.0, fault.start_s - self.clock()))
        thread = threading.Thread(target=self.inject, args=(fault,), daemon=True)
        thread.start()
        return thread

    def inject(self, fault: QuotaFault) -> None:
        """Play one fault, unless its host is subject to another one."""
        if fault.kind is QuotaFaultKind.CHANGE:
            self.change_quota(2.0 if fault.affected_index % 2 else 0.5)
            return
        with self.lock:
            rows = self.fleet.allocators()
            host = rows[fault.affected_index % len(rows)]
            if host.name in self.reserved:
                return
            self.reserved.add(host.name)
        self.disturb(host, fault)
        with self.lock:
            self.reserved.discard(host.name)

    def disturb(self, host: Host, fault: QuotaFault) -> None:
        """Disturb one host for the duration of a fault."""
        if fault.kind is QuotaFaultKind.KILL:
            host.kill()
            time.sleep(fault.duration_s / 2)
            host.start()
        elif fault.kind is QuotaFaultKind.CUT:
            self.cut_off(host, fault)
        elif fault.kind is QuotaFaultKind.PAUSE:
            host.send_signal(signal.SIGSTOP)
            time.sleep(fault.duration_s)
            host.send_signal(signal.SIGCONT)
        else:
            self.slow_down(host, self.clock() + fault.duration_s)

    def slow_down(self, host: Host, until_s: float) -> None:
        """Stop and continue a host in quick succession."""
        while self.clock() < until_s:
            host.send_signal(signal.SIGSTOP)
            time.sleep(SLOW_STOP_S)
            host.send_signal(signal.SIGCONT)
            time.sleep(SLOW_RUN_S)

    def cut_off(self, host: Host, fault: QuotaFault) -> None:
        """Cut a host off from its peers; callers, store and targets reach it."""
        paths = self.fleet.paths_between_peers(host)
        for path in paths:
            path.cut(list(CutMode)[fault.affected_index % 2])
        time.sleep(fault.duration_s)
        for path in paths:
            path.restore()

    def change_quota(self, factor: float) -> None:
        """Publish a quota that is some times the first one."""
        with self.lock:
            quota = Quota(self.clock(), RATE * factor, BURST * factor)
            self.fleet.quota = quota
            self.fleet.version += 1
            self.fleet.put_config()
            for rows in self.history.quotas.values():
                rows.append(quota)

    def record_runs(self) -> None:
        """Record what the targets ran of workspaces with a quota."""
        runs = [
            TokenRun(
                run.at - self.started_at,
                run.headers.get(names.WORKSPACE.lower(), ""),
                int(run.headers.get(names.TOKENS.lower(), "0").split(",")[0]),
            )
            for target in self.fleet.targets
            for run in target.server.standin.runs
        ]
        rows = [run for run in runs if run.workspace in LOAD]
        self.history.runs = sorted(rows, key=lambda run: run.at)

    def outcome(self) -> QuotaOutcome:
        """Check the history and return the outcome."""
        history = self.history
        worst = {name: history.worst_window(name) for name in LOAD}
        return QuotaOutcome(
            self.seed,
            len(history.runs),
            {name: row.tokens / row.allowed for name, row in worst.items()},
            {
                name: 1 - len(history.refused[name]) / max(1, len(history.asked[name]))
                for name in LOAD
            },
            history.check(),
        )


def run_quota_seed(
    seed: int, size: QuotaRunSize, folder: Path | None = None
) -> QuotaOutcome:
    """Run one seed and return its outcome; settings and logs go to ``folder``."""
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = FleetWithQuotas(
            stack,
            folder,
            size.hosts,
            size.targets,
            has_peer_paths=True,
            services=(SERVICE, SIDE),
            quota_slack=QUOTA_SLACK,
        )
        if not fleet.wait_until_converged(START_TIMEOUT_S):
            text = "the hosts did not find each other"
            return QuotaOutcome(seed, 0, {}, {}, [text])
        return QuotaRun(seed, size, fleet).run()


def main(
    *,
    first: int = -1,
    count: int = 1,
    jobs: int = 1,
    faults: int = 6,
    seconds: float = 30.0,
    hosts: int = 4,
    logs: str = "",
) -> None:
    """Run seeds with quotas, and exit with status 1 if any quota was exceeded.

    Parameters
    ----------
    first : int
        First seed; the current Unix time if omitted.
    count : int
        Number of consecutive seeds.
    jobs : int
        Number of seeds that run concurrently.
    faults : int
        Number of faults per seed.
    seconds : float
        Duration of each run in seconds, without startup and final checks.
    hosts : int
        Number of host processes per run.
    logs : str
        Directory for the logs of the hosts, with one subdirectory per seed.
    """
    first_seed = int(time.time()) if first < 0 else first
    size = QuotaRunSize(hosts=hosts, faults=faults, seconds=seconds)

    def run_one_seed(seed: int) -> QuotaOutcome:
        folder = Path(logs) / str(seed) if logs else None
        if folder:
            folder.mkdir(parents=True, exist_ok=True)
        outcome = run_quota_seed(seed, size, folder)
        print(json.dumps(vars(outcome)), flush=True)
        return outcome

    with ThreadPoolExecutor(jobs) as pool:
        outcomes = list(pool.map(run_one_seed, range(first_seed, first_seed + count)))
    broken = [row.seed for row in outcomes if row.violations]
    print(f"{len(outcomes)} seeds, {len(broken)} broken: {broken}", flush=True)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    defopt.run(main)
