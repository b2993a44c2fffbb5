"""Streams that may run only at targets of the version that began them."""

import dataclasses

import pytest

from godwitladder.configuration.model import TargetState
from godwitladder.decisions.types import Grant
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.scheduler.access import GrantFate, HeldGrant
from godwitladder.scheduler.messages import LeavingStated
from godwitladder.scheduler.reports import make_report, update_targets
from godwitladder.scheduler.rows import Dispatch
from godwitladder.scheduler.statements import take_leaving
from godwitladder.scheduler.systems import run_systems
from tests.scheduler.harness import (
    START,
    decision,
    make_config,
    make_request,
    make_tables,
    submit,
)


def make_host(**releases):
    """Return a host that has no allocator, with a target of each version."""
    config = make_config(dict.fromkeys(releases, 4))
    targets = {
        name: dataclasses.replace(target, release=releases[name])
        for name, target in config.targets.items()
    }
    tables = make_tables("h0", ("h0",), dataclasses.replace(config, targets=targets))
    for access in tables.pools.values():
        access.set_allocator(None, START)
    return tables


def decide(tables, row, now=START):
    submit(tables, row)
    run_systems(tables, now)
    return decision(row)


def test_a_host_without_an_allocator_keeps_streams_at_their_version():
    """Guards against the fixed share of a target of another version."""
    tables = make_host(e0="v1", e1="v2")
    for number in range(3):
        row = make_request(f"r{number}", START, release="v2")
        assert decide(tables, row).target == "e1"


def test_a_grant_at_another_version_is_given_back():
    """Guards against an allocator that does not know of versions yet."""
    tables = make_host(e0="v1", e1="v2")
    (access,) = tables.pools.values()
    access.set_allocator("h9", START)
    row = make_request("r0", START, release="v2")
    submit(tables, row)
    grant = Grant("r0", "h0", "e0", "r0", 0, 0, 1.0)
    access.grants["r0"] = HeldGrant(grant, START + 1.0)
    run_systems(tables, START)
    assert decision(row) is None
    assert access.fates[GrantFate.GIVEN_BACK] == 1


def leave_by_entry(tables):
    targets = dict(tables.config.targets)
    targets["e1"] = dataclasses.replace(targets["e1"], state=TargetState.LEAVING)
    tables.config = dataclasses.replace(tables.config, targets=targets)
    update_targets(tables)


def leave_by_statement(tables):
    take_leaving(tables, LeavingStated("e1", ""), START)


def leave_by_removal(tables):
    targets = {"e0": tables.config.targets["e0"]}
    tables.config = dataclasses.replace(tables.config, targets=targets)
    update_targets(tables)


@pytest.mark.parametrize(
    "leave", [leave_by_entry, leave_by_statement, leave_by_removal]
)
def test_a_stream_whose_version_is_gone_is_refused_at_once(leave):
    """Guards against callers that wait until their deadline for a version that left."""
    tables = make_host(e0="v1", e1="v2")
    leave(tables)
    row = make_request("r0", START, release="v2")
    refusal = decide(tables, row)
    assert isinstance(refusal, Refusal)
    assert (refusal.reason, refusal.retry_after_s) == (Reason.RELEASE_GONE, None)
    assert refusal.outcome is RequestState.NOT_RUN


def test_a_stream_waits_while_the_targets_of_its_version_are_busy():
    """Guards against a refusal of streams that can go on a moment later."""
    tables = make_host(e0="v1", e1="v2")
    rows = [make_request(f"r{n}", START, release="v2") for n in range(5)]
    decisions = [decide(tables, row) for row in rows]
    assert [type(row) for row in decisions] == [Dispatch] * 4 + [type(None)]


def test_an_allocator_is_told_the_version_of_a_stream():
    tables = make_host(e0="v1", e1="v2")
    (access,) = tables.pools.values()
    access.set_allocator("h9", START)
    submit(tables, make_request("r0", START, release="v2"))
    (demand,) = make_report(tables, access, START).demands
    assert demand.release == "v2"
