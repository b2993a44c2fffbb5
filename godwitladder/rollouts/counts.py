"""What one host knows of versions on trial, and how they answered it.

The threads of calls record answers; the scheduler reports the counts. They are
cumulative since the order, so that a lost report or a new allocator loses nothing.
"""

import threading
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from godwitladder.decisions.rollouts.evidence import time_bucket
from godwitladder.discovery.rollouts import OrderInForce
from godwitladder.ids import Release, RouteName, ServiceName, TargetName
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.rollouts.messages import (
    CondemnedVersion,
    Notice,
    OrderAge,
    ProvedVersion,
    TimeCount,
    VersionCounts,
)
from godwitladder.rollouts.sent_parts import PromptPart, SentParts

log = component_logger("rollouts")

MAX_ROWS = 512
"""Versions and routes that a host counts. It limits the size of a report."""

RowKey = tuple[ServiceName, Release, RouteName]


@dataclass
class Row:
    """Answers of one version on one route."""

    good: int = 0
    failed: int = 0
    times: Counter[int] = field(default_factory=Counter)


class HostRollouts:
    """Orders in force, outcomes and counts of answers on one host; thread-safe.

    Parameters
    ----------
    metrics : Metrics or None
        Counts the answers of services with an order.

    Attributes
    ----------
    orders : mapping
        Orders in force by service. Empty where versions are not tried.
    notices : dict
        Versions that were condemned or proved, by service.
    rows : dict
        Counts by service, version and route.
    changed : set
        Keys of the rows that have changed since the last report.
    parts : SentParts or None
        Prompt parts that targets hold; None where versions are not tried.
    """

    def __init__(
        self, metrics: Metrics | None = None, parts: SentParts | None = None
    ) -> None:
        self.metrics = metrics
        self.parts = parts
        self.lock = threading.Lock()
        self.orders: Mapping[ServiceName, OrderInForce] = {}
        self.notices: dict[ServiceName, Notice] = {}
        self.rows: dict[RowKey, Row] = {}
        self.changed: set[RowKey] = set()

    def set_orders(self, orders: Mapping[ServiceName, OrderInForce]) -> None:
        """Set the orders in force; what belongs to another order is forgotten."""
        with self.lock:
            same = {
                service
                for service, row in orders.items()
                if service in self.orders and self.orders[service].order == row.order
            }
            self.orders = orders
            self.rows = {key: row for key, row in self.rows.items() if key[0] in same}
            self.notices = {
                service: row
                for service, row in self.notices.items()
                if service in orders and row.offset == orders[service].order.offset
            }
            self.changed.intersection_update(self.rows)

    def is_on_trial(self, service: ServiceName, release: Release) -> bool:
        """Return whether a version may get requests that were granted for it."""
        row = self.orders.get(service)
        if row is None or row.order.release != release:
            return False
        return not isinstance(self.notices.get(service), CondemnedVersion)

    def record_answer(
        self,
        service: ServiceName,
        release: Release,
        route: RouteName,
        first_s: float | None,
        tokens: int = 0,
    ) -> None:
        """Count an answer of a service with an order.

        Parameters
        ----------
        first_s : float or None
            Seconds from sending the request to the first output of a good answer; None
            for an answer that failed.
        tokens : int
            Prompt tokens that the target had to read.
        """
        if service not in self.orders:
            return
        key = service, release, route
        with self.lock:
            if key not in self.rows and len(self.rows) >= MAX_ROWS:
                return
            row = self.rows.setdefault(key, Row())
            self.changed.add(key)
            if first_s is None:
                row.failed += 1
            else:
                row.good += 1
                row.times[time_bucket(first_s, tokens)] += 1
        if self.metrics is not None:
            result = "failed" if first_s is None else "good"
            self.metrics.rollout_answers.inc(
                {"service": service, "release": release, "result": result}
            )

    def tokens_to_read(self, target: TargetName, parts: Iterable[PromptPart]) -> int:
        """Return the prompt tokens that a target has to read, and record its parts.

        0 where versions are not tried, as nothing is compared then.
        """
        return self.parts.take(target, parts) if self.parts is not None else 0

    def record_grant(self, service: ServiceName, release: Release) -> None:
        """Count a request that is sent to a version on trial."""
        if self.metrics is not None:
            labels = {"service": service, "release": release}
            self.metrics.rollout_grants.inc(labels)

    def take_counts(
        self, services: Collection[ServiceName], only_changed: bool
    ) -> tuple[VersionCounts, ...]:
        """Return the counts to report for some services."""
        with self.lock:
            keys = self.changed if only_changed else self.rows.keys()
            keys = sorted(key for key in keys if key[0] in services)
            self.changed.difference_update(keys)
            return tuple(self.make_counts(key) for key in keys)

    def make_counts(self, key: RowKey) -> VersionCounts:
        """Return the counts of one version on one route."""
        row = self.rows[key]
        times = tuple(TimeCount(*item) for item in sorted(row.times.items()))
        offset = self.orders[key[0]].order.offset
        return VersionCounts(*key, row.good, row.failed, times, offset)

    def order_ages(
        self, services: Collection[ServiceName], now: float
    ) -> tuple[OrderAge, ...]:
        """Return the age of each order for some services, where it is known."""
        return tuple(
            OrderAge(service, row.order.offset, now - row.ordered_at)
            for service, row in self.orders.items()
            if service in services and row.ordered_at > float("-inf")
        )

    def notices_of(
        self, services: Collection[ServiceName], kind: type[Notice]
    ) -> tuple[Notice, ...]:
        """Return the notices of one kind for some services."""
        rows = [row for row in self.notices.values() if row.service in services]
        return tuple(row for row in rows if isinstance(row, kind))

    def take_notice(self, notice: Notice) -> bool:
        """Take in what an allocator tells; return whether it is new."""
        row = self.orders.get(notice.service)
        if row is None or row.order.offset != notice.offset:
            return False
        known = self.notices.get(notice.service)
        # What the store holds is final; an allocator may have condemned it before.
        if known == notice or isinstance(known, ProvedVersion):
            return False
        self.notices[notice.service] = notice
        text = (
            "A version gets no more calls"
            if isinstance(notice, CondemnedVersion)
            else "A version has replaced the old one"
        )
        log.info(text, extra=vars(notice))
        return True
