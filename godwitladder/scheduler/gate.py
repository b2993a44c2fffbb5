"""Admission control that refuses calls before they are reported to an allocator.

Refused are calls that the allocator is unlikely to serve. Any thread may call the
gate; the shares of a pool are replaced as a whole.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from godwitladder.decisions.types import PoolName
from godwitladder.decisions.waiting.admission import AdmissionShare, Flow
from godwitladder.decisions.waiting.backoff import retry_after_s
from godwitladder.ids import RequestId
from godwitladder.outcomes import Reason, Refusal, refuse

SHARES_LIFETIME_S = 1.0
"""Time for which admission shares are valid. After that, the overload that they
reflect may be over, so nothing is refused."""
OVERLOADED = "More calls come than can be served."


@dataclass(frozen=True)
class ReceivedShares:
    """Admission shares received from one allocator, and their expiry."""

    shares: Mapping[Flow, AdmissionShare]
    expires_at: float


class AdmissionGate:
    """Holds the admission shares of all pools and refuses calls beyond them."""

    def __init__(self) -> None:
        self.pools: dict[PoolName, ReceivedShares] = {}

    def set(self, pool: PoolName, shares: Iterable[AdmissionShare], now: float) -> None:
        """Replace the admission shares of ``pool``."""
        rows = {(row.service, row.workspace): row for row in shares}
        self.pools[pool] = ReceivedShares(rows, now + SHARES_LIFETIME_S)

    def share(self, flow: Flow, now: float) -> AdmissionShare | None:
        """Return the valid admission share of ``flow``; None admits all calls."""
        for received in list(self.pools.values()):
            if flow in received.shares and now <= received.expires_at:
                return received.shares[flow]
        return None

    def refusal(
        self, flow: Flow, request: RequestId, draw: float, now: float
    ) -> Refusal | None:
        """Return the refusal of a call, or None if it is admitted.

        Parameters
        ----------
        draw : float
            Random number in [0, 1), drawn independently for each call.
        """
        row = self.share(flow, now)
        if row is None or draw < row.share:
            return None
        return refuse(Reason.SHED, OVERLOADED, retry_after_s(row.backlog_s, request))
