"""Refusals as ``application/problem+json`` (RFC 9457)."""

import json
import math

from godwitladder.outcomes import STATUS, Refusal

PROBLEM_TYPE = "application/problem+json"


def problem_body(refusal: Refusal, request: str = "") -> dict:
    """Return the members of the problem document for ``refusal``."""
    status = STATUS[refusal.reason]
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


def answer_problem(start_response, refusal: Refusal, request: str = "") -> list[bytes]:
    """Start a WSGI answer that tells ``refusal``; return its body."""
    status = STATUS[refusal.reason]
    body = json.dumps(problem_body(refusal, request)).encode()
    headers = [
        ("Content-Type", PROBLEM_TYPE),
        ("Content-Length", str(len(body))),
    ]
    if request:
        headers.append(("Request-Id", request))
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", str(math.ceil(refusal.retry_after_s))))
    start_response(f"{status.value} {status.phrase}", headers)
    return [body]
