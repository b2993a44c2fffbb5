"""Hosts with their allocators in simulated time, and what workspaces run on them.

The scheduler and the allocator of each host are the real ones. Time, messages and
the views of who is alive are simulated: hosts pause, are cut off and restart.
"""

import heapq
import random
from bisect import bisect_left
from collections import Counter, deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from itertools import accumulate, count

from godwitladder.clock import ManualClock
from godwitladder.configuration.model import (
    Service,
    ServiceKind,
    Target,
    Tier,
    Workspace,
)
from godwitladder.configuration.state import ConfigState
from godwitladder.decisions.limits.quotas import TokenRate
from godwitladder.decisions.rendezvous import choose_host
from godwitladder.ids import HostId
from godwitladder.metrics import Metrics
from godwitladder.outcomes import RequestState
from godwitladder.scheduler.actor import Scheduler
from godwitladder.scheduler.allocator import Allocator, AllocatorTables
from godwitladder.scheduler.exchange import GrantOffer
from godwitladder.scheduler.messages import Finished, HostsChanged, NewConfig, Tick
from godwitladder.scheduler.pools import make_pools, pool_key
from godwitladder.scheduler.rows import Dispatch, RequestRow, Tables
from godwitladder.scheduler.systems import add_request
from godwitladder.scheduler.ticker import Ticker

ZONE = "a"
LETTERS, ORDERS = "letters", "orders"
STEP_S = 0.02
TICK_S = 0.2
LATENCY_S = 0.002
RUN_S = 0.3
WINDOW_S = 8.0
OVERAGE = 0.1
SLACK = 140_000.0
LOST_AFTER_S, FOUND_AFTER_S, VIEW_SPREAD_S = 1.5, 0.2, 0.4


@dataclass(frozen=True)
class Run:
    """Tokens of one request that was sent to a target."""

    at: float
    workspace: str
    service: str
    tokens: int
    granted_by: str


@dataclass
class Process:
    """One process of a host.

    Attributes
    ----------
    awake_at : float
        Time until which the process is paused, in seconds.
    inbox : deque
        Messages that arrived and were not read yet.
    lost_since, found_since : dict
        For each peer, the time since which it is not or again reachable.
    """

    host: HostId
    scheduler: Scheduler
    allocator: Allocator
    view: set[HostId]
    awake_at: float = 0.0
    ticked_at: float = 0.0
    inbox: deque = field(default_factory=deque)
    lost_since: dict[HostId, float] = field(default_factory=dict)
    found_since: dict[HostId, float] = field(default_factory=dict)


def make_config(rate: TokenRate, offset: int = 1) -> ConfigState:
    """Return two services in pools of their own, and workspaces with one quota."""
    targets = {
        service: Target(
            f"10.0.0.{index}:1", ZONE, (service,), slots=100_000, place=ZONE
        )
        for index, service in enumerate((LETTERS, ORDERS), 1)
    }
    workspace = Workspace("t", token_rate=rate.rate, token_burst=rate.burst)
    return ConfigState(
        offset=offset,
        tiers={"t": Tier(0)},
        workspaces={"w": workspace, "other": workspace},
        services={
            name: Service(ServiceKind.PLAIN, False) for name in (LETTERS, ORDERS)
        },
        targets=targets,
    )


