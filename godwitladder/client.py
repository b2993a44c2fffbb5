"""Client of the operators' API of an entry host."""

import json
import os

from godwitladder.clients.pools import FAILED_REQUEST, BoundedPools
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.findings import GodwitladderError

TOKEN_VARIABLE = "GODWITLADDER_TOKEN"
AUTHORITY_VARIABLE = "GODWITLADDER_AUTHORITY"
# Longer than the maximum wait for a verdict and the timeout of the log.
TIMEOUT_S = 20.0
ANSWER_LIMITS = AnswerLimits()
EXIT_REFUSED = 1
EXIT_UNAVAILABLE = 3


class OperatorRequestFailed(GodwitladderError):
    """Raised if a host refused an operator's request or did not answer.

    Parameters
    ----------
    text : str
        Message for the operator, with one line per finding.
    exit_code : int
        Exit code for the command line.
    """

    def __init__(self, text: str, exit_code: int) -> None:
        super().__init__(text)
        self.exit_code = exit_code


class OperatorClient:
    """Sends operators' requests to one entry host.

    Parameters
    ----------
    host : str
        The host's address for operators, as ``address:port`` or, for TLS, as
        ``https://address:port``.
    token : str or None, default=None
        The operator's token; None reads it from ``GODWITLADDER_TOKEN``.
    authority : str or None, default=None
        PEM file of the authority that signed the host's certificate; None reads
        it from ``GODWITLADDER_AUTHORITY``.
    """

    def __init__(
        self, host: str, token: str | None = None, authority: str | None = None
    ) -> None:
        self.host = host
        self.base_url = host if "://" in host else f"http://{host}"
        token = os.environ.get(TOKEN_VARIABLE, "") if token is None else token
        headers = {"Authorization": f"Bearer {token}"}
        authority = authority or os.environ.get(AUTHORITY_VARIABLE)
        self.pool = BoundedPools(ANSWER_LIMITS, headers=headers, ca_certs=authority)

    def get(self, path: str) -> dict:
        """Return the JSON object that the host returns for ``path``.

        Raises
        ------
        OperatorRequestFailed
            If the host refused the request or did not answer.
        """
        return self._request("GET", path, None)

    def submit(self, ticket: bytes, wait_s: float) -> dict:
        """Submit a ticket and return its audit entry.

        Parameters
        ----------
        ticket : bytes
            The ticket in TOML.
        wait_s : float
            Maximum wait for the verdict, in seconds.

        Raises
        ------
        OperatorRequestFailed
            If the ticket was rejected or refused, or its outcome is unknown.
        """
        return self._request("POST", f"/v1/tickets?wait={wait_s}", ticket)

    def lift(self, digest: str, operator: str) -> dict:
        """Lift the quarantine of a request; lifting it again has no effect.

        Parameters
        ----------
        digest : str
            Digest of the quarantined request.
        operator : str
            Name of the operator, for the logs.

        Raises
        ------
        OperatorRequestFailed
            If the host refused the request or did not answer.
        """
        body = json.dumps({"digest": digest, "operator": operator}).encode()
        return self._request("POST", "/v1/quarantine/lift", body)

    def _request(self, method: str, path: str, body: bytes | None) -> dict:
        try:
            answer = self.pool.ask(method, self.base_url + path, TIMEOUT_S, body)
            value = json.loads(answer.data)
        except (*FAILED_REQUEST, ValueError) as error:
            text = f"{self.host} did not answer: {error}"
            if method == "POST":
                text += "\nThe outcome is unknown; it is safe to repeat the request."
            raise OperatorRequestFailed(text, EXIT_UNAVAILABLE) from error
        if answer.status >= 400:
            code = EXIT_UNAVAILABLE if answer.status >= 500 else EXIT_REFUSED
            raise OperatorRequestFailed(format_refusal(value), code)
        return value


def format_refusal(value: dict) -> str:
    """Return the JSON body of a refusal as human-readable lines."""
    rows = [f"{row['place']}: {row['text']}" for row in value.get("findings", [])]
    head = value.get("detail", "The host refused.")
    outcome = f" (outcome: {value['outcome']})" if "outcome" in value else ""
    return "\n".join([*rows, head + outcome])
