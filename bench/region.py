"""Simulation of routed calls under peak load, with the real decisions.

``python -m bench.region`` simulates a mix of streamed calls with a burst, on a
simulated clock. The calls pass through the tables of one host and the pool role of
the allocator to models of batching engines (`bench.engines`). The output shows, for
each kind of call, how the calls ended and what credit they earned. It compares
policies within seconds and isn't a forecast.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import defopt

from bench.engines import BatchEngine, EngineTimings, Job
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
MAX_RETRY_WAIT_FRACTION = 1 / 3
"""A refused caller retries if Retry-After is at most this fraction of its time left."""
PATIENCE_SPREAD = 0.15
"""Patience of callers of a kind varies downwards by up to this fraction."""
TICK_S = 0.25
BASE_VALUE, SIZE_VALUE, MAX_RELATIVE_SIZE = 0.3, 0.7, 4.0
"""Parameters of the factor by which the value of a call depends on its size.

The factor is ``BASE_VALUE`` plus ``SIZE_VALUE`` times the relative size, which is
capped at ``MAX_RELATIVE_SIZE``.
"""


@dataclass(frozen=True)
class Kind:
    """Parameters of one kind of streamed call.

    Attributes
    ----------
    rank : int
        Rank of the route; 0 is the most important.
    prompt, output : float
        Mean tokens; lengths are log-normally distributed.
    rate : float
        Arrivals per second.
    ttft_budget_s : float
        Time to the first event within which an answer is in time.
    patience_s : float
        Longest time that a caller waits for the whole answer.
    first_event_timeout_s : float
        Longest time that a caller waits for the first event.
    value, late_value : float
        Value of an answer in time and of a late answer.
    max_relative_prompt : float
        Upper bound of the prompt, as a multiple of the mean.
    sigma : float
        Standard deviation of the logarithm of prompt and output.
    gap_s : float
        Longest pause between events of an answer that is in time.
    """

    name: str
    rank: int
    prompt: float
    output: float
    rate: float
    ttft_budget_s: float
    patience_s: float
    first_event_timeout_s: float
    value: float
    late_value: float
    max_relative_prompt: float
    sigma: float = 1.0
    gap_s: float = 0.4


KINDS = (
    Kind("long", 0, 6610, 384, 14.5, 0.8, 15.0, 3.2, 9.2, 2.7, 8.0, 1.2),
    Kind("medium", 1, 628, 294, 25.0, 0.4, 12.0, 3.2, 1.4, 0.42, 5.0),
    Kind("short", 2, 1800, 24, 22.0, 0.5, 3.0, 3.2, 0.42, 0.13, 4.0),
)
QUOTE_KINDS = (
    Kind("long", 0, 6610, 380, 13.8, 0.8, 15.0, 3.2, 6.6, 0.66, 8.0, 1.2, 0.3),
    Kind("medium", 1, 628, 290, 11.5, 0.4, 15.0, 2.4, 1.8, 0.18, 5.0, 1.0, 0.3),
    Kind("short", 2, 1800, 23, 19.7, 0.4, 3.0, 2.4, 0.31, 0.031, 4.0, 1.0, 0.3),
)
RELATIVE_STEP_TIMES = (0.55, 1.0, 2.8)
"""Times of the engines, as multiples of the usual engine's.

They correspond to engines that take 2.2, 3.7 and 10.6 ms per token.
"""
MAX_RELATIVE_OUTPUT = 10.0
SLOTS = 8
MEMORY = 430_000


@dataclass(frozen=True)
class Mix:
    """A mix of calls, and the engines that serve it.

    Attributes
    ----------
    kinds : tuple of Kind
        Kinds of calls.
    engines : int
        Number of engines.
    slots : int
        Slots of each engine.
    timings : EngineTimings
        Timings of the usual engine.
    event_tokens : int
        Tokens in one event of a stream.
    """

    kinds: tuple[Kind, ...] = KINDS
    engines: int = 9
    slots: int = SLOTS
    timings: EngineTimings = EngineTimings()
    event_tokens: int = 6


MIXES = {
    "letters": Mix(),
    "quotes": Mix(
        QUOTE_KINDS,
        6,
        11,
        EngineTimings(0.00374, 0.0000807, 1.28e-9, 81_900.0, 0.041),
        5,
    ),
}
"""Mixes by name, after the documents and site files of two users.

