"""Allocator role for one pool: soft state that is rebuilt from reports.

Pure: the input is reports and times, the output is offers. Any host can take over
the role at any time, since the hosts' next reports restore its whole state.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from operator import attrgetter

from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.allocation import MAX_CONTENTION_S
from godwitladder.decisions.allocator_state import AllocatorState
from godwitladder.decisions.health.brittleness import BrittleTargets
from godwitladder.decisions.health.departures import Departures
from godwitladder.decisions.health.throttling import TargetThrottles
from godwitladder.decisions.limits.quotas import TokenQuotas
from godwitladder.decisions.limits.rate_limits import RateLimits, StatedLimit
from godwitladder.decisions.limits.spending import Issuer
from godwitladder.decisions.placing.load_reports import LoadReports
from godwitladder.decisions.placing.speeds import TargetSpeeds
from godwitladder.decisions.placing.standing import standing_grants
from godwitladder.decisions.placing.stated_load import StatedSlowdowns
from godwitladder.decisions.policy import ROUTED, STRICT
from godwitladder.decisions.prompts.affinity import PrefixHints
from godwitladder.decisions.prompts.forecast import PrefillForecast
from godwitladder.decisions.types import (
    Allocation,
    Grant,
    PoolName,
    PoolView,
    Shed,
    TargetView,
    WaitingRequest,
)
from godwitladder.decisions.waiting.admission import AdmissionShare
from godwitladder.ids import (
    HostId,
    Incarnation,
    RequestId,
    TargetName,
)
from godwitladder.rollouts.trials import Trials
from godwitladder.scheduler.accounts import (
    NO_USAGE,
    HostAccount,
    SentAllowances,
    SentGrant,
    Usage,
    sum_usage,
)
from godwitladder.scheduler.delays import ReportDelays
from godwitladder.scheduler.exchange import (
    NO_RANK,
    NO_TERM,
    Allowance,
    FloorReport,
    GrantOffer,
    PoolReport,
)
from godwitladder.scheduler.learning import (
    observe_completion,
    observe_slowdowns,
    observe_throughput,
    present_prefill_cost,
)
from godwitladder.scheduler.pools import Pool, target_generations
from godwitladder.scheduler.quotas import token_rates
from godwitladder.scheduler.views import make_waiting, pool_view, target_views

OFFER_LIFETIME_S = 2.5
"""Time after a report for which the offer that answers it is valid. An allowance
survives one lost renewal, and expires before a host that has lost its allocator
starts to use its fixed share."""

RENEWAL_INTERVAL_S = 1.0
"""Maximum time between two offers to a host that reports. The cost of idle hosts to
their allocator grows with their number."""

ANSWER_INTERVAL_S = 0.2
"""Maximum time between two offers to a host with waiting requests. An offer is sent
even if nothing was decided, so that the host knows that its allocator is reachable."""

DEMAND_TIMEOUT_S = 3.0
"""Demand of a host that has not reported for this time is no longer answered."""

HOST_TIMEOUT_S = 5.0
"""Use of a host that stopped reporting counts for this time, since its requests may
still run. After that the targets' own load reports have had time to show them."""

WARM_UP_S = 0.5
"""Time for which a new allocator waits for reports of the hosts that it expects.
Hosts report as soon as they learn of the new allocator, and heartbeats reach all of
them within two periods. Nothing is granted in the meantime."""

MAX_PENDING_PREFILL_S = 0.06
"""Limit on the prefill backlog of a target, in seconds, where a host asks for each
dispatch. A target above the limit gets no further prompt. Targets admit requests in
order of arrival and process prompts in chunks, between the output of all requests
that they run. A request that is sent early therefore waits where it can't be
reordered, and slows down all others on the target."""

FLOOR_TIMEOUT_S = 3.0
"""Time after which a floor that was not repeated is no longer valid."""


@dataclass
class Floor:
    """The last floor report of another allocator."""

    floor: int
    shed_rank: int
    received_at: float


@dataclass
class PendingOffer:
    """Content of the next offer to one host, except for its allowances."""

    grants: list[Grant] = field(default_factory=list)
    sheds: list[Shed] = field(default_factory=list)
    spill: list[RequestId] = field(default_factory=list)


