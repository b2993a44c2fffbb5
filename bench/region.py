"""Routed calls at the worst load, through the real decisions on a paused clock.

``python -m bench.region`` plays a mix of streamed calls, with a burst in it,
through one host's tables and the allocator's role, against engines that batch
(`bench.engines`). It shows for each kind what callers get, and what that is
worth to them: a figure for comparing policies in seconds, not a forecast.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import defopt

from bench.engines import BatchEngine, EngineMake, Job
from bench.report import table
from godwitladder.configuration.model import (
    Service,
    ServiceKind,
    Target,
    Tier,
    Workspace,
)
from godwitladder.configuration.state import ConfigState
from godwitladder.ids import HostId, RequestId, StreamId, Zone
from godwitladder.outcomes import Refusal, RequestState
from godwitladder.routing.app import MAX_START_FRACTION, ROUTE_RANK_WEIGHT
from godwitladder.routing.state import DECODE_TPS, PREFILL_TPS
from godwitladder.scheduler.pools import make_pools
from godwitladder.scheduler.reports import (
    choose_allocators,
    due_reports,
    next_due_s,
    take_offer,
    update_targets,
)
from godwitladder.scheduler.role import PoolRole
from godwitladder.scheduler.rows import RequestRow, Tables
from godwitladder.scheduler.systems import (
    add_request,
    finish_request,
    grow_request,
    record_first_output,
    refuse_request,
    run_systems,
)
from godwitladder.scheduler.throughput import record_progress

SERVICE = "letters"
HOST = HostId("h0")
ZONE = Zone("r")
RETURN_PART = 1 / 3
"""Callers come back when told if that is within this part of the time they have."""
IMPATIENCE = 0.15
"""Callers of a kind wait for up to this part less than the most patient."""
TICK_S = 0.25
SIZE_FLOOR, SIZE_PART, SIZE_MOST = 0.3, 0.7, 4.0
"""A call is worth a fixed part and one that grows with its size."""


@dataclass(frozen=True)
class Kind:
    """One kind of streamed call.

    Attributes
    ----------
    rank : int
        Of its route; 0 matters most.
    prompt, output : float
        Mean tokens; lengths are spread log-normally with ``spread``.
    longest : float
        Prompt of the longest call, as a multiple of the mean.
    rate : float
        Calls a second.
    aim_s, patience_s, silence_s : float
        For the first event to be in time, for the whole answer, and longest
        time without any event.
    worth, late_worth : float
        Of an answer in time and of a late one.
    gap_s : float
        Longest pause of an answer that is in time.
    """

    name: str
    rank: int
    prompt: float
    output: float
    rate: float
    aim_s: float
    patience_s: float
    silence_s: float
    worth: float
    late_worth: float
    longest: float
    spread: float = 1.0
    gap_s: float = 0.4


KINDS = (
    Kind("long", 0, 6610, 384, 14.5, 0.8, 15.0, 3.2, 9.2, 2.7, 8.0, 1.2),
    Kind("medium", 1, 628, 294, 25.0, 0.4, 12.0, 3.2, 1.4, 0.42, 5.0),
    Kind("short", 2, 1800, 24, 22.0, 0.5, 3.0, 3.2, 0.42, 0.13, 4.0),
)
QUOTES = (
    Kind("long", 0, 6610, 380, 13.8, 0.8, 15.0, 3.2, 6.6, 0.66, 8.0, 1.2, 0.3),
    Kind("medium", 1, 628, 290, 11.5, 0.4, 15.0, 2.4, 1.8, 0.18, 5.0, 1.0, 0.3),
    Kind("short", 2, 1800, 23, 19.7, 0.4, 3.0, 2.4, 0.31, 0.031, 4.0, 1.0, 0.3),
)
SPEEDS = (0.55, 1.0, 2.8)
"""Time that engines take, as multiples of the usual one's: 2.2, 3.7 and 10.6 ms a
token were seen on a day of the users'."""
LONGEST_OUTPUT = 10.0
SLOTS = 8
MEMORY = 430_000


@dataclass(frozen=True)
class Mix:
    """A mix of calls, and the engines that serve it.

    Attributes
    ----------
    event_tokens : int
        Tokens that come to a caller at once.
    """

    kinds: tuple[Kind, ...] = KINDS
    engines: int = 9
    slots: int = SLOTS
    make: EngineMake = EngineMake()
    event_tokens: int = 6


