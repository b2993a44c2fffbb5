"""Plays requests that end each target that runs them, beside requests that don't.

Hosts are real processes, and may be killed, started anew or cut off from their peers
meanwhile. What the targets got and what callers were answered is checked.

``python -m soak.crashes`` plays one run and prints its outcome.
"""

import contextlib
import http.client
import json
import random
import sys
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field
from pathlib import Path

import defopt

from godwitladder.platform import names
from godwitladder.standins.routed import Ending
from soak.crash_requests import (
    BAD_PART,
    POISON_BODY,
    Group,
    Request,
    Trigger,
    make_bad_request,
    make_sound_request,
)
from soak.fleet import RESTART_S, AddressAfterEnd, Aftermath, Fleet, Host
from soak.host_faults import (
    CONTACT_S,
    HostFault,
    HostFaults,
    await_fleet,
    make_fleet,
)

POISON_INTERVAL_S = 0.35
CALL_TIMEOUT_S = 5.0
MAX_TRIES = 3
MAX_RETRY_DELAY_S = 1.0
PAUSE_S = 0.05
"""Pause of the targets before each event, so that requests run side by side."""
ENDINGS_BEFORE = {Trigger.BODY: 3, Trigger.PART: 5, Trigger.FIRST_PART: 5}
"""Number of targets that such requests may end before further sends count."""
GROUPS = {
    Trigger.BODY: (Group.OWN, Group.SHARED),
    Trigger.PART: (Group.SAME_PARTS, Group.SAME_KEY),
    Trigger.FIRST_PART: (Group.SAME_PARTS, Group.SAME_KEY),
}
"""Sound callers beside them."""
MAX_LATE_SENDS = 3
MIN_SERVED_FRACTION = 0.9
MIN_FIRST_TRY_RATIO = 0.5
"""Share of the sound requests served at the first try, against the time before."""
MIN_COUNTED = 20
"""Number of requests from which such a share counts."""


@dataclass(frozen=True)
class CrashRunSize:
    """Size of a run: numbers of its parts, its faults, its durations in seconds.

    Attributes
    ----------
    callers : tuple of int
        Number of callers of each group of sound ones.
    before_s, seconds : float
        Time without bad requests, and then with them.
    trigger : Trigger
        What of the bad requests ends the targets.
    workspaces : int
        Number of workspaces that send them, 1 or 2.
    aftermath : Aftermath
        What follows when a target has ended.
    deadline_s : float
        Deadline of the bad requests.
    patience_s : float
        Time after which their callers leave.
    """

    hosts: int = 6
    targets: int = 8
    callers: tuple[int, int] = (8, 4)
    before_s: float = 0.0
    seconds: float = 20.0
    trigger: Trigger = Trigger.BODY
    workspaces: int = 1
    path: str = "/stream/stream/x"
    ending: Ending = Ending.AFTER_HEAD
    fault: HostFault = HostFault.NONE
    aftermath: Aftermath = Aftermath()
    deadline_s: float = CALL_TIMEOUT_S
    patience_s: float = CALL_TIMEOUT_S


@dataclass(frozen=True)
class FirstTry:
    """The first try of a sound request."""

    at: float
    host: str
    group: Group
    is_served: bool


