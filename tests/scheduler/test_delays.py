"""Tests of the delays of reports, and of their logging."""

from godwitladder.decisions.types import PoolName
from godwitladder.ids import HostId, Incarnation
from godwitladder.scheduler.delays import LATE_REPORT_S, LOG_INTERVAL_S, ReportDelays
from godwitladder.scheduler.exchange import PoolReport
from tests.scheduler.harness import START

POOL = PoolName("a", "letters")


def report_of(number, sent_s):
    return PoolReport(HostId("h1"), Incarnation(1), POOL, number, sent_s, 1, 0)


def test_an_offset_between_the_clocks_of_two_hosts_is_no_delay():
    delays = ReportDelays()
    for number in range(5):
        delays.record_report(report_of(number, 9_000.0 + number), START + number)
    assert delays.poll_status(START + 5) is None


def test_late_reports_are_logged_at_once_then_each_second_and_at_the_end():
    delays = ReportDelays()
    delays.record_report(report_of(1, 0.0), START)
    assert delays.poll_status(START) is None
    logged = []
    for step in range(1, 13):
        now = START + step * 0.25
        late_s = 2 * LATE_REPORT_S if step <= 8 else 0.0
        delays.record_report(report_of(step, step * 0.25 - late_s), now)
        status = delays.poll_status(now)
        if status is not None:
            logged.append((step, status.late))
    assert logged == [(1, True), (5, True), (9, False)]
    assert LOG_INTERVAL_S == 1.0
