"""Hosts and allocators in one process, with message delivery driven by the test."""

import queue
from collections import deque
from dataclasses import dataclass, field

from godwitladder.configuration.model import Target, Tier, Workspace
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.types import PoolName
from godwitladder.ids import HostId, Incarnation, RequestId, StreamId, Zone
from godwitladder.outcomes import Refusal
from godwitladder.scheduler.exchange import NO_TERM
from godwitladder.scheduler.messages import HostsChanged
from godwitladder.scheduler.pools import make_pools
from godwitladder.scheduler.reports import (
    choose_allocators,
    due_reports,
    take_offer,
    update_targets,
)
from godwitladder.scheduler.role import PoolRole
from godwitladder.scheduler.rows import Dispatch, RequestRow, Tables
from godwitladder.scheduler.systems import add_request, run_systems

LETTERS = "letters"
START = 3.0


def make_config(slots: dict[str, int], zone: str = "a", **fields) -> ConfigState:
    """Return a configuration with one target for each name and number of slots."""
    targets = {
        name: Target(f"10.0.0.{index}:1", Zone(zone), (LETTERS,), count, **fields)
        for index, (name, count) in enumerate(slots.items())
    }
    return ConfigState(
        tiers={"urgent": Tier(0), "normal": Tier(1)},
        workspaces={"advisers": Workspace("urgent"), "bounded": Workspace("normal")},
        targets=targets,
    )


def make_tables(
    host: str, hosts: tuple[str, ...], config: ConfigState, zone: str = "a"
) -> Tables:
    """Return the tables of a host whose zone contains ``hosts``."""
    tables = Tables(HostId(host), Zone(zone), Incarnation(1), config, hosts=hosts)
    update_targets(tables)
    choose_allocators(tables, 0.0)
    return tables


def make_role(
    host: str,
    config: ConfigState,
    now: float,
    term: int = 1,
    has_standing_grants: bool = True,
) -> PoolRole:
    """Return the allocator role for the only pool of ``config``."""
    (pool,) = make_pools(config.targets).values()
    role = PoolRole(pool, HostId(host), term, now, has_standing_grants)
    role.configure(pool, config, frozenset())
    return role


def make_request(
    name: str, now: float, rank: int = 0, timeout_s: float = 60.0, **fields
) -> RequestRow:
    """Return a waiting request."""
    values = {"workspace": "advisers", "service": LETTERS, "idempotent": True}
    return RequestRow(
        request=RequestId(name),
        stream=StreamId(name),
        tier_rank=rank,
        arrived=now,
        deadline=now + timeout_s,
        **{"prompt_tokens": 10, "declared_tokens": 10, **values, **fields},
    )


def submit(tables: Tables, row: RequestRow) -> RequestRow:
    """Queue ``row`` and return it."""
    add_request(tables, row)
    return row


def decision(row: RequestRow) -> Dispatch | Refusal | None:
    """Return the next decision for the caller's thread; None if there is none."""
    try:
        return row.decisions.get_nowait()
    except queue.Empty:
        return None


@dataclass
class AllocationHarness:
    """Hosts, the allocators they may report to, and the messages in transit."""

    config: ConfigState
    hosts: dict[str, Tables]
    roles: dict[str, PoolRole]
    reports: dict[tuple[str, str], deque] = field(default_factory=dict)
    offers: dict[tuple[str, str], deque] = field(default_factory=dict)

    @property
    def pool(self) -> PoolName:
        """The only pool."""
        return next(iter(make_pools(self.config.targets)))

    def tick(self, host: str, now: float) -> None:
        """Run the systems of one host and queue its reports."""
        run_systems(self.hosts[host], now)
        for to, report in due_reports(self.hosts[host], now):
            self.reports.setdefault((host, to), deque()).append(report)

    def decide(self, holder: str, now: float) -> None:
        """Run one allocator and queue its offers."""
        for offer in self.roles[holder].run(tuple(self.hosts), now):
            self.offers.setdefault((offer.host, holder), deque()).append(offer)

    def deliver_report(self, host: str, holder: str, now: float) -> None:
        """Deliver the oldest queued report of a host."""
        waiting = self.reports.get((host, holder))
        if waiting:
            self.roles[holder].take_report(waiting.popleft(), now)

    def deliver_offer(self, host: str, holder: str, now: float) -> None:
        """Deliver the oldest queued offer to a host."""
        waiting = self.offers.get((host, holder))
        if waiting:
            take_offer(self.hosts[host], waiting.popleft(), now)

    def settle(self, now: float) -> None:
        """Run and deliver everything for eight rounds, until nothing changes."""
        for _ in range(8):
            now += 0.1
            for host in self.hosts:
                self.tick(host, now)
            for host, holder in list(self.reports):
                while self.reports[host, holder]:
                    self.deliver_report(host, holder, now)
            for holder in self.roles:
                self.decide(holder, now)
            for host, holder in list(self.offers):
                while self.offers[host, holder]:
                    self.deliver_offer(host, holder, now)

    def set_allocator(self, host: str, holder: str, now: float) -> None:
        """Let a host use ``holder`` as its allocator."""
        access = self.hosts[host].pools[self.pool]
        access.set_allocator(HostId(holder), now)


def make_harness(
    slots: dict[str, int], hosts: tuple[str, ...], holders=("h0",)
) -> AllocationHarness:
    """Return hosts of one zone that report to the first holder."""
    config = make_config(slots)
    harness = AllocationHarness(
        config,
        {host: make_tables(host, hosts, config) for host in hosts},
        {
            holder: make_role(holder, config, 0.0, term)
            for term, holder in enumerate(holders, 1)
        },
    )
    for host in hosts:
        harness.set_allocator(host, holders[0], 0.0)
    return harness


def set_live_hosts(tables: Tables, message: HostsChanged, now: float) -> None:
    """Update the live hosts that a host knows."""
    tables.hosts, tables.linked = message.hosts, message.linked
    choose_allocators(tables, now)


def make_settled_harness(slots, hosts=("h0", "h1")):
    """Return a harness whose idle hosts hold allowances, and the current time."""
    harness = make_harness(slots, hosts)
    harness.settle(START)
    return harness, START + 0.8


def run_for(harness, now, seconds, each):
    """Advance the time in steps; call ``each`` and deliver all messages in each."""
    for _ in range(int(seconds / 0.5)):
        now += 0.5
        each(now)
        for host in harness.hosts:
            harness.tick(host, now)
            while harness.reports.get((host, "h0")):
                harness.deliver_report(host, "h0", now)
        harness.decide("h0", now)
        for host in harness.hosts:
            while harness.offers.get((host, "h0")):
                harness.deliver_offer(host, "h0", now)
    return now


def add_history(quotas, host, spent, covered_s, now):
    """Let a host report its spending to an allocator that has just started."""
    quotas.record_coverage(host, covered_s)
    quotas.take_spending((host, Incarnation(1)), spent, now, now, NO_TERM)
