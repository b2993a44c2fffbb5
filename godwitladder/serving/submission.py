"""Submission of operators' tickets to the log, with a reliable outcome."""

import threading
from dataclasses import dataclass

from godwitladder.clients.log import LogClient, LogNotReached, LogUnavailable
from godwitladder.configuration.follower import ConfigFollower
from godwitladder.configuration.ledger import AuditEntry, Verdict
from godwitladder.configuration.replica import Phase
from godwitladder.configuration.tickets import Ticket, read_ticket
from godwitladder.findings import Finding, GodwitladderError, InvalidInput
from godwitladder.ids import Offset
from godwitladder.outcomes import Reason, Refusal, RequestState, refuse

DEFAULT_WAIT_S = 3.0
MAX_WAIT_S = 10.0
# Maximum number of threads that wait for verdicts: half of the eight that serve
# operators and probes, so that a burst of tickets does not make health probes
# time out.
MAX_WAITERS = 4
RETRY_AFTER_S = 5.0


@dataclass(frozen=True)
class SubmittedTicket:
    """A ticket that is in the log.

    Attributes
    ----------
    offset : Offset
        The ticket's offset in the log.
    entry : AuditEntry or None
        Audit entry with the verdict; None while no verdict is known.
    """

    offset: Offset
    entry: AuditEntry | None


class TicketRefused(GodwitladderError):
    """A ticket was not sent to the log because its content is invalid.

    Parameters
    ----------
    findings : tuple of Finding
        All problems found in the ticket.
    forbidden : bool
        Whether the ticket names another operator.
    """

    def __init__(self, findings: tuple[Finding, ...], forbidden: bool = False) -> None:
        super().__init__("The ticket was not submitted.")
        self.findings = findings
        self.forbidden = forbidden


class SubmissionFailed(GodwitladderError):
    """The log is in an unusable state, can't be reached, or did not answer.

    Parameters
    ----------
    refusal : Refusal
        Outcome and reason that the operator is sent.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


class TicketSubmitter:
    """Submits operators' tickets and waits for their verdicts.

    Parameters
    ----------
    client : LogClient
        Client of the log that tickets are appended to.
    follower : ConfigFollower
        Follower of that log, whose ledger contains the verdicts.
    """

    def __init__(self, client: LogClient, follower: ConfigFollower) -> None:
        self.client = client
        self.follower = follower
        self.waiters = threading.Semaphore(MAX_WAITERS)

    def submit(self, data: bytes, operator: str, wait_s: float) -> SubmittedTicket:
        """Append a ticket and wait up to ``wait_s`` for its verdict.

        Parameters
        ----------
        data : bytes
            The ticket's text.
        operator : str
            Operator whose token authenticated the request; empty for a token
            that may submit tickets of any operator.
        wait_s : float
            Longest time to wait for the verdict, in seconds; limited to
            ``MAX_WAIT_S``.

        Raises
        ------
        TicketRefused
            The ticket is invalid or names another operator.
        SubmissionFailed
            The log is unusable or did not answer. The outcome of the refusal
            tells whether the ticket may be in the log.
        """
        ticket = self._read(data, operator)
        self._check_log()
        start = self.follower.ledger.next
        wait_s = min(wait_s, MAX_WAIT_S)
        try:
            offset = self.client.append(self.follower.stream, [data])
        except LogNotReached as error:
            detail = f"The log was not reached, the ticket is not in it: {error}."
            raise SubmissionFailed(
                refuse(Reason.LOG_UNAVAILABLE, detail, RETRY_AFTER_S)
            ) from error
        except LogUnavailable as error:
            return self._resolve_lost_append(ticket, start, wait_s, error)
        if not self.waiters.acquire(blocking=False):
            return SubmittedTicket(offset, None)
        try:
            return SubmittedTicket(offset, self.follower.await_offset(offset, wait_s))
        finally:
            self.waiters.release()

    def _read(self, data: bytes, operator: str) -> Ticket:
        try:
            ticket = read_ticket(data)
        except InvalidInput as error:
            raise TicketRefused(error.findings) from error
        # The audit trail records the operator named in the ticket. Without this
        # check, an operator could submit tickets in another operator's name.
        if operator and ticket.operator != operator:
            text = f"{ticket.operator!r} is not {operator!r}, whose token this is"
            raise TicketRefused((Finding("ticket: operator", text),), forbidden=True)
        return ticket

    def _check_log(self) -> None:
        """Refuse the ticket while hosts may reach different verdicts on it.

        This is so while the log lacks records that are already in force.
        """
        if self.follower.replica.phase in (Phase.FORKED, Phase.SEEKING):
            detail = "The log lacks records that are in force; see the status."
            raise SubmissionFailed(
                refuse(Reason.LOG_UNAVAILABLE, detail, RETRY_AFTER_S)
            )

    def _resolve_lost_append(
        self, ticket: Ticket, start: Offset, wait_s: float, error: Exception
    ) -> SubmittedTicket:
        """Look in the stream for a ticket whose append got no answer.

        A ticket that is found was appended. One that is not found may still be
        appended, because the request may be in flight.

        Raises
        ------
        SubmissionFailed
            The ticket was not found in time, so its outcome is unknown.
        """
        if self.waiters.acquire(blocking=False):
            try:
                entry = self.follower.await_ticket(ticket.digest, start, wait_s)
            finally:
                self.waiters.release()
            if entry:
                return SubmittedTicket(entry.offset, entry)
        detail = (
            f"The ticket may or may not be in the log: {error}. "
            "Submit the same ticket again; if it is there, that changes nothing."
        )
        raise SubmissionFailed(
            Refusal(
                RequestState.MAY_HAVE_RUN,
                Reason.LOG_UNAVAILABLE,
                detail,
                RETRY_AFTER_S,
            )
        ) from error


def is_rejected(submitted: SubmittedTicket) -> bool:
    """Return whether the ticket has a verdict and was rejected."""
    entry = submitted.entry
    return entry is not None and entry.verdict is Verdict.REJECTED
