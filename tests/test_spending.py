"""The window in which each workspace spent most, from log lines."""

import json

from godwitladder.cli import main
from godwitladder.spending import find_spending_windows


def line(second, workspace, charge, granted_by="h1/5"):
    row = {
        "asctime": f"2026-01-01 00:00:{second:02},000",
        "message": "passing: A call is sent",
        "workspace": workspace,
        "charge": charge,
        "granted_by": granted_by,
    }
    return f"host-1 {json.dumps(row)}"


LINES = [
    line(0, "w", 500),
    line(9, "w", 100, "own share"),
    line(1, "v", 10),
    line(12, "w", 300),
    line(16, "w", 200),
    "not of a log",
]


def test_the_window_tells_what_each_part_granted():
    first, second = find_spending_windows(LINES, 8.0)
    assert (first.workspace, first.tokens, first.calls) == ("w", 600, 3)
    assert first.start.endswith("00:00:09,000")
    assert first.granted == {"h1/5": 500, "own share": 100}
    assert (second.workspace, second.tokens) == ("v", 10)


def test_a_send_just_outside_the_window_does_not_count():
    (row,) = find_spending_windows([line(0, "w", 500), line(9, "w", 400)], 8.0)
    assert row.tokens == 500


def test_the_command_prints_a_row_for_each_workspace(tmp_path, capsys):
    path = tmp_path / "lines"
    path.write_text("\n".join(LINES))
    main(["spending", str(path)])
    shown = capsys.readouterr().out.splitlines()
    assert [row.split()[0] for row in shown] == ["workspace", "w", "v"]
    assert "own share: 100" in shown[1]
