"""Tests of requests that are reported several times, or retried by their callers."""

import pytest

from godwitladder.decisions.types import Shed, ShedReason
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.exchange import GrantOffer
from godwitladder.scheduler.pools import make_pools
from godwitladder.scheduler.reports import due_reports, take_offer
from godwitladder.scheduler.role import PoolRole
from godwitladder.scheduler.systems import run_systems
from tests.scheduler.harness import (
    START,
    make_config,
    make_request,
    make_tables,
    submit,
)

BODY = "b0d1" * 6


def make_host_and_role():
    """Return a host and an allocator without allowances in advance."""
    config = make_config({"e0": 1})
    tables = make_tables("h0", ("h0",), config)
    (pool,) = make_pools(config.targets).values()
    role = PoolRole(pool, "h0", 1, START, has_standing_grants=False)
    role.configure(pool, config, frozenset())
    return tables, role


def exchange(tables, role, now):
    """Deliver the reports of the host and the offers that answer them."""
    for access in tables.pools.values():
        access.dirty = True
    for _, report in due_reports(tables, now):
        role.take_report(report, now)
    for offer in role.run(("h0",), now):
        take_offer(tables, offer, now)
    run_systems(tables, now)


def test_a_request_that_waits_through_reports_is_counted_once():
    """Guards against counting a request again with each report.

    A host reports each change, and a request waits through ten reports. Counted
    each time, its rank would look as if it got a tenth of what it asks for, and
    would be served before all others.
    """
    tables, role = make_host_and_role()
    now = START + 1.0
    for name in ("first", "second"):
        submit(tables, make_request(name, now))
    for _ in range(10):
        now += 0.05
        exchange(tables, role, now)
    assert sum(role.state.offered.values()) == pytest.approx(2.0, abs=0.2)


def test_a_retry_keeps_the_ttft_deadline_of_the_first_attempt():
    """Guards against measuring the first output deadline of a retry from the retry.

    A request is refused by one host and sent to another as a new request. Its
    caller has waited since the first attempt. Measured from the second, the
    request would be served before others that can still be in time.
    """
    tables, role = make_host_and_role()
    now = START + 1.0
    submit(tables, make_request("runs", now))
    exchange(tables, role, now)
    first = make_request("first", now, body=BODY, ttft_deadline=now + 0.8)
    first.start_by = now + 0.5
    submit(tables, first)
    for _ in range(8):
        now += 0.1
        exchange(tables, role, now)
    assert "first" not in tables.waiting
    back = submit(
        tables, make_request("back", now + 2.0, body=BODY, ttft_deadline=now + 2.8)
    )
    exchange(tables, role, now + 2.0)
    (row,) = [
        row for row in role.waiting.values() if row.demand.request == back.request
    ]
    assert row.is_retry
    assert row.ttft_deadline == pytest.approx(START + 1.8, abs=0.1)


def test_a_request_that_keeps_waiting_is_not_a_retry():
    tables, role = make_host_and_role()
    now = START + 1.0
    submit(tables, make_request("runs", now))
    submit(tables, make_request("waits", now, body=BODY, ttft_deadline=now + 9.0))
    for _ in range(5):
        now += 0.1
        exchange(tables, role, now)
    (row,) = role.waiting.values()
    assert not row.is_retry


def test_only_the_specified_request_is_refused():
    """Guards against refusing another request than the one that was shed.

    A request of the first tier can no longer be in time, and one of a lower tier has
    just arrived at the same host. Where each tier is entitled to a share, a host
    that refused its least important request instead would refuse one that can
    still be in time.
    """
    tables, role = make_host_and_role()
    now = START + 1.0
    submit(tables, make_request("runs", now))
    exchange(tables, role, now)
    (access,) = tables.pools.values()
    late = submit(tables, make_request("letter", now))
    fresh = submit(tables, make_request("question", now, rank=2))
    shed = Shed("h0", late.request, ShedReason.OVERLOAD, 1.0, exact=True)
    offer = GrantOffer(
        "h0",
        tables.incarnation,
        "h0",
        access.pool.name,
        role.term,
        access.last_offer + 1,
        0,
        now + 1.0,
        sheds=(shed,),
    )
    take_offer(tables, offer, now)
    assert late.state is RequestState.NOT_RUN
    assert fresh.state is RequestState.WAITING
