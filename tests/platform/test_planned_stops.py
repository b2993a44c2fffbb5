"""Calls of real hosts that stop: each gets its answer, or a refusal that is true."""

import contextlib
import http.client
import itertools
import signal
import threading
import time
from typing import NamedTuple

import pytest

from godwitladder.platform import names
from tests.fleet import wait_until
from tests.platform.test_hosts import Fleet, make_config
from tests.serving.test_passing import route

GRACE_S = 8.0
CALLERS = 24
REFUSED = (429, 503)
ROUTE_TIMEOUT_S = 5.0


class Answer(NamedTuple):
    """A call: attempt, times of its start and end, and status; 0 if cut."""

    attempt: str
    sent: float
    ended: float
    status: int

    def is_expected(self):
        """Return whether the status may come; 504 may once the route's time is over."""
        if self.status == 504:
            return self.ended - self.sent >= ROUTE_TIMEOUT_S
        return self.status in (0, 200, *REFUSED)


class Caller(threading.Thread):
    """Calls one host again and again, on kept or new connections.

    Attributes
    ----------
    answers : list of Answer
    """

    def __init__(self, number, host, path, keeps, until):
        super().__init__(daemon=True)
        self.number, self.host, self.path = number, host, path
        self.keeps, self.until = keeps, until
        self.answers = []
        self.connection = None

    def run(self):
        for count in itertools.count():
            if self.until.is_set():
                return
            attempt, sent = f"c{self.number}-{count}", time.monotonic()
            try:
                status = self.call(attempt)
            except ConnectionRefusedError:
                return
            except (OSError, http.client.HTTPException):
                status = 0
                self.connection = None
            self.answers.append(Answer(attempt, sent, time.monotonic(), status))
            time.sleep(0.02)

    def call(self, attempt):
        if self.connection is None or not self.keeps:
            self.connection = http.client.HTTPConnection(
                "127.0.0.1", self.host.ports[0], timeout=12
            )
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: attempt,
            names.DEADLINE_MS: "9000",
            "Authorization": "Bearer k1",
        }
        self.connection.request("POST", self.path, b"", headers)
        answer = self.connection.getresponse()
        body = answer.read()
        if answer.status == 200 and "/stream/" in self.path:
            return 200 if body.count(b"id: ") == self.events else 0
        return answer.status


def stop(fleet, host, path, keeps=True, events=5, second_signal=False, away=False):
    """Stop ``host`` while it is called; return attempts that ran without an answer."""
    until = threading.Event()
    callers = [Caller(n, host, path, keeps, until) for n in range(CALLERS)]
    for caller in callers:
        caller.events = events
        caller.start()
    time.sleep(1.0)
    if away:
        fleet.store.standin.knobs.status = 503
    began = time.monotonic()
    host.process.send_signal(signal.SIGTERM)
    if second_signal:
        time.sleep(1.0)
        host.process.send_signal(signal.SIGTERM)
    assert host.process.wait(GRACE_S + 2) == 0
    took_s = time.monotonic() - began
    until.set()
    for caller in callers:
        caller.join(15)
    answers = [row for caller in callers for row in caller.answers]
    engines = [row.standin for row in fleet.engines.values()]
    runs = {run.headers[names.ATTEMPT.lower()] for row in engines for run in row.runs}
    statuses = {row.attempt: row.status for row in answers}
    assert took_s <= GRACE_S
    assert any(status in REFUSED for status in statuses.values())
    assert not [row for row in runs if statuses.get(row) in REFUSED]
    assert [row for row in answers if not row.is_expected()] == []
    return [
        (row.attempt, round(row.sent - began, 2))
        for row in answers
        if row.status == 0 and row.attempt in runs
    ]


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield Fleet(stack, tmp_path)


def set_knobs(fleet, **knobs):
    for engine in fleet.engines.values():
        for name, value in knobs.items():
            setattr(engine.standin.knobs, name, value)


def give_slots(fleet, slots):
    for name in fleet.engines:
        fleet.register_engine(name, slots=slots)


