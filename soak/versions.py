"""Plays streams that break, before targets of two versions of their software.

Callers take a broken stream up again at any host, as the host itself may do. Hosts are
real processes, and may be killed, started anew or cut off from their peers meanwhile,
and targets replaced by others of the next version. Each event tells the version of
the target that made it; what callers read is checked.

``python -m soak.versions`` plays one run and prints its outcome.
"""

import contextlib
import http.client
import itertools
import json
import random
import re
import sys
import threading
import time
from dataclasses import dataclass, field
from pathlib import Path

import defopt

from godwitladder.platform import names
from soak.fleet import Fleet, Host
from soak.host_faults import HostFault, HostFaults, await_fleet, make_fleet

CALL_TIMEOUT_S = 10.0
EVENTS = 20
PAUSE_S = 0.02
CUT_PROBABILITY = 0.06
VERSIONS = ("v1", "v2")
NEXT_VERSION = "v3"
MAX_TRIES = 4
RETRY_PAUSE_S = 0.1
ROLL_INTERVAL_S = 1.0
EVENT = re.compile(rb"id: (\d+)\ndata: piece \d+ of (\w+)\n\n")
MAX_MIXED = 2
"""Streams of two versions that may be seen."""
MIN_TAKEN_UP = 12
"""Number of streams taken up from which their share counts."""
MIN_SHARE_RATIO = 0.5
"""Least ratio of the share of streams that go on to that of new ones that begin."""


@dataclass(frozen=True)
class VersionRunSize:
    """Size of a run: numbers of its parts, its faults, its duration in seconds.

    ``pause_s`` is the time between two events of a stream in seconds; ``framed`` tells
    whether streams come in chunks, and others end with their connection;
    ``names_attempt`` tells whether callers name the attempt that they take up; and
    ``bodies`` is the number of different requests, 0 for one of its own a stream;
    ``versions`` is the number of versions that targets have at the start.
    """

    hosts: int = 6
    targets: int = 8
    callers: int = 10
    seconds: float = 20.0
    fault: HostFault = HostFault.NONE
    rolls: bool = False
    framed: bool = True
    pause_s: float = PAUSE_S
    names_attempt: bool = True
    bodies: int = 1
    versions: int = 2


@dataclass
class Stream:
    """What a caller has read of one stream, over all its tries.

    Attributes
    ----------
    first_attempt : str
        Attempt that brought the first event; empty before it.
    events : list of tuple
        Number and version of each event, in order.
    within_answer : bool
        Whether one answer held events of two versions.
    body : bytes
        Body of its request.
    """

    first_attempt: str = ""
    events: list[tuple[int, str]] = field(default_factory=list)
    within_answer: bool = False
    body: bytes = b"x"

    @property
    def is_complete(self) -> bool:
        """Whether the last event was read."""
        return bool(self.events) and self.events[-1][0] == EVENTS

    @property
    def is_mixed(self) -> bool:
        """Whether the stream holds events of two versions."""
        return len({version for _, version in self.events}) > 1

    @property
    def is_in_order(self) -> bool:
        """Whether no event is missing or came twice."""
        numbers = [number for number, _ in self.events]
        return numbers == list(range(1, len(numbers) + 1))


@dataclass
class VersionHistory:
    """What callers observed in one run.

    Attributes
    ----------
    asked, begun : int
        Number of new streams that hosts in touch were asked for, and that began.
    taken_up, went_on : int
        The same for streams that were taken up.
    """

    streams: list[Stream] = field(default_factory=list)
    asked: int = 0
    begun: int = 0
    taken_up: int = 0
    went_on: int = 0

    def check(self) -> list[str]:
        """Return a line for each violation of a guarantee."""
        rows = []
        mixed = [row for row in self.streams if row.is_mixed]
        if len(mixed) > MAX_MIXED:
            inside = sum(row.within_answer for row in mixed)
            rows.append(f"{len(mixed)} streams of two versions, {inside} in one answer")
        disordered = sum(not row.is_in_order for row in self.streams)
        if disordered:
            rows.append(f"{disordered} streams miss an event or hold one twice")
        begun = self.begun / max(1, self.asked)
        went_on = self.went_on / max(1, self.taken_up)
        if self.taken_up >= MIN_TAKEN_UP and went_on < MIN_SHARE_RATIO * begun:
            rows.append(f"{went_on:.2f} went on, {begun:.2f} began")
        return rows