class QuotaFleet:
    """Hosts that share the quota of the workspace ``w``.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    rate : TokenRate
        Quota of the workspace.
    seed : int
        Seed of arrivals, sizes and of when views of hosts change.
    """

    def __init__(self, hosts: int, rate: TokenRate, seed: int = 0) -> None:
        self.random = random.Random(seed)
        self.clock = ManualClock()
        self.now = self.clock.monotonic()
        self.rate = rate
        self.config = make_config(rate)
        self.names = tuple(HostId(f"h{index:02}") for index in range(hosts))
        self.numbers = count()
        self.messages: list = []
        self.running: list = []
        self.waiting: list[tuple[Process, RequestRow]] = []
        self.runs: list[Run] = []
        self.asked: Counter[str] = Counter()
        self.apart: frozenset[HostId] = frozenset()
        self.late_s: dict[HostId, float] = {}
        self.processes = {name: self.start(name) for name in self.names}

    def start(self, host: HostId) -> Process:
        """Return a new process of a host, which knows all hosts."""
        tables = Tables(
            host,
            ZONE,
            next(self.numbers) + 1,
            availability_zone=ZONE,
            has_standing_grants=False,
            early_fallback=True,
        )
        tables.quotas.slack = SLACK
        scheduler = Scheduler(
            tables,
            self.clock,
            Metrics(),
            Ticker(self.clock, 1.0),
            lambda to, message: self.send(host, to, message),
        )
        allocator = Allocator(
            AllocatorTables(host, ZONE, has_standing_grants=False, quota_slack=SLACK),
            self.clock,
            lambda to, message: self.send(host, to, message),
        )
        process = Process(host, scheduler, allocator, set(self.names))
        process.ticked_at = self.now - self.random.random() * TICK_S
        self.tell(process, NewConfig(self.config))
        self.tell(process, HostsChanged(self.names, {}))
        return process

    def tell(self, process: Process, message) -> None:
        """Hand a message to the scheduler and the allocator of a process."""
        process.scheduler.take(message)
        process.allocator.take(message)

    def allocator_of(self, service: str = LETTERS) -> HostId:
        """Return the host that is the allocator of a service if all are alive."""
        (name,) = (
            name
            for name, pool in make_pools(self.config.targets).items()
            if service in pool.services
        )
        return choose_host(self.names, pool_key(name))

    def set_quota(self, rate: TokenRate, hosts: Iterable[HostId] = ()) -> None:
        """Change the quota, on all hosts or on some of them."""
        self.config = make_config(rate, self.config.offset + 1)
        for host in hosts or self.names:
            self.tell(self.processes[host], NewConfig(self.config))

    def pause(self, host: HostId, for_s: float) -> None:
        """Let a process stand still for some seconds."""
        self.processes[host].awake_at = self.now + for_s

    def restart(self, host: HostId) -> None:
        """Replace the process of a host; what it ran is lost with it."""
        old = self.processes[host]
        self.running = [row for row in self.running if row[2] is not old]
        heapq.heapify(self.running)
        self.waiting = [row for row in self.waiting if row[0] is not old]
        self.processes[host] = self.start(host)

    def cut(self, hosts: Iterable[HostId]) -> None:
        """Cut some hosts off from the others; no hosts end the cut."""
        self.apart = frozenset(hosts)

    def send(self, host: HostId, to: HostId, message) -> None:
        """Send a message, unless a cut lies on its way."""
        if (host in self.apart) == (to in self.apart):
            late_s = max(self.late_s.get(host, 0.0), self.late_s.get(to, 0.0))
            at = self.now + LATENCY_S + late_s
            heapq.heappush(self.messages, (at, next(self.numbers), to, message))

    def ask(
        self, tokens: int, service: str = LETTERS, workspace: str = "w", host=None
    ) -> None:
        """Let a caller ask a host, by default any that is awake."""
        awake = [row for row in self.processes.values() if row.awake_at <= self.now]
        process = self.processes[host] if host else self.random.choice(awake)
        name = f"r{next(self.numbers)}"
        row = RequestRow(
            name, name, workspace, service, 0, 0, 0, self.now, self.now + 4.0, False
        )
        row.charge, row.start_by = tokens, self.now + 2.0
        row.ttft_deadline = self.now + 0.8
        self.asked[workspace] += tokens
        add_request(process.scheduler.tables, row)
        self.waiting.append((process, row))

    def play(self, seconds: float, arrive: Callable[["QuotaFleet"], None]) -> None:
        """Advance the time, with arrivals in each step."""
        end = self.now + seconds
        while self.now < end:
            self.clock.advance(STEP_S)
            self.now = self.clock.monotonic()
            arrive(self)
            self.deliver_messages()
            for process in self.processes.values():
                if process.awake_at <= self.now:
                    self.run_process(process)
            self.record_decisions()
            self.finish_requests()

    def deliver_messages(self) -> None:
        """Put messages that have arrived into the inboxes of their hosts."""
        while self.messages and self.messages[0][0] <= self.now:
            _, _, to, message = heapq.heappop(self.messages)
            self.processes[to].inbox.append(message)

    def run_process(self, process: Process) -> None:
        """Run a process as its actors would: read what came, then act."""
        self.update_view(process)
        while process.inbox:
            message = process.inbox.popleft()
            if isinstance(message, GrantOffer):
                process.scheduler.take(message)
            else:
                process.allocator.on_receive(message)
        if self.now - process.ticked_at >= TICK_S:
            process.ticked_at = self.now
            process.scheduler.take(Tick())
            process.allocator.on_receive(Tick())
        process.scheduler.run(self.now)

    def is_reachable(self, host: HostId, peer: HostId) -> bool:
        """Return whether a peer's heartbeats reach a host."""
        paused = self.processes[peer].awake_at > self.now
        return not paused and (host in self.apart) == (peer in self.apart)

    def update_view(self, process: Process) -> None:
        """Let a host lose peers that are silent, and find those that are back."""
        before = set(process.view)
        for peer in self.names:
            if peer == process.host:
                continue
            spread_s = self.random.random() * VIEW_SPREAD_S
            if self.is_reachable(process.host, peer):
                process.lost_since.pop(peer, None)
                since = process.found_since.setdefault(peer, self.now)
                if self.now - since >= FOUND_AFTER_S + spread_s:
                    process.view.add(peer)
            else:
                process.found_since.pop(peer, None)
                since = process.lost_since.setdefault(peer, self.now)
                if self.now - since >= LOST_AFTER_S + spread_s:
                    process.view.discard(peer)
        if process.view != before:
            self.tell(process, HostsChanged(tuple(sorted(process.view)), {}))

    def record_decisions(self) -> None:
        """Record what was sent, and let requests that were decided go."""
        still = []
        for process, row in self.waiting:
            if row.decisions.empty():
                still.append((process, row))
            elif isinstance(decision := row.decisions.get_nowait(), Dispatch):
                fields = row.workspace, row.service, row.charge, decision.granted_by
                self.runs.append(Run(self.now, *fields))
                entry = (self.now + RUN_S, next(self.numbers), process, row.request)
                heapq.heappush(self.running, entry)
        self.waiting = still

    def finish_requests(self) -> None:
        """End requests that have run for their time, on hosts that are awake."""
        while self.running and self.running[0][0] <= self.now:
            _, _, process, request = heapq.heappop(self.running)
            if process.awake_at > self.now:
                entry = (process.awake_at, next(self.numbers), process, request)
                heapq.heappush(self.running, entry)
            else:
                process.scheduler.take(Finished(request, RequestState.COMPLETED))

    def ran(self, since: float = 0.0, workspace: str = "w") -> int:
        """Return the tokens that a workspace has run since a time."""
        rows = (row for row in self.runs if row.workspace == workspace)
        return sum(row.tokens for row in rows if row.at >= since)

    def worst_window(self, workspace: str = "w") -> float:
        """Return the most tokens that a workspace ran in any window."""
        rows = [row for row in self.runs if row.workspace == workspace]
        times = [row.at for row in rows]
        sums = [0, *accumulate(row.tokens for row in rows)]
        return max(
            (
                sums[end + 1] - sums[bisect_left(times, at - WINDOW_S)]
                for end, at in enumerate(times)
            ),
            default=0,
        )

    def allowed(self, rate: TokenRate | None = None) -> float:
        """Return the tokens that a workspace may run in a window."""
        rate = rate or self.rate
        return (rate.rate * WINDOW_S + rate.burst) * (1 + OVERAGE) + SLACK

    def worst_ratio(self, workspace: str = "w") -> float:
        """Return the worst window as a share of what is allowed."""
        return self.worst_window(workspace) / self.allowed()