@dataclass
class CrashHistory:
    """What was observed in one run; times are monotonic seconds.

    Attributes
    ----------
    trigger : Trigger
        What of the bad requests ends the targets.
    begin : float
        When the first bad request was sent.
    sent_by : dict
        Host that each attempt of the poison request was sent to.
    statuses : list of int
        HTTP status of each of them; 0 for a broken answer.
    endings : list of float
        When a target ended.
    arrivals : list of tuple
        Time and attempt of each arrival of the poison request at a target.
    was_in_touch : callable
        Returns whether a host was in touch at some time.
    asked, served : dict
        Number of requests of each group of callers, and of those that were served.
        Those that failed as all hosts were lost are left out.
    first_tries : list of FirstTry
        The first try of each of them.
    """

    trigger: Trigger = Trigger.BODY
    begin: float = 0.0
    sent_by: dict[str, str] = field(default_factory=dict)
    statuses: list[int] = field(default_factory=list)
    endings: list[float] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    was_in_touch: Callable[[str, float], bool] = lambda host, at: True
    asked: dict[Group, int] = field(default_factory=lambda: dict.fromkeys(Group, 0))
    served: dict[Group, int] = field(default_factory=lambda: dict.fromkeys(Group, 0))
    first_tries: list[FirstTry] = field(default_factory=list)

    def late_arrivals(self) -> list[tuple[float, str]]:
        """Return the arrivals that hosts in touch sent when they had to know."""
        allowed = ENDINGS_BEFORE[self.trigger]
        if len(self.endings) < allowed:
            return []
        from_s = sorted(self.endings)[allowed - 1] + CONTACT_S
        return [
            (at, attempt)
            for at, attempt in self.arrivals
            if at > from_s and self.was_in_touch(self.sent_by[attempt], at)
        ]

    def served_fraction(self, group: Group) -> float:
        """Return the fraction of a group's requests that were served."""
        return self.served[group] / max(1, self.asked[group])

    def settled_at(self) -> float:
        """Return the time from which sound requests must be served again."""
        endings = sorted(self.endings)[: ENDINGS_BEFORE[self.trigger]]
        return (endings[-1] if endings else self.begin) + 2 * CONTACT_S

    def first_try_ratio(self, group: Group) -> float | None:
        """Return how often first tries are served in the end, against the beginning.

        None if too few of either count. Tries at hosts that were not in touch don't.
        """
        rows = [
            row
            for row in self.first_tries
            if row.group is group and self.was_in_touch(row.host, row.at)
        ]
        before = [row.is_served for row in rows if row.at < self.begin]
        after = [row.is_served for row in rows if row.at > self.settled_at()]
        if min(len(before), len(after)) < MIN_COUNTED or not any(before):
            return None
        return (sum(after) / len(after)) / (sum(before) / len(before))

    def check(self) -> list[str]:
        """Return a line for each violation of a guarantee."""
        late = len(self.late_arrivals())
        rows = []
        if late > MAX_LATE_SENDS:
            rows.append(f"the requests reached {late} targets after they were known")
        for group in GROUPS[self.trigger]:
            fraction = self.served_fraction(group)
            if fraction < MIN_SERVED_FRACTION:
                rows.append(f"{fraction:.2f} of the {group.value} requests were served")
            ratio = self.first_try_ratio(group)
            if ratio is not None and ratio < MIN_FIRST_TRY_RATIO:
                text = f"{ratio:.2f} times as many {group.value} requests as before"
                rows.append(f"{text} were served at the first try")
        return rows


@dataclass(frozen=True)
class CrashOutcome:
    """Result of a run: numbers of endings, arrivals, late ones; served fractions.

    ``first_tries`` compares those served at the first try with the time before; None
    if too few count.
    """

    seed: int
    endings: int
    arrivals: int
    late: int
    statuses: dict[int, int]
    asked: dict[str, int]
    served: dict[str, float]
    first_tries: dict[str, float | None]
    violations: list[str]


