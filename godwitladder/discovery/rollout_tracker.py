"""Tracks the rollout orders read from the store, and answers them."""

from dataclasses import dataclass

from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.source import Batch, Record, Source, StoreUnavailable
from godwitladder.ids import ServiceName
from godwitladder.logs import component_logger

log = component_logger("rollouts")

AFTER_S = 15.0
"""How long a version stays held back after the duration of its order. Targets of a
version that is rolled back are drained within seconds; holding the version back for
much longer would leave idle the targets of that version that are started later for
another reason."""


@dataclass(frozen=True)
class SeenOrder:
    """An order, and the time until which its version is held back."""

    record: Record
    order: RolloutOrder
    until: float


class RolloutDesk:
    """Rollout orders by service.

    Parameters
    ----------
    source : Source
        The store.

    Attributes
    ----------
    orders : dict
        Orders whose version is held back, by service.
    seen : dict
        Last order of each service, kept also when its version is no longer held back.
    told : dict
        Offset of the last order that this host has answered, by service.
    """

    def __init__(self, source: Source) -> None:
        self.source = source
        self.orders: dict[ServiceName, RolloutOrder] = {}
        self.seen: dict[ServiceName, SeenOrder] = {}
        self.told: dict[ServiceName, int] = {}

    def take(self, batch: Batch, now: float) -> bool:
        """Apply the records of a read; return whether the orders in force changed."""
        for record in batch.records:
            order = self.source.decode_rollout(record)
            seen = self.seen.get(order.service) if order is not None else None
            if order is not None and (seen is None or seen.order != order):
                until = now + order.duration_s + AFTER_S
                self.seen[order.service] = SeenOrder(record, order, until)
        return self.expire(now)

    def expire(self, now: float) -> bool:
        """Remove expired orders; return whether the orders in force changed."""
        before = self.orders
        self.orders = {
            service: row.order for service, row in self.seen.items() if row.until > now
        }
        return self.orders != before

    def answer(self) -> None:
        """Answer the orders that this host has not answered.

        Another host may have answered an order before it failed; the second answer
        is the same.
        """
        for row in list(self.seen.values()):
            if self.told.get(row.order.service) != row.order.offset:
                self.take_back(row.record, row.order)

    def take_back(self, record: Record, order: RolloutOrder) -> None:
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
        self.told[order.service] = order.offset
        log.info("Rollout rolled back without evaluation", extra=extra)
