"""Plays some seconds in which most new connections go to one host.

Each request comes on a new connection, and twice as many come while it lasts. Hosts
are real processes. A connection that is refused, or closed with its request unread, is
tried again at any host; what counts is the first answer of a host that has read it.
Each host that says it is ready has to take new connections all the time.

``python -m soak.floods`` plays one run and prints its outcome.
"""

import contextlib
import enum
import http.client
import json
import random
import socket
import sys
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import defopt

from godwitladder.platform import names
from soak.fleet import Fleet, Host, HostLimits
from soak.host_faults import CONTACT_S, HostFault, await_fleet, make_fleet
from soak.intake import Intake, Try

CALL_TIMEOUT_S = 5.0
UNREAD_PAUSE_S = 0.05
PROBE_INTERVAL_S = 0.5
FLOOD_SHARE = 0.9
"""Share of the new connections that go to one host."""
FLOOD_FACTOR = 2.0
TOO_MANY_REQUESTS = 429
MIN_SERVED_RATIO = 0.75
"""Least share of requests served at the first try, against the time before."""
MIN_COUNTED = 20


class Phase(enum.Enum):
    """Part of a run, by the time since the flood began."""

    BEFORE = "before"
    FIRST = "first"
    FLOOD = "flood"
    AFTER = "after"


@dataclass(frozen=True)
class FloodRunSize:
    """Size of a run: numbers of its parts, its rate before, its durations in seconds.

    Attributes
    ----------
    threads : int
        Number of requests that each host serves at once.
    connections : int
        Number of connections that each host keeps open.
    moves : bool
        Whether a second host takes the place of the first one halfway.
    keeps : bool
        Whether callers keep their connections open, idle, to the end of the run.
    empty_rate : float
        Connections per second to the flooded host that send no request and are left.
    pause_s : float
        Pause of the targets before each event, so that a small host is full.
    """

    hosts: int = 6
    targets: int = 8
    threads: int = 6
    rate: float = 25.0
    before_s: float = 5.0
    flood_s: float = 10.0
    after_s: float = 3.0
    moves: bool = False
    connections: int = 1000
    keeps: bool = False
    empty_rate: float = 0.0
    pause_s: float = 0.1


@dataclass(frozen=True)
class Reading:
    """The first answer of a host that has read a request.

    Attributes
    ----------
    since_s : float
        When the request was sent, in seconds since the flood began.
    status : int
        HTTP status; 0 if the answer broke.
    unread : int
        Number of tries before, whose connections no host read.
    """

    since_s: float
    status: int
    unread: int


@dataclass
class FloodHistory:
    """What callers saw in one run of a given size."""

    size: FloodRunSize
    readings: list[Reading] = field(default_factory=list)
    intake: Intake = field(default_factory=Intake)

    def phase(self, since_s: float) -> Phase:
        """Return the part of the run at ``since_s`` from the flood's begin."""
        if since_s < 0:
            return Phase.BEFORE
        if since_s < CONTACT_S:
            return Phase.FIRST
        return Phase.FLOOD if since_s < self.size.flood_s else Phase.AFTER

    def statuses(self, phase: Phase) -> list[int]:
        """Return the statuses that count in one part of the run."""
        return [
            row.status
            for row in self.readings
            if self.phase(row.since_s) is phase and row.status != TOO_MANY_REQUESTS
        ]

    def served_fraction(self, phase: Phase) -> float | None:
        """Return the share of requests served at the first try; None if too few."""
        statuses = self.statuses(phase)
        if len(statuses) < MIN_COUNTED:
            return None
        return statuses.count(200) / len(statuses)

    def check(self) -> list[str]:
        """Return a line for each violation of a guarantee."""
        lines = self.intake.find_stretches()
        before = self.served_fraction(Phase.BEFORE)
        flood = self.served_fraction(Phase.FLOOD)
        if before is None or flood is None:
            return [*lines, "too few requests were read"]
        if flood < MIN_SERVED_RATIO * before:
            lines.append(f"{flood:.2f} served at the first try, {before:.2f} before")
        return lines


@dataclass(frozen=True)
class FloodOutcome:
    """Result of a run: shares served at the first try, tries that no host read."""

    seed: int
    asked: int
    served: dict[str, float | None]
    statuses: dict[str, dict[int, int]]
    unread: int
    violations: list[str]