A late answer has about a third of its value in the first mix and a tenth in the second,
where prompts also block their engine longer.
"""


@dataclass(frozen=True)
class Load:
    """Parameters of one simulation.

    Attributes
    ----------
    seconds : float
        Time over which calls arrive.
    engines : int
        Number of engines; 0 takes the number of the mix.
    factor : float
        Multiple of all arrival rates.
    burst : float
        Further multiple of the rates from ``burst_at`` on, for ``burst_s``.
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
    """One call, over all its attempts.

    Attributes
    ----------
    arrived, deadline : float
        When it arrived first and when its caller gives up, in seconds.
    attempts : int
        Attempts so far.
    first_token_at, ended_at : float
        When its first token and its last came, or 0.
    last_event_at : float
        When its last event came, or 0.
    pause_s : float
        Longest pause between events.
    """

    kind: Kind
    prompt: int
    output: int
    declared: int
    arrived: float
    deadline: float
    attempts: int = 0
    first_token_at: float = 0.0
    ended_at: float = 0.0
    refused: bool = False
    body: str = ""
    last_event_at: float = 0.0
    pause_s: float = 0.0

    def record_event(self, now: float) -> None:
        """Record the arrival of an event."""
        if self.last_event_at:
            self.pause_s = max(self.pause_s, now - self.last_event_at)
        self.last_event_at = now

    @property
    def in_time(self) -> bool:
        """Whether the whole answer came, began in time and had no long pause."""
        kind = self.kind
        began_in_time = (
            bool(self.ended_at)
            and self.first_token_at <= self.arrived + kind.ttft_budget_s
        )
        return began_in_time and self.pause_s <= kind.gap_s


