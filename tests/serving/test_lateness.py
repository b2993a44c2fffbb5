"""Why an answer was late: the first cause in the order of a call's life."""

import pytest

from godwitladder.ids import RequestId, StreamId
from godwitladder.scheduler.rows import RequestRow
from godwitladder.serving.lateness import Lateness, classify_lateness


def make_row(arrived: float, dispatched: float, ttft_deadline: float) -> RequestRow:
    """Return a row that was dispatched."""
    row = RequestRow(
        RequestId("r"), StreamId("r"), "w", "s", 0, 100, 100, arrived, 20.0, False
    )
    row.dispatched, row.ttft_deadline = dispatched, ttft_deadline
    return row


@pytest.mark.parametrize(
    ("arrived", "dispatched", "first_at", "pause_s", "cause"),
    [
        (0.0, 0.1, 0.9, 0.2, Lateness.IN_TIME),
        (0.0, 0.1, 0.9, 0.4, Lateness.PAUSE),
        (0.0, 0.1, 1.1, 0.4, Lateness.TARGET),
        (0.0, 1.05, 1.1, 0.0, Lateness.WAITED),
    ],
)
def test_the_first_cause_counts(arrived, dispatched, first_at, pause_s, cause):
    row = make_row(arrived, dispatched, ttft_deadline=1.0)
    assert classify_lateness(row, first_at, pause_s, gap_s=0.3) is cause


def test_a_call_without_an_aim_is_late_by_pauses_alone():
    row = make_row(0.0, 5.0, ttft_deadline=0.0)
    assert classify_lateness(row, 9.0, 0.1, gap_s=0.3) is Lateness.IN_TIME
    assert classify_lateness(row, 9.0, 0.4, gap_s=0.0) is Lateness.IN_TIME
    assert classify_lateness(row, 9.0, 0.4, gap_s=0.3) is Lateness.PAUSE
