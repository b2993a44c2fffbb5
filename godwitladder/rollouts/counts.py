"""What one host knows of versions on trial, and how they answered it.

The threads of calls record answers; the scheduler reports the counts. They are
cumulative since the order, so that a lost report or a new allocator loses nothing.
"""

import enum
import threading
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from godwitladder.decisions.rollouts.evidence import time_bucket
from godwitladder.discovery.rollouts import OrderInForce, RolloutOrder
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

MAX_LOGGED_FAILURES = 20
"""Failures of a version on a route that a host logs. Fewer than 50 condemn it."""
MAX_ROWS = 512
"""Versions and routes that a host counts. It limits the size of a report."""

RowKey = tuple[ServiceName, Release, RouteName]


@dataclass
class Row:
    """Answers of one version on one route."""

    sent: int = 0
    good: int = 0
    failed: int = 0
    times: Counter[int] = field(default_factory=Counter)


class AnswerResult(enum.Enum):
    """What an answer tells of the target.

    Attributes
    ----------
    VOID
        Nothing: the request did not run, or ended for a reason beyond the target.
    """

    GOOD = "good"
    FAILED = "failed"
    VOID = "void"


class TrackedAnswer:
    """One request that was sent, up to the end of its answer.

    Parameters
    ----------
    rollouts : HostRollouts
    key : tuple
        Service, version and route.
    row : Row
        Counts of the order under which the request was sent.
    sent_at : float
        Time of sending.
    """

    def __init__(
        self, rollouts: "HostRollouts", key: RowKey, row: Row, sent_at: float
    ) -> None:
        self.rollouts = rollouts
        self.key = key
        self.row = row
        self.sent_at = sent_at
        self.has_output = False
        self.ended = False

    def record_output(self, now: float, tokens: int = 0) -> None:
        """Count the time to the first output; later calls do nothing.

        Parameters
        ----------
        tokens : int
            Prompt tokens that the target had to read.
        """
        if self.has_output or self.ended:
            return
        self.has_output = True
        with self.rollouts.lock:
            self.row.times[time_bucket(now - self.sent_at, tokens)] += 1
            self.rollouts.mark_changed(self.key, self.row)

    def end(self, result: AnswerResult) -> bool:
        """Count the end of the answer; later calls do nothing.

        Returns
        -------
        bool
            Whether it is one of the first failures, of which each gets a log line.
        """
        if self.ended:
            return False
        self.ended = True
        with self.rollouts.lock:
            self.row.good += result is AnswerResult.GOOD
            self.row.failed += result is AnswerResult.FAILED
            self.row.sent -= result is AnswerResult.VOID
            self.rollouts.mark_changed(self.key, self.row)
        self.rollouts.count_end(self.key, result)
        is_first = self.row.failed <= MAX_LOGGED_FAILURES
        return result is AnswerResult.FAILED and is_first


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
                service: row for service, row in self.notices.items() if service in same
            }
            self.changed.intersection_update(self.rows)

    def is_on_trial(self, service: ServiceName, release: Release) -> bool:
        """Return whether a version may get requests that were granted for it.

        The grant decides; this host may know less of an order than the allocator.
        """
        if service not in self.orders:
            return False
        notice = self.notices.get(service)
        is_condemned = isinstance(notice, CondemnedVersion)
        return not (is_condemned and notice.release == release)

    def is_completed(self, order: RolloutOrder) -> bool:
        """Return whether this host knows that the rollout of an order is completed."""
        release = Release(order.release)
        proved = ProvedVersion(order.service, release, order.offset)
        return self.notices.get(order.service) == proved

    def begin(
        self, service: ServiceName, release: Release, route: RouteName, now: float
    ) -> "TrackedAnswer | None":
        """Count a request that is sent now; None if its service has no order."""
        if service not in self.orders:
            return None
        key = service, release, route
        with self.lock:
            is_full = key not in self.rows and len(self.rows) >= MAX_ROWS
            if is_full or service not in self.orders:
                return None
            row = self.rows.setdefault(key, Row())
            row.sent += 1
            self.changed.add(key)
        return TrackedAnswer(self, key, row, now)

    def mark_changed(self, key: RowKey, row: Row) -> None:
        """Report a row soon, unless its order is over; the lock is held."""
        if self.rows.get(key) is row:
            self.changed.add(key)

    def count_end(self, key: RowKey, result: AnswerResult) -> None:
        """Count the end of an answer in the metrics."""
        if self.metrics is not None:
            labels = {"service": key[0], "release": key[1], "result": result.value}
            self.metrics.rollout_answers.inc(labels)

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
            keys = sorted(key for key in keys & self.rows.keys() if key[0] in services)
            self.changed.difference_update(keys)
            return tuple(self.make_counts(key) for key in keys)

    def make_counts(self, key: RowKey) -> VersionCounts:
        """Return the counts of one version on one route."""
        row = self.rows[key]
        times = tuple(TimeCount(*item) for item in sorted(row.times.items()))
        offset = self.orders[key[0]].order.offset
        return VersionCounts(*key, row.sent, row.good, row.failed, times, offset)

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
