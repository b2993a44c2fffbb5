"""The WSGI application that operators and their monitoring reach."""

import json
from collections.abc import Callable, Iterable, Mapping

from godwitladder.configuration.follower import ConfigFollower
from godwitladder.configuration.ledger import AuditEntry
from godwitladder.configuration.tickets import read_ticket
from godwitladder.findings import InvalidInput
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason
from godwitladder.platform.log import CONFIG_STREAM, LogClient, LogUnavailable
from godwitladder.quarantine.watch import CrashWatch
from godwitladder.serving.auth import bearer_digest, matching_digest
from godwitladder.serving.calls import CallRefused, deny
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.quarantine import QUARANTINE_PATH, answer_quarantine
from godwitladder.settings import Settings


class OperatorApp:
    """Serves operators: tickets, audit, status; and probes without a token."""

    def __init__(
        self,
        settings: Settings,
        log: LogClient,
        follower: ConfigFollower,
        metrics: Metrics,
        ready: Callable[[], bool],
    ) -> None:
        self.settings = settings
        self.log = log
        self.follower = follower
        self.metrics = metrics
        self.ready = ready
        self.watch: CrashWatch | None = None

    def __call__(self, environ: Mapping, start_response) -> Iterable[bytes]:
        """Answer one request (WSGI)."""
        try:
            return self._route(environ, start_response)
        except CallRefused as error:
            return answer_problem(start_response, error.refusal)

    def _route(self, environ: Mapping, start_response) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/healthz":
            return _json(start_response, {"healthy": True})
        if path == "/readyz":
            ready = self.ready()
            status = "200 OK" if ready else "503 Service Unavailable"
            return _json(start_response, {"ready": ready}, status)
        if path == "/metrics":
            body, headers = self.metrics.render()
            start_response("200 OK", list(headers.items()))
            return [body]
        self._authenticate(environ)
        if method == "POST" and path == "/v1/tickets":
            return self._submit(environ, start_response)
        if method == "GET" and path == "/v1/audit":
            return self._audit(start_response)
        if path.startswith(QUARANTINE_PATH):
            return answer_quarantine(self.watch, environ, start_response)
        if method == "GET" and path == "/v1/status":
            return self._status(start_response)
        raise deny(Reason.UNKNOWN_PATH, f"There is no {method} {path}.")

    def _authenticate(self, environ: Mapping) -> None:
        known = self.settings.operator_token_digests
        if not matching_digest(bearer_digest(environ), known):
            raise deny(Reason.UNAUTHENTICATED, "The operator's token is not known.")

    def _submit(self, environ: Mapping, start_response) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        try:
            read_ticket(body)
        except InvalidInput as error:
            rows = [{"place": row.place, "text": row.text} for row in error.findings]
            return _json(start_response, {"findings": rows}, "422 Unprocessable")
        try:
            offset = self.log.append(CONFIG_STREAM, [body])
        except LogUnavailable as error:
            answer = {"detail": f"The log may or may not have the ticket: {error}"}
            return _json(start_response, answer, "503 Service Unavailable")
        return _json(start_response, {"offset": offset}, "202 Accepted")

    def _audit(self, start_response) -> Iterable[bytes]:
        with self.follower.lock:
            rows = [audit_row(entry) for entry in self.follower.ledger.audit]
        return _json(start_response, {"audit": rows})

    def _status(self, start_response) -> Iterable[bytes]:
        status = {
            "host": self.settings.host,
            "zone": self.settings.zone,
            "config_offset": self.follower.ledger.next,
            "ready": self.ready(),
        }
        return _json(start_response, status)


def audit_row(entry: AuditEntry) -> dict:
    """Return an audit entry as members of a JSON object."""
    return {
        "offset": entry.offset,
        "time": entry.time,
        "number": entry.number,
        "operator": entry.operator,
        "reason": entry.reason,
        "verdict": entry.verdict.value,
        "findings": [str(finding) for finding in entry.findings],
    }


def _json(start_response, value: dict, status: str = "200 OK") -> list[bytes]:
    body = json.dumps(value).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(status, headers)
    return [body]
