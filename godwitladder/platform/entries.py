"""Decodes the entries of engines in the store.

Another writer may have left an entry with fields missing or of a wrong type;
such an entry names no target, and the others hold.
"""

import json
from typing import Any

from returns.result import Failure, Result, Success

from godwitladder.discovery.targets import TargetEntry
from godwitladder.ids import ServiceName, TargetName, Zone
from godwitladder.tables import host_port

STATES = {"ready": False, "draining": True}


def decode_entry(key: str, value: bytes) -> Result[TargetEntry, str]:
    """Return the target that an entry names, or why it names none."""
    try:
        raw = json.loads(value)
    except (ValueError, RecursionError) as error:
        return Failure(f"is not JSON: {error}")
    if not isinstance(raw, dict):
        return Failure("is no table")
    fault = _find_fault(raw)
    if fault:
        return Failure(fault)
    return Success(
        TargetEntry(
            name=TargetName(key),
            service=ServiceName(raw["service"]),
            address=raw["address"],
            zone=Zone(raw["zone"]),
            slots=raw["slots"],
            started_ms=raw.get("born", 0),
            leaving=STATES[raw["state"]],
            release=_release_of(raw),
        )
    )


def _release_of(raw: dict[str, Any]) -> str:
    release = raw.get("version")
    return str(release) if isinstance(release, str | int) else ""


def _find_fault(raw: dict[str, Any]) -> str | None:
    for name in ("service", "address", "zone", "state"):
        if not isinstance(raw.get(name), str) or not raw[name]:
            return f"{name} is no text"
    if raw["state"] not in STATES:
        return f"state {raw['state']!r} is not known"
    if host_port(raw["address"]):
        return "address is no address:port"
    for name, least in (("slots", 1), ("born", 0)):
        value = raw.get(name, least)
        if type(value) is not int or value < least:
            return f"{name} is no whole number"
    if "slots" not in raw:
        return "slots is missing"
    return None
