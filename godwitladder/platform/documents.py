"""Decodes the operator's configuration into a `RoutingDocument`.

Unknown fields, which later versions may add, are passed over, and missing ones get the
defaults in the platform's documentation; `docs/notes/documents.md` has the sentence
behind each rule. The store accepts only valid configurations, and so does a host: what
it took for one would be in force on all of them, and, with a high version, stay.
"""

from godwitladder.findings import Finding, Findings
from godwitladder.ids import KeyDigest, RouteName, ServiceName, WorkspaceName
from godwitladder.platform.fields import FieldReader, load_json
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
from godwitladder.routing.validation import check_document
from godwitladder.serving.auth import key_digest
from godwitladder.untrusted import is_integer

ROUTE_KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.NON_IDEMPOTENT,
    "streaming": RouteKind.STREAM,
}
"""Any other kind, which a later version may add, is taken as the strictest."""
MAX_VERSION = 1 << 62
"""Half of what the hosts' messages can hold, so that there is always a later version;
nanoseconds since the epoch are far below."""
DEFAULT_TIMEOUT_S = 3_600.0
MILLISECONDS_PER_S = 1_000
MAX_ERROR_CHARS = 300
MAX_ERROR_FINDINGS = 3
INVALID_JSON = (ValueError, RecursionError)


class InvalidDocument(ValueError):
    """The bytes are not a valid configuration.

    Parameters
    ----------
    findings : tuple of Finding
        What is wrong.
    version : int or None
        The version that it names; None if it names none.
    """

    def __init__(
        self, findings: tuple[Finding, ...], version: int | None = None
    ) -> None:
        rows = [
            str(row) if row.place else row.text for row in findings[:MAX_ERROR_FINDINGS]
        ]
        more = len(findings) - len(rows)
        text = "; ".join(rows) + (f"; and {more} more" if more else "")
        super().__init__(f"invalid configuration: {text}"[:MAX_ERROR_CHARS])
        self.findings = findings
        self.version = version


def decode_document(data: bytes) -> RoutingDocument:
    """Return the configuration in ``data``.

    Raises
    ------
    InvalidDocument
        ``data`` is not a valid configuration.
    """
    findings = Findings()
    try:
        raw = load_json(data)
    except INVALID_JSON as error:
        findings.add("", f"is no JSON: {error}")
        raise InvalidDocument(tuple(findings.items)) from error
    reader = FieldReader(raw, "", findings)
    version = reader.required_count("version", MAX_VERSION)
    routes = tuple(map(_route, reader.objects("routes", required=True)))
    services = tuple(map(_service, reader.objects("services", required=True)))
    workspaces = tuple(map(_workspace, reader.objects("tenants")))
    limits = _limits(reader.object("limits"))
    if not findings.items:
        check_document(routes, services, workspaces, findings)
    if findings.items:
        named = reader.raw.get("version")
        known = named if is_integer(named, 0) else None
        raise InvalidDocument(tuple(findings.items), known)
    return RoutingDocument(
        version=version,
        routes=routes,
        services={row.name: row for row in services},
        workspaces={row.name: row for row in workspaces},
        limits=limits,
    )


def _route(reader: FieldReader) -> Route:
    return Route(
        name=RouteName(reader.text("name")),
        host=reader.text("host").lower(),
        prefix=reader.text("pathPrefix"),
        kind=ROUTE_KINDS.get(reader.text("kind"), RouteKind.NON_IDEMPOTENT),
        splits=_splits(reader),
        timeout_s=_seconds(reader, "timeoutMs") or DEFAULT_TIMEOUT_S,
        ttft_budget_s=_seconds(reader, "targetLatencyMs"),
        max_attempts=reader.count("maxAttempts") or 1,
        rank=reader.count("priority"),
        public=reader.flag("public"),
        resumable=reader.flag("resumable"),
        gap_s=_seconds(reader, "gapTargetMs"),
    )


def _splits(reader: FieldReader) -> tuple[Split, ...]:
    rows = reader.objects("trafficSplit")
    if not rows:
        return (Split(ServiceName(reader.text("service")), 1.0),)
    return tuple(
        Split(ServiceName(row.text("service")), row.number("weight")) for row in rows
    )


def _service(reader: FieldReader) -> RoutedService:
    engine = reader.object("engine")
    return RoutedService(
        name=ServiceName(reader.text("name")),
        slots=engine.count("slots"),
        memory_tokens=engine.amount("kvCapacity"),
        # The platform's name for the output tokens in one event of a stream.
        event_tokens=engine.amount("stride") or 1,
        health_path=reader.optional_text("healthPath"),
    )


def _workspace(reader: FieldReader) -> RoutedWorkspace:
    has_rank = reader.raw.get("priority") is not None
    rank = reader.count("priority")
    return RoutedWorkspace(
        name=WorkspaceName(reader.text("name")),
        key_digests=frozenset(
            KeyDigest(key_digest(key)) for key in reader.texts("apiKeys")
        ),
        rank=rank if has_rank else None,
        quota=TokenQuota(
            rate=reader.number("ratePerS"),
            burst=reader.number("burst"),
            default_tokens=reader.amount("plainTokens") or 1,
        ),
    )


def _limits(reader: FieldReader) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=reader.amount("maxHeaderBytes") or default.header_bytes,
        body_bytes=reader.amount("maxBodyBytes") or default.body_bytes,
        idle_s=_seconds(reader, "idleTimeoutMs") or default.idle_s,
    )


def _seconds(reader: FieldReader, name: str) -> float:
    return reader.number(name) / MILLISECONDS_PER_S
