"""The actor that holds this host's roles as allocator."""

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
from godwitladder.scheduler.exchange import FloorReport, GrantOffer, PoolReport
from godwitladder.scheduler.messages import (
    HostsChanged,
    NewConfig,
    TargetLoad,
    TargetsLeaving,
    Tick,
)
from godwitladder.scheduler.pools import Pool, make_pools, pool_key
from godwitladder.scheduler.quotas import SeenHosts
from godwitladder.scheduler.role import RENEWAL_INTERVAL_S, PoolRole

log = component_logger("allocator")

LONGEST_WAIT_S = 0.1
"""Roles run after so long also if messages keep coming: half of the time in which
hosts expect an answer."""


MOST_SHARES = 16
"""Workspaces that a log line names."""


@dataclass
class AllocatorTables:
    """What an allocator knows beside its roles.

    Attributes
    ----------
    standing : bool
        Whether hosts are allowed some requests unasked while nothing waits.
    quota_slack : float
        Tokens that a workspace may have beyond its quota in a window.
    seen : SeenHosts
        When each host was last among the live ones.
    able : tuple of HostId or None
        Hosts of this zone that may be allocators; None if all may.
    """

    host: HostId
    zone: Zone
    config: ConfigState = field(default_factory=ConfigState)
    hosts: tuple[HostId, ...] = ()
    able: tuple[HostId, ...] | None = None
    linked: Mapping[Zone, tuple[HostId, ...]] = field(default_factory=dict)
    leaving: frozenset[str] = frozenset()
    pools: dict[PoolName, Pool] = field(default_factory=dict)
    roles: dict[PoolName, PoolRole] = field(default_factory=dict)
    standing: bool = True
    quota_slack: float = 0.0
    seen: SeenHosts = field(default_factory=SeenHosts)

    @property
    def allocators(self) -> tuple[HostId, ...]:
        """Hosts of this zone that may be allocators."""
        return self.hosts if self.able is None else self.able


