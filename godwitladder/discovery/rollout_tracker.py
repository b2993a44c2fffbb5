"""Keeps the orders of roll-outs that stand in the store, and answers them."""

from dataclasses import dataclass

from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.discovery.source import Batch, Record, Source, StoreUnavailable
from godwitladder.ids import ServiceName
from godwitladder.logs import component_logger

log = component_logger("rollouts")

AFTER_S = 15.0
"""Targets of a version that is taken back are emptied within some seconds. Held back
for longer, those of the same version that come by any other way would stand idle."""


@dataclass(frozen=True)
class SeenOrder:
    """An order, and until when its version is held back."""

    record: Record
    order: RolloutOrder
    until: float


class RolloutDesk:
    """The orders in force, by service.

    Parameters
    ----------
    source : Source
        The store.

    Attributes
    ----------
    orders : dict
        Those whose version is held back.
    seen : dict
        The last order of each service, also after that.
    told : dict
        Offset of the last order of each service that this host has answered.
    """

    def __init__(self, source: Source) -> None:
        self.source = source
        self.orders: dict[ServiceName, RolloutOrder] = {}
        self.seen: dict[ServiceName, SeenOrder] = {}
        self.told: dict[ServiceName, int] = {}

    def take(self, batch: Batch, now: float) -> bool:
        """Take in what was read; return whether any version is held back anew."""
        for record in batch.records:
            order = self.source.decode_rollout(record)
            seen = self.seen.get(order.service) if order is not None else None
            if order is not None and (seen is None or seen.order != order):
                until = now + order.duration_s + AFTER_S
                self.seen[order.service] = SeenOrder(record, order, until)
        return self.expire(now)

    def expire(self, now: float) -> bool:
        """Let go of orders that are over; return whether anything changed."""
        before = self.orders
        self.orders = {
            service: row.order for service, row in self.seen.items() if row.until > now
        }
        return self.orders != before

    def answer(self) -> None:
        """Answer the orders that this host has not answered.

        Another host may have done so before it was lost; the answer is the same.
        """
        for row in list(self.seen.values()):
            if self.told.get(row.order.service) != row.order.offset:
                self.take_back(row.record, row.order)

    def take_back(self, record: Record, order: RolloutOrder) -> None:
        """Say that a roll-out is taken back; try again later if that fails."""
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
            log.warning("An order is not answered", extra=extra | {"error": str(error)})
            return
        self.told[order.service] = order.offset
        log.info("A roll-out is taken back unjudged", extra=extra)