class PoolRole:
    """State of one host as allocator of one pool, for one term.

    Parameters
    ----------
    pool : Pool
        The pool whose capacity is allocated.
    host : HostId
        The host that has the role.
    term : int
        Number of the term, higher than that of every earlier term of this host.
    now : float
        Time at which the term begins.
    has_standing_grants : bool
        Whether hosts get standing grants, which are allowances in advance, while no
        request waits. If not, a host has to ask for each dispatch.
    """

    def __init__(
        self,
        pool: Pool,
        host: HostId,
        term: int,
        now: float,
        has_standing_grants: bool = True,
    ) -> None:
        self.has_standing_grants = has_standing_grants
        self.max_pending_prefill_s = (
            math.inf if has_standing_grants else MAX_PENDING_PREFILL_S
        )
        self.policy = STRICT if has_standing_grants else ROUTED
        self.pool = pool
        self.host = host
        self.term = term
        self.started_at = now
        self.config = ConfigState()
        self.leaving: frozenset[str] = frozenset()
        self.accounts: dict[tuple[HostId, Incarnation], HostAccount] = {}
        self.current_accounts: list[HostAccount] = []
        self.current_at: float | None = None
        self.first_offer_number = 1
        self.floors: dict[PoolName, Floor] = {}
        self.speeds = TargetSpeeds()
        self.throttles = TargetThrottles()
        self.hints = PrefixHints()
        self.forecast = PrefillForecast()
        self.state = AllocatorState()
        self.quotas = TokenQuotas(issuers=frozenset({Issuer(host, term)}))
        self.rate_limits = RateLimits()
        self.departures = Departures()
        self.brittle = BrittleTargets()
        self.answered_at: dict[TargetName, float] = {}
        self.waiting: dict[RequestId, WaitingRequest] = {}
        self.loads = LoadReports()
        self.slowdowns = StatedSlowdowns()
        self.delays = ReportDelays()
        self.trials = Trials()
        self.shed_rank = NO_RANK
        self.shed_at = now

    def configure(
        self, pool: Pool, config: ConfigState, leaving: frozenset[str]
    ) -> None:
        """Update the pool, the configuration and the addresses that are leaving."""
        for name in self.pool.targets - pool.targets:
            self.answered_at.pop(name, None)
            for learned in (
                self.speeds,
                self.throttles,
                self.brittle,
                self.loads,
                self.slowdowns,
                self.hints,
                self.forecast,
            ):
                learned.forget(name)
        for name in pool.targets - self.pool.targets:
            self.brittle.adopt(name)
        self.pool, self.config, self.leaving = pool, config, leaving
        self.quotas.rates = token_rates(config)
        for name in pool.targets:
            target = config.targets[name]
            self.speeds.set_configured(name, target.prefill_tps, target.decode_tps)

    def take_report(self, report: PoolReport, now: float) -> bool:
        """Process a host's report; return whether the role should run at once."""
        key = report.host, report.incarnation
        self.current_at = None
        delay_s = self.delays.record_report(report, now)
        account = self.accounts.get(key)
        if account is None:
            account = HostAccount(*key, next_number=self.first_offer_number)
            self.accounts[key] = account
        acked_offer = report.acked_offer if report.term == self.term else 0
        if not account.take(report, acked_offer, now):
            return False
        self.update_waiting(account, report, now - delay_s)
        if report.rate_limits or report.departures:
            generations = target_generations(self.config.targets)
            self.rate_limits.observe_all(report.rate_limits, generations, now - delay_s)
            self.departures.observe_all(report.departures, generations, now)
        for name in self.pool.targets.intersection(report.brittle_refusals):
            running = self.current_usage().get(name, NO_USAGE).running
            self.brittle.record_refusal(name, running, now)
        # What a host lists is without the grants of the term that it knows.
        if report.term in (NO_TERM, self.term):
            self.quotas.record_coverage(report.host, report.covered_s)
        if report.lists_spending or report.spent:
            sent_at = now - delay_s
            self.quotas.take_spending(
                key, report.spent, sent_at, report.sent_s, report.term
            )
        for row in report.completions:
            if row.target in self.pool.targets:
                self.answered_at[row.target] = now
            observe_completion(self, row)
        for sample in report.throughput_samples:
            observe_throughput(self, sample, now)
        if report.slowdowns:
            observe_slowdowns(self, report.slowdowns, now - delay_s, now)
        wanted = any(row.demands or row.more_waiting for row in self.accounts.values())
        return wanted or account.offered_at == float("-inf")

    def update_waiting(
        self, account: HostAccount, report: PoolReport, sent_at: float
    ) -> None:
        """Update waiting requests as of ``sent_at``, when their report was sent.

        If times counted from the receipt of the report, the remaining time of
        each caller would grow by the delay, and slots would be granted to
        requests whose callers have left.
        """
        for demand in report.demands:
            if account.demands.get(demand.request) is demand:
                before = self.waiting.get(demand.request)
                row = make_waiting(self, account.host, demand, sent_at, before)
                self.waiting[demand.request] = row

    def take_floor(self, report: FloorReport, now: float) -> None:
        """Store the floor report of another allocator."""
        self.floors[report.pool] = Floor(report.floor, report.shed_rank, now)

    def take_load(self, target: TargetName, requests: int) -> None:
        """Store a target's own count of its requests, which lags behind."""
        self.loads.observe(target, requests)

    def is_warmed_up(self, expected: Collection[HostId], now: float) -> bool:
        """Return whether enough hosts have reported to allocate anything.

        An allocator that granted on its first report would grant slots that are
        in use by hosts which have not reported yet. Targets would then run up to
        twice their slots for a while. Hosts that stay silent for longer than the
        warm-up are unlikely to exist.
        """
        reporting = set(self.quotas.coverage)
        return reporting >= set(expected) or now - self.started_at >= WARM_UP_S

    def begin_again(self, now: float) -> None:
        """Warm up again after an absence in which hosts may have gone elsewhere.

        They have spent quotas by the grants of another allocator or by their own
        shares, which the first of them to report doesn't know of the others.
        """
        self.started_at = now
        self.quotas.begin_again()

    def run(self, expected: Collection[HostId], now: float) -> list[GrantOffer]:
        """Allocate the pool, and return the offers that are due.

        Parameters
        ----------
        expected : collection of HostId
            The live hosts of the zone.
        now : float
            The current time.

        Returns
        -------
        list of GrantOffer
            At most one offer for each host; empty during the warm-up.
        """
        self.drop_expired(now)
        self.quotas.apply_rates(now)
        self.quotas.ledger.drop_old(now)
        if not self.is_warmed_up(expected, now):
            return []
        if self.is_quiet(now):
            # `allocate` updates the admission shares, and does not run here. The
            # shares of an overload that is over would otherwise stay in force.
            self.state.admission.update(now, 0.0)
            return []
        self.quotas.expected_hosts = len(expected)
        view = pool_view(self, now)
        allocation = self.trials.allocate(view, now)
        pending = self.group_by_host(allocation, view, now)
        for host, offer in pending.items():
            self.record_grants(self.account(host, now), offer)
        contended = any(row.demands or row.more_waiting for row in self.current(now))
        return self.make_offers(pending, contended, expected, now)

    def is_quiet(self, now: float) -> bool:
        """Return whether no request waits and no offer is due."""
        return not any(
            row.demands or row.more_waiting or self.is_due(row, False, now)
            for row in self.current(now)
        )

    def drop_expired(self, now: float) -> None:
        """Drop hosts that stopped reporting, and floors that were not repeated."""
        self.current_at = None
        for key, account in list(self.accounts.items()):
            if now - account.received_at > HOST_TIMEOUT_S:
                # A host that reports again still remembers the number of its last
                # offer, and would discard offers numbered from one as outdated.
                self.first_offer_number = max(
                    self.first_offer_number, account.next_number
                )
                del self.accounts[key]
                self.delays.forget(*key)
        for name, floor in list(self.floors.items()):
            if now - floor.received_at > FLOOR_TIMEOUT_S:
                del self.floors[name]

    def current(self, now: float) -> list[HostAccount]:
        """Return the account of the newest process of each host that still reports."""
        if self.current_at != now:
            rows = sorted(self.accounts.values(), key=attrgetter("incarnation"))
            newest = {
                row.host: row
                for row in rows
                if now - row.received_at < DEMAND_TIMEOUT_S
            }
            self.current_accounts, self.current_at = list(newest.values()), now
        return self.current_accounts

    def account(self, host: HostId, now: float) -> HostAccount:
        """Return the account of a host that still reports."""
        return next(row for row in self.current(now) if row.host == host)

    def max_usage(self) -> dict[TargetName, Usage]:
        """Return the maximum usage of all hosts together, by target."""
        return sum_usage(row.max_usage() for row in self.accounts.values())

    def current_usage(self) -> dict[TargetName, Usage]:
        """Return the running and granted requests of all hosts together, by target."""
        return sum_usage(row.current_usage() for row in self.accounts.values())

    def group_by_host(
        self, allocation: Allocation, view: PoolView, now: float
    ) -> dict[HostId, PendingOffer]:
        """Return the decisions of ``allocation`` by host."""
        pending: dict[HostId, PendingOffer] = {}
        for row in allocation.placements:
            waiting = view.waiting[row.request]
            grant = Grant(
                grant=row.request,
                host=waiting.host,
                target=row.target,
                request=row.request,
                tier_rank=waiting.demand.tier_rank,
                reserved_tokens=row.reserved_tokens,
                valid_for_s=OFFER_LIFETIME_S,
            )
            self.rate_limits.take(row.target)
            self.hints.record_dispatch(row.target, waiting.demand.prefix, now)
            self.record_prompt(row.target, waiting.demand.prompt_tokens, now)
            pending.setdefault(waiting.host, PendingOffer()).grants.append(grant)
        for row in allocation.sheds:
            waiting = view.waiting[row.request]
            shed = Shed(
                waiting.host,
                row.request,
                row.reason,
                row.retry_after_s,
                exact=not self.policy.is_strict,
            )
            pending.setdefault(waiting.host, PendingOffer()).sheds.append(shed)
        if allocation.shed_rank is not None:
            self.record_shed(allocation.shed_rank, now)
        for request in allocation.spill:
            host = view.waiting[request].host
            pending.setdefault(host, PendingOffer()).spill.append(request)
        return pending

    def record_prompt(self, target: TargetName, tokens: int, now: float) -> None:
        """Record a granted prompt in the forecast of its target's prefill."""
        _, read_s = present_prefill_cost(self, target, now)
        self.forecast.record_grant(target, tokens, tokens * read_s, now)

    def record_shed(self, rank: int, now: float) -> None:
        """Record the rank of a shed request; keep the most important recent one."""
        old = now - self.shed_at > FLOOR_TIMEOUT_S
        if self.shed_rank == NO_RANK or rank <= self.shed_rank or old:
            self.shed_rank, self.shed_at = rank, now

    def record_grants(self, account: HostAccount, offer: PendingOffer) -> None:
        """Count the grants of an offer against a host, before allowances are computed.

        Requests that were granted or shed no longer count as demand.
        """
        expires_s = account.sent_s + OFFER_LIFETIME_S
        for grant in offer.grants:
            demand = account.demands.pop(grant.request)
            account.record_grant(
                SentGrant(
                    account.next_number,
                    expires_s,
                    grant,
                    demand.workspace,
                    demand.prompt_tokens,
                )
            )
        for shed in offer.sheds:
            account.demands.pop(shed.request, None)

    def make_offers(
        self,
        pending: dict[HostId, PendingOffer],
        contended: bool,
        expected: Collection[HostId],
        now: float,
    ) -> list[GrantOffer]:
        """Return an offer for each host with a decision or an offer that is due."""
        offers = []
        due = [row for row in self.current(now) if self.is_due(row, contended, now)]
        zone_hosts = [row.host for row in self.current(now) if row.host in expected]
        may_allow = due and not contended and self.has_standing_grants
        new_targets = self.standing_targets(zone_hosts, now) if may_allow else {}
        total = self.max_usage() if new_targets else {}
        for account in self.current(now):
            allowances = account.allowed()
            if account in due:
                targets = new_targets.get(account.host, [])
                allowances = self.make_allowances(
                    account, targets, total, len(zone_hosts)
                )
            elif account.host not in pending:
                continue
            offer = pending.get(account.host, PendingOffer())
            offers.append(self.make_offer(account, offer, allowances, now))
        return offers

    def is_due(self, account: HostAccount, contended: bool, now: float) -> bool:
        """Return whether a host is to be answered, or its allowances replaced."""
        if (
            not self.has_standing_grants
            and account.answered_report == account.last_report
        ):
            return False
        withdrawn = contended and account.holds_allowances()
        longest_s = ANSWER_INTERVAL_S if account.demands else RENEWAL_INTERVAL_S
        return withdrawn or now - account.offered_at >= longest_s

    def standing_targets(
        self, zone_hosts: list[HostId], now: float
    ) -> dict[HostId, list[TargetView]]:
        """Return the targets on which each host may run one more request."""
        views = target_views(self, now)
        usage = self.current_usage()
        for name, target in views.items():
            target.used = usage.get(name, NO_USAGE).running + self.loads.external(name)
        targets: dict[HostId, list[TargetView]] = {}
        # A standing grant allows any number of requests, one after the other.
        unlimited = {
            name: view
            for name, view in views.items()
            if name not in self.rate_limits.limited
        }
        for grant in standing_grants(PoolView(targets=unlimited), zone_hosts):
            targets.setdefault(grant.host, []).append(views[grant.target])
        return targets

    def make_allowances(
        self,
        account: HostAccount,
        targets: list[TargetView],
        total: dict[TargetName, Usage],
        hosts: int,
    ) -> dict[TargetName, Allowance]:
        """Return allowances for one request more than what runs, where that fits.

        An allowance has to fit beside the maximum usage of all other hosts, and
        not only beside what they run: an allowance that was withdrawn counts
        until its host has acknowledged that.

        Parameters
        ----------
        account : HostAccount
            The host.
        targets : list of TargetView
            Targets on which the host may run one more request.
        total : dict
            Maximum usage of all hosts by target. The new allowances are added.
        hosts : int
            Number of hosts among which free memory is divided.
        """
        rows: dict[TargetName, Allowance] = {}
        if not targets:
            return rows
        max_usage, usage = account.max_usage(), account.current_usage()
        for target in targets:
            name = target.name
            own, used = max_usage.get(name, NO_USAGE), usage.get(name, NO_USAGE)
            total_usage = total.get(name, NO_USAGE)
            others = total_usage.running - own.running + self.loads.external(name)
            if others + used.running >= target.limit:
                continue
            free = target.memory_tokens - total_usage.tokens + own.tokens - used.tokens
            tokens = used.tokens + max(0, free // (2 * hosts))
            rows[name] = Allowance(name, used.running + 1, tokens)
            total[name] = total_usage + Usage(
                max(0, used.running + 1 - own.running), max(0, tokens - own.tokens)
            )
        return rows

    def make_offer(
        self,
        account: HostAccount,
        offer: PendingOffer,
        allowances: dict[TargetName, Allowance],
        now: float,
    ) -> GrantOffer:
        """Return an offer, and count its allowances against the host."""
        before = set(account.allowed())
        number, account.next_number = account.next_number, account.next_number + 1
        account.offered_at = now
        account.answered_report = account.last_report
        expires_s = account.sent_s + OFFER_LIFETIME_S
        account.record_allowances(SentAllowances(number, expires_s, allowances))
        return GrantOffer(
            host=account.host,
            incarnation=account.incarnation,
            allocator=self.host,
            pool=self.pool.name,
            term=self.term,
            number=number,
            acked_report=account.last_report,
            expires_s=expires_s,
            report_now=not before <= set(allowances),
            allowances=tuple(allowances.values()),
            grants=tuple(offer.grants),
            sheds=tuple(offer.sheds),
            spill=tuple(offer.spill),
            via=account.via,
            shares=self.admission_shares(),
            rate_limits=self.new_rate_limits(account, now),
        )

    def new_rate_limits(
        self, account: HostAccount, now: float
    ) -> tuple[StatedLimit, ...]:
        """Return the rate limits if they have changed since the host was told them."""
        if account.limits_version == self.rate_limits.version:
            return ()
        account.limits_version = self.rate_limits.version
        return self.rate_limits.statements(self.pool.targets, now)

    def admission_shares(self) -> tuple[AdmissionShare, ...]:
        """Return the workspaces for which hosts are to report a share of the calls."""
        state = self.state
        if self.policy.is_strict or not state.admission.shares:
            return ()
        backlog_s = min(state.contended_s(), MAX_CONTENTION_S)
        return tuple(
            AdmissionShare(service, workspace, share, backlog_s)
            for (service, workspace), share in state.admission.shares.items()
        )

    def floor_report(self, to: PoolName, now: float) -> FloorReport:
        """Return the floor report for the allocator of pool ``to``."""
        ranks = [
            demand.tier_rank
            for row in self.current(now)
            for demand in row.demands.values()
        ]
        shed = self.shed_rank if now - self.shed_at <= FLOOR_TIMEOUT_S else NO_RANK
        return FloorReport(self.pool.name, to, max(ranks, default=NO_RANK), shed)