class Allocator(pykka.ThreadingActor):
    """Hands out the pools for which this host is the allocator.

    Parameters
    ----------
    tables : AllocatorTables
        Nothing else may touch them.
    clock : Clock
        The host's clock.
    send : callable
        Called with a host and a message for it.
    """

    def __init__(
        self,
        tables: AllocatorTables,
        clock: Clock,
        send: Callable[[HostId, PoolReport | GrantOffer | FloorReport], None],
    ) -> None:
        super().__init__()
        self.tables = tables
        self.clock = clock
        self.send = send
        self.due: set[PoolName] = set()
        self.ran = float("-inf")
        self.floors_sent = float("-inf")
        self.told_shares: dict[PoolName, tuple[float, bool]] = {}

    def on_receive(self, message) -> None:
        """Take ``message`` in, and run the roles if no other is at hand.

        Where more messages come than can be taken in, there is always one at
        hand: without the bound nothing would be decided any more.
        """
        self.take(message)
        if not self.due:
            return
        now = self.clock.monotonic()
        if self.actor_inbox.empty() or now - self.ran >= LONGEST_WAIT_S:
            self.run(now)
            self.ran = self.clock.monotonic()

    def run(self, now: float) -> None:
        """Run the roles that are due and send their offers."""
        for name in self.due & set(self.tables.roles):
            role = self.tables.roles[name]
            for offer in role.run(self.tables.hosts, now):
                account = role.account(offer.host, now)
                self.send(account.via or offer.host, offer)
        self.due.clear()

    @functools.singledispatchmethod
    def take(self, message) -> None:
        """Take one message in."""
        raise TypeError(f"unknown message {message!r}")

    @take.register
    def _(self, message: Tick) -> None:
        self.due |= set(self.tables.roles)
        now = self.clock.monotonic()
        share = self.seen_share(now)
        for role in self.tables.roles.values():
            role.quotas.share = share
            self.tell_delays(role, now)
            self.tell_shares(role, now)
        if now - self.floors_sent >= RENEWAL_INTERVAL_S:
            self.floors_sent = now
            for role in self.tables.roles.values():
                self.send_floors(role, now)

    @take.register
    def _(self, message: PoolReport) -> None:
        role = self.tables.roles.get(message.pool)
        if role is None:
            self.pass_on(message, message.pool)
        elif role.take_report(message, self.clock.monotonic()):
            self.due.add(message.pool)

    @take.register
    def _(self, message: FloorReport) -> None:
        role = self.tables.roles.get(message.to)
        if role is None:
            self.pass_on(message, message.to)
        else:
            role.take_floor(message, self.clock.monotonic())

    @take.register
    def _(self, message: TargetLoad) -> None:
        for role in self.tables.roles.values():
            if message.target in role.pool.targets:
                role.take_load(message.target, message.requests)

    @take.register
    def _(self, message: NewConfig) -> None:
        if message.config.offset >= self.tables.config.offset:
            self.tables.config = message.config
            self.tables.pools = make_pools(message.config.targets)
            self.update_roles()

    @take.register
    def _(self, message: HostsChanged) -> None:
        self.tables.hosts = message.hosts
        self.tables.able = message.able
        self.tables.linked = message.linked
        self.update_roles()

    @take.register
    def _(self, message: TargetsLeaving) -> None:
        self.tables.leaving = message.addresses
        self.update_roles()

    def update_roles(self) -> None:
        """Take up and give up roles as the live hosts and the pools stand."""
        tables, now = self.tables, self.clock.monotonic()
        mine = {
            name: pool
            for name, pool in tables.pools.items()
            if name.zone == tables.zone
            and choose_host(tables.allocators, pool_key(name)) == tables.host
        }
        for name in set(tables.roles) - set(mine):
            del tables.roles[name]
            log.info("A role was given up", extra={"pool": pool_key(name)})
        for name, pool in mine.items():
            if name not in tables.roles:
                term = int(self.clock.wall() * 1000)
                tables.roles[name] = PoolRole(
                    pool, tables.host, term, now, tables.standing
                )
                log.info("A role was taken up", extra={"pool": pool_key(name)})
            role = tables.roles[name]
            role.configure(pool, tables.config, tables.leaving)
            role.quotas.slack = tables.quota_slack
            role.quotas.share = self.seen_share(now)

    def tell_delays(self, role: PoolRole, now: float) -> None:
        """Log that reports come late, or that they are in time again."""
        news = role.delays.look(now)
        if news is None:
            return
        queued = self.actor_inbox.qsize()
        extra = {"pool": pool_key(role.pool.name), "queued": queued, **news.fields()}
        if news.late:
            log.warning("Reports come late", extra=extra)
        else:
            log.info("Reports are in time again", extra=extra)

    def tell_shares(self, role: PoolRole, now: float) -> None:
        """Log of whose calls hosts ask for a part only, or that they ask for all."""
        shares = role.state.admission.shares
        told_at, told = self.told_shares.get(role.pool.name, (float("-inf"), False))
        if not shares and not told:
            return
        if shares and now - told_at < RENEWAL_INTERVAL_S:
            return
        self.told_shares[role.pool.name] = now, bool(shares)
        rows = {
            f"{service}/{workspace}": round(share, 2)
            for (service, workspace), share in sorted(shares.items())[:MOST_SHARES]
        }
        extra = {
            "pool": pool_key(role.pool.name),
            "flows": len(shares),
            "shares": rows,
            "contended_s": round(role.state.contended_s(), 3),
        }
        log.info("A part of the calls is asked for", extra=extra)

    def seen_share(self, now: float) -> float:
        """Return the part of the hosts that this one sees, of all lately seen.

        Hosts that are cut off from this one may be served by an allocator of
        their own. If both gave out whole quotas, a workspace would get twice
        its own for as long as the cut lasts.
        """
        self.tables.seen.note(self.tables.hosts, now)
        return len(self.tables.hosts) / self.tables.seen.count_recent(now)

    def pass_on(self, message: PoolReport | FloorReport, pool: PoolName) -> None:
        """Pass a message from another zone on to this zone's allocator, once."""
        holder = choose_host(self.tables.allocators, pool_key(pool))
        if pool.zone != self.tables.zone or message.via or holder is None:
            return
        if holder != self.tables.host:
            self.send(holder, replace(message, via=self.tables.host))

    def send_floors(self, role: PoolRole, now: float) -> None:
        """Tell allocators of other zones which tiers wait here, or that none do.

        Silence would read as a zone out of reach, to which nothing spills.
        """
        for name, pool in self.tables.pools.items():
            hosts = self.tables.linked.get(name.zone, ())
            gate = choose_host(hosts, self.tables.host)
            if gate is None or not pool.services & role.pool.services:
                continue
            self.send(gate, role.floor_report(name, now))

    def targets_to_watch(self) -> dict[TargetName, str]:
        """Return the address of each target whose load is to be read."""
        return {
            name: self.tables.config.targets[name].address
            for role in self.tables.roles.values()
            for name in role.pool.targets
            if self.tables.config.targets[name].memory_tokens
        }
