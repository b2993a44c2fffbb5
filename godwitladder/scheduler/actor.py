"""Actor that owns the tables of a host and runs the systems on them."""

import functools
from collections.abc import Callable

import pykka

from godwitladder.clock import Clock
from godwitladder.ids import HostId
from godwitladder.logs import component_logger
from godwitladder.metrics import Metrics
from godwitladder.outcomes import Reason, RequestState, refuse
from godwitladder.scheduler.exchange import GrantOffer, PoolReport
from godwitladder.scheduler.messages import (
    BrittlenessStated,
    CooldownStated,
    Finished,
    HostsChanged,
    LeavingStated,
    NewConfig,
    NoFreeThread,
    NothingSent,
    Progress,
    RateLimitStated,
    Returned,
    ReturnProof,
    SlowdownStated,
    Stop,
    Submit,
    TargetLost,
    TargetsLeaving,
    Tick,
    Withdrawn,
)
from godwitladder.scheduler.quotas import token_rates
from godwitladder.scheduler.reports import (
    choose_allocators,
    due_reports,
    next_due_s,
    settle_targets,
    take_offer,
)
from godwitladder.scheduler.rows import Tables
from godwitladder.scheduler.statements import (
    forget_ended_processes,
    take_brittleness,
    take_cooldown,
    take_leaving,
    take_rate_limit,
    take_slowdown,
)
from godwitladder.scheduler.systems import (
    add_request,
    avoid_target,
    finish_request,
    grow_request,
    record_first_output,
    refuse_least_important,
    refuse_request,
    return_request,
    run_systems,
)
from godwitladder.scheduler.throughput import record_progress
from godwitladder.scheduler.ticker import Ticker

log = component_logger("scheduler")

MAX_BATCH_DELAY_S = 0.02
STOPPED_RETRY_S = 1.0


