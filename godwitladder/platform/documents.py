"""Decodes the operator's configuration into a `RoutingDocument`.

The store accepts only valid configurations. Unknown fields, which later versions
may add, are ignored, and missing fields get the defaults in the platform's
documentation.
"""

import json
from typing import Any

from godwitladder.ids import KeyDigest, RouteName, ServiceName, WorkspaceName
from godwitladder.routing.model import (
    CallerLimits,
    Route,
    RoutedService,
    RoutedWorkspace,
    RouteKind,
    RoutingDocument,
    Split,
    TokenQuota,
)
from godwitladder.serving.auth import key_digest
from godwitladder.untrusted import MAX_INTEGER, is_encodable, is_finite, is_integer

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
DEFAULT_TIMEOUT_S = 3_600.0
MAX_QUOTED_CHARS = 100
"""Part of a value that an error message quotes."""
MAX_ERROR_CHARS = 300
INVALID_VALUE = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
"""What is raised for a value of another type, a missing one, or one out of range."""


class InvalidDocument(ValueError):
    """The bytes are not a valid configuration."""


def decode_document(data: bytes) -> RoutingDocument:
    """Return the configuration in ``data``.

    Raises
    ------
    InvalidDocument
        ``data`` is not a valid configuration.
    """
    try:
        raw = json.loads(data)
        services = map(_service, raw.get("services") or ())
        workspaces = map(_workspace, raw.get("tenants") or ())
        return RoutingDocument(
            version=_whole(raw["version"]),
            routes=tuple(map(_route, raw.get("routes") or ())),
            services={row.name: row for row in services},
            workspaces={row.name: row for row in workspaces},
            limits=_limits(raw.get("limits") or {}),
        )
    except INVALID_VALUE as error:
        text = repr(error)[:MAX_ERROR_CHARS]
        raise InvalidDocument(f"invalid configuration: {text}") from error


def _route(raw: dict[str, Any]) -> Route:
    splits = raw.get("trafficSplit") or [{"service": raw["service"], "weight": 1}]
    return Route(
        name=RouteName(_text(raw["name"])),
        host=_text(raw["host"]).lower(),
        prefix=_text(raw["pathPrefix"]),
        kind=ROUTE_KINDS.get(raw["kind"], RouteKind.NON_IDEMPOTENT),
        splits=tuple(
            Split(ServiceName(_text(row["service"])), _number(row["weight"]))
            for row in splits
        ),
        timeout_s=_seconds(raw.get("timeoutMs")) or DEFAULT_TIMEOUT_S,
        ttft_budget_s=_seconds(raw.get("targetLatencyMs")),
        max_attempts=max(1, _whole(raw.get("maxAttempts") or 1)),
        rank=_whole(raw.get("priority") or 0),
        public=bool(raw.get("public")),
        resumable=bool(raw.get("resumable")),
        gap_s=_seconds(raw.get("gapTargetMs")),
    )


def _service(raw: dict[str, Any]) -> RoutedService:
    engine = raw.get("engine") or {}
    return RoutedService(
        name=ServiceName(_text(raw["name"])),
        slots=_whole(engine.get("slots") or 0),
        memory_tokens=_whole(engine.get("kvCapacity") or 0),
        # The platform's name for the output tokens in one event of a stream.
        event_tokens=_whole(engine.get("stride") or 1),
        health_path=_text(raw.get("healthPath") or ""),
    )


def _workspace(raw: dict[str, Any]) -> RoutedWorkspace:
    rank = raw.get("priority")
    return RoutedWorkspace(
        name=WorkspaceName(_text(raw["name"])),
        key_digests=frozenset(
            KeyDigest(key_digest(_text(key))) for key in raw.get("apiKeys") or ()
        ),
        rank=None if rank is None else _whole(rank),
        quota=TokenQuota(
            rate=_number(raw.get("ratePerS") or 0),
            burst=_number(raw.get("burst") or 0),
            default_tokens=_whole(raw.get("plainTokens") or 1),
        ),
    )


def _limits(raw: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=_whole(raw.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=_whole(raw.get("maxBodyBytes") or default.body_bytes),
        idle_s=_seconds(raw.get("idleTimeoutMs")) or default.idle_s,
    )


def _seconds(milliseconds: float | None) -> float:
    return _number(milliseconds or 0) / 1000


def _text(value: Any) -> str:
    text = str(value)
    if not is_encodable(text):
        raise ValueError(f"{text[:MAX_QUOTED_CHARS]!r} can't be encoded")
    return text


def _number(value: Any) -> float:
    # float() would take the digits of any alphabet in a text for a number.
    if not is_finite(value):
        raise ValueError(f"{str(value)[:MAX_QUOTED_CHARS]!r} is no finite number")
    return float(value)


def _whole(value: Any) -> int:
    # A version that is read from a text would keep out all later ones.
    number = int(value) if type(value) is float else value
    if not is_integer(number, -MAX_INTEGER):
        raise ValueError("a value is no integer of 64 bits")
    return number