@pytest.mark.parametrize("keeps", [True, False])
@pytest.mark.parametrize("run_s", [0.2, 4.2])
def test_runs_that_fit_into_the_grace_end_with_their_answers(fleet, run_s, keeps):
    """Guards against calls that are passed on and cut at the end of the grace."""
    give_slots(fleet, 24)
    set_knobs(fleet, pause_s=run_s)
    assert stop(fleet, fleet.hosts[0], "/charge/x", keeps) == []


def test_calls_that_wait_for_a_place_are_answered_or_refused(fleet):
    """Guards against a call that waits and is passed on just before the end."""
    give_slots(fleet, 2)
    set_knobs(fleet, pause_s=1.9)
    assert stop(fleet, fleet.hosts[0], "/charge/x") == []


def test_streams_end_whole(fleet):
    give_slots(fleet, 24)
    set_knobs(fleet, pause_s=0.4, events=9)
    assert stop(fleet, fleet.hosts[0], "/stream/x", events=9) == []


def test_a_second_signal_cuts_nothing(fleet):
    give_slots(fleet, 24)
    set_knobs(fleet, pause_s=3.5)
    assert stop(fleet, fleet.hosts[0], "/charge/x", second_signal=True) == []


def test_a_stop_while_the_store_is_away_cuts_nothing(fleet):
    give_slots(fleet, 24)
    set_knobs(fleet, pause_s=3.5)
    assert stop(fleet, fleet.hosts[0], "/charge/x", away=True) == []


LATE_S = 3.1
"""Time from SIGTERM after which a call that is passed on may not be cut."""
LONG_RUN_S = 4.7
"""A run that outlasts the grace if it begins that late, and not its route's time."""
PATIENT_S = 15.0
"""Time of the routes whose calls wait for longer than a stop takes."""
PATIENT_ROUTES = [
    route("lookup", "idempotent", timeoutMs=PATIENT_S * 1000),
    route("charge", "non_idempotent", maxAttempts=1, timeoutMs=PATIENT_S * 1000),
]


class OneCall(threading.Thread):
    """One call on a connection that may have been used before."""

    def __init__(self, host, path, attempt):
        super().__init__(daemon=True)
        self.path, self.attempt = path, attempt
        self.status, self.retry_after, self.ended = None, None, 0.0
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", host.ports[0], timeout=PATIENT_S + 1
        )

    def use_before(self):
        """Make a call that leaves the connection open."""
        assert self.ask(f"{self.attempt}-before") == 200

    def run(self):
        try:
            self.status = self.ask(self.attempt)
        except (OSError, http.client.HTTPException):
            self.status = 0
        self.ended = time.monotonic()

    def ask(self, attempt):
        headers = {
            "Host": "shop.example",
            names.ATTEMPT: attempt,
            names.DEADLINE_MS: str(int(PATIENT_S * 1000)),
            "Authorization": "Bearer k1",
        }
        self.connection.request("POST", self.path, attempt.encode(), headers)
        answer = self.connection.getresponse()
        answer.read()
        self.retry_after = answer.getheader("Retry-After")
        return answer.status


def attempts_run(fleet):
    """Return the attempts that any target has begun to run."""
    engines = [row.standin for row in fleet.engines.values()]
    return {run.headers[names.ATTEMPT.lower()] for row in engines for run in row.runs}


def set_routes(fleet, routes):
    """Put ``routes`` in force at all hosts."""
    fleet.store.standin.put_config(make_config(2) | {"routes": routes})
    wait_until(
        lambda: all(host.status()["version"] == 2 for host in fleet.hosts), "routes"
    )


def listed_hosts(fleet):
    """Return the addresses of the hosts that the store lists."""
    return fleet.store.standin.topics[names.HOSTS_TOPIC].newest()


def lose_targets(fleet):
    for name in fleet.engines:
        fleet.store.standin.put("keyed.servers", name, b"")


def let_targets_leave(fleet):
    for name in fleet.engines:
        fleet.register_engine(name, state="draining")


def start_calls(host, sent):
    """Start a call that may be repeated and one that may not; return them."""
    calls = [OneCall(host, f"/{kind}/x", f"{kind}-{sent}") for kind in KINDS]
    for call in calls:
        call.start()
    return calls


