"""Dispatch policies under comparison: the scheduler's own and the baselines."""

from collections import OrderedDict, deque
from collections.abc import Mapping, Sequence

from bench.queues import PolicyRefusal, Stream, TargetModel
from bench.traces import SERVICE, Arrival, Engine
from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.health.throttling import TargetThrottles
from godwitladder.decisions.placing.load_reports import LoadReports
from godwitladder.decisions.placing.speeds import TargetSpeeds
from godwitladder.decisions.prompts.affinity import PrefixHints
from godwitladder.decisions.prompts.prediction import OutputPredictor, grow_reservation
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
from godwitladder.decisions.waiting.early_retries import RefusedRequests
from godwitladder.ids import (
    BodyDigest,
    HostId,
    RequestId,
    TargetName,
)

Decisions = tuple[list[tuple[RequestId, TargetName]], list[PolicyRefusal]]
HOST = HostId("host")


class Naive:
    """First come, first served; round robin over targets; declared lengths; no tiers.

    The baseline is a fair one: it never overcommits a target, and it drops requests
    that are past their deadline before dispatch.
    """

    def __init__(self, engines: Sequence[Engine]) -> None:
        self.engines = {TargetName(engine.name): engine for engine in engines}
        self.waiting: OrderedDict[RequestId, Arrival] = OrderedDict()
        self.dispatched: dict[RequestId, tuple[TargetName, int]] = {}
        self.running_counts = dict.fromkeys(self.engines, 0)
        self.tokens = dict.fromkeys(self.engines, 0)
        self.next_index = 0

    def arrive(self, arrival: Arrival, now: float) -> PolicyRefusal | None:
        """Queue the request."""
        self.waiting[arrival.request] = arrival
        return None

    def decide(self, now: float) -> Decisions:
        """Dispatch from the head of the queue while a target has capacity."""
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
            self.running_counts[target] += 1
            self.tokens[target] += tokens
            self.dispatched[arrival.request] = target, tokens
            dispatches.append((arrival.request, target))
        return dispatches, [PolicyRefusal(request, 1.0) for request in late]

    def choose(self, arrival: Arrival) -> TargetName | None:
        """Return the next target in turn that has capacity for the request."""
        names = list(self.engines)
        tokens = arrival.prompt + arrival.declared
        for offset in range(len(names)):
            name = names[(self.next_index + offset) % len(names)]
            engine = self.engines[name]
            fits = (
                self.tokens[name] + tokens <= engine.memory
                or not self.running_counts[name]
            )
            if self.running_counts[name] < engine.slots and fits:
                self.next_index += offset + 1
                return name
        return None

    def record_completion(self, stream: Stream, target: TargetName, now: float) -> None:
        """Release the slot."""
        self.release(stream.arrival.request)

    def record_withdrawal(self, request: RequestId, produced: int, now: float) -> None:
        """Remove the request from the queue, or release its slot."""
        self.waiting.pop(request, None)
        self.release(request)

    def release(self, request: RequestId) -> None:
        """Release the slot and the tokens that the request holds at a target."""
        held = self.dispatched.pop(request, None)
        if held:
            self.running_counts[held[0]] -= 1
            self.tokens[held[0]] -= held[1]

    def observe(self, targets: Mapping[TargetName, TargetModel], now: float) -> None:
        """Ignore the progress of the streams."""

    def waiting_ranks(self) -> list[int]:
        """Return the rank of each waiting request."""
        return [row.rank for row in self.waiting.values()]


class LeastReported(Naive):
    """Sends each request to the target with the lowest reported load.

    This is the common use of load reports.


    Parameters
    ----------
    lag_s : float
        Age of the reports in use, in seconds.
    """

    def __init__(self, engines: Sequence[Engine], lag_s: float) -> None:
        super().__init__(engines)
        self.lag_s = lag_s
        self.reports: list[tuple[float, dict[TargetName, int]]] = []

    def observe(self, targets: Mapping[TargetName, TargetModel], now: float) -> None:
        """Record the load of each target as a report."""
        counts = {
            name: len(model.running) + len(model.queued)
            for name, model in targets.items()
        }
        self.reports.append((now, counts))

    def choose(self, arrival: Arrival) -> TargetName | None:
        """Return the target with the lowest reported load per slot."""
        reported = self.reports[0][1] if self.reports else {}
        return min(
            self.engines,
            key=lambda name: reported.get(name, 0) / self.engines[name].slots,
        )

    def decide(self, now: float) -> Decisions:
        """Use the newest report that is ``lag_s`` old, and dispatch all requests."""
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.lag_s:
            del self.reports[0]
        return super().decide(now)


