"""Hosts whose allocator stops answering without a connection reset."""

from dataclasses import replace

from godwitladder.scheduler.access import ANSWER_TIMEOUT_S
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
    """Return a host of availability zone b, with targets in zones a and b."""
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
    """A partition separates the zone from its allocator without a connection reset.

    The host reports the call and gets no answer. When two answers are missing, it
    uses its fixed share of the target in its own zone, and no target beyond.
    """
    tables = make_cut_off()
    row = submit(tables, make_request("r", START))
    due_reports(tables, START)
    now = START + ANSWER_TIMEOUT_S - 0.05
    run_systems(tables, now)
    assert row.decisions.empty()
    now = START + ANSWER_TIMEOUT_S + 0.05
    run_systems(tables, now)
    decision = row.decisions.get_nowait()
    assert isinstance(decision, Dispatch)
    assert decision.target == "e1"


def test_a_host_stays_within_its_share_while_the_allocator_is_silent():
    """Twenty calls wait; two hosts share a target with four slots in their zone."""
    tables = make_cut_off()
    rows = [submit(tables, make_request(f"r{n}", START)) for n in range(20)]
    due_reports(tables, START)
    run_systems(tables, START + 1.0)
    sent = [row for row in rows if not row.decisions.empty()]
    assert 1 <= len(sent) <= 2


def test_an_allocator_answers_a_host_whose_calls_go_on_waiting():
    """All slots are in use for seconds, and the host still gets answers in time."""
    tables, role = make_host_and_role()
    now = START + 1.0
    for number in range(3):
        submit(tables, make_request(f"r{number}", now))
    (access,) = tables.pools.values()
    for _ in range(20):
        now += 0.1
        exchange(tables, role, now)
        assert not access.is_answer_overdue(now)
    assert len(tables.waiting) == 2


def test_an_answer_ends_the_silence():
    tables, role = make_host_and_role()
    now = START + 1.0
    for number in range(2):
        submit(tables, make_request(f"r{number}", now))
    (access,) = tables.pools.values()
    reports = due_reports(tables, now)
    now += ANSWER_TIMEOUT_S + 0.1
    assert access.is_answer_overdue(now)
    for _, report in reports:
        role.take_report(report, now)
    for offer in role.run(("h0",), now):
        take_offer(tables, offer, now)
    assert not access.is_answer_overdue(now)


def test_a_silent_allocator_and_its_return_are_each_logged_once(caplog):
    """The log shows from when to when a host had no answers from its allocator."""
    tables, role = make_host_and_role()
    caplog.set_level("INFO")
    now = START + 1.0
    for number in range(2):
        submit(tables, make_request(f"r{number}", now))
    reports = due_reports(tables, now)
    for _ in range(3):
        now += ANSWER_TIMEOUT_S
        run_systems(tables, now)
    assert caplog.text.count("The allocator is silent") == 1
    for _, report in reports:
        role.take_report(report, now)
    for offer in role.run(("h0",), now):
        take_offer(tables, offer, now)
    run_systems(tables, now)
    assert caplog.text.count("The allocator answers again") == 1


def test_no_answer_is_expected_if_nothing_is_requested():
    """Guards against an allocator that counts as silent when nothing is requested.

    The last report with requests is still in transit when the offer arrives that
    grants or sheds all of them.
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
    assert not access.is_answer_overdue(now + 0.12 + ANSWER_TIMEOUT_S)
    assert access.oldest_report_age_s(now + 1.0) == 0.0
