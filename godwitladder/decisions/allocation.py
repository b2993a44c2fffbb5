"""Allocation of a pool's free capacity to the waiting requests.

Load pattern: more work waits than the pool can run. Without a single place that
sees all of it, each host dispatches the head of its own queue, and a request of a
low tier on an idle host goes before one of a high tier on a busy host.

Each run takes these steps, most of them in other modules: expired requests are shed
(`shedding`); free slots are given out by precedence (`precedence`), where `fairness`
orders the requests of one precedence and `capacity` chooses the target; and requests
that still wait and can't start in time are refused (`shedding`, `late_refusal`).

Thresholds
----------
MAX_CONTENTION_S : a queue that has lasted for some seconds is expected to last as
    long again, up to this: callers who retry sooner would be refused again.
MAX_MISSES : a precedence is left after this many requests in a row that fit no
    target. Trying all of a thousand takes several milliseconds per run, and the
    next run tries again.
"""

import math
from collections import Counter
from collections.abc import Collection, Iterable

from godwitladder.decisions.placing.capacity import (
    PoolCapacity,
    TargetCapacity,
    is_long,
)
from godwitladder.decisions.placing.fairness import TierQueue
from godwitladder.decisions.placing.precedence import (
    Precedence,
    Timeliness,
    serving_order,
)
from godwitladder.decisions.types import (
    Allocation,
    Placement,
    PoolView,
    QueueEntry,
    RequestDemand,
    ShedDecision,
    ShedReason,
    WorkspaceView,
)
from godwitladder.decisions.waiting.admission import Flow
from godwitladder.decisions.waiting.backlog import Backlog, Group
from godwitladder.decisions.waiting.late_refusal import refuse_late_starts
from godwitladder.decisions.waiting.shedding import (
    make_shed_decision,
    refuse_early,
    select_spill,
    shed_below_rank,
    was_feasible,
)
from godwitladder.ids import RequestId, ServiceName, TargetName, WorkspaceName

MAX_MISSES = 32
MAX_CONTENTION_S = 4.0


def allocate(pool: PoolView, now: float) -> Allocation:
    """Return placements and sheds for the requests in ``pool``.

    Of ``pool``, only `PoolView.state`, `PoolView.quotas` and the fields
    `WaitingRequest.entry` and `WaitingRequest.counted` are changed; the caller
    accounts for the decisions.

    Parameters
    ----------
    now : float
        Time in seconds by the allocator's clock.
    """
    run = _AllocationRun(pool, now)
    run.place_all()
    run.shed_expired()
    run.follow_other_allocators()
    refuse = refuse_early if pool.policy.is_strict else refuse_late_starts
    run.shed(refuse(run.backlog, pool, now), ShedReason.OVERLOAD)
    run.summarize()
    pool.state.admission.update(now, pool.staleness_s)
    return run.allocation


def flow_of(entry: QueueEntry) -> Flow:
    """Return the service and workspace of ``entry``."""
    return entry.waiting.demand.service, entry.waiting.demand.workspace


