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

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
DEFAULT_TIMEOUT_S = 3_600.0


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
            version=int(raw["version"]),
            routes=tuple(map(_route, raw.get("routes") or ())),
            services={row.name: row for row in services},
            workspaces={row.name: row for row in workspaces},
            limits=_limits(raw.get("limits") or {}),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise InvalidDocument(f"invalid configuration: {error!r}") from error


def _route(raw: dict[str, Any]) -> Route:
    splits = raw.get("trafficSplit") or [{"service": raw["service"], "weight": 1}]
    return Route(
        name=RouteName(str(raw["name"])),
        host=str(raw["host"]).lower(),
        prefix=str(raw["pathPrefix"]),
        kind=ROUTE_KINDS.get(raw["kind"], RouteKind.NON_IDEMPOTENT),
        splits=tuple(
            Split(ServiceName(str(row["service"])), float(row["weight"]))
            for row in splits
        ),
        timeout_s=_seconds(raw.get("timeoutMs")) or DEFAULT_TIMEOUT_S,
        ttft_budget_s=_seconds(raw.get("targetLatencyMs")),
        max_attempts=max(1, int(raw.get("maxAttempts") or 1)),
        rank=int(raw.get("priority") or 0),
        public=bool(raw.get("public")),
        resumable=bool(raw.get("resumable")),
        gap_s=_seconds(raw.get("gapTargetMs")),
    )


def _service(raw: dict[str, Any]) -> RoutedService:
    engine = raw.get("engine") or {}
    return RoutedService(
        name=ServiceName(str(raw["name"])),
        slots=int(engine.get("slots") or 0),
        memory_tokens=int(engine.get("kvCapacity") or 0),
        # The platform's name for the output tokens in one event of a stream.
        event_tokens=int(engine.get("stride") or 1),
        health_path=str(raw.get("healthPath") or ""),
    )


def _workspace(raw: dict[str, Any]) -> RoutedWorkspace:
    rank = raw.get("priority")
    return RoutedWorkspace(
        name=WorkspaceName(str(raw["name"])),
        key_digests=frozenset(
            KeyDigest(key_digest(str(key))) for key in raw.get("apiKeys") or ()
        ),
        rank=None if rank is None else int(rank),
        quota=TokenQuota(
            rate=float(raw.get("ratePerS") or 0),
            burst=float(raw.get("burst") or 0),
            default_tokens=int(raw.get("plainTokens") or 1),
        ),
    )


def _limits(raw: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=int(raw.get("maxHeaderBytes") or default.header_bytes),
        body_bytes=int(raw.get("maxBodyBytes") or default.body_bytes),
        idle_s=_seconds(raw.get("idleTimeoutMs")) or default.idle_s,
    )


def _seconds(milliseconds: float | None) -> float:
    return float(milliseconds or 0) / 1000
