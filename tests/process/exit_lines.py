"""Reads the last line of a process that has ended by itself."""

import json

MESSAGE = "process: The process ends by itself"


def read_exit_line(output: bytes) -> dict | None:
    """Return the decoded last line; None if the process has written none."""
    lines = [line for line in output.splitlines() if MESSAGE.encode() in line]
    return json.loads(lines[-1]) if lines else None
