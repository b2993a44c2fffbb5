"""Hands a pool's free capacity to the waiting requests.

Load pattern: more work waits than the pool can run. Without one place that
sees all of it, each host dispatches its own head of queue, and a low tier's
request on a quiet host goes before a high tier's on a busy one.

One run goes through these steps, each in a module of its own: what ran out of
time is given up (`shedding`), free slots go by precedence
(`shares`; `fairness` orders requests of one, `capacity` chooses the target),
and of what still waits, the last is refused as far as it can't start in time.

Thresholds
----------
MAX_CONTENTION_S : a queue that has lasted for some seconds is taken to last as
    long again, up to this: callers who come back sooner are refused again.
MISSES : a tier is left after this many requests in a row that fit no target;
    looking at all of a thousand costs several milliseconds a run, and the
    next run looks again.
"""

import math
from collections import Counter
from collections.abc import Iterable

from godwitladder.decisions.admission import Flow
from godwitladder.decisions.backlog import Backlog, Group
from godwitladder.decisions.capacity import PoolCapacity, TargetCapacity, is_long
from godwitladder.decisions.fairness import TierQueue
from godwitladder.decisions.late_refusal import refuse_late_starts
from godwitladder.decisions.precedence import Precedence, Timeliness, serving_order
from godwitladder.decisions.shedding import (
    make_shed_decision,
    refuse_early,
    select_spill,
    shed_below_rank,
    was_feasible,
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
from godwitladder.ids import RequestId, ServiceName, WorkspaceName

MISSES = 32
MAX_CONTENTION_S = 4.0


def allocate(pool: PoolView, now: float) -> Allocation:
    """Return placements and sheds for the requests in ``pool``.

    The views in ``pool`` are not changed, but for `PoolView.memory` and
    `Waiting.entry`; the caller accounts for what was decided.
    """
    run = _Run(pool, now)
    run.place_all()
    run.drop_expired()
    run.follow_others()
    refuse = refuse_early if pool.policy.is_strict else refuse_late_starts
    run.drop(refuse(run.backlog, pool, now), ShedReason.OVERLOAD)
    run.summarize()
    pool.state.admission.update(now, pool.staleness_s)
    return run.allocation


def flow_of(entry: QueueEntry) -> Flow:
    """Return whose calls of which service ``entry`` is one of."""
    return entry.waiting.demand.service, entry.waiting.demand.workspace


class _Run:
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
        self.promised: Counter[WorkspaceName] = Counter()
        self.running = {
            name: view.running for name, view in pool.workspaces.items() if view.quota
        }

    def count_offered(self, entry: QueueEntry, number: float) -> None:
        """Add ``number`` to what lately came with the precedence of ``entry``."""
        offered = self.pool.state.offered
        offered[entry.precedence] = offered.get(entry.precedence, 0.0) + number

    def place_all(self) -> None:
        """Place what waits by precedence, while any slot is free."""
        for precedence in self.turns():
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

    def turns(self) -> list[Precedence]:
        """Return what waits by precedence, the first to be served first."""
        least = self.pool.policy.min_share
        waiting = self.backlog.precedences()
        if not least:
            return waiting
        shares = {each: self.pool.state.share(each) for each in waiting}
        return serving_order(waiting, shares, least)

    def record_throughput(self) -> None:
        """Remember how much was started while more waited."""
        waits = any(group.entries for group in self.backlog.groups.values())
        slots = sum(room.view.limit for room in self.capacity.targets)
        self.pool.state.record_throughput(self.placed_s, waits, slots, self.now)

    def place_groups(
        self, groups: list[Group], free: set[ServiceName]
    ) -> set[RequestId]:
        """Place what fits of one precedence's groups and return it."""
        entries = [entry for group in groups for entry in group.entries]
        queue = TierQueue(
            entries, self.pool.workspaces, self.pool.state.spent, self.now
        )
        placed: set[RequestId] = set()
        blocked: set[ServiceName] = set()
        misses = 0
        while free and misses < MISSES and (entry := queue.pop()):
            line = entry.waiting.demand
            if line.service not in free:
                continue
            if self.at_quota(line.workspace):
                queue.remove_workspace(line.workspace)
            elif (wait_s := self.quota_wait_s(line)) > 0:
                # Waiting for its quota or refused, it is no part of the pool's load.
                placed.add(line.request)
                if wait_s <= self.patience_s(entry):
                    self.promised[line.workspace] += line.charge
                else:
                    self.refuse_quota(entry, wait_s)
            elif self.place(entry):
                placed.add(line.request)
                misses = 0
                free = self.capacity.free_services()
            else:
                misses += 1
                if self.capacity.of(line.service).lacks_memory(line):
                    blocked.add(line.service)
        for service in blocked & free:
            self.capacity.of(service).hold_roomiest()
        return placed

    def place(self, entry: QueueEntry) -> bool:
        """Place one request if a target takes it."""
        line = entry.waiting.demand
        part = self.capacity.of(line.service)
        long = is_long(entry.slot_s, self.pool.state.typical_s)
        if long and not part.takes_long():
            return False
        budget_s = entry.waiting.deadline - self.now
        room = part.choose(line, budget_s, entry.waiting.avoided, self.aim_s(entry))
        if room is None:
            return False
        tokens = line.prompt_tokens + line.predicted_tokens
        room.take(tokens, long, line.prompt_tokens)
        self.pool.quotas.take(line.workspace, line.charge, self.now)
        self.note(entry, room, long)
        if line.workspace in self.running:
            self.running[line.workspace] += 1
        self.allocation.placements.append(
            Placement(line.request, room.view.name, tokens)
        )
        return True

    def aim_s(self, entry: QueueEntry) -> float | None:
        """Return the seconds left for the first output; None if any will do."""
        if not self.pool.policy.enforces_latency:
            return None
        in_time = entry.precedence_at(self.now).timeliness is Timeliness.IN_TIME
        return entry.waiting.ttft_deadline - self.now if in_time else math.inf

    def quota_wait_s(self, line: RequestDemand) -> float:
        """Return the seconds until the workspace's tokens allow ``line``."""
        promised = self.promised[line.workspace]
        return self.pool.quotas.wait_s(line.workspace, line.charge, self.now, promised)

    def patience_s(self, entry: QueueEntry) -> float:
        """Return the seconds for which ``entry`` may wait for its quota.

        A quota fills all the time: refused at once, a caller who could be served in
        time by the next second's tokens is sent away for as many seconds as it is
        told, and comes back late. Without an aim nobody can tell what is in time.
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
        """Refuse what is beyond its workspace's tokens: nobody is owed it."""
        if not entry.waiting.is_retry:
            self.count_offered(entry, -1.0)
        row = ShedDecision(entry.waiting.demand.request, ShedReason.QUOTA, wait_s)
        self.allocation.sheds.append(row)

    def note(self, entry: QueueEntry, room: TargetCapacity, long: bool) -> None:
        """Remember a placement for the next runs."""
        line = entry.waiting.demand
        memory = self.pool.state
        memory.admission.served[flow_of(entry)] += 1
        memory.record_placement(
            entry.precedence_at(self.now), line.workspace, entry.slot_s
        )
        self.placed_s += entry.slot_s
        if long:
            end = self.now + room.seconds(line)
            self.pool.state.note_long(room.view.name, end)

    def at_quota(self, workspace: WorkspaceName) -> bool:
        """Return whether ``workspace`` runs as much as it may."""
        view = self.pool.workspaces.get(workspace, WorkspaceView())
        return 0 < view.quota <= self.running.get(workspace, 0)

    def drop_expired(self) -> None:
        """Give up what ran out of time, and what is kept below it."""
        lost: dict[int, set[ServiceName]] = {}
        for entry in self.backlog.expired:
            line = entry.waiting.demand
            if self.at_quota(line.workspace):
                self.drop([entry], ShedReason.QUOTA)
                continue
            self.drop([entry], ShedReason.DEADLINE)
            if was_feasible(entry) and self.capacity.of(line.service).slots:
                lost.setdefault(line.tier_rank, set()).add(line.service)
        if not self.pool.policy.is_strict:
            return
        for rank, services in sorted(lost.items()):
            self.note_shed(rank)
            below = shed_below_rank(self.backlog, rank, services)
            self.drop(below, ShedReason.OVERLOAD)

    def follow_others(self) -> None:
        """Keep nothing below a tier that another allocator had to shed."""
        if not self.pool.shed_ranks or not self.pool.policy.is_strict:
            return
        rank = min(self.pool.shed_ranks.values())
        below = shed_below_rank(self.backlog, rank, self.capacity.services)
        self.drop(below, ShedReason.OVERLOAD)

    def drop(self, entries: Iterable[QueueEntry], reason: ShedReason) -> None:
        """Give ``entries`` up for ``reason``."""
        waits: dict[tuple[ServiceName, Precedence], float] = {}
        for entry in entries:
            line = entry.waiting.demand
            key = line.service, entry.precedence
            if key not in waits:
                waits[key] = max(
                    self.backlog.wait_s(*key),
                    min(self.pool.state.contended_s(), MAX_CONTENTION_S),
                )
            if reason is ShedReason.OVERLOAD:
                self.note_shed(line.tier_rank)
            if reason is not ShedReason.QUOTA:
                self.pool.state.admission.shed[flow_of(entry)] += 1
            self.pool.state.callers.note(
                line.body, entry.waiting.first_arrived, self.now
            )
            self.allocation.sheds.append(make_shed_decision(entry, reason, waits[key]))

    def note_shed(self, rank: int) -> None:
        """Remember the most important tier that was shed."""
        least = self.allocation.shed_rank
        self.allocation.shed_rank = rank if least is None else min(rank, least)

    def summarize(self) -> None:
        """Fill in what other allocators are told."""
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