class _AllocationRun:
    """One run of the allocator."""

    def __init__(self, pool: PoolView, now: float) -> None:
        self.pool = pool
        self.now = now
        self.capacity = PoolCapacity(pool)
        self.allocation = Allocation()
        sizes = pool.state.sizes if pool.policy.min_share else None
        self.backlog = Backlog(self.capacity, sizes)
        pool.state.decay(now)
        for entry in self.backlog.sort(list(pool.waiting.values()), now):
            pool.state.admission.requested[flow_of(entry)] += 1
            if not entry.waiting.is_retry:
                self.count_offered(entry, 1.0)
        self.placed_s = 0.0
        self.reserved_quota: Counter[WorkspaceName] = Counter()
        self.continued = {
            (row.demand.service, row.demand.release)
            for row in pool.waiting.values()
            if row.demand.release
        }
        self.running = {
            name: view.running for name, view in pool.workspaces.items() if view.quota
        }

    def count_offered(self, entry: QueueEntry, number: float) -> None:
        """Add ``number`` to the recent arrivals with the precedence of ``entry``."""
        offered = self.pool.state.offered
        offered[entry.precedence] = offered.get(entry.precedence, 0.0) + number

    def place_all(self) -> None:
        """Place waiting requests by precedence while a slot is free."""
        for precedence in self.precedence_order():
            free = self.capacity.free_services()
            if not free:
                break
            groups = [g for g in self.backlog.at(precedence) if g.service in free]
            placed = self.place_groups(groups, free)
            for group in groups:
                kept = [
                    e for e in group.entries if e.waiting.demand.request not in placed
                ]
                if len(kept) < len(group.entries):
                    group.retain(kept)
        if self.pool.policy.uses_measured_throughput:
            self.record_throughput()

    def precedence_order(self) -> list[Precedence]:
        """Return the precedences that wait, the first to be served first."""
        min_share = self.pool.policy.min_share
        waiting = self.backlog.precedences()
        if not min_share:
            return waiting
        shares = {each: self.pool.state.share(each) for each in waiting}
        return serving_order(waiting, shares, min_share)

    def record_throughput(self) -> None:
        """Record how much work was started while more was waiting."""
        waits = any(group.entries for group in self.backlog.groups.values())
        slots = sum(target.sustained_slots for target in self.capacity.targets)
        self.pool.state.record_throughput(self.placed_s, waits, slots, self.now)

    def place_groups(
        self, groups: list[Group], free: set[ServiceName]
    ) -> set[RequestId]:
        """Place requests of one precedence and return those that no longer wait.

        These are the placed requests, and those that wait for their quota or were
        refused because of it.
        """
        entries = [entry for group in groups for entry in group.entries]
        queue = TierQueue(
            entries, self.pool.workspaces, self.pool.state.spent, self.now
        )
        placed: set[RequestId] = set()
        blocked: set[ServiceName] = set()
        misses = 0
        while free and misses < MAX_MISSES and (entry := queue.pop()):
            demand = entry.waiting.demand
            if demand.service not in free:
                continue
            if self.at_quota(demand.workspace):
                queue.remove_workspace(demand.workspace)
            elif (wait_s := self.quota_wait_s(demand)) > 0:
                # Whether it waits for its quota or is refused, it doesn't count as
                # load of the pool.
                placed.add(demand.request)
                if wait_s <= self.patience_s(entry):
                    self.reserved_quota[demand.workspace] += demand.charge
                else:
                    self.refuse_quota(entry, wait_s)
            elif self.place(entry):
                placed.add(demand.request)
                misses = 0
                free = self.capacity.free_services()
            else:
                misses += 1
                if self.capacity.of(demand.service).lacks_memory(demand):
                    blocked.add(demand.service)
        for service in blocked & free:
            self.capacity.of(service).hold_most_free()
        return placed

    def place(self, entry: QueueEntry) -> bool:
        """Place one request; return whether a target takes it."""
        demand = entry.waiting.demand
        service_capacity = self.capacity.of(demand.service)
        long = is_long(entry.slot_s, self.pool.state.typical_s)
        if long and not service_capacity.admits_long():
            return False
        budget_s = entry.waiting.deadline - self.now
        target = service_capacity.choose(
            demand,
            budget_s,
            self.excluded_targets(entry),
            self.ttft_budget_s(entry),
            self.spared_targets(demand),
        )
        if target is None:
            return False
        tokens = demand.prompt_tokens + demand.predicted_tokens
        target.take(tokens, long, demand.prompt_tokens)
        self.pool.quotas.take(demand.workspace, demand.charge, self.now)
        self.record_placement(entry, target, long)
        if demand.workspace in self.running:
            self.running[demand.workspace] += 1
        self.allocation.placements.append(
            Placement(demand.request, target.view.name, tokens)
        )
        return True

    def excluded_targets(self, entry: QueueEntry) -> Collection[TargetName]:
        """Return the targets on which a request must not be placed."""
        excluded = entry.waiting.excluded_targets(self.now)
        demand = entry.waiting.demand
        if not demand.release:
            cutover = self.pool.cutover_excluded
            return cutover.union(excluded) if cutover else excluded
        capacity = self.capacity.of(demand.service)
        return capacity.names_of(demand.release, others=True) | set(excluded)

    def spared_targets(self, demand: RequestDemand) -> Collection[TargetName]:
        """Return the targets that streams which are to go on need.

        In a roll-out the last targets of a version may be the least used. New streams
        can begin at any other.
        """
        if demand.release or not self.continued:
            return ()
        capacity = self.capacity.of(demand.service)
        names = [
            capacity.names_of(release)
            for service, release in self.continued
            if service == demand.service
        ]
        return set().union(*names)

    def ttft_budget_s(self, entry: QueueEntry) -> float | None:
        """Return the seconds left for the first output.

        None if the policy doesn't enforce latency, infinite if it is late already.
        """
        if not self.pool.policy.enforces_latency:
            return None
        in_time = entry.precedence_at(self.now).timeliness is Timeliness.IN_TIME
        return entry.waiting.ttft_deadline - self.now if in_time else math.inf

    def quota_wait_s(self, demand: RequestDemand) -> float:
        """Return the seconds until the workspace's token quota admits ``demand``."""
        reserved_quota = self.reserved_quota[demand.workspace]
        return self.pool.quotas.wait_s(
            demand.workspace, demand.charge, self.now, reserved_quota
        )

    def patience_s(self, entry: QueueEntry) -> float:
        """Return the seconds for which ``entry`` may wait for its quota.

        A quota refills continuously. If refused at once, a caller who could be served
        in time with the tokens of the next second would stay away for the seconds in
        its answer and retry too late. Without a bound on the first output, in time is
        undefined, and the request doesn't wait.
        """
        if math.isinf(entry.ttft_latest_start):
            return 0.0
        until = (
            entry.ttft_latest_start
            if self.now <= entry.ttft_latest_start
            else entry.latest_start
        )
        return until - self.now

    def refuse_quota(self, entry: QueueEntry, wait_s: float) -> None:
        """Refuse a request that exceeds its workspace's token quota.

        It has no claim to be served, so it isn't counted as an arrival.
        """
        if not entry.waiting.is_retry:
            self.count_offered(entry, -1.0)
        row = ShedDecision(entry.waiting.demand.request, ShedReason.QUOTA, wait_s)
        self.allocation.sheds.append(row)

    def record_placement(
        self, entry: QueueEntry, target: TargetCapacity, long: bool
    ) -> None:
        """Record a placement in the state for later runs."""
        demand = entry.waiting.demand
        state = self.pool.state
        state.admission.served[flow_of(entry)] += 1
        state.record_placement(
            entry.precedence_at(self.now), demand.workspace, entry.slot_s
        )
        self.placed_s += entry.slot_s
        if long:
            end = self.now + target.seconds(demand)
            self.pool.state.record_long_request(target.view.name, end)

    def at_quota(self, workspace: WorkspaceName) -> bool:
        """Return whether ``workspace`` has reached its limit on running requests."""
        view = self.pool.workspaces.get(workspace, WorkspaceView())
        return 0 < view.quota <= self.running.get(workspace, 0)

    def shed_expired(self) -> None:
        """Shed expired requests and, in strict order, lower tiers that still wait."""
        missed_services: dict[int, set[ServiceName]] = {}
        for entry in self.backlog.expired:
            demand = entry.waiting.demand
            if self.at_quota(demand.workspace):
                self.shed([entry], ShedReason.QUOTA)
                continue
            self.shed([entry], ShedReason.DEADLINE)
            if was_feasible(entry):
                missed_services.setdefault(demand.tier_rank, set()).add(demand.service)
        if not self.pool.policy.is_strict:
            return
        for rank, services in sorted(missed_services.items()):
            self.record_shed_rank(rank)
            below = shed_below_rank(self.backlog, self.pool, rank, services)
            self.shed(below, ShedReason.OVERLOAD)

    def follow_other_allocators(self) -> None:
        """Keep nothing below a tier that another allocator had to shed."""
        if not self.pool.shed_ranks or not self.pool.policy.is_strict:
            return
        rank = min(self.pool.shed_ranks.values())
        services = {group.service for group in self.backlog.groups.values()}
        below = shed_below_rank(self.backlog, self.pool, rank, services)
        self.shed(below, ShedReason.OVERLOAD)

    def shed(self, entries: Iterable[QueueEntry], reason: ShedReason) -> None:
        """Shed ``entries`` for ``reason``."""
        waits: dict[tuple[ServiceName, Precedence], float] = {}
        for entry in entries:
            demand = entry.waiting.demand
            key = demand.service, entry.precedence
            if key not in waits:
                waits[key] = max(
                    self.backlog.wait_s(*key),
                    min(self.pool.state.contended_s(), MAX_CONTENTION_S),
                )
            if reason is ShedReason.OVERLOAD:
                self.record_shed_rank(demand.tier_rank)
            if reason is not ShedReason.QUOTA:
                self.pool.state.admission.shed[flow_of(entry)] += 1
            self.pool.state.callers.record_refusal(
                demand.body, entry.waiting.first_arrived, self.now
            )
            self.allocation.sheds.append(make_shed_decision(entry, reason, waits[key]))

    def record_shed_rank(self, rank: int) -> None:
        """Record the most important tier that was shed."""
        lowest = self.allocation.shed_rank
        self.allocation.shed_rank = rank if lowest is None else min(rank, lowest)

    def summarize(self) -> None:
        """Fill in what is sent to other allocators, and the backlog."""
        waiting = self.backlog.precedences()
        ranks = [precedence.rank for precedence in waiting]
        self.allocation.floor = max(ranks, default=None)
        if self.pool.floors:
            self.allocation.spill = select_spill(self.backlog)
        if waiting:
            self.allocation.backlog_s = max(
                self.backlog.wait_s(group.service, waiting[-1])
                for group in self.backlog.groups.values()
            )
