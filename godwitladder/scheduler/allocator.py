"""Actor that runs the allocator roles of this host."""

import functools
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

import pykka

from godwitladder.clock import Clock
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.rendezvous import choose_host
from godwitladder.decisions.types import PoolName
from godwitladder.ids import HostId, TargetName, Zone
from godwitladder.logs import component_logger
from godwitladder.rollouts.coordinator import RolloutCoordinator
from godwitladder.rollouts.status import StatusKnown
from godwitladder.scheduler.exchange import FloorReport, GrantOffer, PoolReport
from godwitladder.scheduler.messages import (
    HostsChanged,
    NewConfig,
    TargetLoad,
    TargetsLeaving,
    Tick,
)
from godwitladder.scheduler.pools import (
    Pool,
    make_pools,
    pool_key,
    target_generations,
)
from godwitladder.scheduler.quotas import SeenHosts
from godwitladder.scheduler.role import RENEWAL_INTERVAL_S, PoolRole

log = component_logger("allocator")

MAX_BATCH_DELAY_S = 0.1
"""Maximum time for which messages are batched before roles run. It is half of the
time within which hosts expect an answer."""


MAX_ABSENCE_S = 1.0
"""Maximum time without a message, ticks included, after which an allocator goes on as
before. Hosts choose another allocator soon after."""
MAX_LOGGED_SHARES = 16
"""Maximum number of workspaces in a log line."""
MAX_LOGGED_LIMITS = 16
"""Maximum number of targets in a log line."""
MAX_LOGGED_QUOTAS = 16
"""Maximum number of workspaces in a log line."""
QUOTA_LOG_INTERVAL_S = 1.0
"""Minimum time between two log lines about the quotas of a pool."""


@dataclass
class AllocatorTables:
    """Roles of an allocator, and the state that they share.

    Attributes
    ----------
    hosts : tuple of HostId
        Live hosts of this zone.
    allocator_candidates : tuple of HostId or None
        Hosts of this zone that may be allocators; None if all may.
    linked : mapping
        Hosts of other zones that this host has a link to, by zone.
    leaving : frozenset of str
        Addresses of targets that are leaving.
    has_standing_grants : bool
        Whether hosts get standing grants while no request waits.
    quota_slack : float
        Tokens that a workspace may use beyond its quota in a window.
    seen_hosts : SeenHosts
        Times at which each host was last seen alive.
    rollouts : RolloutCoordinator
        Rollouts of the services of all pools.
    """

    host: HostId
    zone: Zone
    config: ConfigState = field(default_factory=ConfigState)
    hosts: tuple[HostId, ...] = ()
    allocator_candidates: tuple[HostId, ...] | None = None
    linked: Mapping[Zone, tuple[HostId, ...]] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    pools: dict[PoolName, Pool] = field(default_factory=dict)
    roles: dict[PoolName, PoolRole] = field(default_factory=dict)
    has_standing_grants: bool = True
    quota_slack: float = 0.0
    seen_hosts: SeenHosts = field(default_factory=SeenHosts)
    rollouts: RolloutCoordinator = field(default_factory=RolloutCoordinator)

    @property
    def allocators(self) -> tuple[HostId, ...]:
        """Hosts of this zone that may be allocators."""
        return (
            self.hosts
            if self.allocator_candidates is None
            else self.allocator_candidates
        )


