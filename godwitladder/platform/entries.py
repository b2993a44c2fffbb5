"""Decodes the store's entries of engines.

Other programs write these entries, so fields may be missing or have a wrong type.
Such an entry is skipped, and the others are used.
"""

import json
from typing import Any

from returns.result import Failure, Result, Success

from godwitladder.discovery.targets import TargetEntry
from godwitladder.ids import Release, ServiceName, TargetName, Zone
from godwitladder.tables import host_port

IS_LEAVING = {"ready": False, "draining": True}


def decode_entry(key: str, value: bytes) -> Result[TargetEntry, str]:
    """Return the target in an entry, or why the entry is invalid."""
    try:
        raw = json.loads(value)
    except (ValueError, RecursionError) as error:
        return Failure(f"is not JSON: {error}")
    if not isinstance(raw, dict):
        return Failure("is no table")
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
    return Release(str(release) if isinstance(release, str | int) else "")


def _find_problem(raw: dict[str, Any]) -> str | None:
    for name in ("service", "address", "zone", "state"):
        if not isinstance(raw.get(name), str) or not raw[name]:
            return f"{name} is no text"
    if raw["state"] not in IS_LEAVING:
        return f"state {raw['state']!r} is not known"
    if host_port(raw["address"]):
        return "address is no address:port"
    for name, minimum in (("slots", 1), ("born", 0)):
        value = raw.get(name, minimum)
        if type(value) is not int or value < minimum:
            return f"{name} is no whole number"
    if "slots" not in raw:
        return "slots is missing"
    return None
