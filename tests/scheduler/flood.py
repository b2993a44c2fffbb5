"""Hosts, an allocator and targets that read prompts, with news that take a while."""

import heapq
import itertools
from dataclasses import dataclass, field

from godwitladder.outcomes import RequestState
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
PREFILL_TPS = 60_000.0
DECODE_TPS = 100.0


@dataclass
class Flood:
    """A region in which prompts are read one after the other at each target.

    Attributes
    ----------
    news_s : float
        Seconds that a report or an offer is on its way.
    stuck : set of str
        Targets that read nothing.
    used : list of int
        Places in use after each step.
    sent : list of str
        Targets of all dispatches, in order.
    """

    hosts: int = 6
    targets: int = 4
    slots: int = 5
    prompt: int = 6_000
    output: int = 100
    news_s: float = 0.2
    stuck: set[str] = field(default_factory=set)
    now: float = START
    arrivals: float = 0.0
    used: list[int] = field(default_factory=list)
    sent: list[str] = field(default_factory=list)
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
            tables.standing = False
        (pool,) = make_pools(config.targets).values()
        (access,) = self.tables[names[0]].pools.values()
        self.role = PoolRole(pool, access.allocator, 1, self.now, standing=False)
        self.role.configure(pool, config, frozenset())

    def play(self, seconds: float, calls_per_s: float) -> None:
        """Let time pass while callers ask ``calls_per_s`` times a second."""
        for _ in range(round(seconds / STEP_S)):
            self.now += STEP_S
            self.arrive(calls_per_s)
            self.happen()
            for tables in self.tables.values():
                run_systems(tables, self.now)
                for _, report in due_reports(tables, self.now):
                    self.later(self.news_s, self.role.take_report, report)
            self.look()
            for offer in self.role.run(tuple(self.tables), self.now):
                self.later(self.news_s, take_offer, self.tables[offer.host], offer)
            running = [len(tables.running) for tables in self.tables.values()]
            self.used.append(sum(running))

    def later(self, seconds: float, act, *args) -> None:
        """Let ``act`` happen in ``seconds``, with the time as its last argument."""
        heapq.heappush(self.events, (self.now + seconds, next(self.count), act, args))

    def happen(self) -> None:
        """Let happen what is due."""
        while self.events and self.events[0][0] <= self.now:
            _, _, act, args = heapq.heappop(self.events)
            act(*args, self.now)

    def arrive(self, calls_per_s: float) -> None:
        """Let new calls come, to one host after the other."""
        self.arrivals += calls_per_s * STEP_S
        while self.arrivals >= 1.0:
            self.arrivals -= 1.0
            number = next(self.count)
            tables = self.tables[f"h{number % self.hosts}"]
            row = make_request(
                f"{number:016x}",
                self.now,
                timeout_s=12.0,
                prompt_tokens=self.prompt,
                declared_tokens=self.output,
                aim=self.now + 0.8,
            )
            row.start_by = self.now + 3.0
            self.rows.append((tables, submit(tables, row)))

    def look(self) -> None:
        """Send what was granted to its target."""
        kept = []
        for tables, row in self.rows:
            if row.decisions.empty():
                kept.append((tables, row))
                continue
            decision = row.decisions.get_nowait()
            if isinstance(decision, Dispatch):
                self.send(tables, row, decision.target)
        self.rows = kept

    def send(self, tables: Tables, row: RequestRow, target: str) -> None:
        """Let ``target`` read the prompt of ``row`` after those before it."""
        self.sent.append(target)
        if target in self.stuck:
            return
        begin = max(self.now, self.free_at.get(target, 0.0))
        read_at = begin + row.prompt_tokens / PREFILL_TPS
        self.free_at[target] = read_at
        self.later(read_at - self.now, self.read, tables, row)
        hold_s = read_at - self.now + self.output / DECODE_TPS
        self.later(hold_s, self.end, tables, row)

    def read(self, tables: Tables, row: RequestRow, now: float) -> None:
        """Take in that a prompt was read."""
        note_read(tables, row)
        row.first_token = now

    def end(self, tables: Tables, row: RequestRow, now: float) -> None:
        """Take in that an answer is whole."""
        row.produced_tokens = self.output
        finish_request(tables, row, RequestState.COMPLETED, now)
