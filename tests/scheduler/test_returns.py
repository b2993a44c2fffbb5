"""What an allocator makes of requests as hosts report them, again and again."""

import pytest

from godwitladder.decisions.types import Shed, ShedReason
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.exchange import GrantOffer
from godwitladder.scheduler.pools import make_pools
from godwitladder.scheduler.reports import due_reports, take_offer
from godwitladder.scheduler.role import PoolRole
from godwitladder.scheduler.systems import run_systems
from tests.scheduler.desk import START, make_config, make_request, make_tables, submit

BODY = "b0d1" * 6


def make_host_and_role():
    """Return a host and an allocator that is asked for each dispatch."""
    config = make_config({"e0": 1})
    tables = make_tables("h0", ("h0",), config)
    (pool,) = make_pools(config.targets).values()
    role = PoolRole(pool, "h0", 1, START, standing=False)
    role.configure(pool, config, frozenset())
    return tables, role


def exchange(tables, role, now):
    """Let the host report and take what it is offered."""
    for access in tables.pools.values():
        access.dirty = True
    for _, report in due_reports(tables, now):
        role.take_report(report, now)
    for offer in role.run(("h0",), now):
        take_offer(tables, offer, now)
    run_systems(tables, now)


def test_a_request_that_waits_through_reports_came_once():
    """A host reports each time something changes; its letter waits through ten.

    Counted anew with each report, the letter's rank looked as if it got a tenth
    of what it asks for, and went before all others.
    """
    tables, role = make_host_and_role()
    now = START + 1.0
    for name in ("first", "second"):
        submit(tables, make_request(name, now))
    for _ in range(10):
        now += 0.05
        exchange(tables, role, now)
    assert sum(role.state.offered.values()) == pytest.approx(2.0, abs=0.2)


def test_a_caller_that_comes_back_has_the_aim_of_its_first_try():
    """A letter is refused at one host and comes to another, as a new request.

    Its caller has waited since the first try: measured from the second, the
    letter would be put before others that can still be in time.
    """
    tables, role = make_host_and_role()
    now = START + 1.0
    submit(tables, make_request("runs", now))
    exchange(tables, role, now)
    first = make_request("first", now, body=BODY, aim=now + 0.8)
    first.start_by = now + 0.5
    submit(tables, first)
    for _ in range(8):
        now += 0.1
        exchange(tables, role, now)
    assert "first" not in tables.waiting
    back = submit(tables, make_request("back", now + 2.0, body=BODY, aim=now + 2.8))
    exchange(tables, role, now + 2.0)
    (row,) = [row for row in role.rows.values() if row.demand.request == back.request]
    assert row.is_retry
    assert row.ttft_deadline == pytest.approx(START + 1.8, abs=0.1)


def test_a_request_that_goes_on_waiting_has_not_come_back():
    tables, role = make_host_and_role()
    now = START + 1.0
    submit(tables, make_request("runs", now))
    submit(tables, make_request("waits", now, body=BODY, aim=now + 9.0))
    for _ in range(5):
        now += 0.1
        exchange(tables, role, now)
    (row,) = role.rows.values()
    assert not row.is_retry


def test_just_the_request_that_is_named_is_refused():
    """A letter is beyond its time; a question has just come to the same host.

    Where kinds are owed a part each, a host that refused its least important
    call in the letter's place would refuse one that can still be in time.
    """
    tables, role = make_host_and_role()
    now = START + 1.0
    submit(tables, make_request("runs", now))
    exchange(tables, role, now)
    (access,) = tables.pools.values()
    letter = submit(tables, make_request("letter", now))
    question = submit(tables, make_request("question", now, rank=2))
    order = Shed("h0", letter.request, ShedReason.OVERLOAD, 1.0, exact=True)
    offer = GrantOffer(
        "h0",
        tables.incarnation,
        "h0",
        access.pool.name,
        role.term,
        access.seen + 1,
        0,
        now + 1.0,
        sheds=(order,),
    )
    take_offer(tables, offer, now)
    assert letter.state is RequestState.NOT_RUN
    assert question.state is RequestState.WAITING
