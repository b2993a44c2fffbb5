"""The role of an allocator for one pool: soft state, rebuilt from reports.

Pure: reports and times go in, offers come out. Any host can take the role
over at any moment, since all of it comes back with the hosts' next reports.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field
from operator import attrgetter

from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.admission import AdmissionShare
from godwitladder.decisions.affinity import PrefixHints
from godwitladder.decisions.allocation import MAX_CONTENTION_S, allocate
from godwitladder.decisions.allocator_state import AllocatorState
from godwitladder.decisions.forecast import PrefillForecast
from godwitladder.decisions.load_reports import LoadReports
from godwitladder.decisions.policy import ROUTED, STRICT
from godwitladder.decisions.quotas import TokenQuotas
from godwitladder.decisions.speeds import TargetSpeeds
from godwitladder.decisions.standing import standing_grants
from godwitladder.decisions.throttling import TargetThrottles
from godwitladder.decisions.types import (
    Allocation,
    Grant,
    PoolName,
    PoolView,
    Shed,
    TargetView,
    WaitingRequest,
)
from godwitladder.ids import (
    HostId,
    Incarnation,
    RequestId,
    TargetName,
)
from godwitladder.scheduler.accounts import (
    NOTHING,
    Counted,
    HostAccount,
    SentAllowances,
    SentGrant,
    add_up,
)
from godwitladder.scheduler.delays import ReportDelays
from godwitladder.scheduler.exchange import (
    NO_RANK,
    Allowance,
    Completion,
    FloorReport,
    GrantOffer,
    PoolReport,
    ThroughputSample,
)
from godwitladder.scheduler.pools import Pool
from godwitladder.scheduler.quotas import token_rates
from godwitladder.scheduler.views import pool_view, take_line, target_views

OFFER_LIFETIME_S = 2.5
"""An allowance outlives a lost renewal, and lapses before a host that lost
its allocator helps itself to its fixed share."""

RENEWAL_INTERVAL_S = 1.0
"""Longest time between two offers to a host that reports: what idle hosts cost
their allocator grows with their number."""

ANSWER_INTERVAL_S = 0.2
"""Longest time between two offers to a host that asks for requests, also if
nothing was decided: it then knows that its allocator can be reached."""

SILENT_S = 3.0
"""Demand of a host that was silent for so long is no longer answered."""

HOST_TIMEOUT_S = 5.0
"""Use of a silent host counts for so long: its requests may still run. After
that the targets' own load reports have had time to show them."""

WARM_UP_S = 0.5
"""A new allocator waits so long for hosts it expects to hear from. They report as
soon as they see the change, and heartbeats bring it to all within two periods;
everything stands still meanwhile."""

MAX_PENDING_PREFILL_S = 0.06
"""Where each dispatch is asked for, a target gets no further prompt while it has
more than this to read of those it was sent. It admits in order of arrival and
reads in chunks between the output of all that it runs: what is sent early
waits where no one can order it, and slows everything beside it."""

FLOOR_S = 3.0
"""A floor that was not repeated for so long says nothing any more."""


@dataclass
class Floor:
    """Another allocator's last word on its tiers."""

    floor: int
    shed_rank: int
    heard: float


@dataclass
class Offering:
    """What is to go to one host in its next offer, beside allowances."""

    grants: list[Grant] = field(default_factory=list)
    sheds: list[Shed] = field(default_factory=list)
    spill: list[RequestId] = field(default_factory=list)