class CrashRun:
    """A run on a fleet that has started."""

    def __init__(self, seed: int, size: CrashRunSize, fleet: Fleet) -> None:
        self.size = size
        self.seed = seed
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.lock = threading.Lock()
        self.stop_event = threading.Event()
        self.faults = HostFaults(fleet, size.fault, self.rng, self.stop_event)
        self.history = CrashHistory(
            trigger=size.trigger, was_in_touch=self.faults.was_in_touch
        )

    def run(self) -> CrashOutcome:
        """Send all requests and inject the faults, then check what happened."""
        self.prepare_targets()
        rows = zip(GROUPS[self.size.trigger], self.size.callers, strict=True)
        groups = [group for group, count in rows for _ in range(count)]
        threads = [
            threading.Thread(target=self.call_until_stopped, args=(number, group))
            for number, group in enumerate(groups)
        ]
        threads.append(threading.Thread(target=self.faults.run))
        for thread in threads:
            thread.start()
        time.sleep(self.size.before_s)
        self.send_poison_requests()
        self.stop_event.set()
        for thread in threads:
            thread.join()
        self.record_targets()
        return self.outcome()

    def prepare_targets(self) -> None:
        """Let the bad requests end the targets."""
        for target in self.fleet.targets:
            if self.size.trigger is Trigger.BODY:
                target.knobs.ends_on = POISON_BODY
            else:
                target.knobs.ends_on_part = BAD_PART
            target.knobs.ending = self.size.ending
            target.knobs.pause_s = PAUSE_S
            target.aftermath = self.size.aftermath

    def send_poison_requests(self) -> None:
        """Send bad requests again and again, to any host."""
        self.history.begin = time.monotonic()
        end = self.history.begin + self.size.seconds
        number = 0
        with ThreadPoolExecutor(32) as pool:
            while time.monotonic() < end:
                number += 1
                host = self.rng.choice(self.fleet.hosts)
                attempt = f"g{number}"
                self.history.sent_by[attempt] = host.name
                request = make_bad_request(
                    self.size.trigger, number, self.size.workspaces, self.rng
                )
                pool.submit(self.send_poison_request, host, attempt, request)
                time.sleep(POISON_INTERVAL_S)

    def send_poison_request(self, host: Host, attempt: str, request: Request) -> None:
        """Send a bad request once."""
        size = self.size
        status, _ = self.call(
            host, size.path, request, attempt, size.deadline_s, size.patience_s
        )
        with self.lock:
            self.history.statuses.append(status)

    def call_until_stopped(self, number: int, group: Group) -> None:
        """Send requests that end no target, one after the other."""
        rng = random.Random(f"{self.seed}-{number}")
        count = 0
        while not self.stop_event.wait(0.02):
            count += 1
            name = f"c{number}-{count}"
            began = time.monotonic()
            is_served = self.request(rng, name, group)
            if not is_served and self.was_without_hosts(began, time.monotonic()):
                continue
            with self.lock:
                self.history.asked[group] += 1
                self.history.served[group] += is_served

    def was_without_hosts(self, begin: float, end: float) -> bool:
        """Return whether all hosts were lost in a time, or `CONTACT_S` before it."""
        return self.faults.is_losing_all or any(
            lost_at <= end and begin <= back_at + CONTACT_S
            for lost_at, back_at in self.faults.losses
        )

    def request(self, rng: random.Random, name: str, group: Group) -> bool:
        """Send one request until it is served; return whether it was."""
        path = self.size.path
        if self.size.trigger is Trigger.BODY:
            path = rng.choice(("/lookup/x", "/resume/stream/x"))
        request = make_sound_request(group, name, rng)
        for number in range(MAX_TRIES):
            host = rng.choice(self.fleet.hosts)
            at = time.monotonic()
            status, retry_after_s = self.call(host, path, request, f"{name}-{number}")
            if number == 0:
                row = FirstTry(at, host.name, group, status == 200)
                self.history.first_tries.append(row)
            if status == 200:
                return True
            if number + 1 < MAX_TRIES:
                time.sleep(min(retry_after_s, MAX_RETRY_DELAY_S))
        return False

    def call(
        self,
        host: Host,
        path: str,
        request: Request,
        attempt: str,
        deadline_s: float = CALL_TIMEOUT_S,
        patience_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, float]:
        """Send one call; return its status and Retry-After, 0 if it failed."""
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: attempt,
            names.DEADLINE_MS: str(int(deadline_s * 1000)),
            **request.headers(),
        }
        connection = http.client.HTTPConnection(host.caller_address, timeout=patience_s)
        with contextlib.closing(connection):
            try:
                connection.request("POST", path, request.body, headers)
                answer = connection.getresponse()
                answer.read()
            except (OSError, http.client.HTTPException):
                return 0, 0.0
        return answer.status, float(answer.getheader("Retry-After") or 0.0)

    def record_targets(self) -> None:
        """Record what the targets got of the poison request."""
        for target in self.fleet.targets:
            engine = target.server.standin
            self.history.endings += engine.endings
            self.history.arrivals += [
                (row.at, row.attempt)
                for row in engine.arrivals
                if row.attempt in self.history.sent_by
            ]

    def outcome(self) -> CrashOutcome:
        """Check the history and return the outcome."""
        history = self.history
        statuses = history.statuses
        groups = GROUPS[history.trigger]
        return CrashOutcome(
            self.seed,
            len(history.endings),
            len(history.arrivals),
            len(history.late_arrivals()),
            {status: statuses.count(status) for status in sorted(set(statuses))},
            {group.value: history.asked[group] for group in groups},
            {group.value: round(history.served_fraction(group), 3) for group in groups},
            {group.value: history.first_try_ratio(group) for group in groups},
            history.check(),
        )


