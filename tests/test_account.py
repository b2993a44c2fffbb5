"""Summaries of calls from log lines."""

import json

from godwitladder.account import summarize_calls
from godwitladder.cli import main
from godwitladder.serving.lateness import Lateness

TIME = "2026-01-01 00:00:0{},000"


def line(second: int, text: str, **fields) -> str:
    """Return one line of a host's log, with the host's name before the JSON."""
    row = {"asctime": TIME.format(second), "message": f"passing: {text}", **fields}
    return f"host-1 {json.dumps(row)}"


LINES = [
    line(3, "A call has ended", request="a", route="r", outcome="completed"),
    line(0, "A call is sent", request="a", route="r"),
    line(1, "A call was refused", request="b", route="r", waited_s=0.2, body="b1"),
    line(1, "A call is sent", request="c", route="r", body="b1"),
    line(1, "A call was refused", request="f", route="r", waited_s=0.1, body="f1"),
    line(6, "A call was refused", request="g", route="r", waited_s=0.3, body="f1"),
    line(
        5,
        "A call has ended",
        request="c",
        route="r",
        outcome="completed",
        lateness="pause",
    ),
    line(2, "A call is sent", request="d", route="s"),
    line(4, "A call has ended", request="d", route="s", outcome="failed"),
    line(0, "Something else", request="e", route="s"),
    "not of a log",
]


def test_outcomes_and_slot_time_are_summed_by_route():
    summary = summarize_calls(LINES)
    stats = summary.routes["r"]
    assert stats.completed == {Lateness.IN_TIME: 1, Lateness.PAUSE: 1}
    assert (stats.refused, stats.refused_retries, stats.refused_wait_s) == (
        3,
        1,
        [0.2, 0.1, 0.3],
    )
    assert stats.completed_retries == 1
    assert stats.slot_s == {Lateness.IN_TIME: 3.0, Lateness.PAUSE: 4.0}
    assert summary.routes["s"].failed == 1
    assert summary.routes["s"].failed_slot_s == 2.0


def test_spans_count_from_the_first_line():
    summary = summarize_calls(LINES, span_s=2.0)
    assert sorted(summary.spans) == [0, 1, 2, 3]
    assert summary.spans[0].refused == 2


def test_slot_time_is_split_by_span():
    """Guards against refusals while slots are empty, which would go unnoticed."""
    summary = summarize_calls(LINES, span_s=2.0)
    assert dict(summary.slot_s) == {0: 3.0, 1: 5.0, 2: 1.0}


def test_a_shed_call_counts_as_refused():
    shed = {"asctime": TIME.format(1), "message": "routing: A call was turned away"}
    lines = [json.dumps(shed | {"reason": reason}) for reason in ("shed", "no_config")]
    assert summarize_calls(lines).spans[0].refused == 1


def test_no_lines_give_an_empty_summary():
    assert summarize_calls(["nothing"]).routes == {}


def test_the_command_prints_both_tables(tmp_path, capsys):
    path = tmp_path / "lines"
    path.write_text("\n".join(LINES))
    main(["account", str(path)])
    shown = capsys.readouterr().out
    assert "refused again" in shown
    assert "4 s" in shown