@dataclass
class Tally:
    """Outcomes of the calls of one kind.

    Attributes
    ----------
    abandoned : int
        Calls whose callers gave up.
    max_credit, credit : float
        Credit that all calls would earn in time, and the credit earned.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    abandoned: int = 0
    max_credit: float = 0.0
    credit: float = 0.0

    @property
    def share(self) -> float:
        """Share of the possible credit that was earned."""
        return self.credit / self.max_credit if self.max_credit else 1.0


def make_config(load: Load) -> ConfigState:
    """Return a pool of engines of different speeds, all configured with the default."""
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
    """Return all calls in order of arrival."""
    rng = random.Random(load.seed)
    calls = []
    for kind in load.mix.kinds:
        now = 0.0
        while now < load.seconds:
            in_burst = load.burst_at <= now < load.burst_at + load.burst_s
            rate = kind.rate * load.factor * (load.burst if in_burst else 1.0)
            now += rng.expovariate(rate)
            calls.append(draw_call(kind, now, rng))
    return sorted(calls, key=lambda call: call.arrived)


def draw_call(kind: Kind, now: float, rng: random.Random) -> Call:
    """Return a random call, which declares far more output than it uses."""
    mean = -(kind.sigma**2) / 2
    size = min(rng.lognormvariate(mean, kind.sigma), kind.max_relative_prompt)
    prompt = max(20, int(kind.prompt * size))
    length = min(rng.lognormvariate(mean, kind.sigma), MAX_RELATIVE_OUTPUT)
    output = max(6, int(kind.output * length))
    declared = int(output * rng.uniform(1.5, 6.0))
    patience_s = kind.patience_s * rng.uniform(1.0 - PATIENCE_SPREAD, 1.0)
    body = f"{rng.getrandbits(48):012x}"
    return Call(kind, prompt, output, declared, now, now + patience_s, body=body)


@dataclass
class RegionSimulation:
    """Event-driven simulation of one host, the allocator and the engines.

    Attributes
    ----------
    events : list
        Heap of time, sequence number and action.
    sequence : itertools.count
        Sequence numbers, which order the events of one time.
    active_calls : dict of str to Call
        Calls that wait or run, by name.
    rows : dict of str to RequestRow
        Rows of all calls, by name.
    busy_engines : set of str
        Engines that have a step scheduled.
    exchange_scheduled : bool
        Whether an exchange between host and allocator is scheduled.
    """

    load: Load
    now: float = 0.0
    events: list = field(default_factory=list)
    sequence: itertools.count = field(default_factory=itertools.count)
    active_calls: dict[str, Call] = field(default_factory=dict)
    rows: dict[str, RequestRow] = field(default_factory=dict)
    busy_engines: set[str] = field(default_factory=set)
    exchange_scheduled: bool = False

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
                RELATIVE_STEP_TIMES[n % len(RELATIVE_STEP_TIMES)],
                self.load.mix.timings,
            )
            for n, name in enumerate(sorted(config.targets))
        }

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (when, next(self.sequence), action))

    def play(self) -> list[Call]:
        """Run the simulation and return all calls with their outcomes."""
        calls = draw_calls(self.load)
        for call in calls:
            self.schedule(call.arrived, lambda call=call: self.submit(call))
        last = self.load.seconds + max(kind.patience_s for kind in self.load.mix.kinds)
        ticks = int(last / TICK_S)
        for tick in range(ticks):
            self.schedule(tick * TICK_S, self.exchange)
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return calls

    def submit(self, call: Call) -> None:
        """Add a call to the requests that wait at the host."""
        name = f"r{next(self.sequence)}"
        kind, patience_s = call.kind, call.deadline - self.now
        row = RequestRow(
            RequestId(name),
            StreamId(name),
            f"w{hash((call.prompt, call.output)) % 5}",
            SERVICE,
            ROUTE_RANK_WEIGHT * kind.rank,
            call.prompt,
            call.declared,
            self.now,
            call.deadline,
            False,
        )
        row.ttft_deadline = self.now + kind.ttft_budget_s
        row.gap_s, row.event_tokens = kind.gap_s, self.load.mix.event_tokens
        row.start_by = (
            self.now + min(patience_s, kind.first_event_timeout_s) * MAX_START_FRACTION
        )
        row.body = call.body
        predictor = self.tables.predictor
        row.predicted_tokens = predictor.predict(row.workspace, SERVICE, call.declared)
        row.likely_tokens = predictor.predict_median(
            row.workspace, SERVICE, call.declared
        )
        call.attempts += 1
        self.active_calls[name], self.rows[name] = call, row
        add_request(self.tables, row)
        self.schedule(
            self.now + min(patience_s, kind.first_event_timeout_s),
            lambda: self.abandon(name),
        )
        self.schedule_exchange()

    def schedule_exchange(self) -> None:
        """Schedule one exchange for all events of the present time."""
        if not self.exchange_scheduled:
            self.exchange_scheduled = True
            self.schedule(self.now, self.exchange)

    def exchange(self) -> None:
        """Run the host's systems and the allocator, and apply their decisions."""
        self.exchange_scheduled = False
        run_systems(self.tables, self.now)
        for _, report in due_reports(self.tables, self.now):
            self.role.take_report(report, self.now)
        for offer in self.role.run((HOST,), self.now):
            take_offer(self.tables, offer, self.now)
        run_systems(self.tables, self.now)
        wait_s = next_due_s(self.tables, self.now)
        if wait_s is not None:
            self.schedule(self.now + wait_s, self.schedule_exchange)
        for name in list(self.active_calls):
            self.apply_decision(name)

    def apply_decision(self, name: str) -> None:
        """Dispatch or refuse a call if its decision has come."""
        row = self.rows[name]
        if row.decisions.empty():
            return
        decision = row.decisions.get()
        if isinstance(decision, Refusal):
            self.handle_refusal(name, decision)
            return
        call = self.active_calls[name]
        engine = self.engines[decision.target]
        engine.queue.append(Job(name, call.prompt, call.output))
        self.start_engine(decision.target)

    def handle_refusal(self, name: str, refusal: Refusal) -> None:
        """Schedule the retry of a refused call, at most once."""
        call = self.active_calls.pop(name)
        wait_s = refusal.retry_after_s or 0.0
        left_s = call.deadline - self.now
        if call.attempts == 1 and wait_s <= left_s * MAX_RETRY_WAIT_FRACTION:
            self.schedule(self.now + wait_s, lambda: self.submit(call))
            return
        call.refused = True

    def start_engine(self, name: str) -> None:
        """Schedule a step of an engine that is idle."""
        if name not in self.busy_engines:
            self.busy_engines.add(name)
            self.schedule(self.now, lambda: self.step(name))

    def step(self, name: str) -> None:
        """Run one step of an engine; its output comes at the end of the step."""
        engine = self.engines[name]
        if engine.is_idle():
            self.busy_engines.discard(name)
            return
        seconds, first, done = engine.step()
        decoded = list(engine.decoded)
        self.schedule(
            self.now + seconds, lambda: self.end_step(name, decoded, first, done)
        )

    def end_step(
        self, name: str, decoded: list[Job], first: list[Job], done: list[Job]
    ) -> None:
        """Report the output of a step to host and callers, and start the next step."""
        for job in decoded:
            event_complete = (
                job.produced == 1 or job.produced % self.load.mix.event_tokens == 0
            )
            if job.name in self.active_calls and (event_complete or job in done):
                self.active_calls[job.name].record_event(self.now)
        for job in first:
            self.record_first_token(job.name)
        for job in done:
            self.finish(job.name)
        self.step(name)

    def record_first_token(self, name: str) -> None:
        """Record the first token of a call."""
        call, row = self.active_calls.get(name), self.rows[name]
        if call is None or row.state is not RequestState.DISPATCHED:
            return
        call.first_token_at = self.now
        record_first_output(self.tables, row)
        record_progress(self.tables, row, 1, self.now)
        grow_request(self.tables, row, 1)
        self.schedule_exchange()

    def finish(self, name: str) -> None:
        """Record the completion of a call."""
        call, row = self.active_calls.pop(name, None), self.rows[name]
        if call is None:
            return
        call.ended_at = self.now
        row.produced_tokens = call.output
        finish_request(self.tables, row, RequestState.COMPLETED, self.now)
        self.schedule_exchange()

    def abandon(self, name: str) -> None:
        """Withdraw a call whose caller gave up waiting for the first event."""
        call, row = self.active_calls.get(name), self.rows[name]
        if call is None or call.first_token_at:
            return
        del self.active_calls[name]
        if row.state is RequestState.DISPATCHED:
            self.engines[row.target].cancel(name)
            finish_request(self.tables, row, RequestState.FAILED, self.now)
        elif row.state is RequestState.WAITING:
            refuse_request(self.tables, row, Refusal(RequestState.NOT_RUN, None, ""))
        self.schedule_exchange()


