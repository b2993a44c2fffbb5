"""WSGI application for operators and their monitoring."""

import json
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import asdict, dataclass
from urllib.parse import parse_qs

from godwitladder.clients.log import LogClient
from godwitladder.configuration.follower import ConfigFollower
from godwitladder.configuration.ledger import AuditEntry
from godwitladder.configuration.tickets import MAX_TICKET_BYTES
from godwitladder.findings import Finding
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason
from godwitladder.quarantine.watch import CrashWatch
from godwitladder.serving.auth import bearer_digest, matching_digest
from godwitladder.serving.calls import CallRefused, deny
from godwitladder.serving.problems import answer_problem
from godwitladder.serving.quarantine import QUARANTINE_PATH, answer_quarantine
from godwitladder.serving.submission import (
    DEFAULT_WAIT_S,
    SubmissionFailed,
    SubmittedTicket,
    TicketRefused,
    TicketSubmitter,
    is_rejected,
)
from godwitladder.settings import Settings

TICKETS_PATH = "/v1/tickets"


@dataclass(frozen=True)
class HostStatus:
    """Status of a host as reported to operators.

    Attributes
    ----------
    config_offset : int
        Offset of the next configuration record to replay; all records before it
        are in force.
    config_phase : str
        See `godwitladder.configuration.replica.Phase`.
    log_reachable : bool
        Whether the log answered the last request to it.
    peers : tuple of str
        Hosts to which a connection is established.
    targets : dict
        State of each configured target, by name.
    waiting, running : int
        Number of requests that are queued and that are dispatched.
    """

    host: str
    zone: str
    ready: bool
    stopping: bool
    config_offset: int
    config_phase: str
    log_reachable: bool
    peers: tuple[str, ...]
    targets: dict[str, str]
    waiting: int
    running: int


