"""The policies that the bench compares: the scheduler's own and baselines."""

from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence

from bench.queues import Queue, Refused, Stream
from bench.traces import SERVICE, Arrival, Engine
from godwitladder.decisions.affinity import PrefixHints
from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.early_retries import RefusedRequests
from godwitladder.decisions.load_reports import LoadReports
from godwitladder.decisions.prediction import OutputPredictor, grow_reservation
from godwitladder.decisions.speeds import TargetSpeeds
from godwitladder.decisions.throttling import TargetThrottles
from godwitladder.decisions.types import (
    Allocation,
    Placement,
    PoolView,
    RequestDemand,
    ShedReason,
    TargetView,
    WaitingRequest,
    WorkspaceView,
)
from godwitladder.ids import (
    BodyDigest,
    HostId,
    RequestId,
    TargetName,
)

Decided = tuple[list[tuple[RequestId, TargetName]], list[Refused]]
HOST = HostId("host")


class Naive:
    """First come, first served; round robin; declared lengths; no tiers.

    A fair baseline: it never overruns a target, and drops what is past its
    deadline before it is dispatched.
    """

    def __init__(self, engines: Sequence[Engine]) -> None:
        self.engines = {TargetName(engine.name): engine for engine in engines}
        self.waiting: OrderedDict[RequestId, Arrival] = OrderedDict()
        self.placed: dict[RequestId, tuple[TargetName, int]] = {}
        self.used = dict.fromkeys(self.engines, 0)
        self.tokens = dict.fromkeys(self.engines, 0)
        self.turn = 0

    def arrive(self, arrival: Arrival, now: float) -> Refused | None:
        """Queue the request."""
        self.waiting[arrival.request] = arrival
        return None

    def decide(self, now: float) -> Decided:
        """Dispatch from the head of the queue to the next target with room."""
        late = [row.request for row in self.waiting.values() if row.deadline <= now]
        for request in late:
            del self.waiting[request]
        dispatches = []
        while self.waiting:
            arrival = next(iter(self.waiting.values()))
            target = self.choose(arrival)
            if target is None:
                break
            del self.waiting[arrival.request]
            tokens = arrival.prompt + arrival.declared
            self.used[target] += 1
            self.tokens[target] += tokens
            self.placed[arrival.request] = target, tokens
            dispatches.append((arrival.request, target))
        return dispatches, [Refused(request, 1.0) for request in late]

    def choose(self, arrival: Arrival) -> TargetName | None:
        """Return the next target in turn that has room."""
        names = list(self.engines)
        tokens = arrival.prompt + arrival.declared
        for offset in range(len(names)):
            name = names[(self.turn + offset) % len(names)]
            engine = self.engines[name]
            fits = self.tokens[name] + tokens <= engine.memory or not self.used[name]
            if self.used[name] < engine.slots and fits:
                self.turn += offset + 1
                return name
        return None

    def finished(self, stream: Stream, target: TargetName, now: float) -> None:
        """Free the slot."""
        self.leave(stream.arrival.request)

    def withdrawn(self, request: RequestId, produced: int, now: float) -> None:
        """Free the slot or the place in the queue."""
        self.waiting.pop(request, None)
        self.leave(request)

    def leave(self, request: RequestId) -> None:
        """Free what the request holds at a target."""
        held = self.placed.pop(request, None)
        if held:
            self.used[held[0]] -= 1
            self.tokens[held[0]] -= held[1]

    def watch(self, queues: Mapping[TargetName, Queue], now: float) -> None:
        """Look at nothing."""

    def waiting_ranks(self) -> list[int]:
        """Return the rank of each waiting request."""
        return [row.rank for row in self.waiting.values()]


class LeastReported(Naive):
    """Sends to the target whose last load report is lowest, as is common.

    Parameters
    ----------
    lag_s : float
        Age of the reports.
    """

    def __init__(self, engines: Sequence[Engine], lag_s: float) -> None:
        super().__init__(engines)
        self.lag_s = lag_s
        self.reports: list[tuple[float, dict[TargetName, int]]] = []

    def watch(self, queues: Mapping[TargetName, Queue], now: float) -> None:
        """Take the reports that are due."""
        counts = {name: len(q.running) + len(q.queued) for name, q in queues.items()}
        self.reports.append((now, counts))

    def choose(self, arrival: Arrival) -> TargetName | None:
        """Return the target with the lowest reported load for its slots."""
        reported = self.reports[0][1] if self.reports else {}
        return min(
            self.engines,
            key=lambda name: reported.get(name, 0) / self.engines[name].slots,
        )

    def decide(self, now: float) -> Decided:
        """Forget reports older than the lag, then dispatch all."""
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.lag_s:
            del self.reports[0]
        return super().decide(now)