@dataclass(frozen=True)
class VersionOutcome:
    """Result of a run; shares are those of hosts in touch."""

    seed: int
    streams: int
    complete: int
    mixed: int
    within_answer: int
    begun: str
    went_on: str
    violations: list[str]


class VersionRun:
    """A run on a fleet that has started."""

    def __init__(self, seed: int, size: VersionRunSize, fleet: Fleet) -> None:
        self.seed = seed
        self.size = size
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.history = VersionHistory()
        self.lock = threading.Lock()
        self.stop_event = threading.Event()
        self.faults = HostFaults(fleet, size.fault, self.rng, self.stop_event)

    def run(self) -> VersionOutcome:
        """Send all streams and inject the faults, then check what callers read."""
        threads = [
            threading.Thread(target=self.call_until_stopped, args=(number,))
            for number in range(self.size.callers)
        ]
        threads.append(threading.Thread(target=self.faults.run))
        threads.append(threading.Thread(target=self.replace_targets))
        for thread in threads:
            thread.start()
        time.sleep(self.size.seconds)
        self.stop_event.set()
        for thread in threads:
            thread.join()
        return self.outcome()

    def call_until_stopped(self, number: int) -> None:
        """Read one stream after the other."""
        rng = random.Random(f"{self.seed}-{number}")
        count = 0
        while not self.stop_event.wait(PAUSE_S):
            count += 1
            stream = Stream(body=self.make_body(rng, f"{number}-{count}"))
            self.read_stream(rng, stream, f"s{number}-{count}")
            with self.lock:
                self.history.streams.append(stream)

    def make_body(self, rng: random.Random, name: str) -> bytes:
        """Return the body of a new stream."""
        if not self.size.bodies:
            return name.encode()
        if self.size.bodies == 1:
            # Nothing is drawn, so that former seeds draw what they did.
            return b"x"
        return b"x%d" % rng.randrange(self.size.bodies)

    def read_stream(self, rng: random.Random, stream: Stream, name: str) -> None:
        """Read one stream, and take it up again when it breaks."""
        deadline = time.monotonic() + CALL_TIMEOUT_S
        broken: list[tuple[float, int]] = []
        for number in itertools.count():
            self.read_part(rng.choice(self.fleet.hosts), stream, f"{name}-{number}")
            if stream.is_complete or self.stop_event.is_set():
                break
            broken.append((time.monotonic(), len(stream.events)))
            if number + 1 >= MAX_TRIES and not self.may_try_on(deadline):
                break
            time.sleep(RETRY_PAUSE_S)
        self.count_loss(stream, broken)

    def may_try_on(self, deadline: float) -> bool:
        """Return whether a caller goes on until its deadline."""
        is_loss = self.size.fault is HostFault.LOSE_ALL
        return is_loss and time.monotonic() < deadline

    def count_loss(self, stream: Stream, broken: list[tuple[float, int]]) -> None:
        """Count a stream that broke as all hosts were lost, and whether it went on.

        Parameters
        ----------
        broken : list of tuple
            Time and number of events at each break.
        """
        held = [
            events
            for at, events in broken
            if events and any(begin <= at <= end for begin, end in self.faults.losses)
        ]
        if held and not self.stop_event.is_set():
            with self.lock:
                self.history.taken_up += 1
                self.history.went_on += len(stream.events) > held[0]

    def read_part(self, host: Host, stream: Stream, attempt: str) -> None:
        """Send one attempt and read what it brings."""
        sent_at = time.monotonic()
        is_new = not stream.events
        events = self.fetch(host, stream, attempt)
        if is_new and events:
            stream.first_attempt = attempt
        stream.within_answer |= len({version for _, version in events}) > 1
        stream.events += events
        if not self.faults.was_in_touch(host.name, sent_at) or self.is_disturbed(host):
            return
        with self.lock:
            if is_new:
                self.history.asked += 1
                self.history.begun += bool(events)
            elif self.size.fault is not HostFault.LOSE_ALL:
                self.history.taken_up += 1
                self.history.went_on += bool(events)

    def is_disturbed(self, host: Host) -> bool:
        """Return whether the process of a host does not run."""
        return host.process is None or host.process.poll() is not None

    def fetch(self, host: Host, stream: Stream, attempt: str) -> list[tuple[int, str]]:
        """Send one attempt; return the events that it brings."""
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: attempt,
            names.DEADLINE_MS: str(int(CALL_TIMEOUT_S * 1000)),
            "Authorization": "Bearer k1",
        }
        if stream.events:
            headers[names.LAST_EVENT] = str(stream.events[-1][0])
            if self.size.names_attempt:
                headers[names.RESUMES] = stream.first_attempt
        connection = http.client.HTTPConnection(
            host.caller_address, timeout=CALL_TIMEOUT_S
        )
        content = b""
        with contextlib.closing(connection):
            try:
                connection.request("POST", "/resume/stream/x", stream.body, headers)
                answer = connection.getresponse()
                if answer.status != 200:
                    return []
                while block := answer.read1():
                    content += block
            except (OSError, http.client.HTTPException):
                # The stream has broken; what came before counts.
                pass
        return [
            (int(number), version.decode())
            for number, version in EVENT.findall(content)
        ]

    def replace_targets(self) -> None:
        """Replace one target after the other by one of the other version."""
        if not self.size.rolls:
            return
        number = 0
        while not self.stop_event.wait(ROLL_INTERVAL_S):
            target = self.fleet.targets[number % len(self.fleet.targets)]
            number += 1
            target.replace(NEXT_VERSION, self.fleet.write_entry)

    def outcome(self) -> VersionOutcome:
        """Check the history and return the outcome."""
        history = self.history
        return VersionOutcome(
            self.seed,
            len(history.streams),
            sum(row.is_complete for row in history.streams),
            sum(row.is_mixed for row in history.streams),
            sum(row.within_answer for row in history.streams),
            f"{history.begun} of {history.asked}",
            f"{history.went_on} of {history.taken_up}",
            history.check(),
        )