class FloodRun:
    """A run on a fleet that has started."""

    def __init__(self, seed: int, size: FloodRunSize, fleet: Fleet) -> None:
        self.seed = seed
        self.size = size
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.history = FloodHistory(size)
        self.lock = threading.Lock()
        self.flooded = self.rng.sample(fleet.hosts, 2)
        self.begin = 0.0
        self.kept = contextlib.ExitStack()
        self.ended = threading.Event()

    def run(self) -> FloodOutcome:
        """Send all requests, then check what callers saw."""
        size = self.size
        self.begin = time.monotonic() + size.before_s
        end = self.begin + size.flood_s + size.after_s
        number = 0
        next_at = time.monotonic()
        with self.kept, ThreadPoolExecutor(400) as pool:
            for host in self.fleet.hosts:
                pool.submit(self.probe, host)
            pool.submit(self.send_empty)
            while next_at < end:
                time.sleep(max(0.0, next_at - time.monotonic()))
                number += 1
                since_s = next_at - self.begin
                pool.submit(self.request, f"r{number}", since_s, self.choose(since_s))
                is_flood = 0 <= since_s < size.flood_s
                rate = size.rate * (FLOOD_FACTOR if is_flood else 1.0)
                next_at += self.rng.expovariate(rate)
            self.ended.set()
        return self.outcome(number)

    def probe(self, host: Host) -> None:
        """Ask a host now and then whether it is ready."""
        while not self.ended.wait(PROBE_INTERVAL_S):
            if not host.is_ready():
                at = time.monotonic() - self.begin
                self.history.intake.unready[host.name].append(at)

    def send_empty(self) -> None:
        """Open connections to the flooded host that send nothing, and leave them."""
        while self.size.empty_rate and not self.ended.wait(1 / self.size.empty_rate):
            address = ("127.0.0.1", self.flooded[0].ports[0])
            with contextlib.suppress(OSError):
                socket.create_connection(address, CALL_TIMEOUT_S).close()

    def choose(self, since_s: float) -> Host:
        """Return the host that gets a new connection."""
        size = self.size
        is_flood = 0 <= since_s < size.flood_s
        if not is_flood or self.rng.random() >= FLOOD_SHARE:
            return self.rng.choice(self.fleet.hosts)
        return self.flooded[size.moves and since_s > size.flood_s / 2]

    def request(self, name: str, since_s: float, host: Host) -> None:
        """Send one request until a host has read it."""
        rng = random.Random(f"{self.seed}-{name}")
        path = rng.choice(("/lookup/x", "/charge/x", "/resume/stream/x"))
        deadline = time.monotonic() + CALL_TIMEOUT_S
        unread = 0
        while time.monotonic() < deadline:
            attempt = f"{name}-{unread}"
            at = time.monotonic() - self.begin
            status = self.call(host, path, attempt)
            taken = status not in (None, TOO_MANY_REQUESTS)
            with self.lock:
                self.history.intake.tries[host.name].append(Try(at, taken))
            if status is not None or self.has_reached_target(attempt):
                reading = Reading(since_s, status or 0, unread)
                with self.lock:
                    self.history.readings.append(reading)
                return
            unread += 1
            time.sleep(UNREAD_PAUSE_S)
            host = rng.choice(self.fleet.hosts)

    def call(self, host: Host, path: str, attempt: str) -> int | None:
        """Send one call; return its status, 0 if it broke, None if it wasn't read."""
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: attempt,
            names.DEADLINE_MS: str(int(CALL_TIMEOUT_S * 1000)),
            "Authorization": "Bearer k1",
        }
        connection = http.client.HTTPConnection(
            host.caller_address, timeout=CALL_TIMEOUT_S
        )
        with contextlib.ExitStack() as stack:
            (self.kept if self.size.keeps else stack).callback(connection.close)
            try:
                connection.request("POST", path, attempt.encode(), headers)
                answer = connection.getresponse()
            except (ConnectionError, http.client.RemoteDisconnected):
                return None
            except OSError:
                return 0
            try:
                answer.read()
            except (OSError, http.client.HTTPException):
                return 0
        return answer.status

    def has_reached_target(self, attempt: str) -> bool:
        """Return whether a host has passed an attempt on."""
        return any(
            row.attempt == attempt
            for target in self.fleet.targets
            for row in target.server.standin.arrivals
        )

    def outcome(self, asked: int) -> FloodOutcome:
        """Check the history and return the outcome."""
        history = self.history
        statuses = {phase: history.statuses(phase) for phase in Phase}
        return FloodOutcome(
            self.seed,
            asked,
            {phase.value: history.served_fraction(phase) for phase in Phase},
            {
                phase.value: {row: rows.count(row) for row in sorted(set(rows))}
                for phase, rows in statuses.items()
            },
            sum(row.unread for row in history.readings),
            history.check(),
        )


def run_flood_seed(
    seed: int, size: FloodRunSize, folder: Path | None = None
) -> FloodOutcome:
    """Run one seed and return its outcome; settings and logs go to ``folder``."""
    with contextlib.ExitStack() as stack:
        limits = HostLimits(size.threads, size.connections)
        fleet = make_fleet(
            stack, folder, size.hosts, size.targets, HostFault.NONE, limits
        )
        for target in fleet.targets:
            target.knobs.pause_s = size.pause_s
        return FloodRun(seed, size, await_fleet(fleet)).run()


def main(
    *,
    seed: int = 1,
    rate: float = 25.0,
    threads: int = 6,
    flood: float = 10.0,
    moves: bool = False,
    hosts: int = 6,
    connections: int = 1000,
    keeps: bool = False,
    empty_rate: float = 0.0,
    pause: float = 0.1,
    after: float = 3.0,
    logs: str = "",
) -> None:
    """Play one run, and exit with status 1 if a guarantee was violated.

    Parameters
    ----------
    seed : int
        Seed of all that is drawn.
    rate : float
        Requests per second before the flood.
    threads : int
        Number of requests that each host serves at once.
    flood : float
        Duration of the flood in seconds.
    moves : bool
        Whether a second host takes the place of the first one halfway.
    hosts : int
        Number of host processes.
    connections : int
        Number of connections that each host keeps open.
    keeps : bool
        Whether callers keep their connections open, idle.
    empty_rate : float
        Connections per second to the flooded host that send no request and are left.
    pause : float
        Pause of the targets before each event in seconds.
    after : float
        Duration of the run after the flood in seconds.
    logs : str
        Directory for the logs of the hosts.
    """
    size = FloodRunSize(
        hosts=hosts,
        threads=threads,
        rate=rate,
        flood_s=flood,
        moves=moves,
        connections=connections,
        keeps=keeps,
        empty_rate=empty_rate,
        pause_s=pause,
        after_s=after,
    )
    outcome = run_flood_seed(seed, size, Path(logs) if logs else None)
    print(json.dumps(vars(outcome)), flush=True)
    sys.exit(1 if outcome.violations else 0)


if __name__ == "__main__":
    defopt.run(main)
