"""Trials of new versions, as one term of an allocator leads them.

A target of a version on trial is used only with a grant for that one request. The
allocator chooses these requests before it allocates the pool, so that new targets do
not count as capacity of their service before they are proved.

No I/O; times are passed in.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from godwitladder.decisions.allocation import allocate
from godwitladder.decisions.placing.capacity import PoolCapacity, ServiceCapacity
from godwitladder.decisions.rollouts.evidence import AnswerCounts, Evidence, Source
from godwitladder.decisions.rollouts.exposure import ExposureBudget
from godwitladder.decisions.rollouts.progress import (
    Phase,
    RolloutLimits,
    RolloutProgress,
    Step,
)
from godwitladder.decisions.types import (
    Allocation,
    Placement,
    PoolView,
    WaitingRequest,
)
from godwitladder.discovery.rollouts import OrderInForce, RolloutOrder, RolloutState
from godwitladder.ids import Release, RequestId, ServiceName
from godwitladder.rollouts.messages import (
    CondemnedVersion,
    OrderAge,
    ProvedVersion,
    VersionCounts,
)
from godwitladder.rollouts.status import StatusKnown, WantedStatus

UNKNOWN_AGE_S = 2.0
"""Time for which a term waits for a host that knows when an order was given. Without
one the version is rolled back."""
RECENT_S = 5.0
"""Time for which grants are remembered. An order is read within two intervals of the
reads of the store, or later after an outage."""
SHARE_STEP = 1.5
"""Factor by which a share must differ from the last one that was logged."""
WAITING = Step(Phase.TRIAL)


@dataclass(eq=False)
class Trial:
    """One order, as one term of an allocator sees it.

    Attributes
    ----------
    ordered_at : float
        Earliest time at which the order may have been given, as far as known.
    known_since : float
        Time at which this term learned of the order.
    progress : RolloutProgress or None
        None until the time of the order is known.
    step : Step
        What holds until the next step.
    is_condemned : bool
        Whether the version gets nothing more.
    is_stored : bool
        Whether the store holds an outcome, which is final.
    granted : set of RequestId
        Requests that this term has granted.
    told : Step or None
        Step that was logged last.
    is_already_deployed : bool
        Whether all targets of the service were of the version when it was ordered.
    wanted : WantedStatus or None
        Status that was asked for last, and ``asked_at`` when.
    """

    order: RolloutOrder
    ordered_at: float
    known_since: float
    budget: ExposureBudget
    evidence: Evidence = field(default_factory=Evidence)
    progress: RolloutProgress | None = None
    step: Step = WAITING
    is_condemned: bool = False
    is_stored: bool = False
    granted: set[RequestId] = field(default_factory=set)
    told: Step | None = None
    is_already_deployed: bool = False
    wanted: WantedStatus | None = None
    asked_at: float = -math.inf

    def start(self, limits: RolloutLimits, now: float) -> None:
        """Begin the trial once the time of the order is known."""
        is_known = self.ordered_at > -math.inf
        if self.progress is not None or (
            not is_known and now - self.known_since < UNKNOWN_AGE_S
        ):
            return
        self.progress = RolloutProgress(self.order, limits, self.ordered_at)
        if self.is_condemned:
            self.progress.condemn()

    def has_news(self) -> bool:
        """Return whether the phase, the outcome or the share is worth a log line.

        On trial the share follows the rate of requests a little with each step.
        """
        told, step = self.told, self.step
        if told is None or (told.phase, told.outcome) != (step.phase, step.outcome):
            return True
        return not told.share / SHARE_STEP <= step.share <= told.share * SHARE_STEP

    def condemn(self) -> None:
        """Grant nothing more to the version."""
        self.is_condemned = True
        self.step = replace(self.step, share=0.0, new_only=False)
        if self.progress is not None:
            self.progress.condemn()

    def may_expose(self, waiting: WaitingRequest, is_fresh: bool, now: float) -> bool:
        """Return whether a request may be granted for the new version."""
        if not is_fresh or self.is_condemned or self.step.share <= 0:
            return False
        demand = waiting.demand
        # A stream that began at the new version can go on only there.
        if demand.release == self.order.release:
            return self.budget.may_expose(now)
        if demand.release:
            return False
        if self.step.new_only:
            return self.budget.may_expose(now)
        # A failed call is repeated at the old version, for its caller's sake.
        if demand.request in self.granted:
            return False
        return self.budget.may_expose(now, self.step.share, demand.route)

    def record_granted(
        self, waiting: WaitingRequest, exposed: bool, now: float
    ) -> None:
        """Record the grant of a request of the service."""
        request = waiting.demand.request
        is_repeated = request in self.granted
        self.granted.add(request)
        self.budget.record_granted(exposed, now, waiting.demand.route, is_repeated)


class RecentGrants:
    """Grants of the last seconds by service and version.

    Targets may be there before their order is read, and get calls like all others.

    Attributes
    ----------
    rows : deque of (float, ServiceName, Release)
    """

    def __init__(self) -> None:
        self.rows: deque[tuple[float, ServiceName, Release]] = deque()

    def record(
        self, view: PoolView, placements: Iterable[Placement], now: float
    ) -> None:
        """Record the placements of one run."""
        for row in placements:
            service = view.waiting[row.request].demand.service
            self.rows.append((now, service, view.targets[row.target].release))
        while self.rows and self.rows[0][0] < now - RECENT_S:
            self.rows.popleft()

    def charge(self, trial: Trial) -> None:
        """Count the grants since an order that was not known then."""
        for granted_at, service, release in self.rows:
            if service == trial.order.service and granted_at >= trial.ordered_at:
                exposed = release == trial.order.release
                trial.budget.record_granted(exposed, granted_at)


class Trials:
    """Rollouts of the services of one pool, for one term of its allocator.

    Attributes
    ----------
    limits : RolloutLimits or None
        Bounds of rollouts; None where versions are not tried.
    is_fresh : callable
        Returns whether the documents are young enough to grant anything.
    rows : dict
        The trials by service.
    recent : RecentGrants
        Grants of the last seconds, of which some came after an order that was not
        known yet.
    """

    def __init__(self) -> None:
        self.limits: RolloutLimits | None = None
        self.is_fresh: Callable[[], bool] = lambda: True
        self.rows: dict[ServiceName, Trial] = {}
        self.recent = RecentGrants()

    def set_orders(self, orders: Iterable[OrderInForce], now: float) -> None:
        """Set the orders in force for the services of the pool."""
        before, self.rows = self.rows, {}
        for row in orders:
            known = before.get(row.order.service)
            if known is None or known.order != row.order:
                budget = ExposureBudget(self.limits.exposure_share)
                known = Trial(row.order, row.ordered_at, now, budget)
                self.recent.charge(known)
            known.ordered_at = max(known.ordered_at, row.ordered_at)
            self.rows[row.order.service] = known

    def take_report(
        self,
        source: Source,
        counts: Iterable[VersionCounts],
        ages: Iterable[OrderAge],
        condemned: Iterable[CondemnedVersion],
        proved: Iterable[ProvedVersion],
        sent_at: float,
    ) -> None:
        """Take in what a host reports; what belongs to another order is ignored."""
        for row in self.of_order(counts):
            times = tuple((item.bucket, item.count) for item in row.times)
            answers = AnswerCounts(row.sent, row.good, row.failed, times)
            trial = self.rows[row.service]
            trial.evidence.record(source, row.release, row.route, answers)
        for row in self.of_order(ages):
            trial = self.rows[row.service]
            trial.ordered_at = max(trial.ordered_at, sent_at - row.age_s)
        for row in self.of_order(condemned):
            # What the store holds is final; a host may not know of it yet.
            if not self.rows[row.service].is_stored:
                self.rows[row.service].condemn()
        for row in self.of_order(proved):
            self.record_outcome(self.rows[row.service], RolloutState.COMPLETED)

    def of_order(self, rows: Iterable) -> list:
        """Return those of ``rows`` that belong to an order in force."""
        return [
            row
            for row in rows
            if row.service in self.rows
            and self.rows[row.service].order.offset == row.offset
        ]

    def take_status(self, known: StatusKnown) -> None:
        """Take in what the store holds of an order."""
        trial = self.rows.get(known.order.service)
        if trial is None or trial.order != known.order:
            return
        if known.state is not RolloutState.RUNNING:
            self.record_outcome(trial, known.state)
        elif known.is_first:
            trial.budget.slack = self.limits.exposure_slack

    def record_outcome(self, trial: Trial, state: RolloutState) -> None:
        """Record the outcome that the store holds, which is final."""
        trial.is_stored = True
        if trial.progress is None:
            trial.progress = RolloutProgress(trial.order, self.limits, trial.ordered_at)
        trial.is_condemned = state is RolloutState.ROLLED_BACK
        trial.progress.record_outcome(state)

    def run_steps(self, now: float) -> list[Trial]:
        """Lead all trials on; return those whose phase, share or outcome is new."""
        changed = []
        for trial in self.rows.values():
            trial.start(self.limits, now)
            if trial.progress is None:
                continue
            trial.step = trial.progress.step(trial.evidence, trial.budget, now)
            trial.is_condemned |= trial.step.phase is Phase.ROLLED_BACK
            if trial.has_news():
                trial.told = trial.step
                changed.append(trial)
        return changed

    def condemned(self) -> tuple[CondemnedVersion, ...]:
        """Return the versions that get nothing more."""
        return tuple(
            CondemnedVersion(service, row.order.release, row.order.offset)
            for service, row in self.rows.items()
            if row.is_condemned
        )

    def proved(self) -> tuple[ProvedVersion, ...]:
        """Return the versions whose rollout the store holds as completed."""
        return tuple(
            ProvedVersion(service, row.order.release, row.order.offset)
            for service, row in self.rows.items()
            if row.is_stored and not row.is_condemned
        )

    def allocate(self, view: PoolView, now: float) -> Allocation:
        """Choose requests for versions on trial, and allocate the rest of the pool."""
        if not self.rows:
            allocation = allocate(view, now)
            if self.limits is not None:
                self.recent.record(view, allocation.placements, now)
            return allocation
        is_fresh = self.is_fresh()
        placements: list[Placement] = []
        cutover_excluded: set[str] = set()
        for trial in self.rows.values():
            capacity = trial_capacity(view, trial.order)
            placements += self.place(trial, capacity, view, is_fresh, now)
            if is_cutover(trial, capacity, is_fresh, now):
                cutover_excluded |= old_targets(view, trial.order)
        placed = {row.request for row in placements}
        waiting = {
            request: row
            for request, row in view.waiting.items()
            if request not in placed
        }
        rest = replace(
            view, waiting=waiting, cutover_excluded=frozenset(cutover_excluded)
        )
        allocation = allocate(rest, now)
        others = []
        for row in allocation.placements:
            trial = self.rows.get(view.waiting[row.request].demand.service)
            if trial is None:
                others.append(row)
            else:
                trial.record_granted(view.waiting[row.request], False, now)
        self.recent.record(view, others, now)
        allocation.placements[:0] = placements
        return allocation

    def place(
        self,
        trial: Trial,
        capacity: ServiceCapacity,
        view: PoolView,
        is_fresh: bool,
        now: float,
    ) -> list[Placement]:
        """Return placements on the targets of a version on trial."""
        placements = []
        if not capacity.targets:
            return placements
        rows = [
            row
            for row in view.waiting.values()
            if row.demand.service == trial.order.service
        ]
        for row in sorted(rows, key=lambda row: row.first_arrived):
            if not capacity.has_free():
                break
            if not trial.may_expose(row, is_fresh, now) or not within_limits(
                view, row, now
            ):
                continue
            placement = choose(capacity, row, now)
            if placement is None:
                continue
            view.quotas.take(row.demand.workspace, row.demand.charge, now)
            trial.record_granted(row, True, now)
            placements.append(placement)
        return placements


def trial_capacity(view: PoolView, order: RolloutOrder) -> ServiceCapacity:
    """Return the capacity of the targets of the version on trial."""
    targets = {
        name: target
        for name, target in view.trial_targets.items()
        if target.release == order.release and order.service in target.services
    }
    pool = PoolView(targets=targets, state=view.state)
    return PoolCapacity(pool).of(order.service)


def old_targets(view: PoolView, order: RolloutOrder) -> set[str]:
    """Return the targets of the service that are not of the version on trial."""
    return {
        name
        for name, target in view.targets.items()
        if order.service in target.services and target.release != order.release
    }


def is_cutover(
    trial: Trial, capacity: ServiceCapacity, is_fresh: bool, now: float
) -> bool:
    """Return whether new calls wait for the new version alone."""
    return (
        trial.step.phase is Phase.CUTOVER
        and trial.step.new_only
        and is_fresh
        and bool(capacity.targets)
        and trial.budget.may_expose(now)
    )


def within_limits(view: PoolView, row: WaitingRequest, now: float) -> bool:
    """Return whether the workspace of a request may use a target now."""
    demand = row.demand
    workspace = view.workspaces.get(demand.workspace)
    if workspace is not None and 0 < workspace.quota <= workspace.running:
        return False
    return view.quotas.wait_s(demand.workspace, demand.charge, now, 0) <= 0


def choose(
    capacity: ServiceCapacity, row: WaitingRequest, now: float
) -> Placement | None:
    """Return the placement of a request on one of some targets, if one fits."""
    demand = row.demand
    first_s = row.ttft_deadline - now
    target = capacity.choose(
        demand,
        row.deadline - now,
        row.excluded_targets(now),
        first_s if first_s > 0 else math.inf,
    )
    if target is None:
        return None
    tokens = demand.prompt_tokens + demand.predicted_tokens
    target.take(tokens, False, demand.prompt_tokens)
    return Placement(demand.request, target.view.name, tokens)