def start_crash_fleet(
    stack: contextlib.ExitStack, folder: Path | None, size: CrashRunSize
) -> Fleet:
    """Return a fleet that has started and whose targets end when they are told to."""
    fleet = make_fleet(stack, folder, size.hosts, size.targets, size.fault)
    for target in fleet.targets:
        target.server.standin.on_end = lambda ending, target=target: target.end(
            ending, fleet.write_entry
        )
    return await_fleet(fleet)


def run_crash_seed(
    seed: int, size: CrashRunSize, folder: Path | None = None
) -> CrashOutcome:
    """Run one seed and return its outcome; settings and logs go to ``folder``."""
    with contextlib.ExitStack() as stack:
        return CrashRun(seed, size, start_crash_fleet(stack, folder, size)).run()


def main(
    *,
    seed: int = 1,
    before: float = 0.0,
    seconds: float = 20.0,
    trigger: str = Trigger.BODY.value,
    workspaces: int = 1,
    path: str = "/stream/stream/x",
    ending: str = Ending.AFTER_HEAD.value,
    fault: str = HostFault.NONE.value,
    hosts: int = 6,
    targets: int = 8,
    address: str = AddressAfterEnd.REFUSES.value,
    restart: float = RESTART_S,
    keep_entry: bool = False,
    deadline: float = CALL_TIMEOUT_S,
    patience: float = CALL_TIMEOUT_S,
    logs: str = "",
) -> None:
    """Play one run, and exit with status 1 if a guarantee was violated.

    Parameters
    ----------
    seed : int
        Seed of all that is drawn.
    before : float
        Duration without bad requests, in seconds.
    seconds : float
        Duration with them, in seconds.
    trigger : str
        What of a request ends targets: body, part or first_part.
    workspaces : int
        Number of workspaces that send such requests, 1 or 2.
    path : str
        Path of the bad requests.
    ending : str
        When targets end under it: before_head, after_head, mid_stream or silent.
    fault : str
        What disturbs the hosts: none, kill, cut, cut_store, freeze or lose_all.
    hosts : int
        Number of host processes.
    targets : int
        Number of targets.
    address : str
        How the address of a target that has ended behaves: refuses, closes, holds
        or taken.
    restart : float
        Seconds until a new process of it has started.
    keep_entry : bool
        Whether its entry stays until then.
    deadline : float
        Deadline of the bad requests, in seconds.
    patience : float
        Time after which their callers leave, in seconds.
    logs : str
        Directory for the logs of the hosts.
    """
    size = CrashRunSize(
        hosts=hosts,
        targets=targets,
        aftermath=Aftermath(AddressAfterEnd(address), restart, not keep_entry),
        before_s=before,
        seconds=seconds,
        trigger=Trigger(trigger),
        workspaces=workspaces,
        path=path,
        ending=Ending(ending),
        fault=HostFault(fault),
        deadline_s=deadline,
        patience_s=patience,
    )
    outcome = run_crash_seed(seed, size, Path(logs) if logs else None)
    print(json.dumps(vars(outcome)), flush=True)
    sys.exit(1 if outcome.violations else 0)


if __name__ == "__main__":
    defopt.run(main)
