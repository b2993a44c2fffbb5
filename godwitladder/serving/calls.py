"""Parsing of callers' HTTP requests into rows of the scheduler's table."""

import hashlib
import json
import secrets
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from godwitladder.clock import Clock
from godwitladder.configuration.model import Service, ServiceKind, Workspace
from godwitladder.configuration.state import ConfigState
from godwitladder.findings import GodwitladderError
from godwitladder.ids import (
    BodyDigest,
    KeyDigest,
    RequestId,
    ServiceName,
    StreamId,
    WorkspaceName,
)
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse
from godwitladder.scheduler.rows import RequestRow
from godwitladder.settings import LimitSettings

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 1024
DEFAULT_OUTPUT_TOKENS = 512


class CallRefused(GodwitladderError):
    """The request was refused before it reached the scheduler.

    Parameters
    ----------
    refusal : Refusal
        Outcome and reason that the caller is sent.
    request : str
        Signed id of an earlier request with the same idempotency key; empty
        for none.
    """

    def __init__(self, refusal: Refusal, request: str = "") -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal
        self.request = request


@dataclass(frozen=True)
class Caller:
    """The workspace that a request's bearer key belongs to.

    Attributes
    ----------
    rank, lowest_rank : int
        Rank of the workspace's own tier and of the least important tier. A
        higher number is a less important tier.
    """

    name: WorkspaceName
    workspace: Workspace
    rank: int
    lowest_rank: int


@dataclass(frozen=True)
class Call:
    """A caller's request: its row and the request sent to the target.

    Attributes
    ----------
    streamed : bool
        Whether the caller asked for the response as server-sent events.
    on_end : callable
        Called once with the final state, when it can no longer change.
    before_dispatch : callable
        Called before the first byte is written to the target. Returns the
        refusal if the request must not be dispatched, else None.
    """

    row: RequestRow
    service: Service
    body: bytes
    content_type: str
    streamed: bool
    on_end: Callable[[RequestState], None] = lambda state: None
    before_dispatch: Callable[[], Refusal | None] = lambda: None


def deny(reason: Reason, detail: str) -> CallRefused:
    """Return an error that refuses a call, which did not run, for ``reason``."""
    return CallRefused(refuse(reason, detail))


def read_chat(
    environ: Mapping,
    body: bytes,
    caller: Caller,
    config: ConfigState,
    clock: Clock,
    limits: LimitSettings,
) -> Call:
    """Parse a chat completion request.

    Raises
    ------
    CallRefused
        The request is malformed, or no model service has its model's name.
    """
    raw = _read_chat_body(body)
    name = ServiceName(str(raw.get("model", "")))
    service = find_service(config, name, ServiceKind.MODEL)
    prompt = json.dumps(raw["messages"]).encode()
    declared = raw.get("max_tokens", DEFAULT_OUTPUT_TOKENS)
    if not isinstance(declared, int) or isinstance(declared, bool) or declared < 1:
        raise deny(Reason.MALFORMED, f"max_tokens {declared!r} is no whole number.")
    row = make_row(environ, caller, name, service, body, clock, limits)
    row.prompt_tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
    row.declared_tokens = min(declared, service.max_output)
    row.prefix = hashlib.sha256(prompt[:PREFIX_BYTES]).hexdigest()[:16]
    forwarded = json.dumps(raw | {"stream": True, "max_tokens": row.declared_tokens})
    streamed = bool(raw.get("stream", False))
    return Call(row, service, forwarded.encode(), "application/json", streamed)


def read_plain(
    environ: Mapping,
    body: bytes,
    name: ServiceName,
    caller: Caller,
    config: ConfigState,
    clock: Clock,
    limits: LimitSettings,
) -> Call:
    """Parse a request to a plain service.

    Raises
    ------
    CallRefused
        A header is malformed, or no plain service is called ``name``.
    """
    service = find_service(config, name, ServiceKind.PLAIN)
    row = make_row(environ, caller, name, service, body, clock, limits)
    content_type = environ.get("CONTENT_TYPE") or "application/octet-stream"
    return Call(row, service, body, content_type, False)


def find_service(config: ConfigState, name: ServiceName, kind: ServiceKind) -> Service:
    """Return the service of the given kind called ``name``.

    Raises
    ------
    CallRefused
        There is no such service.
    """
    service = config.services.get(name)
    if service is None or service.kind is not kind:
        raise deny(
            Reason.UNKNOWN_SERVICE, f"There is no {kind.value} service {name!r}."
        )
    return service


def make_row(
    environ: Mapping,
    caller: Caller,
    name: ServiceName,
    service: Service,
    body: bytes,
    clock: Clock,
    limits: LimitSettings,
) -> RequestRow:
    """Return a row in state WAITING with the fields common to all services.

    Raises
    ------
    CallRefused
        A header is malformed.
    """
    now = clock.monotonic()
    identity = secrets.token_hex(12)
    return RequestRow(
        request=RequestId(identity),
        stream=StreamId(identity),
        workspace=caller.name,
        service=name,
        tier_rank=_read_rank(environ, caller),
        prompt_tokens=0,
        declared_tokens=0,
        arrived=now,
        deadline=now + read_timeout(environ, service.timeout_s),
        idempotent=service.idempotent,
        key=_read_key(environ, caller, name, limits.key_bytes),
        body=BodyDigest(hashlib.sha256(body).hexdigest()),
    )


def _read_chat_body(body: bytes) -> dict[str, Any]:
    try:
        raw = json.loads(body, parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise deny(Reason.MALFORMED, f"The body is not JSON: {error}.") from error
    if not isinstance(raw, dict) or not isinstance(raw.get("messages"), list):
        raise deny(Reason.MALFORMED, "The body has no list of messages.")
    return raw


def _refuse_constant(name: str) -> None:
    """Reject NaN and infinities: JSON has no such numbers, and engines may fail."""
    raise ValueError(f"{name} is no JSON number")


def read_timeout(environ: Mapping, default_s: float) -> float:
    """Return the request's timeout in seconds, ``default_s`` if it gives none.

    Raises
    ------
    CallRefused
        The header ``Request-Timeout`` is malformed.
    """
    text = environ.get("HTTP_REQUEST_TIMEOUT")
    if text is None:
        return default_s
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < 86_400:
        raise deny(Reason.MALFORMED, f"Request-Timeout {text!r} is no time in seconds.")
    return seconds


def _read_rank(environ: Mapping, caller: Caller) -> int:
    """Return the request's rank: a caller can lower its tier but not raise it."""
    text = environ.get("HTTP_REQUEST_TIER_RANK")
    if text is None:
        return caller.rank
    if not (text.isascii() and text.isdigit() and len(text) < 10):
        raise deny(Reason.MALFORMED, f"Request-Tier-Rank {text!r} is no rank.")
    return max(caller.rank, min(int(text), caller.lowest_rank))


def _read_key(
    environ: Mapping, caller: Caller, service: ServiceName, limit: int
) -> KeyDigest | None:
    text = environ.get("HTTP_IDEMPOTENCY_KEY")
    if text is None:
        return None
    if not 0 < len(text) <= limit:
        raise deny(Reason.MALFORMED, f"An Idempotency-Key has 1 to {limit} bytes.")
    scope = f"{caller.name}\n{service}\n{text}".encode()
    return KeyDigest(hashlib.sha256(scope).hexdigest())