KINDS = ("lookup", "charge")


@pytest.mark.parametrize(
    ("path", "mute_s", "has_hangup"),
    [
        ("/stream/x", 6.0, False),
        ("/charge/x", 6.0, False),
        ("/charge/x", 0.9, False),
        ("/charge/x", 6.0, True),
    ],
)
def test_a_stop_beside_a_silent_store_cuts_no_late_call(
    fleet, path, mute_s, has_hangup
):
    """Guards against a stop that waits for the store and takes calls in meanwhile."""
    give_slots(fleet, 24)
    set_knobs(fleet, pause_s=0.0, events=47)
    host = fleet.hosts[0]
    # A host without an entry has nothing to tell the store.
    wait_until(lambda: host.peer in listed_hosts(fleet), "an entry of the host")
    calls = [OneCall(host, path, f"late-{n}") for n in range(6)]
    for call in calls:
        call.use_before()
    set_knobs(fleet, pause_s=LONG_RUN_S if "charge" in path else LONG_RUN_S / 47)
    fleet.store.standin.knobs.mute_s = mute_s
    if has_hangup:
        host.process.send_signal(signal.SIGHUP)
        time.sleep(0.2)
    host.process.send_signal(signal.SIGTERM)
    time.sleep(LATE_S)
    for call in calls:
        call.start()
    assert host.process.wait(GRACE_S) == 0
    for call in calls:
        call.join(PATIENT_S)
    runs = attempts_run(fleet)
    assert [row.attempt for row in calls if row.attempt in runs] == []


@pytest.mark.parametrize("lose", [lose_targets, let_targets_leave])
def test_calls_that_wait_for_a_service_without_targets_are_refused(fleet, lose):
    """Guards against a stop that ends without a word to calls that still wait."""
    set_routes(fleet, PATIENT_ROUTES)
    lose(fleet)
    host = fleet.hosts[0]
    wait_until(
        lambda: set(host.status()["targets"].values()) <= {"leaving"}, "no targets"
    )
    calls = start_calls(host, "before")
    time.sleep(1.0)
    began = time.monotonic()
    host.process.send_signal(signal.SIGTERM)
    time.sleep(1.0)
    calls += start_calls(host, "after")
    assert host.process.wait(GRACE_S) == 0
    for call in calls:
        call.join(PATIENT_S)
    assert [row.status for row in calls] == [503] * len(calls)
    assert all(row.retry_after for row in calls)
    assert all(row.ended - began < GRACE_S - 1.0 for row in calls)


@pytest.mark.parametrize("kind", KINDS)
def test_a_call_that_outlasts_the_stop_is_told_that_it_may_have_run(fleet, kind):
    """Guards against a call at a target that ends with a closed connection."""
    set_routes(fleet, PATIENT_ROUTES)
    set_knobs(fleet, pause_s=12.0)
    host = fleet.hosts[0]
    call = OneCall(host, f"/{kind}/x", "long")
    call.start()
    wait_until(lambda: "long" in attempts_run(fleet), "the run")
    host.process.send_signal(signal.SIGTERM)
    assert host.process.wait(GRACE_S) == 0
    call.join(PATIENT_S)
    assert call.status == 502


def test_calls_that_wait_for_full_targets_are_refused(fleet):
    """Guards against a stop that leaves calls in the queue of full targets."""
    set_routes(fleet, PATIENT_ROUTES)
    set_knobs(fleet, pause_s=12.0)
    host = fleet.hosts[0]
    calls = [OneCall(host, "/charge/x", f"full-{n}") for n in range(8)]
    for call in calls:
        call.start()
    wait_until(lambda: len(attempts_run(fleet)) == 4, "full targets")
    host.process.send_signal(signal.SIGTERM)
    assert host.process.wait(GRACE_S) == 0
    for call in calls:
        call.join(PATIENT_S)
    runs = attempts_run(fleet)
    statuses = {row.attempt: row.status for row in calls}
    assert {statuses[name] for name in runs} == {502}
    assert {statuses[name] for name in statuses.keys() - runs} == {503}
