"""Seeded random traces of requests, for the mixes and load patterns of both users."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from godwitladder.ids import RequestId, ServiceName, WorkspaceName

SERVICE = ServiceName("letters")
SIGMA = 0.6


@dataclass(frozen=True)
class Kind:
    """Parameters of one kind of request.

    Attributes
    ----------
    prompt, output : int
        Median tokens; lengths are log-normally distributed.
    declared : int
        Output tokens that callers declare.
    timeout_s : float
        Time from arrival to the deadline.
    load_share : float
        Share of the slot seconds that the trace uses.
    workspaces : int
        Number of workspaces that send such requests.
    """

    name: str
    rank: int
    prompt: int
    output: int
    declared: int
    timeout_s: float
    load_share: float
    workspaces: int = 8


@dataclass(frozen=True)
class Arrival:
    """One request of a trace; times are in seconds from the start of the trace.

    Attributes
    ----------
    hangup_time : float
        Time at which its caller hangs up if it has no answer by then.
    prior_attempts : int
        Number of earlier attempts.
    """

    time: float
    request: RequestId
    workspace: WorkspaceName
    rank: int
    prompt: int
    output: int
    declared: int
    deadline: float
    prefix: str = ""
    hangup_time: float = float("inf")
    prior_attempts: int = 0


MATULA = (
    Kind("desk", 0, 300, 60, 512, 10.0, 0.25),
    Kind("sizing", 1, 200, 40, 1024, 15.0, 0.15),
    Kind("letter", 1, 1200, 700, 4096, 90.0, 0.20),
    Kind("returns", 2, 2500, 200, 2048, 45.0, 0.25),
    Kind("season", 3, 1200, 700, 4096, 180.0, 0.15),
)
KORGUSOPE = (
    Kind("verdict", 0, 400, 25, 256, 8.0, 0.20),
    Kind("review", 1, 6000, 1400, 8192, 180.0, 0.35),
    Kind("learner", 2, 500, 150, 2048, 20.0, 0.30),
    Kind("lookup", 3, 800, 60, 1024, 30.0, 0.15),
)


@dataclass(frozen=True)
class Engine:
    """Parameters of one model target; speeds are in tokens per second."""

    name: str
    slots: int
    memory: int
    prefill_tps: float
    decode_tps: float


def make_engines(count: int, slots: int, memory: int) -> tuple[Engine, ...]:
    """Return ``count`` targets with three different speeds."""
    return tuple(
        Engine(f"engine-{n:02}", slots, memory, 6000.0 * g, 40.0 * g)
        for n in range(count)
        for g in [(0.7, 1.0, 1.5)[n % 3]]
    )


MATULA_ENGINES = make_engines(10, 8, 24_000)
KORGUSOPE_ENGINES = make_engines(10, 4, 24_000)


def slot_seconds(kind: Kind, engines: Sequence[Engine]) -> float:
    """Return the mean time for which a request of ``kind`` holds a slot, in seconds."""
    prefill = sum(engine.prefill_tps for engine in engines) / len(engines)
    decode = sum(engine.decode_tps for engine in engines) / len(engines)
    mean = 2.718281828 ** (SIGMA**2 / 2)
    return mean * (2 * kind.prompt / prefill + kind.output / decode)


def make_trace(
    mix: Sequence[Kind],
    engines: Sequence[Engine],
    load: float,
    seconds: float,
    seed: int = 1,
) -> list[Arrival]:
    """Return a trace with a load of ``load`` times the capacity of ``engines``."""
    rng = random.Random(seed)
    slots = sum(engine.slots for engine in engines)
    trace = []
    for kind in mix:
        rate = load * slots * kind.load_share / slot_seconds(kind, engines)
        now = rng.expovariate(rate)
        while now < seconds:
            trace.append(make_arrival(kind, now, rng))
            now += rng.expovariate(rate)
    return number_requests(trace)


def make_arrival(kind: Kind, now: float, rng: random.Random) -> Arrival:
    """Return one random request of ``kind`` that arrives at ``now``."""
    output = max(1, int(kind.output * rng.lognormvariate(0.0, SIGMA)))
    return Arrival(
        time=now,
        request=RequestId(""),
        workspace=WorkspaceName(f"{kind.name}-{rng.randrange(kind.workspaces)}"),
        rank=kind.rank,
        prompt=max(1, int(kind.prompt * rng.lognormvariate(0.0, SIGMA))),
        output=min(output, kind.declared),
        declared=kind.declared,
        deadline=now + kind.timeout_s,
    )


def number_requests(trace: list[Arrival]) -> list[Arrival]:
    """Return ``trace`` in order of arrival, with request ids."""
    trace = sorted(trace, key=lambda row: row.time)
    return [
        replace(row, request=RequestId(f"r{index:06}"))
        for index, row in enumerate(trace)
    ]


def add_burst(
    mix: Sequence[Kind], engines: Sequence[Engine], seconds: float
) -> list[Arrival]:
    """Return a load of 0.7 with three bursts of eight times the capacity."""
    trace = make_trace(mix, engines, 0.7, seconds)
    for start in (0.2, 0.5, 0.8):
        burst = make_trace(mix, engines, 8.0, 4.0, seed=int(start * 10))
        trace += [delay(row, start * seconds) for row in burst]
    return number_requests(trace)


def delay(row: Arrival, seconds: float) -> Arrival:
    """Return ``row`` with arrival and deadline ``seconds`` later."""
    return replace(row, time=row.time + seconds, deadline=row.deadline + seconds)


def add_flood(
    mix: Sequence[Kind], engines: Sequence[Engine], seconds: float
) -> list[Arrival]:
    """Return a load of 1.5, nine tenths of it from one workspace in each tier."""
    rng = random.Random(2)
    trace = make_trace(mix, engines, 1.5, seconds)
    return [
        replace(row, workspace=WorkspaceName(f"flood-{row.rank}"))
        if rng.random() < 0.9
        else row
        for row in trace
    ]


def add_long(
    mix: Sequence[Kind], engines: Sequence[Engine], seconds: float
) -> list[Arrival]:
    """Return a load of 0.6 with a burst of long requests in the first two tiers."""
    trace = make_trace(mix, engines, 0.6, seconds)
    slots = sum(engine.slots for engine in engines)
    ranks = sorted({kind.rank for kind in mix})
    for index in range(2 * slots):
        kind = Kind("long", ranks[index % 2], 4000, 2500, 8192, 150.0, 0.0)
        rng = random.Random(index)
        trace.append(make_arrival(kind, seconds * 0.3 + rng.random() * 10, rng))
    return number_requests(trace)


def add_hangups(trace: list[Arrival], share: float) -> list[Arrival]:
    """Return ``trace`` with a share of callers that hang up halfway to the deadline."""
    rng = random.Random(3)
    return [
        replace(row, hangup_time=(row.time + row.deadline) / 2)
        if rng.random() < share
        else row
        for row in trace
    ]


def add_prefixes(trace: list[Arrival], count: int) -> list[Arrival]:
    """Return ``trace`` with ``count`` prefixes, the first of them the most frequent."""
    rng = random.Random(4)
    return [
        replace(row, prefix=f"prefix-{min(int(rng.expovariate(0.3)), count - 1)}")
        for row in trace
    ]