@dataclass
class Load:
    """Arrivals of a workspace.

    Attributes
    ----------
    tokens_per_s : float
        Tokens asked for in a second.
    mean, longest : int
        Tokens of a request of `LETTERS`; those of `ORDERS` have 200.
    orders_share : float
        Share of the requests that are for `ORDERS`.
    """

    tokens_per_s: float
    mean: int = 7_000
    longest: int = 54_600
    spread: float = 1.4
    orders_per_s: float = 0.0
    workspace: str = "w"
    owed: float = 0.0
    owed_orders: float = 0.0

    def __call__(self, fleet: QuotaFleet) -> None:
        """Let callers ask for what this load brings in one step."""
        self.owed += self.tokens_per_s * STEP_S
        while self.owed > 0:
            size = fleet.random.lognormvariate(-(self.spread**2) / 2, self.spread)
            tokens = max(1, min(self.longest, int(self.mean * size)))
            self.owed -= tokens
            fleet.ask(tokens, LETTERS, self.workspace)
        self.owed_orders += self.orders_per_s * STEP_S
        while self.owed_orders >= 1:
            self.owed_orders -= 1
            fleet.ask(200, ORDERS, self.workspace)


def scaled(rate: TokenRate, factor: float) -> TokenRate:
    """Return a quota some times as large."""
    return replace(rate, rate=rate.rate * factor, burst=rate.burst * factor)


def by_service(fleet: QuotaFleet) -> Mapping[str, int]:
    """Return the tokens that ran of each service."""
    sums: Counter[str] = Counter()
    for row in fleet.runs:
        sums[row.service] += row.tokens
    return sums
