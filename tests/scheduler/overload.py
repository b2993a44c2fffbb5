"""Hosts, their allocator and the link to it, of which the capacity is bounded."""

from collections import Counter, deque
from dataclasses import dataclass, field

from godwitladder.membership.codec import decode, encode
from godwitladder.outcomes import Reason, Refusal, RequestState
from godwitladder.scheduler.pools import make_pools
from godwitladder.scheduler.reports import due_reports, take_offer
from godwitladder.scheduler.role import PoolRole
from godwitladder.scheduler.rows import Dispatch, RequestRow, Tables
from godwitladder.scheduler.systems import finish_request, note_read, run_systems
from tests.scheduler.desk import (
    START,
    make_config,
    make_request,
    make_tables,
    submit,
)

STEP_S = 0.01
READ_S = 0.02


@dataclass
class Region:
    """A region of hosts whose allocator has one link to all of them.

    Parameters
    ----------
    slots : int
        Calls that the only target runs at once.
    hold_s : float
        Seconds that a call holds one.
    patience_s : float
        Seconds after which a caller leaves.
    link_bytes_s : float
        Bytes that the allocator's link takes in each second.

    Attributes
    ----------
    link : deque
        Reports on their way, with what is left to be sent of each.
    delays : list
        Seconds that each report took, with the time of its arrival.
    ended : Counter
        Answers in each second.
    held : Counter
        Calls in each second that had no answer when their time was up.
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
    ended: Counter = field(default_factory=Counter)
    held: Counter = field(default_factory=Counter)

    def __post_init__(self) -> None:
        names = tuple(f"h{number}" for number in range(self.hosts))
        config = make_config({"e0": self.slots}, place="beyond")
        self.tables = [make_tables(name, names, config) for name in names]
        self.rows: list[list[RequestRow]] = [[] for _ in names]
        for tables in self.tables:
            tables.standing, tables.helps_itself = False, True
        (pool,) = make_pools(config.targets).values()
        (access,) = self.tables[0].pools.values()
        self.role = PoolRole(pool, access.allocator, 1, self.now, standing=False)
        self.role.configure(pool, config, frozenset())

    def play(self, seconds: float, calls_per_s: float) -> None:
        """Let time pass while callers ask ``calls_per_s`` times a second."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.arrive(calls_per_s)
            for tables, rows in zip(self.tables, self.rows, strict=True):
                run_systems(tables, self.now)
                for _, report in due_reports(tables, self.now):
                    self.put(report)
                self.look(tables, rows)
            self.move_link()
            for offer in self.role.run([row.host for row in self.tables], self.now):
                take_offer(self.tables[int(offer.host[1:])], offer, self.now)
            self.work()

    def arrive(self, calls_per_s: float) -> None:
        """Let new calls come, to one host after the other."""
        self.arrivals += calls_per_s * STEP_S
        while self.arrivals >= 1.0:
            self.arrivals -= 1.0
            self.count += 1
            host = self.count % self.hosts
            row = make_request(f"{self.count:016x}", self.now, 0, self.patience_s)
            self.rows[host].append(submit(self.tables[host], row))

    def put(self, report) -> None:
        """Send a report."""
        data = encode(report)
        self.sent_bytes[int(self.now - START)] += len(data)
        self.link.append([data, float(len(data)), self.now])

    def move_link(self) -> None:
        """Let the link take in what it can."""
        room = self.link_bytes_s * STEP_S
        while self.link and room > 0:
            moved = min(room, self.link[0][1])
            self.link[0][1] -= moved
            room -= moved
            if self.link[0][1] <= 0:
                data, _, at = self.link.popleft()
                self.delays.append((self.now, self.now - at))
                self.role.take_report(decode(data), self.now)

    def look(self, tables: Tables, rows: list[RequestRow]) -> None:
        """Look what was decided of a host's calls."""
        for row in list(rows):
            if row.decisions.empty():
                continue
            decision = row.decisions.get_nowait()
            rows.remove(row)
            if isinstance(decision, Dispatch):
                self.running.append((self.now, tables, row))
            elif is_held(decision, row, self.now):
                self.held[int(self.now - START)] += 1

    def work(self) -> None:
        """Let the target work."""
        kept = []
        for began, tables, row in self.running:
            if self.now - began >= self.hold_s:
                finish_request(tables, row, RequestState.COMPLETED, self.now)
                self.ended[int(self.now - START)] += 1
                continue
            if self.now - began >= READ_S and not row.first_token:
                note_read(tables, row)
                row.first_token = self.now
            kept.append((began, tables, row))
        self.running = kept


def is_held(refusal: Refusal, row: RequestRow, now: float) -> bool:
    """Return whether a caller heard nothing before its time was up."""
    return refusal.reason is Reason.DEADLINE and now >= row.deadline
