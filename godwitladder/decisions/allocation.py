"""Hands a pool's free capacity to the waiting requests.

Load pattern: more work waits than the pool can run. Without one place that
sees all of it, each host dispatches its own head of queue, and a low tier's
request on a quiet host goes before a high tier's on a busy one.

One run goes through these steps, each in a module of its own: what ran out of
time is given up (`shedding`), free slots go to the tiers in strict order
(`fairness` orders a tier, `capacity` chooses the target), and of what still
waits, the lowest tier is refused as far as it can't start in time.

Thresholds
----------
MISSES : a tier is left after this many requests in a row that fit no target;
    looking at all of a thousand costs several milliseconds a run, and the
    next run looks again.
"""

from collections.abc import Iterable

from godwitladder.decisions.capacity import Capacity, is_long
from godwitladder.decisions.fairness import Entry, TierQueue
from godwitladder.decisions.shedding import (
    Tiers,
    give_up,
    give_up_below,
    make_entry,
    offer_elsewhere,
    refuse_early,
    was_possible,
)
from godwitladder.decisions.types import (
    Allocation,
    Placement,
    PoolView,
    ShedReason,
    WorkspaceView,
)
from godwitladder.ids import ServiceName, WorkspaceName

MISSES = 32


def allocate(pool: PoolView, now: float) -> Allocation:
    """Return placements and sheds for the requests in ``pool``.

    The views in ``pool`` are not changed; the caller accounts for what was
    decided: `TargetView.used`, ``reserved_tokens`` and ``long_used``,
    `WorkspaceView.running`, and `fairness.charge`.
    """
    return _Run(pool, now).finish()


class _Run:
    """One run of the allocator."""

    def __init__(self, pool: PoolView, now: float) -> None:
        self.pool = pool
        self.now = now
        self.capacity = Capacity(pool)
        self.allocation = Allocation()
        self.tiers: Tiers = {}
        self.expired: list[Entry] = []
        self.running = {
            name: view.running for name, view in pool.workspaces.items() if view.quota
        }

    def finish(self) -> Allocation:
        """Carry out the steps in order."""
        self.sort_rows()
        for rank in sorted(self.tiers):
            if not self.place_tier(rank):
                break
        self.drop_expired()
        self.follow_others()
        refused = refuse_early(self.tiers, self.pool, self.capacity, self.now)
        self.drop(refused, ShedReason.OVERLOAD)
        self.summarize()
        return self.allocation

    def sort_rows(self) -> None:
        """Sort the rows into tiers, and those that are too late apart."""
        now = self.now
        for row in self.pool.waiting.values():
            entry = make_entry(row, self.capacity)
            if entry.latest < now:
                self.expired.append(entry)
                continue
            tier = self.tiers.get(row.line.tier_rank)
            if tier is None:
                self.tiers[row.line.tier_rank] = [entry]
            else:
                tier.append(entry)

    def place_tier(self, rank: int) -> bool:
        """Place what fits of one tier; return whether any slot is left."""
        free = self.capacity.free_services()
        if not free:
            return False
        tier = self.tiers[rank]
        candidates = [entry for entry in tier if entry.row.line.service in free]
        queue = TierQueue(candidates, self.pool.workspaces)
        placed = set()
        blocked: set[ServiceName] = set()
        misses = 0
        while free and misses < MISSES and (entry := queue.pop()):
            line = entry.row.line
            if line.service not in free:
                continue
            if self.at_quota(line.workspace):
                queue.drop(line.workspace)
            elif self.place(entry):
                placed.add(line.request)
                misses = 0
                if not self.capacity.of(line.service).has_free():
                    free = self.capacity.free_services()
            else:
                misses += 1
                blocked.add(line.service)
        self.tiers[rank] = [
            entry for entry in tier if entry.row.line.request not in placed
        ]
        for service in blocked & free:
            self.capacity.of(service).hold_roomiest()
        return True

    def place(self, entry: Entry) -> bool:
        """Place one request if a target takes it."""
        line = entry.row.line
        part = self.capacity.of(line.service)
        long = is_long(entry.slot_s, self.pool.typical_s)
        if long and not part.takes_long():
            return False
        room = part.choose(line, entry.row.deadline - self.now)
        if room is None:
            return False
        tokens = line.prompt_tokens + line.predicted_tokens
        room.take(tokens, long)
        if line.workspace in self.running:
            self.running[line.workspace] += 1
        self.allocation.placements.append(
            Placement(line.request, room.view.name, tokens, entry.slot_s, long)
        )
        return True

    def at_quota(self, workspace: WorkspaceName) -> bool:
        """Return whether ``workspace`` runs as much as it may."""
        view = self.pool.workspaces.get(workspace, WorkspaceView())
        return 0 < view.quota <= self.running.get(workspace, 0)

    def drop_expired(self) -> None:
        """Give up what ran out of time, and what is kept below it."""
        lost: dict[int, set[ServiceName]] = {}
        for entry in self.expired:
            line = entry.row.line
            if self.at_quota(line.workspace):
                self.drop([entry], ShedReason.QUOTA)
                continue
            self.drop([entry], ShedReason.DEADLINE)
            if was_possible(entry) and self.capacity.of(line.service).slots:
                lost.setdefault(line.tier_rank, set()).add(line.service)
        for rank in sorted(lost):
            self.note_shed(rank)
            self.drop(
                give_up_below(self.tiers, rank, lost[rank], self.capacity),
                ShedReason.OVERLOAD,
            )

    def follow_others(self) -> None:
        """Keep nothing below a tier that another allocator had to shed."""
        if not self.pool.shed_ranks:
            return
        rank = min(self.pool.shed_ranks.values())
        services = list(self.capacity.services)
        below = give_up_below(self.tiers, rank, services, self.capacity)
        self.drop(below, ShedReason.OVERLOAD)

    def drop(self, entries: Iterable[Entry], reason: ShedReason) -> None:
        """Give ``entries`` up for ``reason``."""
        for entry in entries:
            if reason is ShedReason.OVERLOAD:
                self.note_shed(entry.row.line.tier_rank)
            backlog_s = self.backlog_s(entry)
            self.allocation.given_up.append(give_up(entry, reason, backlog_s))

    def note_shed(self, rank: int) -> None:
        """Remember the most important tier that was shed."""
        least = self.allocation.shed_rank
        self.allocation.shed_rank = rank if least is None else min(rank, least)

    def backlog_s(self, entry: Entry) -> float:
        """Return seconds until what waits at or above its tier has started."""
        rank = entry.row.line.tier_rank
        service = entry.row.line.service
        work = sum(
            other.slot_s
            for tier, entries in self.tiers.items()
            if tier <= rank
            for other in entries
            if other.row.line.service == service
        )
        return work / max(1, self.capacity.of(service).slots)

    def summarize(self) -> None:
        """Fill in what other allocators are told."""
        waiting = [rank for rank, entries in self.tiers.items() if entries]
        self.allocation.floor = max(waiting, default=None)
        self.allocation.spill = offer_elsewhere(self.tiers, self.capacity)
        work: dict[ServiceName, float] = {}
        for entries in self.tiers.values():
            for entry in entries:
                service = entry.row.line.service
                work[service] = work.get(service, 0.0) + entry.slot_s
        self.allocation.backlog_s = max(
            (
                seconds / max(1, self.capacity.of(service).slots)
                for service, seconds in work.items()
            ),
            default=0.0,
        )
