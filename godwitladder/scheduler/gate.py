"""Refuses calls that an allocator would hardly serve, before it is asked for them.

Any thread may ask; what the allocator of a pool says is replaced as a whole.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from godwitladder.decisions.admission import AdmissionShare, Flow
from godwitladder.decisions.backoff import retry_after_s
from godwitladder.decisions.types import PoolName
from godwitladder.ids import RequestId
from godwitladder.outcomes import Reason, Refusal, refuse

VALID_S = 1.0
"""An allocator that is silent for longer closes nothing: what it said may be over."""
CLOSED = "More calls come than can be served."


@dataclass(frozen=True)
class SaidShares:
    """What one allocator said, and until when that holds."""

    shares: Mapping[Flow, AdmissionShare]
    until: float


class AdmissionGate:
    """What allocators say of the calls that are worth asking for."""

    def __init__(self) -> None:
        self.pools: dict[PoolName, SaidShares] = {}

    def set(self, pool: PoolName, shares: Iterable[AdmissionShare], now: float) -> None:
        """Take in what the allocator of ``pool`` says now."""
        rows = {(row.service, row.workspace): row for row in shares}
        self.pools[pool] = SaidShares(rows, now + VALID_S)

    def share(self, flow: Flow, now: float) -> AdmissionShare | None:
        """Return the part of the calls of ``flow`` to ask for; None for all."""
        for said in list(self.pools.values()):
            if flow in said.shares and now <= said.until:
                return said.shares[flow]
        return None

    def refusal(
        self, flow: Flow, request: RequestId, draw: float, now: float
    ) -> Refusal | None:
        """Return why a call is not to be asked for, if so.

        Parameters
        ----------
        draw : float
            A number from 0 to 1 that nothing else depends on.
        """
        row = self.share(flow, now)
        if row is None or draw < row.share:
            return None
        return refuse(Reason.SHED, CLOSED, retry_after_s(row.backlog_s, request))
