"""Client of the platform's list of live and leaving hosts, which lags behind."""

import json

from godwitladder.clients.pools import FAILED_REQUEST, BoundedPools
from godwitladder.engines.answer_limits import AnswerLimits
from godwitladder.findings import GodwitladderError
from godwitladder.ids import Zone
from godwitladder.logs import component_logger
from godwitladder.membership.contacts import ListedHost
from godwitladder.tables import host_port
from godwitladder.untrusted import is_name

log = component_logger("hosts")

ANSWER_LIMITS = AnswerLimits(body_bytes=1_048_576)
"""Room for ten thousand hosts."""
MAX_LOGGED_CHARS = 200


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
            rows = map(_read_host, json.loads(answer.data))
            return tuple(row for row in rows if row is not None)
        except FAILED_REQUEST as error:
            raise HostListUnavailable(f"host list did not answer: {error}") from error
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            raise HostListUnavailable(
                f"host list sent an invalid answer: {error!r}"
            ) from error


def _read_host(row: dict) -> ListedHost | None:
    """Return one host of the list; None if it has no usable address or zone."""
    address, zone = row["address"], row["zone"]
    if not is_name(address) or host_port(address) or not is_name(zone):
        log.info(
            "A listed host is invalid", extra={"row": repr(row)[:MAX_LOGGED_CHARS]}
        )
        return None
    return ListedHost(address, Zone(zone), bool(row["leaving"]))
