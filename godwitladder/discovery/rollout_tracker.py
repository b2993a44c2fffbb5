"""Tracks the rollout orders read from the store, and answers them."""

from dataclasses import dataclass, replace

from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.source import Batch, Record, Source, StoreUnavailable
from godwitladder.ids import ServiceName
from godwitladder.logs import component_logger

log = component_logger("rollouts")

EXTRA_HOLD_S = 15.0
"""How long a version stays held back after the duration of its order. Targets of a
version that is rolled back are drained within seconds; holding the version back for
much longer would leave idle the targets of that version that are started later for
another reason."""


@dataclass(frozen=True)
class LatestOrder:
    """An order, and the time until which its version is held back.

    Attributes
    ----------
    is_stored : bool
        Whether it has been read in the store's current era.
    """

    record: Record
    order: RolloutOrder
    expires_at: float
    is_stored: bool = True


class RolloutTracker:
    """Rollout orders by service.

    Parameters
    ----------
    source : Source
        The store.

    Attributes
    ----------
    orders : dict
        Orders whose version is held back, by service.
    latest : dict
        Last order of each service, kept also when its version is no longer held back.
    answered : dict
        Last order that this host has answered in the store's current era, by service.
    """

    def __init__(self, source: Source) -> None:
        self.source = source
        self.orders: dict[ServiceName, RolloutOrder] = {}
        self.latest: dict[ServiceName, LatestOrder] = {}
        self.answered: dict[ServiceName, RolloutOrder] = {}

    def begin_era(self) -> None:
        """Answer all orders again once they are read in the store's new era.

        The store may have lost the answers, and the operator would wait for them. What
        is held back stays so.
        """
        self.answered.clear()
        for service, row in self.latest.items():
            self.latest[service] = replace(row, is_stored=False)

    def apply(self, batch: Batch, now: float) -> bool:
        """Apply the records of a read; return whether the orders in force changed."""
        for record in batch.records:
            order = self.source.decode_rollout(record)
            if order is not None:
                self.put(record, order, now)
        return self.expire(now)

    def put(self, record: Record, order: RolloutOrder, now: float) -> None:
        """Add an order; one that is known keeps its time."""
        known = self.latest.get(order.service)
        expires_at = now + order.duration_s + EXTRA_HOLD_S
        if known is not None and known.order == order:
            expires_at = known.expires_at
        self.latest[order.service] = LatestOrder(record, order, expires_at)

    def expire(self, now: float) -> bool:
        """Remove expired orders; return whether the orders in force changed."""
        before = self.orders
        self.orders = {
            service: row.order
            for service, row in self.latest.items()
            if row.expires_at > now
        }
        return self.orders != before

    def answer_orders(self) -> None:
        """Answer the orders that this host has not answered.

        Another host may have answered an order before it failed; the second answer
        is the same.
        """
        for row in list(self.latest.values()):
            if row.is_stored and self.answered.get(row.order.service) != row.order:
                self.report_rolled_back(row.record, row.order)

    def report_rolled_back(self, record: Record, order: RolloutOrder) -> None:
        """Report a rollout as rolled back; the next call retries a failed write."""
        state = RolloutState.ROLLED_BACK
        extra = {
            "service": order.service,
            "release": order.release,
            "duration_s": order.duration_s,
            "state": state.value,
        }
        try:
            self.source.write_rollout_state(record, order, state)
        except StoreUnavailable as error:
            log.warning(
                "Could not answer a rollout order", extra=extra | {"error": str(error)}
            )
            return
        self.answered[order.service] = order
        log.info("Rollout rolled back without evaluation", extra=extra)
