"""Client of the platform's rate-limited weight store."""

from urllib.parse import quote

import urllib3

from godwitladder.findings import GodwitladderError
from godwitladder.ids import Zone


class WeightsUnavailable(GodwitladderError):
    """The store did not answer, or does not have the weights."""


class WeightsBusy(WeightsUnavailable):
    """The store rejected the read because of its rate limit."""


class WeightClient:
    """Checks for weights in the store; each check counts against its rate limit."""

    def __init__(self, url: str, zone: Zone, timeout_s: float = 2.0) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.pool = urllib3.PoolManager(retries=False, headers={"X-Zone": zone})

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
            answer = self.pool.request("GET", url, timeout=self.timeout_s)
        except urllib3.exceptions.HTTPError as error:
            raise WeightsUnavailable(f"weight store did not answer: {error}") from error
        if answer.status == 429:
            raise WeightsBusy("the weight store reached its read limit")
        if answer.status != 200:
            raise WeightsUnavailable(f"weight store answered {answer.status}")
