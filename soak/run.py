"""Runs a seed: starts a fleet, sends calls, injects faults and checks the result."""

import contextlib
import tempfile
import threading
import time
from dataclasses import dataclass
from pathlib import Path

from godwitladder.platform import names
from soak.callers import Balancer, Caller
from soak.fleet import Fleet
from soak.inject import Injector
from soak.plan import (
    draw_copies,
    draw_cuts,
    draw_endless,
    draw_faults,
    draw_statements,
)
from soak.records import Attempt, History, TargetArrival, TargetRun

START_TIMEOUT_S = 40.0
RECOVERY_TIMEOUT_S = 40.0
"""Timeouts far above the guaranteed times, so that a busy machine causes no failure."""
FINAL_CALLS = 20
HEARTBEAT_S = 1.2
"""Interval at which targets write their entries, in runs whose store loses some."""
MIN_ANSWERED_FRACTION = 0.9


@dataclass(frozen=True)
class RunSize:
    """Size of a run: numbers of its parts, and its duration in seconds.

    ``statements`` is how often targets state something about themselves, ``cuts`` how
    often a host loses its paths to all targets, ``copies`` how often the store comes
    back from a copy, ``endless`` how often a target answers without end.
    """

    hosts: int = 4
    targets: int = 3
    callers: int = 6
    faults: int = 8
    statements: int = 0
    cuts: int = 0
    copies: int = 0
    endless: int = 0
    seconds: float = 12.0


@dataclass(frozen=True)
class Outcome:
    """Result of a run.

    Attributes
    ----------
    calls : int
        Number of calls that were prepared.
    answered : int
        Number of calls with a complete answer of status 200.
    runs : int
        Number of requests that targets ran.
    violations : list of str
        A line for each violation of a guarantee.
    """

    seed: int
    calls: int
    answered: int
    runs: int
    violations: list[str]


def run_seed(seed: int, size: RunSize, folder: Path | None = None) -> Outcome:
    """Run one seed and return its outcome.

    The settings and logs of the hosts go to ``folder``, or else to a temporary
    directory.
    """
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = Fleet(
            stack, folder, size.hosts, size.targets, has_own_paths=size.cuts > 0
        )
        if not fleet.wait_until_converged(START_TIMEOUT_S):
            return Outcome(seed, 0, 0, 0, ["the hosts did not find each other"])
        return SoakRun(seed, size, fleet).run()


class SoakRun:
    """A run on a fleet that has started."""

    def __init__(self, seed: int, size: RunSize, fleet: Fleet) -> None:
        self.seed = seed
        self.size = size
        self.fleet = fleet
        self.started_at = time.monotonic()
        faults = draw_faults(seed, size.seconds, size.faults)
        faults += draw_statements(seed, size.seconds, size.statements)
        faults += draw_cuts(seed, size.seconds, size.cuts)
        faults += draw_copies(seed, size.seconds, size.copies)
        faults += draw_endless(seed, size.seconds, size.endless)
        faults.sort(key=lambda fault: fault.start_s)
        self.history = History(faults, hosts=size.hosts)
        self.stop_event = threading.Event()
        self.ended = threading.Event()

    def clock(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.started_at

    def run(self) -> Outcome:
        """Send calls and inject faults, then check the recovery; return the outcome."""
        balancer = Balancer(self.fleet, self.stop_event)
        callers = [
            Caller(
                number, self.seed, self.history, balancer, self.clock, self.stop_event
            )
            for number in range(self.size.callers)
        ]
        for thread in (balancer, *callers):
            thread.start()
        if self.size.copies:
            threading.Thread(target=self.renew_entries, daemon=True).start()
        injector = Injector(self.fleet, self.history, self.clock)
        injector.run(self.started_at)
        time.sleep(max(0.0, self.started_at + self.size.seconds - time.monotonic()))
        self.stop_event.set()
        for thread in (balancer, *callers):
            thread.join()
        injector.heal()
        self.check_recovery(callers[0])
        self.ended.set()
        self.record_target_runs()
        return self.outcome()

    def renew_entries(self) -> None:
        """Write the targets' entries again and again until the run has ended."""
        while not self.ended.wait(HEARTBEAT_S):
            self.fleet.renew_entries()

    def check_recovery(self, caller: Caller) -> None:
        """Record a violation if the fleet has not recovered after the faults.

        Its hosts must be up to date again and answer nearly all of the last calls.
        Hosts that exited by themselves are recorded too.
        """
        if not self.fleet.wait_until_converged(RECOVERY_TIMEOUT_S):
            rows = [host.status() for host in self.fleet.hosts]
            self.history.findings.append(f"the fleet did not recover: {rows}")
        for host in self.fleet.hosts:
            host.record_unexpected_exit()
            if host.exited_unexpectedly:
                self.history.exited_hosts.append(host.name)
        served = sum(
            self.send_final_call(caller, number) for number in range(FINAL_CALLS)
        )
        if served < FINAL_CALLS * MIN_ANSWERED_FRACTION:
            self.history.findings.append(f"served {served} of {FINAL_CALLS} at the end")

    def send_final_call(self, caller: Caller, number: int) -> bool:
        """Send a call on a new connection; return whether it is answered.

        A call that its caller abandons counts as answered.
        """
        caller.close_connection()
        attempt = caller.prepare(1_000_000 + number)
        attempt.key = "k1"
        caller.send(attempt)
        return attempt.abandoned or attempt.status == 200

    def record_target_runs(self) -> None:
        """Record the requests that reached the targets, and those that they ran."""
        for target in self.fleet.targets:
            for run in target.server.standin.runs:
                headers = run.headers
                self.history.runs.append(
                    TargetRun(
                        run.at - self.started_at,
                        target.name,
                        headers.get(names.ATTEMPT.lower(), ""),
                        headers.get(names.WORKSPACE.lower(), ""),
                        "authorization" in headers,
                    )
                )

            for row in target.server.standin.arrivals:
                self.history.arrivals.append(
                    TargetArrival(
                        row.at - self.started_at,
                        target.name,
                        row.attempt,
                        row.rate_limit,
                        row.leaving,
                        row.cooldown_s,
                    )
                )

    def outcome(self) -> Outcome:
        """Check the history and return the outcome."""
        rows: list[Attempt] = list(self.history.attempts.values())
        answered = sum(row.status == 200 and row.body is not None for row in rows)
        runs = len(self.history.runs)
        return Outcome(self.seed, len(rows), answered, runs, self.history.check())