def start_version_fleet(
    stack: contextlib.ExitStack, folder: Path | None, size: VersionRunSize
) -> Fleet:
    """Return a fleet that has started, whose targets are of two versions in turn."""
    fleet = make_fleet(stack, folder, size.hosts, size.targets, size.fault)
    for number, target in enumerate(fleet.targets):
        target.version = target.knobs.version = VERSIONS[number % size.versions]
        target.knobs.pause_s = size.pause_s
        target.knobs.events = EVENTS
        target.knobs.framed = size.framed
        target.knobs.cut_probability = CUT_PROBABILITY
        fleet.write_entry(target, "ready")
    return await_fleet(fleet)


def run_version_seed(
    seed: int, size: VersionRunSize, folder: Path | None = None
) -> VersionOutcome:
    """Run one seed and return its outcome; settings and logs go to ``folder``."""
    with contextlib.ExitStack() as stack:
        fleet = start_version_fleet(stack, folder, size)
        return VersionRun(seed, size, fleet).run()


def main(
    *,
    seed: int = 1,
    seconds: float = 20.0,
    fault: str = HostFault.NONE.value,
    rolls: bool = False,
    framed: bool = True,
    hosts: int = 6,
    unnamed: bool = False,
    bodies: int = 1,
    logs: str = "",
) -> None:
    """Play one run, and exit with status 1 if a guarantee was violated.

    Parameters
    ----------
    seed : int
        Seed of all that callers and faults draw.
    seconds : float
        Duration of the run in seconds.
    fault : str
        What disturbs the hosts: none, kill, cut or lose_all.
    rolls : bool
        Whether targets are replaced by others of a third version.
    framed : bool
        Whether streams come in chunks.
    hosts : int
        Number of host processes.
    unnamed : bool
        Whether callers don't name the attempt that they take up.
    bodies : int
        Number of different requests; 0 for one of its own for each stream.
    logs : str
        Directory for the logs of the hosts.
    """
    size = VersionRunSize(
        hosts=hosts,
        seconds=seconds,
        fault=HostFault(fault),
        rolls=rolls,
        framed=framed,
        names_attempt=not unnamed,
        bodies=bodies,
    )
    outcome = run_version_seed(seed, size, Path(logs) if logs else None)
    print(json.dumps(vars(outcome)), flush=True)
    sys.exit(1 if outcome.violations else 0)


if __name__ == "__main__":
    defopt.run(main)
