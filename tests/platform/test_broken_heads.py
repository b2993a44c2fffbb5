"""Real hosts whose targets send heads and chunks that are no HTTP, or rare ones."""

import contextlib
import http.client
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass

import pytest

from godwitladder.platform import names
from soak.fleet import Fleet
from soak.proxy import CutMode
from tests.engines.odd_heads import BODY, BROKEN, VALID, add_fields
from tests.fleet import wait_until

CONVERGED_S = 30.0
TIMEOUT_S = 10.0
SENDERS = 4
KINDS = {
    "/charge/x": b"",
    "/lookup/x": b"",
    "/stream/x": b"Content-Type: text/event-stream\r\n",
}
"""Fields of the answers on each route."""
NOT_RUN = {408, 421, 429, 503}
"""Statuses that promise that a call has not run."""
LOOKUP_STEP = 10
"""Every tenth answer is that to a lookup, which waits for another target each time."""
MIN_SENT = 0.95
"""Share of the calls that reach a target; a host may refuse others for its own sake."""


@dataclass(frozen=True)
class Call:
    """A call whose target answers as told, and what its caller got.

    Attributes
    ----------
    status : int
        Status of the answer; 0 if there was none.
    body : bytes or None
        Body of the answer; None if the caller saw that it broke.
    runs : int
        Number of times that it was sent to a target.
    """

    path: str
    name: str
    status: int
    body: bytes | None
    runs: int


def send(host, path, attempt):
    """Return the status and body of a call, as in `Call`."""
    headers = {
        "Host": "shop.example",
        "Authorization": "Bearer k1",
        names.ATTEMPT: attempt,
    }
    connection = http.client.HTTPConnection(
        "127.0.0.1", host.ports[0], timeout=TIMEOUT_S
    )
    with contextlib.closing(connection):
        try:
            # No request looks like one that ended a target before.
            connection.request("POST", path, attempt.encode(), headers)
            answer = connection.getresponse()
        except (OSError, http.client.HTTPException):
            return 0, None
        try:
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return answer.status, None


def call_all(fleet, host, answers):
    """Return a call for each answer and route."""
    rows = {}
    for path, fields in KINDS.items():
        step = LOOKUP_STEP if path == "/lookup/x" else 1
        for name in list(answers)[::step]:
            attempt = f"a{len(rows)}"
            own = f"{names.ATTEMPT}: {attempt}\r\n{names.SIGNATURE}: s\r\n".encode()
            rows[attempt] = path, name, add_fields(answers[name], own + fields)
    raw_answers = {attempt: answer for attempt, (_, _, answer) in rows.items()}
    for target in fleet.targets:
        target.knobs.raw_answers = raw_answers
        target.knobs.pause_s = 0.0

    def call(attempt):
        path, name, _ = rows[attempt]
        status, body = send(host, path, attempt)
        sent = [
            run
            for target in fleet.targets
            for run in list(target.server.standin.runs)
            if run.headers[names.ATTEMPT.lower()] == attempt
        ]
        return Call(path, name, status, body, len(sent))

    with ThreadPoolExecutor(SENDERS) as senders:
        return list(senders.map(call, rows))


@pytest.fixture(params=[False, True], ids=["direct", "through_peer"])
def reach(request, tmp_path):
    """Return a fleet and a host, whose way to targets leads through another or not."""
    with contextlib.ExitStack() as stack:
        fleet = Fleet(stack, tmp_path, hosts=2, targets=3, has_own_paths=True)
        assert fleet.wait_until_converged(CONVERGED_S)
        host = fleet.hosts[0]
        if request.param:
            host.cut_paths(CutMode.RESET)
            wait_until(lambda: send(host, "/charge/x", "first")[0] == 200, "a tunnel")
        yield fleet, host


def test_a_broken_answer_of_a_target_is_told_as_none(reach):
    """Guards against bytes of a target in trouble that a caller gets as its answer."""
    calls = call_all(*reach, BROKEN)
    complete = [row for row in calls if row.status == 200 and row.body is not None]
    assert [(row.path, row.name, row.body) for row in complete] == []
    sent = [row for row in calls if row.runs]
    assert len(sent) >= MIN_SENT * len(calls)
    assert [row for row in sent if row.status in NOT_RUN] == []
    assert [row for row in calls if row.runs > 1 and row.path != "/lookup/x"] == []


def test_a_rare_answer_of_a_target_is_served(reach):
    """Guards against a host that refuses what HTTP allows."""
    calls = call_all(*reach, VALID)
    served = [row for row in calls if (row.status, row.body) == (200, BODY)]
    assert [row for row in calls if row not in served] == []