MIXES = {
    "letters": Mix(),
    "quotes": Mix(
        QUOTES, 6, 11, EngineMake(0.00374, 0.0000807, 1.28e-9, 81_900.0, 0.041), 5
    ),
}
"""What the users' pages and site files say of two of them: at the first a late
answer is worth a third, at the second a tenth, and a prompt stops its engine longer."""


@dataclass(frozen=True)
class Load:
    """What is played.

    Attributes
    ----------
    engines : int
        0 for those of the mix.
    burst : float
        Factor of the rates from ``burst_at`` on, for ``burst_s``.
    """

    seconds: float = 30.0
    engines: int = 0
    factor: float = 1.0
    burst: float = 1.8
    burst_at: float = 8.0
    burst_s: float = 5.0
    seed: int = 1
    mix: Mix = MIXES["letters"]


@dataclass
class Call:
    """One caller's call, over all its tries."""

    kind: Kind
    prompt: int
    output: int
    declared: int
    asked: float
    until: float
    tries: int = 0
    first: float = 0.0
    ended: float = 0.0
    refused: bool = False
    body: str = ""
    heard: float = 0.0
    pause_s: float = 0.0

    def hear(self, now: float) -> None:
        """Take in an event."""
        if self.heard:
            self.pause_s = max(self.pause_s, now - self.heard)
        self.heard = now

    @property
    def in_time(self) -> bool:
        """Whether it was answered whole, in time and without a long pause."""
        kind = self.kind
        first = bool(self.ended) and self.first <= self.asked + kind.aim_s
        return first and self.pause_s <= kind.gap_s


@dataclass
class Tally:
    """What callers of one kind got."""

    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    abandoned: int = 0
    max_credit: float = 0.0
    credit: float = 0.0

    @property
    def share(self) -> float:
        """Credit earned of the credit owed."""
        return self.credit / self.max_credit if self.max_credit else 1.0


def make_config(load: Load) -> ConfigState:
    """Return a pool of unlike engines, whose speeds nobody has told."""
    targets = {
        f"e{n:02}": Target(
            address=f"10.0.0.{n}:1",
            zone=ZONE,
            services=(SERVICE,),
            slots=load.mix.slots,
            memory_tokens=MEMORY,
            prefill_tps=PREFILL_TPS,
            decode_tps=DECODE_TPS,
        )
        for n in range(load.engines or load.mix.engines)
    }
    return ConfigState(
        tiers={"all": Tier(rank=0)},
        workspaces={f"w{n}": Workspace("all") for n in range(5)},
        services={SERVICE: Service(ServiceKind.MODEL, False)},
        targets=targets,
    )


def draw_calls(load: Load) -> list[Call]:
    """Return all calls in order of time."""
    dice = random.Random(load.seed)
    calls = []
    for kind in load.mix.kinds:
        now = 0.0
        while now < load.seconds:
            bursts = load.burst_at <= now < load.burst_at + load.burst_s
            rate = kind.rate * load.factor * (load.burst if bursts else 1.0)
            now += dice.expovariate(rate)
            calls.append(draw_call(kind, now, dice))
    return sorted(calls, key=lambda call: call.asked)


def draw_call(kind: Kind, now: float, dice: random.Random) -> Call:
    """Return one call; callers declare far more output than they use."""
    mean = -(kind.spread**2) / 2
    size = min(dice.lognormvariate(mean, kind.spread), kind.longest)
    prompt = max(20, int(kind.prompt * size))
    length = min(dice.lognormvariate(mean, kind.spread), LONGEST_OUTPUT)
    output = max(6, int(kind.output * length))
    declared = int(output * dice.uniform(1.5, 6.0))
    patience_s = kind.patience_s * dice.uniform(1.0 - IMPATIENCE, 1.0)
    body = f"{dice.getrandbits(48):012x}"
    return Call(kind, prompt, output, declared, now, now + patience_s, body=body)


