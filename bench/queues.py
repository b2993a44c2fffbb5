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
EXTERNAL_REQUEST = Arrival(
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
    pending_prefill_tokens : float
        Tokens still to be prefilled before its next output token.
    prefilled_tokens : float
        Tokens prefilled for it since its dispatch or its last preemption.
    produced : float
        Output tokens so far.
    first_token : float
        Time of its first output token, or 0.
    """

    arrival: Arrival
    dispatched: float
    pending_prefill_tokens: float
    prefilled_tokens: float = 0.0
    produced: float = 0.0
    first_token: float = 0.0


@dataclass
class TargetModel:
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
        prefilling = [row for row in self.running if row.pending_prefill_tokens > 0]
        done = []
        for row in self.running:
            if row.pending_prefill_tokens > 0:
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
        tokens = min(row.pending_prefill_tokens, speed * STEP_S)
        row.pending_prefill_tokens -= tokens
        row.prefilled_tokens += tokens
        self.prefilled += tokens

    def admit(self) -> None:
        """Start queued streams while slots and memory last."""
        held = self.held_tokens()
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
            row.pending_prefill_tokens = max(
                1.0, row.pending_prefill_tokens - PREFIX_TOKENS
            )
            del self.cache[prefix]
        self.cache[prefix] = None
        while len(self.cache) > CACHED_PREFIXES:
            del self.cache[next(iter(self.cache))]

    def evict(self) -> None:
        """Preempt the newest stream while the running ones exceed the memory."""
        while len(self.running) > 1 and self.held_tokens() > self.engine.memory:
            newest = max(self.running, key=lambda row: row.dispatched)
            self.running.remove(newest)
            self.evictions += 1
            self.wasted += newest.prefilled_tokens
            newest.prefilled_tokens = 0.0
            newest.pending_prefill_tokens = newest.arrival.prompt + newest.produced
            self.queued.appendleft(newest)

    def held_tokens(self) -> float:
        """Return the memory tokens that running streams hold."""
        return sum(
            row.arrival.prompt + row.produced
            for row in self.running
            if row.arrival is not EXTERNAL_REQUEST
        )

    def cancel(self, row: Stream) -> None:
        """Remove a stream and count its prefill as wasted."""
        self.wasted += row.prefilled_tokens
        if row in self.running:
            self.running.remove(row)
        elif row in self.queued:
            self.queued.remove(row)


@dataclass(frozen=True)
class PolicyRefusal:
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

    def arrive(self, arrival: Arrival, now: float) -> PolicyRefusal | None:
        """Queue a new request, or refuse it at once."""

    def decide(
        self, now: float
    ) -> tuple[list[tuple[RequestId, TargetName]], list[PolicyRefusal]]:
        """Return the dispatches and the refusals of this step."""

    def record_completion(self, stream: Stream, target: TargetName, now: float) -> None:
        """Handle a completed stream; its arrival has the output tokens."""

    def record_withdrawal(self, request: RequestId, produced: int, now: float) -> None:
        """Handle a request whose caller hung up or whose deadline has passed.

        It has ``produced`` output tokens by then.
        """

    def observe(self, targets: Mapping[TargetName, TargetModel], now: float) -> None:
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
    timed_out, hung_up : int
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
    workspace_counts : dict of str to list
        Requests offered and answered in time, by workspace.
    load_samples : list of dict
        Requests at each target, once a second.
    first_tries : int
        Requests answered in time at the first attempt.
    """

    outcomes: dict[int, Outcome] = field(default_factory=dict)
    wasted: float = 0.0
    evictions: int = 0
    prefilled: float = 0.0
    workspace_counts: dict[str, list[int]] = field(default_factory=dict)
    load_samples: list[dict[TargetName, int]] = field(default_factory=list)
    first_tries: int = 0


@dataclass(frozen=True)
class Slowdown:
    """A target that is ``factor`` times slower from ``start`` to ``end``."""

    target: TargetName
    start: float
    end: float
    factor: float


@dataclass(frozen=True)
class ExternalStreams:
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
    max_retries : int
        Maximum number of retries after refusals.
    retry_after_compliance : float
        Share of callers that honour Retry-After; the others retry after 0.3 s.
    """

    trace: Sequence[Arrival]
    engines: Sequence[Engine]
    slow: Slowdown | None = None
    external_streams: ExternalStreams | None = None
    max_retries: int = 0
    retry_after_compliance: float = 1.0


class Player:
    """Simulates one scenario under one policy.

    Attributes
    ----------
    arrivals : list
        Heap of the requests to come, by time.
    open_requests : dict of RequestId to Arrival
        Requests that wait or run.
    dispatched_streams : dict of RequestId to tuple
        Stream and target of each request dispatched so far.
    withdrawals : list
        Heap of the times at which callers hang up or deadlines pass.
    """

    def __init__(self, scenario: Scenario, policy: Policy) -> None:
        self.scenario = scenario
        self.policy = policy
        self.clock = ManualClock()
        self.targets = {TargetName(e.name): TargetModel(e) for e in scenario.engines}
        self.arrivals = [(row.time, row.request, row) for row in scenario.trace]
        heapq.heapify(self.arrivals)
        self.open_requests: dict[RequestId, Arrival] = {}
        self.dispatched_streams: dict[RequestId, tuple[Stream, TargetModel]] = {}
        self.withdrawals: list[tuple[float, RequestId]] = []
        self.rng = random.Random(5)
        self.external_streams: list[Stream] = []
        self.results = Run()

    def play(self) -> Run:
        """Run the simulation and return its results."""
        start = now = self.clock.monotonic()
        while self.arrivals or self.open_requests:
            self.clock.advance(STEP_S)
            now = self.clock.monotonic() - start
            self.step(now)
            if now > self.scenario.trace[-1].time + DRAIN_S:
                break
        for model in self.targets.values():
            self.results.wasted += model.wasted
            self.results.evictions += model.evictions
            self.results.prefilled += model.prefilled
        return self.results

    def step(self, now: float) -> None:
        """Advance everything by one step."""
        self.apply_disturbances(now)
        for name, model in self.targets.items():
            for stream in model.step(now):
                self.finish(stream, name, now)
        self.withdraw(now)
        while self.arrivals and self.arrivals[0][0] <= now:
            self.arrive(heapq.heappop(self.arrivals)[-1], now)
        if int(now) > int(now - STEP_S):
            self.policy.observe(self.targets, now)
            self.results.load_samples.append(
                {
                    name: len(model.running) + len(model.queued)
                    for name, model in self.targets.items()
                }
            )
        dispatches, refusals = self.policy.decide(now)
        for request, target in dispatches:
            self.dispatch(request, target, now)
        waiting_ranks = self.policy.waiting_ranks() if refusals else []
        for refused in refusals:
            self.refuse(refused, waiting_ranks, now)

    def apply_disturbances(self, now: float) -> None:
        """Apply the disturbances of the scenario: a slowdown and external streams."""
        slow = self.scenario.slow
        if slow:
            active = slow.start <= now < slow.end
            self.targets[slow.target].slowness = slow.factor if active else 1.0
        external = self.scenario.external_streams
        if external:
            self.update_external_streams(
                external, external.start <= now < external.end, now
            )

    def update_external_streams(
        self, external: ExternalStreams, active: bool, now: float
    ) -> None:
        """Add the external streams to their target, or remove them."""
        running = self.targets[external.target].running
        if active == bool(self.external_streams):
            return
        if active:
            self.external_streams = [
                Stream(EXTERNAL_REQUEST, now, 0.0, produced=1.0)
                for _ in range(external.count)
            ]
            running.extend(self.external_streams)
        else:
            for row in self.external_streams:
                running.remove(row)
            self.external_streams = []

    def outcome(self, arrival: Arrival) -> Outcome:
        """Return the outcomes of the request's tier."""
        return self.results.outcomes.setdefault(arrival.rank, Outcome())

    def arrive(self, arrival: Arrival, now: float) -> None:
        """Hand a request to the policy."""
        if arrival.prior_attempts == 0:
            self.outcome(arrival).offered += 1
            self.results.workspace_counts.setdefault(arrival.workspace, [0, 0])[0] += 1
        self.open_requests[arrival.request] = arrival
        end = min(arrival.deadline, max(arrival.hangup_time, now))
        heapq.heappush(self.withdrawals, (end, arrival.request))
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
        arrival = self.open_requests[request]
        if request in self.dispatched_streams:
            raise AssertionError(f"{request} was dispatched twice")
        stream = Stream(arrival, now, arrival.prompt)
        self.targets[target].queued.append(stream)
        self.dispatched_streams[request] = stream, self.targets[target]

    def finish(self, stream: Stream, target: TargetName, now: float) -> None:
        """Count a completed answer; it is in time, as late requests were withdrawn."""
        arrival = stream.arrival
        self.open_requests.pop(arrival.request)
        outcome = self.outcome(arrival)
        outcome.in_time += 1
        outcome.tokens += arrival.output
        outcome.latencies.append(now - arrival.time)
        self.results.workspace_counts[arrival.workspace][1] += 1
        if arrival.prior_attempts == 0:
            self.results.first_tries += 1
        self.policy.record_completion(stream, target, now)

    def withdraw(self, now: float) -> None:
        """Withdraw the requests whose caller hung up or whose deadline has passed."""
        while self.withdrawals and self.withdrawals[0][0] <= now:
            _, request = heapq.heappop(self.withdrawals)
            arrival = self.open_requests.get(request)
            if arrival is None:
                continue
            produced = 0
            if request in self.dispatched_streams:
                stream, model = self.dispatched_streams[request]
                produced = int(stream.produced)
                self.outcome(arrival).wasted += stream.prefilled_tokens
                model.cancel(stream)
            elif arrival.hangup_time > now:
                # It waits past its deadline: the policy refuses it in this step, and
                # `refuse` counts it.
                continue
            del self.open_requests[request]
            self.policy.record_withdrawal(request, produced, now)
            if arrival.hangup_time <= now:
                self.outcome(arrival).hung_up += 1
            else:
                self.outcome(arrival).timed_out += 1

    def refuse(
        self, refused: PolicyRefusal, waiting_ranks: list[int], now: float
    ) -> None:
        """Count a refusal, and schedule a retry if the caller has any left."""
        arrival = self.open_requests.pop(refused.request)
        outcome = self.outcome(arrival)
        if refused.shed and any(rank > arrival.rank for rank in waiting_ranks):
            outcome.inversions += 1
        if arrival.prior_attempts >= self.scenario.max_retries:
            outcome.shed += 1
            return
        complies = self.rng.random() < self.scenario.retry_after_compliance
        retry_at = now + (refused.retry_after_s if complies else 0.3)
        timeout = arrival.deadline - arrival.time
        retry = replace(
            arrival,
            time=retry_at,
            request=RequestId(f"{arrival.request}+"),
            deadline=retry_at + timeout,
            prior_attempts=arrival.prior_attempts + 1,
        )
        heapq.heappush(self.arrivals, (retry_at, retry.request, retry))
