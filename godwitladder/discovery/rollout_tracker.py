"""Tracks the rollout orders read from the store, and answers them."""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from godwitladder.discovery.rollouts import OrderInForce, RolloutOrder, RolloutState
from godwitladder.discovery.source import Batch, Record, Source, StoreUnavailable
from godwitladder.ids import ServiceName
from godwitladder.logs import component_logger
from godwitladder.routing.freshness import DocumentFreshness

log = component_logger("rollouts")

EXTRA_HOLD_S = 15.0
"""How long a version stays held back after the duration of its order. Targets of a
version that is rolled back are drained within seconds; holding the version back for
much longer would leave idle the targets of that version that are started later for
another reason."""
OUTAGE_S = 2.0
"""Age of the documents from which an outage of the store is assumed."""


@dataclass(frozen=True)
class LatestOrder:
    """An order, and the time until which its version is held back.

    Attributes
    ----------
    is_stored : bool
        Whether it has been read in the store's current era.
    ordered_at : float
        Earliest time at which it may have been given: of the last read without it.
    """

    record: Record
    order: RolloutOrder
    expires_at: float
    is_stored: bool = True
    ordered_at: float = -math.inf


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
    superseded : dict
        Versions whose rollout another order has replaced before it was completed, by
        service, each with the time until which it is held back.
    is_completed : callable
        Returns whether the rollout of an order is known to be completed.
    freshness : DocumentFreshness or None
        Age of the documents. None where versions are not tried: orders are then
        answered at once.
    """

    def __init__(self, source: Source) -> None:
        self.source = source
        self.orders: dict[ServiceName, RolloutOrder] = {}
        self.latest: dict[ServiceName, LatestOrder] = {}
        self.answered: dict[ServiceName, RolloutOrder] = {}
        self.superseded: dict[ServiceName, dict[str, float]] = {}
        self.freshness: DocumentFreshness | None = None
        self.is_completed: Callable[[RolloutOrder], bool] = lambda order: False

    def forget(self) -> None:
        """Forget all orders, which were those of another store."""
        for rows in (self.orders, self.latest, self.answered, self.superseded):
            rows.clear()

    def begin_era(self) -> None:
        """Answer all orders again once they are read in the store's new era.

        The store may have lost the answers, and the operator would wait for them. What
        is held back stays so.
        """
        self.answered.clear()
        for service, row in self.latest.items():
            self.latest[service] = replace(row, is_stored=False)

    def apply(self, batch: Batch, now: float, confirmed_at: float = -math.inf) -> bool:
        """Apply the records of a read; return whether the orders in force changed.

        Parameters
        ----------
        confirmed_at : float
            Time up to which all records before this read are known.
        """
        for record in batch.records:
            order = self.source.decode_rollout(record)
            if order is not None:
                self.put(record, order, now, confirmed_at)
        return self.expire(now)

    def put(
        self, record: Record, order: RolloutOrder, now: float, confirmed_at: float
    ) -> None:
        """Add an order; one that is known keeps its times."""
        known = self.latest.get(order.service)
        if known is not None and known.order == order:
            self.latest[order.service] = replace(known, record=record, is_stored=True)
            return
        expires_at = now + order.duration_s + EXTRA_HOLD_S
        row = LatestOrder(record, order, expires_at, ordered_at=confirmed_at)
        self.latest[order.service] = row
        if self.freshness is not None:
            self.supersede(order, known, now)
            self.log_order(order, self.orders.get(order.service))

    def supersede(
        self, order: RolloutOrder, before: LatestOrder | None, now: float
    ) -> None:
        """Hold the version of an order back that another one replaces.

        Its targets may be bad, and are still there for some seconds.
        """
        releases = self.superseded.setdefault(order.service, {})
        is_under_way = before is not None and before.expires_at > now
        if is_under_way and not self.is_completed(before.order):
            releases[before.order.release] = before.expires_at
        releases.pop(order.release, None)

    def log_order(self, order: RolloutOrder, before: RolloutOrder | None) -> None:
        """Log an order, and which one it replaces that may be under way."""
        extra = {
            "service": order.service,
            "release": order.release,
            "duration_s": order.duration_s,
            "offset": order.offset,
            "replaces": before.release if before else "",
        }
        log.info("A rollout was ordered", extra=extra)

    def orders_to_try(self) -> tuple[OrderInForce, ...]:
        """Return the orders whose versions are to be tried."""
        if self.freshness is None:
            return ()
        return tuple(
            OrderInForce(order, self.latest[service].ordered_at)
            for service, order in sorted(self.orders.items())
        )

    def hold_during_outage(self, now: float) -> None:
        """Keep orders in force while the store can't tell of an outcome.

        Their targets are drained only after one is written.
        """
        if self.freshness is None or self.freshness.age_s(now) < OUTAGE_S:
            return
        least = now + EXTRA_HOLD_S
        for service in self.orders:
            row = self.latest[service]
            expires_at = max(row.expires_at, least)
            self.latest[service] = replace(row, expires_at=expires_at)
        for releases in self.superseded.values():
            releases.update({name: max(at, least) for name, at in releases.items()})

    def expire(self, now: float) -> bool:
        """Remove expired orders; return whether the orders in force changed."""
        self.hold_during_outage(now)
        before = self.orders, self.superseded
        self.superseded = {
            service: {name: until for name, until in releases.items() if until > now}
            for service, releases in self.superseded.items()
        }
        self.orders = {
            service: row.order
            for service, row in self.latest.items()
            if row.expires_at > now
        }
        is_released = any(
            row.keys() != self.superseded[service].keys()
            for service, row in before[1].items()
        )
        return self.orders != before[0] or is_released

    def answer_orders(self) -> None:
        """Answer the orders that this host has not answered.

        Another host may have answered an order before it failed; the second answer
        is the same.
        """
        if self.freshness is not None:
            return
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
