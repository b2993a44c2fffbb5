"""Connects the trials of an allocator to the store, the log and the hosts."""

from collections.abc import Callable, Iterable
from dataclasses import replace

from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.rollouts.progress import RolloutLimits
from godwitladder.discovery.rollouts import RolloutOrder, RolloutState
from godwitladder.ids import Release, ServiceName
from godwitladder.logs import component_logger
from godwitladder.rollouts.messages import ProvedVersion
from godwitladder.rollouts.settling import settle
from godwitladder.rollouts.status import OUTCOMES, StatusKnown, WantedStatus
from godwitladder.rollouts.trials import Trial, Trials
from godwitladder.scheduler.exchange import GrantOffer, PoolReport

log = component_logger("rollouts")

STEP_INTERVAL_S = 0.05
"""Interval of the steps of a trial. It is a quarter of the time that is left to decide
on ``completed`` and write it before the deadline."""
NEW_ORDER_S = 3.0
"""Age up to which an order is new to the first allocator that sees it. Later, the only
version left may be one whose trial is under way, after the old targets were lost."""
STATUS_INTERVAL_S = 1.5
"""Interval at which the status of a rollout is asked for again, in seconds. Another
allocator may have written an outcome, of which this one learns only from the store."""
MAX_LOGGED_ROWS = 24
"""Versions and routes in one log line."""


