"""Plays one seed: starts a fleet, lets callers call, injects faults, checks."""

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
from soak.plan import draw
from soak.records import Attempt, History, TargetRun

START_S = 40.0
RECOVER_S = 40.0
"""Bounds of waits, far above what is promised: a busy machine is no fault."""
LAST_CALLS = 20
SERVED_SHARE = 0.9


@dataclass(frozen=True)
class Size:
    """How large one run is."""

    hosts: int = 4
    targets: int = 3
    callers: int = 6
    faults: int = 8
    seconds: float = 12.0


@dataclass(frozen=True)
class Outcome:
    """What one run showed."""

    seed: int
    calls: int
    answered: int
    runs: int
    broken: list[str]


def play(seed: int, size: Size, folder: Path | None = None) -> Outcome:
    """Play one seed; logs of the hosts go to ``folder``."""
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = Fleet(stack, folder, size.hosts, size.targets)
        if not fleet.wait_whole(START_S):
            return Outcome(seed, 0, 0, 0, ["the hosts did not find each other"])
        return Play(seed, size, fleet).run()


class Play:
    """One run on a fleet that stands."""

    def __init__(self, seed: int, size: Size, fleet: Fleet) -> None:
        self.seed = seed
        self.size = size
        self.fleet = fleet
        self.began = time.monotonic()
        self.history = History(draw(seed, size.seconds, size.faults))
        self.over = threading.Event()

    def clock(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.began

    def run(self) -> Outcome:
        """Return what the run showed."""
        balancer = Balancer(self.fleet, self.over)
        callers = [
            Caller(number, self.seed, self.history, balancer, self.clock, self.over)
            for number in range(self.size.callers)
        ]
        for thread in (balancer, *callers):
            thread.start()
        injector = Injector(self.fleet, self.history, self.clock)
        injector.run(self.began)
        time.sleep(max(0.0, self.began + self.size.seconds - time.monotonic()))
        self.over.set()
        for thread in (balancer, *callers):
            thread.join()
        injector.heal()
        self.see_recovery(callers[0])
        self.see_targets()
        return self.outcome()

    def see_recovery(self, caller: Caller) -> None:
        """Hold against the promises what the fleet does once all is well."""
        if not self.fleet.wait_whole(RECOVER_S):
            rows = [host.status() for host in self.fleet.hosts]
            self.history.findings.append(f"the fleet did not recover: {rows}")
        for host in self.fleet.hosts:
            host.note_end()
            if host.ended_itself:
                self.history.ended.append(host.name)
        served = sum(self.is_served(caller, number) for number in range(LAST_CALLS))
        if served < LAST_CALLS * SERVED_SHARE:
            self.history.findings.append(f"served {served} of {LAST_CALLS} at the end")

    def is_served(self, caller: Caller, number: int) -> bool:
        """Send one call at the end, and return whether it is answered."""
        caller.hang_up()
        attempt = caller.begin(1_000_000 + number)
        attempt.key = "k1"
        caller.send(attempt)
        return attempt.left or attempt.status == 200

    def see_targets(self) -> None:
        """Take in what targets ran."""
        for target in self.fleet.targets:
            for run in target.server.standin.runs:
                headers = run.headers
                self.history.runs.append(
                    TargetRun(
                        run.at - self.began,
                        target.name,
                        headers.get(names.ATTEMPT.lower(), ""),
                        headers.get(names.WORKSPACE.lower(), ""),
                        "authorization" in headers,
                    )
                )

    def outcome(self) -> Outcome:
        """Return the run in short."""
        rows: list[Attempt] = list(self.history.attempts.values())
        answered = sum(row.status == 200 and row.body is not None for row in rows)
        runs = len(self.history.runs)
        return Outcome(self.seed, len(rows), answered, runs, self.history.check())
