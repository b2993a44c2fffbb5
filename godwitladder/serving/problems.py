"""HTTP responses for refusals, as ``application/problem+json`` (RFC 9457)."""

import http
import json
import math

from godwitladder.outcomes import HTTP_STATUS, Reason, Refusal, RequestState

PROBLEM_TYPE = "application/problem+json"


def refusal_status(refusal: Refusal) -> http.HTTPStatus:
    """Return the HTTP status for ``refusal``.

    Status 503 invites a retry. A request that reached its deadline and may have
    run therefore gets 504.
    """
    status = HTTP_STATUS[refusal.reason]
    ran = refusal.outcome is not RequestState.NOT_RUN
    if ran and refusal.reason is Reason.DEADLINE:
        return http.HTTPStatus.GATEWAY_TIMEOUT
    return status


def problem_body(refusal: Refusal, request: str = "") -> dict:
    """Return the members of the problem document for ``refusal``.

    Parameters
    ----------
    request : str
        Signed id of the request, which is included unless it is empty.
    """
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
    """Return the value of Retry-After, rounded up to seconds unless ``exact``."""
    return f"{seconds:.2f}" if exact else str(math.ceil(seconds))


def answer_problem(
    start_response, refusal: Refusal, request: str = "", exact: bool = False
) -> list[bytes]:
    """Start a WSGI response for ``refusal`` and return its body.

    Parameters
    ----------
    request : str
        Signed id of the request; empty if it has none.
    exact : bool
        Whether Retry-After may have fractions of a second, for callers that
        parse them.
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
