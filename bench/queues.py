"""Simulates a trace of requests under a policy, on a few model targets.

Each target batches continuously: it starts requests in the order of dispatch, while
slots and memory last. Streams in prefill share the prefill speed of the target; each
stream decodes at full decode speed. When the running streams exceed the memory, the
newest is preempted: it returns to the queue, and its prompt and output so far are
prefilled again. There are no network and no hosts, and the clock is simulated, so
only the decisions are measured.
"""

import heapq
import random
from collections import deque
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace
from typing import Protocol

from bench.traces import Arrival, Engine
from godwitladder.clock import ManualClock
from godwitladder.ids import RequestId, TargetName, WorkspaceName

STEP_S = 0.05
DRAIN_S = 200.0
PREFIX_TOKENS = 256
CACHED_PREFIXES = 12
OUTSIDER = Arrival(
    time=0.0,
    request=RequestId("outsider"),
    workspace=WorkspaceName("outside"),
    rank=0,
    prompt=0,
    output=10**9,
    declared=10**9,
    deadline=float("inf"),
)


@dataclass
class Stream:
    """One request at a target.

    Attributes
    ----------
    dispatched : float
        Time of dispatch.
    to_prefill : float
        Tokens still to be prefilled before its next output token.
    paid : float
        Tokens prefilled for it since its dispatch or its last preemption.
    produced : float
        Output tokens so far.
    first_token : float
        Time of its first output token, or 0.
    """

    arrival: Arrival
    dispatched: float
    to_prefill: float
    paid: float = 0.0
    produced: float = 0.0
    first_token: float = 0.0


@dataclass
class Queue:
    """Model of one target: its queue, running streams and prefix cache.

    Attributes
    ----------
    cache : dict
        Cached prefixes, the least recently used first.
    slowness : float
        Factor by which prefill and decode are slower.
    wasted, prefilled : float
        Tokens prefilled in vain, and all tokens prefilled.
    evictions : int
        How often a running stream was preempted.
    """

    engine: Engine
    queued: deque[Stream] = field(default_factory=deque)
    running: list[Stream] = field(default_factory=list)
    cache: dict[str, None] = field(default_factory=dict)
    slowness: float = 1.0
    wasted: float = 0.0
    evictions: int = 0
    prefilled: float = 0.0

    def step(self, now: float) -> list[Stream]:
        """Advance by one step and return the completed streams."""
        self.admit()
        prefilling = [row for row in self.running if row.to_prefill > 0]
        done = []
        for row in self.running:
            if row.to_prefill > 0:
                self.prefill(row, len(prefilling))
                continue
            if not row.produced:
                row.first_token = now
            row.produced += self.engine.decode_tps * STEP_S / self.slowness
            if row.produced >= row.arrival.output:
                done.append(row)
        if done:
            self.running = [row for row in self.running if row not in done]
        self.evict()
        return done

    def prefill(self, row: Stream, sharers: int) -> None:
        """Prefill tokens of one stream for one step."""
        speed = self.engine.prefill_tps / self.slowness / sharers
        tokens = min(row.to_prefill, speed * STEP_S)
        row.to_prefill -= tokens
        row.paid += tokens
        self.prefilled += tokens

    def admit(self) -> None:
        """Start queued streams while slots and memory last."""
        held = self.memory()
        while self.queued and len(self.running) < self.engine.slots:
            row = self.queued[0]
            tokens = row.arrival.prompt + row.produced
            if self.running and held + tokens > self.engine.memory:
                return
            held += tokens
            self.running.append(self.queued.popleft())
            self.use_cache(row)

    def use_cache(self, row: Stream) -> None:
        """Skip the prefill of a cached prefix, and update the cache."""
        prefix = row.arrival.prefix
        if not prefix:
            return
        if prefix in self.cache:
            row.to_prefill = max(1.0, row.to_prefill - PREFIX_TOKENS)
            del self.cache[prefix]
        self.cache[prefix] = None
        while len(self.cache) > CACHED_PREFIXES:
            del self.cache[next(iter(self.cache))]

    def evict(self) -> None:
        """Preempt the newest stream while the running ones exceed the memory."""
        while len(self.running) > 1 and self.memory() > self.engine.memory:
            newest = max(self.running, key=lambda row: row.dispatched)
            self.running.remove(newest)
            self.evictions += 1
            self.wasted += newest.paid
            newest.paid = 0.0
            newest.to_prefill = newest.arrival.prompt + newest.produced
            self.queued.appendleft(newest)

    def memory(self) -> float:
        """Return the memory tokens that running streams hold."""
        return sum(
            row.arrival.prompt + row.produced
            for row in self.running
            if row.arrival is not OUTSIDER
        )

    def cancel(self, row: Stream) -> None:
        """Remove a stream and count its prefill as wasted."""
        self.wasted += row.paid
        if row in self.running:
            self.running.remove(row)
        elif row in self.queued:
            self.queued.remove(row)


@dataclass(frozen=True)
class Refused:
    """A policy's refusal of a request.

    Attributes
    ----------
    shed : bool
        False when no order of dispatch could have avoided the refusal.
    """

    request: RequestId
    retry_after_s: float
    shed: bool = True


