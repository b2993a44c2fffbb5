"""What the listener tells of new connections."""

import logging

import pytest

from godwitladder.serving.connections import (
    LATE_TURN_S,
    PERIOD_S,
    ConnectionEvent,
    ConnectionLog,
)

STATE = {"open": 3, "busy": 2}


@pytest.fixture
def lines(caplog):
    caplog.set_level(logging.INFO)
    return lambda: caplog.records


def end_turns(connections, *times):
    for now in times:
        connections.end_turn(now, lambda: STATE)


def test_a_calm_second_is_not_logged(lines):
    connections = ConnectionLog(0.0)
    connections.record(ConnectionEvent.ACCEPTED)
    connections.record(ConnectionEvent.READ)
    end_turns(connections, 0.5, PERIOD_S)
    assert lines() == []


@pytest.mark.parametrize(
    "event",
    [ConnectionEvent.HELD, ConnectionEvent.CLOSED_UNREAD, ConnectionEvent.REFUSED],
)
def test_a_second_in_which_callers_were_not_taken_is_logged_once(lines, event):
    """Guards against a host that takes nobody while no line tells why."""
    connections = ConnectionLog(0.0)
    for _ in range(9):
        connections.record(event)
    end_turns(connections, 0.5, PERIOD_S, 2 * PERIOD_S)
    (line,) = lines()
    assert getattr(line, event.value) == 9
    assert (line.open, line.busy) == (3, 2)


def test_a_late_loop_is_logged(lines):
    """Guards against a loop that stands still unseen, since nothing else happens."""
    connections = ConnectionLog(0.0)
    end_turns(connections, LATE_TURN_S)
    (line,) = lines()
    assert line.longest_turn_s == LATE_TURN_S


def test_each_event_is_counted_for_metrics():
    counted = []
    connections = ConnectionLog(0.0)
    connections.count = counted.append
    connections.record(ConnectionEvent.LEFT)
    assert counted == [ConnectionEvent.LEFT]
