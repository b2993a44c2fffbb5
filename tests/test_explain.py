"""Log lines of one request from all hosts."""

from godwitladder.cli import main
from godwitladder.explain import find_request_lines

LINES = [
    'host-2 {"asctime": "09:02", "message": "passing: A call has ended",'
    ' "request": "a1", "outcome": "failed"}',
    'host-1 {"asctime": "09:01", "message": "passing: A call is sent",'
    ' "request": "a1", "target": "e1"}',
    '{"asctime": "09:01", "message": "passing: A call is sent", "request": "a2"}',
    "a line of something else",
    "{cut short",
    "[1]",
]


def test_the_lines_of_all_hosts_are_sorted_by_time():
    found = [str(line) for line in find_request_lines(LINES, "a1")]
    assert found == [
        "09:01 passing: A call is sent request=a1 target=e1",
        "09:02 passing: A call has ended request=a1 outcome=failed",
    ]


def test_the_command_prints_them(tmp_path, capsys):
    path = tmp_path / "lines"
    path.write_text("\n".join(LINES))
    main(["explain", "a2", str(path)])
    assert capsys.readouterr().out.strip().endswith("request=a2")