class Policy(Protocol):
    """Dispatch policy: the scheduler's own code or a baseline."""

    def arrive(self, arrival: Arrival, now: float) -> Refused | None:
        """Queue a new request, or refuse it at once."""

    def decide(
        self, now: float
    ) -> tuple[list[tuple[RequestId, TargetName]], list[Refused]]:
        """Return the dispatches and the refusals of this step."""

    def finished(self, stream: Stream, target: TargetName, now: float) -> None:
        """Handle a completed stream; its arrival has the output tokens."""

    def withdrawn(self, request: RequestId, produced: int, now: float) -> None:
        """Handle a request whose caller hung up or whose deadline has passed.

        It has ``produced`` output tokens by then.
        """

    def watch(self, queues: Mapping[TargetName, Queue], now: float) -> None:
        """Observe the progress of all streams, once a second."""

    def waiting_ranks(self) -> list[int]:
        """Return the rank of each waiting request."""


@dataclass
class Outcome:
    """Outcomes of the requests of one tier.

    Attributes
    ----------
    offered : int
        Requests, without their retries.
    in_time, shed : int
        Requests answered in time, and requests refused for good.
    cut, gone : int
        Requests that ended at their deadline, and at a hang-up of their caller.
    tokens : int
        Output tokens of the answers in time.
    inversions : int
        Requests shed while one of a lower tier still waited.
    wasted : float
        Tokens prefilled for requests that were withdrawn.
    latencies : list of float
        Latency of each answer in time, in seconds.
    """

    offered: int = 0
    in_time: int = 0
    tokens: int = 0
    shed: int = 0
    timed_out: int = 0
    hung_up: int = 0
    inversions: int = 0
    wasted: float = 0.0
    latencies: list[float] = field(default_factory=list)

    def latency(self, share: float) -> float:
        """Return a quantile of the latency of answers in time, in seconds."""
        if not self.latencies:
            return float("nan")
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@dataclass
class Run:
    """Results of one scenario under one policy.

    Attributes
    ----------
    outcomes : dict of int to Outcome
        Outcomes by rank of the tier.
    by_workspace : dict of str to list
        Requests offered and answered in time, by workspace.
    shares : list of dict
        Requests at each target, once a second.
    first_tries : int
        Requests answered in time at the first attempt.
    """

    outcomes: dict[int, Outcome] = field(default_factory=dict)
    wasted: float = 0.0
    evictions: int = 0
    prefilled: float = 0.0
    by_workspace: dict[str, list[int]] = field(default_factory=dict)
    shares: list[dict[TargetName, int]] = field(default_factory=list)
    first_tries: int = 0


@dataclass(frozen=True)
class Slowdown:
    """A target that is ``factor`` times slower from ``start`` to ``end``."""

    target: TargetName
    start: float
    end: float
    factor: float


@dataclass(frozen=True)
class Outsiders:
    """Streams of other clients of a target, which only its load reports show."""

    target: TargetName
    start: float
    end: float
    count: int


@dataclass(frozen=True)
class Scenario:
    """A trace, the targets and the disturbances.

    Attributes
    ----------
    repeats : int
        Maximum number of retries after refusals.
    heeds : float
        Share of callers that honour Retry-After; the others retry after 0.3 s.
    """

    trace: Sequence[Arrival]
    engines: Sequence[Engine]
    slow: Slowdown | None = None
    outsiders: Outsiders | None = None
    repeats: int = 0
    heeds: float = 1.0