@dataclass
class RegionSimulation:
    """One host, the allocator and the engines, on a clock of events."""

    load: Load
    now: float = 0.0
    events: list = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)
    live: dict[str, Call] = field(default_factory=dict)
    rows: dict[str, RequestRow] = field(default_factory=dict)
    stepping: set[str] = field(default_factory=set)
    due: bool = False

    def __post_init__(self) -> None:
        config = make_config(self.load)
        self.tables = Tables(HOST, ZONE, hosts=(HOST,), config=config)
        update_targets(self.tables)
        choose_allocators(self.tables, 0.0)
        (pool,) = make_pools(config.targets).values()
        self.role = PoolRole(pool, HOST, 1, 0.0, has_standing_grants=False)
        self.role.configure(pool, config, frozenset())
        self.engines = {
            name: BatchEngine(
                self.load.mix.slots,
                MEMORY,
                SPEEDS[n % len(SPEEDS)],
                self.load.mix.make,
            )
            for n, name in enumerate(sorted(config.targets))
        }

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Do ``what`` at a time."""
        heapq.heappush(self.events, (when, next(self.order), what))

    def play(self) -> list[Call]:
        """Return all calls as they ended."""
        calls = draw_calls(self.load)
        for call in calls:
            self.at(call.asked, lambda call=call: self.submit(call))
        last = self.load.seconds + max(kind.patience_s for kind in self.load.mix.kinds)
        ticks = int(last / TICK_S)
        for tick in range(ticks):
            self.at(tick * TICK_S, self.exchange)
        while self.events:
            self.now, _, what = heapq.heappop(self.events)
            what()
        return calls

    def submit(self, call: Call) -> None:
        """Let a call wait at its host."""
        name = f"r{next(self.order)}"
        kind, patience_s = call.kind, call.until - self.now
        row = RequestRow(
            RequestId(name),
            StreamId(name),
            f"w{hash((call.prompt, call.output)) % 5}",
            SERVICE,
            ROUTE_RANK_WEIGHT * kind.rank,
            call.prompt,
            call.declared,
            self.now,
            call.until,
            False,
        )
        row.ttft_deadline = self.now + kind.aim_s
        row.gap_s, row.event_tokens = kind.gap_s, self.load.mix.event_tokens
        row.start_by = self.now + min(patience_s, kind.silence_s) * MAX_START_FRACTION
        row.body = call.body
        predictor = self.tables.predictor
        row.predicted_tokens = predictor.predict(row.workspace, SERVICE, call.declared)
        row.likely_tokens = predictor.predict_median(
            row.workspace, SERVICE, call.declared
        )
        call.tries += 1
        self.live[name], self.rows[name] = call, row
        add_request(self.tables, row)
        self.at(self.now + min(patience_s, kind.silence_s), lambda: self.leave(name))
        self.wake()

    def wake(self) -> None:
        """Let host and allocator talk, once for all that happens at a time."""
        if not self.due:
            self.due = True
            self.at(self.now, self.exchange)

    def exchange(self) -> None:
        """Run the host's systems and the allocator, and start what was granted."""
        self.due = False
        run_systems(self.tables, self.now)
        for _, report in due_reports(self.tables, self.now):
            self.role.take_report(report, self.now)
        for offer in self.role.run((HOST,), self.now):
            take_offer(self.tables, offer, self.now)
        run_systems(self.tables, self.now)
        wait_s = next_due_s(self.tables, self.now)
        if wait_s is not None:
            self.at(self.now + wait_s, self.wake)
        for name in list(self.live):
            self.take_decision(name)

    def take_decision(self, name: str) -> None:
        """Send a call to its engine, or its caller away, as was decided."""
        row = self.rows[name]
        if row.decisions.empty():
            return
        decision = row.decisions.get()
        if isinstance(decision, Refusal):
            self.send_away(name, decision)
            return
        call = self.live[name]
        engine = self.engines[decision.target]
        engine.queue.append(Job(name, call.prompt, call.output))
        self.start(decision.target)

    def send_away(self, name: str, refusal: Refusal) -> None:
        """Let a refused caller come back as told, once."""
        call = self.live.pop(name)
        wait_s = refusal.retry_after_s or 0.0
        left_s = call.until - self.now
        if call.tries == 1 and wait_s <= left_s * RETURN_PART:
            self.at(self.now + wait_s, lambda: self.submit(call))
            return
        call.refused = True

    def start(self, name: str) -> None:
        """Let an engine work if it stands still."""
        if name not in self.stepping:
            self.stepping.add(name)
            self.at(self.now, lambda: self.step(name))

    def step(self, name: str) -> None:
        """Run one step of an engine; what it made is there at its end."""
        engine = self.engines[name]
        if engine.is_idle():
            self.stepping.discard(name)
            return
        seconds, first, done = engine.step()
        wrote = list(engine.wrote)
        self.at(self.now + seconds, lambda: self.end_step(name, wrote, first, done))

    def end_step(
        self, name: str, wrote: list[Job], first: list[Job], done: list[Job]
    ) -> None:
        """Tell host and caller what a step has made."""
        for job in wrote:
            whole = job.made == 1 or job.made % self.load.mix.event_tokens == 0
            if job.name in self.live and (whole or job in done):
                self.live[job.name].hear(self.now)
        for job in first:
            self.note_first(job.name)
        for job in done:
            self.finish(job.name)
        self.step(name)

    def note_first(self, name: str) -> None:
        """Take in a first token."""
        call, row = self.live.get(name), self.rows[name]
        if call is None or row.state is not RequestState.DISPATCHED:
            return
        call.first = self.now
        record_first_output(self.tables, row)
        record_progress(self.tables, row, 1, self.now)
        grow_request(self.tables, row, 1)
        self.wake()

    def finish(self, name: str) -> None:
        """Take in the end of a call."""
        call, row = self.live.pop(name, None), self.rows[name]
        if call is None:
            return
        call.ended = self.now
        row.produced_tokens = call.output
        finish_request(self.tables, row, RequestState.COMPLETED, self.now)
        self.wake()

    def leave(self, name: str) -> None:
        """Let a caller go that has heard nothing for too long."""
        call, row = self.live.get(name), self.rows[name]
        if call is None or call.first:
            return
        del self.live[name]
        if row.state is RequestState.DISPATCHED:
            self.engines[row.target].cancel(name)
            finish_request(self.tables, row, RequestState.FAILED, self.now)
        elif row.state is RequestState.WAITING:
            refuse_request(self.tables, row, Refusal(RequestState.NOT_RUN, None, ""))
        self.wake()


