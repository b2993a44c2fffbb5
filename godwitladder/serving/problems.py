"""Refusals as ``application/problem+json`` (RFC 9457)."""

import http
import json
import math

from godwitladder.outcomes import HTTP_STATUS, Reason, Refusal, RequestState

PROBLEM_TYPE = "application/problem+json"


def refusal_status(refusal: Refusal) -> http.HTTPStatus:
    """Return the HTTP status; 503 invites a retry, so only what never ran has it."""
    status = HTTP_STATUS[refusal.reason]
    ran = refusal.outcome is not RequestState.NOT_RUN
    if ran and refusal.reason is Reason.DEADLINE:
        return http.HTTPStatus.GATEWAY_TIMEOUT
    return status


def problem_body(refusal: Refusal, request: str = "") -> dict:
    """Return the members of the problem document for ``refusal``."""
    status = refusal_status(refusal)
    body = {
        "type": f"urn:godwitladder:{refusal.reason.value}",
        "title": status.phrase,
        "status": status.value,
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "reason": refusal.reason.value,
    }
    if request:
        body["request"] = request
    if refusal.retry_after_s is not None:
        body["retry_after_s"] = refusal.retry_after_s
    return body


def retry_after_text(seconds: float, exact: bool) -> str:
    """Return the value of Retry-After: whole seconds, unless ``exact``."""
    return f"{seconds:.2f}" if exact else str(math.ceil(seconds))


def answer_problem(
    start_response, refusal: Refusal, request: str = "", exact: bool = False
) -> list[bytes]:
    """Start a WSGI answer that tells ``refusal``; return its body.

    Parameters
    ----------
    exact : bool
        Whether the callers read fractions of a second in Retry-After.
    """
    status = refusal_status(refusal)
    body = json.dumps(problem_body(refusal, request)).encode()
    headers = [
        ("Content-Type", PROBLEM_TYPE),
        ("Content-Length", str(len(body))),
    ]
    if request:
        headers.append(("Request-Id", request))
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", retry_after_text(refusal.retry_after_s, exact)))
    if status is http.HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    start_response(f"{status.value} {status.phrase}", headers)
    return [body]