class Scheduled:
    """The scheduler's own decisions, wired as an allocator wires them."""

    def __init__(self, engines: Sequence[Engine], lag_s: float = 0.5) -> None:
        self.lag_s = lag_s
        self.reports: deque[tuple[float, dict[TargetName, int]]] = deque()
        self.ours: dict[TargetName, int] = {}
        self.loads = LoadReports()
        self.predictor = OutputPredictor()
        self.speeds = TargetSpeeds()
        self.easing = TargetThrottles()
        self.hints = PrefixHints()
        self.refused = RefusedRequests()
        self.pool = PoolView()
        self.running: dict[RequestId, tuple[Arrival, Placement]] = {}
        self.progress: dict[RequestId, float] = {}
        self.declared: dict[RequestId, int] = {}
        for engine in engines:
            self.add_target(engine)

    def add_target(self, engine: Engine) -> None:
        """Add a target with the speeds that an operator would configure."""
        name = TargetName(engine.name)
        self.speeds.set_configured(name, 6000.0, 40.0)
        self.pool.targets[name] = TargetView(
            name,
            frozenset({SERVICE}),
            engine.slots,
            engine.memory,
            6000.0,
            40.0,
            limit=engine.slots,
        )

    def arrive(self, arrival: Arrival, now: float) -> Refused | None:
        """Queue the request, unless it comes back too early."""
        body = body_of(arrival)
        early_s = self.refused.retry_wait_s(arrival.workspace, body, now)
        if early_s:
            return Refused(arrival.request, early_s, shed=False)
        line = RequestDemand(
            request=arrival.request,
            workspace=arrival.workspace,
            service=SERVICE,
            tier_rank=arrival.rank,
            prompt_tokens=arrival.prompt,
            predicted_tokens=self.predictor.predict(
                arrival.workspace, SERVICE, arrival.declared
            ),
            time_to_deadline_s=arrival.deadline - now,
            waited_s=0.0,
            prefix=arrival.prefix,
            likely_tokens=self.predictor.predict_median(
                arrival.workspace, SERVICE, arrival.declared
            ),
            prior_refusals=self.refused.count(arrival.workspace, body, now),
        )
        self.pool.waiting[arrival.request] = WaitingRequest(
            HOST, line, arrival.deadline, now
        )
        self.pool.workspaces.setdefault(arrival.workspace, WorkspaceView())
        self.declared[arrival.request] = arrival.declared
        return None

    def decide(self, now: float) -> Decided:
        """Run the allocator and account for what it decided."""
        if not self.pool.waiting:
            return [], []
        self.update_targets(now)
        allocation = allocate(self.pool, now)
        dispatches = [self.place(row, now) for row in allocation.placements]
        return dispatches, self.give_up(allocation, now)

    def update_targets(self, now: float) -> None:
        """Bring what was learned into the view."""
        for name, view in self.pool.targets.items():
            speed = self.speeds.learned[name]
            view.prefill_tps, view.decode_tps = speed.prefill_tps, speed.decode_tps
            view.limit = self.easing.limit(name, view.slots, now)
            view.used = self.ours.get(name, 0) + self.loads.external(name)
            view.prefixes = self.hints.prefixes(name, now)

    def place(self, placement: Placement, now: float) -> tuple[RequestId, TargetName]:
        """Account for a request that is dispatched."""
        row = self.pool.waiting.pop(placement.request)
        view = self.pool.targets[placement.target]
        self.ours[placement.target] = self.ours.get(placement.target, 0) + 1
        view.reserved_tokens += placement.reserved_tokens
        self.pool.workspaces[row.demand.workspace].running += 1
        self.hints.record_dispatch(placement.target, row.demand.prefix, now)
        self.running[placement.request] = row, placement
        return placement.request, placement.target

    def give_up(self, allocation: Allocation, now: float) -> list[Refused]:
        """Account for what is refused."""
        refusals = []
        for given_up in allocation.sheds:
            row = self.pool.waiting.pop(given_up.request)
            body = BodyDigest(given_up.request.rstrip("+"))
            wait = given_up.retry_after_s
            self.refused.record_refusal(row.demand.workspace, body, wait, now)
            possible = row.deadline - now > 0 or row.deadline - row.arrived > 0
            shed = given_up.reason is not ShedReason.QUOTA and possible
            refusals.append(Refused(given_up.request, wait, shed))
        return refusals

    def finished(self, stream: Stream, target: TargetName, now: float) -> None:
        """Free the slot and learn."""
        arrival = stream.arrival
        self.leave(arrival.request)
        self.predictor.observe(
            arrival.workspace, SERVICE, arrival.declared, arrival.output
        )
        decode_s = now - stream.first_token
        expected_s = arrival.output / self.speeds.learned[target].decode_tps
        if self.speeds.is_calibrated(target):
            taken_s = max(decode_s, expected_s / 10)
            self.easing.observe(target, expected_s, taken_s, now)
        self.speeds.observe(
            target,
            arrival.prompt,
            arrival.output,
            stream.first_token - stream.dispatched,
            now - stream.dispatched,
        )

    def withdrawn(self, request: RequestId, produced: int, now: float) -> None:
        """Free the slot or the place in the queue, and learn."""
        self.pool.waiting.pop(request, None)
        if produced:
            line = self.running[request][0].demand
            self.predictor.observe(
                line.workspace, SERVICE, self.declared[request], produced, cut=True
            )
        self.leave(request)

    def leave(self, request: RequestId) -> None:
        """Free what the request holds at a target."""
        self.progress.pop(request, None)
        held = self.running.pop(request, None)
        if held is None:
            return
        row, placement = held
        view = self.pool.targets[placement.target]
        self.ours[placement.target] -= 1
        view.reserved_tokens -= placement.reserved_tokens
        self.pool.workspaces[row.demand.workspace].running -= 1

    def watch(self, queues: Mapping[TargetName, Queue], now: float) -> None:
        """Let reservations grow, take reports, and compare each second."""
        self.take_reports(queues, now)
        for name, queue in queues.items():
            for stream in queue.running:
                known = stream.arrival.request in self.running
                if known and now - stream.dispatched >= 1.0:
                    self.watch_stream(stream, name, now)

    def take_reports(self, queues: Mapping[TargetName, Queue], now: float) -> None:
        """Take in the load report of each target that is ``lag_s`` old."""
        counts = {name: len(q.running) + len(q.queued) for name, q in queues.items()}
        self.reports.append((now, counts))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.lag_s:
            self.reports.popleft()
        for name, count in self.reports[0][1].items():
            self.loads.record_own(name, self.ours.get(name, 0), now)
            self.loads.observe(name, count)

    def watch_stream(self, stream: Stream, target: TargetName, now: float) -> None:
        """Look at one stream that decodes."""
        request = stream.arrival.request
        before = self.progress.get(request, 0.0)
        self.progress[request] = stream.produced
        if before and self.speeds.is_calibrated(target):
            tokens = max(stream.produced - before, 1.0)
            expected_s = tokens / self.speeds.learned[target].decode_tps
            self.easing.observe(target, expected_s, 1.0, now)
        row, placement = self.running[request]
        reserved = placement.reserved_tokens - row.demand.prompt_tokens
        grown = grow_reservation(
            reserved, int(stream.produced), stream.arrival.declared
        )
        if grown > reserved:
            self.predictor.observe(
                row.demand.workspace,
                SERVICE,
                stream.arrival.declared,
                int(stream.produced),
                cut=True,
            )
            tokens = row.demand.prompt_tokens + grown
            self.pool.targets[target].reserved_tokens += grown - reserved
            self.running[request] = (
                row,
                Placement(request, target, tokens),
            )

    def waiting_ranks(self) -> list[int]:
        """Return the rank of each waiting request."""
        return [row.demand.tier_rank for row in self.pool.waiting.values()]


def body_of(arrival: Arrival) -> BodyDigest:
    """Return what stands for the digest of a body that is sent again."""
    return BodyDigest(arrival.request.rstrip("+"))
