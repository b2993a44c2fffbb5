"""Rollouts by hosts as real processes, with stand-ins for the store and engines."""

import contextlib
import json
import signal
import time

import pytest

from godwitladder.platform import names
from tests.fleet import wait_until
from tests.platform.rollout_fleet import RolloutFleet
from tests.platform.test_hosts import make_config

DURATION_S = 8.0
MAX_ORDERS = 3
MARGIN_S = 1.0
"""Time for the last calls on their way when an outcome is written."""


@pytest.fixture
def fleet(tmp_path):
    with contextlib.ExitStack() as stack:
        yield RolloutFleet(stack, tmp_path)


def begin(fleet, **knobs):
    """Let callers call, start the new version and order it; return the time."""
    fleet.start_callers()
    wait_until(lambda: fleet.statuses[200] > 60, "calls")
    fleet.start_new_version(**knobs)
    fleet.order(DURATION_S)
    return time.monotonic()


def outcome(fleet):
    states = fleet.states()
    return states[-1] if states and states[-1] != "running" else ""


def first_writer(fleet):
    """Return the host that wrote the first status."""
    line = b"Wrote the status of a rollout"

    def writers():
        return [row for row in fleet.hosts if line in row.log_path.read_bytes()]

    wait_until(writers, "the first status")
    (writer,) = writers()
    return writer


def complete(fleet):
    """Order a good version until it is completed, at most `MAX_ORDERS` times.

    A stall of the machine in the last half second of a rollout leaves calls without an
    answer; the version is then rolled back, which errs on the safe side.
    """
    for number in range(1, MAX_ORDERS + 1):
        ordered_at = time.monotonic()
        wait_until(lambda: len(fleet.states()) == 2 * number, "an outcome")  # noqa: B023
        assert time.monotonic() < ordered_at + DURATION_S
        if outcome(fleet) == "completed":
            return
        fleet.order(DURATION_S)
    raise AssertionError(f"not completed: {fleet.states()}")


def test_a_good_version_replaces_the_old_one(fleet):
    """Guards against rollouts that never end, and old targets that get calls then."""
    begin(fleet)
    complete(fleet)
    ended_at = time.monotonic() + MARGIN_S
    served = fleet.statuses[200]
    wait_until(lambda: fleet.statuses[200] > served + 60, "calls")
    assert not [at for at in fleet.runs("o") if at > ended_at]
    assert set(fleet.statuses) == {200}


def test_a_bad_version_is_rolled_back_and_gets_nothing_after_it(fleet):
    """Guards against calls that go to a version that is known to be bad."""
    ordered_at = begin(fleet, status=500)
    wait_until(lambda: outcome(fleet), "an outcome")
    assert fleet.states() == ["running", "rolled_back"]
    assert time.monotonic() < ordered_at + DURATION_S
    exposed = len(fleet.runs("n"))
    served = fleet.statuses[200]
    wait_until(lambda: fleet.statuses[200] > served + 100, "calls")
    assert len(fleet.runs("n")) == exposed <= 50
    assert fleet.states() == ["running", "rolled_back"]


def test_another_host_takes_the_trial_over(fleet):
    """Guards against an outcome that depends on one host, in spite of the store."""
    begin(fleet)
    writer = first_writer(fleet)
    writer.process.send_signal(signal.SIGKILL)
    wait_until(lambda: outcome(fleet), "an outcome")
    assert len(fleet.states()) == 2
    requests = len(fleet.runs("o")) + len(fleet.runs("n"))
    if outcome(fleet) == "rolled_back":
        assert len(fleet.runs("n")) <= 0.2 * requests + 50


def test_a_host_that_stood_still_writes_no_second_outcome(fleet):
    """Guards against an allocator that goes on with a rollout that is over."""
    begin(fleet, status=500, pause_s=0.2)
    writer = first_writer(fleet)
    writer.process.send_signal(signal.SIGSTOP)
    try:
        wait_until(lambda: outcome(fleet), "an outcome")
        exposed = len(fleet.runs("n"))
    finally:
        writer.process.send_signal(signal.SIGCONT)
    served = fleet.statuses[200]
    wait_until(lambda: fleet.statuses[200] > served + 150, "calls")
    assert fleet.states() == ["running", "rolled_back"]
    assert len(fleet.runs("n")) == exposed <= 50


def test_a_document_changes_in_the_middle_of_a_rollout(fleet):
    """Guards against a trial that ends or begins anew with a change of the document."""
    begin(fleet)
    wait_until(lambda: fleet.states(), "the first status")
    fleet.store.standin.put_config(make_config(2))
    complete(fleet)
    assert set(fleet.statuses) == {200}


def test_an_outcome_is_written_after_the_store_was_away_at_the_deadline(fleet):
    """Guards against a version that is completed too late, or never rolled back."""
    ordered_at = begin(fleet)
    wait_until(lambda: len(fleet.runs("n")) > 2, "the trial")
    fleet.store.standin.knobs.status = 503
    left_s = ordered_at + DURATION_S + 1.0 - time.monotonic()
    time.sleep(max(0.0, left_s))
    exposed = len(fleet.runs("n"))
    assert exposed <= 0.2 * (len(fleet.runs("o")) + exposed) + 50
    fleet.store.standin.knobs.status = 0
    wait_until(lambda: outcome(fleet), "an outcome")
    assert fleet.states() == ["running", "rolled_back"]
    assert len(fleet.runs("n")) == exposed


def test_orders_that_are_invalid_are_logged_once_and_change_nothing(fleet):
    """Guards against an order that no one understands and that stops the hosts."""
    rows = {"one": {"target": 2, "durationS": 5}, "two": {"service": "core"}}
    for key, row in rows.items():
        value = json.dumps(row).encode()
        fleet.store.standin.put(names.CONFIG_TOPIC, f"rollout/{key}", value)
    line = b"A rollout order is invalid"
    wait_until(
        lambda: all(row.log_path.read_bytes().count(line) == 2 for row in fleet.hosts),
        "a line for each",
    )
    assert fleet.hosts[0].call("/lookup/x")[0] == 200
    assert not fleet.states()