def tally(calls: list[Call]) -> dict[str, Tally]:
    """Return what each kind got."""
    tallies: dict[str, Tally] = {}
    for call in calls:
        kind = call.kind
        row = tallies.setdefault(kind.name, Tally())
        size = call.prompt + 10 * call.declared
        mean = kind.prompt + 10 * 3.75 * kind.output
        worth = SIZE_FLOOR + SIZE_PART * min(size / mean, SIZE_MOST)
        row.offered += 1
        row.max_credit += kind.worth * worth
        in_time = call.in_time
        row.in_time += in_time
        row.late += bool(call.ended and not in_time)
        row.refused += call.refused
        row.abandoned += not call.ended and not call.refused
        if call.ended:
            row.credit += worth * (kind.worth if in_time else kind.late_worth)
    return tallies


def main(
    *,
    seconds: float = 30.0,
    factor: float = 1.0,
    burst: float = 1.8,
    seeds: int = 3,
    mix: str = "letters",
) -> None:
    """Play the mix with some seeds and print what callers got.

    Parameters
    ----------
    seconds : float
        Length of each.
    factor : float
        Of all rates.
    burst : float
        Of the rates for five seconds from the eighth on.
    seeds : int
        How many.
    mix : str
        letters or quotes.
    """
    head = ("seed", "kind", "offered", "in time", "late", "refused", "left", "credit")
    rows = []
    for seed in range(1, seeds + 1):
        load = Load(
            seconds=seconds, factor=factor, burst=burst, seed=seed, mix=MIXES[mix]
        )
        tallies = tally(RegionSimulation(load).play())
        for name, row in tallies.items():
            counts = (row.offered, row.in_time, row.late, row.refused, row.abandoned)
            rows.append((seed, name, *counts, f"{row.share:.3f}"))
        owed = sum(row.max_credit for row in tallies.values())
        earned = sum(row.credit for row in tallies.values())
        rows.append((seed, "all", "", "", "", "", "", f"{earned / owed:.3f}"))
    print(table(head, rows))


if __name__ == "__main__":
    defopt.run(main)
