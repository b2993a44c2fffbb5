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
from tests.platform.test_hosts import Fleet

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
