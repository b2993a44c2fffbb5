"""Client of an entry host's interface for operators."""

import json
import os

import urllib3

from godwitladder.findings import GodwitladderError

TOKEN_VARIABLE = "GODWITLADDER_TOKEN"
AUTHORITY_VARIABLE = "GODWITLADDER_AUTHORITY"
# Above the longest wait for a verdict and the log's own timeout.
TIMEOUT_S = 20.0
REFUSED = 1
UNAVAILABLE = 3


class AskFailed(GodwitladderError):
    """A host refused or did not answer.

    Parameters
    ----------
    text : str
        What to tell the operator, a line for each finding.
    exit_code : int
        For the command line.
    """

    def __init__(self, text: str, exit_code: int) -> None:
        super().__init__(text)
        self.exit_code = exit_code


class OperatorClient:
    """Asks one entry host.

    Parameters
    ----------
    host : str
        Operators' address, as ``address:port`` or, for TLS, with ``https://``
        before it.
    token, authority : str or None
        The operator's token, and the PEM file of the authority that signed
        the host's certificate; None reads the environment.
    """

    def __init__(
        self, host: str, token: str | None = None, authority: str | None = None
    ) -> None:
        self.host = host
        self.root = host if "://" in host else f"http://{host}"
        self.token = os.environ.get(TOKEN_VARIABLE, "") if token is None else token
        authority = authority or os.environ.get(AUTHORITY_VARIABLE)
        self.pool = urllib3.PoolManager(retries=False, ca_certs=authority)

    def get(self, path: str) -> dict:
        """Return the host's answer to a question.

        Raises
        ------
        AskFailed
            The host refused, or did not answer.
        """
        return self._ask("GET", path, None)

    def submit(self, ticket: bytes, wait_s: float) -> dict:
        """Submit a ticket; return its row of the trail once it is judged.

        Raises
        ------
        AskFailed
            It was rejected or refused, or its outcome is open.
        """
        return self._ask("POST", f"/v1/tickets?wait={wait_s}", ticket)

    def lift(self, digest: str, operator: str) -> dict:
        """Lift a quarantine; lifting one twice changes nothing.

        Raises
        ------
        AskFailed
            The host refused, or did not answer.
        """
        body = json.dumps({"digest": digest, "operator": operator}).encode()
        return self._ask("POST", "/v1/quarantine/lift", body)

    def _ask(self, method: str, path: str, body: bytes | None) -> dict:
        try:
            answer = self.pool.request(
                method,
                self.root + path,
                body=body,
                headers={"Authorization": f"Bearer {self.token}"},
                timeout=TIMEOUT_S,
            )
            value = json.loads(answer.data)
        except (urllib3.exceptions.HTTPError, ValueError, OSError) as error:
            text = f"{self.host} gave no answer: {error}"
            if method == "POST":
                text += "\nThe outcome is open; the same again does no harm."
            raise AskFailed(text, UNAVAILABLE) from error
        if answer.status >= 400:
            code = UNAVAILABLE if answer.status >= 500 else REFUSED
            raise AskFailed(refusal_text(value), code)
        return value


def refusal_text(value: dict) -> str:
    """Return a refusal as lines for people."""
    rows = [f"{row['place']}: {row['text']}" for row in value.get("findings", [])]
    head = value.get("detail", "The host refused.")
    outcome = f" (outcome: {value['outcome']})" if "outcome" in value else ""
    return "\n".join([*rows, head + outcome])