class OperatorApp:
    """Serves tickets, audit trail, quarantine and status to operators.

    Health and readiness probes and metrics need no token.

    Parameters
    ----------
    settings : Settings
        The host's settings, with the digests of the operators' tokens.
    log : LogClient
        Client of the log that tickets are appended to.
    follower : ConfigFollower
        Follower of that log, with the ledger of tickets and verdicts.
    metrics : Metrics
        Metrics to expose.
    status : callable
        Returns the host's current status.

    Attributes
    ----------
    watch : CrashWatch or None
        The host's quarantine. None until the host has set it.
    """

    def __init__(
        self,
        settings: Settings,
        log: LogClient,
        follower: ConfigFollower,
        metrics: Metrics,
        status: Callable[[], HostStatus],
    ) -> None:
        self.settings = settings
        self.follower = follower
        self.metrics = metrics
        self.status = status
        self.submitter = TicketSubmitter(log, follower)
        self.watch: CrashWatch | None = None

    def __call__(self, environ: Mapping, start_response) -> Iterable[bytes]:
        """Serve one request (WSGI)."""
        try:
            return self._route(environ, start_response)
        except (CallRefused, SubmissionFailed) as error:
            return answer_problem(start_response, error.refusal)
        except TicketRefused as error:
            return _refuse_ticket(start_response, error)

    def _route(self, environ: Mapping, start_response) -> Iterable[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/healthz":
            return _answer_json(start_response, {"healthy": True})
        if path == "/readyz":
            ready = self.status().ready
            status = "200 OK" if ready else "503 Service Unavailable"
            return _answer_json(start_response, {"ready": ready}, status)
        if path == "/metrics":
            body, headers = self.metrics.render()
            start_response("200 OK", list(headers.items()))
            return [body]
        operator = self._authenticate(environ)
        if method == "POST" and path == TICKETS_PATH:
            return self._submit(environ, operator, start_response)
        if method == "GET" and path == TICKETS_PATH:
            return self._list_tickets(start_response)
        if method == "GET" and path.startswith(f"{TICKETS_PATH}/"):
            number = path.removeprefix(f"{TICKETS_PATH}/")
            return self._show_ticket(number, start_response)
        if method == "GET" and path == "/v1/audit":
            return self._audit(environ, start_response)
        if path.startswith(QUARANTINE_PATH):
            return answer_quarantine(self.watch, environ, start_response)
        if method == "GET" and path == "/v1/status":
            return _answer_json(start_response, asdict(self.status()))
        raise deny(Reason.UNKNOWN_PATH, f"There is no {method} {path}.")

    def _authenticate(self, environ: Mapping) -> str:
        """Return the operator's name; empty for a token without a name."""
        names = {row.digest: row.name for row in self.settings.operators}
        known = [*names, *self.settings.operator_token_digests]
        digest = matching_digest(bearer_digest(environ), known)
        if not digest:
            raise deny(Reason.UNAUTHENTICATED, "The operator's token is not known.")
        return names.get(digest, "")

    def _submit(
        self, environ: Mapping, operator: str, start_response
    ) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > MAX_TICKET_BYTES:
            raise deny(
                Reason.TOO_LARGE, f"A ticket has at most {MAX_TICKET_BYTES} bytes."
            )
        body = environ["wsgi.input"].read(length)
        wait_s = _read_number(environ, "wait", DEFAULT_WAIT_S)
        submitted = self.submitter.submit(body, operator, wait_s)
        status = "409 Conflict" if is_rejected(submitted) else "202 Accepted"
        return _answer_json(start_response, submitted_row(submitted), status)

    def _list_tickets(self, start_response) -> Iterable[bytes]:
        with self.follower.lock:
            rows = [asdict(row) for row in self.follower.ledger.accepted.values()]
        return _answer_json(start_response, {"tickets": rows})

    def _show_ticket(self, text: str, start_response) -> Iterable[bytes]:
        if not (text.isascii() and text.isdigit()):
            raise deny(Reason.MALFORMED, f"{text!r} is no ticket's number.")
        number = int(text[:20])
        with self.follower.lock:
            ledger = self.follower.ledger
            rows = [audit_row(row) for row in ledger.audit if row.number == number]
            names = [
                str(name)
                for name, row in ledger.objects.items()
                if row.number == number
            ]
        if not rows and not names:
            raise deny(Reason.UNKNOWN_PATH, f"No ticket {number} is on record.")
        answer = {"number": number, "verdicts": rows, "in_force": names}
        return _answer_json(start_response, answer)

    def _audit(self, environ: Mapping, start_response) -> Iterable[bytes]:
        start = _read_number(environ, "from", 0)
        with self.follower.lock:
            entries = list(self.follower.ledger.audit)
            following = self.follower.ledger.next
        rows = [audit_row(entry) for entry in entries if entry.offset >= start]
        return _answer_json(start_response, {"audit": rows, "next": following})


def audit_row(entry: AuditEntry) -> dict:
    """Return an audit entry as the members of a JSON object."""
    return {
        "offset": entry.offset,
        "time": entry.time,
        "number": entry.number,
        "operator": entry.operator,
        "reason": entry.reason,
        "verdict": entry.verdict.value,
        "cause": entry.cause.value if entry.cause else None,
        "findings": [str(finding) for finding in entry.findings],
    }


def submitted_row(submitted: SubmittedTicket) -> dict:
    """Return a submitted ticket as the members of a JSON object."""
    entry = submitted.entry
    if entry is None:
        return {"offset": submitted.offset, "verdict": "pending"}
    row = audit_row(entry) | {"findings": _finding_rows(entry.findings)}
    if is_rejected(submitted):
        row["detail"] = f"Ticket {entry.number} was rejected."
    return row


def _finding_rows(findings: Iterable[Finding]) -> list[dict]:
    return [{"place": row.place, "text": row.text} for row in findings]


def _refuse_ticket(start_response, error: TicketRefused) -> list[bytes]:
    status = "403 Forbidden" if error.forbidden else "422 Unprocessable Content"
    answer = {"outcome": "not_run", "detail": str(error)}
    answer["findings"] = _finding_rows(error.findings)
    return _answer_json(start_response, answer, status)


def _read_number(environ: Mapping, name: str, default: float) -> float:
    """Return the query parameter ``name``, which must not be negative."""
    text = parse_qs(environ.get("QUERY_STRING", "")).get(name, [str(default)])[0]
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf:
        raise deny(Reason.MALFORMED, f"{name}={text} is no number from 0 on.")
    return value


def _answer_json(start_response, value: dict, status: str = "200 OK") -> list[bytes]:
    body = json.dumps(value).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(status, headers)
    return [body]