class PoolRole:
    """One host's term as allocator of one pool.

    Parameters
    ----------
    pool : Pool
        What it hands out.
    me : HostId
        The host that has the role.
    term : int
        Higher than that of every earlier term of this host.
    now : float
        When the term began.
    standing : bool
        Whether hosts are allowed some requests unasked while nothing waits.
    """

    def __init__(
        self, pool: Pool, me: HostId, term: int, now: float, standing: bool = True
    ) -> None:
        self.has_standing = standing
        self.unread_s = math.inf if standing else MAX_PENDING_PREFILL_S
        self.policy = STRICT if standing else ROUTED
        self.pool = pool
        self.me = me
        self.term = term
        self.began = now
        self.config = ConfigState()
        self.leaving: frozenset[str] = frozenset()
        self.accounts: dict[tuple[HostId, Incarnation], HostAccount] = {}
        self.listed: list[HostAccount] = []
        self.listed_at: float | None = None
        self.first_number = 1
        self.floors: dict[PoolName, Floor] = {}
        self.speeds = TargetSpeeds()
        self.throttles = TargetThrottles()
        self.hints = PrefixHints()
        self.forecast = PrefillForecast()
        self.state = AllocatorState()
        self.quotas = TokenQuotas()
        self.rows: dict[RequestId, WaitingRequest] = {}
        self.loads = LoadReports()
        self.delays = ReportDelays()
        self.shed_rank = NO_RANK
        self.shed_at = now

    def configure(
        self, pool: Pool, config: ConfigState, leaving: frozenset[str]
    ) -> None:
        """Take in the targets as they stand, and addresses that are leaving."""
        for name in self.pool.targets - pool.targets:
            for learned in (
                self.speeds,
                self.throttles,
                self.loads,
                self.hints,
                self.forecast,
            ):
                learned.forget(name)
        self.pool, self.config, self.leaving = pool, config, leaving
        self.quotas.rates = token_rates(config)
        for name in pool.targets:
            target = config.targets[name]
            self.speeds.set_configured(name, target.prefill_tps, target.decode_tps)

    def take_report(self, report: PoolReport, now: float) -> bool:
        """Take in a host's report; return whether it calls for a run at once."""
        key = report.host, report.incarnation
        self.listed_at = None
        delay_s = self.delays.note(report, now)
        account = self.accounts.get(key)
        if account is None:
            account = HostAccount(*key, next_number=self.first_number)
            self.accounts[key] = account
        seen = report.acked_offer if report.term == self.term else 0
        if not account.take(report, seen, now):
            return False
        self.take_lines(account, report, now - delay_s)
        self.quotas.add_history(report.host, report.spent, report.known_s, now)
        for row in report.completions:
            self.observe_completion(row)
        for stretch in report.throughput_samples:
            self.observe_throughput(stretch, now)
        wanted = any(row.demands or row.more_waiting for row in self.accounts.values())
        return wanted or account.offered == float("-inf")

    def take_lines(
        self, account: HostAccount, report: PoolReport, told_at: float
    ) -> None:
        """Take in requests as they stood when their host told of them.

        Counted from the moment in which a report is taken in, what a caller has
        left would grow by the delay, and places would go to calls that have left.
        """
        for line in report.demands:
            if account.demands.get(line.request) is line:
                before = self.rows.get(line.request)
                row = take_line(self, account.host, line, told_at, before)
                self.rows[line.request] = row

    def observe_throughput(self, row: ThroughputSample, now: float) -> None:
        """Take in how fast a target works while requests run."""
        if not self.speeds.is_calibrated(row.target):
            return
        expected_s = self.speeds.expected_s(
            row.target, row.prompt_tokens, row.output_tokens
        )
        if not row.in_progress or row.taken_s > expected_s:
            self.throttles.observe(row.target, expected_s, row.taken_s, now)

    def observe_completion(self, row: Completion) -> None:
        """Take in the speed at which a request was completed."""
        if row.target not in self.speeds.learned:
            return
        prompt, output = row.prompt_tokens, row.output_tokens
        if prompt and not row.first_token_s:
            output = 0
        self.speeds.observe(row.target, prompt, output, row.first_token_s, row.total_s)

    def take_floor(self, report: FloorReport, now: float) -> None:
        """Take in another allocator's floor."""
        self.floors[report.pool] = Floor(report.floor, report.shed_rank, now)

    def take_load(self, target: TargetName, requests: int) -> None:
        """Take in a target's own, lagging count of its requests."""
        self.loads.observe(target, requests)

    def warm(self, expected: Collection[HostId], now: float) -> bool:
        """Return whether enough is known to hand anything out.

        A new allocator that granted at its first report would hand out slots
        that hosts it has not heard from are using: the targets would run up
        to twice their slots for a while. Hosts that are silent for longer
        than the warm-up are unlikely to be there.
        """
        heard = {account.host for account in self.accounts.values()}
        return heard >= set(expected) or now - self.began >= WARM_UP_S

    def run(self, expected: Collection[HostId], now: float) -> list[GrantOffer]:
        """Decide, and return the offers that are due.

        Parameters
        ----------
        expected : collection of HostId
            The live hosts of the zone.
        """
        self.forget(now)
        self.quotas.apply_rates(now)
        if not self.warm(expected, now):
            return []
        if self.is_quiet(now):
            # With nothing left to decide, a flood's shares would stay as they are.
            self.state.admission.update(now, 0.0)
            return []
        self.quotas.expected_hosts = len(expected)
        view = pool_view(self, now)
        allocation = allocate(view, now)
        offerings = self.collect(allocation, view, now)
        for host, offering in offerings.items():
            self.count_grants(self.account(host, now), offering)
        contended = any(row.demands or row.more_waiting for row in self.current(now))
        return self.make_offers(offerings, contended, expected, now)

    def is_quiet(self, now: float) -> bool:
        """Return whether nothing waits and no host is due for an offer."""
        return not any(
            row.demands or row.more_waiting or self.is_due(row, False, now)
            for row in self.current(now)
        )

    def forget(self, now: float) -> None:
        """Drop hosts that are gone, and floors that nobody repeats."""
        self.listed_at = None
        for key, account in list(self.accounts.items()):
            if now - account.heard > HOST_TIMEOUT_S:
                # A host that comes back still knows the last offer's number,
                # and would take those from one on for late ones.
                self.first_number = max(self.first_number, account.next_number)
                del self.accounts[key]
                self.delays.forget(*key)
        for name, floor in list(self.floors.items()):
            if now - floor.heard > FLOOR_S:
                del self.floors[name]

    def current(self, now: float) -> list[HostAccount]:
        """Return the account of each host that still reports: its newest."""
        if self.listed_at != now:
            rows = sorted(self.accounts.values(), key=attrgetter("incarnation"))
            newest = {row.host: row for row in rows if now - row.heard < SILENT_S}
            self.listed, self.listed_at = list(newest.values()), now
        return self.listed

    def account(self, host: HostId, now: float) -> HostAccount:
        """Return the account of a host that still reports."""
        return next(row for row in self.current(now) if row.host == host)

    def counted(self) -> dict[TargetName, Counted]:
        """Return the most that all hosts may have on each target."""
        return add_up(row.counted() for row in self.accounts.values())

    def running(self) -> dict[TargetName, Counted]:
        """Return what all hosts run on each target or are granted by name."""
        return add_up(row.running() for row in self.accounts.values())

    def collect(
        self, allocation: Allocation, view: PoolView, now: float
    ) -> dict[HostId, Offering]:
        """Return what was decided, by host."""
        offerings: dict[HostId, Offering] = {}
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
            self.hints.record_dispatch(row.target, waiting.demand.prefix, now)
            self.note_reading(row.target, waiting.demand.prompt_tokens, now)
            offerings.setdefault(waiting.host, Offering()).grants.append(grant)
        for row in allocation.sheds:
            waiting = view.waiting[row.request]
            shed = Shed(
                waiting.host,
                row.request,
                row.reason,
                row.retry_after_s,
                exact=not self.policy.is_strict,
            )
            offerings.setdefault(waiting.host, Offering()).sheds.append(shed)
        if allocation.shed_rank is not None:
            self.note_shed(allocation.shed_rank, now)
        for request in allocation.spill:
            host = view.waiting[request].host
            offerings.setdefault(host, Offering()).spill.append(request)
        return offerings

    def note_reading(self, target: TargetName, tokens: int, now: float) -> None:
        """Foretell when a prompt is read that has just been granted."""
        _, read_s = self.speeds.prefill_cost(target)
        self.forecast.record_grant(target, tokens, tokens * read_s, now)

    def note_shed(self, rank: int, now: float) -> None:
        """Remember the most important tier shed within the last seconds."""
        old = now - self.shed_at > FLOOR_S
        if self.shed_rank == NO_RANK or rank <= self.shed_rank or old:
            self.shed_rank, self.shed_at = rank, now

    def count_grants(self, account: HostAccount, offering: Offering) -> None:
        """Count grants against a host before any allowance is worked out."""
        expires_s = account.sent_s + OFFER_LIFETIME_S
        for grant in offering.grants:
            line = account.demands.pop(grant.request)
            account.note_grant(
                SentGrant(
                    account.next_number,
                    expires_s,
                    grant,
                    line.workspace,
                    line.prompt_tokens,
                )
            )
        for shed in offering.sheds:
            account.demands.pop(shed.request, None)

    def make_offers(
        self,
        offerings: dict[HostId, Offering],
        contended: bool,
        expected: Collection[HostId],
        now: float,
    ) -> list[GrantOffer]:
        """Return offers to hosts for which something was decided or is due."""
        offers = []
        due = [row for row in self.current(now) if self.is_due(row, contended, now)]
        home = [row.host for row in self.current(now) if row.host in expected]
        open_handed = due and not contended and self.has_standing
        standing = self.standing(home, now) if open_handed else {}
        total = self.counted() if standing else {}
        for account in self.current(now):
            allowances = account.allowed()
            if account in due:
                targets = standing.get(account.host, [])
                allowances = self.allow(account, targets, total, len(home))
            elif account.host not in offerings:
                continue
            offering = offerings.get(account.host, Offering())
            offers.append(self.make_offer(account, offering, allowances, now))
        return offers

    def is_due(self, account: HostAccount, contended: bool, now: float) -> bool:
        """Return whether ``account`` is to be answered, or its allowances set anew."""
        if not self.has_standing and account.echoed == account.received:
            return False
        taken_back = contended and account.holds_allowances()
        longest_s = ANSWER_INTERVAL_S if account.demands else RENEWAL_INTERVAL_S
        return taken_back or now - account.offered >= longest_s

    def standing(
        self, home: list[HostId], now: float
    ) -> dict[HostId, list[TargetView]]:
        """Return, for each host of the zone, where it may have one more."""
        views = target_views(self, now)
        running = self.running()
        for name, target in views.items():
            target.used = running.get(name, NOTHING).running + self.loads.external(name)
        standing: dict[HostId, list[TargetView]] = {}
        for grant in standing_grants(PoolView(targets=views), home):
            standing.setdefault(grant.host, []).append(views[grant.target])
        return standing

    def allow(
        self,
        account: HostAccount,
        targets: list[TargetView],
        total: dict[TargetName, Counted],
        hosts: int,
    ) -> dict[TargetName, Allowance]:
        """Return an allowance of one more than what runs, where that fits.

        It must fit beside all that other hosts may have by now, which is
        ``total`` and grows with what is allowed here, and not only beside
        what they run: allowances that were taken back count until the host
        has said that it knows.
        """
        rows: dict[TargetName, Allowance] = {}
        if not targets:
            return rows
        counted, running = account.counted(), account.running()
        for target in targets:
            name = target.name
            own, used = counted.get(name, NOTHING), running.get(name, NOTHING)
            all_counted = total.get(name, NOTHING)
            others = all_counted.running - own.running + self.loads.external(name)
            if others + used.running >= target.limit:
                continue
            free = target.memory_tokens - all_counted.tokens + own.tokens - used.tokens
            tokens = used.tokens + max(0, free // (2 * hosts))
            rows[name] = Allowance(name, used.running + 1, tokens)
            total[name] = all_counted + Counted(
                max(0, used.running + 1 - own.running), max(0, tokens - own.tokens)
            )
        return rows

    def make_offer(
        self,
        account: HostAccount,
        offering: Offering,
        allowances: dict[TargetName, Allowance],
        now: float,
    ) -> GrantOffer:
        """Return one offer and count its allowances against the host."""
        before = set(account.allowed())
        number, account.next_number = account.next_number, account.next_number + 1
        account.offered = now
        account.echoed = account.received
        expires_s = account.sent_s + OFFER_LIFETIME_S
        account.note_allowances(SentAllowances(number, expires_s, allowances))
        return GrantOffer(
            host=account.host,
            incarnation=account.incarnation,
            allocator=self.me,
            pool=self.pool.name,
            term=self.term,
            number=number,
            acked_report=account.received,
            expires_s=expires_s,
            report_now=not before <= set(allowances),
            allowances=tuple(allowances.values()),
            grants=tuple(offering.grants),
            sheds=tuple(offering.sheds),
            spill=tuple(offering.spill),
            via=account.via,
            shares=self.admission_shares(),
        )

    def admission_shares(self) -> tuple[AdmissionShare, ...]:
        """Return of whose calls hosts are to ask for a part only."""
        memory = self.state
        if self.policy.is_strict or not memory.admission.shares:
            return ()
        backlog_s = min(memory.contended_s(), MAX_CONTENTION_S)
        return tuple(
            AdmissionShare(service, workspace, share, backlog_s)
            for (service, workspace), share in memory.admission.shares.items()
        )

    def floor_report(self, to: PoolName, now: float) -> FloorReport:
        """Return what to tell the allocator of pool ``to``."""
        ranks = [
            line.tier_rank for row in self.current(now) for line in row.demands.values()
        ]
        shed = self.shed_rank if now - self.shed_at <= FLOOR_S else NO_RANK
        return FloorReport(self.pool.name, to, max(ranks, default=NO_RANK), shed)