class Allocator(pykka.ThreadingActor):
    """Allocates the pools for which this host is the allocator.

    Parameters
    ----------
    tables : AllocatorTables
        State of the allocator. Only this actor may access it.
    clock : Clock
        The host's clock.
    send : callable
        Called with a host and the message to send to it.
    count_restart : callable
        Called when a role has failed and begins anew.

    Attributes
    ----------
    restarts : int
        Number of roles that have failed.
    """

    def __init__(
        self,
        tables: AllocatorTables,
        clock: Clock,
        send: Callable[[HostId, PoolReport | GrantOffer | FloorReport], None],
        count_restart: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self.count_restart = count_restart
        self.tables = tables
        self.clock = clock
        self.send = send
        self.due: set[PoolName] = set()
        self.last_run_at = float("-inf")
        self.active_at = float("inf")
        self.last_term = 0
        self.restarts = 0
        self.floors_sent_at = float("-inf")
        self.logged_shares: dict[PoolName, tuple[float, bool]] = {}
        self.logged_limits: dict[PoolName, int] = {}
        self.logged_quotas: dict[PoolName, float] = {}

    def on_receive(self, message) -> None:
        """Process ``message``, and run the roles if no other message is queued.

        The queue is never empty if messages arrive faster than they are
        processed. Roles would then never run without the limit on batching.
        """
        now = self.clock.monotonic()
        if now - self.active_at > MAX_ABSENCE_S:
            self.begin_again(now)
        self.active_at = now
        self.take(message)
        if not self.due:
            return
        if self.actor_inbox.empty() or now - self.last_run_at >= MAX_BATCH_DELAY_S:
            self.run(now)
            self.last_run_at = self.clock.monotonic()

    def begin_again(self, now: float) -> None:
        """Let all roles warm up again after this process has stood still."""
        for name, role in self.tables.roles.items():
            role.begin_again(now)
            extra = {
                "pool": pool_key(name),
                "term": role.term,
                "absent_s": round(now - self.active_at, 3),
            }
            log.warning("Allocator role warms up again", extra=extra)

    def run(self, now: float) -> None:
        """Run the roles that are due, and send their offers."""
        tables = self.tables
        for name in self.due & set(tables.roles):
            self.run_role(name, now)
        self.due.clear()

    def run_role(self, name: PoolName, now: float) -> None:
        """Run one role and send its offers; a role that fails begins anew.

        Errors of what roles share are not handled: they would leave it in doubt.
        """
        tables, role = self.tables, self.tables.roles[name]
        if role.is_warmed_up(tables.hosts, now):
            tables.rollouts.run_steps(role.trials, role.term, now)
        try:
            offers = role.run(tables.hosts, now)
        except Exception:
            log.exception("A pool could not be allocated")
            self.restart_role(name)
            return
        for offer in offers:
            account = role.account(offer.host, now)
            offer = tables.rollouts.notify(role.trials, offer)
            self.send(account.via or offer.host, offer)

    def restart_role(self, name: PoolName) -> None:
        """Replace a role that failed by a new one, which the next reports fill.

        Its state is in doubt. Hosts take the new term for that of another allocator,
        and all other pools go on.
        """
        role = self.tables.roles.pop(name)
        self.logged_limits.pop(name, None)
        self.logged_quotas.pop(name, None)
        self.restarts += 1
        extra = {
            "pool": pool_key(name),
            "term": role.term,
            "restarts": self.restarts,
        }
        log.error("Allocator role restarts", extra=extra)
        self.count_restart()
        self.update_roles()

    @functools.singledispatchmethod
    def take(self, message) -> None:
        """Process one message."""
        raise TypeError(f"unknown message {message!r}")

    @take.register
    def _(self, message: Tick) -> None:
        self.due |= set(self.tables.roles)
        now = self.clock.monotonic()
        share = self.visible_share(now)
        for role in self.tables.roles.values():
            role.rate_limits.share = share
            role.quotas.set_share(share, now)
            self.log_delays(role, now)
            self.log_rate_limits(role)
            self.log_admission_shares(role, now)
            self.log_quotas(role, now)
        if now - self.floors_sent_at >= RENEWAL_INTERVAL_S:
            self.floors_sent_at = now
            for role in self.tables.roles.values():
                self.send_floors(role, now)

    @take.register
    def _(self, message: PoolReport) -> None:
        role = self.tables.roles.get(message.pool)
        if role is None:
            self.forward(message, message.pool)
            return
        now = self.clock.monotonic()
        try:
            is_due = role.take_report(message, now)
        except Exception:
            extra = {"host": message.host, "number": message.number}
            log.exception("A report could not be applied", extra=extra)
            self.restart_role(message.pool)
            return
        if is_due or role.trials.rows:
            self.due.add(message.pool)
        sent_at = now - role.delays.recent_peak_s(now)
        if self.tables.rollouts.take_report(role.trials, message, sent_at):
            self.update_roles()

    @take.register
    def _(self, message: FloorReport) -> None:
        role = self.tables.roles.get(message.to)
        if role is None:
            self.forward(message, message.to)
        else:
            role.take_floor(message, self.clock.monotonic())

    @take.register
    def _(self, message: TargetLoad) -> None:
        for role in self.tables.roles.values():
            if message.target in role.pool.targets:
                role.take_load(message.target, message.requests)

    @take.register
    def _(self, message: NewConfig) -> None:
        if not message.config.is_older_than(self.tables.config):
            self.tables.config = message.config
            self.tables.pools = make_pools(message.config.targets)
            self.tables.rollouts.note_unknown_services(message.config)
            self.update_roles()

    @take.register
    def _(self, message: StatusKnown) -> None:
        rollouts = self.tables.rollouts
        for role in self.tables.roles.values():
            if rollouts.take_status(role.trials, message, role.term):
                self.update_roles()
                break

    @take.register
    def _(self, message: HostsChanged) -> None:
        self.tables.hosts = message.hosts
        self.tables.allocator_candidates = message.allocator_candidates
        self.tables.linked = message.linked
        self.update_roles()

    @take.register
    def _(self, message: TargetsLeaving) -> None:
        self.tables.leaving = message.addresses
        self.update_roles()

    def update_roles(self) -> None:
        """Start and end roles to match the live hosts, pools and rollouts."""
        self.tables.config = self.tables.rollouts.settle(self.tables.config)
        tables, now = self.tables, self.clock.monotonic()
        mine = {
            name: pool
            for name, pool in tables.pools.items()
            if name.zone == tables.zone
            and choose_host(tables.allocators, pool_key(name)) == tables.host
        }
        for name in set(tables.roles) - set(mine):
            role = tables.roles.pop(name)
            self.logged_limits.pop(name, None)
            self.logged_quotas.pop(name, None)
            extra = {"pool": pool_key(name), "term": role.term}
            log.info("Allocator role ended", extra=extra)
        generations = target_generations(tables.config.targets)
        for name, pool in mine.items():
            if name not in tables.roles:
                term = self.next_term()
                tables.roles[name] = PoolRole(
                    pool, tables.host, term, now, tables.has_standing_grants
                )
                extra = {"pool": pool_key(name), "term": term}
                log.info("Allocator role started", extra=extra)
            role = tables.roles[name]
            role.configure(pool, tables.config, tables.leaving)
            tables.rollouts.configure(role.trials, pool.services, tables.config, now)
            role.rate_limits.keep_generations(generations, now)
            role.departures.keep_generations(generations, now)
            role.rate_limits.share = self.visible_share(now)
            role.quotas.slack = tables.quota_slack
            role.quotas.set_share(self.visible_share(now), now)

    def next_term(self) -> int:
        """Return the number of a new term, which no other pool of this host has.

        Hosts add up the grants of each term apart from those of others.
        """
        self.last_term = max(self.last_term + 1, int(self.clock.wall() * 1000))
        return self.last_term

    def log_delays(self, role: PoolRole, now: float) -> None:
        """Log that reports are late, or that they are in time again."""
        status = role.delays.poll_status(now)
        if status is None:
            return
        queued = self.actor_inbox.qsize()
        extra = {"pool": pool_key(role.pool.name), "queued": queued, **status.fields()}
        if status.late:
            log.warning("Reports are late", extra=extra)
        else:
            log.info("Reports are in time again", extra=extra)

    def log_admission_shares(self, role: PoolRole, now: float) -> None:
        """Log the admission shares, and once that none is in effect any more."""
        shares = role.state.admission.shares
        logged_at, logged = self.logged_shares.get(
            role.pool.name, (float("-inf"), False)
        )
        if not shares and not logged:
            return
        if shares and now - logged_at < RENEWAL_INTERVAL_S:
            return
        self.logged_shares[role.pool.name] = now, bool(shares)
        rows = {
            f"{service}/{workspace}": round(share, 2)
            for (service, workspace), share in sorted(shares.items())[
                :MAX_LOGGED_SHARES
            ]
        }
        extra = {
            "pool": pool_key(role.pool.name),
            "flows": len(shares),
            "shares": rows,
            "contended_s": round(role.state.contended_s(), 3),
        }
        log.info("Current admission shares", extra=extra)

    def log_rate_limits(self, role: PoolRole) -> None:
        """Log the rate limits of a pool's targets when they have changed."""
        limits = role.rate_limits
        if self.logged_limits.get(role.pool.name, 0) == limits.version:
            return
        self.logged_limits[role.pool.name] = limits.version
        rows = {
            name: limits.rows[name].requests_per_s for name in sorted(limits.limited)
        }
        extra = {
            "pool": pool_key(role.pool.name),
            "limited": len(rows),
            "requests_per_s": dict(list(rows.items())[:MAX_LOGGED_LIMITS]),
            "share": round(limits.share, 3),
        }
        log.info("Current rate limits of targets", extra=extra)

    def log_quotas(self, role: PoolRole, now: float) -> None:
        """Log what workspaces with quotas were granted, those with the least left.

        Together with the lines of hosts that use their own shares, these tell which
        part gave out what of a quota.
        """
        logged_at = self.logged_quotas.get(role.pool.name, float("-inf"))
        if now - logged_at < QUOTA_LOG_INTERVAL_S:
            return
        rows = role.quotas.take_activity(now)
        if not rows:
            return
        self.logged_quotas[role.pool.name] = now
        extra = {
            "pool": pool_key(role.pool.name),
            "term": role.term,
            "version": role.config.offset,
            "share": round(role.quotas.share, 3),
            "expected_hosts": role.quotas.expected_hosts,
            "reported_hosts": len(role.quotas.coverage),
            "workspaces": len(rows),
            "quotas": {row.workspace: row.fields() for row in rows[:MAX_LOGGED_QUOTAS]},
        }
        log.info("Current quotas of workspaces", extra=extra)

    def visible_share(self, now: float) -> float:
        """Return the ratio of live hosts to all hosts that were seen recently.

        Hosts on the other side of a network partition may have an allocator of
        their own. If both granted whole quotas, a workspace would get twice its
        quota for as long as the partition lasts.
        """
        self.tables.seen_hosts.record_alive(self.tables.hosts, now)
        return len(self.tables.hosts) / self.tables.seen_hosts.count_recent(now)

    def forward(self, message: PoolReport | FloorReport, pool: PoolName) -> None:
        """Forward a message from another zone to this zone's allocator, once."""
        holder = choose_host(self.tables.allocators, pool_key(pool))
        if pool.zone != self.tables.zone or message.via or holder is None:
            return
        if holder != self.tables.host:
            self.send(holder, replace(message, via=self.tables.host))

    def send_floors(self, role: PoolRole, now: float) -> None:
        """Send floor reports to the allocators of other zones.

        A report is sent even if no request waits. A zone without reports is taken
        to be unreachable, and requests don't spill to it.
        """
        for name, pool in self.tables.pools.items():
            hosts = self.tables.linked.get(name.zone, ())
            relay = choose_host(hosts, self.tables.host)
            if relay is None or not pool.services & role.pool.services:
                continue
            self.send(relay, role.floor_report(name, now))

    def targets_to_watch(self) -> dict[TargetName, str]:
        """Return the addresses of the targets whose load is to be read, by target."""
        return {
            name: self.tables.config.targets[name].address
            for role in self.tables.roles.values()
            for name in role.pool.targets
            if self.tables.config.targets[name].memory_tokens
        }
