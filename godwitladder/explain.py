"""Finds what a fleet's log lines say of one request, in order of time."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

HEAD = ("asctime", "levelname", "message")


@dataclass(frozen=True, order=True)
class LogLine:
    """One line about a request."""

    time: str
    text: str
    fields: str

    def __str__(self) -> str:
        return f"{self.time} {self.text} {self.fields}"


def explain(lines: Iterable[str], request: str) -> list[LogLine]:
    """Return the lines about ``request``, the oldest first.

    Parameters
    ----------
    lines : iterable of str
        JSON lines of any number of hosts; something else may stand before
        the JSON, and lines without any are passed over.
    request : str
        The id that the caller sent.
    """
    found = (row for row in map(read_line, lines) if row.get("request") == request)
    return sorted(set(_shown(found)))


def read_line(line: str) -> dict[str, Any]:
    """Return the JSON in a line; nothing if it has none."""
    start = line.find("{")
    try:
        row = json.loads(line[start:]) if start >= 0 else {}
    except ValueError:
        return {}
    return row if isinstance(row, dict) else {}


def _shown(rows: Iterable[dict[str, Any]]) -> Iterator[LogLine]:
    for row in rows:
        fields = {key: value for key, value in row.items() if key not in HEAD}
        yield LogLine(
            str(row.get("asctime", "")),
            str(row.get("message", "")),
            " ".join(f"{key}={value}" for key, value in fields.items()),
        )
