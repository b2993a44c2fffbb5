"""HTTP interface for operators to list and lift quarantines."""

import json
from collections.abc import Mapping

from godwitladder.ids import BodyDigest
from godwitladder.outcomes import Reason
from godwitladder.quarantine.watch import CrashWatch
from godwitladder.serving.calls import deny

QUARANTINE_PATH = "/v1/quarantine"
LIFT_PATH = "/v1/quarantine/lift"
MAX_LIFT_BYTES = 4096


def answer_quarantine(
    watch: CrashWatch, environ: Mapping, start_response
) -> list[bytes]:
    """List the quarantined requests, or lift the quarantine of one.

    Raises
    ------
    CallRefused
        The path is unknown, or the body is malformed.
    """
    method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
    if method == "GET" and path == QUARANTINE_PATH:
        rows = [
            {"digest": digest, "ends_in_s": round(seconds, 1)}
            for digest, seconds in watch.remaining_quarantines().items()
        ]
        return _answer_json(start_response, {"quarantined": rows})
    if method == "POST" and path == LIFT_PATH:
        digest, operator = _read_lift(environ)
        watch.lift(digest, operator)
        return _answer_json(start_response, {"lifted": digest})
    raise deny(Reason.UNKNOWN_PATH, f"There is no {method} {path}.")


def _read_lift(environ: Mapping) -> tuple[BodyDigest, str]:
    length = min(int(environ.get("CONTENT_LENGTH") or 0), MAX_LIFT_BYTES)
    try:
        raw = json.loads(environ["wsgi.input"].read(length))
        return BodyDigest(str(raw["digest"])), str(raw["operator"])
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        text = f"The body must name digest and operator: {error!r}."
        raise deny(Reason.MALFORMED, text) from error


def _answer_json(start_response, value: dict) -> list[bytes]:
    body = json.dumps(value).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response("200 OK", headers)
    return [body]