class Player:
    """Simulates one scenario under one policy.

    Attributes
    ----------
    arrivals : list
        Heap of the requests to come, by time.
    open : dict of RequestId to Arrival
        Requests that wait or run.
    placed : dict of RequestId to tuple
        Stream and target of each request dispatched so far.
    ends : list
        Heap of the times at which callers hang up or deadlines pass.
    """

    def __init__(self, scenario: Scenario, policy: Policy) -> None:
        self.scenario = scenario
        self.policy = policy
        self.clock = ManualClock()
        self.queues = {TargetName(e.name): Queue(e) for e in scenario.engines}
        self.arrivals = [(row.time, row.request, row) for row in scenario.trace]
        heapq.heapify(self.arrivals)
        self.open: dict[RequestId, Arrival] = {}
        self.placed: dict[RequestId, tuple[Stream, Queue]] = {}
        self.ends: list[tuple[float, RequestId]] = []
        self.draw = random.Random(5)
        self.outsiders: list[Stream] = []
        self.run_ = Run()

    def play(self) -> Run:
        """Run the simulation and return its results."""
        start = now = self.clock.monotonic()
        while self.arrivals or self.open:
            self.clock.advance(STEP_S)
            now = self.clock.monotonic() - start
            self.step(now)
            if now > self.scenario.trace[-1].time + DRAIN_S:
                break
        for queue in self.queues.values():
            self.run_.wasted += queue.wasted
            self.run_.evictions += queue.evictions
            self.run_.prefilled += queue.prefilled
        return self.run_

    def step(self, now: float) -> None:
        """Advance everything by one step."""
        self.set_slowness(now)
        for name, queue in self.queues.items():
            for stream in queue.step(now):
                self.finish(stream, name, now)
        self.withdraw(now)
        while self.arrivals and self.arrivals[0][0] <= now:
            self.arrive(heapq.heappop(self.arrivals)[-1], now)
        if int(now) > int(now - STEP_S):
            self.policy.watch(self.queues, now)
            self.run_.shares.append(
                {
                    name: len(q.running) + len(q.queued)
                    for name, q in self.queues.items()
                }
            )
        dispatches, refusals = self.policy.decide(now)
        for request, target in dispatches:
            self.dispatch(request, target, now)
        kept = self.policy.waiting_ranks() if refusals else []
        for refused in refusals:
            self.refuse(refused, kept, now)

    def set_slowness(self, now: float) -> None:
        """Apply the disturbances of the scenario: a slowdown and external streams."""
        slow = self.scenario.slow
        if slow:
            active = slow.start <= now < slow.end
            self.queues[slow.target].slowness = slow.factor if active else 1.0
        outside = self.scenario.outsiders
        if outside:
            self.keep_outsiders(outside, outside.start <= now < outside.end, now)

    def keep_outsiders(self, outside: Outsiders, active: bool, now: float) -> None:
        """Add the external streams to their target, or remove them."""
        running = self.queues[outside.target].running
        if active == bool(self.outsiders):
            return
        if active:
            self.outsiders = [
                Stream(OUTSIDER, now, 0.0, produced=1.0) for _ in range(outside.count)
            ]
            running.extend(self.outsiders)
        else:
            for row in self.outsiders:
                running.remove(row)
            self.outsiders = []

    def outcome(self, arrival: Arrival) -> Outcome:
        """Return the outcomes of the request's tier."""
        return self.run_.outcomes.setdefault(arrival.rank, Outcome())

    def arrive(self, arrival: Arrival, now: float) -> None:
        """Hand a request to the policy."""
        if arrival.tries == 0:
            self.outcome(arrival).offered += 1
            self.run_.by_workspace.setdefault(arrival.workspace, [0, 0])[0] += 1
        self.open[arrival.request] = arrival
        end = min(arrival.deadline, max(arrival.gone, now))
        heapq.heappush(self.ends, (end, arrival.request))
        refused = self.policy.arrive(arrival, now)
        if refused:
            self.refuse(refused, [], now)

    def dispatch(self, request: RequestId, target: TargetName, now: float) -> None:
        """Send a request to a target.

        Raises
        ------
        AssertionError
            The request was dispatched before.
        """
        arrival = self.open[request]
        if request in self.placed:
            raise AssertionError(f"{request} was dispatched twice")
        stream = Stream(arrival, now, arrival.prompt)
        self.queues[target].queued.append(stream)
        self.placed[request] = stream, self.queues[target]

    def finish(self, stream: Stream, target: TargetName, now: float) -> None:
        """Count a completed answer; it is in time, as late requests were withdrawn."""
        arrival = stream.arrival
        self.open.pop(arrival.request)
        outcome = self.outcome(arrival)
        outcome.in_time += 1
        outcome.tokens += arrival.output
        outcome.latencies.append(now - arrival.time)
        self.run_.by_workspace[arrival.workspace][1] += 1
        if arrival.tries == 0:
            self.run_.first_tries += 1
        self.policy.finished(stream, target, now)

    def withdraw(self, now: float) -> None:
        """Withdraw the requests whose caller hung up or whose deadline has passed."""
        while self.ends and self.ends[0][0] <= now:
            _, request = heapq.heappop(self.ends)
            arrival = self.open.get(request)
            if arrival is None:
                continue
            produced = 0
            if request in self.placed:
                stream, queue = self.placed[request]
                produced = int(stream.produced)
                self.outcome(arrival).wasted += stream.paid
                queue.cancel(stream)
            elif arrival.gone > now:
                # It waits past its deadline: the policy refuses it in this step.
                continue
            del self.open[request]
            self.policy.withdrawn(request, produced, now)
            if arrival.gone <= now:
                self.outcome(arrival).hung_up += 1
            else:
                self.outcome(arrival).timed_out += 1

    def refuse(self, refused: Refused, kept: list[int], now: float) -> None:
        """Count a refusal, and schedule a retry if the caller has any left."""
        arrival = self.open.pop(refused.request)
        outcome = self.outcome(arrival)
        if refused.shed and any(rank > arrival.rank for rank in kept):
            outcome.inversions += 1
        if arrival.tries >= self.scenario.repeats:
            outcome.shed += 1
            return
        heeds = self.draw.random() < self.scenario.heeds
        back = now + (refused.retry_after_s if heeds else 0.3)
        timeout = arrival.deadline - arrival.time
        again = replace(
            arrival,
            time=back,
            request=RequestId(f"{arrival.request}+"),
            deadline=back + timeout,
            tries=arrival.tries + 1,
        )
        heapq.heappush(self.arrivals, (back, again.request, again))
