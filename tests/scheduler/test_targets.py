"""What a host says of targets that it loses and finds again."""

import logging

from godwitladder.outcomes import RequestState
from godwitladder.scheduler.systems import (
    dispatch_request,
    finish_request,
    return_request,
)
from tests.scheduler.desk import make_config, make_request, make_tables, submit


def dispatch(tables, name, now):
    """Let a request run on the only target."""
    row = submit(tables, make_request(name, now))
    dispatch_request(tables, row, tables.targets["e0"], now)
    return row


def test_a_lost_target_is_told_once_and_so_is_its_return(caplog):
    """Several requests find a target gone; a later one is answered there.

    Whoever looks for the cause of a late answer finds from when to when the
    host could not use the target, without a line for each request.
    """
    caplog.set_level(logging.INFO)
    tables = make_tables("h0", ("h0",), make_config({"e0": 4}))
    rows = [dispatch(tables, f"r{n}", 1.0) for n in range(3)]
    for row in rows:
        return_request(tables, row, 1.1)
    later = [dispatch(tables, f"s{n}", 3.0) for n in range(2)]
    for row in later:
        finish_request(tables, row, RequestState.COMPLETED, 3.1)
    told = [(r.message.split(": ")[-1], r.target) for r in caplog.records]
    assert told == [
        ("A target takes no requests", "e0"),
        ("A target answers again", "e0"),
    ]
