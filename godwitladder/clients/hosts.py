"""Client of the platform's list of live and leaving hosts, which lags behind."""

import json

from godwitladder.clients.pools import FAILED_REQUEST, BoundedPools
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.findings import GodwitladderError
from godwitladder.ids import Zone
from godwitladder.membership.contacts import ListedHost

ANSWER_LIMITS = AnswerLimits(body_bytes=1_048_576)
"""Room for ten thousand hosts."""


class HostListUnavailable(GodwitladderError):
    """The host list did not answer, or its answer was invalid."""


class HostListClient:
    """Reads the host list; its contents lag behind and are only a hint."""

    def __init__(self, url: str, zone: Zone, timeout_s: float = 2.0) -> None:
        self.url = url.rstrip("/")
        self.timeout_s = timeout_s
        self.pool = BoundedPools(ANSWER_LIMITS, headers={"X-Zone": zone})

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.clear()

    def read(self) -> tuple[ListedHost, ...]:
        """Return the hosts on the list.

        Raises
        ------
        HostListUnavailable
            The list did not answer, or its answer was invalid.
        """
        try:
            answer = self.pool.ask("GET", f"{self.url}/hosts", self.timeout_s)
            if answer.status != 200:
                raise HostListUnavailable(f"host list answered {answer.status}")
            return tuple(
                ListedHost(row["address"], row["zone"], row["leaving"])
                for row in json.loads(answer.data)
            )
        except FAILED_REQUEST as error:
            raise HostListUnavailable(f"host list did not answer: {error}") from error
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise HostListUnavailable(
                f"host list sent an invalid answer: {error!r}"
            ) from error
