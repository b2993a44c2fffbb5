"""Finds the log lines of one request among those of all hosts, sorted by time."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

HEADER_FIELDS = ("asctime", "levelname", "message")


@dataclass(frozen=True, order=True)
class LogLine:
    """One log line of a request.

    Attributes
    ----------
    time : str
        Time as in the log.
    text : str
        The log message.
    fields : str
        The other fields, as ``key=value`` separated by spaces.
    """

    time: str
    text: str
    fields: str

    def __str__(self) -> str:
        return f"{self.time} {self.text} {self.fields}"


def find_request_lines(lines: Iterable[str], request: str) -> list[LogLine]:
    """Return the log lines of ``request``, oldest first.

    Parameters
    ----------
    lines : iterable of str
        JSON log lines of any number of hosts. Text before the JSON object, and
        lines without one, are ignored.
    request : str
        The request id that the caller sent.

    Returns
    -------
    lines : list of LogLine
        The lines of the request, without duplicates.
    """
    found = (row for row in map(parse_log_line, lines) if row.get("request") == request)
    return sorted(set(_format_lines(found)))


def parse_log_line(line: str) -> dict[str, Any]:
    """Return the JSON object in a line, or an empty dict if there is none."""
    start = line.find("{")
    try:
        row = json.loads(line[start:]) if start >= 0 else {}
    except ValueError:
        return {}
    return row if isinstance(row, dict) else {}


def _format_lines(rows: Iterable[dict[str, Any]]) -> Iterator[LogLine]:
    for row in rows:
        fields = {key: value for key, value in row.items() if key not in HEADER_FIELDS}
        yield LogLine(
            str(row.get("asctime", "")),
            str(row.get("message", "")),
            " ".join(f"{key}={value}" for key, value in fields.items()),
        )