class Scheduled:
    """The scheduler's own decisions, connected as in an allocator.

    Parameters
    ----------
    lag_s : float
        Age of the load reports in use, in seconds.
    """

    def __init__(self, engines: Sequence[Engine], lag_s: float = 0.5) -> None:
        self.lag_s = lag_s
        self.reports: deque[tuple[float, dict[TargetName, int]]] = deque()
        self.own_running: dict[TargetName, int] = {}
        self.loads = LoadReports()
        self.predictor = OutputPredictor()
        self.speeds = TargetSpeeds()
        self.throttles = TargetThrottles()
        self.hints = PrefixHints()
        self.refused = RefusedRequests()
        self.pool = PoolView()
        self.running: dict[RequestId, tuple[Arrival, Placement]] = {}
        self.progress: dict[RequestId, float] = {}
        self.declared: dict[RequestId, int] = {}
        for engine in engines:
            self.add_target(engine)

    def add_target(self, engine: Engine) -> None:
        """Add a target with the speeds that an operator would configure for all."""
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

    def arrive(self, arrival: Arrival, now: float) -> PolicyRefusal | None:
        """Queue the request, or refuse it if it is retried too early."""
        body = make_body_digest(arrival)
        early_s = self.refused.retry_wait_s(arrival.workspace, body, now)
        if early_s:
            return PolicyRefusal(arrival.request, early_s, shed=False)
        demand = RequestDemand(
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
            HOST, demand, arrival.deadline, now
        )
        self.pool.workspaces.setdefault(arrival.workspace, WorkspaceView())
        self.declared[arrival.request] = arrival.declared
        return None

    def decide(self, now: float) -> Decisions:
        """Run the allocator and apply its decisions."""
        if not self.pool.waiting:
            return [], []
        self.update_targets(now)
        allocation = allocate(self.pool, now)
        dispatches = [self.place(row, now) for row in allocation.placements]
        return dispatches, self.record_sheds(allocation, now)

    def update_targets(self, now: float) -> None:
        """Copy learned speeds, limits, load and prefixes into the target views."""
        for name, view in self.pool.targets.items():
            speed = self.speeds.learned[name]
            view.prefill_tps, view.decode_tps = speed.prefill_tps, speed.decode_tps
            view.limit = self.throttles.limit(name, view.slots, now)
            view.used = self.own_running.get(name, 0) + self.loads.external(name)
            view.prefixes = self.hints.prefixes(name, now)

    def place(self, placement: Placement, now: float) -> tuple[RequestId, TargetName]:
        """Account for a dispatched request."""
        row = self.pool.waiting.pop(placement.request)
        view = self.pool.targets[placement.target]
        self.own_running[placement.target] = (
            self.own_running.get(placement.target, 0) + 1
        )
        view.reserved_tokens += placement.reserved_tokens
        self.pool.workspaces[row.demand.workspace].running += 1
        self.hints.record_dispatch(placement.target, row.demand.prefix, now)
        self.running[placement.request] = row, placement
        return placement.request, placement.target

    def record_sheds(self, allocation: Allocation, now: float) -> list[PolicyRefusal]:
        """Account for the refused requests."""
        refusals = []
        for decision in allocation.sheds:
            row = self.pool.waiting.pop(decision.request)
            body = BodyDigest(decision.request.rstrip("+"))
            wait = decision.retry_after_s
            self.refused.record_refusal(row.demand.workspace, body, wait, now)
            feasible = row.deadline - now > 0 or row.deadline - row.arrived > 0
            shed = decision.reason is not ShedReason.QUOTA and feasible
            refusals.append(PolicyRefusal(decision.request, wait, shed))
        return refusals

    def record_completion(self, stream: Stream, target: TargetName, now: float) -> None:
        """Release the slot, and learn output length and speed from the stream."""
        arrival = stream.arrival
        self.release(arrival.request)
        self.predictor.observe(
            arrival.workspace, SERVICE, arrival.declared, arrival.output
        )
        decode_s = now - stream.first_token
        expected_s = arrival.output / self.speeds.learned[target].decode_tps
        if self.speeds.is_calibrated(target):
            taken_s = max(decode_s, expected_s / 10)
            self.throttles.observe(target, expected_s, taken_s, now)
        self.speeds.observe(
            target,
            arrival.prompt,
            arrival.output,
            stream.first_token - stream.dispatched,
            now - stream.dispatched,
        )

    def record_withdrawal(self, request: RequestId, produced: int, now: float) -> None:
        """Remove the request, and learn from the output that it had produced."""
        self.pool.waiting.pop(request, None)
        if produced:
            demand = self.running[request][0].demand
            self.predictor.observe(
                demand.workspace, SERVICE, self.declared[request], produced, cut=True
            )
        self.release(request)

    def release(self, request: RequestId) -> None:
        """Release the slot and the tokens that the request holds at a target."""
        self.progress.pop(request, None)
        held = self.running.pop(request, None)
        if held is None:
            return
        row, placement = held
        view = self.pool.targets[placement.target]
        self.own_running[placement.target] -= 1
        view.reserved_tokens -= placement.reserved_tokens
        self.pool.workspaces[row.demand.workspace].running -= 1

    def observe(self, targets: Mapping[TargetName, TargetModel], now: float) -> None:
        """Process load reports, and observe streams that run for at least a second."""
        self.take_reports(targets, now)
        for name, model in targets.items():
            for stream in model.running:
                known = stream.arrival.request in self.running
                if known and now - stream.dispatched >= 1.0:
                    self.observe_stream(stream, name, now)

    def take_reports(
        self, targets: Mapping[TargetName, TargetModel], now: float
    ) -> None:
        """Record the load of each target; process the reports ``lag_s`` old."""
        counts = {
            name: len(model.running) + len(model.queued)
            for name, model in targets.items()
        }
        self.reports.append((now, counts))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.lag_s:
            self.reports.popleft()
        for name, count in self.reports[0][1].items():
            self.loads.record_own(name, self.own_running.get(name, 0), now)
            self.loads.observe(name, count)

    def observe_stream(self, stream: Stream, target: TargetName, now: float) -> None:
        """Observe the speed of one stream, and grow its reservation if needed."""
        request = stream.arrival.request
        before = self.progress.get(request, 0.0)
        self.progress[request] = stream.produced
        if before and self.speeds.is_calibrated(target):
            tokens = max(stream.produced - before, 1.0)
            expected_s = tokens / self.speeds.learned[target].decode_tps
            self.throttles.observe(target, expected_s, 1.0, now)
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


def make_body_digest(arrival: Arrival) -> BodyDigest:
    """Return a stand-in for the body digest, which is the same for all retries."""
    return BodyDigest(arrival.request.rstrip("+"))