def tally(calls: list[Call]) -> dict[str, Tally]:
    """Return the outcomes of the calls by kind."""
    tallies: dict[str, Tally] = {}
    for call in calls:
        kind = call.kind
        row = tallies.setdefault(kind.name, Tally())
        size = call.prompt + 10 * call.declared
        mean = kind.prompt + 10 * 3.75 * kind.output
        size_factor = BASE_VALUE + SIZE_VALUE * min(size / mean, MAX_RELATIVE_SIZE)
        row.offered += 1
        row.max_credit += kind.value * size_factor
        in_time = call.in_time
        row.in_time += in_time
        row.late += bool(call.ended_at and not in_time)
        row.refused += call.refused
        row.abandoned += not call.ended_at and not call.refused
        if call.ended_at:
            row.credit += size_factor * (kind.value if in_time else kind.late_value)
    return tallies


def main(
    *,
    seconds: float = 30.0,
    factor: float = 1.0,
    burst: float = 1.8,
    seeds: int = 3,
    mix: str = "letters",
) -> None:
    """Simulate a mix with several seeds and print the outcomes of its calls.

    Parameters
    ----------
    seconds : float
        Time over which calls arrive in each simulation.
    factor : float
        Multiple of all arrival rates.
    burst : float
        Further multiple of the rates for five seconds from the eighth on.
    seeds : int
        Number of simulations.
    mix : str
        Mix of calls: letters or quotes.
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
        max_credit = sum(row.max_credit for row in tallies.values())
        credit = sum(row.credit for row in tallies.values())
        rows.append((seed, "all", "", "", "", "", "", f"{credit / max_credit:.3f}"))
    print(table(head, rows))


if __name__ == "__main__":
    defopt.run(main)
