"""Client of the platform's rate-limited weight store."""

from urllib.parse import quote

from godwitladder.clients.pools import FAILED_REQUEST, BoundedPools
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.findings import GodwitladderError
from godwitladder.ids import Zone

ANSWER_LIMITS = AnswerLimits(body_bytes=1_048_576)
"""Only the status of an answer is used."""


class WeightsUnavailable(GodwitladderError):
    """The store did not answer, or does not have the weights."""


class WeightsBusy(WeightsUnavailable):
    """The store rejected the read because of its rate limit."""


class WeightClient:
    """Checks for weights in the store; each check counts against its rate limit."""

    def __init__(self, url: str, zone: Zone, timeout_s: float = 2.0) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.pool = BoundedPools(ANSWER_LIMITS, headers={"X-Zone": zone})

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.clear()

    def check(self, name: str) -> None:
        """Check that the store has the weights ``name``.

        Raises
        ------
        WeightsBusy
            The rate limit is reached; it is unknown whether the store has them.
        WeightsUnavailable
            The store did not answer, or does not have the weights.
        """
        url = f"{self.url}/weights/{quote(name)}"
        try:
            answer = self.pool.ask("GET", url, self.timeout_s)
        except FAILED_REQUEST as error:
            raise WeightsUnavailable(f"weight store did not answer: {error}") from error
        if answer.status == 429:
            raise WeightsBusy("the weight store reached its read limit")
        if answer.status != 200:
            raise WeightsUnavailable(f"weight store answered {answer.status}")
