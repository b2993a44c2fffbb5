"""Simulation of hosts, an allocator and targets, with delayed messages."""

import heapq
import itertools
from dataclasses import dataclass, field

from godwitladder.outcomes import RequestState
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
PREFILL_TPS = 60_000.0
DECODE_TPS = 100.0


@dataclass
class Flood:
    """Simulation of a region in which each target processes one prompt at a time.

    Attributes
    ----------
    delay_s : float
        Seconds that a report or an offer is in transit.
    stalled : set of str
        Targets that process nothing.
    used_slots : list of int
        Number of slots in use after each step.
    dispatched : list of str
        Targets of all dispatches, in order.
    """

    hosts: int = 6
    targets: int = 4
    slots: int = 5
    prompt_tokens: int = 6_000
    output_tokens: int = 100
    delay_s: float = 0.2
    stalled: set[str] = field(default_factory=set)
    now: float = START
    arrivals: float = 0.0
    used_slots: list[int] = field(default_factory=list)
    dispatched: list[str] = field(default_factory=list)
    rows: list[tuple[Tables, RequestRow]] = field(default_factory=list)
    events: list[tuple] = field(default_factory=list)
    free_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.count = itertools.count()
        names = tuple(f"h{number}" for number in range(self.hosts))
        config = make_config(
            {f"e{number}": self.slots for number in range(self.targets)},
            prefill_tps=PREFILL_TPS,
            decode_tps=DECODE_TPS,
        )
        self.tables = {name: make_tables(name, names, config) for name in names}
        for tables in self.tables.values():
            tables.has_standing_grants = False
        (pool,) = make_pools(config.targets).values()
        (access,) = self.tables[names[0]].pools.values()
        self.role = PoolRole(
            pool, access.allocator, 1, self.now, has_standing_grants=False
        )
        self.role.configure(pool, config, frozenset())

    def run(self, seconds: float, calls_per_s: float) -> None:
        """Simulate ``seconds`` in which ``calls_per_s`` calls arrive each second."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.add_arrivals(calls_per_s)
            self.run_due_events()
            for tables in self.tables.values():
                run_systems(tables, self.now)
                for _, report in due_reports(tables, self.now):
                    self.schedule(self.delay_s, self.role.take_report, report)
            self.start_granted()
            for offer in self.role.run(tuple(self.tables), self.now):
                self.schedule(self.delay_s, take_offer, self.tables[offer.host], offer)
            running = [len(tables.running) for tables in self.tables.values()]
            self.used_slots.append(sum(running))

    def schedule(self, seconds: float, action, *args) -> None:
        """Call ``action`` in ``seconds``, with the time as its last argument."""
        heapq.heappush(
            self.events, (self.now + seconds, next(self.count), action, args)
        )

    def run_due_events(self) -> None:
        """Call the scheduled actions that are due."""
        while self.events and self.events[0][0] <= self.now:
            _, _, action, args = heapq.heappop(self.events)
            action(*args, self.now)

    def add_arrivals(self, calls_per_s: float) -> None:
        """Submit new calls to the hosts in turn."""
        self.arrivals += calls_per_s * STEP_S
        while self.arrivals >= 1.0:
            self.arrivals -= 1.0
            number = next(self.count)
            tables = self.tables[f"h{number % self.hosts}"]
            row = make_request(
                f"{number:016x}",
                self.now,
                timeout_s=12.0,
                prompt_tokens=self.prompt_tokens,
                declared_tokens=self.output_tokens,
                ttft_deadline=self.now + 0.8,
            )
            row.start_by = self.now + 3.0
            self.rows.append((tables, submit(tables, row)))

    def start_granted(self) -> None:
        """Start the calls that were dispatched on their targets."""
        kept = []
        for tables, row in self.rows:
            if row.decisions.empty():
                kept.append((tables, row))
                continue
            decision = row.decisions.get_nowait()
            if isinstance(decision, Dispatch):
                self.start(tables, row, decision.target)
        self.rows = kept

    def start(self, tables: Tables, row: RequestRow, target: str) -> None:
        """Schedule the prefill and the end of ``row`` after earlier prefills."""
        self.dispatched.append(target)
        if target in self.stalled:
            return
        begin = max(self.now, self.free_at.get(target, 0.0))
        read_at = begin + row.prompt_tokens / PREFILL_TPS
        self.free_at[target] = read_at
        self.schedule(read_at - self.now, self.finish_prefill, tables, row)
        hold_s = read_at - self.now + self.output_tokens / DECODE_TPS
        self.schedule(hold_s, self.complete, tables, row)

    def finish_prefill(self, tables: Tables, row: RequestRow, now: float) -> None:
        """Record the end of a prefill."""
        record_first_output(tables, row)
        row.first_token = now

    def complete(self, tables: Tables, row: RequestRow, now: float) -> None:
        """Record the end of an answer."""
        row.produced_tokens = self.output_tokens
        finish_request(tables, row, RequestState.COMPLETED, now)