class Scheduler(pykka.ThreadingActor):
    """Owns the tables and runs the systems after each batch of messages.

    Parameters
    ----------
    tables : Tables
        Tables of the host; only this actor may access them.
    clock : Clock
        Clock of the host.
    metrics : Metrics
        Counters and gauges to update.
    ticker : Ticker
        Schedules a tick when a report has to wait.
    send : callable
        Called with the host to send to and the report.
    """

    def __init__(
        self,
        tables: Tables,
        clock: Clock,
        metrics: Metrics,
        ticker: Ticker,
        send: Callable[[HostId, PoolReport], None],
    ) -> None:
        super().__init__()
        self.clock = clock
        self.metrics = metrics
        self.tables = tables
        self.ticker = ticker
        self.send = send
        self.last_run_at = float("-inf")

    def on_receive(self, message) -> None:
        """Handle ``message``, and run the systems if the inbox is empty.

        If the systems ran after each message, the inbox would grow during a
        burst faster than it is processed. The maximum delay prevents a steady
        stream of messages from postponing the run indefinitely.
        """
        self.take(message)
        now = self.clock.monotonic()
        if self.actor_inbox.empty() or now - self.last_run_at >= MAX_BATCH_DELAY_S:
            self.run(now)

    def run(self, now: float) -> None:
        """Run the systems, send the reports that are due and update the metrics."""
        self.last_run_at = now
        run_systems(self.tables, now)
        for host, report in due_reports(self.tables, now):
            self.send(host, report)
        wait_s = next_due_s(self.tables, now)
        if wait_s is not None:
            self.ticker.tick_in(wait_s)
        self.count_grants()
        self.metrics.waiting.set({}, len(self.tables.waiting))
        self.metrics.running.set({}, len(self.tables.running))

    def count_grants(self) -> None:
        """Add the outcomes of grants to the metrics and reset their counts."""
        for access in self.tables.pools.values():
            for fate, count in access.fates.items():
                self.metrics.grants.add({"fate": fate.value}, count)
            access.fates.clear()

    @functools.singledispatchmethod
    def take(self, message) -> None:
        """Apply one message to the tables."""
        raise TypeError(f"unknown message {message!r}")

    @take.register
    def _(self, message: Tick) -> None:
        # HostsChanged arrives only on changes. If hosts were recorded only then,
        # hosts lost in a network partition would count as long gone when the last
        # change was a minute ago, and this host would take their share of the
        # quotas as well.
        self.tables.seen_hosts.record_alive(self.tables.hosts, self.clock.monotonic())

    @take.register
    def _(self, message: Submit) -> None:
        row = message.row
        row.predicted_tokens = self.tables.predictor.predict(
            row.workspace, row.service, row.declared_tokens
        )
        row.likely_tokens = self.tables.predictor.predict_median(
            row.workspace, row.service, row.declared_tokens
        )
        add_request(self.tables, row)
        if self.tables.stopping:
            text = "This host is stopping; another one will take the request."
            refuse_request(
                self.tables, row, refuse(Reason.STOPPING, text, STOPPED_RETRY_S)
            )

    @take.register
    def _(self, message: NothingSent) -> None:
        row = self.tables.running[message.request]
        return_request(self.tables, row, self.clock.monotonic(), unreached=True)

    @take.register
    def _(self, message: Returned) -> None:
        row = self.tables.running[message.request]
        return_request(
            self.tables,
            row,
            self.clock.monotonic(),
            may_have_run=message.proof is ReturnProof.IDEMPOTENT,
            avoid=message.avoid,
            unreached=message.unreached,
        )

    @take.register
    def _(self, message: Progress) -> None:
        row = self.tables.running.get(message.request)
        if row:
            record_first_output(self.tables, row)
            record_progress(self.tables, row, message.tokens, self.clock.monotonic())
            grow_request(self.tables, row, message.tokens)

    @take.register
    def _(self, message: Finished) -> None:
        row = self.tables.running[message.request]
        row.produced_tokens = message.output_tokens
        finish_request(self.tables, row, message.state, self.clock.monotonic())

    @take.register
    def _(self, message: TargetLost) -> None:
        target = self.tables.targets.get(message.target)
        if target:
            # It may fail calls faster than others serve them, and look idle for it.
            avoid_target(target, self.clock.monotonic())

    @take.register
    def _(self, message: RateLimitStated) -> None:
        take_rate_limit(self.tables, message, self.clock.monotonic())

    @take.register
    def _(self, message: LeavingStated) -> None:
        take_leaving(self.tables, message, self.clock.monotonic())

    @take.register
    def _(self, message: BrittlenessStated) -> None:
        take_brittleness(self.tables, message, self.clock.monotonic())

    @take.register
    def _(self, message: CooldownStated) -> None:
        take_cooldown(self.tables, message, self.clock.monotonic())

    @take.register
    def _(self, message: SlowdownStated) -> None:
        take_slowdown(self.tables, message)

    @take.register
    def _(self, message: Withdrawn) -> None:
        row = self.tables.waiting.get(message.request)
        if row and row.state is RequestState.WAITING:
            text = "The caller is gone."
            refuse_request(self.tables, row, refuse(Reason.CALLER_GONE, text))

    @take.register
    def _(self, message: NoFreeThread) -> None:
        refuse_least_important(self.tables)

    @take.register
    def _(self, message: NewConfig) -> None:
        if message.config.is_older_than(self.tables.config):
            return
        self.tables.config = message.config
        self.tables.quotas.rates = token_rates(message.config)
        self.tables.rollouts.set_orders(message.config.rollouts)
        settle_targets(self.tables)
        now = self.clock.monotonic()
        forget_ended_processes(self.tables, now)
        choose_allocators(self.tables, now)

    @take.register
    def _(self, message: HostsChanged) -> None:
        self.tables.hosts = message.hosts
        self.tables.allocator_candidates = message.allocator_candidates
        self.tables.seen_hosts.record_alive(message.hosts, self.clock.monotonic())
        self.tables.linked = message.linked
        choose_allocators(self.tables, self.clock.monotonic())

    @take.register
    def _(self, message: TargetsLeaving) -> None:
        self.tables.leaving = message.addresses

    @take.register
    def _(self, message: GrantOffer) -> None:
        take_offer(self.tables, message, self.clock.monotonic())

    @take.register
    def _(self, message: Stop) -> None:
        self.tables.stopping = True
