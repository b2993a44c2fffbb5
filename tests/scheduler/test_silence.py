"""A host whose allocator falls silent without a sign."""

from dataclasses import replace

from godwitladder.scheduler.access import UNANSWERED_S
from godwitladder.scheduler.reports import due_reports, take_offer, update_targets
from godwitladder.scheduler.rows import Dispatch
from godwitladder.scheduler.systems import run_systems
from tests.scheduler.harness import (
    START,
    make_config,
    make_request,
    make_tables,
    submit,
)
from tests.scheduler.test_returns import exchange, make_host_and_role


def make_cut_off():
    """Return a host of zone b, with a target there and one in zone a."""
    config = make_config({"e0": 4, "e1": 4})
    near = replace(config.targets["e1"], place="b")
    far = replace(config.targets["e0"], place="a")
    config = replace(config, targets={"e0": far, "e1": near})
    tables = make_tables("h0", ("h0", "h1"), config)
    tables.availability_zone = "b"
    tables.early_fallback = True
    update_targets(tables)
    for access in tables.pools.values():
        access.set_allocator("h1", START)
    return tables


def test_a_call_is_served_nearby_while_the_allocator_is_silent():
    """A zone is cut off without a reset; the allocator stands on the other side.

    The call asks it and gets no answer. After two answers are missing the host
    uses its part of the target in its own zone, and none beyond.
    """
    tables = make_cut_off()
    row = submit(tables, make_request("r", START))
    due_reports(tables, START)
    now = START + UNANSWERED_S - 0.05
    run_systems(tables, now)
    assert row.decisions.empty()
    now = START + UNANSWERED_S + 0.05
    run_systems(tables, now)
    decision = row.decisions.get_nowait()
    assert isinstance(decision, Dispatch)
    assert decision.target == "e1"


def test_a_host_stays_within_its_part_while_the_allocator_is_silent():
    """Twenty calls wait; two hosts share a target of four places in their zone."""
    tables = make_cut_off()
    rows = [submit(tables, make_request(f"r{n}", START)) for n in range(20)]
    due_reports(tables, START)
    run_systems(tables, START + 1.0)
    sent = [row for row in rows if not row.decisions.empty()]
    assert 1 <= len(sent) <= 2


def test_an_allocator_answers_a_host_whose_calls_go_on_waiting():
    """All places are taken for seconds; the host still knows it is in touch."""
    tables, role = make_host_and_role()
    now = START + 1.0
    for number in range(3):
        submit(tables, make_request(f"r{number}", now))
    (access,) = tables.pools.values()
    for _ in range(20):
        now += 0.1
        exchange(tables, role, now)
        assert not access.is_unanswered(now)
    assert len(tables.waiting) == 2


def test_an_answer_ends_the_silence():
    tables, role = make_host_and_role()
    now = START + 1.0
    for number in range(2):
        submit(tables, make_request(f"r{number}", now))
    (access,) = tables.pools.values()
    reports = due_reports(tables, now)
    now += UNANSWERED_S + 0.1
    assert access.is_unanswered(now)
    for _, report in reports:
        role.take_report(report, now)
    for offer in role.run(("h0",), now):
        take_offer(tables, offer, now)
    assert not access.is_unanswered(now)


def test_a_silence_of_the_allocator_is_told_of_once_and_so_is_its_end(caplog):
    """On-call engineers see from when to when a host went without its allocator."""
    tables, role = make_host_and_role()
    caplog.set_level("INFO")
    now = START + 1.0
    for number in range(2):
        submit(tables, make_request(f"r{number}", now))
    reports = due_reports(tables, now)
    for _ in range(3):
        now += UNANSWERED_S
        run_systems(tables, now)
    assert caplog.text.count("The allocator is silent") == 1
    for _, report in reports:
        role.take_report(report, now)
    for offer in role.run(("h0",), now):
        take_offer(tables, offer, now)
    run_systems(tables, now)
    assert caplog.text.count("The allocator answers") == 1


def test_an_allocator_that_was_asked_for_nothing_more_owes_no_answer():
    """Guards against a host that takes its allocator for silent when all is settled.

    The last report that asked is on its way when the offer comes that settles it.
    """
    tables, role = make_host_and_role()
    now = START + 1.0
    row = submit(tables, make_request("r", now))
    (access,) = tables.pools.values()
    first = due_reports(tables, now)
    access.dirty = True
    second = due_reports(tables, now + 0.05)
    for _, report in first:
        role.take_report(report, now + 0.06)
    for offer in role.run(("h0",), now + 0.06):
        take_offer(tables, offer, now + 0.07)
    for _, report in second:
        role.take_report(report, now + 0.08)
    run_systems(tables, now + 0.08)
    assert not row.decisions.empty()
    assert due_reports(tables, now + 0.12)
    assert not access.is_unanswered(now + 0.12 + UNANSWERED_S)
    assert access.behind_s(now + 1.0) == 0.0
