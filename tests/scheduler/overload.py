"""Simulation of hosts, their allocator and its link, which has limited bandwidth."""

from collections import Counter, deque
from dataclasses import dataclass, field

from godwitladder.membership.codec import decode, encode
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.scheduler.pools import make_pools
from godwitladder.scheduler.reports import due_reports, take_offer
from godwitladder.scheduler.role import PoolRole
from godwitladder.scheduler.rows import Dispatch, RequestRow, Tables
from godwitladder.scheduler.systems import (
    finish_request,
    record_first_output,
    run_systems,
)
from tests.scheduler.harness import (
    START,
    make_config,
    make_request,
    make_tables,
    submit,
)

STEP_S = 0.01
PREFILL_S = 0.02


@dataclass
class Region:
    """Simulation of a region whose hosts share one link to their allocator.

    Parameters
    ----------
    slots : int
        Number of calls that the only target runs concurrently.
    hold_s : float
        Seconds for which a call holds a slot.
    patience_s : float
        Seconds after which a caller gives up.
    link_bytes_s : float
        Bytes per second that the allocator's link carries.

    Attributes
    ----------
    link : deque
        Reports in transit, each with its remaining bytes and time of sending.
    delays : list
        Time of arrival and delay in seconds of each report.
    answered : Counter
        Number of answered calls in each second.
    unanswered : Counter
        Number of calls in each second that got no answer before their deadline.
    """

    hosts: int
    slots: int
    hold_s: float
    patience_s: float
    link_bytes_s: float
    now: float = START
    arrivals: float = 0.0
    count: int = 0
    link: deque = field(default_factory=deque)
    sent_bytes: Counter = field(default_factory=Counter)
    delays: list = field(default_factory=list)
    running: list = field(default_factory=list)
    answered: Counter = field(default_factory=Counter)
    unanswered: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        names = tuple(f"h{number}" for number in range(self.hosts))
        config = make_config({"e0": self.slots}, place="beyond")
        self.tables = [make_tables(name, names, config) for name in names]
        self.rows: list[list[RequestRow]] = [[] for _ in names]
        for tables in self.tables:
            tables.has_standing_grants, tables.early_fallback = False, True
        (pool,) = make_pools(config.targets).values()
        (access,) = self.tables[0].pools.values()
        self.role = PoolRole(
            pool, access.allocator, 1, self.now, has_standing_grants=False
        )
        self.role.configure(pool, config, frozenset())

    def run(self, seconds: float, calls_per_s: float) -> None:
        """Simulate ``seconds`` in which ``calls_per_s`` calls arrive each second."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.add_arrivals(calls_per_s)
            for tables, rows in zip(self.tables, self.rows, strict=True):
                run_systems(tables, self.now)
                for _, report in due_reports(tables, self.now):
                    self.send_report(report)
                self.collect_decisions(tables, rows)
            self.advance_link()
            for offer in self.role.run([row.host for row in self.tables], self.now):
                take_offer(self.tables[int(offer.host[1:])], offer, self.now)
            self.advance_target()

    def add_arrivals(self, calls_per_s: float) -> None:
        """Submit new calls to the hosts in turn."""
        self.arrivals += calls_per_s * STEP_S
        while self.arrivals >= 1.0:
            self.arrivals -= 1.0
            self.count += 1
            host = self.count % self.hosts
            row = make_request(f"{self.count:016x}", self.now, 0, self.patience_s)
            self.rows[host].append(submit(self.tables[host], row))

    def send_report(self, report) -> None:
        """Put a report on the link."""
        data = encode(report)
        self.sent_bytes[int(self.now - START)] += len(data)
        self.link.append([data, float(len(data)), self.now])

    def advance_link(self) -> None:
        """Transfer reports for one step, and deliver those that are complete."""
        free_bytes = self.link_bytes_s * STEP_S
        while self.link and free_bytes > 0:
            moved = min(free_bytes, self.link[0][1])
            self.link[0][1] -= moved
            free_bytes -= moved
            if self.link[0][1] <= 0:
                data, _, at = self.link.popleft()
                self.delays.append((self.now, self.now - at))
                self.role.take_report(decode(data), self.now)

    def collect_decisions(self, tables: Tables, rows: list[RequestRow]) -> None:
        """Start the dispatched calls of a host, and count the unanswered ones."""
        for row in list(rows):
            if row.decisions.empty():
                continue
            decision = row.decisions.get_nowait()
            rows.remove(row)
            if isinstance(decision, Dispatch):
                self.running.append((self.now, tables, row))
            elif is_unanswered(decision, row, self.now):
                self.unanswered[int(self.now - START)] += 1

    def advance_target(self) -> None:
        """Advance the calls that run on the target."""
        kept = []
        for started, tables, row in self.running:
            if self.now - started >= self.hold_s:
                finish_request(tables, row, RequestState.COMPLETED, self.now)
                self.answered[int(self.now - START)] += 1
                continue
            if self.now - started >= PREFILL_S and not row.first_token:
                record_first_output(tables, row)
                row.first_token = self.now
            kept.append((started, tables, row))
        self.running = kept


def is_unanswered(refusal: Refusal, row: RequestRow, now: float) -> bool:
    """Return whether a caller got no answer before its deadline."""
    return refusal.reason is Reason.DEADLINE and now >= row.deadline