class RolloutCoordinator:
    """Rollouts of all pools of one allocator's host.

    Only the allocator's actor uses it, except for `request`, which never blocks.

    Parameters
    ----------
    limits : RolloutLimits or None
        Bounds of rollouts; None where versions are not tried.
    is_fresh : callable
        Returns whether the documents are young enough to grant anything.

    Attributes
    ----------
    request : callable
        Called with each `WantedStatus`.
    wake : callable
        Called with the seconds after which the trials are to be led on.
    outcomes : dict
        Order and outcome that the store holds, by service.
    noted : set of int
        Offsets of the orders that can't be tried, which were logged.
    """

    def __init__(
        self,
        limits: RolloutLimits | None = None,
        is_fresh: Callable[[], bool] = lambda: True,
    ) -> None:
        self.limits = limits
        self.is_fresh = is_fresh
        self.request: Callable[[WantedStatus], None] = lambda wanted: None
        self.wake: Callable[[float], None] = lambda seconds: None
        self.outcomes: dict[ServiceName, tuple[RolloutOrder, RolloutState]] = {}
        self.noted: set[int] = set()

    def is_completed(self, order: RolloutOrder) -> bool:
        """Return whether the store holds a rollout as completed."""
        known = self.outcomes.get(order.service)
        return known == (order, RolloutState.COMPLETED)

    def settle(self, config: ConfigState) -> ConfigState:
        """Return the configuration after the rollouts that are completed."""
        proved = [
            ProvedVersion(service, Release(row.order.release), row.order.offset)
            for service, row in config.rollouts.items()
            if self.is_completed(row.order)
        ]
        return settle(config, proved)

    def configure(
        self,
        trials: Trials,
        services: Iterable[ServiceName],
        config: ConfigState,
        now: float,
    ) -> None:
        """Set what the trials of one pool depend on."""
        if self.limits is None:
            return
        trials.limits, trials.is_fresh = self.limits, self.is_fresh
        orders = config.rollouts
        names = sorted(services & orders.keys())
        known = set(trials.rows.values())
        trials.set_orders([orders[name] for name in names], now)
        for trial in trials.rows.values():
            if trial not in known and now - trial.ordered_at < NEW_ORDER_S:
                trial.is_already_deployed = is_already_deployed(config, trial.order)
        for service, trial in trials.rows.items():
            order, state = self.outcomes.get(service, (None, RolloutState.RUNNING))
            if order == trial.order and not trial.is_stored:
                trials.record_outcome(trial, state)

    def take_report(self, trials: Trials, report: PoolReport, sent_at: float) -> bool:
        """Take in a host's report; return whether it tells of a new outcome.

        Parameters
        ----------
        sent_at : float
            Earliest time at which it may have been sent.
        """
        if not trials.rows:
            return False
        before = trials.proved()
        trials.take_report(
            (report.host, report.incarnation),
            report.version_counts,
            report.order_ages,
            report.condemned,
            report.proved,
            sent_at,
        )
        for row in set(trials.proved()) - set(before):
            order = trials.rows[row.service].order
            self.outcomes[row.service] = order, RolloutState.COMPLETED
        return trials.proved() != before

    def take_status(self, trials: Trials, known: StatusKnown, term: int) -> bool:
        """Take in what the store holds; return whether it is a new outcome.

        The slack of an order belongs to the term that appended its first status, and
        to no later one.
        """
        known = replace(known, is_first=known.is_first and known.term == term)
        service = known.order.service
        trial = trials.rows.get(service)
        if trial is None or trial.order != known.order:
            return False
        trials.take_status(known)
        outcome = known.order, known.state
        if known.state not in OUTCOMES or self.outcomes.get(service) == outcome:
            return False
        self.outcomes[service] = outcome
        extra = order_fields(known.order) | {"state": known.state.value}
        log.info("A rollout is over", extra=extra | evidence_fields(trial))
        return True

    def run_steps(self, trials: Trials, term: int, now: float) -> None:
        """Lead the trials of one pool on, and ask for the statuses that they need."""
        for trial in trials.run_steps(now):
            extra = order_fields(trial.order) | {
                "phase": trial.step.phase.value,
                "share": round(trial.step.share, 3),
                "term": term,
                "age_s": round(now - trial.ordered_at, 2),
                "statistic": round(trial.progress.test.highest(), 2),
                "bound": round(trial.progress.test.bound(), 2),
                "proof_ratio": round(trial.progress.test.proof_ratio(), 2),
            }
            log.info("A rollout has changed", extra=extra | evidence_fields(trial))
        for trial in trials.rows.values():
            if trial.is_stored or trial.progress is None:
                continue
            self.wake(STEP_INTERVAL_S)
            state = trial.step.outcome or RolloutState.RUNNING
            if trial.is_already_deployed:
                self.note_once(trial.order, "A rollout orders the deployed version")
                state = RolloutState.COMPLETED
            deadline = trial.progress.deadline
            self.request_due(
                trial, WantedStatus(trial.order, state, term, deadline), now
            )

    def request_due(self, trial: Trial, wanted: WantedStatus, now: float) -> None:
        """Ask for a status, unless it was asked for just before."""
        if trial.wanted == wanted and now - trial.asked_at < STATUS_INTERVAL_S:
            return
        trial.wanted, trial.asked_at = wanted, now
        self.request(wanted)

    def note_once(self, order: RolloutOrder, text: str) -> None:
        """Log something about an order once."""
        if order.offset not in self.noted:
            self.noted.add(order.offset)
            log.info(text, extra=order_fields(order))

    def note_unknown_services(self, config: ConfigState) -> None:
        """Log each order for a service without targets; nothing can be tried there."""
        known = {name for row in config.targets.values() for name in row.services}
        for service in config.rollouts.keys() - known:
            order = config.rollouts[service].order
            self.note_once(order, "A rollout orders a service without targets")

    def notify(self, trials: Trials, offer: GrantOffer) -> GrantOffer:
        """Return an offer that tells which versions are condemned or proved."""
        if not trials.rows:
            return offer
        return replace(offer, condemned=trials.condemned(), proved=trials.proved())


def is_already_deployed(config: ConfigState, order: RolloutOrder) -> bool:
    """Return whether all targets of a service are of the version that is ordered."""
    targets = [row for row in config.targets.values() if order.service in row.services]
    return bool(targets) and all(row.release == order.release for row in targets)


def order_fields(order: RolloutOrder) -> dict:
    """Return the log fields that identify an order."""
    return {
        "service": order.service,
        "release": order.release,
        "offset": order.offset,
        "duration_s": order.duration_s,
    }


def evidence_fields(trial: Trial) -> dict:
    """Return the log fields with what a trial is decided by."""
    evidence, budget = trial.evidence, trial.budget
    rows = {}
    for release, route in sorted(evidence.totals)[:MAX_LOGGED_ROWS]:
        counts = evidence.totals[release, route]
        rows[f"{release}/{route}"] = [counts.sent, counts.good, counts.failed]
    return {
        "requests": budget.requests,
        "exposed": budget.exposed,
        "slack": budget.slack,
        "answers": rows,
    }
