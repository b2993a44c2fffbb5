"""Decodes the store's entries of engines.

Other programs write these entries, so fields may be missing or have a wrong type.
Such an entry is skipped, and the others are used.
"""

import json
from typing import Any

from returns.result import Failure, Result, Success

from godwitladder.discovery.targets import TargetEntry
from godwitladder.ids import Release, ServiceName, TargetName, Zone
from godwitladder.tables import ip_port
from godwitladder.untrusted import (
    MAX_COUNT,
    MAX_INTEGER,
    is_header_name,
    is_integer,
    is_name,
)

IS_LEAVING = {"ready": False, "draining": True}


def decode_entry(key: str, value: bytes) -> Result[TargetEntry, str]:
    """Return the target in an entry, or why the entry is invalid."""
    try:
        raw = json.loads(value)
    except (ValueError, RecursionError) as error:
        return Failure(f"is not JSON: {error}")
    if not isinstance(raw, dict):
        return Failure("is no table")
    if not is_header_name(key):
        return Failure("its key is no name")
    problem = _find_problem(raw)
    if problem:
        return Failure(problem)
    return Success(
        TargetEntry(
            name=TargetName(key),
            service=ServiceName(raw["service"]),
            address=raw["address"],
            zone=Zone(raw["zone"]),
            slots=raw["slots"],
            started_ms=raw.get("born", 0),
            leaving=IS_LEAVING[raw["state"]],
            release=_parse_release(raw),
        )
    )


def _parse_release(raw: dict[str, Any]) -> Release:
    release = raw.get("version")
    if is_name(release) or is_integer(release, -MAX_INTEGER):
        return Release(str(release))
    return Release("")


def _find_problem(raw: dict[str, Any]) -> str | None:
    for name in ("service", "address", "zone", "state"):
        if not is_name(raw.get(name)):
            return f"{name} is no name"
    if raw["state"] not in IS_LEAVING:
        return f"state {raw['state']!r} is not known"
    if ip_port(raw["address"]):
        return "address is no address:port"
    if not is_integer(raw.get("slots"), 1, MAX_COUNT):
        return "slots is no count"
    if not is_integer(raw.get("born", 0), 0):
        return "born is no time"
    return None
